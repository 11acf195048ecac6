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

pub use budget::{Budget, BudgetLimits};
pub use config::{Config, Limits, Repeat, Route, Service, Share};
pub use demand::Demand;
pub use directory::{Changes, Directory, HostNews};
pub use keeper::{
    Beat, BeatReply, Grant, Heard, Held, Keeper, KeeperTimes, Refused, RowName, Todo, Written,
};
pub use keys::{KeyMap, KeyMapError, MAX_KEY, Run};
pub use leases::{Boot, LeaseRow, LeaseRowError, LeaseWatch};
pub use pack::{pack, unpack};
pub use peers::{Distance, LoadReport, Peer, Peers, Sent};
pub use plan::{Member, Piece, evict, first_map, rebalance, shed};
pub use queue::{Job, Offer, Queue, QueueLimits, Ticket};
pub use relays::{Neighbours, Relays, Source};
pub use suspects::{RunId, SuspectNews, Suspects};
pub use witness::{Ask, Question, Witness, Word};
