//! Ending a session without its consent, and knowing for certain when its lease is over.

use model::{Epoch, HostAddr, Millis, Session};

use crate::cx::Cx;
use crate::lease::blocking;
use crate::{Grantor, Message};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Answer {
    grantor: HostAddr,
    /// When the last promise of this grantor is over, on our clock.
    over_at: Millis,
}

/// One session that is being ended in the current epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Loss {
    session: Session,
    answers: Vec<Answer>,
    /// How long the partitions wait once the lease is over.
    unfenced_grace: Millis,
    begun: Millis,
    asked_at: Option<Millis>,
}

/// The sessions that are being ended in the current epoch, sorted by session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Losses(Vec<Loss>);

/// Commands.
impl Losses {
    /// Begins to end a session, unless that was begun already.
    pub(crate) fn begin(
        &mut self,
        session: Session,
        unfenced_grace: Millis,
        reason: &str,
        cx: &mut Cx<'_>,
    ) {
        let Err(index) = self.0.binary_search_by_key(&session, |l| l.session) else {
            return;
        };
        cx.record(None, "lapse", format!("session {session} is ended: {reason}"));
        let begun = cx.now;
        let loss = Loss { session, answers: Vec::new(), unfenced_grace, begun, asked_at: None };
        self.0.insert(index, loss);
    }

    /// Asks the grantors that have not answered yet.
    pub(crate) fn ask(&mut self, epoch: Epoch, grantors: &[Grantor], cx: &mut Cx<'_>) {
        let pause = cx.timing().renew_interval;
        for loss in &mut self.0 {
            if !cx.is_due(loss.asked_at, pause) {
                continue;
            }
            loss.asked_at = Some(cx.now);
            for grantor in grantors {
                if loss.answers.iter().all(|a| a.grantor != grantor.addr) {
                    cx.send(grantor.addr, Message::ExpireSession { epoch, session: loss.session });
                }
            }
        }
    }

    /// Notes that a grantor marked a session, and how long its last promise runs.
    pub(crate) fn on_session_expired(
        &mut self,
        grantor: HostAddr,
        session: Session,
        remaining: Millis,
        now: Millis,
    ) {
        let Ok(index) = self.0.binary_search_by_key(&session, |l| l.session) else {
            return;
        };
        let answers = &mut self.0[index].answers;
        if answers.iter().all(|a| a.grantor != grantor) {
            answers.push(Answer { grantor, over_at: now + remaining });
        }
    }

    /// Forgets sessions that the row does not name any more.
    pub(crate) fn retain(&mut self, keep: impl Fn(Session) -> bool) {
        self.0.retain(|l| keep(l.session));
    }
}

/// Queries.
impl Losses {
    /// Returns whether a session is being ended, or has ended.
    pub(crate) fn contains(&self, session: Session) -> bool {
        self.0.binary_search_by_key(&session, |l| l.session).is_ok()
    }

    /// Returns whether every promise to the session is certainly over.
    ///
    /// A lease needs a majority of the grantors. Once as many are marked as can block one, the
    /// lease cannot be renewed, and it ends no later than the longest of their promises.
    pub(crate) fn is_over(&self, session: Session, grantors: &[Grantor], cx: &Cx<'_>) -> bool {
        let Ok(index) = self.0.binary_search_by_key(&session, |l| l.session) else {
            return false;
        };
        let Loss { answers, unfenced_grace, .. } = &self.0[index];
        if answers.len() < blocking(grantors.len()) {
            return false;
        }
        let last = answers.iter().map(|a| a.over_at).max().unwrap_or(cx.now);
        let wait = cx.timing().drift_margin + *unfenced_grace;
        !cx.rules.expiry_wait.is_enforced() || cx.now >= last + wait
    }

    /// Returns whether enough time has passed since it was learned that the session is over.
    ///
    /// A lapse leaves two margins between the end of the lease and the next owner, in which what
    /// runs is cancelled. A session that its own process ended gets the same.
    pub(crate) fn is_grace_over(&self, session: Session, cx: &Cx<'_>) -> bool {
        let Ok(index) = self.0.binary_search_by_key(&session, |l| l.session) else {
            return false;
        };
        let margin = cx.timing().drift_margin;
        let Loss { begun, unfenced_grace, .. } = self.0[index];
        cx.now >= begun + margin + margin + unfenced_grace
    }
}
