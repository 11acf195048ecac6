//! The actions that a node takes after an event, depending on the time and on its state.

use model::Millis;

use super::Node;
use crate::coordinator::{Coordinator, NodeState};
use crate::cx::Cx;
use crate::grantor::GrantorRole;
use crate::seal::InheritedExpirations;
use crate::{CellRow, Command, Join, Message, RouteTable, routes};

impl Node {
    /// Performs the actions that are due, whatever the event was.
    pub(super) fn drive(&mut self, cx: &mut Cx<'_>) {
        self.renew_and_join(cx);
        self.request_row_reads(cx);
        self.store.start_wanted_read(cx);
        self.seal_older_sets(cx);
        self.coordinate(cx);
        self.recover_quorum(cx);
        self.finish_drain(cx);
    }

    fn renew_and_join(&mut self, cx: &mut Cx<'_>) {
        if self.lease.grantors().is_empty() {
            return;
        }
        let mut report = self.report.clone();
        report.draining |= self.draining;
        self.lease.renew(&report, cx);
        let session = self.lease.session();
        let is_member = self.row.as_ref().is_some_and(|r| r.row.member(session).is_some());
        if is_member || self.draining || !cx.is_due(self.last_join_at, cx.timing().renew_interval) {
            return;
        }
        self.last_join_at = Some(cx.now);
        let (addr, zone, slots) = (cx.own_addr(), cx.settings.zone.clone(), report.slots);
        let join = Join { session, addr, zone, slots };
        for grantor in self.lease.grantors() {
            cx.send(grantor.addr, Message::Join(join.clone()));
        }
    }

    /// Requests a read of the row when it may have changed: a later epoch is known, or the lease
    /// is not renewed.
    fn request_row_reads(&mut self, cx: &Cx<'_>) {
        let known_epoch = self.row.as_ref().map(|r| r.row.epoch);
        let behind = known_epoch < Some(self.lease.epoch());
        let pause = cx.timing().renew_interval;
        let leaseless = !self.lease.is_valid(cx.now);
        let leaseless_pause = cx.timing().silence_limit;
        let due = |p| cx.is_due(self.store.read_at(), p);
        if (behind && due(pause)) || (leaseless && due(leaseless_pause)) {
            self.store.want_read();
        }
    }

    /// As a grantor, seals the older grantor sets and adopts the sessions that they expired.
    fn seal_older_sets(&mut self, cx: &mut Cx<'_>) {
        let Some(known) = self.row.as_ref().filter(|_| self.is_grantor()) else {
            return;
        };
        self.seals.send_requests(&known.row, cx);
        for inherited in self.seals.finish(self.recovery.dead(), cx) {
            if !cx.rules.inherited_expirations.is_enforced() {
                continue;
            }
            match inherited {
                InheritedExpirations::Known(sessions) => {
                    sessions.iter().for_each(|s| self.grantor.mark_expired(*s));
                }
                InheritedExpirations::Any => {
                    mark_all_claimants_expired(&known.row, &mut self.grantor);
                }
            }
        }
        let limit = Millis(cx.timing().silence_limit.0 * 2);
        self.grantor.prune(&known.row, limit, cx.now);
    }

    fn coordinate(&mut self, cx: &mut Cx<'_>) {
        if !self.should_coordinate(cx.now) {
            self.coordinator = None;
            return;
        }
        let Some(row) = &self.row else {
            return;
        };
        let known = NodeState {
            row,
            grantor: &self.grantor,
            seals: &self.seals,
            dead: self.recovery.dead(),
        };
        let fresh = || Coordinator::new(row.row.epoch, cx.now);
        let mut coordinator = self.coordinator.take().unwrap_or_else(fresh);
        coordinator.drive(known, &mut self.store, cx);
        let accepts_requests = |s| coordinator.accepts_requests(known, s);
        let table = routes::build(row, &self.takeovers, 0, accepts_requests);
        let is_changed = coordinator.update_table(&table);
        self.coordinator = Some(coordinator);
        if is_changed {
            self.publish(table, cx);
        }
    }

    /// Publishes a routing table built from the known row to the other hosts, if it differs.
    fn publish(&mut self, mut table: RouteTable, cx: &mut Cx<'_>) {
        table.version.revision = self.routes.version.revision;
        if table == self.routes || table.version.row < self.routes.version.row {
            return;
        }
        table.version.revision += 1;
        self.routes = table;
        let Some(known) = &self.row else {
            return;
        };
        for to in self.other_hosts(&known.row) {
            cx.send(to, Message::Routes(self.routes.clone()));
        }
    }

    /// Replaces the grantors if so many of them are dead that no lease can be granted.
    fn recover_quorum(&mut self, cx: &mut Cx<'_>) {
        let Some(known) = self.row.as_ref().filter(|_| !self.lease.is_valid(cx.now)) else {
            return;
        };
        self.recovery.probe(&known.row, cx);
        if !self.draining && self.recovery.is_needed(&known.row) && self.store.can_write(cx) {
            cx.record(
                None,
                "rescue",
                format!("too many grantors of epoch {} are dead", known.row.epoch),
            );
            let next = self.recovery.next_row(&known.row, self.lease.session(), cx);
            self.store.write(Some(known.version), next, cx);
        }
    }

    fn finish_drain(&mut self, cx: &mut Cx<'_>) {
        if !self.draining || self.drained || !self.claims.is_idle() {
            return;
        }
        let Some(known) = &self.row else {
            return;
        };
        let incarnation = self.settings.incarnation;
        let older = known.row.unsealed.iter().flat_map(|s| &s.grantors);
        let may_grant =
            known.row.grantors.iter().chain(older).any(|g| g.incarnation == incarnation);
        if !may_grant && !known.row.has_claims(self.lease.session()) {
            self.drained = true;
            cx.push(Command::Drained);
        }
    }
}

/// Marks all sessions with a claim as expired. If it is unknown which sessions an older grantor set
/// expired, any of them may be one.
fn mark_all_claimants_expired(row: &CellRow, grantor: &mut GrantorRole) {
    for assignment in &row.assignments {
        grantor.mark_expired(assignment.owner);
        assignment.standby.into_iter().for_each(|s| grantor.mark_expired(s));
    }
}
