//! Decision logic of the sidecar process that runs next to one backend server and serves the
//! callers on its host: routing, queueing, retries, load balancing and key ownership.
//!
//! Nothing here does I/O, reads a clock or draws a random number. The `sidecar` crate passes in
//! events and the current time and carries out the returned actions, so tests can replay whole load
//! patterns deterministically.

mod body_admission;
mod cold_start;
mod compression;
mod config;
mod connection_limit;
mod departure;
mod directory;
mod evacuation;
mod key_map;
mod key_request_counts;
mod leases;
mod load_balancer;
mod memory_budget;
mod ownership;
mod placement;
mod queue;
mod renewal_batch;
mod response_link;
mod retry_budget;
mod suspects;
mod update_source;
mod witness;

pub use body_admission::{BodyAdmission, BodyLimits, TransferDecision, TransferId};
pub use cold_start::{ColdLimits, ColdStart};
pub use compression::{compress, decompress};
pub use config::{
    Config, GrantDelivery, RequestLimits, RetrySafety, Route, Service, WeightedService,
};
pub use connection_limit::ConnectionLimit;
pub use departure::{Departure, DepartureError, DepartureLog};
pub use directory::{HostChanges, HostDirectory, HostUpdate};
pub use evacuation::{Evacuations, ZoneEvacuation};
pub use key_map::{KeyMap, KeyMapError, KeyRange, MAX_KEY};
pub use key_request_counts::KeyRequestCounts;
pub use leases::{Incarnation, LeaseObserver, LeaseRow, LeaseRowError};
pub use load_balancer::{
    AttemptResult, ClassLoad, Distance, LoadBalancer, LoadReport, Peer, Pick, PickRequest,
};
pub use memory_budget::{HolderId, HolderKind, MemoryBudget, Purpose, StalledHolder};
pub use ownership::{
    BackendHeartbeat, ConditionalWrite, Grant, GrantCall, GrantCallId, GrantCallOutcome,
    HeartbeatAction, HeartbeatReply, HeldRange, KeyOwnership, KeyRejection, LeaseReader,
    OwnershipTiming, PeerHost, RowName, WriteOutcome,
};
pub use placement::{KeyMove, Member, evict, initial_map, rebalance, shed};
pub use queue::{Admission, Job, JobId, QueueLimits, RequestQueue};
pub use renewal_batch::{Renewal, RenewalBatch, RenewalWriterSelector};
pub use response_link::ResponseLink;
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use suspects::{CrashSuspects, RunId, SuspectUpdate};
pub use update_source::{UpdateSource, UpdateSourceCandidates, UpdateSourceSelector};
pub use witness::{Witness, WitnessQuestion, WitnessReply, WitnessRequest};
