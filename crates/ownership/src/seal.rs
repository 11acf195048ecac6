//! Sealing: older grantors stop granting leases for good, and the new ones learn which sessions
//! they expired.
//!
//! Every grantor of an epoch seals the older grantor sets for itself. Until it has done so it
//! grants no leases, because a session that the older set expired must not get a lease from the new
//! one.

use model::{Epoch, HostAddr, Incarnation, Millis, Session};

use crate::cx::Cx;
use crate::lease::blocking_quorum;
use crate::{CellRow, Grantor, GrantorSet, Message};

/// How many times per renew interval unanswered seal requests are sent.
const SENDS_PER_INTERVAL: u64 = 3;

/// Whether the sessions that a sealed grantor set expired are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ExpiredSessions {
    /// Enough grantors answered to know every session that was expired.
    Known,
    /// Too many grantors are dead, so any session may have been expired.
    Unknown,
}

/// The seal of one older grantor set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SetSeal {
    set: GrantorSet,
    answered: Vec<Incarnation>,
    /// The sessions that the replies name as expired.
    expired: Vec<Session>,
    started_at: Millis,
    last_sent_at: Option<Millis>,
    sealed_at: Option<Millis>,
}

/// The seals of the older grantor sets in the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Seals(Vec<SetSeal>);

/// The sessions that a newly sealed grantor set had expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum InheritedExpirations {
    /// Exactly these sessions.
    Known(Vec<Session>),
    /// Possibly any session that the row references.
    Any,
}

/// Commands.
impl Seals {
    /// Starts to seal the grantor sets that are new in the row, and drops those that left it.
    pub(crate) fn sync_with_row(&mut self, row: &CellRow, cx: &Cx<'_>) {
        self.0.retain(|s| row.unsealed.iter().any(|set| set.epoch == s.set.epoch));
        for set in &row.unsealed {
            if self.0.iter().any(|s| s.set.epoch == set.epoch) {
                continue;
            }
            self.0.push(SetSeal {
                set: set.clone(),
                answered: Vec::new(),
                expired: Vec::new(),
                started_at: cx.now,
                last_sent_at: None,
                sealed_at: None,
            });
        }
    }

    /// Sends a seal request to the older grantors that have not answered yet.
    pub(crate) fn send_requests(&mut self, row: &CellRow, cx: &mut Cx<'_>) {
        let pause = Millis(cx.timing().renew_interval.0 / SENDS_PER_INTERVAL);
        for seal in self.0.iter_mut().filter(|s| s.sealed_at.is_none()) {
            if !cx.is_due(seal.last_sent_at, pause) {
                continue;
            }
            seal.last_sent_at = Some(cx.now);
            for grantor in seal.unanswered() {
                let message = Message::Seal {
                    epoch: row.epoch,
                    sealed: seal.set.epoch,
                    grantors: row.grantors.clone(),
                    incarnation: grantor.incarnation,
                };
                cx.send(grantor.addr, message);
            }
        }
    }

    /// Notes the reply of an older grantor.
    pub(crate) fn on_sealed(
        &mut self,
        from: HostAddr,
        sealed: Epoch,
        incarnation: Incarnation,
        expired: &[Session],
    ) {
        let Some(seal) = self.0.iter_mut().find(|s| s.set.epoch == sealed) else {
            return;
        };
        let is_sender = |g: &Grantor| g.addr == from && g.incarnation == incarnation;
        if !seal.set.grantors.iter().any(is_sender) || seal.answered.contains(&incarnation) {
            return;
        }
        seal.answered.push(incarnation);
        seal.expired.extend_from_slice(expired);
    }

    /// Marks the grantor sets as sealed that can grant no lease any more, and returns the sessions
    /// that they had expired.
    pub(crate) fn finish(
        &mut self,
        dead: &[Incarnation],
        cx: &mut Cx<'_>,
    ) -> Vec<InheritedExpirations> {
        let mut inherited = Vec::new();
        for seal in self.0.iter_mut().filter(|s| s.sealed_at.is_none()) {
            let Some(sessions) = seal.outcome(dead, cx) else {
                continue;
            };
            seal.sealed_at = Some(cx.now);
            cx.record(
                None,
                "seal",
                format!("the grantors of epoch {} stopped granting leases", seal.set.epoch),
            );
            inherited.push(match sessions {
                ExpiredSessions::Known => InheritedExpirations::Known(seal.expired.clone()),
                ExpiredSessions::Unknown => InheritedExpirations::Any,
            });
        }
        inherited
    }
}

/// Queries.
impl Seals {
    /// Returns whether all older grantor sets have stopped granting leases.
    pub(crate) fn are_all_sealed(&self, cx: &Cx<'_>) -> bool {
        !cx.rules.seal.is_enforced() || self.0.iter().all(|s| s.sealed_at.is_some())
    }

    /// Returns whether the last grants of all older grantor sets have run out, too.
    pub(crate) fn are_all_grants_over(&self, cx: &Cx<'_>) -> bool {
        !cx.rules.seal.is_enforced() || self.0.iter().all(|s| s.are_grants_over(cx))
    }

    /// Returns whether the last grants of the grantor set of `epoch` have run out.
    pub(crate) fn are_grants_over(&self, epoch: Epoch, cx: &Cx<'_>) -> bool {
        let of_epoch = self.0.iter().find(|s| s.set.epoch == epoch);
        of_epoch.is_some_and(|s| s.are_grants_over(cx))
    }
}

impl SetSeal {
    fn unanswered(&self) -> Vec<&Grantor> {
        let has_not_answered = |g: &&Grantor| !self.answered.contains(&g.incarnation);
        self.set.grantors.iter().filter(has_not_answered).collect()
    }

    fn are_grants_over(&self, cx: &Cx<'_>) -> bool {
        let wait = cx.timing().term + cx.timing().drift_margin;
        self.sealed_at.is_some_and(|at| cx.now >= at + wait)
    }

    /// Returns whether the expired sessions are known, or `None` while the set is not sealed.
    ///
    /// Dead grantors count as sealed, but the sessions that they expired are unknown. Slow grantors
    /// get some time to answer, because otherwise every session has to be replaced.
    fn outcome(&self, dead: &[Incarnation], cx: &Cx<'_>) -> Option<ExpiredSessions> {
        let count = self.set.grantors.len();
        if self.answered.len() >= blocking_quorum(count) {
            return Some(ExpiredSessions::Known);
        }
        let dead_count = self.unanswered().iter().filter(|g| dead.contains(&g.incarnation)).count();
        if self.answered.len() + dead_count < blocking_quorum(count) {
            return None;
        }
        let enough_alive = count - dead_count >= blocking_quorum(count);
        let waited = cx.now >= self.started_at + cx.timing().silence_limit;
        (waited || !enough_alive).then_some(ExpiredSessions::Unknown)
    }
}
