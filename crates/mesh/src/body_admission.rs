//! Admission of large request bodies that other hosts want to send to this one.
//!
//! Handles uploads that together exceed the link of the host. If every host sent at once, all
//! bodies would arrive late, bodies of requests that are refused would take the place of others, and
//! a body whose caller has left could not be recalled from the link. A host therefore asks before it
//! sends a large body. Bodies start in the order of the questions, few enough at a time to keep the
//! link busy without a queue on it, and one that would arrive too late is refused before any of it
//! is sent. While others wait, a body is also refused if the wait takes up most of the time to its
//! target: more bodies than the link carries would otherwise all wait until they just miss it. The
//! same bound limits the memory that bodies take.

use std::collections::VecDeque;

use model::{Millis, derive_common};

derive_common! {
    value
    /// Identifies the transfer of one body.
    pub struct TransferId(pub u64);
}

/// The decision on a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferDecision {
    /// It may be sent now.
    Start(TransferId),
    /// It waits until [`BodyAdmission::start_waiting`] starts it.
    Wait(TransferId),
    /// It would arrive too late. The link is expected to be free after the given time.
    Refused(Millis),
}

/// Limits on bodies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BodyLimits {
    /// What the link carries, in bytes per millisecond.
    pub bytes_per_ms: f64,
    /// The bytes that may be on their way at once, unless a single body has more.
    pub max_in_flight: u64,
    /// The largest body, in bytes.
    pub max_body: u64,
}

/// A transfer counts as abandoned if it takes this many times longer than expected.
const ABANDONED_FACTOR: f64 = 4.0;

/// The additional time after which a transfer counts as abandoned: two round trips between regions
/// and the time until the sender's process runs.
const ABANDONED_MARGIN: Millis = Millis(1_000);

/// The part of the time to its target that a body may wait while others wait too.
const MAX_WAIT_SHARE: f64 = 0.5;

/// The weight of one transfer in the moving average of the rate.
const RATE_WEIGHT: f64 = 0.1;

/// The smallest rate that is taken into account, as a fraction of what the link carries. Slower
/// transfers are held up by their senders.
const MIN_RATE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
struct Transfer {
    id: TransferId,
    bytes: u64,
    started_at: Millis,
    /// For a waiting transfer the latest useful end, for a started one when it is abandoned.
    end: Millis,
}

/// The bodies that a host receives from others.
#[derive(Debug)]
pub struct BodyAdmission {
    limits: BodyLimits,
    /// The moving average of the rate at which bodies arrive, in bytes per millisecond. Other traffic
    /// takes a part of the link.
    rate: f64,
    last_finish: Millis,
    last_id: u64,
    started: Vec<Transfer>,
    waiting: VecDeque<Transfer>,
}

/// Queries.
impl BodyAdmission {
    /// Returns the size of a body that may be sent now, or `None` if it may not.
    pub fn admitted_bytes(&self, id: TransferId) -> Option<u64> {
        self.started.iter().find(|t| t.id == id).map(|t| t.bytes)
    }

    /// Returns how long a body that is announced now waits until it may be sent.
    pub fn expected_wait(&self) -> Millis {
        let bytes: u64 = self.started.iter().chain(&self.waiting).map(|t| t.bytes).sum();
        self.transfer_time(bytes)
    }

    fn transfer_time(&self, bytes: u64) -> Millis {
        Millis((bytes as f64 / self.rate) as u64)
    }

    fn fits(&self, bytes: u64) -> bool {
        let in_flight: u64 = self.started.iter().map(|t| t.bytes).sum();
        self.started.is_empty() || in_flight.saturating_add(bytes) <= self.limits.max_in_flight
    }
}

/// Commands.
impl BodyAdmission {
    /// Creates an admission without transfers.
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            limits,
            rate: limits.bytes_per_ms,
            last_finish: Millis::ZERO,
            last_id: 0,
            started: Vec::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Decides on a body that should have arrived by `target_end` and is of no use after
    /// `latest_end`.
    pub fn submit(
        &mut self,
        bytes: u64,
        target_end: Millis,
        latest_end: Millis,
        now: Millis,
    ) -> TransferDecision {
        self.discard_abandoned(now);
        let wait = self.expected_wait();
        let end = now + wait + self.transfer_time(bytes);
        let max_wait = target_end.since(now).0 as f64 * MAX_WAIT_SHARE;
        let late = end > latest_end || !self.waiting.is_empty() && wait.0 as f64 > max_wait;
        if bytes > self.limits.max_body || late {
            return TransferDecision::Refused(wait);
        }
        self.last_id += 1;
        let id = TransferId(self.last_id);
        if self.waiting.is_empty() && self.fits(bytes) {
            self.start(id, bytes, now);
            return TransferDecision::Start(id);
        }
        self.waiting.push_back(Transfer { id, bytes, started_at: now, end: latest_end });
        TransferDecision::Wait(id)
    }

    /// Starts waiting transfers that fit. Returns them, and those that can no longer arrive in time.
    pub fn start_waiting(&mut self, now: Millis) -> (Vec<TransferId>, Vec<TransferId>) {
        self.discard_abandoned(now);
        let transfer_times = self.waiting.iter().map(|t| self.transfer_time(t.bytes));
        let late: Vec<TransferId> = transfer_times
            .zip(&self.waiting)
            .filter(|(time, t)| now + *time > t.end)
            .map(|(_, t)| t.id)
            .collect();
        self.waiting.retain(|t| !late.contains(&t.id));
        let mut started = Vec::new();
        while let Some(next) = self.waiting.front().copied().filter(|t| self.fits(t.bytes)) {
            self.waiting.pop_front();
            self.start(next.id, next.bytes, now);
            started.push(next.id);
        }
        (started, late)
    }

    /// Records that a body arrived.
    pub fn arrived(&mut self, id: TransferId, now: Millis) {
        let Some(at) = self.started.iter().position(|t| t.id == id) else { return };
        let transfer = self.started.remove(at);
        let busy = now.since(transfer.started_at.max(self.last_finish)).0.max(1) as f64;
        let max = self.limits.bytes_per_ms;
        let sample = (transfer.bytes as f64 / busy).clamp(max * MIN_RATE, max);
        self.rate += (sample - self.rate) * RATE_WEIGHT;
        self.last_finish = now;
    }

    /// Records that a body won't be sent.
    pub fn cancel(&mut self, id: TransferId) {
        self.started.retain(|t| t.id != id);
        self.waiting.retain(|t| t.id != id);
    }

    fn start(&mut self, id: TransferId, bytes: u64, now: Millis) {
        let ahead: u64 = self.started.iter().map(|t| t.bytes).sum::<u64>() + bytes;
        let expected = self.transfer_time(ahead).0 as f64;
        let end = now + Millis((expected * ABANDONED_FACTOR) as u64) + ABANDONED_MARGIN;
        self.started.push(Transfer { id, bytes, started_at: now, end });
    }

    fn discard_abandoned(&mut self, now: Millis) {
        self.started.retain(|t| now <= t.end);
    }
}
