//! The host process: actix actors that connect the pure parts to the network.
//!
//! One host process runs beside each backend server. It takes callers' requests as ingress, runs
//! those whose keys its backend server owns, and takes part in the ownership protocol of its
//! cell. Every decision is made by a pure crate; this one reads clocks, draws random numbers and
//! moves bytes.

mod announce;
mod backend;
mod callers;
mod config_watch;
mod context;
mod decisions;
mod drain;
mod ingress;
mod membership;
pub mod operators;
mod owner;
mod peers;
mod routes;
mod settings;
mod start;

pub use settings::{ListenAddresses, Settings, SettingsError, TestSwitches, ValidationErrors};
pub use start::{BoundAddresses, DrainHandle, RunningHost, StartError, start};
