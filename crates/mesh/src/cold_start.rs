//! The number of requests that a cold backend server is sent.
//!
//! Needed because a backend server that has just started, or has lost its caches, tolerates fewer
//! requests per second than its slots admit. Only the sidecar process next to a backend server
//! sends to it, so the local count covers all hosts. The count goes on while the backend server is
//! warm, so that a heartbeat that reports a cold period finds the requests of the last second.

use model::Millis;

use crate::JobId;

/// Requests that were sent within this time may arrive within one second: those sent first may be
/// delayed by some tens of milliseconds more than those sent last.
const WINDOW: Millis = Millis(1_100);

/// The fraction of the bound that is used. The rest is for what the count can't know: a stall of a
/// busy host between the decision and the arrival that exceeds the allowance of the window, and
/// the first requests after a cold period began that the next heartbeat, up to 0.9 s later,
/// reports.
const USED_FRACTION: f64 = 0.9;

/// The bound on the requests that a cold backend server receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// How long a backend server that reports nothing else is cold after its start.
    pub cold_for: Millis,
    /// The requests per second that a cold backend server tolerates.
    pub per_second: f64,
    /// What `per_second` is multiplied by.
    pub overage: f64,
    /// The requests that are allowed in addition in any second.
    pub slack: f64,
}

impl ColdLimits {
    /// Returns the most requests that are sent within [`WINDOW`], at least one.
    fn max_sent(&self) -> usize {
        let bound = self.per_second * self.overage + self.slack;
        ((bound * USED_FRACTION) as usize).max(1)
    }
}

/// The cold period of one backend server, and the requests that it was sent.
#[derive(Clone, Debug)]
pub struct ColdStart {
    limits: Option<ColdLimits>,
    /// The end of the cold period according to the latest heartbeat that tells.
    reported_until: Millis,
    /// When the backend server was seen to start, or is presumed to have, if no heartbeat has told
    /// since how long it is cold.
    started_at: Option<Millis>,
    /// The requests that an earlier process sent leave the window at this time.
    predecessor_until: Millis,
    sent: Vec<(JobId, Millis)>, // Sorted by time.
}

/// Queries.
impl ColdStart {
    /// Returns when the cold period ends, or `None` if the backend server is not cold.
    pub fn cold_until(&self, now: Millis) -> Option<Millis> {
        let limits = self.limits?;
        let presumed = self.started_at.map_or(Millis::ZERO, |at| at + limits.cold_for);
        let until = presumed.max(self.reported_until);
        (now < until).then_some(until)
    }

    /// Returns whether a request may be sent now, or else when the next one may be.
    pub fn admit(&self, now: Millis) -> Result<(), Millis> {
        match self.nth_start(0, now) {
            at if at <= now => Ok(()),
            at => Err(at),
        }
    }

    /// Returns when a request may be sent, if `ahead` others are sent before it as early as
    /// possible.
    pub fn nth_start(&self, ahead: usize, now: Millis) -> Millis {
        let (Some(limits), Some(until)) = (self.limits, self.cold_until(now)) else { return now };
        let max = limits.max_sent();
        let earliest = now.max(self.predecessor_until);
        // A request takes the place of the one that was sent `max` requests before it.
        let replaced = (self.sent.len() + ahead % max).checked_sub(max);
        let place = replaced.map_or(earliest, |i| earliest.max(self.sent[i].1 + WINDOW));
        let rounds = u64::try_from(ahead / max).unwrap_or(u64::MAX);
        Millis(place.0.saturating_add(WINDOW.0.saturating_mul(rounds))).min(until)
    }

    /// Returns the number of slots that the requests which may be sent keep busy, or `None` if the
    /// backend server is not cold.
    pub fn usable_slots(&self, mean_run_time: Millis, now: Millis) -> Option<usize> {
        self.cold_until(now)?;
        let per_ms = self.limits?.max_sent() as f64 / WINDOW.0 as f64;
        Some(((per_ms * mean_run_time.0 as f64) as usize).max(1))
    }
}

/// Commands.
impl ColdStart {
    /// Creates the state of a process that started at `now`. Until the window has passed, it counts
    /// on an earlier process to have sent as many requests as are allowed.
    pub fn new(now: Millis) -> Self {
        Self {
            limits: None,
            reported_until: Millis::ZERO,
            started_at: Some(now),
            predecessor_until: now + WINDOW,
            sent: Vec::new(),
        }
    }

    /// Sets the limits; without limits, no backend server counts as cold.
    pub fn set_limits(&mut self, limits: Option<ColdLimits>) {
        self.limits = limits;
    }

    /// Records that another incarnation of the backend server was seen, or that it must be assumed
    /// to have started anew. It counts as cold until a heartbeat says otherwise, or its cold time
    /// has passed.
    pub fn backend_started(&mut self, now: Millis) {
        self.started_at = Some(now);
    }

    /// Applies what a heartbeat that arrived at `now` says about the rest of the cold period.
    pub fn record_heartbeat(&mut self, cold_for: Option<Millis>, now: Millis) {
        if let Some(left) = cold_for {
            self.reported_until = now + left;
            self.started_at = None;
        }
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, id: JobId, now: Millis) {
        self.sent.retain(|(_, at)| now.since(*at) < WINDOW);
        self.sent.push((id, now));
    }

    /// Takes back a request that was not sent after all, or that the backend server did not count.
    pub fn take_back(&mut self, id: JobId) {
        self.sent.retain(|(sent, _)| *sent != id);
    }
}
