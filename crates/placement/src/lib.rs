//! A pure planner that decides which member owns which partition.
//!
//! The planner sees plain data and returns an ordered, bounded list of changes. Whether a change
//! is safe is not its concern; the coordinator carries each one out under the rules of ownership.

mod board;
mod heavy;
mod moves;
mod plan;
mod standbys;
mod unserved;

pub use heavy::{HeavyHitters, Hitter};
pub use plan::{Change, Input, Limits, MemberLoad, PartitionLoad, Stage, plan};
