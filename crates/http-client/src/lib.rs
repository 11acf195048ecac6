//! The HTTP client towards backend servers: awc, set up so that what it reports is true.
//!
//! awc alone ends a body that is cut off without an error, follows redirects by itself, and reports
//! an answer that was lost as a connection that could not be made. A router must do none of these:
//! it would pass on half an answer as whole, or call a request not run that did run.

mod strict_eof;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::{Client, Connector};
use model::Millis;

/// Where the body of an answer ends, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// After so many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection, so nobody can tell whether the body is whole. awc takes it for empty.
    UntilClose,
}

impl BodyFraming {
    /// Returns the length in bytes, if the head states it.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(bytes) => Some(bytes),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Tells where the body of an answer to a request with this method ends.
pub fn body_framing(method: &str, status: StatusCode, headers: &HeaderMap) -> BodyFraming {
    let bodiless = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if bodiless || method == "HEAD" {
        // The length in such a head is that of a body which is not sent.
        return BodyFraming::Length(0);
    }
    if headers.contains_key(TRANSFER_ENCODING) {
        return BodyFraming::Chunked;
    }
    let length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    length.map_or(BodyFraming::UntilClose, BodyFraming::Length)
}

/// Limits of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// Connections that are open at the same time, to all servers together.
    pub max_connections: usize,
    /// The time for making one connection.
    pub connect_timeout: Millis,
    /// How long a connection is kept without a request. It should be shorter than what servers
    /// keep: a request on a connection that the server closes at the same moment gets no answer,
    /// and nobody can tell whether it ran.
    pub idle_timeout: Millis,
}

/// Makes a client without a time limit for answers, without headers of its own and without
/// redirects. Only answers with `Content-Length` or in chunks can be received whole; an answer
/// that ends with its connection is an error.
pub fn client(limits: ClientLimits) -> Client {
    let connector = Connector::new()
        .connector(strict_eof::connector())
        .limit(limits.max_connections)
        .timeout(limits.connect_timeout.into())
        .conn_keep_alive(limits.idle_timeout.into());
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// How far a request came that has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// No byte of it left this process.
    NotSent,
    /// It may have arrived, in part or whole.
    MaybeSent,
}

/// Tells how far a request came that ended in `error`.
pub fn delivery_of(error: &SendRequestError) -> Delivery {
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
        | SendRequestError::Url(_) => Delivery::NotSent,
        _ => Delivery::MaybeSent,
    }
}
