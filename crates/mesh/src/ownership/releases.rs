//! Release of keys to other hosts.

use model::{HostAddr, Millis};

use super::KeyOwnership;
use super::grants::{MAX_GRANTS_BYTES, grants_len, own_grants, subtract_releases};
use crate::ownership::types::{BackendHeartbeat, ConditionalWrite, HeldRange, RowName};
use crate::{GrantDelivery, KeyRange};

/// The maximum number of grants that are delivered by calls, each of which is renewed about every
/// second.
const MAX_CALLED_GRANTS: usize = 150;

/// How long a finished release waits for others, so that they are written together.
const RELEASE_GATHER_TIME: Millis = Millis(200);

/// A range of keys that is being released to another host.
#[derive(Clone, Debug)]
pub(super) struct Release {
    pub(super) from: u16,
    pub(super) to: u16,
    /// Set once the backend server no longer holds the keys.
    pub(super) done: bool,
    /// The handover token that the backend server left for the next holder.
    pub(super) handover: String,
    /// The host to move the keys to. If there is none, they go to the owner of an adjacent range.
    pub(super) target: Option<HostAddr>,
}

impl KeyOwnership {
    /// Records the handover tokens in a heartbeat, and which ranges are no longer held.
    pub(super) fn record_released(&mut self, heartbeat: &BackendHeartbeat) {
        for (from, to, handover) in &heartbeat.released {
            for r in &mut self.releases {
                if *from <= r.from && r.to <= *to {
                    r.handover.clone_from(handover);
                }
            }
        }
        for r in &mut self.releases {
            r.done = r.done || !heartbeat.held.iter().any(|h| h.from <= r.to && r.from <= h.to);
        }
    }

    pub(super) fn own_ranges(&self) -> Vec<KeyRange> {
        let Some((_, map)) = &self.map else { return Vec::new() };
        map.owned_by(self.me).cloned().collect()
    }

    pub(super) fn release_all_keys(&mut self) {
        for range in self.holdable_ranges() {
            self.start_release(&range, range.next_owner);
        }
    }

    /// Returns whether the store was in contact recently. Otherwise no release is started: the keys
    /// would have no holder until the new owner can be written.
    pub(super) fn store_reachable(&self, now: Millis) -> bool {
        now.since(self.store_contact_at) <= self.timing.renew_interval + Millis(500)
    }

    /// Starts to release the ranges for which the map names a next owner. They go on being served
    /// while it is unknown until when an earlier process granted them.
    pub(super) fn start_requested_releases(&mut self, now: Millis) {
        if !self.store_reachable(now) || now < self.predecessor_grants_end() {
            return;
        }
        let requested = self
            .holdable_ranges()
            .into_iter()
            .filter(|r| r.next_owner.is_some_and(|n| n != self.me));
        for range in requested.collect::<Vec<_>>() {
            self.start_release(&range, range.next_owner);
        }
    }

    /// Starts to release the parts of a range that are not being released already.
    pub(super) fn start_release(&mut self, range: &KeyRange, target: Option<HostAddr>) {
        for KeyRange { from, to, .. } in subtract_releases(range, &self.releases) {
            let overlaps = |all: &[HeldRange]| all.iter().any(|h| h.from <= to && from <= h.to);
            // What was granted by calls is checked when the release is written.
            let held = self
                .backend
                .as_ref()
                .is_some_and(|b| b.calls.is_some() || overlaps(&b.held) || overlaps(&b.granted));
            let handover = String::new();
            self.releases.push(Release { from, to, done: !held, handover, target });
        }
    }

    /// Returns whether the releases that are done should be written: if all are, or the first one has
    /// waited long enough for others.
    fn releases_gathered(&mut self, now: Millis) -> bool {
        let done = self.releases.iter().filter(|r| r.done).count();
        if done == 0 || now < self.predecessor_grants_end() {
            self.release_done_at = None;
            return false;
        }
        let first = *self.release_done_at.get_or_insert(now);
        done == self.releases.len() || now.since(first) >= RELEASE_GATHER_TIME
    }

    /// Returns the write that hands the ranges over which the backend server has released.
    pub(super) fn release_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        if self.backend_gone(now) {
            self.release_all_keys();
        }
        self.complete_called_releases(now);
        let predecessor_ended = now >= self.predecessor_grants_end();
        let grants_ended =
            predecessor_ended && self.backend.as_ref().is_none_or(|b| now > b.grants_end());
        if self.releases.is_empty() || !grants_ended && !self.releases_gathered(now) {
            return None;
        }
        let recipients = self.recipients(now);
        let (version, known) = self.current_map()?;
        let mut map = self.map_to_write(known);
        let fence = map.allocate_fence();
        let ready: Vec<&Release> =
            self.releases.iter().filter(|r| predecessor_ended && r.done || grants_ended).collect();
        for r in &ready {
            map.split_at(r.from);
            if let Some(after) = r.to.checked_add(1) {
                map.split_at(after);
            }
        }
        let mut handed_over = 0;
        for i in 0..map.ranges.len() {
            let range = &map.ranges[i];
            let contains = |r: &&&Release| r.from <= range.from && range.to <= r.to;
            let Some(r) = ready.iter().find(contains) else { continue };
            if range.owner != self.me {
                continue;
            }
            let adjacent = [i.checked_sub(1), Some(i + 1)].into_iter().flatten();
            let mut adjacent = adjacent.filter_map(|n| map.ranges.get(n)).map(|n| n.owner);
            let adjacent = adjacent.find(|h| *h != self.me && recipients.contains(h));
            let fallback =
                (!recipients.is_empty()).then(|| recipients[handed_over % recipients.len()]);
            let Some(owner) = r.target.filter(|n| recipients.contains(n)).or(adjacent).or(fallback)
            else {
                continue;
            };
            handed_over += 1;
            let handover = r.handover.clone();
            map.ranges[i] = KeyRange { owner, fence, handover, next_owner: None, ..range.clone() };
        }
        if handed_over == 0 {
            return None;
        }
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            reason: "release",
            ..ConditionalWrite::default()
        })
    }

    /// Returns the write that merges adjacent ranges of this host under a new fence, if there are
    /// more grants than can be delivered.
    pub(super) fn merge_write(&self) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let (version, map) = self.current_map()?;
        let own = own_grants(map, self.me);
        let fits = match self.delivery {
            GrantDelivery::HeartbeatReply => grants_len(&own) <= MAX_GRANTS_BYTES,
            GrantDelivery::Call => own.len() <= MAX_CALLED_GRANTS,
        };
        if !self.releases.is_empty() || fits {
            return None;
        }
        let mut merged = self.map_to_write(map);
        let fence = merged.allocate_fence();
        let me = self.me;
        let holds = |r: &KeyRange| r.owner == me && self.may_hold(r);
        let own = |r: &KeyRange| holds(r) && r.next_owner.is_none();
        for i in 1..merged.ranges.len() {
            if own(&map.ranges[i - 1]) && own(&map.ranges[i]) {
                for range in &mut merged.ranges[i - 1..=i] {
                    range.fence = fence;
                    range.handover.clear();
                }
            }
        }
        if own_grants(&merged, me).len() == own_grants(map, me).len() {
            return None;
        }
        let map = merged;
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            reason: "join",
            ..ConditionalWrite::default()
        })
    }
}
