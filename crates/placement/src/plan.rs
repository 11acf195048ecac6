//! What the planner sees and returns, and the order in which it looks for changes.

use std::fmt;

use model::{Millis, Partition, Session, ZoneName, derive_common};

use crate::board::Board;
use crate::{moves, standbys, unserved};

derive_common! {
    value
    /// How much of a fair share a member can take.
    pub enum Stage {
        /// The backend server started this long ago and is still warming up.
        Cold {
            /// Time since the start.
            age: Millis,
        },
        /// The member takes its full share.
        Ready,
        /// The member is leaving: nothing goes to it and all that it has goes elsewhere.
        Draining,
    }
}

derive_common! {
    data
    /// One member, as the planner sees it.
    pub struct MemberLoad {
        /// The membership.
        pub session: Session,
        /// The availability zone.
        pub zone: ZoneName,
        /// The slots of its backend server; zero while there is none.
        pub slots: u32,
        /// How much it can take.
        pub stage: Stage,
    }
}

derive_common! {
    value
    /// One partition, as the planner sees it.
    pub struct PartitionLoad {
        /// The partition.
        pub partition: Partition,
        /// Requests per second, times 1,000.
        pub millirequests_per_second: u64,
        /// The owner, if it has one that is alive.
        pub owner: Option<Session>,
        /// The standby, if it has one that is alive.
        pub standby: Option<Session>,
    }
}

derive_common! {
    data
    /// All that the planner sees.
    pub struct Input {
        /// The members, sorted by session.
        pub members: Vec<MemberLoad>,
        /// The partitions, sorted by partition; unowned ones included.
        pub partitions: Vec<PartitionLoad>,
    }
}

derive_common! {
    value
    /// Bounds on one plan.
    pub struct Limits {
        /// Planned moves, apart from partitions that have no owner or a draining one.
        pub moves: u32,
        /// How far above the mean a member's load must be before partitions leave it, in percent.
        pub hysteresis_percent: u32,
    }
}

derive_common! {
    value
    /// One change of the plan.
    pub enum Change {
        /// Give a partition to a member, by a planned move if it has an owner.
        Own {
            /// The partition.
            partition: Partition,
            /// The new owner.
            owner: Session,
        },
        /// Name a member as standby.
        StandBy {
            /// The partition.
            partition: Partition,
            /// The new standby.
            standby: Session,
        },
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own { partition, owner } => write!(f, "partition {partition} to {owner}"),
            Self::StandBy { partition, standby } => {
                write!(f, "standby of partition {partition} is {standby}")
            }
        }
    }
}

/// Returns the changes to make now, most urgent first.
///
/// Partitions that nobody serves come first, then those of draining members, then standbys, then
/// planned moves, which are made only if there is nothing more urgent. An `Own` that names the
/// standby leaves the partition without one, and a `StandBy` for it follows if another member can
/// take that part. No partition gets two owners in one plan. The same input gives the same plan.
pub fn plan(input: &Input, limits: &Limits) -> Vec<Change> {
    let mut board = Board::new(input);
    unserved::place(&mut board);
    unserved::place_draining(&mut board);
    standbys::fill(&mut board);
    if board.is_unchanged() {
        moves::balance(&mut board, limits);
    }
    board.into_changes()
}
