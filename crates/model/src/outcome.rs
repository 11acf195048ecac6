//! What a hop knows about the outcome of a request that it forwarded.
//!
//! [`Outcome`] distinguishes two failures that look alike to a caller: a request that never reached
//! the backend server, and a response that was lost after the request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The outcome of a request, as far as the reporting hop knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The backend server ran the request and returned this response.
    Ran(T),
    /// No backend server ran the request, and none will. It may be retried safely.
    NotRun(NotRunReason),
    /// The request may have run. It may be retried only if it is idempotent.
    Unknown(UnknownReason),
}

impl<T> Outcome<T> {
    /// Applies `f` to the response of a request that ran.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Ran(response) => Outcome::Ran(f(response)),
            Self::NotRun(reason) => Outcome::NotRun(reason),
            Self::Unknown(reason) => Outcome::Unknown(reason),
        }
    }
}

crate::derive_common! {
    value
    /// Why a request was not run.
    pub enum NotRunReason {
        /// No connection could be established, so nothing was sent.
        NotConnected,
        /// The host is not the owner of the key.
        NotOwner,
        /// The host has no valid lease.
        NoLease,
        /// No owner of the key is currently known.
        NoOwner,
        /// The host is draining and accepts no new requests.
        Draining,
        /// The backend server rejected the request without running it.
        BackendRefused,
        /// The deadline passed, or would pass, before the request could start.
        Deadline,
        /// The queue is full, or requests of this priority are being shed.
        Overloaded,
        /// The request is quarantined because it crashed backend servers.
        Quarantined,
        /// The retry budget of the service is exhausted.
        RetryBudget,
        /// The host cannot confirm that its configuration is current.
        StaleConfig,
        /// The caller disconnected before the request was started.
        Abandoned,
    }
}

crate::derive_common! {
    value
    /// Why it is unknown whether a request ran.
    pub enum UnknownReason {
        /// The connection failed after at least a part of the request was sent.
        ConnectionLost,
        /// No response was received within the time limit.
        Timeout,
        /// The response was truncated.
        ResponseTruncated,
        /// The owner's records don't reach back to the time at which the request id was minted.
        HistoryIncomplete,
        /// The backend server died while running the request.
        BackendDied,
        /// The owner lost its lease while the request was running.
        LeaseLost,
        /// What the backend server sent is not a response.
        InvalidResponse,
    }
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotConnected => "not-connected",
            Self::NotOwner => "not-owner",
            Self::NoLease => "no-lease",
            Self::NoOwner => "no-owner",
            Self::Draining => "draining",
            Self::BackendRefused => "backend-refused",
            Self::Deadline => "deadline",
            Self::Overloaded => "overloaded",
            Self::Quarantined => "quarantined",
            Self::RetryBudget => "retry-budget",
            Self::StaleConfig => "stale-config",
            Self::Abandoned => "abandoned",
        })
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ConnectionLost => "connection-lost",
            Self::Timeout => "timeout",
            Self::ResponseTruncated => "answer-cut",
            Self::HistoryIncomplete => "not-vouched",
            Self::BackendDied => "backend-died",
            Self::LeaseLost => "lease-lost",
            Self::InvalidResponse => "invalid-answer",
        })
    }
}

/// Returns whether `status` is one of a final response. A response with another one, such as 000
/// from a backend server in trouble, is not a response.
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}
