//! Writes of the key map that any host can make for the whole service: the initial map, eviction of
//! hosts whose lease has expired, and rebalancing.

use model::{HostAddr, Millis, RowVersion};

use super::KeyOwnership;
use crate::leases::LeaseRow;
use crate::ownership::types::{ConditionalWrite, RowName};
use crate::placement::{self, Member};

/// Members that another host reported are used for this time.
const MEMBERS_TTL: Millis = Millis(2_000);

impl KeyOwnership {
    /// Returns the other hosts that may be assigned keys.
    pub(super) fn recipients(&self, now: Millis) -> Vec<HostAddr> {
        let eligible =
            self.members(now).into_iter().filter(|m| m.accepts_keys && m.host != self.me);
        eligible.map(|m| m.host).collect()
    }

    /// Returns the hosts with a lease, as read from the store or reported by another host; none if
    /// neither is recent. One that missed a renewal is assigned no keys: its row may show no load
    /// only because the host is cut off.
    pub(super) fn members(&self, now: Millis) -> Vec<Member> {
        let ranges = |host| self.map.as_ref().map_or(0, |(_, map)| map.owned_by(host).count());
        if !self.leases_fresh(now) {
            let (reported_at, members) = &self.reported_members;
            let recent = now.since(*reported_at) <= MEMBERS_TTL;
            let members = members.iter().filter(|_| recent);
            let member = |m: &Member| Member {
                accepts_keys: m.accepts_keys && !self.in_evacuated_zone(m.host),
                ranges: ranges(m.host),
                ..*m
            };
            return members.map(member).collect();
        }
        let late = self
            .observed_leases
            .unchanged_for(self.timing.renew_interval + self.timing.renewal_grace, now);
        let hosts = self.observed_leases.hosts().into_iter();
        let member = |(host, row): (HostAddr, &LeaseRow)| Member {
            host,
            accepts_keys: row.accepts_keys
                && !late.iter().any(|(h, _)| *h == host)
                && !self.in_evacuated_zone(host),
            load: row.load,
            capacity: row.capacity,
            ranges: ranges(host),
        };
        hosts.map(member).collect()
    }

    /// Returns the write of the map that is due, if any. If several hosts attempt one at the same
    /// time, the conditions of the writes let only one succeed.
    pub(super) fn assignment_write(&mut self, now: Millis) -> Option<ConditionalWrite> {
        self.lease?;
        // Stale data about the leases is not acted on.
        if !self.leases_fresh(now) {
            return None;
        }
        let Some((version, map)) = self.current_map() else { return self.initial_map_write(now) };
        let silent = self
            .observed_leases
            .unchanged_for(self.timing.base_term + self.timing.drift_margin, now);
        let mut expired: Vec<(HostAddr, RowVersion)> = silent
            .into_iter()
            .filter(|(h, _)| *h != self.me && self.lease_expired(*h, now))
            .collect();
        let without_lease = map.owners().into_iter().filter(|h| !self.observed_leases.contains(*h));
        expired.extend(without_lease.map(|h| (h, RowVersion(0))));
        expired.retain(|(h, _)| !self.may_be_held_by_others(map, *h, now));
        let expired_hosts: Vec<HostAddr> = expired.iter().map(|(h, _)| *h).collect();
        let mut recipients = self.recipients(now);
        if self.new_lease_row().accepts_keys {
            recipients.push(self.me);
        }
        recipients.retain(|h| !expired_hosts.contains(h));
        let expect_map = (RowName::Map, *version);
        if !expired.is_empty() {
            let map = placement::evict(&self.map_to_write(map), &expired_hosts, &recipients);
            let mut write = ConditionalWrite {
                expect: vec![expect_map],
                reason: "evict",
                ..ConditionalWrite::default()
            };
            for (host, version) in expired {
                write.expect.push((RowName::Lease(host), version));
                if version != RowVersion(0) {
                    write.remove.push(RowName::Lease(host));
                }
            }
            write.put.extend(map.map(|m| (RowName::Map, m.encode())));
            let empty = write.put.is_empty() && write.remove.is_empty();
            return (!empty).then_some(write);
        }
        let is_first = self.observed_leases.hosts().first().is_some_and(|(h, _)| *h == self.me);
        if is_first && let Some(write) = self.settle_write(now) {
            return Some(write);
        }
        if !is_first
            || now.since(self.rebalanced_at) < Millis(2 * self.timing.lease_read_interval.0)
        {
            return None;
        }
        let map = placement::rebalance(map, &self.members(now))?;
        self.rebalanced_at = now;
        Some(ConditionalWrite {
            expect: vec![expect_map],
            put: vec![(RowName::Map, map.encode())],
            reason: "rebalance",
            ..ConditionalWrite::default()
        })
    }

    /// Returns the write of the initial map once the hosts have had time to register.
    pub(super) fn initial_map_write(&self, now: Millis) -> Option<ConditionalWrite> {
        if now.since(self.started_at) < self.timing.bootstrap_wait {
            return None;
        }
        if self.former_era_known() && !self.former_grants_ended(now) {
            return None;
        }
        let hosts = self.observed_leases.hosts();
        let is_first = hosts.first().is_some_and(|(h, _)| *h == self.me);
        // The other hosts create the map later, in case the first one can't.
        if !is_first && now.since(self.started_at) < Millis(3 * self.timing.bootstrap_wait.0) {
            return None;
        }
        let eligible = |(host, row): &&(HostAddr, &LeaseRow)| {
            row.accepts_keys && !self.in_evacuated_zone(*host)
        };
        let recipients: Vec<HostAddr> = hosts.iter().filter(eligible).map(|(h, _)| *h).collect();
        let map = placement::initial_map(&recipients)?.first_of_era(self.era());
        Some(ConditionalWrite {
            expect: vec![(RowName::Map, RowVersion(0))],
            put: vec![(RowName::Map, map.encode())],
            reason: "first-map",
            ..ConditionalWrite::default()
        })
    }
}
