//! What the hosts of a service do for each other: the first map, replacing the lost, sharing.

use model::{HostAddr, Millis, RowVersion};

use super::KeyOwnership;
use crate::leases::LeaseRow;
use crate::ownership::types::{ConditionalWrite, RowName};
use crate::placement::{self, Member};

impl KeyOwnership {
    /// Returns the other hosts that may be given keys.
    pub(super) fn takers(&self, now: Millis) -> Vec<HostAddr> {
        let ready = self.members(now).into_iter().filter(|m| m.accepts_keys && m.host != self.me);
        ready.map(|m| m.host).collect()
    }

    /// Returns the hosts with a lease. One that missed a renewal is given nothing: its row shows
    /// no load because it is cut off.
    pub(super) fn members(&self, now: Millis) -> Vec<Member> {
        let late =
            self.watch.unchanged_for(self.times.renew_interval + self.times.renewal_grace, now);
        let hosts = self.watch.hosts().into_iter();
        let member = |(host, row): (HostAddr, &LeaseRow)| Member {
            host,
            accepts_keys: row.accepts_keys && !late.iter().any(|(h, _)| *h == host),
            load: row.load,
            capacity: row.capacity,
            ranges: self.map.as_ref().map_or(0, |(_, map)| map.owned_by(host).count()),
        };
        hosts.map(member).collect()
    }

    /// What the hosts of a service do for each other. Races end at the conditions of the write.
    pub(super) fn plan(&mut self, now: Millis) -> Option<ConditionalWrite> {
        self.lease?;
        // Old knowledge of the leases is no ground to act on.
        if now.since(self.watched_at) > self.times.lease_read_interval + Millis(500) {
            return None;
        }
        let Some((version, map)) = &self.map else { return self.first(now) };
        let silent = self.watch.unchanged_for(self.times.base_term + self.times.drift_margin, now);
        let mut gone: Vec<(HostAddr, RowVersion)> =
            silent.into_iter().filter(|(h, _)| *h != self.me && self.ended(*h, now)).collect();
        let unknown = map.owners().into_iter().filter(|h| !self.watch.contains(*h));
        gone.extend(unknown.map(|h| (h, RowVersion(0))));
        let names: Vec<HostAddr> = gone.iter().map(|(h, _)| *h).collect();
        let mut takers = self.takers(now);
        if self.fresh_row().accepts_keys {
            takers.push(self.me);
        }
        takers.retain(|h| !names.contains(h));
        let expect_map = (RowName::Map, *version);
        if !gone.is_empty() {
            let map = placement::evict(map, &names, &takers);
            let mut todo = ConditionalWrite {
                expect: vec![expect_map],
                reason: "evict",
                ..ConditionalWrite::default()
            };
            for (host, version) in gone {
                todo.expect.push((RowName::Lease(host), version));
                if version != RowVersion(0) {
                    todo.remove.push(RowName::Lease(host));
                }
            }
            todo.put.extend(map.map(|m| (RowName::Map, m.encode())));
            let empty = todo.put.is_empty() && todo.remove.is_empty();
            return (!empty).then_some(todo);
        }
        let first = self.watch.hosts().first().is_some_and(|(h, _)| *h == self.me);
        if !first || now.since(self.rebalanced) < Millis(2 * self.times.lease_read_interval.0) {
            return None;
        }
        let map = placement::rebalance(map, &self.members(now))?;
        self.rebalanced = now;
        Some(ConditionalWrite {
            expect: vec![expect_map],
            put: vec![(RowName::Map, map.encode())],
            reason: "rebalance",
            ..ConditionalWrite::default()
        })
    }

    pub(super) fn first(&self, now: Millis) -> Option<ConditionalWrite> {
        if now.since(self.started) < self.times.bootstrap_wait {
            return None;
        }
        let hosts = self.watch.hosts();
        let first = hosts.first().is_some_and(|(h, _)| *h == self.me);
        // Others may make the map too, in case the first host can't.
        if !first && now.since(self.started) < Millis(3 * self.times.bootstrap_wait.0) {
            return None;
        }
        let takers: Vec<HostAddr> =
            hosts.iter().filter(|(_, row)| row.accepts_keys).map(|(h, _)| *h).collect();
        let map = placement::initial_map(&takers)?;
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, RowVersion(0))],
            put: vec![(RowName::Map, map.encode())],
            reason: "first-map",
            ..ConditionalWrite::default()
        })
    }
}
