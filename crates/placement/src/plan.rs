//! The input and output of the planner, and the order in which it looks for changes.

use std::fmt;

use model::{Millis, Partition, Session, ZoneName, derive_common};

use crate::plan_state::PlanState;
use crate::{rebalance, standbys, unserved};

derive_common! {
    value
    /// The stage of a member's lifecycle, which determines how much load it can take.
    pub enum MemberStage {
        /// The backend server started recently and is still warming up.
        Cold {
            /// The time since the start.
            age: Millis,
        },
        /// The member can take its full share.
        Ready,
        /// The member is leaving: it is given no partitions, and its partitions are reassigned.
        Draining,
    }
}

derive_common! {
    data
    /// The state of one member, as input to the planner.
    pub struct MemberState {
        /// The session that identifies the membership.
        pub session: Session,
        /// The availability zone.
        pub zone: ZoneName,
        /// The slots of its backend server; zero if it has none.
        pub slots: u32,
        /// The stage of its lifecycle.
        pub stage: MemberStage,
    }
}

derive_common! {
    value
    /// The state of one partition, as input to the planner.
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
    /// The input of the planner.
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
        /// The maximum number of planned moves; partitions without an owner or with a draining one
        /// are not counted.
        pub max_moves: u32,
        /// How far above the fair share a member's utilization must be before partitions are moved
        /// away from it, in percent.
        pub hysteresis_percent: u32,
    }
}

derive_common! {
    value
    /// One change of the plan.
    pub enum Change {
        /// Make a member the owner of a partition, by a planned move if the partition has an owner.
        SetOwner {
            /// The partition.
            partition: Partition,
            /// The new owner.
            owner: Session,
        },
        /// Make a member the standby of a partition.
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
/// Unserved partitions come first, then those of draining members, then standbys, then planned
/// moves, which are made only if there is no other change. A `SetOwner` that names the standby
/// leaves the partition without one, and a `SetStandby` for it follows if another member can be the
/// standby. No partition gets two owners in one plan. The same input gives the same plan.
pub fn plan(input: &PlanInput, limits: &PlanLimits) -> Vec<Change> {
    let mut state = PlanState::new(input);
    unserved::assign(&mut state);
    unserved::assign_draining(&mut state);
    standbys::assign(&mut state);
    if state.is_unchanged() {
        rebalance::rebalance(&mut state, limits);
    }
    state.into_changes()
}
