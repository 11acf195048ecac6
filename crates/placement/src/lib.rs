//! A pure planner that decides which member owns which partition.
//!
//! The planner sees plain data and returns an ordered, bounded list of changes. Whether a change
//! is safe is not its concern; the coordinator carries each one out under the rules of ownership.

mod plan;

pub use plan::{Change, Input, Limits, MemberLoad, PartitionLoad, Stage, plan};
