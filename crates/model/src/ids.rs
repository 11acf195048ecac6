//! Numbers that identify hosts, sessions, cells and versions.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ServiceName;

crate::number_type! {
    /// A partition of the keys of one service, from 0 to the service's partition count.
    pub struct Partition(u32);
}

crate::number_type! {
    /// A fencing token. It only grows per partition; even values are stored in the cell's row,
    /// an odd value is a takeover that the row does not name yet.
    pub struct Fence(u64);
}

impl Fence {
    /// The fence of a takeover by the standby of the assignment that holds this fence.
    pub fn takeover(self) -> Self {
        Self(self.0 | 1)
    }

    /// The fence of the next stored assignment.
    pub fn next_stored(self) -> Self {
        Self((self.0 | 1) + 1)
    }
}

crate::number_type! {
    /// The generation of a cell's grantors. It only grows per cell.
    pub struct Epoch(u64);
}

crate::number_type! {
    /// One run of one host process, drawn at random when it starts.
    pub struct Incarnation(u64);
}

crate::number_type! {
    /// The version of a cell's row; every change adds one.
    pub struct RowVersion(u64);
}

crate::number_type! {
    /// The version of the configuration; every accepted change adds one.
    pub struct ConfigVersion(u64);
}

crate::number_type! {
    /// A random number in a row that tells its writer whether a write took effect.
    pub struct WriterTag(u64);
}

crate::derive_common! {
    value
    /// The address on which a host process listens to other host processes.
    #[serde(transparent)]
    pub struct HostAddr(pub SocketAddr);
}

impl fmt::Display for HostAddr {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

crate::derive_common! {
    value
    /// One membership of one host process in a cell. A process that lost its lease takes the
    /// next number, so a session never comes back to life.
    pub struct Session {
        /// The run of the host process.
        pub incarnation: Incarnation,
        /// Counts the memberships of this run, from 1.
        pub number: u32,
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.incarnation.0, self.number)
    }
}

/// A group of at most 32 hosts that shares a row, grantors and a range of partitions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The service whose partitions the cell holds.
    pub service: ServiceName,
    /// Counts the cells of the service, from 0.
    pub index: u32,
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// Keeps the partitions of a key apart from other uses of the same hash.
const PARTITION_SEED: u64 = 0x7061_7274;

/// Returns the partition of `key` among `count` partitions (at least 1).
pub fn partition_of(key: &str, count: u32) -> Partition {
    let hash = xxh3_64_with_seed(key.as_bytes(), PARTITION_SEED);
    let bucket = hash % u64::from(count.max(1));
    Partition(u32::try_from(bucket).unwrap_or(0))
}
