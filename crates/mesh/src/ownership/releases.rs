//! Keys on their way to another host.

use model::{HostAddr, Millis};

use super::KeyOwnership;
use super::heartbeats::{GRANTS_BYTES, grants_bytes, own_grants};
use crate::KeyRange;
use crate::ownership::types::{BackendHeartbeat, ConditionalWrite, HeldRange, RowName};

/// A release under way.
#[derive(Clone, Debug)]
pub(super) struct Release {
    pub(super) from: u16,
    pub(super) to: u16,
    /// Set once the backend server no longer holds the keys.
    pub(super) done: bool,
    /// What it gave for the next holder.
    pub(super) handover: String,
    /// Who is to get the keys; a neighbour if there is none.
    pub(super) target: Option<HostAddr>,
}

impl KeyOwnership {
    pub(super) fn note_released(&mut self, beat: &BackendHeartbeat) {
        for (from, to, handover) in &beat.released {
            for r in &mut self.releases {
                if *from <= r.from && r.to <= *to {
                    r.handover.clone_from(handover);
                }
            }
        }
        for r in &mut self.releases {
            r.done = r.done || !beat.held.iter().any(|h| h.from <= r.to && r.from <= h.to);
        }
    }

    pub(super) fn own_runs(&self) -> Vec<KeyRange> {
        let Some((_, map)) = &self.map else { return Vec::new() };
        map.owned_by(self.me).cloned().collect()
    }

    pub(super) fn release_all(&mut self) {
        for run in self.own_runs() {
            self.release(run.from, run.to, run.next_owner);
        }
    }

    /// A release that can't be written leaves its keys without an owner.
    pub(super) fn store_answers(&self, now: Millis) -> bool {
        now.since(self.store_heard) <= self.times.renew_interval + Millis(500)
    }

    pub(super) fn release_asked(&mut self, now: Millis) {
        if !self.store_answers(now) {
            return;
        }
        let asked =
            self.own_runs().into_iter().filter(|r| r.next_owner.is_some_and(|n| n != self.me));
        for run in asked.collect::<Vec<_>>() {
            self.release(run.from, run.to, run.next_owner);
        }
    }

    pub(super) fn release(&mut self, from: u16, to: u16, target: Option<HostAddr>) {
        let under_way = |r: &Release| r.from <= to && from <= r.to;
        if self.releases.iter().any(under_way) {
            return;
        }
        let overlaps = |all: &[HeldRange]| all.iter().any(|h| h.from <= to && from <= h.to);
        let held =
            self.backend.as_ref().is_some_and(|b| overlaps(&b.holds) || overlaps(&b.granted));
        self.releases.push(Release { from, to, done: !held, handover: String::new(), target });
    }

    pub(super) fn finish_releases(&mut self, now: Millis) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        if self.backend_gone(now) {
            self.release_all();
        }
        let ended = self.backend.as_ref().is_none_or(|b| now > b.grants_end);
        if !self.releases.iter().any(|r| r.done || ended) {
            return None;
        }
        let takers = self.takers(now);
        let (version, known) = self.map.as_ref()?;
        let mut map = known.clone();
        let fence = map.allocate_fence();
        let ready: Vec<&Release> = self.releases.iter().filter(|r| r.done || ended).collect();
        for r in &ready {
            map.split_at(r.from);
            if let Some(after) = r.to.checked_add(1) {
                map.split_at(after);
            }
        }
        let mut given = 0;
        for i in 0..map.ranges.len() {
            let run = &map.ranges[i];
            let of = |r: &&&Release| r.from <= run.from && run.to <= r.to;
            let Some(r) = ready.iter().find(of) else { continue };
            if run.owner != self.me {
                continue;
            }
            let near = [i.checked_sub(1), Some(i + 1)].into_iter().flatten();
            let mut near = near.filter_map(|n| map.ranges.get(n)).map(|n| n.owner);
            let near = near.find(|h| *h != self.me && takers.contains(h));
            let any = (!takers.is_empty()).then(|| takers[given % takers.len()]);
            let Some(owner) = r.target.filter(|n| takers.contains(n)).or(near).or(any) else {
                continue;
            };
            given += 1;
            let handover = r.handover.clone();
            map.ranges[i] = KeyRange { owner, fence, handover, next_owner: None, ..run.clone() };
        }
        if given == 0 {
            return None;
        }
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            reason: "release",
            ..ConditionalWrite::default()
        })
    }

    /// Joins the own neighbours under a new fence if a grant of all can't be told any more.
    pub(super) fn join_own_runs(&self) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let (version, map) = self.map.as_ref()?;
        if !self.releases.is_empty() || grants_bytes(&own_grants(map, self.me)) <= GRANTS_BYTES {
            return None;
        }
        let mut joined = map.clone();
        let fence = joined.allocate_fence();
        let me = self.me;
        let own = |r: &KeyRange| r.owner == me && r.next_owner.is_none();
        for i in 1..joined.ranges.len() {
            if own(&joined.ranges[i - 1]) && own(&joined.ranges[i]) {
                for run in &mut joined.ranges[i - 1..=i] {
                    run.fence = fence;
                    run.handover.clear();
                }
            }
        }
        if own_grants(&joined, me).len() == own_grants(map, me).len() {
            return None;
        }
        let map = joined;
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, map.encode())],
            reason: "join",
            ..ConditionalWrite::default()
        })
    }
}
