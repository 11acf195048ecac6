//! Recovery of a cell in which so many grantors are dead that no lease can be granted.
//!
//! If a process answers at a grantor's address as another incarnation, the grantor is dead. Which
//! sessions the dead grantor expired is then unknown, so after a recovery every session that holds
//! a claim is expired and replaced.

use model::{Epoch, HostAddr, Incarnation, Millis, Session};

use crate::cx::Cx;
use crate::grantor::grantor_entry;
use crate::lease::blocking_quorum;
use crate::{CellRow, Grantor, MemberEntry, Message, grantor_set};

/// The processes that are known to be dead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct QuorumRecovery {
    /// Sorted.
    dead: Vec<Incarnation>,
    last_sent_at: Option<Millis>,
}

/// Commands.
impl QuorumRecovery {
    pub(crate) fn mark_dead(&mut self, incarnation: Incarnation) {
        if let Err(i) = self.dead.binary_search(&incarnation) {
            self.dead.insert(i, incarnation);
        }
    }

    /// Marks earlier incarnations of this process as dead, and drops dead processes that left the
    /// row.
    pub(crate) fn sync_with_row(&mut self, row: &CellRow, cx: &Cx<'_>) {
        for grantor in grantors(row) {
            self.on_answer(&grantor, cx.own_addr(), cx.settings.incarnation);
        }
        let is_in_row = |i: Incarnation| {
            let is_member = row.members.iter().any(|m| m.session.incarnation == i);
            is_member || grantors(row).iter().any(|g| g.incarnation == i)
        };
        self.dead.retain(|i| is_in_row(*i));
    }

    /// Handles a reply to a seal request, which shows the incarnation of the process at an address.
    ///
    /// The reply proves something only about grantors of the epoch that the request named, because
    /// they started before the request was sent. A late reply to an earlier request may come from
    /// an incarnation that preceded the grantor's.
    pub(crate) fn on_sealed(
        &mut self,
        row: &CellRow,
        from: HostAddr,
        sealed: Epoch,
        answered: Incarnation,
        cx: &Cx<'_>,
    ) {
        let older = row.unsealed.iter().filter(|s| s.epoch == sealed).flat_map(|s| &s.grantors);
        let current = row.grantors.iter().filter(|_| row.epoch == sealed);
        for grantor in older.chain(current) {
            if grantor.incarnation != cx.settings.incarnation {
                self.on_answer(grantor, from, answered);
            }
        }
    }

    /// Asks the processes at the grantors' addresses for their incarnations. This uses a seal
    /// request of the current epoch for itself, which seals nothing.
    pub(crate) fn probe(&mut self, row: &CellRow, cx: &mut Cx<'_>) {
        if !cx.is_due(self.last_sent_at, cx.timing().renew_interval) {
            return;
        }
        self.last_sent_at = Some(cx.now);
        for grantor in &row.grantors {
            if grantor.addr == cx.own_addr() || self.dead.contains(&grantor.incarnation) {
                continue;
            }
            let message = Message::Seal {
                epoch: row.epoch,
                sealed: row.epoch,
                grantors: Vec::new(),
                incarnation: grantor.incarnation,
            };
            cx.send(grantor.addr, message);
        }
    }

    fn on_answer(&mut self, grantor: &Grantor, from: HostAddr, answered: Incarnation) {
        if grantor.addr == from && grantor.incarnation != answered {
            self.mark_dead(grantor.incarnation);
        }
    }
}

/// Queries.
impl QuorumRecovery {
    pub(crate) fn dead(&self) -> &[Incarnation] {
        &self.dead
    }

    /// Returns whether so many grantors are dead that no lease can be granted.
    pub(crate) fn is_needed(&self, row: &CellRow) -> bool {
        self.has_lost_quorum(&row.grantors)
    }

    /// Returns the row with this process as the only grantor.
    ///
    /// Older grantor sets that have lost their quorum, too, are dropped from the row, so that a
    /// process which restarts repeatedly does not make it grow. Sealing the current set covers
    /// them: its expired sessions are unknown, so every claim is ended, and the same time is waited
    /// out.
    pub(crate) fn next_row(&self, row: &CellRow, session: Session, cx: &Cx<'_>) -> CellRow {
        let mut kept = row.clone();
        kept.unsealed.retain(|s| !self.has_lost_quorum(&s.grantors));
        with_single_grantor(&kept, session, cx)
    }

    fn has_lost_quorum(&self, grantors: &[Grantor]) -> bool {
        let dead = grantors.iter().filter(|g| self.dead.contains(&g.incarnation)).count();
        dead >= blocking_quorum(grantors.len())
    }
}

fn with_single_grantor(row: &CellRow, session: Session, cx: &Cx<'_>) -> CellRow {
    let (addr, zone) = (cx.own_addr(), &cx.settings.zone);
    let mut next = grantor_set::replace_grantors(row, vec![grantor_entry(session, addr, zone)]);
    if let Err(i) = next.members.binary_search_by_key(&session, |m| m.session) {
        next.members.insert(i, MemberEntry { session, addr, zone: zone.clone() });
    }
    next
}

fn grantors(row: &CellRow) -> Vec<Grantor> {
    let older = row.unsealed.iter().flat_map(|s| s.grantors.iter());
    row.grantors.iter().chain(older).cloned().collect()
}
