//! Decisions of a process that runs beside one backend server and serves the callers of its host.
//!
//! Nothing here does I/O, reads a clock or draws a random number. The shell (`sidecar`) hands in
//! events and the time and carries out what comes back, so tests replay whole load patterns.

mod budget;
mod config;
mod demand;
mod directory;
mod keeper;
mod keys;
mod leases;
mod pack;
mod peers;
mod plan;
mod queue;
mod relays;
mod suspects;
mod witness;

pub use budget::{RetryBudget, RetryBudgetLimits};
pub use config::{Config, RequestLimits, RetrySafety, Route, Service, WeightedService};
pub use demand::KeyRequestCounts;
pub use directory::{HostChanges, HostDirectory, HostUpdate};
pub use keeper::{
    BackendHeartbeat, ConditionalWrite, Grant, HeartbeatAction, HeartbeatReply, HeldRange,
    KeyOwnership, KeyRejection, OwnershipTiming, RowName, WriteOutcome,
};
pub use keys::{KeyMap, KeyMapError, KeyRange, MAX_KEY};
pub use leases::{Incarnation, LeaseObserver, LeaseRow, LeaseRowError};
pub use pack::{pack, unpack};
pub use peers::{AttemptResult, Distance, LoadBalancer, LoadReport, Peer};
pub use plan::{KeyMove, Member, evict, first_map, rebalance, shed};
pub use queue::{Admission, Job, JobId, QueueLimits, RequestQueue};
pub use relays::{Upstream, UpstreamCandidates, UpstreamSelector};
pub use suspects::{CrashSuspects, RunId, SuspectUpdate};
pub use witness::{Witness, WitnessQuestion, WitnessReply, WitnessRequest};
