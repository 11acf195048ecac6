//! The host process: connects the I/O-free crates (`ownership`, `routing`, `admission`) to the
//! network with actix.
//!
//! One host process runs beside each backend server. It accepts callers' requests as an ingress,
//! runs those whose keys its backend server owns, and is a member of its cell in the ownership
//! protocol. The I/O-free crates make all decisions; this crate reads clocks, draws random numbers
//! and transfers data.

mod announce;
mod backend;
mod callers;
mod config_watch;
mod context;
mod decisions;
mod drain;
mod ingress;
mod listener;
mod membership;
pub mod operators;
mod owner;
mod peers;
mod routes;
mod settings;
mod start;

pub use settings::{
    Limits, ListenAddresses, Settings, SettingsError, TestSwitches, ValidationErrors,
};
pub use start::{BoundAddresses, DrainHandle, RunningHost, StartError, start};
