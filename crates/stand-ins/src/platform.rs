//! A stand-in for the platform: a table service and an object store over HTTP.
//!
//! It keeps everything in memory. Faults are set by an admin call, so that tests can cause an
//! outage, a slow answer or an answer that is lost after the write took effect.

mod http;
mod store;

pub use http::start;
pub use store::{
    Condition, ConditionalPut, Counters, Faults, MAX_OBJECT_BYTES, MAX_ROW_BYTES, Store, WriteError,
};
