//! Turns the changes that the placement planner proposes into changes of the row and planned moves.

use model::{Millis, Partition, Session};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits};

use crate::cell_view::CellView;
use crate::cx::Cx;
use crate::moves::Move;
use crate::reconcile::{may_reassign, reassigned};
use crate::{Assignment, CellRow};

/// The most planned moves in flight; enough for a draining host to be empty after one batch.
const MAX_MOVES_IN_FLIGHT: usize = 64;

/// How long a backend server counts as cold after it came up.
const COLD_START_WINDOW: Millis = Millis(30_000);

/// The limits of a plan that may move partitions to rebalance the load.
const REBALANCE_LIMITS: PlanLimits = PlanLimits { max_moves: 8, hysteresis_percent: 20 };

/// The limits of a plan that only fills missing owners and standbys.
const FILL_LIMITS: PlanLimits = PlanLimits { max_moves: 0, ..REBALANCE_LIMITS };

/// Whether a plan may move partitions to rebalance the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rebalance {
    /// It may move them.
    Allowed,
    /// It must not: loads have to settle after the last moves before they are compared.
    Deferred,
}

impl Rebalance {
    fn limits(self) -> PlanLimits {
        match self {
            Self::Allowed => REBALANCE_LIMITS,
            Self::Deferred => FILL_LIMITS,
        }
    }
}

/// The next changes of placement.
pub(crate) struct Plan {
    /// The row with the changes that need no release.
    pub(crate) row: CellRow,
    /// The moves to start, each with its reason.
    pub(crate) moves: Vec<(Move, &'static str)>,
}

/// Returns the next changes of placement on top of `row`, which would be written anyway.
pub(crate) fn next_plan(
    view: &CellView<'_>,
    row: CellRow,
    rebalance: Rebalance,
    cx: &Cx<'_>,
) -> Plan {
    let mut plan = Plan { row, moves: drop_unusable_standbys(view, cx) };
    let input = plan_input(view, cx);
    for change in placement::plan(&input, &rebalance.limits()) {
        match change {
            Change::SetOwner { partition, owner } => {
                plan_owner(&mut plan, partition, owner, view, cx);
            }
            Change::SetStandby { partition, standby } => {
                plan_standby(&mut plan, partition, standby, view, cx);
            }
        }
    }
    plan.moves.truncate(MAX_MOVES_IN_FLIGHT.saturating_sub(view.moves.len()));
    plan
}

/// Returns moves that drop standbys which are draining or have no slots. They are dropped even if
/// the planner has no replacement.
fn drop_unusable_standbys(view: &CellView<'_>, cx: &Cx<'_>) -> Vec<(Move, &'static str)> {
    let is_unusable = |s: &Session| !view.is_lost(*s) && !view.is_usable(*s);
    let without_standby = |a: &Assignment| {
        a.standby.filter(is_unusable)?;
        let owner_stays = view.is_usable(a.owner);
        owner_stays.then(|| (new_move(a, a.owner, None, cx), "the standby accepts no requests"))
    };
    let has_no_move = |a: &&Assignment| view.moves.get(a.partition).is_none();
    view.row.assignments.iter().filter(has_no_move).filter_map(without_standby).collect()
}

fn plan_owner(
    plan: &mut Plan,
    partition: Partition,
    owner: Session,
    view: &CellView<'_>,
    cx: &Cx<'_>,
) {
    match plan.row.assignments.binary_search_by_key(&partition, |a| a.partition) {
        Err(index) => {
            let fence = model::Fence::default().next_stored();
            let first = Assignment { partition, fence, owner, standby: None };
            plan.row.assignments.insert(index, first);
        }
        Ok(index) => {
            let assignment = plan.row.assignments[index];
            if assignment.owner == owner || view.row.assignment(partition) != Some(&assignment) {
                return;
            }
            if may_reassign(&assignment, owner, view, cx) {
                plan.row.assignments[index] = reassigned(&assignment, owner, None);
            } else {
                let keep = assignment.standby.filter(|s| *s != owner && view.is_usable(*s));
                add_move(plan, new_move(&assignment, owner, keep, cx), view, cx);
            }
        }
    }
}

fn plan_standby(
    plan: &mut Plan,
    partition: Partition,
    standby: Session,
    view: &CellView<'_>,
    cx: &Cx<'_>,
) {
    let row = &mut plan.row;
    let Ok(index) = row.assignments.binary_search_by_key(&partition, |a| a.partition) else {
        return;
    };
    let assignment = row.assignments[index];
    if standby == assignment.owner || Some(standby) == assignment.standby {
        return;
    }
    let stored = view.row.assignment(partition);
    if stored != Some(&assignment) {
        row.assignments[index].standby = assignment.standby.or(Some(standby));
        return;
    }
    let moving = plan.moves.iter_mut().find(|(m, _)| m.partition == partition);
    if let Some((m, _)) = moving {
        m.standby = Some(standby);
    } else if view.moves.get(partition).is_some() || view.is_lost(assignment.owner) {
        // The partition gets its standby once its owner no longer changes.
    } else if may_reassign(&assignment, assignment.owner, view, cx) {
        row.assignments[index] = reassigned(&assignment, assignment.owner, Some(standby));
    } else {
        add_move(plan, new_move(&assignment, assignment.owner, Some(standby), cx), view, cx);
    }
}

fn add_move(plan: &mut Plan, new: Move, view: &CellView<'_>, cx: &Cx<'_>) {
    let is_planned = plan.moves.iter().any(|(m, _)| m.partition == new.partition);
    // A partition is moved away from a lost owner only when that owner's lease is over.
    let is_owner_leased =
        |a: &Assignment| view.is_lost(a.owner) && !view.is_claim_ended(a.owner, a, cx);
    let owner_lease_runs = view.row.assignment(new.partition).is_some_and(is_owner_leased);
    if !is_planned && !owner_lease_runs && view.moves.get(new.partition).is_none() {
        plan.moves.push((new, "planned"));
    }
}

fn new_move(a: &Assignment, owner: Session, standby: Option<Session>, cx: &Cx<'_>) -> Move {
    Move {
        partition: a.partition,
        fence: a.fence,
        owner,
        standby,
        deadline: cx.now + cx.timing().release_time_limit + cx.timing().term,
        last_release: None,
    }
}

fn plan_input(view: &CellView<'_>, cx: &Cx<'_>) -> PlanInput {
    let (first, end) = cx.settings.partitions;
    let partitions = (first.0..end.0).map(|p| partition_state(Partition(p), view, cx)).collect();
    let live = view.row.members.iter().filter(|m| !view.is_lost(m.session));
    let renewed = live.filter_map(|m| Some((m, view.grantor.last_renewal(m.session)?)));
    let members = renewed
        .map(|(m, renewal)| MemberState {
            session: m.session,
            zone: m.zone.clone(),
            slots: renewal.report.slots,
            stage: member_stage(renewal, cx),
        })
        .collect();
    PlanInput { members, partitions }
}

fn member_stage(renewal: &crate::grantor::LastRenewal, cx: &Cx<'_>) -> MemberStage {
    if renewal.report.draining {
        return MemberStage::Draining;
    }
    let age = renewal.up_since.map_or(Millis::ZERO, |at| cx.now.since(at));
    if age < COLD_START_WINDOW { MemberStage::Cold { age } } else { MemberStage::Ready }
}

fn partition_state(partition: Partition, view: &CellView<'_>, cx: &Cx<'_>) -> PartitionState {
    let assignment = view.row.assignment(partition);
    let holds = |s: &Session, a: &Assignment| view.is_usable(*s) && !view.is_claim_ended(*s, a, cx);
    let owner = assignment.map(|a| a.owner).filter(|s| assignment.is_some_and(|a| holds(s, a)));
    let standby = assignment.and_then(|a| a.standby.filter(|s| holds(s, a)));
    let reports = owner.and_then(|s| view.grantor.last_renewal(s)).map(|r| &r.report.partitions);
    let report = reports.and_then(|r| r.iter().find(|r| r.partition == partition));
    PartitionState {
        partition,
        millirequests_per_second: report.map_or(0, |r| r.millirequests_per_second),
        owner,
        standby,
    }
}
