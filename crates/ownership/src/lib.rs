//! The core protocol: who owns which partition, agreed through one row and three grantors.
//!
//! Everything here is a pure state machine: an event and the time go in, commands come out. The
//! crate performs no I/O, reads no clock and draws no random number, so that the model checker,
//! the tests and the host process run the very same code.

mod message;
mod node;
mod row;

pub use message::{
    Join, Message, PartitionReport, RefusalReason, Release, Renew, Report, RouteEntry, RouteTable,
    RoutesVersion, Transfer,
};
pub use node::{Command, Decision, Event, Node, NodeSettings, Origin, Timing};
pub use row::{Assignment, CellRow, Grantor, GrantorSet, MemberEntry, VersionedRow};
