//! The process beside one backend server that serves the callers of its host.
//!
//! All parts share one thread and `state::Cx`; decisions are in `mesh`, the platform's names in
//! `adapter`. Each listener and each follower of the store is a task of its own.

mod backend;
mod dependency;
mod edges;
mod follow;
mod hop;
mod ingress;
mod keep;
mod log_out;
mod news;
mod settings;
mod start;
mod state;
mod tell;
mod tries;
mod wire;

pub use log_out::LogWriter;
pub use settings::{Listen, Retry, Settings, SettingsError};
pub use start::{StartError, run};
