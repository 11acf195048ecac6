//! Chooses the grantors of a cell.

use model::{Incarnation, ZoneName};

use crate::cell_view::CellView;
use crate::cx::Cx;
use crate::grantor::{LastRenewal, grantor_entry};
use crate::lease::blocking_quorum;
use crate::{CellRow, Grantor, GrantorSet};

/// The size of a grantor set that tolerates the loss of two grantors at once.
const LARGE_SET_SIZE: usize = 5;

/// The size of a grantor set that tolerates the loss of one grantor.
const SMALL_SET_SIZE: usize = 3;

/// Returns the row with a better grantor set, if there is one and it may be changed now.
pub(crate) fn next_row(view: &CellView<'_>, cx: &Cx<'_>) -> Option<CellRow> {
    if !view.row.unsealed.is_empty() || is_too_early(view, cx) {
        return None;
    }
    let chosen = choose_grantors(view, cx)?;
    let same = chosen.iter().all(|g| view.row.is_grantor(g.incarnation));
    if same && chosen.len() == view.row.grantors.len() {
        return None;
    }
    Some(replace_grantors(view.row, chosen))
}

/// Returns whether it is too early to change the grantors.
///
/// A change restarts all session expirations and adds the wait for the seal, so lost owners are
/// replaced first. A new coordinator also gives all members the time to renew.
fn is_too_early(view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    let is_pending = |m: &crate::MemberEntry| {
        let session = m.session;
        view.is_lost(session) && view.row.has_claims(session) && !view.is_over(session, cx)
    };
    let is_new = cx.now < view.since + cx.timing().silence_limit;
    is_new || view.row.members.iter().any(is_pending)
}

/// Returns whether the change to `better` replaces a silent grantor or raises the number of losses
/// that the set tolerates. Otherwise it waits until all moves are done, which it would interrupt.
pub(crate) fn is_urgent(view: &CellView<'_>, better: &CellRow, cx: &Cx<'_>) -> bool {
    let is_silent = |g: &Grantor| !was_seen_recently(g.incarnation, view, cx);
    let current = &view.row.grantors;
    better.grantors.len() > current.len() || current.iter().any(is_silent)
}

/// Returns the row at the next epoch, with the current grantor set added to those to be sealed.
pub(crate) fn replace_grantors(row: &CellRow, grantors: Vec<Grantor>) -> CellRow {
    let mut next = row.clone();
    let previous = std::mem::replace(&mut next.grantors, grantors);
    next.unsealed.push(GrantorSet { epoch: row.epoch, grantors: previous });
    next.epoch.0 += 1;
    next
}

fn choose_grantors(view: &CellView<'_>, cx: &Cx<'_>) -> Option<Vec<Grantor>> {
    let current = &view.row.grantors;
    let kept: Vec<Grantor> =
        current.iter().filter(|g| is_eligible(g.incarnation, view, cx)).cloned().collect();
    // With fewer grantors of the current set left, the new set could not seal it.
    let min_kept = if current.len() > 1 { blocking_quorum(current.len()) } else { 0 };
    let candidates = candidates(&kept, view, cx);
    // The set shrinks only for a draining grantor, which helps to seal it. A silent grantor may
    // come back, and a smaller set would not tolerate the next loss.
    let is_any_draining = current.iter().any(|g| is_draining(g.incarnation, view));
    let min_size = if is_any_draining { 1 } else { current.len().min(SMALL_SET_SIZE) };
    let size = target_size(candidates.len()).max(min_size);
    if kept.len() < min_kept || candidates.len() < size {
        return None;
    }
    let chosen = spread_over_zones(&[], &candidates, size);
    let retained = chosen.iter().filter(|g| view.row.is_grantor(g.incarnation)).count();
    let required = min_kept.min(size);
    let chosen = if retained < required {
        spread_over_zones(&kept[..required], &candidates, size)
    } else {
        chosen
    };
    Some(chosen)
}

fn target_size(candidates: usize) -> usize {
    match candidates {
        LARGE_SET_SIZE.. => LARGE_SET_SIZE,
        SMALL_SET_SIZE.. => SMALL_SET_SIZE,
        _ => 1,
    }
}

/// Returns the grantors that can stay, in their order, and then all other eligible members.
fn candidates(kept: &[Grantor], view: &CellView<'_>, cx: &Cx<'_>) -> Vec<Grantor> {
    let mut found = kept.to_vec();
    for member in &view.row.members {
        let incarnation = member.session.incarnation;
        let is_new = found.iter().all(|g| g.incarnation != incarnation);
        if is_new && !view.is_lost(member.session) && is_eligible(incarnation, view, cx) {
            found.push(grantor_entry(member.session, member.addr, &member.zone));
        }
    }
    found
}

/// Adds candidates to `required` up to `size`: first one of each availability zone, then any.
fn spread_over_zones(required: &[Grantor], candidates: &[Grantor], size: usize) -> Vec<Grantor> {
    let mut chosen = required.to_vec();
    for candidate in candidates {
        let zones: Vec<&ZoneName> = chosen.iter().map(|g| &g.zone).collect();
        let is_new_zone = !zones.contains(&&candidate.zone);
        if chosen.len() < size && is_new_zone && !chosen.contains(candidate) {
            chosen.push(candidate.clone());
        }
    }
    for candidate in candidates {
        if chosen.len() < size && !chosen.contains(candidate) {
            chosen.push(candidate.clone());
        }
    }
    chosen
}

/// Returns whether a process can be a grantor: it was seen recently and is not draining.
fn is_eligible(incarnation: Incarnation, view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    was_seen_recently(incarnation, view, cx) && !is_draining(incarnation, view)
}

fn is_draining(incarnation: Incarnation, view: &CellView<'_>) -> bool {
    let is_draining = |r: &LastRenewal| r.session.incarnation == incarnation && r.report.draining;
    view.grantor.renewals().iter().any(is_draining)
}

fn was_seen_recently(incarnation: Incarnation, view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    let limit = cx.timing().silence_limit;
    let start = view.since - cx.timing().renew_interval;
    let is_grantor = view.row.is_grantor(incarnation);
    let last_seen = view.grantor.process_last_seen(incarnation).or(is_grantor.then_some(start));
    last_seen.is_some_and(|at| cx.now.since(at) <= limit)
}
