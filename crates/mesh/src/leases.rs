//! Leases in the store: the row by which a host keeps its keys, and how others see that it ended.
//!
//! Nobody compares clocks. The holder counts from before it sent the renewal that was confirmed;
//! an observer counts from when it first saw a version of the row, so it always ends later.

use model::{HostAddr, Millis, RowVersion, derive_common};
use snafu::{ResultExt, Snafu};

derive_common! {
    data
    /// The lease row of a host.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct LeaseRow {
        /// Drawn at the start of the process that wrote the row.
        pub process: u64,
        /// The start of the backend server that holds the keys.
        pub incarnation: Incarnation,
        /// Fences up to this one were given to earlier starts of the backend server.
        pub fence_floor: u64,
        /// Whether the host may be given keys.
        pub accepts_keys: bool,
        /// Counts the changes of witnesses and the times that a witness refused.
        pub generation: u64,
        /// The hosts that confirm the holder while it can't reach the store, each with the start
        /// of its process.
        pub witnesses: Vec<(std::net::SocketAddr, u64)>,
        /// Slots that keyed work occupies on average, in hundredths.
        pub load: u32,
        /// Keyed work that the backend server can do at once, in hundredths of a slot.
        pub capacity: u32,
    }
}

derive_common! {
    data
    /// One start of a backend server.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Incarnation {
        /// When it started, in milliseconds of its own time of day; a later start mostly has a
        /// larger number, unless its clock was set back.
        pub started_at: u64,
        /// The name it goes by, which a later start may use again.
        pub id: String,
    }
}

/// Why bytes are not a lease row.
#[derive(Debug, Snafu)]
#[snafu(display("not a lease row: {source}"))]
pub struct LeaseRowError {
    source: bincode::error::DecodeError,
}

impl LeaseRow {
    /// Returns the bytes of the row.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into memory has no way to fail; readers refuse an empty row.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Reads the bytes of the row.
    pub fn decode(bytes: &[u8]) -> Result<Self, LeaseRowError> {
        let config = bincode::config::standard().with_limit::<65_536>();
        let (row, _) = bincode::decode_from_slice(bytes, config).context(LeaseRowSnafu)?;
        Ok(row)
    }
}

#[derive(Clone, Debug)]
struct Seen {
    host: HostAddr,
    version: RowVersion,
    row: LeaseRow,
    since: Millis,
}

/// What one process has seen of the leases of a service.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    seen: Vec<Seen>, // Sorted by host.
}

impl LeaseObserver {
    /// Takes in all rows as read at once; `now` is the time at which the answer came.
    pub fn observe(&mut self, rows: Vec<(HostAddr, RowVersion, LeaseRow)>, now: Millis) {
        let mut seen: Vec<Seen> = rows
            .into_iter()
            .map(|(host, version, row)| {
                let known = self.find(host).filter(|s| s.version == version);
                let since = known.map_or(now, |s| s.since);
                Seen { host, version, row, since }
            })
            .collect();
        seen.sort_by_key(|s| s.host);
        self.seen = seen;
    }

    /// Returns the hosts whose row has not changed for longer than `span`, with its version.
    pub fn unchanged_for(&self, span: Millis, now: Millis) -> Vec<(HostAddr, RowVersion)> {
        let old = self.seen.iter().filter(|s| now.since(s.since) > span);
        old.map(|s| (s.host, s.version)).collect()
    }

    /// Returns a host's row with its version and how long it has not changed.
    pub fn get(&self, host: HostAddr, now: Millis) -> Option<(RowVersion, &LeaseRow, Millis)> {
        self.find(host).map(|s| (s.version, &s.row, now.since(s.since)))
    }

    /// Returns all hosts with a row, sorted.
    pub fn hosts(&self) -> Vec<(HostAddr, &LeaseRow)> {
        self.seen.iter().map(|s| (s.host, &s.row)).collect()
    }

    /// Returns whether a host has a row.
    pub fn contains(&self, host: HostAddr) -> bool {
        self.find(host).is_some()
    }

    fn find(&self, host: HostAddr) -> Option<&Seen> {
        self.seen.binary_search_by_key(&host, |s| s.host).ok().map(|i| &self.seen[i])
    }
}
