//! Who should be grantor.

use model::{Incarnation, ZoneName};

use crate::cell_view::CellView;
use crate::cx::Cx;
use crate::grantor::{LastRenewal, grantor_entry};
use crate::lease::blocking_quorum;
use crate::{CellRow, Grantor, GrantorSet};

/// The size of a set that survives the loss of two grantors at once.
const LARGE_SET_SIZE: usize = 5;

/// The size of a set that survives the loss of one grantor.
const SMALL_SET_SIZE: usize = 3;

/// Returns the row with a better set of grantors, if there is one now.
pub(crate) fn next_row(view: &CellView<'_>, cx: &Cx<'_>) -> Option<CellRow> {
    if !view.row.unsealed.is_empty() || is_too_early(view, cx) {
        return None;
    }
    let chosen = choose(view, cx)?;
    let same = chosen.iter().all(|g| view.row.is_grantor(g.incarnation));
    if same && chosen.len() == view.row.grantors.len() {
        return None;
    }
    Some(replace_grantors(view.row, chosen))
}

/// A change of grantors makes the lapses begin anew and adds the wait for the seal, so what was
/// lost is replaced first. A new coordinator gives members time to be heard.
fn is_too_early(view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    let is_pending = |m: &crate::MemberEntry| {
        let session = m.session;
        view.is_lost(session) && view.row.has_claims(session) && !view.is_over(session, cx)
    };
    let is_new = cx.now < view.since + cx.timing().silence_limit;
    is_new || view.row.members.iter().any(is_pending)
}

/// Returns whether the change to `better` makes up for a loss or lets more hosts be lost.
/// Otherwise it can wait until all moves are done, which it would interrupt.
pub(crate) fn is_urgent(view: &CellView<'_>, better: &CellRow, cx: &Cx<'_>) -> bool {
    let is_silent = |g: &Grantor| !was_seen_recently(g.incarnation, view, cx);
    let current = &view.row.grantors;
    better.grantors.len() > current.len() || current.iter().any(is_silent)
}

/// Returns the row at the next epoch, with the current set among those to be sealed.
pub(crate) fn replace_grantors(row: &CellRow, grantors: Vec<Grantor>) -> CellRow {
    let mut next = row.clone();
    let previous = std::mem::replace(&mut next.grantors, grantors);
    next.unsealed.push(GrantorSet { epoch: row.epoch, grantors: previous });
    next.epoch.0 += 1;
    next
}

fn choose(view: &CellView<'_>, cx: &Cx<'_>) -> Option<Vec<Grantor>> {
    let current = &view.row.grantors;
    let kept: Vec<Grantor> =
        current.iter().filter(|g| is_eligible(g.incarnation, view, cx)).cloned().collect();
    // Fewer could not seal the current set.
    let needed = if current.len() > 1 { blocking_quorum(current.len()) } else { 0 };
    let candidates = candidates(&kept, view, cx);
    // A set shrinks only for a grantor that is_leaving of its own accord and helps to seal it. One that
    // is silent may come back, and a smaller set would not survive the next loss.
    let is_leaving = current.iter().any(|g| is_draining(g.incarnation, view));
    let min_size = if is_leaving { 1 } else { current.len().min(SMALL_SET_SIZE) };
    let size = target_size(candidates.len()).max(min_size);
    if kept.len() < needed || candidates.len() < size {
        return None;
    }
    let chosen = spread_over_zones(&[], &candidates, size);
    let retained = chosen.iter().filter(|g| view.row.is_grantor(g.incarnation)).count();
    let required = needed.min(size);
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

/// The grantors that can stay, in their order, and then all other members that could be one.
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

/// Takes one candidate of each zone first, and then any.
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

/// A process is fit if it was heard lately and is not draining.
fn is_eligible(incarnation: Incarnation, view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    was_seen_recently(incarnation, view, cx) && !is_draining(incarnation, view)
}

fn is_draining(incarnation: Incarnation, view: &CellView<'_>) -> bool {
    let is_draining = |h: &LastRenewal| h.session.incarnation == incarnation && h.report.draining;
    view.grantor.renewals().iter().any(is_draining)
}

fn was_seen_recently(incarnation: Incarnation, view: &CellView<'_>, cx: &Cx<'_>) -> bool {
    let limit = cx.timing().silence_limit;
    let start = view.since - cx.timing().renew_interval;
    let is_grantor = view.row.is_grantor(incarnation);
    let heard = view.grantor.process_last_seen(incarnation).or(is_grantor.then_some(start));
    heard.is_some_and(|at| cx.now.since(at) <= limit)
}
