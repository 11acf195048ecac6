//! Messages between host processes: bincode wire types over h2 streams.
//!
//! Domain types never go over the network as they are. Each has a twin here that is encoded, and
//! what comes in is checked when it is turned into the domain type.

mod body;
mod call;
mod client;
pub mod codec;
mod handover;
mod link;
mod meter;
mod pool;
mod pulse;
mod server;
mod settings;
mod twin;

pub use body::{Body, BodyError, full_body};
pub use call::{Call, ForwardHead, Handover, Reply, ResponseHead};
pub use client::{CallError, Client};
pub use handover::handover_calls;
pub use meter::Traffic;
pub use server::{Handlers, ServeError, Server, serve, serve_with};
pub use settings::{BlockedPeers, ClientSettings, ServerSettings};
pub use twin::ValueError;
