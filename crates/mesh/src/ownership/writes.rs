//! The writes of a keeper: which one is due, and what its end means.

use model::{Millis, RowVersion};

use super::{Backend, KeyOwnership, Lease};
use crate::KeyMap;
use crate::leases::{Incarnation, LeaseRow};
use crate::ownership::types::{ConditionalWrite, RowName, WriteOutcome};

impl KeyOwnership {
    /// Returns the write that is due, if any. Its end is told with [`KeyOwnership::write_finished`].
    pub fn next_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        if self.under_way.is_some() || now < self.next_write || !self.asked {
            return None;
        }
        if self.lease_expiry().is_some_and(|until| now >= until) {
            self.lease = None;
        }
        let todo = self
            .register()
            .or_else(|| self.follow_boot())
            .or_else(|| self.finish_releases(now))
            .or_else(|| self.join_own_runs())
            .or_else(|| self.renew(now))
            .or_else(|| self.plan(now))?;
        self.settled_before = self.settled;
        if self.puts_other_witnesses(&todo) {
            self.settled = false;
        }
        self.under_way = Some((todo.clone(), now));
        Some(todo)
    }

    /// Takes in how the write under way ended.
    pub fn write_finished(&mut self, end: WriteOutcome, now: Millis) {
        let Some((todo, sent)) = self.under_way.take() else { return };
        match end {
            WriteOutcome::Committed(version) => self.made(&todo, version, sent, now),
            WriteOutcome::Conflict(rows) => {
                self.store_heard = now;
                self.conflicted(rows, now);
            }
            WriteOutcome::NotApplied => {
                self.settled = self.settled_before;
                self.next_write = now + self.times.retry_interval;
            }
            WriteOutcome::Unknown => self.next_write = now + self.times.retry_interval,
        }
    }

    pub(super) fn made(
        &mut self,
        todo: &ConditionalWrite,
        version: RowVersion,
        sent: Millis,
        now: Millis,
    ) {
        self.store_heard = now;
        for (name, bytes) in &todo.put {
            match name {
                RowName::Lease(_) => {
                    self.lease = Some(Lease { version, sent, confirmed: sent });
                    self.settled = true;
                    self.renewed = sent;
                    if let Ok(row) = LeaseRow::decode(bytes) {
                        self.refused = self.refused && row.generation == self.row.generation;
                        self.row = row;
                    }
                }
                RowName::Map => {
                    if let Ok(map) = KeyMap::decode(bytes) {
                        self.update_map(version, map);
                    }
                }
            }
        }
    }

    pub(super) fn conflicted(
        &mut self,
        rows: Vec<(RowName, RowVersion, Option<Vec<u8>>)>,
        now: Millis,
    ) {
        for (name, version, value) in rows {
            match (name, value) {
                (RowName::Map, Some(bytes)) => {
                    if let Ok(map) = KeyMap::decode(&bytes) {
                        self.update_map(version, map);
                    }
                }
                (RowName::Lease(host), value) if host == self.me => {
                    self.own_lease_differs(version, value);
                }
                // Another host renewed after all, or others ended its lease already.
                (RowName::Lease(_), _) => self.watched_at = Millis::ZERO,
                (RowName::Map, None) => {}
            }
        }
        self.next_write = now + Millis(20);
    }

    pub(super) fn own_lease_differs(&mut self, version: RowVersion, value: Option<Vec<u8>>) {
        let row = value.and_then(|bytes| LeaseRow::decode(&bytes).ok());
        match row {
            Some(row) if row.process == self.process => {
                // An earlier write of this process whose answer was lost.
                self.row = row;
                self.settled = true;
                match &mut self.lease {
                    Some(lease) => lease.version = version,
                    None => self.found = Some((version, self.row.clone())),
                }
            }
            Some(row) => {
                self.lease = None;
                self.found = Some((version, row));
            }
            None => {
                self.lease = None;
                self.found = None;
            }
        }
    }

    pub(super) fn fresh_row(&self) -> LeaseRow {
        let takes = self.backend.as_ref().is_some_and(|b| !b.leaving);
        let witnesses = self.wanted_witnesses();
        let changed = self.refused || witnesses != self.row.witnesses;
        LeaseRow {
            process: self.process,
            accepts_keys: takes,
            generation: self.row.generation + u64::from(changed),
            witnesses,
            load: self.load.0,
            capacity: self.load.1,
            ..self.row.clone()
        }
    }

    /// A lease of an earlier process on this host goes on; its backend server may live.
    pub(super) fn register(&mut self) -> Option<ConditionalWrite> {
        if self.lease.is_some() || self.backend.is_none() || !self.map_read {
            return None;
        }
        let version = match &self.found {
            Some((version, row)) => {
                self.row.incarnation.clone_from(&row.incarnation);
                self.row.fence_floor = row.fence_floor;
                *version
            }
            None => {
                self.row.incarnation = Incarnation::default();
                RowVersion(0)
            }
        };
        // The map that is known has to be the newest: a write of the process before may have been
        // made after the map was read. From here on such a write fails, as it names the lease.
        let map = self.map.as_ref().map_or(RowVersion(0), |(version, _)| *version);
        Some(ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), version), (RowName::Map, map)],
            put: vec![(RowName::Lease(self.me), self.fresh_row().encode())],
            reason: "register",
            ..ConditionalWrite::default()
        })
    }

    /// Another start of the backend server gets its keys under a higher fence.
    pub(super) fn follow_boot(&mut self) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let boot = &self.backend.as_ref()?.boot;
        if *boot == self.row.incarnation {
            return None;
        }
        let mut row = LeaseRow { incarnation: boot.clone(), ..self.fresh_row() };
        let mut todo = ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            reason: "new-boot",
            ..ConditionalWrite::default()
        };
        if let Some((version, map)) = &self.map {
            row.fence_floor = map.last_fence.0;
            todo.expect.push((RowName::Map, *version));
            if map.owned_by(self.me).next().is_some() {
                let mut map = map.clone();
                let fence = map.allocate_fence();
                let own = map.ranges.iter_mut().filter(|r| r.owner == self.me);
                own.for_each(|r| r.fence = fence);
                todo.put.push((RowName::Map, map.encode()));
            }
        }
        todo.put.push((RowName::Lease(self.me), row.encode()));
        Some(todo)
    }

    pub(super) fn renew(&mut self, now: Millis) -> Option<ConditionalWrite> {
        let lease = self.lease?;
        let fresh = self.fresh_row();
        // A host that starts or stops to take keys says so at once.
        let changed = fresh.accepts_keys != self.row.accepts_keys;
        let gone = self.backend_gone(now) && self.owns_no_keys();
        if gone || now.since(self.renewed) < self.times.renew_interval && !changed {
            return None;
        }
        Some(ConditionalWrite {
            expect: vec![(RowName::Lease(self.me), lease.version)],
            put: vec![(RowName::Lease(self.me), fresh.encode())],
            reason: "renew",
            ..ConditionalWrite::default()
        })
    }

    pub(super) fn backend_gone(&self, now: Millis) -> bool {
        let quiet = |b: &Backend| {
            now > b.grants_end.max(b.heard + self.times.grant_duration) + self.times.silence_limit
        };
        self.backend.as_ref().is_some_and(quiet)
    }
}
