//! What a hop knows about a request that it passed on.
//!
//! The type keeps two failures apart that look alike to a caller: a request that never reached
//! the backend server, and an answer that was lost after the request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What became of a request, as far as the hop that says so can know.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome<T> {
    /// The backend server ran the request and this is its answer.
    Ran(T),
    /// No backend server ran the request, and none will. Sending it again is safe.
    NotRun(NotRunReason),
    /// The request may have run. Only an idempotent request may be sent again.
    Unknown(UnknownReason),
}

impl<T> Outcome<T> {
    /// Turns the answer of a request that ran into another type.
    pub fn map<U>(self, f: impl FnOnce(T) -> U) -> Outcome<U> {
        match self {
            Self::Ran(answer) => Outcome::Ran(f(answer)),
            Self::NotRun(reason) => Outcome::NotRun(reason),
            Self::Unknown(reason) => Outcome::Unknown(reason),
        }
    }
}

crate::derive_common! {
    value
    /// Why a request was not run.
    pub enum NotRunReason {
        /// No connection could be made, so nothing was sent.
        NotConnected,
        /// The host is not the owner of the key.
        NotOwner,
        /// The host has no valid lease.
        NoLease,
        /// No owner of the key is known at the moment.
        NoOwner,
        /// The host is draining and takes no new work.
        Draining,
        /// The backend server refused the request before running it.
        BackendRefused,
        /// The deadline passed, or would pass, before the request could start.
        Deadline,
        /// The queue is full, or the request's class is shed.
        Overloaded,
        /// The request crashed backend servers and is refused for some time.
        Quarantined,
        /// The retry budget of the service is used up.
        RetryBudget,
        /// The host cannot tell whether its configuration is current.
        StaleConfig,
        /// The caller went away before the request was started.
        Abandoned,
    }
}

crate::derive_common! {
    value
    /// Why it is unknown whether a request ran.
    pub enum UnknownReason {
        /// The connection broke after the request was sent, at least in part.
        ConnectionLost,
        /// No answer came within the time limit.
        Timeout,
        /// The answer broke off before its end.
        ResponseTruncated,
        /// The owner has no record that reaches back to when the request was minted.
        HistoryIncomplete,
        /// The backend server died while it ran the request.
        BackendDied,
        /// The owner lost its lease while the request ran.
        LeaseLost,
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
        })
    }
}
