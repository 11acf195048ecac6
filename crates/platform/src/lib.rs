//! A client of the platform's table service and object store.
//!
//! All access to the store goes through this crate: rows of cells, the index of configuration
//! versions (the head), and configuration documents. Everything read from the store is validated
//! before it is converted to the types of other crates.

mod client;
mod error;
mod head;
mod http;
mod row_doc;

pub use client::PlatformClient;
pub use error::{ReadError, RowError, WriteError};
pub use row_doc::{MAX_GRANTORS, MAX_MEMBERS, MAX_PARTITION, MAX_UNSEALED, decode_row, encode_row};
