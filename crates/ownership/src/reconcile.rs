//! Reconciles the row with the state of the cell: reassigns partitions whose claims ended, admits
//! new members and drops sealed grantor sets.
//!
//! Everything here computes one row from another. Safety depends only on whether a claim has ended,
//! which is checked in one place, `may_reassign`.

use model::Session;

use crate::cell_view::CellView;
use crate::cx::Cx;
use crate::{Assignment, CellRow, Join, MemberEntry};

/// The most members of a cell.
const MAX_MEMBERS: usize = 32;

/// Returns the row with all changes that need no placement plan.
pub(crate) fn next_row(view: &CellView<'_>, joins: &[Join], cx: &Cx<'_>) -> CellRow {
    let mut next = view.row.clone();
    for join in joins {
        admit(&mut next, join, view);
    }
    for assignment in &mut next.assignments {
        *assignment = reassign(assignment, view, cx);
    }
    let is_over = |s: Session| view.is_over(s, cx);
    let has_claims: Vec<bool> = next.members.iter().map(|m| next.has_claims(m.session)).collect();
    let mut claims = has_claims.into_iter();
    next.members.retain(|m| claims.next() == Some(true) || !is_over(m.session));
    drop_sealed(&mut next, view, cx);
    next
}

/// Returns whether an assignment may get another owner and standby.
///
/// Its claimants are its owner and its standby. The claim of each one that is not the new owner
/// must have ended, because both can be ordered to serve without another write of the row.
pub(crate) fn may_reassign(
    assignment: &Assignment,
    owner: Session,
    view: &CellView<'_>,
    cx: &Cx<'_>,
) -> bool {
    let ended = |s: Session| s == owner || view.is_claim_ended(s, assignment, cx);
    let owner_ended = !cx.rules.owner_claim.is_enforced() || ended(assignment.owner);
    let standby_ended =
        !cx.rules.standby_claim.is_enforced() || assignment.standby.is_none_or(ended);
    owner_ended && standby_ended
}

/// Returns the assignment with another owner and standby, under the next fence.
pub(crate) fn reassigned(
    assignment: &Assignment,
    owner: Session,
    standby: Option<Session>,
) -> Assignment {
    let fence = assignment.fence.next_stored();
    Assignment { partition: assignment.partition, fence, owner, standby }
}

fn admit(next: &mut CellRow, join: &Join, view: &CellView<'_>) {
    let Err(index) = next.members.binary_search_by_key(&join.session, |m| m.session) else {
        return;
    };
    if view.is_lost(join.session) || next.members.len() >= MAX_MEMBERS {
        return;
    }
    let Join { session, addr, zone, .. } = join.clone();
    next.members.insert(index, MemberEntry { session, addr, zone });
}

fn reassign(assignment: &Assignment, view: &CellView<'_>, cx: &Cx<'_>) -> Assignment {
    let Some((owner, standby)) = next_claimants(assignment, view, cx) else {
        return *assignment;
    };
    if !may_reassign(assignment, owner, view, cx) {
        return *assignment;
    }
    reassigned(assignment, owner, standby)
}

/// Returns the next owner and standby of an assignment, if they should change now.
fn next_claimants(
    assignment: &Assignment,
    view: &CellView<'_>,
    cx: &Cx<'_>,
) -> Option<(Session, Option<Session>)> {
    let is_ended = |s: Session| view.is_claim_ended(s, assignment, cx);
    let owner_ended = is_ended(assignment.owner);
    let planned = view.moves.get(assignment.partition).filter(|m| !view.is_lost(m.owner));
    if let Some(m) = planned {
        let (owner, standby) = m.target(assignment);
        let ready = may_reassign(assignment, owner, view, cx);
        return ready.then_some((owner, standby.filter(|s| !view.is_lost(*s))));
    }
    if owner_ended {
        let standby = assignment.standby.filter(|s| view.is_usable(*s) && !is_ended(*s));
        return standby.map(|s| (s, None));
    }
    let standby_ended = assignment.standby.is_some_and(is_ended);
    (standby_ended && !view.is_lost(assignment.owner)).then_some((assignment.owner, None))
}

/// Drops the older grantor sets whose grants have run out.
///
/// A set stays until the row references none of the sessions that it expired. A later coordinator
/// that no longer sees the set would not know of them, and might order such a session to serve.
fn drop_sealed(next: &mut CellRow, view: &CellView<'_>, cx: &Cx<'_>) {
    if view.grantor.expired().iter().any(|s| next.references(*s)) {
        return;
    }
    next.unsealed.retain(|set| !view.seals.are_grants_over(set.epoch, cx));
}
