//! Expires sessions that stopped renewing, and determines when their leases are certainly over.

use model::{Epoch, HostAddr, Millis, Session};

use crate::cx::Cx;
use crate::lease::blocking_quorum;
use crate::{Grantor, Message};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ExpiryAck {
    grantor: HostAddr,
    /// When the grantor's last grant to the session runs out, on this host's clock.
    grant_ends_at: Millis,
}

/// One session that is being expired in the current epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Expiration {
    session: Session,
    acks: Vec<ExpiryAck>,
    /// How long the session's partitions wait once its lease has run out.
    unfenced_grace: Millis,
    started_at: Millis,
    last_sent_at: Option<Millis>,
}

/// The sessions that are being expired in the current epoch, sorted by session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SessionExpirations(Vec<Expiration>);

/// Commands.
impl SessionExpirations {
    /// Starts to expire a session, unless that is in progress already.
    pub(crate) fn start(
        &mut self,
        session: Session,
        unfenced_grace: Millis,
        reason: &str,
        cx: &mut Cx<'_>,
    ) {
        let Err(index) = self.0.binary_search_by_key(&session, |e| e.session) else {
            return;
        };
        cx.record(None, "lapse", format!("session {session} is expired: {reason}"));
        let started_at = cx.now;
        let expiration = Expiration {
            session,
            acks: Vec::new(),
            unfenced_grace,
            started_at,
            last_sent_at: None,
        };
        self.0.insert(index, expiration);
    }

    /// Asks the grantors that have not confirmed yet to expire the sessions.
    pub(crate) fn send_requests(&mut self, epoch: Epoch, grantors: &[Grantor], cx: &mut Cx<'_>) {
        let pause = cx.timing().renew_interval;
        for expiration in &mut self.0 {
            if !cx.is_due(expiration.last_sent_at, pause) {
                continue;
            }
            expiration.last_sent_at = Some(cx.now);
            for grantor in grantors {
                if expiration.acks.iter().all(|a| a.grantor != grantor.addr) {
                    cx.send(
                        grantor.addr,
                        Message::ExpireSession { epoch, session: expiration.session },
                    );
                }
            }
        }
    }

    /// Notes that a grantor expired a session, and how long its last grant is still valid.
    pub(crate) fn on_session_expired(
        &mut self,
        grantor: HostAddr,
        session: Session,
        remaining: Millis,
        now: Millis,
    ) {
        let Ok(index) = self.0.binary_search_by_key(&session, |e| e.session) else {
            return;
        };
        let acks = &mut self.0[index].acks;
        if acks.iter().all(|a| a.grantor != grantor) {
            acks.push(ExpiryAck { grantor, grant_ends_at: now + remaining });
        }
    }

    /// Drops sessions that the row no longer references, as `keep` tells.
    pub(crate) fn retain(&mut self, keep: impl Fn(Session) -> bool) {
        self.0.retain(|e| keep(e.session));
    }
}

/// Queries.
impl SessionExpirations {
    /// Returns whether a session is being expired or has been.
    pub(crate) fn contains(&self, session: Session) -> bool {
        self.0.binary_search_by_key(&session, |e| e.session).is_ok()
    }

    /// Returns whether the lease of the session is certainly over, and the grace period with it.
    ///
    /// A lease needs a majority of the grantors. Once so many of them have expired the session that
    /// the others are no majority, the lease cannot be renewed, and it ends no later than the last
    /// of the grants that they reported.
    pub(crate) fn is_lease_over(
        &self,
        session: Session,
        grantors: &[Grantor],
        cx: &Cx<'_>,
    ) -> bool {
        let Ok(index) = self.0.binary_search_by_key(&session, |e| e.session) else {
            return false;
        };
        let Expiration { acks, unfenced_grace, .. } = &self.0[index];
        if acks.len() < blocking_quorum(grantors.len()) {
            return false;
        }
        let lease_end = acks.iter().map(|a| a.grant_ends_at).max().unwrap_or(cx.now);
        let wait = cx.timing().drift_margin + *unfenced_grace;
        !cx.rules.expiry_wait.is_enforced() || cx.now >= lease_end + wait
    }

    /// Returns whether the grace period is over for a session that its own process ended.
    ///
    /// An expired session leaves two drift margins between the end of its lease and the next owner,
    /// in which running requests are cancelled. A session that its process ended gets the same
    /// time, counted from when this became known.
    pub(crate) fn is_grace_over(&self, session: Session, cx: &Cx<'_>) -> bool {
        let Ok(index) = self.0.binary_search_by_key(&session, |e| e.session) else {
            return false;
        };
        let margin = cx.timing().drift_margin;
        let Expiration { started_at, unfenced_grace, .. } = self.0[index];
        cx.now >= started_at + margin + margin + unfenced_grace
    }
}
