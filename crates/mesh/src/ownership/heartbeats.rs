//! Heartbeats of the backend server, and the grants in the replies.

use model::Millis;

use super::grant_calls::GrantCalls;
use super::grants::{CLOCK_DRIFT_DIVISOR, MAX_GRANTS_BYTES, merge_adjacent, subtract_releases};
use super::{Backend, KeyOwnership};
use crate::ownership::types::{
    BackendHeartbeat, Grant, HeartbeatAction, HeartbeatReply, HeldRange,
};
use crate::{GrantDelivery, KeyRange};

impl KeyOwnership {
    /// Processes a heartbeat and replies immediately. A stale heartbeat, which is out of order or
    /// from an earlier incarnation, renews nothing.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: &BackendHeartbeat,
        now: Millis,
    ) -> HeartbeatReply {
        match self.receive_heartbeat(heartbeat, now) {
            HeartbeatAction::Stale => HeartbeatReply::default(),
            HeartbeatAction::ReplyNow | HeartbeatAction::MayDefer => {
                self.heartbeat_reply(heartbeat, now)
            }
        }
    }

    /// Processes a heartbeat. Returns whether its reply may be deferred until there is a change.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: &BackendHeartbeat,
        now: Millis,
    ) -> HeartbeatAction {
        if self.is_stale(heartbeat, now) {
            return HeartbeatAction::Stale;
        }
        if self.backend.as_ref().is_none_or(|b| b.incarnation != heartbeat.incarnation) {
            // A host runs one backend server, so the previous incarnation holds nothing any more.
            // What the new one holds was granted by an earlier sidecar process on this host.
            let held_until = now + self.timing.grant_duration + self.timing.silence_limit;
            let latest_grant_end =
                if heartbeat.held.is_empty() { Millis::ZERO } else { held_until };
            let incarnation = heartbeat.incarnation.clone();
            let calls = self.calls_to_next_incarnation(now);
            self.backend =
                Some(Backend { incarnation, latest_grant_end, calls, ..Backend::default() });
            self.releases.clear();
        }
        let Some(b) = self.backend.as_mut() else { return HeartbeatAction::Stale };
        b.seq = heartbeat.seq;
        b.last_heartbeat = now;
        b.draining = heartbeat.draining;
        b.held.clone_from(&heartbeat.held);
        match &mut b.calls {
            Some(calls) => calls.record_alive(now),
            None => self.record_released(heartbeat),
        }
        if heartbeat.draining {
            self.release_all_keys();
        }
        self.start_requested_releases(now);
        if heartbeat.draining
            || !self.releases.is_empty()
            || self.reply_changes_grants(heartbeat, now)
        {
            return HeartbeatAction::ReplyNow;
        }
        HeartbeatAction::MayDefer
    }

    /// Returns whether a reply to the heartbeat would change the keys that its sender holds.
    pub fn reply_changes_grants(&self, heartbeat: &BackendHeartbeat, received_at: Millis) -> bool {
        let Some((grants, _)) = self.current_grants(received_at) else { return false };
        let mut held = heartbeat.held.clone();
        held.sort_unstable();
        !self.releases.is_empty() || held != grants.iter().map(|g| g.range).collect::<Vec<_>>()
    }

    /// Returns the reply to a heartbeat received at `received_at`. It renews nothing if a later
    /// heartbeat has been received since.
    pub fn heartbeat_reply(
        &mut self,
        heartbeat: &BackendHeartbeat,
        received_at: Millis,
    ) -> HeartbeatReply {
        let current = self
            .backend
            .as_ref()
            .is_some_and(|b| b.incarnation == heartbeat.incarnation && b.seq == heartbeat.seq);
        let granted = if current { self.current_grants(received_at) } else { None };
        let (Some((grants, valid_for)), Some(b)) = (granted, &mut self.backend) else {
            return HeartbeatReply::default();
        };
        b.granted = grants.iter().map(|g| g.range).collect();
        b.granted_until = received_at + valid_for;
        let end = received_at + valid_for + Millis(valid_for.0 / CLOCK_DRIFT_DIVISOR + 100);
        b.latest_grant_end = b.latest_grant_end.max(end);
        HeartbeatReply { grants: Some(grants), valid_for }
    }

    /// Returns whether the heartbeat is out of order or from an earlier incarnation.
    pub(super) fn is_stale(&self, heartbeat: &BackendHeartbeat, now: Millis) -> bool {
        let Some(b) = &self.backend else { return false };
        if b.incarnation == heartbeat.incarnation {
            return b.seq >= heartbeat.seq;
        }
        // If the clock was set back, a new incarnation looks older than the previous one. It is
        // accepted once the previous one has stopped sending heartbeats.
        heartbeat.incarnation < b.incarnation
            && now.since(b.last_heartbeat) < self.timing.grant_duration
    }

    /// Records that the backend server has deregistered and sends no more heartbeats. It continues
    /// to serve the keys that it holds until they are taken back by calls, or its grants end.
    pub fn backend_deregistered(&mut self) {
        let Some(b) = &mut self.backend else { return };
        b.draining = true;
        if b.calls.is_some() {
            self.release_all_keys();
        }
    }

    /// Returns the state of the calls to an incarnation of the backend server that has just been
    /// heard for the first time, if grants are delivered by calls.
    fn calls_to_next_incarnation(&self, now: Millis) -> Option<GrantCalls> {
        if self.delivery != GrantDelivery::Call {
            return None;
        }
        Some(match &self.backend {
            // The keys of the previous incarnation ended with it.
            Some(b) => GrantCalls::new(Millis::ZERO, b.last_call_id(), now),
            // An earlier process may have granted keys to this incarnation.
            None => GrantCalls::new(self.end_of_unknown_grants(now), 0, now),
        })
    }

    /// Returns when the grants that other processes may have sent until now have ended.
    fn end_of_unknown_grants(&self, now: Millis) -> Millis {
        let longest = self.timing.grant_duration;
        now + longest + Millis(longest.0 / CLOCK_DRIFT_DIVISOR) + self.timing.silence_limit
    }

    /// Returns when the grants have ended that an earlier process gave in replies to heartbeats. Until
    /// then, a heartbeat does not tell which keys are free: it may have been sent before a grant.
    pub(super) fn predecessor_grants_end(&self) -> Millis {
        let granted = |b: &&Backend| {
            b.calls.is_none() && self.predecessor_granted_to.as_ref() == Some(&b.incarnation)
        };
        let backend = self.backend.as_ref().filter(granted);
        backend.map_or(Millis::ZERO, |_| self.end_of_unknown_grants(self.started_at))
    }

    /// Sets how grants reach the backend server.
    pub fn set_grant_delivery(&mut self, delivery: GrantDelivery, now: Millis) {
        if delivery == self.delivery {
            return;
        }
        self.delivery = delivery;
        let unknown_until = self.end_of_unknown_grants(now);
        if let Some(b) = &mut self.backend {
            b.latest_grant_end = b.latest_grant_end.max(unknown_until);
            b.granted.clear();
            b.calls = (delivery == GrantDelivery::Call)
                .then(|| GrantCalls::new(unknown_until, b.last_call_id(), now));
        }
    }

    /// Returns the ranges that the backend server may hold, and how long a grant is valid that it
    /// receives at `now`.
    pub(super) fn grantable_ranges(&self, now: Millis) -> Option<(Vec<KeyRange>, Millis)> {
        let ((_, map), b) = (self.map.as_ref()?, self.backend.as_ref()?);
        // Even if it is measured by a slow clock, a grant has to end before the lease.
        let left = self.lease_expiry()?.since(now + Millis(100));
        let valid_for = self.timing.grant_duration.min(left - Millis(left.0 / CLOCK_DRIFT_DIVISOR));
        if b.incarnation != self.own_row.incarnation || valid_for == Millis::ZERO {
            return None;
        }
        let own = map.owned_by(self.me);
        let own = own.filter(|r| r.fence.0 > self.own_row.fence_floor && self.may_hold(r));
        let ranges = own.flat_map(|range| subtract_releases(range, &self.releases)).collect();
        Some((ranges, valid_for))
    }

    /// Returns the grants for the reply to a heartbeat, and how long they are valid from
    /// `received_at`.
    pub(super) fn current_grants(&self, received_at: Millis) -> Option<(Vec<Grant>, Millis)> {
        let b = self.backend.as_ref().filter(|b| b.calls.is_none())?;
        let (ranges, valid_for) = self.grantable_ranges(received_at)?;
        let mut grants = Vec::new();
        for range in &ranges {
            let mut grant = Grant::from(range);
            let HeldRange { from, to, fence } = grant.range;
            let holds = |h: &HeldRange| h.from <= from && to <= h.to && h.fence == fence;
            if b.held.iter().any(holds) {
                grant.handover.clear();
            }
            grants.push(grant);
        }
        merge_adjacent(&mut grants);
        let mut bytes = 0;
        grants.retain(|g| {
            bytes += g.encoded_len();
            bytes <= MAX_GRANTS_BYTES
        });
        Some((grants, valid_for))
    }
}
