//! The settings of a node.

use model::{CellId, HostAddr, Incarnation, Millis, Partition, ZoneName, derive_common};

derive_common! {
    value
    /// The time limits of the protocol, the same on every host of a cell.
    pub struct Timing {
        /// How long a lease grant is valid.
        pub term: Millis,
        /// How far two clocks may drift apart during one term.
        pub drift_margin: Millis,
        /// The interval between two lease renewals.
        pub renew_interval: Millis,
        /// How long a session may go without a renewal before it is expired.
        pub silence_limit: Millis,
        /// How long a coordinator waits for a write of the row before it orders takeovers.
        pub store_patience: Millis,
        /// How long an owner may take to finish requests when it releases a partition.
        pub release_time_limit: Millis,
        /// How long loads settle after planned moves before partitions are moved to rebalance them.
        pub balance_interval: Millis,
        /// How long partitions wait after the lease of a host ended whose backend server checks no
        /// fences.
        pub unfenced_grace: Millis,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Millis(1_000),
            drift_margin: Millis(50),
            renew_interval: Millis(300),
            silence_limit: Millis(900),
            store_patience: Millis(500),
            release_time_limit: Millis(2_000),
            balance_interval: Millis(10_000),
            unfenced_grace: Millis(0),
        }
    }
}

/// The settings of a node, fixed when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeSettings {
    /// The cell to join.
    pub cell: CellId,
    /// The address on which this host process listens.
    pub addr: HostAddr,
    /// The incarnation of this host process.
    pub incarnation: Incarnation,
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// The partitions of the cell, as a half-open range.
    pub partitions: (Partition, Partition),
    /// The time limits.
    pub timing: Timing,
}
