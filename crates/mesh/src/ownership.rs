//! The key ownership of one host: its lease, the keys granted to its backend server, and the
//! release of keys to other hosts.
//!
//! A lease that is not renewed in the store expires after its base term, or later while witnesses
//! confirm its holder ([`crate::Witness`]).
//!
//! Three rules together ensure that a key never has two holders:
//!
//! - The backend server stops serving a key when its grant ends.
//! - A grant ends before the lease that it is based on.
//! - Other hosts regard a lease as expired only after its holder does.
//!
//! A key changes its owner by a single conditional write of the key map. It is made by the owner
//! once the backend server has released the key, or by any host once the owner's lease has expired,
//! on the condition that the lease row is still the version that was seen to expire.

mod assignment;
mod eras;
mod evacuation;
mod grant_calls;
mod grants;
mod heartbeats;
mod releases;
mod timing;
mod types;
mod witnesses;
mod writes;

use model::{Fence, HostAddr, Millis, RowVersion};

pub use self::timing::OwnershipTiming;
pub use self::types::{
    BackendHeartbeat, ConditionalWrite, Grant, GrantCall, GrantCallId, GrantCallOutcome,
    HeartbeatAction, HeartbeatReply, HeldRange, KeyRejection, RowName, WriteOutcome,
};

use self::eras::EraState;
use self::evacuation::EvacuationState;
use self::grant_calls::GrantCalls;
use self::releases::Release;
use self::witnesses::{ConfirmRound, Denial};
use crate::leases::{Incarnation, LeaseObserver, LeaseRow};
use crate::placement::{self, Member};
use crate::{GrantDelivery, KeyMap, KeyRange, KeyRequestCounts};

/// How many holders of leases read the leases at the shortest interval.
const WATCHING_HOLDERS: usize = 2;

/// How many times longer the interval between reads is for hosts that only write renewals.
const IDLE_READ_FACTOR: u64 = 5;

/// What a host does that decides how often it reads the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReader {
    /// It only holds a lease of its own.
    Member,
    /// It writes renewals, its own or those of its zone.
    Writer,
    /// It writes renewals, and another host of the service can't be reached.
    SuspiciousWriter,
}

/// A host of the service that can be a witness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerHost {
    /// The address.
    pub host: HostAddr,
    /// The id of its process.
    pub process: u64,
    /// Hosts of one group, such as a zone, may be lost together.
    pub failure_domain: u64,
}

/// What is known about the local backend server.
#[derive(Clone, Debug, Default)]
struct Backend {
    incarnation: Incarnation,
    /// The sequence number of the last heartbeat.
    seq: u64,
    last_heartbeat: Millis,
    draining: bool,
    /// After this time, every grant in a heartbeat reply has ended even by the slowest clock.
    latest_grant_end: Millis,
    /// Until this time, the keys in `granted` are certain to be held.
    granted_until: Millis,
    granted: Vec<HeldRange>,
    /// The ranges that it reported to hold.
    held: Vec<HeldRange>,
    /// The calls that deliver its grants, unless the replies to its heartbeats do.
    calls: Option<GrantCalls>,
}

impl Backend {
    /// Returns when every grant has ended even by the slowest clock.
    fn grants_end(&self) -> Millis {
        let called = self.calls.as_ref().map_or(Millis::ZERO, GrantCalls::latest_grant_end);
        self.latest_grant_end.max(called)
    }

    fn last_call_id(&self) -> u64 {
        self.calls.as_ref().map_or(0, GrantCalls::last_id)
    }

    /// Returns whether `key` is certain to be held under `fence`.
    fn holds(&self, key: u16, fence: Fence, now: Millis) -> bool {
        match &self.calls {
            Some(calls) => calls.holds(key, fence, now),
            None => {
                let contains = |h: &HeldRange| h.from <= key && key <= h.to && h.fence == fence;
                now < self.granted_until && self.granted.iter().any(contains)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    version: RowVersion,
    /// When the last successful renewal was sent.
    renewal_sent: Millis,
    /// When the last requests were sent that a majority of the witnesses confirmed.
    confirm_sent: Millis,
}

/// The state of the key ownership of one host. It does no I/O: the caller passes in heartbeats,
/// reads and results, and carries out the returned writes and witness requests.
#[derive(Clone, Debug)]
pub struct KeyOwnership {
    me: HostAddr,
    process: u64,
    timing: OwnershipTiming,
    delivery: GrantDelivery,
    started_at: Millis,
    lease: Option<Lease>,
    /// The host's lease row as last written.
    own_row: LeaseRow,
    /// The host's lease row as found in the store, possibly written by an earlier process.
    found_row: Option<(RowVersion, LeaseRow)>,
    /// The incarnation to which an earlier process on this host may have granted keys.
    predecessor_granted_to: Option<Incarnation>,
    /// Whether the leases have been read in the current era of the store.
    leases_read: bool,
    /// Whether the leases have been read at least once.
    predecessor_known: bool,
    era: EraState,
    map: Option<(RowVersion, KeyMap)>,
    /// Whether the map has been read in the current era of the store, even if there was none.
    map_read: bool,
    backend: Option<Backend>,
    releases: Vec<Release>,
    /// When the first of the releases was done that have not been written yet.
    release_done_at: Option<Millis>,
    observed_leases: LeaseObserver,
    /// The other hosts of the service, sorted.
    peers: Vec<PeerHost>,
    last_lease_read: Millis,
    /// When the leases were read that are known; zero if they have to be read again.
    leases_read_at: Millis,
    /// The members that another host reported, and when.
    reported_members: (Millis, Vec<Member>),
    members_asked_at: Millis,
    next_write_at: Millis,
    /// How many writes in a row conflicted.
    conflicts: u32,
    next_renewal_at: Millis,
    /// The write in progress and the time at which it was sent.
    pending_write: Option<(ConditionalWrite, Millis)>,
    /// The version of the lease row that a write expected which changes the witnesses and whose
    /// outcome is unknown. It may still be applied while the row has this version.
    unsettled_witnesses: Option<RowVersion>,
    /// Whether a witness refused a confirmation, so that the next renewal starts a new generation.
    witness_refused: bool,
    witnesses_asked_at: Millis,
    confirm_rounds: Vec<ConfirmRound>,
    denials: Vec<Denial>,
    store_contact_at: Millis,
    /// Load and capacity, in hundredths of a slot.
    load: (u32, u32),
    rebalanced_at: Millis,
    shed_at: Millis,
    evacuation: EvacuationState,
}

/// Queries.
impl KeyOwnership {
    /// Checks whether a request with `key` may be sent to the backend server now. Returns the fence
    /// under which the key is granted.
    pub fn check_key(&self, key: u16, now: Millis) -> Result<Fence, KeyRejection> {
        let Some((_, map)) = &self.map else { return Err(KeyRejection::NoMap) };
        let range = map.range_of(key);
        if range.owner != self.me {
            return Err(KeyRejection::NotOwner(range.owner));
        }
        if self.lease_expiry().is_none_or(|until| now >= until) {
            return Err(KeyRejection::NoLease);
        }
        if self.releases.iter().any(|r| r.from <= key && key <= r.to) {
            return Err(KeyRejection::Moving);
        }
        let backend = self.backend.as_ref().filter(|_| self.may_hold(range));
        match backend.filter(|b| b.holds(key, range.fence, now)) {
            Some(_) => Ok(range.fence),
            None => Err(KeyRejection::NotGranted),
        }
    }

    /// Returns the incarnation of the backend server that last sent a heartbeat.
    pub fn backend_incarnation(&self) -> Option<&Incarnation> {
        self.backend.as_ref().map(|b| &b.incarnation)
    }

    /// Returns whether the backend server has sent a heartbeat and is not draining.
    pub fn backend_serving(&self) -> bool {
        self.backend.as_ref().is_some_and(|b| !b.draining)
    }

    /// Returns the newest known map with its version.
    pub fn key_map(&self) -> Option<&(RowVersion, KeyMap)> {
        self.map.as_ref()
    }

    /// Returns when the lease expires, if there is one.
    pub fn lease_expiry(&self) -> Option<Millis> {
        let timing = &self.timing;
        let lease = self.lease.map(|l| {
            let confirmed = l.renewal_sent.max(l.confirm_sent) + timing.base_term;
            confirmed.min(l.renewal_sent + timing.max_term)
        });
        lease.or(self.era.former_lease_until())
    }

    /// Returns whether the leases should be read now.
    pub fn wants_lease_read(&self, reader: LeaseReader, now: Millis) -> bool {
        if !self.leases_read {
            return true;
        }
        self.lease.is_some() && now.since(self.leases_read_at) >= self.read_interval(reader, now)
    }

    /// Returns the interval between reads of the leases. The first two holders look for lost hosts.
    /// Those that write renewals notice if both are lost: the first holder that is left is one of
    /// them, and one of them usually can't reach a lost host. The others ask the first holders for
    /// what they need to know.
    fn read_interval(&self, reader: LeaseReader, now: Millis) -> Millis {
        let timing = &self.timing;
        let rank = self.rank(now);
        if rank == 0 && !self.observed_leases.unchanged_for(timing.overdue_after, now).is_empty() {
            return timing.retry_interval;
        }
        match reader {
            _ if rank < WATCHING_HOLDERS => timing.lease_read_interval,
            LeaseReader::SuspiciousWriter => timing.lease_read_interval,
            LeaseReader::Writer => Millis(IDLE_READ_FACTOR * timing.lease_read_interval.0),
            LeaseReader::Member => Millis(u64::MAX),
        }
    }

    /// Returns how many hosts come before this one that hold valid leases or have just started.
    fn rank(&self, now: Millis) -> usize {
        // Whether a holder is silent is known only as of the last read.
        let term = self.timing.base_term + self.timing.drift_margin;
        let silent = self.observed_leases.unchanged_for(term, self.last_lease_read);
        let holders = self.observed_leases.hosts().into_iter().map(|(h, _)| h);
        let mut before: Vec<HostAddr> = holders.filter(|h| *h < self.me).collect();
        if now.since(self.started_at) < self.timing.bootstrap_wait {
            before.extend(self.peers.iter().map(|p| p.host).filter(|h| *h < self.me));
            before.sort_unstable();
            before.dedup();
        }
        before.into_iter().filter(|h| !silent.iter().any(|(s, _)| s == h)).count()
    }

    /// Returns whether this host needs to learn from the first holders of leases which hosts may be
    /// assigned keys.
    pub fn wants_members(&self, now: Millis) -> bool {
        if self.lease.is_none() || self.leases_fresh(now) {
            return false;
        }
        let since_asked = now.since(self.members_asked_at);
        if !self.releases.is_empty() {
            return since_asked >= self.timing.retry_interval;
        }
        if self.is_evacuated() && !self.owns_no_keys() {
            return since_asked >= self.timing.lease_read_interval;
        }
        let may_shed = now.since(self.shed_at) >= self.timing.shed_interval;
        self.is_loaded() && may_shed && since_asked >= self.timing.shed_interval
    }

    /// Returns the hosts that may be asked for the members, in this order.
    pub fn watching_hosts(&self) -> Vec<HostAddr> {
        let mut hosts: Vec<HostAddr> = self.peers.iter().map(|p| p.host).collect();
        hosts.truncate(2 * WATCHING_HOLDERS);
        hosts
    }

    /// Returns the members to tell another host, if they are known well enough.
    pub fn fresh_members(&self, now: Millis) -> Option<Vec<Member>> {
        self.leases_fresh(now).then(|| self.members(now))
    }

    /// Returns whether the leases were read so recently that decisions may rest on them.
    fn leases_fresh(&self, now: Millis) -> bool {
        now.since(self.leases_read_at) <= self.timing.lease_read_interval + Millis(500)
    }

    /// Returns whether utilization is above two thirds, so that the host needs the loads of others
    /// to shed keys.
    fn is_loaded(&self) -> bool {
        let (load, capacity) = self.load;
        capacity > 0 && load * 3 > capacity * 2
    }

    /// Returns whether the host owns no keys.
    pub fn owns_no_keys(&self) -> bool {
        self.map.as_ref().is_none_or(|(_, m)| m.owned_by(self.me).next().is_none())
    }
}

/// Commands.
impl KeyOwnership {
    /// Creates the state of host `me`. `process` is a random id that differs at each start.
    pub fn new(me: HostAddr, process: u64, timing: OwnershipTiming, now: Millis) -> Self {
        Self {
            me,
            process,
            timing,
            delivery: GrantDelivery::default(),
            started_at: now,
            lease: None,
            own_row: LeaseRow::default(),
            found_row: None,
            predecessor_granted_to: None,
            leases_read: false,
            predecessor_known: false,
            era: EraState::default(),
            map: None,
            map_read: false,
            backend: None,
            releases: Vec::new(),
            release_done_at: None,
            observed_leases: LeaseObserver::default(),
            peers: Vec::new(),
            last_lease_read: Millis::ZERO,
            leases_read_at: Millis::ZERO,
            reported_members: (Millis::ZERO, Vec::new()),
            members_asked_at: Millis::ZERO,
            next_write_at: Millis::ZERO,
            conflicts: 0,
            next_renewal_at: Millis::ZERO,
            pending_write: None,
            unsettled_witnesses: None,
            witness_refused: false,
            witnesses_asked_at: Millis::ZERO,
            confirm_rounds: Vec::new(),
            denials: Vec::new(),
            store_contact_at: Millis::ZERO,
            load: (0, 0),
            rebalanced_at: now,
            shed_at: now,
            evacuation: EvacuationState::default(),
        }
    }

    /// Records that the map was read, whether there is one or not.
    pub fn note_map_read(&mut self) {
        self.map_read = true;
    }

    /// Applies a version of the map, unless it is not newer than the known one. Returns whether it
    /// was applied.
    pub fn update_map(&mut self, version: RowVersion, map: KeyMap, now: Millis) -> bool {
        self.record_era(version.era(), now);
        if version.era() < self.era() {
            return false;
        }
        if self.map.as_ref().is_some_and(|(known, _)| *known >= version) {
            return false;
        }
        let me = self.me;
        self.keep_across_maps();
        // A release is complete when this host no longer owns the range.
        self.releases.retain(|r| map.range_of(r.from).owner == me);
        self.map = Some((version, map));
        true
    }

    /// Applies the lease rows returned by one read.
    pub fn update_leases(&mut self, rows: Vec<(HostAddr, RowVersion, LeaseRow)>, now: Millis) {
        if let Some(era) = rows.iter().map(|(_, version, _)| version.era()).max() {
            self.record_era(era, now);
            if era < self.era() {
                return;
            }
        }
        if !self.leases_read {
            let own = rows.iter().find(|(h, ..)| *h == self.me);
            self.found_row = own.map(|(_, version, row)| (*version, row.clone()));
            self.leases_read = true;
        }
        if !self.predecessor_known {
            let row = self.found_row.as_ref().map(|(_, row)| row.clone());
            if let Some(row) = &row {
                self.inherit_claims(row);
            }
            self.predecessor_granted_to = row.map(|row| row.incarnation);
            self.predecessor_known = true;
        }
        self.last_lease_read = now;
        self.leases_read_at = now;
        self.store_contact_at = now;
        self.observed_leases.observe(rows, now);
    }

    /// Records that other hosts are asked for the members.
    pub fn members_asked(&mut self, now: Millis) {
        self.members_asked_at = now;
    }

    /// Sets the members that another host reported.
    pub fn update_members(&mut self, members: Vec<Member>, now: Millis) {
        self.reported_members = (now, members);
    }

    /// Sets the hosts of the service from which witnesses are chosen.
    pub fn set_peers(&mut self, mut peers: Vec<PeerHost>) {
        peers.retain(|p| p.host != self.me);
        peers.sort_unstable_by_key(|p| p.host);
        self.peers = peers;
    }

    /// Sets the number of slots occupied by requests with keys, and the number of slots, both in
    /// hundredths.
    pub fn update_load(&mut self, load: u32, capacity: u32) {
        self.load = (load, capacity);
    }

    /// Starts to move keys to hosts with free capacity, except `unreachable` ones, if this host is
    /// overloaded. Returns the number of ranges that move.
    pub fn shed_keys(
        &mut self,
        request_counts: &KeyRequestCounts,
        unreachable: &[HostAddr],
        now: Millis,
    ) -> usize {
        let settled =
            self.releases.is_empty() && now.since(self.shed_at) >= self.timing.shed_interval;
        if now < self.predecessor_grants_end() {
            return 0;
        }
        if self.is_evacuated() || !settled || !self.store_reachable(now) || self.lease.is_none() {
            return 0;
        }
        let (load, capacity) = self.load;
        let own = self.holdable_ranges();
        let me = Member { host: self.me, accepts_keys: true, load, capacity, ranges: own.len() };
        let mut others = self.members(now);
        others.retain(|m| !unreachable.contains(&m.host));
        let moves = placement::shed(me, &own, &others, request_counts);
        if !moves.is_empty() {
            self.shed_at = now;
        }
        for m in &moves {
            let Some(range) = own.iter().find(|r| r.from <= m.from && m.to <= r.to) else {
                continue;
            };
            let range = KeyRange { from: m.from, to: m.to, ..range.clone() };
            self.start_release(&range, Some(m.target));
        }
        moves.len()
    }
}
