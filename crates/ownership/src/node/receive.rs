//! Handlers of the messages that a node receives.

use model::{Epoch, Fence, HostAddr, Incarnation, Millis, Session};

use super::Node;
use crate::claims::ServeOrder;
use crate::cx::Cx;
use crate::routes::Takeover;
use crate::{
    ClaimRef, Grantor, Join, Message, Origin, RefusalReason, Renew, RouteTable, RoutesVersion,
};

impl Node {
    pub(super) fn receive(&mut self, from: HostAddr, message: Message, cx: &mut Cx<'_>) {
        match message {
            Message::Join(join) => self.on_join(from, &join, cx),
            Message::Renew(renew) => self.on_renew(from, &renew, cx),
            Message::Renewed { epoch, session, sent_at, routes, config, config_age } => {
                if self.lease.on_renewed(from, epoch, session, sent_at, cx) {
                    self.on_renewal_details(from, sent_at, routes, config, config_age, cx);
                }
            }
            Message::RenewRefused { session, reason, .. } => {
                self.on_refused(session, &reason, cx);
            }
            Message::Assign { claim, handed_over_from, first } => {
                let origin = origin(handed_over_from, first);
                self.accept_order(&ServeOrder { claim, origin }, from, cx);
            }
            Message::TakeOver(claim) => {
                self.accept_order(&ServeOrder { claim, origin: Origin::Unplanned }, from, cx);
            }
            Message::Serving(claim) => self.on_serving(from, &claim),
            Message::Release(release) => self.claims.release(&release, from, &self.lease, cx),
            Message::Released { claim, handed_over } => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_released(&claim, handed_over);
                }
            }
            Message::ExpireSession { epoch, session } => {
                self.on_expire_session(from, epoch, session, cx);
            }
            Message::SessionExpired { epoch, session, remaining } => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_session_expired(from, epoch, session, remaining, cx.now);
                }
            }
            Message::Seal { epoch, sealed, grantors, incarnation } => {
                self.on_seal(from, epoch, sealed, &grantors, incarnation, cx);
            }
            Message::Sealed { sealed, incarnation, expired, .. } => {
                self.seals.on_sealed(from, sealed, incarnation, &expired);
                if let Some(known) = &self.row {
                    self.recovery.on_sealed(&known.row, from, sealed, incarnation, cx);
                }
            }
            Message::RowChanged(known) => self.adopt_row(known, cx),
            Message::GetRoutes(have) => {
                if self.routes.version > have {
                    cx.send(from, Message::Routes(self.routes.clone()));
                }
            }
            Message::Routes(table) => self.on_routes(table),
        }
    }

    /// Sends the row again to a member that missed it; other hosts are admitted with the next
    /// write.
    fn on_join(&mut self, from: HostAddr, join: &Join, cx: &mut Cx<'_>) {
        let (Some(coordinator), Some(known)) = (&mut self.coordinator, &self.row) else {
            return;
        };
        if known.row.member(join.session).is_some() {
            cx.send(from, Message::RowChanged(known.clone()));
        } else {
            coordinator.on_join(join);
        }
    }

    fn on_renew(&mut self, from: HostAddr, renew: &Renew, cx: &mut Cx<'_>) {
        let (session, sent_at) = (renew.session, renew.sent_at);
        let is_grantor = self.is_grantor();
        if is_grantor {
            self.grantor.record_renewal(from, renew, cx.now);
        }
        if renew.epoch > self.lease.epoch() {
            self.store.want_read();
            return;
        }
        if let Some(reason) = self.refusal(renew, is_grantor) {
            cx.send(from, Message::RenewRefused { session, sent_at, reason });
            return;
        }
        let may_grant = self.seals.are_all_sealed(cx) || !cx.rules.grant_after_seal.is_enforced();
        if !may_grant {
            return;
        }
        self.grantor.grant(session, cx);
        let age = |as_of: Millis| cx.now.since(as_of);
        let renewed = Message::Renewed {
            epoch: renew.epoch,
            session,
            sent_at,
            routes: self.routes.version,
            config: self.config,
            config_age: self.config_as_of.map_or(Millis(u64::MAX), age),
        };
        cx.send(from, renewed);
    }

    fn refusal(&self, renew: &Renew, is_grantor: bool) -> Option<RefusalReason> {
        if renew.epoch < self.lease.epoch() {
            let (epoch, grantors) = (self.lease.epoch(), self.lease.grantors().to_vec());
            return Some(RefusalReason::OtherEpoch { epoch, grantors });
        }
        if !is_grantor {
            return Some(RefusalReason::NotGrantor);
        }
        self.grantor.is_expired(renew.session).then_some(RefusalReason::SessionExpired)
    }

    /// Handles the versions of routes and configuration that came with a lease grant.
    fn on_renewal_details(
        &mut self,
        from: HostAddr,
        sent_at: Millis,
        routes: RoutesVersion,
        config: model::ConfigVersion,
        config_age: Millis,
        cx: &mut Cx<'_>,
    ) {
        if routes > self.routes.version {
            cx.send(from, Message::GetRoutes(self.routes.version));
        }
        let is_behind = self.row.as_ref().is_some_and(|r| r.version < routes.row);
        if is_behind && self.is_grantor() {
            self.store.want_read();
        }
        if config_age < Millis(u64::MAX) && from != cx.own_addr() {
            self.update_config(config, sent_at.since(config_age));
        }
        let as_of = self.config_as_of.filter(|_| config_age < Millis(u64::MAX));
        if let Some(as_of) = as_of {
            cx.push(crate::Command::ConfigKnown { version: self.config, as_of });
        }
    }

    fn on_refused(&mut self, session: Session, reason: &RefusalReason, cx: &mut Cx<'_>) {
        if self.lease.is_session_expired(session, reason) {
            self.lose_lease("a grantor expired it", cx);
        } else if let RefusalReason::OtherEpoch { epoch, grantors } = reason {
            self.lease.adopt_grantors(*epoch, grantors);
        }
    }

    fn accept_order(&mut self, order: &ServeOrder, from: HostAddr, cx: &mut Cx<'_>) {
        self.claims.accept(order, from, &self.lease, cx);
        self.lease.raise_min_order_epoch(order.claim.epoch);
    }

    fn on_serving(&mut self, from: HostAddr, claim: &ClaimRef) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        coordinator.on_serving(claim);
        let ClaimRef { partition, fence, .. } = *claim;
        let stored = self.row.as_ref().and_then(|r| r.row.assignment(partition));
        let is_takeover =
            stored.is_some_and(|a| a.standby == Some(claim.session) && a.fence.takeover() == fence);
        let takeover = Takeover { partition, fence, owner: from };
        if is_takeover && !self.takeovers.contains(&takeover) {
            self.takeovers.push(takeover);
        }
    }

    /// Marks a session as expired, if this process is a grantor in the epoch of the request.
    fn on_expire_session(
        &mut self,
        from: HostAddr,
        epoch: Epoch,
        session: Session,
        cx: &mut Cx<'_>,
    ) {
        if !self.is_grantor() || epoch != self.lease.epoch() {
            return;
        }
        let remaining = self.grantor.expire(session, cx);
        cx.send(from, Message::SessionExpired { epoch, session, remaining });
    }

    /// Stops granting leases in an older epoch. A process that is not the incarnation that was the
    /// grantor only replies with its own incarnation, which proves that the grantor is dead.
    fn on_seal(
        &mut self,
        from: HostAddr,
        epoch: Epoch,
        sealed: Epoch,
        grantors: &[Grantor],
        incarnation: Incarnation,
        cx: &mut Cx<'_>,
    ) {
        let own = cx.settings.incarnation;
        let is_addressee = incarnation == own;
        if is_addressee && epoch <= sealed {
            return;
        }
        let expired = if is_addressee { self.grantor.expired().to_vec() } else { Vec::new() };
        if is_addressee {
            self.lease.adopt_grantors(epoch, grantors);
        }
        cx.send(from, Message::Sealed { epoch, sealed, incarnation: own, expired });
    }

    fn on_routes(&mut self, table: RouteTable) {
        if table.version > self.routes.version {
            self.routes = table;
        }
    }
}

fn origin(handed_over_from: Option<Fence>, first: bool) -> Origin {
    match handed_over_from {
        Some(from) => Origin::Planned { from },
        None if first => Origin::First,
        None => Origin::Unplanned,
    }
}
