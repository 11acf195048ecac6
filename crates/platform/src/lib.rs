//! Clients of the platform's table service and object store.
//!
//! This is the one narrow place where the project meets the store: rows of cells, the head of the
//! configuration, and configuration documents. Everything that comes from the store is checked
//! before it becomes a value of the other crates' types.

mod client;
mod error;
mod head;
mod http;
mod row_doc;

pub use client::PlatformClient;
pub use error::{ReadError, RowError, WriteError};
pub use row_doc::{MAX_GRANTORS, MAX_MEMBERS, MAX_PARTITION, MAX_UNSEALED, decode_row, encode_row};
