//! Admission control in front of a backend server: concurrency limit, priority classes, load
//! shedding, and quarantine of requests that crash backend servers.
//!
//! Nothing here does I/O or reads a clock. The host process passes in events with the time at which
//! they happened and carries out the returned actions.

mod estimates;
mod job;
mod limits;
mod offered_load;
mod quarantine;
mod queue;
mod running;
mod slot_limit;
mod slow_keys;
mod waiting;

pub use job::{Action, Admission, Job, JobOutcome};
pub use limits::{Limits, LimitsBuilder};
pub use quarantine::{
    CrashReport, Quarantine, QuarantineLimits, QuarantineState, QuarantineStatus, StartDecision,
};
pub use queue::Queue;
