//! What a coordinator can conclude from all that it knows.

use model::{Incarnation, Millis, Session};

use crate::cx::Cx;
use crate::grantor::GrantorRole;
use crate::loss::Losses;
use crate::moves::Moves;
use crate::seal::Seals;
use crate::{Assignment, CellRow};

/// The knowledge of a coordinator, for reading only.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) row: &'a CellRow,
    pub(crate) grantor: &'a GrantorRole,
    pub(crate) seals: &'a Seals,
    pub(crate) dead: &'a [Incarnation],
    pub(crate) losses: &'a Losses,
    pub(crate) moves: &'a Moves,
    /// When this process became the coordinator.
    pub(crate) since: Millis,
}

impl View<'_> {
    /// Returns whether the process of a session said itself, or is known, to have ended it.
    pub(crate) fn has_ended(&self, session: Session) -> bool {
        self.grantor.is_superseded(session) || self.dead.contains(&session.incarnation)
    }

    /// Returns whether a session is ended or is being ended.
    pub(crate) fn is_lost(&self, session: Session) -> bool {
        self.losses.contains(session) || self.grantor.is_expired(session) || self.has_ended(session)
    }

    /// Returns whether a session can never serve again.
    pub(crate) fn is_over(&self, session: Session, cx: &Cx<'_>) -> bool {
        if self.has_ended(session) {
            return self.losses.is_grace_over(session, cx);
        }
        self.losses.is_over(session, &self.row.grantors, cx) && self.seals.are_waited_out(cx)
    }

    /// Returns whether a session can never serve under an assignment again.
    pub(crate) fn is_claim_ended(
        &self,
        session: Session,
        assignment: &Assignment,
        cx: &Cx<'_>,
    ) -> bool {
        self.moves.given_up(session, assignment).is_some() || self.is_over(session, cx)
    }

    /// Returns whether a session is a member that should serve.
    pub(crate) fn is_usable(&self, session: Session) -> bool {
        let heard = self.grantor.heard(session);
        let is_open = heard.is_none_or(|h| h.report.slots > 0 && !h.report.draining);
        is_open && self.row.member(session).is_some() && !self.is_lost(session)
    }

    /// Returns when a session was last heard. One that was never heard gets some time after a
    /// change of coordinator, because members turn to all grantors only after a missed answer.
    pub(crate) fn last_heard(&self, session: Session, cx: &Cx<'_>) -> Millis {
        let start = self.since - cx.timing().renew_interval;
        self.grantor.heard(session).map_or(start, |h| h.at.max(start))
    }

    /// Returns why a session has to be ended, if it has to.
    pub(crate) fn loss_reason(&self, session: Session, cx: &Cx<'_>) -> Option<&'static str> {
        let member = self.row.member(session);
        if self.grantor.is_superseded(session) {
            return Some("its host has a later session");
        }
        if self.dead.contains(&session.incarnation) {
            return Some("its process is dead");
        }
        if self.grantor.is_expired(session) {
            return Some("it was marked as lapsed");
        }
        if member.is_none_or(|m| self.grantor.is_replaced(session, m.addr)) {
            return Some("another process has its address");
        }
        let silence = cx.now.since(self.last_heard(session, cx));
        (silence > cx.timing().silence_limit).then_some("it is silent")
    }
}
