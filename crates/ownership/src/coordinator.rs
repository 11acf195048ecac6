//! The coordinator's role: the first live grantor, which changes the row and sends orders.
//!
//! Two processes may believe to be the coordinator at once. The row has one winner of each
//! version, and every order rests on claims that have ended, so that is slow but safe.

use model::{Epoch, Fence, HostAddr, Incarnation, Millis, Partition, Session};

use crate::agenda::{Agenda, Balance};
use crate::cx::Cx;
use crate::grantor::GrantorRole;
use crate::loss::Losses;
use crate::moves::{Moves, addr_of};
use crate::seal::Seals;
use crate::store::Store;
use crate::view::View;
use crate::{
    Assignment, CellRow, ClaimRef, Join, Message, Report, RouteTable, VersionedRow, agenda,
    grantor_set, succession,
};

/// Plans are made this many times per renew interval.
const PLANS_PER_INTERVAL: u64 = 3;

/// How many hosts may wait to be admitted; more ask again later.
const MAX_JOINS: usize = 64;

/// How an assignment came about, as far as the coordinator that wrote it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Provenance {
    partition: Partition,
    fence: Fence,
    handed_over_from: Option<Fence>,
    first: bool,
}

/// An order that was sent, until the row moves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Sent {
    partition: Partition,
    fence: Fence,
    at: Millis,
    acked: bool,
}

/// The knowledge of the node that the coordinator uses.
#[derive(Clone, Copy)]
pub(crate) struct Known<'a> {
    pub(crate) row: &'a VersionedRow,
    pub(crate) grantor: &'a GrantorRole,
    pub(crate) seals: &'a Seals,
    pub(crate) dead: &'a [Incarnation],
}

/// The memory of a coordinator, which starts empty in each epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    epoch: Epoch,
    since: Millis,
    /// Sorted by session.
    joins: Vec<Join>,
    losses: Losses,
    moves: Moves,
    provenance: Vec<Provenance>,
    sent: Vec<Sent>,
    /// Since when a change of the row has been waiting to be written.
    waiting_since: Option<Millis>,
    planned_at: Option<Millis>,
    /// When the last moves began.
    moved_at: Millis,
    /// The routing table as this coordinator last worked it out.
    table: RouteTable,
}

/// Commands.
impl Coordinator {
    pub(crate) fn new(epoch: Epoch, now: Millis) -> Self {
        Self {
            epoch,
            since: now,
            joins: Vec::new(),
            losses: Losses::default(),
            moves: Moves::default(),
            provenance: Vec::new(),
            sent: Vec::new(),
            waiting_since: None,
            planned_at: None,
            moved_at: now,
            table: RouteTable::default(),
        }
    }

    /// Notes the routing table that follows from the present knowledge. Returns whether it
    /// differs from the one before. Comparing with what other coordinators sent instead would
    /// make two of them answer each other without end.
    pub(crate) fn note_table(&mut self, table: &RouteTable) -> bool {
        let is_news = self.table != *table;
        self.table.clone_from(table);
        is_news
    }

    pub(crate) fn on_join(&mut self, join: &Join) {
        if self.joins.len() >= MAX_JOINS {
            return;
        }
        if let Err(i) = self.joins.binary_search_by_key(&join.session, |j| j.session) {
            self.joins.insert(i, join.clone());
        }
    }

    pub(crate) fn on_session_expired(
        &mut self,
        from: HostAddr,
        epoch: Epoch,
        session: Session,
        remaining: Millis,
        now: Millis,
    ) {
        if epoch == self.epoch {
            self.losses.on_session_expired(from, session, remaining, now);
        }
    }

    pub(crate) fn on_released(&mut self, claim: &ClaimRef, handed_over: bool) {
        if claim.epoch == self.epoch {
            self.moves.on_released(claim, handed_over);
        }
    }

    pub(crate) fn on_serving(&mut self, claim: &ClaimRef) {
        let same = |s: &&mut Sent| (s.partition, s.fence) == (claim.partition, claim.fence);
        if let Some(sent) = self.sent.iter_mut().find(same) {
            sent.acked = true;
        }
    }

    /// Does whatever is due: ends silent sessions, changes the row, sends orders.
    pub(crate) fn drive(&mut self, known: Known<'_>, store: &mut Store, cx: &mut Cx<'_>) {
        self.forget_past(known);
        self.find_losses(known, cx);
        self.losses.ask(self.epoch, &known.row.row.grantors, cx);
        self.follow_moves(known, cx);
        self.change_row(known, store, cx);
        self.assign(known, cx);
        let sent = &self.sent;
        let is_acked = |a: &Assignment| {
            sent.iter().any(|s| s.acked && (s.partition, s.fence) == (a.partition, a.fence))
        };
        self.moves.ask(&known.row.row, is_acked, cx);
        self.take_over(known, store, cx);
    }

    fn forget_past(&mut self, known: Known<'_>) {
        let row = &known.row.row;
        let is_current = |partition, fence| {
            row.assignment(partition).is_none_or(|a: &Assignment| a.fence <= fence)
        };
        self.sent.retain(|s| is_current(s.partition, s.fence));
        self.provenance.retain(|p| is_current(p.partition, p.fence));
        let grantor = known.grantor;
        self.joins.retain(|j| row.member(j.session).is_none() && !grantor.is_superseded(j.session));
        self.losses.retain(|s| row.references(s));
    }

    fn find_losses(&mut self, known: Known<'_>, cx: &mut Cx<'_>) {
        let row = &known.row.row;
        let claimants = row.assignments.iter().flat_map(|a| [Some(a.owner), a.standby]).flatten();
        let mut sessions: Vec<Session> = row.members.iter().map(|m| m.session).collect();
        sessions.extend(claimants);
        sessions.sort_unstable();
        sessions.dedup();
        for session in sessions {
            let view = view(&self.losses, &self.moves, self.since, known);
            if let Some(reason) = view.loss_reason(session, cx) {
                let heard = known.grantor.heard(session).map(|h| h.report.unfenced_grace);
                let unfenced_grace = heard.unwrap_or(cx.timing().unfenced_grace);
                self.losses.begin(session, unfenced_grace, reason, cx);
            }
        }
    }

    fn follow_moves(&mut self, known: Known<'_>, cx: &mut Cx<'_>) {
        let mut moves = std::mem::take(&mut self.moves);
        let is_lost = |s| view(&self.losses, &self.moves, self.since, known).is_lost(s);
        let over = moves.follow(&known.row.row, is_lost, cx);
        self.moves = moves;
        self.sent.retain(|s| !over.contains(&s.partition));
    }

    fn change_row(&mut self, known: Known<'_>, store: &mut Store, cx: &mut Cx<'_>) {
        let stored = &known.row.row;
        let view = view(&self.losses, &self.moves, self.since, known);
        let next = succession::next_row(&view, &self.joins, cx);
        let waits = next != *stored;
        self.waiting_since = self.waiting_since.filter(|_| waits).or(waits.then_some(cx.now));
        if !store.can_write(cx) {
            return;
        }
        let agenda = self.plan(known, next, cx);
        let provenance = provenance(stored, &agenda.row, &self.moves);
        // While the store is down, nobody is asked to let go of what could not be given away.
        for (new, reason) in agenda.moves.into_iter().filter(|_| !store.is_failing()) {
            self.moves.begin(new, reason, cx);
            self.moved_at = cx.now;
        }
        if agenda.row != *stored {
            self.provenance.extend(provenance);
            store.write(Some(known.row.version), agenda.row, cx);
        }
    }

    /// Adds to `next` what can wait until nothing is lost: other grantors, and placement.
    fn plan(&mut self, known: Known<'_>, next: CellRow, cx: &Cx<'_>) -> Agenda {
        let view = view(&self.losses, &self.moves, self.since, known);
        let is_quiet = next == known.row.row;
        let pause = Millis(cx.timing().renew_interval.0 / PLANS_PER_INTERVAL);
        let is_due = !is_quiet || cx.is_due(self.planned_at, pause);
        // A new coordinator hears from all members before it plans with them.
        let settled = cx.now >= self.since + cx.timing().silence_limit;
        if !settled || !is_due {
            return Agenda { row: next, moves: Vec::new() };
        }
        self.planned_at = Some(cx.now);
        let better = grantor_set::next_row(&view, cx).filter(|_| is_quiet);
        let is_urgent = better.as_ref().is_some_and(|b| grantor_set::is_urgent(&view, b, cx));
        // Balancing would put off an urgent change of grantors.
        let balance = if is_urgent { Balance::Early } else { self.balance(cx) };
        let mut agenda = agenda::next(&view, next, balance, cx);
        if is_urgent {
            agenda.moves.clear();
        }
        let is_idle = agenda.row == known.row.row && agenda.moves.is_empty();
        match better {
            Some(row) if is_idle && self.moves.len() == 0 => Agenda { row, ..agenda },
            _ => agenda,
        }
    }

    fn balance(&self, cx: &Cx<'_>) -> Balance {
        let settled = cx.now.since(self.moved_at) >= cx.timing().balance_interval;
        if settled { Balance::Due } else { Balance::Early }
    }

    /// Tells owners to serve, until they say that they do.
    fn assign(&mut self, known: Known<'_>, cx: &mut Cx<'_>) {
        if !may_order(known, cx) {
            return;
        }
        let row = &known.row.row;
        for a in &row.assignments {
            let view = view(&self.losses, &self.moves, self.since, known);
            let has_left = view.moves.given_up(a.owner, a).is_some();
            if view.moves.is_leaving(a) || has_left || view.is_lost(a.owner) {
                continue;
            }
            let Some(to) = addr_of(row, a.owner) else {
                continue;
            };
            if !self.note_sent(a.partition, a.fence, cx) {
                continue;
            }
            let known =
                self.provenance.iter().find(|p| p.fence == a.fence && p.partition == a.partition);
            let message = Message::Assign {
                claim: claim_ref(row, a.owner, a.partition, a.fence),
                handed_over_from: known.and_then(|p| p.handed_over_from),
                first: known.is_some_and(|p| p.first),
            };
            cx.send(to, message);
        }
    }

    /// Tells standbys to serve while the row cannot be written. The row names them already, so
    /// nothing new has to be agreed.
    fn take_over(&mut self, known: Known<'_>, store: &Store, cx: &mut Cx<'_>) {
        let patience = cx.timing().store_patience;
        let waited = self.waiting_since.is_some_and(|since| cx.now >= since + patience);
        if !may_order(known, cx) || !(waited || store.is_failing()) {
            return;
        }
        let row = &known.row.row;
        for a in &row.assignments {
            let Some((standby, to)) = self.free_standby(known, a, cx) else {
                continue;
            };
            let fence = a.fence.takeover();
            let is_first = self.sent.iter().all(|s| (s.partition, s.fence) != (a.partition, fence));
            if !self.note_sent(a.partition, fence, cx) {
                continue;
            }
            if is_first {
                let text = format!("standby {standby} follows {} at fence {fence}", a.owner);
                cx.record(Some(a.partition), "takeover", text);
            }
            cx.send(to, Message::TakeOver(claim_ref(row, standby, a.partition, fence)));
        }
    }

    /// Returns the standby of an assignment if it may serve now without a write.
    fn free_standby(
        &self,
        known: Known<'_>,
        a: &Assignment,
        cx: &Cx<'_>,
    ) -> Option<(Session, HostAddr)> {
        let view = view(&self.losses, &self.moves, self.since, known);
        let standby = a.standby.filter(|s| !view.is_lost(*s))?;
        let has_left = view.moves.given_up(standby, a).is_some();
        let is_free = !has_left && view.is_claim_ended(a.owner, a, cx);
        let to = addr_of(view.row, standby).filter(|_| is_free)?;
        Some((standby, to))
    }

    /// Notes that an order is sent now. Returns whether it is due.
    fn note_sent(&mut self, partition: Partition, fence: Fence, cx: &Cx<'_>) -> bool {
        let same = |s: &&mut Sent| (s.partition, s.fence) == (partition, fence);
        let Some(sent) = self.sent.iter_mut().find(same) else {
            self.sent.push(Sent { partition, fence, at: cx.now, acked: false });
            return true;
        };
        let is_due = !sent.acked && cx.is_due(Some(sent.at), cx.timing().renew_interval);
        if is_due {
            sent.at = cx.now;
        }
        is_due
    }
}

/// Queries.
impl Coordinator {
    /// Returns whether requests may be sent to a member.
    pub(crate) fn takes_work(&self, known: Known<'_>, session: Session) -> bool {
        view(&self.losses, &self.moves, self.since, known).is_usable(session)
    }
}

fn view<'a>(losses: &'a Losses, moves: &'a Moves, since: Millis, known: Known<'a>) -> View<'a> {
    let Known { row, grantor, seals, dead } = known;
    View { row: &row.row, grantor, seals, dead, losses, moves, since }
}

/// Before the older sets are sealed, the sessions that they ended are not all known.
fn may_order(known: Known<'_>, cx: &Cx<'_>) -> bool {
    !cx.rules.inherited_expirations.is_enforced() || known.seals.are_closed(cx)
}

fn claim_ref(row: &CellRow, session: Session, partition: Partition, fence: Fence) -> ClaimRef {
    ClaimRef { epoch: row.epoch, session, partition, fence }
}

/// Returns how the changed assignments of `next` come about.
fn provenance(stored: &CellRow, next: &CellRow, moves: &Moves) -> Vec<Provenance> {
    let changed = next.assignments.iter().filter(|a| stored.assignment(a.partition) != Some(a));
    changed
        .map(|a| {
            let former = stored.assignment(a.partition);
            let given_up = former.and_then(|f| moves.given_up(f.owner, f));
            let handed_over_from = given_up.filter(|g| g.handed_over).map(|g| g.fence);
            let first = former.is_none();
            Provenance { partition: a.partition, fence: a.fence, handed_over_from, first }
        })
        .collect()
}

/// The report of a host process whose backend server has not been seen yet.
pub(crate) fn empty_report() -> Report {
    let unfenced_grace = Millis::ZERO;
    Report { slots: 0, slots_in_use: 0, draining: false, unfenced_grace, partitions: Vec::new() }
}
