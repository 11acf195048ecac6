//! The client through which the rest of the project uses the platform.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use model::{CellId, ConfigVersion, Millis, RowVersion, WriterTag};
use ownership::{CellRow, VersionedRow};
use serde::de::DeserializeOwned;
use snafu::ensure;

use crate::error::{ConflictSnafu, FailedSnafu, MalformedSnafu, NoSuchConfigSnafu, UnknownSnafu};
use crate::head::{Head, HeadDoc, HeadEntry};
use crate::http::Http;
use crate::row_doc::{decode_row, encode_row};
use crate::{ReadError, WriteError};

/// The key of the configuration head in the table service.
const HEAD_KEY: &str = "config/head";

/// The most attempts to write the head while the outcome is unknown.
const HEAD_WRITE_ATTEMPTS: u32 = 3;

/// A client of the table service and the object store. Cloning is cheap; clones share their
/// connections. It belongs to one thread of an actix system.
#[derive(Clone)]
pub struct PlatformClient {
    http: Http,
    /// The head as last read, which saves a read when a document is fetched next.
    head: Rc<RefCell<Head>>,
}

/// The head with the version of its row in the table service; `None` if there is no row.
struct StoredHead {
    row: Option<RowVersion>,
    head: Head,
}

impl PlatformClient {
    /// Creates a client of the platform at `base`. Each request times out after `time_limit`.
    pub fn new(base: SocketAddr, time_limit: Millis) -> Self {
        Self { http: Http::new(base, time_limit), head: Rc::default() }
    }
}

/// Queries.
impl PlatformClient {
    /// Reads the row of a cell; `None` if it does not exist yet.
    pub async fn read_row(&self, cell: &CellId) -> Result<Option<VersionedRow>, ReadError> {
        let key = row_key(cell);
        let Some((version, body)) = self.http.get_row(&key).await? else {
            return Ok(None);
        };
        match decode_row(&body) {
            Ok(row) => Ok(Some(VersionedRow { version, row })),
            Err(error) => MalformedSnafu { key, message: error.to_string() }.fail(),
        }
    }

    /// Reads the newest version number of the configuration; `None` if none was ever accepted.
    pub async fn read_head(&self) -> Result<Option<ConfigVersion>, ReadError> {
        let stored = self.load_head().await?;
        Ok(stored.head.version())
    }

    /// Reads the YAML document of a configuration version. Only the 16 newest versions are kept in
    /// the head and can be found.
    pub async fn read_config(&self, version: ConfigVersion) -> Result<String, ReadError> {
        let entry = self.find_entry(version).await?;
        let key = entry.object_key();
        let Some(body) = self.http.get_object(&key).await? else {
            return NoSuchConfigSnafu { version: version.0 }.fail();
        };
        match String::from_utf8(body.to_vec()) {
            Ok(yaml) => Ok(yaml),
            Err(error) => MalformedSnafu { key, message: error.to_string() }.fail(),
        }
    }

    async fn find_entry(&self, version: ConfigVersion) -> Result<HeadEntry, ReadError> {
        if let Some(entry) = self.head.borrow().entry(version) {
            return Ok(entry);
        }
        let stored = self.load_head().await?;
        match stored.head.entry(version) {
            Some(entry) => Ok(entry),
            None => NoSuchConfigSnafu { version: version.0 }.fail(),
        }
    }

    async fn load_head(&self) -> Result<StoredHead, ReadError> {
        let Some((row, body)) = self.http.get_row(HEAD_KEY).await? else {
            return Ok(StoredHead { row: None, head: Head::default() });
        };
        let doc: HeadDoc = parse_json(HEAD_KEY, &body)?;
        let head = match Head::try_from(doc) {
            Ok(head) => head,
            Err(message) => return MalformedSnafu { key: HEAD_KEY, message }.fail(),
        };
        self.head.replace(head.clone());
        Ok(StoredHead { row: Some(row), head })
    }
}

/// Commands.
impl PlatformClient {
    /// Writes the row of a cell if it still has the `expected` version; `None` expects that it does
    /// not exist and creates it. After [`WriteError::Unknown`], read the row and compare the writer
    /// tag.
    pub async fn write_row(
        &self,
        cell: &CellId,
        expected: Option<RowVersion>,
        row: &CellRow,
    ) -> Result<RowVersion, WriteError> {
        match encode_row(row) {
            Ok(body) => self.http.put_row(&row_key(cell), expected, body.into()).await,
            Err(error) => FailedSnafu { message: error.to_string() }.fail(),
        }
    }

    /// Makes `yaml` the newest configuration if `based_on` is still the newest version. The
    /// document is written before the head, so that the head never refers to a missing document.
    ///
    /// If the response to a write is lost, its outcome is determined by reading back what was
    /// written. [`WriteError::Unknown`] is returned only if the head does not show the outcome
    /// after the last attempt either. `writer` must be a new random value for every call.
    pub async fn apply_config(
        &self,
        based_on: Option<ConfigVersion>,
        yaml: &str,
        writer: WriterTag,
    ) -> Result<ConfigVersion, WriteError> {
        let stored = match self.load_head().await {
            Ok(stored) => stored,
            Err(error) => return FailedSnafu { message: error.to_string() }.fail(),
        };
        ensure!(stored.head.version() == based_on, ConflictSnafu);
        let entry = stored.head.next_entry(writer);
        self.store_document(&entry, yaml).await?;
        self.write_head(&stored, entry).await
    }

    /// Stores a configuration document. It has no effect until the head refers to it.
    async fn store_document(&self, entry: &HeadEntry, yaml: &str) -> Result<(), WriteError> {
        let key = entry.object_key();
        let body = Bytes::copy_from_slice(yaml.as_bytes());
        match self.http.put_object(&key, body.clone()).await {
            Ok(()) => return Ok(()),
            Err(WriteError::Unknown { .. }) => {}
            Err(error) => return Err(error),
        }
        match self.http.get_object(&key).await {
            Ok(Some(found)) if found == body => Ok(()),
            Ok(_) => FailedSnafu { message: "the document was not stored" }.fail(),
            Err(error) => FailedSnafu { message: error.to_string() }.fail(),
        }
    }

    /// Writes the head, and reads it again if the outcome of the write is unknown.
    ///
    /// Retrying the same conditional write is safe, since it can take effect only once.
    async fn write_head(
        &self,
        stored: &StoredHead,
        entry: HeadEntry,
    ) -> Result<ConfigVersion, WriteError> {
        let body = to_json(&HeadDoc::from(&stored.head.with_entry(entry)))?;
        let mut last_error = String::new();
        for attempt in 0..HEAD_WRITE_ATTEMPTS {
            match self.http.put_row(HEAD_KEY, stored.row, body.clone()).await {
                Ok(_) => return Ok(entry.version),
                Err(WriteError::Unknown { message }) => last_error = message,
                Err(error) if attempt == 0 => return Err(error),
                // A conflict may be caused by an earlier attempt of this writer that took effect,
                // and a failure says nothing about earlier attempts, so read the head.
                Err(_) => {}
            }
            if let Some(outcome) = self.resolve_write_outcome(entry).await {
                return outcome;
            }
        }
        UnknownSnafu { message: last_error }.fail()
    }

    /// Reads the head to determine whether `entry` or that of another writer was accepted for its
    /// version; `None` if the head cannot be read or has no entry for that version.
    async fn resolve_write_outcome(
        &self,
        entry: HeadEntry,
    ) -> Option<Result<ConfigVersion, WriteError>> {
        let stored = self.load_head().await.ok()?;
        let found = stored.head.entry(entry.version)?;
        Some(if found == entry { Ok(entry.version) } else { Err(WriteError::Conflict) })
    }
}

fn row_key(cell: &CellId) -> String {
    format!("cell/{cell}")
}

fn parse_json<T: DeserializeOwned>(key: &str, body: &[u8]) -> Result<T, ReadError> {
    match serde_json::from_slice(body) {
        Ok(doc) => Ok(doc),
        Err(error) => MalformedSnafu { key, message: error.to_string() }.fail(),
    }
}

fn to_json(doc: &impl serde::Serialize) -> Result<Bytes, WriteError> {
    match serde_json::to_vec(doc) {
        Ok(bytes) => Ok(bytes.into()),
        Err(error) => FailedSnafu { message: error.to_string() }.fail(),
    }
}
