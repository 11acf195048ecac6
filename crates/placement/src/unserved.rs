//! Partitions that nobody serves, or that are about to lose their owner.

use crate::MemberStage;
use crate::plan_state::Board;

/// Places the partitions that nobody serves.
///
/// The standby goes first even if others have less load: it has claimed the partition already,
/// so the change needs one answer less and the keys are served again sooner.
pub(crate) fn place(board: &mut Board<'_>) {
    for p in board.heaviest_first(is_unserved) {
        place_one(board, p);
    }
}

/// Places the partitions of draining members.
pub(crate) fn place_draining(board: &mut Board<'_>) {
    for p in board.heaviest_first(is_leaving) {
        place_one(board, p);
    }
}

fn place_one(board: &mut Board<'_>, p: usize) {
    let standby = board.standby(p).filter(|&m| board.takes(m));
    let target = standby.or_else(|| board.least_loaded(board.weight(p)));
    if let Some(m) = target {
        board.give(p, m);
    }
}

fn is_unserved(board: &Board<'_>, p: usize) -> bool {
    board.owner(p).is_none_or(|m| board.member(m).slots == 0)
}

fn is_leaving(board: &Board<'_>, p: usize) -> bool {
    board.owner(p).is_some_and(|m| board.member(m).stage == MemberStage::Draining)
}
