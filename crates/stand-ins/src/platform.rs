//! An in-memory test double of the platform: a table service and an object store over HTTP.
//!
//! An admin endpoint injects faults: an outage, slow responses, responses that are lost after the
//! write took effect, and writes that take effect late.

mod http;
mod store;

pub use http::start;
pub use store::{
    Condition, ConditionalPut, Counters, Faults, MAX_OBJECT_BYTES, MAX_ROW_BYTES, Store, WriteError,
};
