//! The head of the configuration: which versions were accepted last, and by which writers.
//!
//! Several entries are kept, not only the newest, so that a writer whose answer was lost still
//! finds its own entry after others wrote, and so that an older document can be found.

use model::{ConfigVersion, WriterTag};
use serde::{Deserialize, Serialize};

/// Accepted versions that the head names.
const MAX_ENTRIES: usize = 16;

/// One accepted configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeadEntry {
    pub(crate) version: ConfigVersion,
    pub(crate) writer: WriterTag,
}

impl HeadEntry {
    /// Returns the key of the document in the object store. It holds the writer's tag, so two
    /// writers that race for one version never overwrite each other's document.
    pub(crate) fn object_key(&self) -> String {
        format!("config/{}-{:016x}", self.version, self.writer.0)
    }
}

/// The accepted configurations, newest first. The versions have no gap.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Head {
    entries: Vec<HeadEntry>,
}

impl Head {
    /// Returns the newest version.
    pub(crate) fn version(&self) -> Option<ConfigVersion> {
        self.entries.first().map(|e| e.version)
    }

    /// Returns the entry of a version, if it is recent enough.
    pub(crate) fn entry(&self, version: ConfigVersion) -> Option<HeadEntry> {
        self.entries.iter().find(|e| e.version == version).copied()
    }

    /// Returns the entry that the next writer adds.
    pub(crate) fn next_entry(&self, writer: WriterTag) -> HeadEntry {
        let version = self.version().unwrap_or_default().0 + 1;
        HeadEntry { version: ConfigVersion(version), writer }
    }

    /// Returns the head with one more entry; the oldest goes if there are too many.
    pub(crate) fn with(&self, entry: HeadEntry) -> Self {
        let mut entries = vec![entry];
        entries.extend_from_slice(&self.entries);
        entries.truncate(MAX_ENTRIES);
        Self { entries }
    }
}

/// The head as it is stored.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct HeadDoc {
    /// Version and writer tag, newest first.
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
            return Err(format!("entries[{index}]: found a version that is not the next one"));
        }
        let entry = |(version, writer)| HeadEntry {
            version: ConfigVersion(version),
            writer: WriterTag(writer),
        };
        Ok(Self { entries: doc.entries.into_iter().map(entry).collect() })
    }
}
