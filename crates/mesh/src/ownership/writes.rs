//! Selection of the next conditional write, and handling of its outcome.

use model::{Millis, RowVersion};

use super::grant_calls::GrantCalls;
use super::{Backend, KeyOwnership, Lease};
use crate::leases::{Incarnation, LeaseRow};
use crate::ownership::types::{ConditionalWrite, RowName, WriteOutcome};
use crate::{KeyMap, KeyRange, Renewal};

/// The shortest delay before the write after a conflict.
const MIN_CONFLICT_DELAY: Millis = Millis(20);

/// Writes after a first conflict are spread over this time, about as long as a write from another
/// region takes. It doubles with each further conflict.
const CONFLICT_WINDOW: Millis = Millis(80);

/// How often the time doubles.
const MAX_CONFLICT_DOUBLINGS: u32 = 3;

impl KeyOwnership {
    /// Returns the write that is due, if any. Its outcome is passed to
    /// [`KeyOwnership::write_finished`].
    pub fn next_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        if self.pending_write.is_some() || now < self.next_write_at || !self.leases_read {
            return None;
        }
        if self.lease_expiry().is_some_and(|until| now >= until) {
            self.lease = None;
        }
        self.end_former_lease(now);
        self.start_evacuation_releases(now);
        let mut write = self
            .register_write()
            .or_else(|| self.incarnation_write())
            .or_else(|| self.claim_write(now))
            .or_else(|| self.release_write(now))
            .or_else(|| self.merge_write())
            .or_else(|| self.renewal_write(now))
            .or_else(|| self.assignment_write(now))?;
        if Renewal::from_write(&write).is_none() {
            self.bind_to_era(&mut write);
        }
        self.pending_write = Some((write.clone(), now));
        Some(write)
    }

    /// Applies the outcome of the pending write.
    pub fn write_finished(&mut self, outcome: WriteOutcome, now: Millis) {
        if let Some(era) = outcome.era() {
            self.record_era(era, now);
        }
        let Some((write, sent)) = self.pending_write.take() else { return };
        if self.era.take_former_write() {
            // What was written is read again in the new era.
            self.next_write_at = now;
            return;
        }
        match outcome {
            WriteOutcome::Committed(version) => {
                self.conflicts = 0;
                self.write_committed(&write, version, sent, now);
            }
            WriteOutcome::Conflict(rows) => {
                self.store_contact_at = now;
                self.write_conflicted(&write, rows, now);
            }
            WriteOutcome::NotApplied => self.next_write_at = now + self.timing.retry_interval,
            WriteOutcome::Unknown => {
                if self.changes_generation(&write) {
                    self.unsettled_witnesses = write.expected_version(RowName::Lease(self.me));
                }
                self.next_write_at = now + self.timing.retry_interval;
            }
        }
    }

    /// Schedules the next renewal, so that hosts whose renewals are written together send them at
    /// the same time.
    pub fn renew_at(&mut self, at: Millis) {
        self.next_renewal_at = at;
    }

    /// Records that `version` and all earlier versions had been written to the store at `now`.
    pub fn record_store_version(&mut self, version: RowVersion, now: Millis) {
        self.record_era(version.era(), now);
        self.observed_leases.record_version(version, now);
    }

    /// Applies the rows of a committed write.
    pub(super) fn write_committed(
        &mut self,
        write: &ConditionalWrite,
        version: RowVersion,
        sent: Millis,
        now: Millis,
    ) {
        self.store_contact_at = now;
        self.record_store_version(version, now);
        for (name, bytes) in &write.put {
            match name {
                RowName::Lease(_) => {
                    if self.lease.is_none() {
                        self.registered_in_era(write);
                    }
                    self.lease = Some(Lease { version, renewal_sent: sent, confirm_sent: sent });
                    self.next_renewal_at = sent + self.timing.renew_interval;
                    if let Ok(row) = LeaseRow::decode(bytes) {
                        self.witness_refused =
                            self.witness_refused && row.generation == self.own_row.generation;
                        self.own_row = row;
                    }
                }
                RowName::Map => {
                    if let Ok(map) = KeyMap::decode(bytes) {
                        self.update_map(version, map, now);
                    }
                }
                RowName::Era(_) => {}
            }
        }
    }

    /// Applies the rows that had another version than the write expected. The store also returns
    /// the rows that had the expected version. Those say nothing about earlier writes of unknown
    /// outcome, which may still be applied.
    pub(super) fn write_conflicted(
        &mut self,
        write: &ConditionalWrite,
        mut rows: Vec<(RowName, RowVersion, Option<Vec<u8>>)>,
        now: Millis,
    ) {
        rows.retain(|(name, version, _)| write.expected_version(*name) != Some(*version));
        for (name, version, value) in rows {
            match (name, value) {
                (RowName::Map, Some(bytes)) => {
                    if let Ok(map) = KeyMap::decode(&bytes) {
                        self.update_map(version, map, now);
                    }
                }
                (RowName::Lease(host), value) if host == self.me => {
                    self.own_lease_conflicted(version, value);
                }
                // The other host has renewed its lease after all, or it has already been evicted.
                (RowName::Lease(_), _) => self.leases_read_at = Millis::ZERO,
                (RowName::Map, None) | (RowName::Era(_), _) => {}
            }
        }
        self.next_write_at = now + self.conflict_delay();
    }

    /// Returns the delay before the write after a conflict. Hosts that change the map at the same
    /// time try again at different times, spread the wider the more often they conflict.
    fn conflict_delay(&mut self) -> Millis {
        let window = CONFLICT_WINDOW.0 << self.conflicts.min(MAX_CONFLICT_DOUBLINGS);
        let bits = self.process.rotate_right(11 * self.conflicts);
        self.conflicts += 1;
        Millis(MIN_CONFLICT_DELAY.0 + bits % window)
    }

    /// Applies this host's lease row if it had another version than expected.
    pub(super) fn own_lease_conflicted(&mut self, version: RowVersion, value: Option<Vec<u8>>) {
        let row = value.and_then(|bytes| LeaseRow::decode(&bytes).ok());
        match row {
            Some(row) if row.process == self.process => {
                // An earlier write by this process, for which the response was lost. One of a former
                // era knows less than this process.
                match &mut self.lease {
                    Some(lease) => lease.version = version,
                    None => self.found_row = Some((version, row.clone())),
                }
                if row.era == self.era() {
                    self.own_row = row;
                }
            }
            Some(row) => {
                self.lease = None;
                self.inherit_claims(&row);
                self.found_row = Some((version, row));
            }
            None => {
                self.lease = None;
                self.found_row = None;
            }
        }
    }

    /// Returns this host's lease row for the next write.
    pub(super) fn new_lease_row(&self) -> LeaseRow {
        let accepts_keys =
            self.backend.as_ref().is_some_and(|b| !b.draining) && !self.is_evacuated();
        let witnesses = self.choose_witnesses();
        let changed = self.witness_refused || witnesses != self.own_row.witnesses;
        let unclaimed = self.own_ranges().iter().any(|r| !self.may_hold(r));
        LeaseRow {
            process: self.process,
            accepts_keys,
            generation: self.own_row.generation + u64::from(changed),
            witnesses,
            load: self.load.0,
            capacity: self.load.1,
            era: self.era(),
            unclaimed,
            ..self.own_row.clone()
        }
    }

    /// Returns the write that takes the host's lease at start. The lease of an earlier process on
    /// this host is continued, because its backend server may still be running.
    pub(super) fn register_write(&mut self) -> Option<ConditionalWrite> {
        if self.lease.is_some() || self.backend.is_none() || !self.map_read {
            return None;
        }
        let found = self.found_row.as_ref().map_or(RowVersion(0), |(version, _)| *version);
        let version = match &self.found_row {
            // The row from before the rollback, which this process has written, says more.
            _ if self.has_former_lease() => found,
            Some((version, row)) => {
                self.own_row.incarnation.clone_from(&row.incarnation);
                self.own_row.fence_floor = row.fence_floor;
                *version
            }
            None => {
                self.own_row.incarnation = Incarnation::default();
                RowVersion(0)
            }
        };
        // Requires that the known map is the newest, because a write by the previous process may
        // have been applied after the map was read. After this write, such a write fails because it
        // expects the old version of the lease.
        let map = self.current_map().map_or(RowVersion(0), |(version, _)| *version);
        let mut row = self.new_lease_row();
        let claimed = self.current_map().and_then(|(_, map)| self.claim_kept(map));
        let map_row = match claimed {
            Some(map) => Some((RowName::Map, map.encode())),
            None => self.raise_fences(&mut row),
        };
        let mut write = ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), version), (RowName::Map, map)],
            reason: "register",
            ..ConditionalWrite::default()
        };
        write.put.extend(map_row);
        write.put.push((RowName::Lease(self.me), row.encode()));
        Some(write)
    }

    /// Prepares `row` for the current incarnation of the backend server, if the keys were granted to
    /// another one. Returns the map in which the fence of the host's keys is raised.
    fn raise_fences(&self, row: &mut LeaseRow) -> Option<(RowName, Vec<u8>)> {
        let incarnation = &self.backend.as_ref()?.incarnation;
        if *incarnation == row.incarnation {
            return None;
        }
        row.incarnation.clone_from(incarnation);
        let (_, map) = self.current_map()?;
        row.fence_floor = map.last_fence.0;
        let holds = |r: &KeyRange| r.owner == self.me && self.may_hold(r);
        map.ranges.iter().find(|r| holds(r))?;
        let mut map = self.map_to_write(map);
        let fence = map.allocate_fence();
        map.ranges.iter_mut().filter(|r| holds(r)).for_each(|r| r.fence = fence);
        Some((RowName::Map, map.encode()))
    }

    /// Returns the write that raises the fence of this host's keys for a new incarnation of the
    /// backend server, or for one that has seen a higher fence.
    pub(super) fn incarnation_write(&mut self) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let backend = self.backend.as_mut()?;
        let needs_higher_fence = backend.calls.as_mut().is_some_and(GrantCalls::take_fence_request);
        if backend.incarnation == self.own_row.incarnation && !needs_higher_fence {
            return None;
        }
        let mut row = self.new_lease_row();
        if needs_higher_fence {
            row.incarnation = Incarnation::default();
        }
        let map_row = self.raise_fences(&mut row);
        let mut write = ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            reason: "new-boot",
            ..ConditionalWrite::default()
        };
        write.expect.extend(self.current_map().map(|(version, _)| (RowName::Map, *version)));
        write.put.extend(map_row);
        write.put.push((RowName::Lease(self.me), row.encode()));
        Some(write)
    }

    /// Returns the renewal of the lease, if it is due. The lease is left to expire once the backend
    /// server is gone and no keys are owned.
    pub(super) fn renewal_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let row = self.new_lease_row();
        // A host that starts or stops to accept keys publishes this without delay.
        let changed = row.accepts_keys != self.own_row.accepts_keys;
        let gone = self.backend_gone(now) && self.owns_no_keys();
        if gone || now < self.next_renewal_at && !changed {
            return None;
        }
        Some(ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Lease(self.me), row.encode())],
            reason: "renew",
            ..ConditionalWrite::default()
        })
    }

    /// Returns whether the backend server has stopped sending heartbeats and holds no keys any
    /// more.
    pub(super) fn backend_gone(&self, now: Millis) -> bool {
        let gone = |b: &Backend| {
            now > b.grants_end().max(b.last_heartbeat + self.timing.grant_duration)
                + self.timing.silence_limit
        };
        self.backend.as_ref().is_some_and(gone)
    }
}
