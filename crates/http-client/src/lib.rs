//! The HTTP client towards backend servers: awc, set up so that what it reports is true.
//!
//! awc alone ends a body that is cut off without an error, follows redirects by itself, and reports
//! an answer that was lost as a connection that could not be made. A router must do none of these:
//! it would pass on half an answer as whole, or call a request not run that did run.

mod whole;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};
use model::Millis;

/// How long an unused connection is kept. Servers commonly close theirs after 5 s; a request that
/// is sent while they do so may have run or not.
const MAX_IDLE: Millis = Millis(2_000);

/// Limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections that are open at the same time, to all servers together.
    pub connections: usize,
    /// The time for making one connection.
    pub connect_limit: Millis,
}

/// Makes a client without a time limit for answers, without headers of its own and without
/// redirects. Only answers with `Content-Length` or in chunks can be received whole; an answer
/// that ends with its connection is an error.
pub fn client(limits: Limits) -> Client {
    let connector = Connector::new()
        .connector(whole::service())
        .limit(limits.connections)
        .conn_keep_alive(MAX_IDLE.into())
        .timeout(limits.connect_limit.into());
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// How far a request came that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// No byte of it left this process.
    No,
    /// It may have arrived, in part or whole.
    Maybe,
}

/// Tells how far a request came that ended in `error`.
pub fn sent(error: &SendRequestError) -> Sent {
    match error {
        // `Connect(Disconnected)` is missing here: it stands for a connection that ended before
        // the answer, after the request was sent.
        SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
            | ConnectError::Timeout
            | ConnectError::Io(_),
        )
        | SendRequestError::Url(_) => Sent::No,
        _ => Sent::Maybe,
    }
}
