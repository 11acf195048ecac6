//! The core protocol: who owns which partition, agreed through one row and a few grantors.
//!
//! Everything here is a pure state machine: an event and the time go in, commands come out. The
//! crate performs no I/O, reads no clock and draws no random number, so that the model checker,
//! the tests and the host process run the very same code.
//!
//! `lease` and `claims` are the member's part, `grantor` and `seal` the grantor's, and
//! `coordinator` with `expiration`, `moves`, `reconcile`, `grantor_set` and `planning` the coordinator's.
//! `store` is each process's dealings with the row, and `node` joins them all.

mod cell_view;
mod claims;
mod coordinator;
mod cx;
mod event;
mod expiration;
mod grantor;
mod grantor_set;
mod lease;
mod message;
mod moves;
mod node;
mod planning;
mod quorum_recovery;
mod reconcile;
mod routes;
mod row;
mod row_diff;
mod row_store;
mod rules;
mod seal;
mod settings;

pub use event::{Command, Decision, Event, Origin};
pub use message::{
    ClaimRef, Join, Message, PartitionReport, RefusalReason, Release, Renew, Report, RouteEntry,
    RouteTable, RoutesVersion,
};
pub use node::Node;
pub use row::{Assignment, CellRow, Grantor, GrantorSet, MemberEntry, VersionedRow};
pub use rules::{RuleMode, SafetyRules};
pub use settings::{NodeSettings, Timing};
