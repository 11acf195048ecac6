//! A replicated table of the hosts in a deployment, from which one process can send another the
//! changes since a given version.
//!
//! Needed because not every host of a large fleet can read the store itself. An update from another
//! process is as complete as one from the store: deleted rows are kept as tombstones with their
//! version, and a process that has discarded the tombstones in question sends a full snapshot.

use model::{HostAddr, RowVersion};

/// The maximum number of tombstones kept. Updates reach every process within a second, and a
/// restart of today's largest deployment deletes fewer rows than this in that time.
const MAX_TOMBSTONES: usize = 256;

/// A version of a host's row as sent between processes; `None` if the row was deleted.
pub type HostUpdate<T> = (HostAddr, RowVersion, Option<T>);

/// The changes since a given version, or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostChanges<T> {
    /// Set if `rows` is a full snapshot: hosts that are missing from it and whose known row is not
    /// newer than this version have been deleted. For a read of the store this is the version of
    /// the newest row returned, because the read may be stale.
    pub snapshot_version: Option<RowVersion>,
    /// All changes up to this version are included.
    pub position: RowVersion,
    /// The rows, sorted by host.
    pub rows: Vec<HostUpdate<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    host: HostAddr,
    version: RowVersion,
    row: Option<T>,
}

/// The rows of all hosts known to one process.
#[derive(Clone, Debug)]
pub struct HostDirectory<T> {
    entries: Vec<Entry<T>>, // Sorted by host.
    position: RowVersion,
    /// Tombstones up to this version may have been discarded.
    tombstones_since: RowVersion,
}

impl<T> Default for HostDirectory<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), position: RowVersion(0), tombstones_since: RowVersion(0) }
    }
}

/// Queries.
impl<T: Clone> HostDirectory<T> {
    /// Returns the row of a host.
    pub fn get(&self, host: HostAddr) -> Option<&T> {
        self.find(host).ok().and_then(|i| self.entries[i].row.as_ref())
    }

    /// Iterates over all existing rows, sorted by host.
    pub fn iter(&self) -> impl Iterator<Item = (HostAddr, &T)> {
        self.entries.iter().filter_map(|e| Some((e.host, e.row.as_ref()?)))
    }

    /// Returns the version up to which all changes have been applied; 0 before the first read.
    pub fn position(&self) -> RowVersion {
        self.position
    }

    /// Returns what to send to a process that has applied all changes up to `position`: the changes
    /// since, or a snapshot if the tombstones don't reach back that far.
    pub fn changes_since(&self, position: RowVersion) -> HostChanges<T> {
        let snapshot = position < self.tombstones_since || position == RowVersion(0);
        let included =
            |e: &&Entry<T>| if snapshot { e.row.is_some() } else { e.version > position };
        let snapshot_version = snapshot.then_some(self.position);
        let rows = self.entries.iter().filter(included);
        let rows = rows.map(|e| (e.host, e.version, e.row.clone())).collect();
        HostChanges { snapshot_version, position: self.position, rows }
    }

    fn find(&self, host: HostAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&host, |e| e.host)
    }
}

/// Commands.
impl<T: Clone + PartialEq> HostDirectory<T> {
    /// Applies an update to one row, unless the known version is at least as new. Returns whether
    /// the contents changed.
    pub fn update(&mut self, (host, version, row): HostUpdate<T>) -> bool {
        match self.find(host) {
            Ok(i) if self.entries[i].version >= version => false,
            Ok(i) => {
                let changed = self.entries[i].row != row;
                self.entries[i] = Entry { host, version, row };
                self.discard_oldest_tombstone();
                changed
            }
            Err(i) => {
                let changed = row.is_some();
                self.entries.insert(i, Entry { host, version, row });
                self.discard_oldest_tombstone();
                changed
            }
        }
    }

    /// Records that all changes up to `position` have been applied.
    pub fn advance_to(&mut self, position: RowVersion) {
        self.position = self.position.max(position);
    }

    /// Applies changes received from another process or read from the store. Returns the hosts
    /// whose rows changed.
    pub fn apply(&mut self, changes: HostChanges<T>) -> Vec<HostAddr> {
        let HostChanges { snapshot_version, position, rows } = changes;
        let mut changed = Vec::new();
        if let Some(newest) = snapshot_version {
            let listed = |host| rows.binary_search_by_key(&host, |(h, ..)| *h).is_ok();
            let deleted = |e: &Entry<T>| e.row.is_some() && e.version <= newest && !listed(e.host);
            changed.extend(self.entries.iter().filter(|e| deleted(e)).map(|e| e.host));
            // No tombstone is kept: if the snapshot was wrong, the old row is accepted again.
            self.entries.retain(|e| !deleted(e));
            // Deletions before this position may never have been seen here.
            self.tombstones_since = self.tombstones_since.max(position);
        }
        for row in rows {
            let host = row.0;
            if self.update(row) {
                changed.push(host);
            }
        }
        self.advance_to(position);
        changed
    }

    fn discard_oldest_tombstone(&mut self) {
        let tombstones = self.entries.iter().filter(|e| e.row.is_none());
        if tombstones.clone().count() <= MAX_TOMBSTONES {
            return;
        }
        let oldest = tombstones.min_by_key(|e| e.version).map(|e| (e.host, e.version));
        if let Some((host, version)) = oldest {
            self.entries.retain(|e| e.host != host);
            self.tombstones_since = self.tombstones_since.max(version);
        }
    }
}
