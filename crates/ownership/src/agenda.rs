//! From the planner's wishes to rows and moves.

use model::{Millis, Partition, Session};
use placement::{Change, MemberStage, MemberState, PartitionState, PlanInput, PlanLimits};

use crate::cx::Cx;
use crate::moves::Move;
use crate::succession::{changed, may_change};
use crate::view::View;
use crate::{Assignment, CellRow};

/// How many planned moves run at once; enough for a host that leaves to be empty after one batch.
const MOVES_IN_FLIGHT: usize = 64;

/// How long a backend server counts as cold.
const COLD_SPAN: Millis = Millis(30_000);

/// The planner's bounds for a plan that may move partitions to even out the load.
const BALANCING: PlanLimits = PlanLimits { max_moves: 8, hysteresis_percent: 20 };

/// The planner's bounds for a plan that only finds owners for partitions that need one.
const FILLING: PlanLimits = PlanLimits { max_moves: 0, ..BALANCING };

/// Whether a plan may move partitions to even out the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Balance {
    /// It may.
    Due,
    /// It is too early: loads must settle after the last moves before they are compared.
    Early,
}

impl Balance {
    fn limits(self) -> PlanLimits {
        match self {
            Self::Due => BALANCING,
            Self::Early => FILLING,
        }
    }
}

/// What to do next about placement.
pub(crate) struct Agenda {
    /// The row with the changes that need nobody's consent.
    pub(crate) row: CellRow,
    /// The moves to begin, with the reason of each.
    pub(crate) moves: Vec<(Move, &'static str)>,
}

/// Returns what to do next, given the row that would be written anyway.
pub(crate) fn next(view: &View<'_>, row: CellRow, balance: Balance, cx: &Cx<'_>) -> Agenda {
    let mut agenda = Agenda { row, moves: closed_standbys(view, cx) };
    let input = input(view, cx);
    for change in placement::plan(&input, &balance.limits()) {
        match change {
            Change::SetOwner { partition, owner } => own(&mut agenda, partition, owner, view, cx),
            Change::SetStandby { partition, standby } => {
                stand_by(&mut agenda, partition, standby, view, cx);
            }
        }
    }
    agenda.moves.truncate(MOVES_IN_FLIGHT.saturating_sub(view.moves.len()));
    agenda
}

/// Standbys that are draining or have no slots are dropped even if the planner has nobody else.
fn closed_standbys(view: &View<'_>, cx: &Cx<'_>) -> Vec<(Move, &'static str)> {
    let is_closed = |s: &Session| !view.is_lost(*s) && !view.is_usable(*s);
    let dropped = |a: &Assignment| {
        a.standby.filter(is_closed)?;
        let stays = view.is_usable(a.owner);
        stays.then(|| (new_move(a, a.owner, None, cx), "the standby takes no work"))
    };
    let free = |a: &&Assignment| view.moves.get(a.partition).is_none();
    view.row.assignments.iter().filter(free).filter_map(dropped).collect()
}

fn own(agenda: &mut Agenda, partition: Partition, owner: Session, view: &View<'_>, cx: &Cx<'_>) {
    match agenda.row.assignments.binary_search_by_key(&partition, |a| a.partition) {
        Err(index) => {
            let fence = model::Fence::default().next_stored();
            let first = Assignment { partition, fence, owner, standby: None };
            agenda.row.assignments.insert(index, first);
        }
        Ok(index) => {
            let assignment = agenda.row.assignments[index];
            if assignment.owner == owner || view.row.assignment(partition) != Some(&assignment) {
                return;
            }
            if may_change(&assignment, owner, view, cx) {
                agenda.row.assignments[index] = changed(&assignment, owner, None);
            } else {
                let keep = assignment.standby.filter(|s| *s != owner && view.is_usable(*s));
                begin(agenda, new_move(&assignment, owner, keep, cx), view, cx);
            }
        }
    }
}

fn stand_by(
    agenda: &mut Agenda,
    partition: Partition,
    standby: Session,
    view: &View<'_>,
    cx: &Cx<'_>,
) {
    let row = &mut agenda.row;
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
    let moving = agenda.moves.iter_mut().find(|(m, _)| m.partition == partition);
    if let Some((m, _)) = moving {
        m.standby = Some(standby);
    } else if view.moves.get(partition).is_some() || view.is_lost(assignment.owner) {
        // The partition gets its standby once it has an owner that stays.
    } else if may_change(&assignment, assignment.owner, view, cx) {
        row.assignments[index] = changed(&assignment, assignment.owner, Some(standby));
    } else {
        begin(agenda, new_move(&assignment, assignment.owner, Some(standby), cx), view, cx);
    }
}

fn begin(agenda: &mut Agenda, new: Move, view: &View<'_>, cx: &Cx<'_>) {
    let waits = agenda.moves.iter().any(|(m, _)| m.partition == new.partition);
    // A move away from a lost owner waits until its lease is over.
    let is_waiting = |a: &Assignment| view.is_lost(a.owner) && !view.is_claim_ended(a.owner, a, cx);
    let is_lost = view.row.assignment(new.partition).is_some_and(is_waiting);
    if !waits && !is_lost && view.moves.get(new.partition).is_none() {
        agenda.moves.push((new, "planned"));
    }
}

fn new_move(a: &Assignment, owner: Session, standby: Option<Session>, cx: &Cx<'_>) -> Move {
    Move {
        partition: a.partition,
        fence: a.fence,
        owner,
        standby,
        until: cx.now + cx.timing().release_time_limit + cx.timing().term,
        asked: None,
    }
}

fn input(view: &View<'_>, cx: &Cx<'_>) -> PlanInput {
    let (first, end) = cx.settings.partitions;
    let partitions = (first.0..end.0).map(|p| partition_load(Partition(p), view, cx)).collect();
    let live = view.row.members.iter().filter(|m| !view.is_lost(m.session));
    let heard = live.filter_map(|m| Some((m, view.grantor.heard(m.session)?)));
    let members = heard
        .map(|(m, h)| MemberState {
            session: m.session,
            zone: m.zone.clone(),
            slots: h.report.slots,
            stage: stage(h, cx),
        })
        .collect();
    PlanInput { members, partitions }
}

fn stage(heard: &crate::grantor::Heard, cx: &Cx<'_>) -> MemberStage {
    if heard.report.draining {
        return MemberStage::Draining;
    }
    let age = heard.up_since.map_or(Millis::ZERO, |at| cx.now.since(at));
    if age < COLD_SPAN { MemberStage::Cold { age } } else { MemberStage::Ready }
}

fn partition_load(partition: Partition, view: &View<'_>, cx: &Cx<'_>) -> PartitionState {
    let assignment = view.row.assignment(partition);
    let holds = |s: &Session, a: &Assignment| view.is_usable(*s) && !view.is_claim_ended(*s, a, cx);
    let owner = assignment.map(|a| a.owner).filter(|s| assignment.is_some_and(|a| holds(s, a)));
    let standby = assignment.and_then(|a| a.standby.filter(|s| holds(s, a)));
    let reports = owner.and_then(|s| view.grantor.heard(s)).map(|h| &h.report.partitions);
    let report = reports.and_then(|r| r.iter().find(|r| r.partition == partition));
    PartitionState {
        partition,
        millirequests_per_second: report.map_or(0, |r| r.millirequests_per_second),
        owner,
        standby,
    }
}
