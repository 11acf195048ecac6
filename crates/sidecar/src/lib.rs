//! The sidecar: a process beside one backend server that serves the callers of its host.
//!
//! All tasks share one thread and `state::Cx`. The decision logic is in `mesh`, and the platform's
//! names and formats are in `adapter`. Each listener and each watch of the store runs as a task of
//! its own.

mod attempts;
mod backend;
mod bodies;
mod cold_start;
mod departures;
mod dependency;
mod evacuation;
mod grant_calls;
mod ingress;
mod key_ownership;
mod lifecycle;
mod listeners;
mod log_writer;
mod relay;
mod renewals;
mod response;
mod rollback;
mod rpc;
mod settings;
mod state;
mod store_watch;
pub mod wire;

pub use lifecycle::{StartError, maintain_metrics, run};
pub use log_writer::LogWriter;
pub use settings::{ColdBounds, Limits, Listen, Retry, Settings, SettingsError};
