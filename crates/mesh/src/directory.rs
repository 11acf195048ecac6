//! The hosts of a deployment as rows with versions, so that one process can tell another what
//! changed since a position.
//!
//! Answers fleets in which each host can't read the store for itself. What a process hears from
//! another is as complete as what the store would have told it: rows that are gone are remembered
//! with their version, and a process that no longer remembers says everything.

use model::{HostAddr, RowVersion};

/// Rows that are gone and are still remembered. A restart of the largest deployment of today
/// removes fewer within the second after which every process has heard of it.
const MAX_GONE: usize = 256;

/// One row as it goes from process to process; `None` says that it is gone.
pub type HostUpdate<T> = (HostAddr, RowVersion, Option<T>);

/// What changed since a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostChanges<T> {
    /// Set if `rows` are all there are: hosts whose rows are not newer than this and are not named
    /// are gone. For an answer of the store it is the newest row, as the answer may come from the
    /// past.
    pub snapshot_version: Option<RowVersion>,
    /// All changes up to this version are told.
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

/// The hosts that one process knows.
#[derive(Clone, Debug)]
pub struct HostDirectory<T> {
    entries: Vec<Entry<T>>, // Sorted by host.
    position: RowVersion,
    /// Rows that went before this version may be forgotten.
    since: RowVersion,
}

impl<T> Default for HostDirectory<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), position: RowVersion(0), since: RowVersion(0) }
    }
}

/// Queries.
impl<T: Clone> HostDirectory<T> {
    /// Returns the row of a host.
    pub fn get(&self, host: HostAddr) -> Option<&T> {
        self.find(host).ok().and_then(|i| self.entries[i].row.as_ref())
    }

    /// Returns all rows, sorted by host.
    pub fn iter(&self) -> impl Iterator<Item = (HostAddr, &T)> {
        self.entries.iter().filter_map(|e| Some((e.host, e.row.as_ref()?)))
    }

    /// Returns the version up to which all changes are known; 0 before the first read.
    pub fn position(&self) -> RowVersion {
        self.position
    }

    /// Returns what a process has to hear that knows all changes up to `position`.
    pub fn changes_since(&self, position: RowVersion) -> HostChanges<T> {
        let whole = position < self.since || position == RowVersion(0);
        let wanted = |e: &&Entry<T>| if whole { e.row.is_some() } else { e.version > position };
        let whole = whole.then_some(self.position);
        let rows = self.entries.iter().filter(wanted);
        let rows = rows.map(|e| (e.host, e.version, e.row.clone())).collect();
        HostChanges { snapshot_version: whole, position: self.position, rows }
    }

    fn find(&self, host: HostAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&host, |e| e.host)
    }
}

/// Commands.
impl<T: Clone + PartialEq> HostDirectory<T> {
    /// Takes in a row. Returns whether it tells anything new.
    pub fn update(&mut self, (host, version, row): HostUpdate<T>) -> bool {
        match self.find(host) {
            Ok(i) if self.entries[i].version >= version => false,
            Ok(i) => {
                let new = self.entries[i].row != row;
                self.entries[i] = Entry { host, version, row };
                self.forget_oldest();
                new
            }
            Err(i) => {
                let new = row.is_some();
                self.entries.insert(i, Entry { host, version, row });
                self.forget_oldest();
                new
            }
        }
    }

    /// Tells that all changes up to `position` were taken in.
    pub fn advance_to(&mut self, position: RowVersion) {
        self.position = self.position.max(position);
    }

    /// Takes in what another process or the store says. Returns the hosts that changed.
    pub fn apply(&mut self, changes: HostChanges<T>) -> Vec<HostAddr> {
        let HostChanges { snapshot_version: whole, position, rows } = changes;
        let mut changed = Vec::new();
        if let Some(newest) = whole {
            let named = |host| rows.binary_search_by_key(&host, |(h, ..)| *h).is_ok();
            let lost = |e: &Entry<T>| e.row.is_some() && e.version <= newest && !named(e.host);
            changed.extend(self.entries.iter().filter(|e| lost(e)).map(|e| e.host));
            // Forgotten, not remembered as gone: if the answer was wrong, the old row counts again.
            self.entries.retain(|e| !lost(e));
            // Rows that went before this position were never seen here.
            self.since = self.since.max(position);
        }
        for news in rows {
            let host = news.0;
            if self.update(news) {
                changed.push(host);
            }
        }
        self.advance_to(position);
        changed
    }

    fn forget_oldest(&mut self) {
        let gone = self.entries.iter().filter(|e| e.row.is_none());
        if gone.clone().count() <= MAX_GONE {
            return;
        }
        let oldest = gone.min_by_key(|e| e.version).map(|e| (e.host, e.version));
        if let Some((host, version)) = oldest {
            self.entries.retain(|e| e.host != host);
            self.since = self.since.max(version);
        }
    }
}
