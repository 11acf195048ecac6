//! What the planner sees and returns, and the order in which it looks for changes.

use std::fmt;

use model::{Millis, Partition, Session, ZoneName, derive_common};

use crate::plan_state::Board;
use crate::{rebalance, standbys, unserved};

derive_common! {
    value
    /// How much of a fair share a member can take.
    pub enum MemberStage {
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
    pub struct MemberState {
        /// The membership.
        pub session: Session,
        /// The availability zone.
        pub zone: ZoneName,
        /// The slots of its backend server; zero while there is none.
        pub slots: u32,
        /// How much it can take.
        pub stage: MemberStage,
    }
}

derive_common! {
    value
    /// One partition, as the planner sees it.
    pub struct PartitionState {
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
    pub struct PlanInput {
        /// The members, sorted by session.
        pub members: Vec<MemberState>,
        /// The partitions, sorted by partition; unowned ones included.
        pub partitions: Vec<PartitionState>,
    }
}

derive_common! {
    value
    /// Bounds on one plan.
    pub struct PlanLimits {
        /// Planned moves, apart from partitions that have no owner or a draining one.
        pub max_moves: u32,
        /// How far above the mean a member's load must be before partitions leave it, in percent.
        pub hysteresis_percent: u32,
    }
}

derive_common! {
    value
    /// One change of the plan.
    pub enum Change {
        /// Give a partition to a member, by a planned move if it has an owner.
        SetOwner {
            /// The partition.
            partition: Partition,
            /// The new owner.
            owner: Session,
        },
        /// Name a member as standby.
        SetStandby {
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
            Self::SetOwner { partition, owner } => write!(f, "partition {partition} to {owner}"),
            Self::SetStandby { partition, standby } => {
                write!(f, "standby of partition {partition} is {standby}")
            }
        }
    }
}

/// Returns the changes to make now, most urgent first.
///
/// Partitions that nobody serves come first, then those of draining members, then standbys, then
/// planned moves, which are made only if there is nothing more urgent. An `SetOwner` that names the
/// standby leaves the partition without one, and a `SetStandby` for it follows if another member can
/// take that part. No partition gets two owners in one plan. The same input gives the same plan.
pub fn plan(input: &PlanInput, limits: &PlanLimits) -> Vec<Change> {
    let mut board = Board::new(input);
    unserved::place(&mut board);
    unserved::place_draining(&mut board);
    standbys::fill(&mut board);
    if board.is_unchanged() {
        rebalance::balance(&mut board, limits);
    }
    board.into_changes()
}
