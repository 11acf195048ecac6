//! What a node does of itself, as time passes and its knowledge changes.

use model::Millis;

use super::Node;
use crate::coordinator::{Coordinator, Known};
use crate::cx::Cx;
use crate::grantor::GrantorRole;
use crate::seal::Inherited;
use crate::{CellRow, Command, Join, Message, RouteTable, routes};

impl Node {
    /// Does what is due, whatever the event was.
    pub(super) fn drive(&mut self, cx: &mut Cx<'_>) {
        self.renew_and_join(cx);
        self.want_rows(cx);
        self.store.run(cx);
        self.seal_older_sets(cx);
        self.coordinate(cx);
        self.rescue(cx);
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
        if is_member || self.draining || !cx.is_due(self.joined_at, cx.timing().renew_interval) {
            return;
        }
        self.joined_at = Some(cx.now);
        let (addr, zone, slots) = (cx.own_addr(), cx.settings.zone.clone(), report.slots);
        let join = Join { session, addr, zone, slots };
        for grantor in self.lease.grantors() {
            cx.send(grantor.addr, Message::Join(join.clone()));
        }
    }

    /// Reads the row again when there is a sign that it changed.
    fn want_rows(&mut self, cx: &Cx<'_>) {
        let known_epoch = self.row.as_ref().map(|r| r.row.epoch);
        let behind = known_epoch < Some(self.lease.epoch());
        let pause = cx.timing().renew_interval;
        let alone = !self.lease.is_valid(cx.now);
        let lonely_pause = cx.timing().silence_limit;
        let due = |p| cx.is_due(self.store.read_at(), p);
        if (behind && due(pause)) || (alone && due(lonely_pause)) {
            self.store.want_read();
        }
    }

    /// As a grantor, seals the older sets and takes over the marks of each.
    fn seal_older_sets(&mut self, cx: &mut Cx<'_>) {
        let Some(known) = self.row.as_ref().filter(|_| self.is_grantor()) else {
            return;
        };
        self.seals.ask(&known.row, cx);
        for inherited in self.seals.close(self.rescue.dead(), cx) {
            if !cx.rules.inherited_expirations.is_enforced() {
                continue;
            }
            match inherited {
                Inherited::Known(sessions) => {
                    sessions.iter().for_each(|s| self.grantor.mark_expired(*s))
                }
                Inherited::Any => mark_all_claimants(&known.row, &mut self.grantor),
            }
        }
        let limit = Millis(cx.timing().silence_limit.0 * 2);
        self.grantor.forget_silent(&known.row, limit, cx.now);
    }

    fn coordinate(&mut self, cx: &mut Cx<'_>) {
        if !self.should_coordinate(cx.now) {
            self.coordinator = None;
            return;
        }
        let Some(row) = &self.row else {
            return;
        };
        let known =
            Known { row, grantor: &self.grantor, seals: &self.seals, dead: self.rescue.dead() };
        let fresh = || Coordinator::new(row.row.epoch, cx.now);
        let mut coordinator = self.coordinator.take().unwrap_or_else(fresh);
        coordinator.drive(known, &mut self.store, cx);
        let takes_work = |s| coordinator.takes_work(known, s);
        let table = routes::build(row, &self.takeovers, 0, takes_work);
        let is_news = coordinator.note_table(&table);
        self.coordinator = Some(coordinator);
        if is_news {
            self.publish(table, cx);
        }
    }

    /// Makes a table of the known row the newest and sends it to everyone, if it differs.
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
        for to in self.everyone(&known.row) {
            cx.send(to, Message::Routes(self.routes.clone()));
        }
    }

    /// Replaces the grantors if too many of them are dead for anyone to hold a lease.
    fn rescue(&mut self, cx: &mut Cx<'_>) {
        let Some(known) = self.row.as_ref().filter(|_| !self.lease.is_valid(cx.now)) else {
            return;
        };
        self.rescue.probe(&known.row, cx);
        if !self.draining && self.rescue.is_needed(&known.row) && self.store.can_write(cx) {
            cx.record(None, "rescue", format!("the grantors of epoch {} died", known.row.epoch));
            let next = self.rescue.next_row(&known.row, self.lease.session(), cx);
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
        let grants = known.row.grantors.iter().chain(older).any(|g| g.incarnation == incarnation);
        if !grants && !known.row.has_claims(self.lease.session()) {
            self.drained = true;
            cx.push(Command::Drained);
        }
    }
}

/// Without the marks of the older set, any session with a claim may be one that it ended.
fn mark_all_claimants(row: &CellRow, grantor: &mut GrantorRole) {
    for assignment in &row.assignments {
        grantor.mark_expired(assignment.owner);
        assignment.standby.into_iter().for_each(|s| grantor.mark_expired(s));
    }
}
