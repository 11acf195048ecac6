//! The ownership protocol: which host of a cell owns which partition.
//!
//! A cell is the group of hosts that serves some of the partitions of a service. It keeps its state
//! in one row of the platform's table service, which is changed by compare-and-set only. A few
//! hosts, the grantors, grant leases: a member may serve while a majority of the grantors has
//! granted it an unexpired term. The first live grantor is the coordinator, which writes the row
//! and tells members what to serve.
//!
//! The protocol is a deterministic state machine: an event and the current time go in, commands
//! come out. The crate performs no I/O, reads no clock and draws no random number, so that the
//! model checker, the tests and the host process run the same code.
//!
//! `lease` and `claims` implement the member, `grantor` and `seal` the grantor, and `coordinator`
//! with `expiration`, `moves`, `reconcile`, `grantor_set` and `planning` the coordinator.
//! `row_store` reads and writes the row, `quorum_recovery` replaces grantors that are gone for
//! good, and `node` combines all of them.

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
