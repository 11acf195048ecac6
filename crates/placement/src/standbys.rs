//! Standbys, in another availability zone than the owner wherever there is one.

use crate::plan_state::Board;

/// Names a standby for each partition that lacks a fitting one.
pub(crate) fn fill(board: &mut Board<'_>) {
    for p in board.heaviest_first(lacks_standby) {
        fill_one(board, p);
    }
}

/// Names a standby for the partition if it lacks a fitting one and a better one exists.
pub(crate) fn fill_one(board: &mut Board<'_>, p: usize) {
    let Some(owner) = board.owner(p).filter(|_| lacks_standby(board, p)) else { return };
    let best = candidates(board, owner).min_by_key(|&m| rank(board, owner, p, m));
    let Some(best) = best else { return };
    let present = board.standby(p).filter(|&m| board.takes(m) && m != owner);
    if present.is_some() && board.same_zone(owner, best) {
        return;
    }
    board.stand_by(p, best);
}

fn lacks_standby(board: &Board<'_>, p: usize) -> bool {
    match (board.owner(p), board.standby(p)) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(owner), Some(m)) => owner == m || !board.takes(m) || board.same_zone(owner, m),
    }
}

fn candidates<'a>(board: &'a Board<'_>, owner: usize) -> impl Iterator<Item = usize> + 'a {
    (0..board.seats().len()).filter(move |&m| m != owner && board.takes(m))
}

fn rank(board: &Board<'_>, owner: usize, p: usize, m: usize) -> (bool, u64, usize) {
    let seat = &board.seats()[m];
    (board.same_zone(owner, m), seat.level_with(seat.standby_load + board.weight(p)), m)
}
