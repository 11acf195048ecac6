//! The grantor's role: grants to members, and marks on sessions that were ended.

use model::{HostAddr, Incarnation, Millis, Session, ZoneName};

use crate::cx::Cx;
use crate::{CellRow, Grantor, Renew, Report};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    session: Session,
    until: Millis,
}

/// What a grantor last heard from a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LastRenewal {
    pub(crate) session: Session,
    pub(crate) addr: HostAddr,
    pub(crate) at: Millis,
    pub(crate) report: Report,
    /// When the backend server was first seen with slots.
    pub(crate) up_since: Option<Millis>,
}

/// The memory of a grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct GrantorRole {
    /// Sorted by session.
    grants: Vec<Grant>,
    /// Sessions that get no promise any more, sorted.
    expired: Vec<Session>,
    /// Sorted by session.
    renewals: Vec<LastRenewal>,
}

/// Commands.
impl GrantorRole {
    /// Forgets what the row of a new epoch no longer needs.
    pub(crate) fn enter_epoch(&mut self, row: &CellRow) {
        self.grants.clear();
        self.expired.retain(|s| row.references(*s));
    }

    /// Forgets sessions that have been silent for `limit` and that the row does not name.
    pub(crate) fn prune(&mut self, row: &CellRow, limit: Millis, now: Millis) {
        self.renewals.retain(|h| now.since(h.at) < limit || row.references(h.session));
        self.grants.retain(|p| now < p.until);
    }

    pub(crate) fn record_renewal(&mut self, from: HostAddr, renew: &Renew, now: Millis) {
        let is_up = renew.report.slots > 0;
        let report = renew.report.clone();
        let (session, addr) = (renew.session, from);
        match self.renewals.binary_search_by_key(&session, |h| h.session) {
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
        let until = cx.now + cx.timing().term;
        match self.grants.binary_search_by_key(&session, |p| p.session) {
            Ok(i) => self.grants[i].until = until,
            Err(i) => self.grants.insert(i, Grant { session, until }),
        }
    }

    /// Marks a session as lapsed and returns how long its last promise still runs.
    pub(crate) fn expire(&mut self, session: Session, cx: &Cx<'_>) -> Millis {
        if cx.rules.sticky_expiry.is_enforced() {
            self.mark_expired(session);
        }
        let grant = self.grants.iter().find(|p| p.session == session);
        grant.map_or(Millis::ZERO, |p| p.until.since(cx.now))
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
        let index = self.renewals.binary_search_by_key(&session, |h| h.session).ok()?;
        self.renewals.get(index)
    }

    pub(crate) fn renewals(&self) -> &[LastRenewal] {
        &self.renewals
    }

    /// Returns when any session of a process was last heard.
    pub(crate) fn process_last_seen(&self, incarnation: Incarnation) -> Option<Millis> {
        let of_process = self.renewals.iter().filter(|h| h.session.incarnation == incarnation);
        of_process.map(|h| h.at).max()
    }

    /// Returns whether the same process took a later session, and so ended this one itself.
    pub(crate) fn is_superseded(&self, session: Session) -> bool {
        let later = |other: Session| {
            other.incarnation == session.incarnation && other.number > session.number
        };
        self.renewals.iter().any(|h| later(h.session))
    }

    /// Returns whether another process was heard at the address since.
    pub(crate) fn is_replaced(&self, session: Session, addr: HostAddr) -> bool {
        let since = self.last_renewal(session).map(|h| h.at);
        let other =
            |h: &LastRenewal| h.session.incarnation != session.incarnation && h.addr == addr;
        self.renewals.iter().any(|h| other(h) && Some(h.at) > since)
    }
}

/// Makes the entry of a grantor for the row.
pub(crate) fn grantor_entry(session: Session, addr: HostAddr, zone: &ZoneName) -> Grantor {
    Grantor { addr, incarnation: session.incarnation, zone: zone.clone() }
}
