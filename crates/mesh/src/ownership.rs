//! The keys of one host: its lease, what its backend server was granted, and releases.
//!
//! A lease that the store does not renew lasts a short span, or longer while witnesses confirm its
//! holder ([`crate::Witness`]).
//!
//! Three promises hold each other up. The backend server holds keys until the end that a grant
//! gave; a grant ends before the lease that backs it; a lease ends, for everyone else, only after
//! its holder stopped counting on it. A key changes hands by one conditional write of the map,
//! made by its owner after the backend server released it, or by anyone after the owner's lease
//! ended, on condition that the lease row is still the one that was seen to end.

mod assignment;
mod heartbeats;
mod releases;
mod timing;
mod types;
mod witnesses;
mod writes;

use model::{Fence, HostAddr, Millis, RowVersion};

pub use self::timing::OwnershipTiming;
pub use self::types::{
    BackendHeartbeat, ConditionalWrite, Grant, HeartbeatAction, HeartbeatReply, HeldRange,
    KeyRejection, RowName, WriteOutcome,
};

use self::releases::Release;
use self::witnesses::{Denial, Round};
use crate::leases::{Incarnation, LeaseObserver, LeaseRow};
use crate::placement::{self, Member};
use crate::{KeyMap, KeyRequestCounts};

#[derive(Clone, Debug, Default)]
struct Backend {
    boot: Incarnation,
    seq: u64,
    heard: Millis,
    leaving: bool,
    /// It holds nothing of ours after this.
    grants_end: Millis,
    /// It surely holds what was granted until this.
    granted_until: Millis,
    granted: Vec<HeldRange>,
    holds: Vec<HeldRange>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    version: RowVersion,
    /// When the last confirmed renewal was sent.
    sent: Millis,
    /// When the questions were sent that a majority of the witnesses answered.
    confirmed: Millis,
}

/// The keys of one host.
#[derive(Debug)]
pub struct KeyOwnership {
    me: HostAddr,
    process: u64,
    times: OwnershipTiming,
    started: Millis,
    lease: Option<Lease>,
    row: LeaseRow,
    found: Option<(RowVersion, LeaseRow)>,
    asked: bool,
    map: Option<(RowVersion, KeyMap)>,
    map_read: bool,
    backend: Option<Backend>,
    releases: Vec<Release>,
    watch: LeaseObserver,
    watched_at: Millis,
    next_write: Millis,
    renewed: Millis,
    under_way: Option<(ConditionalWrite, Millis)>,
    /// Whether the store can hold no other witnesses than the known row.
    settled: bool,
    settled_before: bool,
    refused: bool,
    asked_at: Millis,
    rounds: Vec<Round>,
    denials: Vec<Denial>,
    store_heard: Millis,
    load: (u32, u32),
    rebalanced: Millis,
    shed: Millis,
}

/// Queries.
impl KeyOwnership {
    /// Tells whether a request with `key` may be sent to the backend server.
    pub fn check_key(&self, key: u16, now: Millis) -> Result<Fence, KeyRejection> {
        let Some((_, map)) = &self.map else { return Err(KeyRejection::NoMap) };
        let run = map.range_of(key);
        if run.owner != self.me {
            return Err(KeyRejection::NotOwner(run.owner));
        }
        if self.lease_expiry().is_none_or(|until| now >= until) {
            return Err(KeyRejection::NoLease);
        }
        if self.releases.iter().any(|r| r.from <= key && key <= r.to) {
            return Err(KeyRejection::Moving);
        }
        let backend = self.backend.as_ref().filter(|b| now < b.granted_until);
        let held = |b: &&Backend| {
            b.granted.iter().any(|h| h.from <= key && key <= h.to && h.fence == run.fence)
        };
        match backend.filter(held) {
            Some(_) => Ok(run.fence),
            None => Err(KeyRejection::NotGranted),
        }
    }

    /// Returns the start of the backend server that was heard last.
    pub fn backend_incarnation(&self) -> Option<&Incarnation> {
        self.backend.as_ref().map(|b| &b.boot)
    }

    /// Returns whether the backend server was heard and did not say that it leaves.
    pub fn backend_serving(&self) -> bool {
        self.backend.as_ref().is_some_and(|b| !b.leaving)
    }

    /// Returns the map with its version.
    pub fn key_map(&self) -> Option<&(RowVersion, KeyMap)> {
        self.map.as_ref()
    }

    /// Returns when the lease ends, if there is one.
    pub fn lease_expiry(&self) -> Option<Millis> {
        let times = &self.times;
        self.lease.map(|l| {
            let confirmed = l.sent.max(l.confirmed) + times.base_term;
            confirmed.min(l.sent + times.max_term)
        })
    }

    /// Returns whether the leases are to be read now.
    pub fn wants_lease_read(&self, now: Millis) -> bool {
        if !self.asked {
            return true;
        }
        // The first member by address looks often; the others only in case it doesn't.
        let hosts = self.watch.hosts();
        let rank = hosts.iter().position(|(h, _)| *h == self.me).unwrap_or(hosts.len());
        let rank = u64::try_from(rank).unwrap_or(u64::MAX).min(4);
        let rank = if self.crowded() { 0 } else { rank };
        let doubtful = self.times.renew_interval + Millis(600);
        let doubt = rank == 0 && !self.watch.unchanged_for(doubtful, now).is_empty();
        let every = Millis(self.times.lease_read_interval.0 * (1 + 2 * rank));
        let every = if doubt { self.times.retry_interval } else { every };
        self.lease.is_some() && now.since(self.watched_at) >= every
    }

    /// Tells whether there is more work than room, so that the loads of others matter.
    fn crowded(&self) -> bool {
        let (load, room) = self.load;
        room > 0 && load * 3 > room * 2
    }

    /// Returns whether the host has keys or a lease to give back.
    pub fn owns_no_keys(&self) -> bool {
        self.map.as_ref().is_none_or(|(_, m)| m.owned_by(self.me).next().is_none())
    }
}

/// Commands.
impl KeyOwnership {
    /// Makes the keeper of `me`. `process` differs at each start.
    pub fn new(me: HostAddr, process: u64, times: OwnershipTiming, now: Millis) -> Self {
        Self {
            me,
            process,
            times,
            started: now,
            lease: None,
            row: LeaseRow::default(),
            found: None,
            asked: false,
            map: None,
            map_read: false,
            backend: None,
            releases: Vec::new(),
            watch: LeaseObserver::default(),
            watched_at: Millis::ZERO,
            next_write: Millis::ZERO,
            renewed: Millis::ZERO,
            under_way: None,
            settled: true,
            settled_before: true,
            refused: false,
            asked_at: Millis::ZERO,
            rounds: Vec::new(),
            denials: Vec::new(),
            store_heard: Millis::ZERO,
            load: (0, 0),
            rebalanced: now,
            shed: now,
        }
    }

    /// Tells that the map was looked for, whether there is one or not.
    pub fn note_map_read(&mut self) {
        self.map_read = true;
    }

    /// Takes in a version of the map; older ones are ignored.
    pub fn update_map(&mut self, version: RowVersion, map: KeyMap) -> bool {
        if self.map.as_ref().is_some_and(|(known, _)| *known >= version) {
            return false;
        }
        let me = self.me;
        // A release ends when the map no longer names this host.
        self.releases.retain(|r| map.range_of(r.from).owner == me);
        self.map = Some((version, map));
        true
    }

    /// Takes in the lease rows as read at once.
    pub fn update_leases(&mut self, rows: Vec<(HostAddr, RowVersion, LeaseRow)>, now: Millis) {
        if !self.asked {
            let own = rows.iter().find(|(h, ..)| *h == self.me);
            self.found = own.map(|(_, version, row)| (*version, row.clone()));
            self.asked = true;
        }
        self.watched_at = now;
        self.store_heard = now;
        self.watch.observe(rows, now);
    }

    /// Takes in the slots that keyed work occupies and the room for it, in hundredths.
    pub fn update_load(&mut self, load: u32, room: u32) {
        self.load = (load, room);
    }

    /// Starts to give away keys if there is more work than room and others have room, but not to
    /// `lost` hosts. Returns how many pieces.
    pub fn shed_keys(
        &mut self,
        demand: &KeyRequestCounts,
        lost: &[HostAddr],
        now: Millis,
    ) -> usize {
        let fresh = now.since(self.watched_at) <= self.times.lease_read_interval + Millis(500);
        let settled = self.releases.is_empty() && now.since(self.shed) >= self.times.shed_interval;
        if !fresh || !settled || !self.store_answers(now) || self.lease.is_none() {
            return 0;
        }
        let (load, room) = self.load;
        let own = self.own_runs();
        let me =
            Member { host: self.me, accepts_keys: true, load, capacity: room, ranges: own.len() };
        let mut others = self.members(now);
        others.retain(|m| !lost.contains(&m.host));
        let pieces = placement::shed(me, &own, &others, demand);
        if !pieces.is_empty() {
            self.shed = now;
        }
        for p in &pieces {
            self.release(p.from, p.to, Some(p.target));
        }
        pieces.len()
    }
}
