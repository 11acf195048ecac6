//! Messages between host processes: bincode wire types over h2 streams.
//!
//! Domain types never go over the network as they are. Each has a twin here that is encoded, and
//! what comes in is checked when it is turned into the domain type.

mod call;

pub use call::{AnswerHead, Call, ForwardHead, Handover, Reply};
