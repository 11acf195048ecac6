//! A pure planner that decides which member owns which partition.
//!
//! The planner sees plain data and returns an ordered, bounded list of changes. Whether a change
//! is safe is not its concern; the coordinator carries each one out under the rules of ownership.

mod heavy_hitters;
mod plan;
mod plan_state;
mod rebalance;
mod standbys;
mod unserved;

pub use heavy_hitters::{HeavyHitter, HeavyHitters};
pub use plan::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits, plan};
