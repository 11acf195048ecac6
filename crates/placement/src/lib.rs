//! A planner that decides which member owns which partition.
//!
//! The planner is a pure function from plain data to an ordered, bounded list of changes. It does
//! not check whether a change is safe; the coordinator carries out each change under the rules of
//! ownership.

mod heavy_hitters;
mod plan;
mod plan_state;
mod rebalance;
mod standbys;
mod unserved;

pub use heavy_hitters::{HeavyHitter, HeavyHitters};
pub use plan::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};
