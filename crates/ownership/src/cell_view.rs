//! What a coordinator concludes from its state: which sessions are usable, lost or over.

use model::{Incarnation, Millis, Session};

use crate::cx::Cx;
use crate::expiration::SessionExpirations;
use crate::grantor::GrantorRole;
use crate::moves::Moves;
use crate::seal::Seals;
use crate::{Assignment, CellRow};

/// A read-only view of everything that a coordinator knows about its cell.
#[derive(Clone, Copy)]
pub(crate) struct CellView<'a> {
    pub(crate) row: &'a CellRow,
    pub(crate) grantor: &'a GrantorRole,
    pub(crate) seals: &'a Seals,
    pub(crate) dead: &'a [Incarnation],
    pub(crate) expirations: &'a SessionExpirations,
    pub(crate) moves: &'a Moves,
    /// When this process became the coordinator.
    pub(crate) since: Millis,
}

impl CellView<'_> {
    /// Returns whether the process of a session started a later one or is known to be dead.
    pub(crate) fn ended_by_process(&self, session: Session) -> bool {
        self.grantor.is_superseded(session) || self.dead.contains(&session.incarnation)
    }

    /// Returns whether a session has ended or is being expired.
    pub(crate) fn is_lost(&self, session: Session) -> bool {
        self.expirations.contains(session)
            || self.grantor.is_expired(session)
            || self.ended_by_process(session)
    }

    /// Returns whether a session can certainly never serve again.
    pub(crate) fn is_over(&self, session: Session, cx: &Cx<'_>) -> bool {
        if self.ended_by_process(session) {
            return self.expirations.is_grace_over(session, cx);
        }
        self.expirations.is_lease_over(session, &self.row.grantors, cx)
            && self.seals.are_all_grants_over(cx)
    }

    /// Returns whether a session can certainly never serve under an assignment again.
    pub(crate) fn is_claim_ended(
        &self,
        session: Session,
        assignment: &Assignment,
        cx: &Cx<'_>,
    ) -> bool {
        self.moves.released(session, assignment).is_some() || self.is_over(session, cx)
    }

    /// Returns whether a session is a member that can be given partitions.
    pub(crate) fn is_usable(&self, session: Session) -> bool {
        let renewal = self.grantor.last_renewal(session);
        let takes_requests = renewal.is_none_or(|r| r.report.slots > 0 && !r.report.draining);
        takes_requests && self.row.member(session).is_some() && !self.is_lost(session)
    }

    /// Returns when a session last renewed. A session without a renewal gets some time after a
    /// change of the coordinator, because members renew with all grantors only after a missed
    /// reply.
    pub(crate) fn last_renewed_at(&self, session: Session, cx: &Cx<'_>) -> Millis {
        let start = self.since - cx.timing().renew_interval;
        self.grantor.last_renewal(session).map_or(start, |r| r.at.max(start))
    }

    /// Returns why a session has to be expired, if it has to.
    pub(crate) fn expiry_reason(&self, session: Session, cx: &Cx<'_>) -> Option<&'static str> {
        let member = self.row.member(session);
        if self.grantor.is_superseded(session) {
            return Some("its host started a later session");
        }
        if self.dead.contains(&session.incarnation) {
            return Some("its process is dead");
        }
        if self.grantor.is_expired(session) {
            return Some("a grantor marked it as expired");
        }
        if member.is_none_or(|m| self.grantor.is_replaced(session, m.addr)) {
            return Some("another process uses its address");
        }
        let silence = cx.now.since(self.last_renewed_at(session, cx));
        (silence > cx.timing().silence_limit).then_some("it stopped renewing")
    }
}
