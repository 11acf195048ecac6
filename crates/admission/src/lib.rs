//! Pure decisions about which request may run now: slots, classes, shedding, quarantine.
//!
//! Nothing here does I/O or reads a clock. The host process feeds events with the time at which
//! they happened and carries out the actions that come back.

mod demand;
mod estimates;
mod job;
mod limits;
mod quarantine;
mod queue;
mod running;
mod slots;
mod slow_keys;
mod waiting;

pub use job::{Action, Admission, Job, JobOutcome};
pub use limits::{Limits, LimitsBuilder};
pub use quarantine::{
    CrashReport, Quarantine, QuarantineLimits, QuarantineState, QuarantineStatus, StartDecision,
};
pub use queue::Queue;
