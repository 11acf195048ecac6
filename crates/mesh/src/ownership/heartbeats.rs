//! Heartbeats of the backend server, and what it is granted.

use model::{HostAddr, Millis};

use super::releases::Release;
use super::{Backend, KeyOwnership};
use crate::ownership::types::{
    BackendHeartbeat, Grant, HeartbeatAction, HeartbeatReply, HeldRange,
};
use crate::{KeyMap, KeyRange};

/// The longest list of grants, in bytes of text. Backend servers ignore answers above 4 KiB, and
/// the frame around the list takes some.
pub(super) const GRANTS_BYTES: usize = 3_900;

/// A clock that measures a grant may run slow by one part in this many.
pub(super) const SLOW_CLOCK: u64 = 50;

/// Joins neighbours with one fence, so that the list stays short.
pub(super) fn join(grants: &mut Vec<Grant>) {
    grants.dedup_by(|next, grant| {
        let touch = u32::from(grant.range.to) + 1 == u32::from(next.range.from);
        let alike = grant.range.fence == next.range.fence
            && grant.handover.is_empty()
            && next.handover.is_empty();
        if touch && alike {
            grant.range.to = next.range.to;
        }
        touch && alike
    });
}

pub(super) fn own_grants(map: &KeyMap, owner: HostAddr) -> Vec<Grant> {
    let mut grants = map.owned_by(owner).map(Grant::from).collect();
    join(&mut grants);
    grants
}

/// Returns what is left of a run without the keys that are being released.
pub(super) fn without(run: &KeyRange, releases: &[Release]) -> Vec<KeyRange> {
    let mut left = vec![run.clone()];
    for r in releases {
        left = left.into_iter().flat_map(|run| cut(run, r.from, r.to)).collect();
    }
    left
}

pub(super) fn cut(run: KeyRange, from: u16, to: u16) -> Vec<KeyRange> {
    if to < run.from || run.to < from {
        return vec![run];
    }
    let mut left = Vec::new();
    if run.from < from {
        left.push(KeyRange { to: from - 1, ..run.clone() });
    }
    if to < run.to {
        left.push(KeyRange { from: to + 1, ..run });
    }
    left
}

pub(super) fn grants_bytes(grants: &[Grant]) -> usize {
    grants.iter().map(Grant::bytes).sum()
}

impl KeyOwnership {
    /// Answers a heartbeat at once. A late one, of an earlier start or out of order, renews
    /// nothing.
    pub fn handle_heartbeat(&mut self, beat: &BackendHeartbeat, now: Millis) -> HeartbeatReply {
        match self.receive_heartbeat(beat, now) {
            HeartbeatAction::Stale => HeartbeatReply::default(),
            HeartbeatAction::ReplyNow | HeartbeatAction::MayDefer => {
                self.heartbeat_reply(beat, now)
            }
        }
    }

    /// Takes in a heartbeat and tells whether its answer may wait for news.
    pub fn receive_heartbeat(&mut self, beat: &BackendHeartbeat, now: Millis) -> HeartbeatAction {
        if self.is_late(beat, now) {
            return HeartbeatAction::Stale;
        }
        if self.backend.as_ref().is_none_or(|b| b.boot != beat.incarnation) {
            // Of the start before nothing is left: one host runs one backend server. What this
            // start holds was granted by an earlier process on this host.
            let held_until = now + self.times.grant_duration + self.times.silence_limit;
            let grants_end = if beat.held.is_empty() { Millis::ZERO } else { held_until };
            let boot = beat.incarnation.clone();
            self.backend = Some(Backend { boot, grants_end, ..Backend::default() });
            self.releases.clear();
        }
        let Some(b) = self.backend.as_mut() else { return HeartbeatAction::Stale };
        b.seq = beat.seq;
        b.heard = now;
        b.leaving = beat.draining;
        b.holds.clone_from(&beat.held);
        self.note_released(beat);
        if beat.draining {
            self.release_all();
        }
        self.release_asked(now);
        if beat.draining || !self.releases.is_empty() || self.reply_changes_grants(beat, now) {
            return HeartbeatAction::ReplyNow;
        }
        HeartbeatAction::MayDefer
    }

    /// Tells whether the answer to a heartbeat would change what its sender holds.
    pub fn reply_changes_grants(&self, beat: &BackendHeartbeat, came: Millis) -> bool {
        let Some((grants, _)) = self.grants(came) else { return false };
        let mut held = beat.held.clone();
        held.sort_unstable();
        !self.releases.is_empty() || held != grants.iter().map(|g| g.range).collect::<Vec<_>>()
    }

    /// Answers a heartbeat that came at `came`, unless a later one came since.
    pub fn heartbeat_reply(&mut self, beat: &BackendHeartbeat, came: Millis) -> HeartbeatReply {
        let current =
            self.backend.as_ref().is_some_and(|b| b.boot == beat.incarnation && b.seq == beat.seq);
        let granted = if current { self.grants(came) } else { None };
        let (Some((grants, hold)), Some(b)) = (granted, &mut self.backend) else {
            return HeartbeatReply::default();
        };
        b.granted = grants.iter().map(|g| g.range).collect();
        b.granted_until = came + hold;
        let end = came + hold + Millis(hold.0 / SLOW_CLOCK + 100);
        b.grants_end = b.grants_end.max(end);
        HeartbeatReply { grants: Some(grants), valid_for: hold }
    }

    pub(super) fn is_late(&self, beat: &BackendHeartbeat, now: Millis) -> bool {
        let Some(b) = &self.backend else { return false };
        if b.boot == beat.incarnation {
            return b.seq >= beat.seq;
        }
        // A clock that was set back makes a new start look old; the former one is silent then.
        beat.incarnation < b.boot && now.since(b.heard) < self.times.grant_duration
    }

    /// Tells that the backend server leaves and sends no more heartbeats. It goes on serving the
    /// keys that it holds until its grants end.
    pub fn backend_deregistered(&mut self) {
        if let Some(b) = &mut self.backend {
            b.leaving = true;
        }
    }

    /// Returns what the backend server is to hold and how long, from `came`.
    pub(super) fn grants(&self, came: Millis) -> Option<(Vec<Grant>, Millis)> {
        let ((_, map), b) = (self.map.as_ref()?, self.backend.as_ref()?);
        // A grant that a slow clock measures still ends before the lease.
        let left = self.lease_expiry()?.since(came + Millis(100));
        let hold = self.times.grant_duration.min(left - Millis(left.0 / SLOW_CLOCK));
        if b.boot != self.row.incarnation || hold == Millis::ZERO {
            return None;
        }
        let mut grants = Vec::new();
        let own = map.owned_by(self.me).filter(|r| r.fence.0 > self.row.fence_floor);
        for run in own.flat_map(|run| without(run, &self.releases)) {
            let mut grant = Grant::from(&run);
            let HeldRange { from, to, fence } = grant.range;
            let holds = |h: &HeldRange| h.from <= from && to <= h.to && h.fence == fence;
            if b.holds.iter().any(holds) {
                grant.handover.clear();
            }
            grants.push(grant);
        }
        join(&mut grants);
        let mut bytes = 0;
        grants.retain(|g| {
            bytes += g.bytes();
            bytes <= GRANTS_BYTES
        });
        Some((grants, hold))
    }
}
