//! The HTTP client for backend servers: awc, configured to report failures accurately.
//!
//! By default, awc ends a truncated body without an error, follows redirects, and reports a lost
//! response as a failure to connect. It passes on any status from 100 to 999, and takes an interim
//! response for the final one. For a router this would be wrong: it would forward a truncated
//! response as complete, or report a request as not run that did run.

mod status_line;
mod strict_eof;

use std::error::Error;
use std::io;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::{Client, Connector};
use model::Millis;

/// The kind of the error of a connection whose server sent something that is not a response.
const NOT_A_RESPONSE: io::ErrorKind = io::ErrorKind::InvalidData;

/// How the head of a response delimits the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body uses chunked transfer encoding.
    Chunked,
    /// The body ends when the connection is closed, so a truncated body cannot be detected. awc
    /// treats such a body as empty.
    UntilClose,
}

impl BodyFraming {
    /// Returns the length in bytes, if the head announces it.
    pub fn length(self) -> Option<u64> {
        match self {
            Self::Length(bytes) => Some(bytes),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// Returns how the body of a response to a request with this method is delimited.
pub fn body_framing(method: &str, status: StatusCode, headers: &HeaderMap) -> BodyFraming {
    let bodiless = status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if bodiless || method == "HEAD" {
        // `Content-Length` in such a head is the length of a body that is not sent.
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
    /// Maximum number of open connections to all servers together.
    pub max_connections: usize,
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// How long an idle connection is kept. Should be shorter than the idle timeout of the servers:
    /// if the server closes the connection while a request is being sent, the request gets no
    /// response and it is unknown whether it ran.
    pub idle_timeout: Millis,
}

/// Creates a client without a response timeout, default headers or redirects. Responses must have a
/// `Content-Length` or chunked transfer encoding; a response that ends when the connection is
/// closed is an error.
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

/// Whether a request without a response was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Nothing was sent.
    NotSent,
    /// Some or all of it may have reached the server.
    MaybeSent,
}

/// Returns whether a request that failed with `error` was sent.
pub fn delivery_of(error: &SendRequestError) -> Delivery {
    match error {
        // `Connect(Disconnected)` is deliberately missing: it means that the connection was closed
        // after the request was sent but before the response.
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

/// Returns whether a request failed because the server sent something that is not a response.
pub fn is_invalid_response(error: &SendRequestError) -> bool {
    let mut cause: Option<&(dyn Error + 'static)> = match error {
        SendRequestError::Response(error) => Some(error),
        SendRequestError::Send(error) => Some(error),
        _ => None,
    };
    while let Some(error) = cause {
        if error.downcast_ref::<io::Error>().is_some_and(|e| e.kind() == NOT_A_RESPONSE) {
            return true;
        }
        cause = error.source();
    }
    false
}
