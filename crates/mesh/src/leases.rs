//! Leases in the store: the row that a host renews to keep its keys, and the detection by other
//! hosts that it has expired.
//!
//! Clocks of different hosts are never compared. The holder measures the lease from before it sent
//! the confirmed renewal, and an observer from when it first knew that this version of the row had
//! been written, so the lease always expires later for the observer than for the holder. All rows
//! take their versions from one counter. An observer therefore needs no read to know when a version
//! had been written: any later version that the store told it proves that.

use model::{HostAddr, Millis, RowVersion, derive_common};
use snafu::{ResultExt, Snafu};

derive_common! {
    data
    /// The lease row of a host.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct LeaseRow {
        /// The random id of the process that wrote the row, drawn when it started.
        pub process: u64,
        /// The incarnation of the backend server that holds the keys.
        pub incarnation: Incarnation,
        /// Fences up to this one were granted to earlier incarnations of the backend server.
        pub fence_floor: u64,
        /// Whether the host may be assigned keys.
        pub accepts_keys: bool,
        /// Increases whenever the witnesses change or one of them has refused a confirmation.
        pub generation: u64,
        /// The hosts that can confirm the holder while it can't reach the store, each with the id
        /// of its process.
        pub witnesses: Vec<(std::net::SocketAddr, u64)>,
        /// The average number of slots occupied by requests with keys, in hundredths.
        pub load: u32,
        /// The number of requests with keys that the backend server can run concurrently, in
        /// hundredths of a slot.
        pub capacity: u32,
        /// The era of the store in which the row was written. Rows of earlier releases lack this and
        /// the following field.
        pub era: u64,
        /// Whether the map assigns ranges to the host that it doesn't hold yet, because another host
        /// may hold them by a grant of a former era.
        pub unclaimed: bool,
    }
}

derive_common! {
    data
    /// One incarnation of a backend server, from a start of its process to the end.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct Incarnation {
        /// When it started, in milliseconds by its own wall clock. Later incarnations have larger
        /// values unless the clock was set back.
        pub started_at: u64,
        /// The instance id, which a later incarnation may reuse.
        pub id: String,
    }
}

/// An error while decoding a lease row.
#[derive(Debug, Snafu)]
#[snafu(display("failed to decode the lease row: {source}"))]
pub struct LeaseRowError {
    source: bincode::error::DecodeError,
}

impl LeaseRow {
    /// Encodes the row as bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding plain data into memory can't fail; if it did, readers would reject the empty
        // row.
        bincode::encode_to_vec(self, bincode::config::standard()).unwrap_or_default()
    }

    /// Decodes the bytes of the row.
    pub fn decode(bytes: &[u8]) -> Result<Self, LeaseRowError> {
        let config = bincode::config::standard().with_limit::<65_536>();
        // The values of the fields that rows of earlier releases lack.
        let bytes = [bytes, &[0; 2]].concat();
        let (row, _) = bincode::decode_from_slice(&bytes, config).context(LeaseRowSnafu)?;
        Ok(row)
    }
}

#[derive(Clone, Debug)]
struct ObservedLease {
    host: HostAddr,
    version: RowVersion,
    row: LeaseRow,
    /// When this version was first seen.
    first_seen: Millis,
}

/// How long it is remembered which versions had been written, longer than the longest lease.
const VERSION_MEMORY: Millis = Millis(15_000);

/// The leases of a service as observed by one process.
#[derive(Clone, Debug, Default)]
pub struct LeaseObserver {
    leases: Vec<ObservedLease>, // Sorted by host.
    /// Versions and when they were known to have been written, both in ascending order.
    versions: Vec<(RowVersion, Millis)>,
}

impl LeaseObserver {
    /// Replaces the known leases with the result of one read, which arrived at `now`.
    pub fn observe(&mut self, rows: Vec<(HostAddr, RowVersion, LeaseRow)>, now: Millis) {
        let mut leases: Vec<ObservedLease> = rows
            .into_iter()
            .map(|(host, version, row)| {
                let known = self.find(host).filter(|l| l.version == version);
                let first_seen =
                    known.map_or_else(|| self.written_by(version, now), |l| l.first_seen);
                ObservedLease { host, version, row, first_seen }
            })
            .collect();
        leases.sort_by_key(|l| l.host);
        self.leases = leases;
    }

    /// Records that `version` and all earlier versions had been written at `now`.
    pub fn record_version(&mut self, version: RowVersion, now: Millis) {
        self.versions.retain(|(_, at)| now.since(*at) <= VERSION_MEMORY);
        if self.versions.last().is_none_or(|(last, _)| *last < version) {
            self.versions.push((version, now));
        }
    }

    /// Returns the earliest time at which `version` is known to have been written.
    fn written_by(&self, version: RowVersion, now: Millis) -> Millis {
        let later = self.versions.partition_point(|(v, _)| *v < version);
        self.versions.get(later).map_or(now, |(_, at)| (*at).min(now))
    }

    /// Returns the hosts whose row has not changed for longer than `span`, with the row's version.
    pub fn unchanged_for(&self, span: Millis, now: Millis) -> Vec<(HostAddr, RowVersion)> {
        let unchanged = self.leases.iter().filter(|l| now.since(l.first_seen) > span);
        unchanged.map(|l| (l.host, l.version)).collect()
    }

    /// Returns a host's row with its version and the time since it last changed.
    pub fn get(&self, host: HostAddr, now: Millis) -> Option<(RowVersion, &LeaseRow, Millis)> {
        self.find(host).map(|l| (l.version, &l.row, now.since(l.first_seen)))
    }

    /// Returns all hosts that have a lease row, sorted.
    pub fn hosts(&self) -> Vec<(HostAddr, &LeaseRow)> {
        self.leases.iter().map(|l| (l.host, &l.row)).collect()
    }

    /// Returns whether a host has a lease row.
    pub fn contains(&self, host: HostAddr) -> bool {
        self.find(host).is_some()
    }

    fn find(&self, host: HostAddr) -> Option<&ObservedLease> {
        self.leases.binary_search_by_key(&host, |l| l.host).ok().map(|i| &self.leases[i])
    }
}
