//! The configuration head: an index of the versions that were accepted last, with their writers.
//!
//! It keeps several entries, not only the newest one, so that a writer whose response was lost
//! still finds its own entry after later writes, and so that older documents can be found.

use model::{ConfigVersion, WriterTag};
use serde::{Deserialize, Serialize};

/// The number of accepted versions that the head keeps.
const MAX_ENTRIES: usize = 16;

/// An accepted configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadEntry {
    pub(crate) version: ConfigVersion,
    pub(crate) writer: WriterTag,
}

impl HeadEntry {
    /// Returns the key of the document in the object store. It contains the writer's tag, so that
    /// two writers that race for one version never overwrite each other's document.
    pub(crate) fn object_key(&self) -> String {
        format!("config/{}-{:016x}", self.version, self.writer.0)
    }
}

/// The accepted configuration versions, newest first and without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    entries: Vec<HeadEntry>,
}

impl Head {
    /// Returns the newest version.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        self.entries.first().map(|e| e.version)
    }

    /// Returns the entry of a version, if the head still keeps it.
    pub(crate) fn entry(&self, version: ConfigVersion) -> Option<HeadEntry> {
        self.entries.iter().find(|e| e.version == version).copied()
    }

    /// Returns the entry with which `writer` would add the next version.
    pub(crate) fn next_entry(&self, writer: WriterTag) -> HeadEntry {
        let version = self.version().unwrap_or_default().0 + 1;
        HeadEntry { version: ConfigVersion(version), writer }
    }

    /// Returns the head with `entry` added; the oldest entry is dropped if there are too many.
    pub(crate) fn with_entry(&self, entry: HeadEntry) -> Self {
        let mut entries = vec![entry];
        entries.extend_from_slice(&self.entries);
        entries.truncate(MAX_ENTRIES);
        Self { entries }
    }
}

/// The stored JSON form of the head.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HeadDoc {
    /// Pairs of version and writer tag, newest first.
    entries: Vec<(u64, u64)>,
}

impl From<&Head> for HeadDoc {
    fn from(head: &Head) -> Self {
        Self { entries: head.entries.iter().map(|e| (e.version.0, e.writer.0)).collect() }
    }
}

impl TryFrom<HeadDoc> for Head {
    type Error = String;

    fn try_from(doc: HeadDoc) -> Result<Self, String> {
        let count = doc.entries.len();
        if count == 0 || count > MAX_ENTRIES {
            return Err(format!("entries: found {count}, expected 1 to {MAX_ENTRIES}"));
        }
        let gap = doc.entries.windows(2).position(|w| w[0].0 != w[1].0.saturating_add(1));
        if let Some(index) = gap {
            return Err(format!("entries[{index}]: versions are not consecutive"));
        }
        let entry = |(version, writer)| HeadEntry {
            version: ConfigVersion(version),
            writer: WriterTag(writer),
        };
        Ok(Self { entries: doc.entries.into_iter().map(entry).collect() })
    }
}
