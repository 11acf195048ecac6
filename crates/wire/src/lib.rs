//! Communication between hosts: bincode frames over HTTP/2 streams.
//!
//! Domain types are never encoded directly. Each has a wire type, and received values are validated
//! when they are converted to the domain type.

mod body;
mod call;
mod client;
pub mod codec;
mod connection;
mod handover;
mod liveness;
mod meter;
mod pool;
mod server;
mod settings;
mod wire_types;

pub use body::{Body, BodyError, full_body};
pub use call::{Call, ForwardHead, Handover, Reply, ResponseHead};
pub use client::{CallError, Client};
pub use handover::handover_calls;
pub use meter::Traffic;
pub use server::{Handlers, ServeError, Server, serve, serve_with};
pub use settings::{BlockedPeers, ClientSettings, ServerSettings};
pub use wire_types::ValueError;
