//! The coordinator: the first live grantor, which writes the row and sends orders to members.
//!
//! Two processes may believe that they are the coordinator at the same time. That is slow but
//! safe: only one of them can write each version of the row, and both send an order only once the
//! claims in its way have ended.

use model::{Epoch, Fence, HostAddr, Incarnation, Millis, Partition, Session};

use crate::cell_view::CellView;
use crate::cx::Cx;
use crate::expiration::SessionExpirations;
use crate::grantor::GrantorRole;
use crate::moves::{Moves, addr_of};
use crate::planning::{Plan, Rebalance};
use crate::row_store::RowStore;
use crate::seal::Seals;
use crate::{
    Assignment, CellRow, ClaimRef, Join, Message, Report, RouteTable, VersionedRow, grantor_set,
    planning, reconcile,
};

/// How many times per renew interval placement is planned.
const PLANS_PER_INTERVAL: u64 = 3;

/// The most join requests that wait for a write of the row; other hosts ask again later.
const MAX_JOINS: usize = 64;

/// How an assignment came about, as far as the coordinator that wrote it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Provenance {
    partition: Partition,
    fence: Fence,
    handed_over_from: Option<Fence>,
    first: bool,
}

/// An order that was sent; kept until the row has a later assignment of the partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentOrder {
    partition: Partition,
    fence: Fence,
    at: Millis,
    acked: bool,
}

/// The state of the node that the coordinator reads.
#[derive(Clone, Copy)]
pub(crate) struct NodeState<'a> {
    pub(crate) row: &'a VersionedRow,
    pub(crate) grantor: &'a GrantorRole,
    pub(crate) seals: &'a Seals,
    pub(crate) dead: &'a [Incarnation],
}

/// The state of a coordinator, which starts empty in each epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    epoch: Epoch,
    /// When this process became the coordinator.
    since: Millis,
    /// Sorted by session.
    pending_joins: Vec<Join>,
    expirations: SessionExpirations,
    moves: Moves,
    provenance: Vec<Provenance>,
    sent: Vec<SentOrder>,
    /// Since when a change of the row has been waiting to be written, if one is.
    write_pending_since: Option<Millis>,
    last_plan_at: Option<Millis>,
    /// When the last moves were started.
    last_move_at: Millis,
    /// The latest routing table that this coordinator built.
    last_table: RouteTable,
}

/// Commands.
impl Coordinator {
    pub(crate) fn new(epoch: Epoch, now: Millis) -> Self {
        Self {
            epoch,
            since: now,
            pending_joins: Vec::new(),
            expirations: SessionExpirations::default(),
            moves: Moves::default(),
            provenance: Vec::new(),
            sent: Vec::new(),
            write_pending_since: None,
            last_plan_at: None,
            last_move_at: now,
            last_table: RouteTable::default(),
        }
    }

    /// Stores the latest routing table and returns whether it differs from the one before.
    ///
    /// It is not compared with tables that other coordinators sent, because two coordinators
    /// would then keep publishing tables in answer to each other forever.
    pub(crate) fn update_table(&mut self, table: &RouteTable) -> bool {
        let is_changed = self.last_table != *table;
        self.last_table.clone_from(table);
        is_changed
    }

    pub(crate) fn on_join(&mut self, join: &Join) {
        if self.pending_joins.len() >= MAX_JOINS {
            return;
        }
        if let Err(i) = self.pending_joins.binary_search_by_key(&join.session, |j| j.session) {
            self.pending_joins.insert(i, join.clone());
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
            self.expirations.on_session_expired(from, session, remaining, now);
        }
    }

    pub(crate) fn on_released(&mut self, claim: &ClaimRef, handed_over: bool) {
        if claim.epoch == self.epoch {
            self.moves.on_released(claim, handed_over);
        }
    }

    pub(crate) fn on_serving(&mut self, claim: &ClaimRef) {
        let same = |s: &&mut SentOrder| (s.partition, s.fence) == (claim.partition, claim.fence);
        if let Some(sent) = self.sent.iter_mut().find(same) {
            sent.acked = true;
        }
    }

    /// Performs whatever is due: expires silent sessions, changes the row, sends orders.
    pub(crate) fn drive(&mut self, state: NodeState<'_>, store: &mut RowStore, cx: &mut Cx<'_>) {
        self.prune(state);
        self.expire_lost_sessions(state, cx);
        self.expirations.send_requests(self.epoch, &state.row.row.grantors, cx);
        self.update_moves(state, cx);
        self.update_row(state, store, cx);
        self.send_assignments(state, cx);
        let sent = &self.sent;
        let is_acked = |a: &Assignment| {
            sent.iter().any(|s| s.acked && (s.partition, s.fence) == (a.partition, a.fence))
        };
        self.moves.send_releases(&state.row.row, is_acked, cx);
        self.send_takeovers(state, store, cx);
    }

    fn prune(&mut self, state: NodeState<'_>) {
        let row = &state.row.row;
        let is_current = |partition, fence| {
            row.assignment(partition).is_none_or(|a: &Assignment| a.fence <= fence)
        };
        self.sent.retain(|s| is_current(s.partition, s.fence));
        self.provenance.retain(|p| is_current(p.partition, p.fence));
        let grantor = state.grantor;
        self.pending_joins
            .retain(|j| row.member(j.session).is_none() && !grantor.is_superseded(j.session));
        self.expirations.retain(|s| row.references(s));
    }

    fn expire_lost_sessions(&mut self, state: NodeState<'_>, cx: &mut Cx<'_>) {
        let row = &state.row.row;
        let claimants = row.assignments.iter().flat_map(|a| [Some(a.owner), a.standby]).flatten();
        let mut sessions: Vec<Session> = row.members.iter().map(|m| m.session).collect();
        sessions.extend(claimants);
        sessions.sort_unstable();
        sessions.dedup();
        for session in sessions {
            let view = cell_view(&self.expirations, &self.moves, self.since, state);
            if let Some(reason) = view.expiry_reason(session, cx) {
                let reported = state.grantor.last_renewal(session).map(|r| r.report.unfenced_grace);
                let unfenced_grace = reported.unwrap_or(cx.timing().unfenced_grace);
                self.expirations.start(session, unfenced_grace, reason, cx);
            }
        }
    }

    fn update_moves(&mut self, state: NodeState<'_>, cx: &mut Cx<'_>) {
        let mut moves = std::mem::take(&mut self.moves);
        let is_lost = |s| cell_view(&self.expirations, &self.moves, self.since, state).is_lost(s);
        let finished = moves.sync_with_row(&state.row.row, is_lost, cx);
        self.moves = moves;
        self.sent.retain(|s| !finished.contains(&s.partition));
    }

    fn update_row(&mut self, state: NodeState<'_>, store: &mut RowStore, cx: &mut Cx<'_>) {
        let stored = &state.row.row;
        let view = cell_view(&self.expirations, &self.moves, self.since, state);
        let next = reconcile::next_row(&view, &self.pending_joins, cx);
        let is_pending = next != *stored;
        self.write_pending_since =
            self.write_pending_since.filter(|_| is_pending).or(is_pending.then_some(cx.now));
        if !store.can_write(cx) {
            return;
        }
        let plan = self.plan(state, next, cx);
        let provenance = provenance(stored, &plan.row, &self.moves);
        // While the store is down, no move is started: an owner would release its partition, and
        // the next owner could not be written.
        for (new, reason) in plan.moves.into_iter().filter(|_| !store.is_failing()) {
            self.moves.start(new, reason, cx);
            self.last_move_at = cx.now;
        }
        if plan.row != *stored {
            self.provenance.extend(provenance);
            store.write(Some(state.row.version), plan.row, cx);
        }
    }

    /// Adds changes to `next` that are not urgent: another grantor set, and placement.
    fn plan(&mut self, state: NodeState<'_>, next: CellRow, cx: &Cx<'_>) -> Plan {
        let view = cell_view(&self.expirations, &self.moves, self.since, state);
        let is_unchanged = next == state.row.row;
        let pause = Millis(cx.timing().renew_interval.0 / PLANS_PER_INTERVAL);
        let is_due = !is_unchanged || cx.is_due(self.last_plan_at, pause);
        // A new coordinator first waits for the renewals of all members.
        let settled = cx.now >= self.since + cx.timing().silence_limit;
        if !settled || !is_due {
            return Plan { row: next, moves: Vec::new() };
        }
        self.last_plan_at = Some(cx.now);
        let better = grantor_set::next_row(&view, cx).filter(|_| is_unchanged);
        let is_urgent = better.as_ref().is_some_and(|b| grantor_set::is_urgent(&view, b, cx));
        // Rebalancing would delay an urgent change of grantors.
        let rebalance = if is_urgent { Rebalance::Deferred } else { self.rebalance(cx) };
        let mut plan = planning::next_plan(&view, next, rebalance, cx);
        if is_urgent {
            plan.moves.clear();
        }
        let is_idle = plan.row == state.row.row && plan.moves.is_empty();
        match better {
            Some(row) if is_idle && self.moves.len() == 0 => Plan { row, ..plan },
            _ => plan,
        }
    }

    fn rebalance(&self, cx: &Cx<'_>) -> Rebalance {
        let settled = cx.now.since(self.last_move_at) >= cx.timing().balance_interval;
        if settled { Rebalance::Allowed } else { Rebalance::Deferred }
    }

    /// Orders owners to serve, repeatedly until they confirm it.
    fn send_assignments(&mut self, state: NodeState<'_>, cx: &mut Cx<'_>) {
        if !may_send_orders(state, cx) {
            return;
        }
        let row = &state.row.row;
        for a in &row.assignments {
            let view = cell_view(&self.expirations, &self.moves, self.since, state);
            let has_released = view.moves.released(a.owner, a).is_some();
            if view.moves.is_owner_release_sent(a) || has_released || view.is_lost(a.owner) {
                continue;
            }
            let Some(to) = addr_of(row, a.owner) else {
                continue;
            };
            if !self.mark_order_sent(a.partition, a.fence, cx) {
                continue;
            }
            let provenance =
                self.provenance.iter().find(|p| p.fence == a.fence && p.partition == a.partition);
            let message = Message::Assign {
                claim: claim_ref(row, a.owner, a.partition, a.fence),
                handed_over_from: provenance.and_then(|p| p.handed_over_from),
                first: provenance.is_some_and(|p| p.first),
            };
            cx.send(to, message);
        }
    }

    /// Orders standbys to serve while the row cannot be written. The row names them already, so no
    /// write is needed.
    fn send_takeovers(&mut self, state: NodeState<'_>, store: &RowStore, cx: &mut Cx<'_>) {
        let patience = cx.timing().store_patience;
        let waited = self.write_pending_since.is_some_and(|since| cx.now >= since + patience);
        if !may_send_orders(state, cx) || !(waited || store.is_failing()) {
            return;
        }
        let row = &state.row.row;
        for a in &row.assignments {
            let Some((standby, to)) = self.standby_to_take_over(state, a, cx) else {
                continue;
            };
            let fence = a.fence.takeover();
            let is_new = self.sent.iter().all(|s| (s.partition, s.fence) != (a.partition, fence));
            if !self.mark_order_sent(a.partition, fence, cx) {
                continue;
            }
            if is_new {
                let text = format!("standby {standby} replaces owner {} at fence {fence}", a.owner);
                cx.record(Some(a.partition), "takeover", text);
            }
            cx.send(to, Message::TakeOver(claim_ref(row, standby, a.partition, fence)));
        }
    }

    /// Returns the standby of an assignment if it may serve now without a write of the row.
    fn standby_to_take_over(
        &self,
        state: NodeState<'_>,
        a: &Assignment,
        cx: &Cx<'_>,
    ) -> Option<(Session, HostAddr)> {
        let view = cell_view(&self.expirations, &self.moves, self.since, state);
        let standby = a.standby.filter(|s| !view.is_lost(*s))?;
        let has_released = view.moves.released(standby, a).is_some();
        let is_free = !has_released && view.is_claim_ended(a.owner, a, cx);
        let to = addr_of(view.row, standby).filter(|_| is_free)?;
        Some((standby, to))
    }

    /// Returns whether an order is due, and if so notes that it is sent now.
    fn mark_order_sent(&mut self, partition: Partition, fence: Fence, cx: &Cx<'_>) -> bool {
        let same = |s: &&mut SentOrder| (s.partition, s.fence) == (partition, fence);
        let Some(sent) = self.sent.iter_mut().find(same) else {
            self.sent.push(SentOrder { partition, fence, at: cx.now, acked: false });
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
    pub(crate) fn accepts_requests(&self, state: NodeState<'_>, session: Session) -> bool {
        cell_view(&self.expirations, &self.moves, self.since, state).is_usable(session)
    }
}

fn cell_view<'a>(
    expirations: &'a SessionExpirations,
    moves: &'a Moves,
    since: Millis,
    state: NodeState<'a>,
) -> CellView<'a> {
    let NodeState { row, grantor, seals, dead } = state;
    CellView { row: &row.row, grantor, seals, dead, expirations, moves, since }
}

/// Returns whether orders may be sent. Before the older grantor sets are sealed, some sessions that
/// they expired are unknown here, and an order to such a session would be unsafe.
fn may_send_orders(state: NodeState<'_>, cx: &Cx<'_>) -> bool {
    !cx.rules.inherited_expirations.is_enforced() || state.seals.are_all_sealed(cx)
}

fn claim_ref(row: &CellRow, session: Session, partition: Partition, fence: Fence) -> ClaimRef {
    ClaimRef { epoch: row.epoch, session, partition, fence }
}

/// Returns the provenance of the assignments that are new or changed in `next`.
fn provenance(stored: &CellRow, next: &CellRow, moves: &Moves) -> Vec<Provenance> {
    let changed = next.assignments.iter().filter(|a| stored.assignment(a.partition) != Some(a));
    changed
        .map(|a| {
            let previous = stored.assignment(a.partition);
            let released = previous.and_then(|p| moves.released(p.owner, p));
            let handed_over_from = released.filter(|r| r.handed_over).map(|r| r.fence);
            let first = previous.is_none();
            Provenance { partition: a.partition, fence: a.fence, handed_over_from, first }
        })
        .collect()
}

/// Returns the report of a host process that has not seen its backend server yet.
pub(crate) fn empty_report() -> Report {
    let unfenced_grace = Millis::ZERO;
    Report { slots: 0, slots_in_use: 0, draining: false, unfenced_grace, partitions: Vec::new() }
}
