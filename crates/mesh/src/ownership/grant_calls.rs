//! Grants that are delivered by calls to the backend server, for services whose heartbeat replies
//! carry none.
//!
//! A call may be lost on either way, or be applied seconds after its sender gave up, even after
//! later calls. Each range therefore has two ends: until the first it is certain to be held, and
//! after the second it is certain not to be. A range changes its owner only after the second.
//!
//! A call says nothing about who receives it. A backend server that restarted at the same address
//! must not be granted keys under the fences of its predecessor, so new connections are only opened
//! while it is certain that it has not restarted: shortly after another connection to it was open,
//! or after its heartbeat.

use model::{Fence, Millis};

use super::KeyOwnership;
use super::grants::{CLOCK_DRIFT_DIVISOR, merge_adjacent};
use super::releases::Release;
use crate::ownership::types::{Grant, GrantCall, GrantCallId, GrantCallOutcome, HeldRange};

/// The maximum number of grants in flight. A few that get no reply don't delay the others for long.
const MAX_PENDING_GRANTS: usize = 8;

/// The maximum number of releases in flight. The reply to each waits for the work that is running
/// on the keys.
const MAX_PENDING_RELEASES: usize = 32;

/// A grant is renewed when less than this is left of it.
const RENEW_BEFORE_END: Millis = Millis(1_500);

/// A renewal that extends a grant by less than this is not worth a call.
const MIN_EXTENSION: Millis = Millis(400);

/// A call that was rejected as invalid is not repeated for this time.
const REJECTED_RETRY: Millis = Millis(1_000);

/// A backend server takes longer than this to restart.
const MIN_RESTART_TIME: Millis = Millis(250);

/// The largest difference between the arrival of a call and the time at which its sender learned
/// the outcome or gave up.
const ARRIVAL_MARGIN: Millis = Millis(100);

/// What is known about a range of keys at the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Segment {
    from: u16,
    to: u16,
    /// The fence of the last grant that was sent.
    fence: Fence,
    /// Until then it certainly holds the keys under `fence`; zero if no grant was acknowledged.
    held_until: Millis,
    /// After that it certainly doesn't hold the keys.
    may_hold_until: Millis,
    /// After that, grants without a reply no longer have an effect.
    late_until: Millis,
    /// Whether a release was acknowledged after the last grant.
    released: bool,
}

impl Segment {
    fn unknown(from: u16, to: u16) -> Self {
        let (fence, held_until) = (Fence(0), Millis::ZERO);
        let (may_hold_until, late_until) = (Millis::ZERO, Millis::ZERO);
        Self { from, to, fence, held_until, may_hold_until, late_until, released: false }
    }

    fn same_state(&self, other: &Self) -> bool {
        Self { from: other.from, to: other.to, ..self.clone() } == *other
    }
}

#[derive(Clone, Debug)]
struct PendingCall {
    id: GrantCallId,
    call: GrantCall,
    sent: Millis,
}

/// The calls to one incarnation of the backend server and what they achieved.
#[derive(Clone, Debug)]
pub(super) struct GrantCalls {
    segments: Vec<Segment>, // Sorted, without overlaps.
    pending: Vec<PendingCall>,
    last_id: u64,
    /// Until then the backend server may hold keys that an earlier process granted.
    unknown_until: Millis,
    /// Calls that were rejected as invalid, with the time until which they are held back.
    rejected: Vec<(HeldRange, Millis)>,
    /// Whether the backend server has seen a higher fence on one of its keys.
    needs_higher_fence: bool,
    /// When it was last certain that the backend server has not restarted.
    alive_at: Millis,
    /// When due calls were last looked for. While this process is suspended, the backend server may
    /// restart unnoticed.
    checked_at: Millis,
}

/// Returns the end of a grant that arrived by `arrived`, on the slowest clock.
fn latest_end(arrived: Millis, valid_for: Millis) -> Millis {
    arrived + valid_for + Millis(valid_for.0 / CLOCK_DRIFT_DIVISOR) + ARRIVAL_MARGIN
}

fn overlaps(range: &HeldRange, from: u16, to: u16) -> bool {
    range.from <= to && from <= range.to
}

/// Queries.
impl GrantCalls {
    pub(super) fn holds(&self, key: u16, fence: Fence, now: Millis) -> bool {
        let after = self.segments.partition_point(|s| s.from <= key);
        let segment = after.checked_sub(1).map(|i| &self.segments[i]);
        segment.is_some_and(|s| key <= s.to && s.fence == fence && now < s.held_until)
    }

    /// Returns whether the whole range is certainly held under its fence.
    fn holds_range(&self, range: &HeldRange, now: Millis) -> bool {
        self.held_until(range).is_some_and(|until| now < until)
    }

    /// Returns until when the whole range is certainly held under its fence.
    fn held_until(&self, range: &HeldRange) -> Option<Millis> {
        let mut next = u32::from(range.from);
        let mut until = Millis(u64::MAX);
        let first = self.segments.partition_point(|s| s.to < range.from);
        for s in self.segments[first..].iter().take_while(|s| s.from <= range.to) {
            if u32::from(s.from) > next || s.fence != range.fence {
                return None;
            }
            next = u32::from(s.to) + 1;
            until = until.min(s.held_until);
        }
        (next > u32::from(range.to)).then_some(until)
    }

    /// Returns whether any key of a range may be held, or may become so by a late grant.
    pub(super) fn may_hold(&self, from: u16, to: u16, now: Millis) -> bool {
        let pending = |p: &PendingCall| overlaps(&p.call.range(), from, to);
        let segment = |s: &Segment| s.from <= to && from <= s.to && now <= s.may_hold_until;
        now <= self.unknown_until
            || self.pending.iter().any(pending)
            || self.segments.iter().any(segment)
    }

    pub(super) fn last_id(&self) -> u64 {
        self.last_id
    }

    /// Returns when every grant has ended. That is unknown while one is on its way.
    pub(super) fn latest_grant_end(&self) -> Millis {
        if self.pending.iter().any(|p| !p.call.is_release()) {
            return Millis(u64::MAX);
        }
        let end = self.segments.iter().map(|s| s.may_hold_until).max();
        end.unwrap_or(Millis::ZERO).max(self.unknown_until)
    }

    fn may_connect(&self, now: Millis) -> bool {
        now.since(self.alive_at) <= MIN_RESTART_TIME
    }

    fn is_pending(&self, from: u16, to: u16) -> bool {
        self.pending.iter().any(|p| overlaps(&p.call.range(), from, to))
    }

    fn is_rejected(&self, range: &HeldRange, now: Millis) -> bool {
        self.rejected.iter().any(|(r, until)| r == range && now < *until)
    }
}

/// Commands.
impl GrantCalls {
    /// Creates the state for an incarnation that was heard at `now`. `last_id` is the last id used
    /// for calls to the previous incarnation.
    pub(super) fn new(unknown_until: Millis, last_id: u64, now: Millis) -> Self {
        Self {
            segments: Vec::new(),
            pending: Vec::new(),
            last_id,
            unknown_until,
            rejected: Vec::new(),
            needs_higher_fence: false,
            alive_at: now,
            checked_at: now,
        }
    }

    /// Records a sign of life of the backend server. One that is noticed only after this process
    /// was suspended may be old.
    pub(super) fn record_alive(&mut self, now: Millis) {
        if now.since(self.checked_at) <= MIN_RESTART_TIME {
            self.alive_at = now;
        }
    }

    /// Returns whether the grants need a higher fence, which the caller then allocates.
    pub(super) fn take_fence_request(&mut self) -> bool {
        std::mem::take(&mut self.needs_higher_fence)
    }

    fn pending_count(&self, like: &GrantCall) -> usize {
        let same_kind = |p: &&PendingCall| p.call.is_release() == like.is_release();
        self.pending.iter().filter(same_kind).count()
    }

    /// Changes the segments of a range, which is split off from its neighbors.
    fn update(&mut self, range: &HeldRange, change: impl Fn(&mut Segment)) {
        let HeldRange { from, to, .. } = *range;
        let mut updated = Vec::with_capacity(self.segments.len() + 2);
        let mut inside = Vec::new();
        for s in self.segments.drain(..) {
            if s.to < from || to < s.from {
                updated.push(s);
                continue;
            }
            if s.from < from {
                updated.push(Segment { to: from - 1, ..s.clone() });
            }
            if to < s.to {
                updated.push(Segment { from: to + 1, ..s.clone() });
            }
            inside.push(Segment { from: s.from.max(from), to: s.to.min(to), ..s });
        }
        let mut next = u32::from(from);
        let mut filled = Vec::with_capacity(inside.len() + 1);
        for s in inside {
            if u32::from(s.from) > next {
                filled.push(Segment::unknown(next as u16, s.from - 1));
            }
            next = u32::from(s.to) + 1;
            filled.push(s);
        }
        if next <= u32::from(to) {
            filled.push(Segment::unknown(next as u16, to));
        }
        filled.iter_mut().for_each(change);
        updated.extend(filled);
        updated.sort_unstable_by_key(|s| s.from);
        updated.dedup_by(|next, s| {
            let joins = u32::from(s.to) + 1 == u32::from(next.from) && s.same_state(next);
            if joins {
                s.to = next.to;
            }
            joins
        });
        self.segments = updated;
    }

    fn start(&mut self, call: GrantCall, now: Millis) -> (GrantCallId, GrantCall) {
        self.last_id += 1;
        let id = GrantCallId(self.last_id);
        self.pending.push(PendingCall { id, call: call.clone(), sent: now });
        (id, call)
    }

    /// Applies the outcome of a call. Returns a released range and its handover token.
    fn finish(
        &mut self,
        id: GrantCallId,
        outcome: GrantCallOutcome,
        now: Millis,
    ) -> Option<(HeldRange, String)> {
        let at = self.pending.iter().position(|p| p.id == id)?;
        let PendingCall { call, sent, .. } = self.pending.swap_remove(at);
        let range = call.range();
        if matches!(outcome, GrantCallOutcome::Rejected | GrantCallOutcome::HigherFence) {
            self.rejected.retain(|(_, until)| now < *until);
            self.rejected.push((range, now + REJECTED_RETRY));
        }
        if !matches!(outcome, GrantCallOutcome::NotSent | GrantCallOutcome::Unknown) {
            self.alive_at = self.alive_at.max(sent);
        }
        match (call, outcome) {
            (GrantCall::Grant { valid_for, .. }, GrantCallOutcome::Done { .. }) => {
                let end = latest_end(now, valid_for);
                self.update(&range, |s| {
                    s.fence = range.fence;
                    s.released = false;
                    s.held_until = sent + valid_for;
                    s.may_hold_until = s.may_hold_until.max(end);
                });
                None
            }
            (GrantCall::Grant { valid_for, .. }, GrantCallOutcome::Unknown) => {
                let end = latest_end(now, valid_for);
                self.update(&range, |s| {
                    if s.fence != range.fence {
                        s.held_until = Millis::ZERO;
                    }
                    s.fence = range.fence;
                    s.released = false;
                    s.may_hold_until = s.may_hold_until.max(end);
                    s.late_until = s.late_until.max(end);
                });
                None
            }
            (GrantCall::Grant { .. }, GrantCallOutcome::HigherFence) => {
                self.needs_higher_fence = true;
                None
            }
            (GrantCall::Release { .. }, GrantCallOutcome::Done { handover }) => {
                self.update(&range, |s| {
                    s.released = true;
                    s.held_until = Millis::ZERO;
                    s.may_hold_until = s.late_until;
                });
                Some((range, handover))
            }
            (
                GrantCall::Grant { .. } | GrantCall::Release { .. },
                GrantCallOutcome::NotSent
                | GrantCallOutcome::Rejected
                | GrantCallOutcome::HigherFence
                | GrantCallOutcome::Unknown,
            ) => None,
        }
    }

    /// Returns the calls that release what `release` covers.
    fn release_calls(&self, release: &Release, now: Millis) -> Vec<GrantCall> {
        let held = |s: &&Segment| {
            let overlaps = s.from <= release.to && release.from <= s.to;
            overlaps && !s.released && now <= s.may_hold_until
        };
        let calls = self.segments.iter().filter(held).map(|s| {
            let (from, to) = (s.from.max(release.from), s.to.min(release.to));
            GrantCall::Release { range: HeldRange { from, to, fence: s.fence } }
        });
        calls.collect()
    }
}

/// Queries.
impl KeyOwnership {
    /// Returns whether a planned call may still be sent: not if the backend server has restarted
    /// since it was planned.
    pub fn is_grant_call_pending(&self, id: GrantCallId) -> bool {
        let calls = self.backend.as_ref().and_then(|b| b.calls.as_ref());
        calls.is_some_and(|c| c.pending.iter().any(|p| p.id == id))
    }

    /// Returns whether a new connection for a planned call may be opened: only if the backend server
    /// can't have restarted since it was last heard.
    pub fn may_connect_for(&self, id: GrantCallId, now: Millis) -> bool {
        let calls = self.backend.as_ref().and_then(|b| b.calls.as_ref());
        self.is_grant_call_pending(id) && calls.is_some_and(|c| c.may_connect(now))
    }
}

/// Commands.
impl KeyOwnership {
    /// Returns the calls that are due to the backend server. They have to be sent at once, because
    /// a grant counts from its arrival; outcomes are passed to
    /// [`KeyOwnership::grant_call_finished`]. `connected` tells whether a connection to the current
    /// incarnation is open.
    pub fn next_grant_calls(
        &mut self,
        connected: bool,
        now: Millis,
    ) -> Vec<(GrantCallId, GrantCall)> {
        self.record_possible_holds(now);
        let wanted = self.wanted_grants(now);
        let Some(calls) = self.backend.as_mut().and_then(|b| b.calls.as_mut()) else {
            return Vec::new();
        };
        if connected {
            calls.record_alive(now);
        }
        calls.checked_at = now;
        if !calls.may_connect(now) {
            return Vec::new();
        }
        let mut due: Vec<GrantCall> =
            self.releases.iter().flat_map(|r| calls.release_calls(r, now)).collect();
        due.extend(wanted);
        let mut started = Vec::new();
        for call in due {
            let limit = if call.is_release() { MAX_PENDING_RELEASES } else { MAX_PENDING_GRANTS };
            let range = call.range();
            if calls.pending_count(&call) < limit
                && !calls.is_pending(range.from, range.to)
                && !calls.is_rejected(&range, now)
            {
                started.push(calls.start(call, now));
            }
        }
        started
    }

    /// Applies the outcome of a grant call.
    pub fn grant_call_finished(&mut self, id: GrantCallId, outcome: GrantCallOutcome, now: Millis) {
        let calls = self.backend.as_mut().and_then(|b| b.calls.as_mut());
        if let Some((range, handover)) = calls.and_then(|c| c.finish(id, outcome, now)) {
            self.record_handover(range, &handover);
        }
    }

    /// Marks the releases of which the backend server can no longer hold anything.
    pub(super) fn complete_called_releases(&mut self, now: Millis) {
        let Some(calls) = self.backend.as_ref().and_then(|b| b.calls.as_ref()) else { return };
        for r in &mut self.releases {
            r.done = r.done || !calls.may_hold(r.from, r.to, now);
        }
    }

    /// Records that an earlier process on this host may have granted the keys that it owned.
    fn record_possible_holds(&mut self, now: Millis) {
        let own = self.own_ranges();
        let Some(calls) = self.backend.as_mut().and_then(|b| b.calls.as_mut()) else { return };
        let until = calls.unknown_until;
        if now > until || own.is_empty() {
            return;
        }
        for r in own {
            let range = HeldRange { from: r.from, to: r.to, fence: r.fence };
            calls.update(&range, |s| {
                if s.fence == Fence(0) {
                    s.fence = range.fence;
                }
                s.may_hold_until = s.may_hold_until.max(until);
                s.late_until = s.late_until.max(until);
            });
        }
    }

    /// Returns the grants that are missing or about to end, the most urgent ones first.
    fn wanted_grants(&self, now: Millis) -> Vec<GrantCall> {
        let Some(calls) = self.backend.as_ref().and_then(|b| b.calls.as_ref()) else {
            return Vec::new();
        };
        let Some((ranges, valid_for)) = self.grantable_ranges(now) else { return Vec::new() };
        let mut grants: Vec<Grant> = ranges.iter().map(Grant::from).collect();
        for grant in &mut grants {
            if calls.holds_range(&grant.range, now) {
                grant.handover.clear();
            }
        }
        merge_adjacent(&mut grants);
        let mut wanted: Vec<(Millis, Grant)> = Vec::new();
        for grant in grants {
            let end = calls.held_until(&grant.range).unwrap_or(Millis::ZERO);
            let ends_soon = end.since(now) < RENEW_BEFORE_END;
            if ends_soon && now + valid_for >= end + MIN_EXTENSION {
                wanted.push((end, grant));
            }
        }
        wanted.sort_by_key(|(end, _)| *end);
        wanted.into_iter().map(|(_, grant)| GrantCall::Grant { grant, valid_for }).collect()
    }

    /// Stores the handover token of a released range with its release, which is split if only a
    /// part of it was released.
    fn record_handover(&mut self, range: HeldRange, handover: &str) {
        let mut releases = Vec::with_capacity(self.releases.len());
        for r in self.releases.drain(..) {
            if !overlaps(&range, r.from, r.to) {
                releases.push(r);
                continue;
            }
            if r.from < range.from {
                releases.push(Release { to: range.from - 1, ..r.clone() });
            }
            if range.to < r.to {
                releases.push(Release { from: range.to + 1, ..r.clone() });
            }
            let (from, to) = (r.from.max(range.from), r.to.min(range.to));
            releases.push(Release { from, to, handover: handover.to_owned(), ..r });
        }
        self.releases = releases;
    }
}
