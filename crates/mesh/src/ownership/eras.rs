//! Rollbacks of the store: which keys a host may hold after the store has come back from a copy that
//! is some seconds old.
//!
//! The copy may name owners that have since handed their keys over, and fences that have since been
//! used. Leases of the former era end by themselves, at most the longest term after the rollback. A
//! range whose fence is from a former era is therefore *unclaimed*: its owner in the map holds it only
//! if it did so when it noticed the rollback and has held a lease ever since. Any other owner first
//! waits until all leases of the former era have ended, and then raises the fence.

use model::{HostAddr, Millis, RowVersion};

use super::KeyOwnership;
use crate::leases::LeaseRow;
use crate::ownership::types::{ConditionalWrite, HeldRange, RowName};
use crate::{KeyMap, KeyRange};

/// What a process knows about the era of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct EraState {
    /// The newest era in which the store is known to be, if it has been in contact.
    current: Option<u64>,
    /// When this era was first known.
    since: Millis,
    /// Whether the process has seen an earlier era.
    rolled_back: bool,
    /// Ranges that this host may hold although they are unclaimed.
    kept: Vec<HeldRange>,
    /// The end of the lease of the former era, until there is one of this era.
    former_lease_until: Option<Millis>,
    /// Whether this host has claimed all of its ranges: an earlier process on it said so.
    all_claimed: bool,
    /// Whether the write in progress was sent in a former era.
    former_write: bool,
}

impl EraState {
    /// Returns the era; 0 before the first contact and for a store that has none.
    pub(super) fn current(&self) -> u64 {
        self.current.unwrap_or(0)
    }

    /// Returns the end of the lease of the former era, until there is one of this era.
    pub(super) fn former_lease_until(&self) -> Option<Millis> {
        self.former_lease_until
    }

    /// Returns whether the write that has just ended was sent in a former era, and forgets that.
    pub(super) fn take_former_write(&mut self) -> bool {
        std::mem::take(&mut self.former_write)
    }
}

/// Returns whether `range` is part of one of `kept`, under the same fence.
fn is_kept(range: &KeyRange, kept: &[HeldRange]) -> bool {
    kept.iter().any(|k| k.from <= range.from && range.to <= k.to && k.fence == range.fence)
}

/// Queries.
impl KeyOwnership {
    /// Returns the newest known era of the store.
    pub fn era(&self) -> u64 {
        self.era.current()
    }

    /// Returns the map if it was read in the current era.
    pub(super) fn current_map(&self) -> Option<&(RowVersion, KeyMap)> {
        self.map.as_ref().filter(|(version, _)| version.era() == self.era())
    }

    /// Returns whether this host may hold a range that the map assigns to it.
    pub(super) fn may_hold(&self, range: &KeyRange) -> bool {
        let claimed = self.current_map().is_some_and(|(_, m)| m.is_claimed(range, self.era()));
        claimed || self.era.all_claimed || is_kept(range, &self.era.kept)
    }

    /// Returns the ranges of this host that it may hold.
    pub(super) fn holdable_ranges(&self) -> Vec<KeyRange> {
        self.own_ranges().into_iter().filter(|r| self.may_hold(r)).collect()
    }

    /// Returns whether all grants of former eras have certainly ended.
    pub(super) fn former_grants_ended(&self, now: Millis) -> bool {
        let settled = |(_, map): &(RowVersion, KeyMap)| map.era >= self.era() && map.settled;
        self.era() == 0
            || self.current_map().is_some_and(settled)
            || now.since(self.era.since) > self.timing.max_term + self.timing.drift_margin
    }

    /// Returns whether keys may have been granted in a former era.
    pub(super) fn former_era_known(&self) -> bool {
        let written_before = |(_, row): &(HostAddr, &LeaseRow)| row.era < self.era();
        self.era.rolled_back || self.observed_leases.hosts().iter().any(written_before)
    }

    /// Returns whether this host still has the lease that it held when it noticed the rollback.
    pub(super) fn has_former_lease(&self) -> bool {
        self.era.former_lease_until.is_some()
    }

    /// Returns whether the map names `host` as the owner of ranges that another host may hold.
    pub(super) fn may_be_held_by_others(&self, map: &KeyMap, host: HostAddr, now: Millis) -> bool {
        let unclaimed = |r: &KeyRange| !map.is_claimed(r, self.era());
        !self.former_grants_ended(now) && map.owned_by(host).any(unclaimed)
    }

    /// Returns the map for a write: as known, with fences above all that were used in former eras.
    pub(super) fn map_to_write(&self, map: &KeyMap) -> KeyMap {
        let mut map = map.clone();
        map.enter_era(self.era());
        map
    }

    /// Returns `map` with the ranges that this host keeps and that were lost from it, under a new
    /// fence, or `None` if there are none.
    pub(super) fn claim_kept(&self, map: &KeyMap) -> Option<KeyMap> {
        if !self.has_former_lease() {
            return None;
        }
        let mut claimed = self.map_to_write(map);
        let fence = claimed.allocate_fence();
        for kept in &self.era.kept {
            claimed.split_at(kept.from);
            if let Some(after) = kept.to.checked_add(1) {
                claimed.split_at(after);
            }
        }
        let mut changed = false;
        for range in &mut claimed.ranges {
            let lost = |k: &&HeldRange| k.from <= range.from && range.to <= k.to;
            let lost = self.era.kept.iter().find(lost);
            let same = |k: &HeldRange| range.owner == self.me && range.fence == k.fence;
            if lost.is_none_or(same) || map.is_claimed(range, self.era()) {
                continue;
            }
            changed = true;
            let (owner, handover) = (self.me, String::new());
            *range = KeyRange { owner, fence, handover, next_owner: None, ..range.clone() };
        }
        changed.then_some(claimed)
    }
}

/// Commands.
impl KeyOwnership {
    /// Records that the store is in `era`. Returns whether the store has gone back since the last
    /// contact, so that everything has to be read again.
    pub fn record_era(&mut self, era: u64, now: Millis) -> bool {
        if self.era.current.is_some_and(|known| known >= era) {
            return false;
        }
        let first = self.era.current.is_none();
        // Before the first contact, nothing is held and nothing is known.
        let former_lease_until = self.lease_expiry().filter(|until| now < *until);
        let held = former_lease_until.and_then(|_| self.grantable_ranges(now));
        let held = held.map_or_else(Vec::new, |(ranges, _)| ranges);
        let kept = held.iter().map(|r| HeldRange { from: r.from, to: r.to, fence: r.fence });
        self.era = EraState {
            current: Some(era),
            since: now,
            rolled_back: !first,
            kept: kept.collect(),
            former_lease_until,
            all_claimed: false,
            former_write: self.pending_write.is_some(),
        };
        if first {
            return false;
        }
        self.lease = None;
        self.found_row = None;
        self.leases_read = false;
        self.map_read = false;
        self.releases.clear();
        self.release_done_at = None;
        self.observed_leases = Default::default();
        self.last_lease_read = Millis::ZERO;
        self.leases_read_at = Millis::ZERO;
        self.reported_members = (Millis::ZERO, Vec::new());
        self.unsettled_witnesses = None;
        self.confirm_rounds.clear();
        self.conflicts = 0;
        true
    }

    /// Ends what is kept without a lease of this era once the lease of the former era has ended.
    pub(super) fn end_former_lease(&mut self, now: Millis) {
        if self.era.former_lease_until.is_some_and(|until| now >= until) {
            self.era.former_lease_until = None;
            self.era.kept.clear();
        }
    }

    /// Records that the host has registered its lease in this era.
    pub(super) fn registered_in_era(&mut self, write: &ConditionalWrite) {
        self.era.former_lease_until = None;
        if write.expected_version(RowName::Map) == Some(RowVersion(0)) {
            // There is no map, so nothing belongs to this host.
            self.era.kept.clear();
            self.map = self.current_map().cloned();
        }
    }

    /// Records what the host's lease row says about its ranges, as an earlier process wrote it.
    pub(super) fn inherit_claims(&mut self, row: &LeaseRow) {
        self.era.all_claimed = row.era == self.era() && !row.unclaimed;
    }

    /// Keeps the ranges that this host holds by the known map, before a newer one replaces it: a
    /// range with the same owner and fence was held by no other host in between.
    pub(super) fn keep_across_maps(&mut self) {
        if self.era() == 0 || self.lease.is_none() || self.current_map().is_none() {
            return;
        }
        let ranges = self.holdable_ranges();
        let held = |r: &KeyRange| HeldRange { from: r.from, to: r.to, fence: r.fence };
        self.era.kept = ranges.iter().map(held).collect();
    }

    /// Adds to a write what makes it void in a later era, and what makes writes of the former eras
    /// void in this one. A write that is applied late could otherwise meet its conditions again,
    /// since versions are reused.
    pub(super) fn bind_to_era(&self, write: &mut ConditionalWrite) {
        let era = self.era();
        write.expect.push((RowName::Era(era + 1), RowVersion(0)));
        if write.reason == "register" && era > 0 {
            // The copy may be older than two rollbacks.
            let eras = era.saturating_sub(1).max(1)..=era;
            write.put.extend(eras.map(|e| (RowName::Era(e), Vec::new())));
        }
    }

    /// Returns the write that raises the fence of this host's unclaimed ranges, once no other host
    /// can hold them by a grant of a former era.
    pub(super) fn claim_write(&self, now: Millis) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let (version, map) = self.current_map()?;
        let unclaimed = |r: &KeyRange| r.owner == self.me && !self.may_hold(r);
        if !map.ranges.iter().any(unclaimed) || !self.former_grants_ended(now) {
            return None;
        }
        let mut claimed = self.map_to_write(map);
        let fence = claimed.allocate_fence();
        claimed.ranges.iter_mut().filter(|r| unclaimed(r)).for_each(|r| r.fence = fence);
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version), (RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Map, claimed.encode())],
            reason: "claim",
            ..ConditionalWrite::default()
        })
    }

    /// Returns the write by which later processes know that the grants of former eras have ended.
    pub(super) fn settle_write(&self, now: Millis) -> Option<ConditionalWrite> {
        let (version, map) = self.current_map()?;
        let settled = map.era >= self.era() && map.settled;
        if self.era() == 0 || settled || !self.former_grants_ended(now) {
            return None;
        }
        let mut map = self.map_to_write(map);
        map.settled = true;
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, *version)],
            put: vec![(RowName::Map, map.encode())],
            reason: "settle",
            ..ConditionalWrite::default()
        })
    }
}
