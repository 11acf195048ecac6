//! The grantor: lease grants to members, and the sessions that get none because they expired.

use model::{HostAddr, Incarnation, Millis, Session, ZoneName};

use crate::cx::Cx;
use crate::{CellRow, Grantor, Renew, Report};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    session: Session,
    ends_at: Millis,
}

/// The last renewal that a grantor received from a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LastRenewal {
    pub(crate) session: Session,
    pub(crate) addr: HostAddr,
    pub(crate) at: Millis,
    pub(crate) report: Report,
    /// Since when the backend server has been reported with slots.
    pub(crate) up_since: Option<Millis>,
}

/// The state of a grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct GrantorRole {
    /// Sorted by session.
    grants: Vec<Grant>,
    /// Sessions that get no grant any more, sorted.
    expired: Vec<Session>,
    /// Sorted by session.
    renewals: Vec<LastRenewal>,
}

/// Commands.
impl GrantorRole {
    /// Drops the state that is not needed in the epoch of `row`.
    pub(crate) fn enter_epoch(&mut self, row: &CellRow) {
        self.grants.clear();
        self.expired.retain(|s| row.references(*s));
    }

    /// Drops grants that ran out, and renewals of sessions that have been silent for `limit` and
    /// that the row does not reference.
    pub(crate) fn prune(&mut self, row: &CellRow, limit: Millis, now: Millis) {
        self.renewals.retain(|r| now.since(r.at) < limit || row.references(r.session));
        self.grants.retain(|g| now < g.ends_at);
    }

    pub(crate) fn record_renewal(&mut self, from: HostAddr, renew: &Renew, now: Millis) {
        let is_up = renew.report.slots > 0;
        let report = renew.report.clone();
        let (session, addr) = (renew.session, from);
        match self.renewals.binary_search_by_key(&session, |r| r.session) {
            Ok(i) => {
                let renewal = &mut self.renewals[i];
                let up_since = renewal.up_since.or(Some(now)).filter(|_| is_up);
                *renewal = LastRenewal { session, addr, at: now, report, up_since };
            }
            Err(i) => {
                let up_since = is_up.then_some(now);
                self.renewals.insert(i, LastRenewal { session, addr, at: now, report, up_since });
            }
        }
    }

    pub(crate) fn grant(&mut self, session: Session, cx: &Cx<'_>) {
        let ends_at = cx.now + cx.timing().term;
        match self.grants.binary_search_by_key(&session, |g| g.session) {
            Ok(i) => self.grants[i].ends_at = ends_at,
            Err(i) => self.grants.insert(i, Grant { session, ends_at }),
        }
    }

    /// Marks a session as expired and returns how long its last grant is still valid.
    pub(crate) fn expire(&mut self, session: Session, cx: &Cx<'_>) -> Millis {
        if cx.rules.sticky_expiry.is_enforced() {
            self.mark_expired(session);
        }
        let grant = self.grants.iter().find(|g| g.session == session);
        grant.map_or(Millis::ZERO, |g| g.ends_at.since(cx.now))
    }

    pub(crate) fn mark_expired(&mut self, session: Session) {
        if let Err(i) = self.expired.binary_search(&session) {
            self.expired.insert(i, session);
        }
    }
}

/// Queries.
impl GrantorRole {
    pub(crate) fn is_expired(&self, session: Session) -> bool {
        self.expired.binary_search(&session).is_ok()
    }

    pub(crate) fn expired(&self) -> &[Session] {
        &self.expired
    }

    pub(crate) fn last_renewal(&self, session: Session) -> Option<&LastRenewal> {
        let index = self.renewals.binary_search_by_key(&session, |r| r.session).ok()?;
        self.renewals.get(index)
    }

    pub(crate) fn renewals(&self) -> &[LastRenewal] {
        &self.renewals
    }

    /// Returns when the last renewal of any session of a process was received.
    pub(crate) fn process_last_seen(&self, incarnation: Incarnation) -> Option<Millis> {
        let of_process = self.renewals.iter().filter(|r| r.session.incarnation == incarnation);
        of_process.map(|r| r.at).max()
    }

    /// Returns whether the same process started a later session, which means that it ended this
    /// one.
    pub(crate) fn is_superseded(&self, session: Session) -> bool {
        let later = |other: Session| {
            other.incarnation == session.incarnation && other.number > session.number
        };
        self.renewals.iter().any(|r| later(r.session))
    }

    /// Returns whether another process has renewed from the address since.
    pub(crate) fn is_replaced(&self, session: Session, addr: HostAddr) -> bool {
        let since = self.last_renewal(session).map(|r| r.at);
        let other =
            |r: &LastRenewal| r.session.incarnation != session.incarnation && r.addr == addr;
        self.renewals.iter().any(|r| other(r) && Some(r.at) > since)
    }
}

/// Returns the entry of a grantor for the row.
pub(crate) fn grantor_entry(session: Session, addr: HostAddr, zone: &ZoneName) -> Grantor {
    Grantor { addr, incarnation: session.incarnation, zone: zone.clone() }
}
