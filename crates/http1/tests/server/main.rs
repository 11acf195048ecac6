//! Tests of server connections over raw byte streams.

mod limits;
mod messages;
mod support;
