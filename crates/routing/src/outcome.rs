//! What a hop may say of an attempt that broke.
//!
//! A hop says that a request was not run only if no byte of it was sent, or if the next hop said
//! so. After the first byte a lost request and a lost answer look alike.

use model::{NotRunReason, UnknownReason, derive_common};
use papayarill_config::Repeat;

use crate::retry::Failure;

/// The status of a refusal by a backend server.
const REFUSED_STATUS: u16 = 503;

/// The header in which a backend server says that it refused a request before it ran anything.
/// It is meant for the host process and is not passed on.
pub const REFUSED_HEADER: &str = "papayarill-refused";

derive_common! {
    value
    /// How far an attempt got.
    pub enum Progress {
        /// No byte of the request was given to the connection.
        NothingSent,
        /// Some or all of the request was given to the connection.
        Sent,
        /// The head of the answer came.
        ResponseStarted,
    }
}

derive_common! {
    value
    /// What ended an attempt.
    pub enum AbortCause {
        /// The connection could not be made, or broke.
        Connection,
        /// The deadline passed.
        Deadline,
        /// The caller went away.
        Abandoned,
        /// The backend server is known to have died.
        BackendDied,
    }
}

/// Returns what is known of an attempt that got this far when it broke.
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
            _ => UnknownReason::AnswerCut,
        }),
    }
}

/// Returns why a backend server refused a request, or `None` if it ran the request.
///
/// `refused` is the value of [`REFUSED_HEADER`]. Only the exact form counts as a refusal: any
/// other answer may come from a request that ran.
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
    /// What to do with a run whose caller went away.
    pub enum DisconnectAction {
        /// Cancel it at the backend server.
        Cancel,
        /// Let it end, so that a re-send of its id gets the answer.
        Finish,
    }
}

/// Returns what to do with a started run whose caller went away before the deadline.
///
/// A cancelled run that was not idempotent could never be told apart from one that took effect:
/// its caller would only ever learn that the outcome is unknown.
pub fn on_caller_disconnect(repeat: Repeat) -> DisconnectAction {
    match repeat {
        Repeat::Repeatable => DisconnectAction::Cancel,
        Repeat::AtMostOnce => DisconnectAction::Finish,
    }
}
