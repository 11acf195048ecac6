//! Classifies failed attempts: the request was not run, or it may have run.
//!
//! A hop reports that a request was not run only if it sent no byte of the request, or if the next
//! hop reported so. Once a byte was sent, a lost request and a lost response cannot be told apart.

use model::{NotRunReason, UnknownReason, derive_common};
use papayarill_config::RetrySafety;

use crate::retry::Failure;

/// The HTTP status with which a backend server refuses a request.
const REFUSED_STATUS: u16 = 503;

/// The response header with which a backend server reports that it refused a request before running
/// any of it. The host process consumes the header and does not forward it.
pub const REFUSED_HEADER: &str = "papayarill-refused";

derive_common! {
    value
    /// How far an attempt got.
    pub enum Progress {
        /// No byte of the request was written to the connection.
        NothingSent,
        /// Some or all of the request was written to the connection.
        Sent,
        /// The response head was received.
        ResponseStarted,
    }
}

derive_common! {
    value
    /// Why an attempt failed.
    pub enum AbortCause {
        /// The connection could not be established, or broke.
        Connection,
        /// The deadline passed.
        Deadline,
        /// The caller disconnected.
        Abandoned,
        /// The backend server is known to have died.
        BackendDied,
    }
}

/// Classifies an attempt by how far it got before it failed.
pub fn classify_abort(progress: Progress, cause: AbortCause) -> Failure {
    match progress {
        Progress::NothingSent => Failure::NotRun(match cause {
            AbortCause::Connection | AbortCause::BackendDied => NotRunReason::NotConnected,
            AbortCause::Deadline => NotRunReason::Deadline,
            AbortCause::Abandoned => NotRunReason::Abandoned,
        }),
        Progress::Sent => Failure::Unknown(match cause {
            AbortCause::Connection | AbortCause::Abandoned => UnknownReason::ConnectionLost,
            AbortCause::Deadline => UnknownReason::Timeout,
            AbortCause::BackendDied => UnknownReason::BackendDied,
        }),
        Progress::ResponseStarted => Failure::Unknown(match cause {
            AbortCause::BackendDied => UnknownReason::BackendDied,
            _ => UnknownReason::ResponseTruncated,
        }),
    }
}

/// Returns why a backend server refused a request, or `None` if the response is not a refusal.
///
/// `refused` is the value of [`REFUSED_HEADER`]. Only the exact status and a known value count as a
/// refusal: any other response may come from a request that ran.
pub fn refusal_reason(status: u16, refused: Option<&[u8]>) -> Option<NotRunReason> {
    if status != REFUSED_STATUS {
        return None;
    }
    match refused? {
        b"shed" => Some(NotRunReason::BackendRefused),
        b"not-granted" => Some(NotRunReason::NoLease),
        b"fence" => Some(NotRunReason::NotOwner),
        b"draining" => Some(NotRunReason::Draining),
        b"deadline" => Some(NotRunReason::Deadline),
        _ => None,
    }
}

derive_common! {
    value
    /// What to do with a running request whose caller disconnected.
    pub enum DisconnectAction {
        /// Cancel it at the backend server.
        Cancel,
        /// Let it finish, so that a retry with the same request id gets the response.
        Finish,
    }
}

/// Returns what to do with a running request whose caller disconnected before the deadline.
///
/// A request that runs at most once is not cancelled: a cancelled run may have taken effect or not,
/// so every retry by the caller could only be told that the outcome is unknown.
pub fn on_caller_disconnect(repeat: RetrySafety) -> DisconnectAction {
    match repeat {
        RetrySafety::Idempotent => DisconnectAction::Cancel,
        RetrySafety::AtMostOnce => DisconnectAction::Finish,
    }
}
