//! Identifiers of partitions, hosts, sessions and cells, and version numbers.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ServiceName;

crate::number_type! {
    /// A partition of the key space of a service, numbered from 0 to the service's partition count
    /// (exclusive).
    pub struct Partition(u32);
}

crate::number_type! {
    /// A fencing token, which only increases per partition. Even values are stored in the cell's
    /// row; an odd value denotes a takeover that is not yet stored in the row.
    pub struct Fence(u64);
}

impl Fence {
    /// Returns the fence of a takeover by the standby of the assignment with this fence.
    pub fn takeover(self) -> Self {
        Self(self.0 | 1)
    }

    /// Returns the fence of the next assignment that is stored in the row.
    pub fn next_stored(self) -> Self {
        Self((self.0 | 1) + 1)
    }
}

crate::number_type! {
    /// The generation of a cell's grantor set, which only increases per cell.
    pub struct Epoch(u64);
}

crate::number_type! {
    /// Identifies one run of a host process; chosen at random at startup.
    pub struct Incarnation(u64);
}

crate::number_type! {
    /// The version of a cell's row, incremented by every change.
    pub struct RowVersion(u64);
}

/// The bits of a [`RowVersion`] that hold the number which the store gave the row.
const VERSION_BITS: u32 = 48;

impl RowVersion {
    /// Returns the version with `number` in an era of the store. The era counts how often the store
    /// was restored from a copy, after which it uses numbers again; together they never go back. The
    /// number 0 stands for a row that doesn't exist, in every era.
    pub const fn in_era(era: u64, number: u64) -> Self {
        if number == 0 { Self(0) } else { Self((era << VERSION_BITS) | number) }
    }

    /// Returns the era.
    pub const fn era(self) -> u64 {
        self.0 >> VERSION_BITS
    }

    /// Returns the number that the store gave the row.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << VERSION_BITS) - 1)
    }
}

crate::number_type! {
    /// The version of the configuration, incremented by every accepted change.
    pub struct ConfigVersion(u64);
}

crate::number_type! {
    /// A random number in a row by which a writer detects whether its write took effect.
    pub struct WriterTag(u64);
}

crate::derive_common! {
    value
    /// The address on which a host listens for connections from other hosts.
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
    /// One membership of a host in a cell. A host that lost its lease joins again with the next
    /// number, so an expired session never becomes valid again.
    pub struct Session {
        /// The run of the host process.
        pub incarnation: Incarnation,
        /// Number of the membership within this run, starting at 1.
        pub number: u32,
    }
}

impl fmt::Display for Session {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}.{}", self.incarnation.0, self.number)
    }
}

/// Identifies a cell: a group of at most 32 hosts that share a row, a grantor set and a range of
/// partitions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// The service whose partitions the cell holds.
    pub service: ServiceName,
    /// Index of the cell within the service, starting at 0.
    pub index: u32,
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// Hash seed that makes partitioning independent of other uses of the same hash function.
const PARTITION_SEED: u64 = 0x7061_7274;

/// Returns the partition of `key` for a service with `count` partitions. A count of 0 is treated as
/// 1.
pub fn partition_of(key: &str, count: u32) -> Partition {
    let hash = xxh3_64_with_seed(key.as_bytes(), PARTITION_SEED);
    let bucket = hash % u64::from(count.max(1));
    Partition(u32::try_from(bucket).unwrap_or(0))
}
