//! Planned moves: few, and only where they help.

use crate::plan_state::{Board, Level};
use crate::{PlanLimits, standbys};

/// A move must lower the level of the busier member by at least this part of it, in percent, or
/// the gap in service that it costs is not worth it.
const MIN_GAIN_PERCENT: u64 = 1;

/// A move must also gain this part, in percent, of what a partition of mean weight adds. At 100,
/// cells of equal partitions would never be balanced.
const MIN_WEIGHT_PERCENT: u64 = 75;

struct Move {
    partition: usize,
    target: usize,
    gain: Level,
}

/// Moves partitions from busy to idle members if any member is too far above its fair level.
///
/// Once started, it goes on to half the hysteresis, so that the next small shift starts no new
/// moves. An idle member by itself is no reason to move: it is where the next hot partition goes.
pub(crate) fn balance(board: &mut Board<'_>, limits: &PlanLimits) {
    let fair = board.fair();
    if sources(board, above(fair.level, limits.hysteresis_percent)).is_empty() {
        return;
    }
    let stop = above(fair.level, limits.hysteresis_percent / 2);
    for _ in 0..limits.max_moves {
        let Some(step) = find_move(board, stop, fair.weight) else { return };
        board.give(step.partition, step.target);
        standbys::fill_one(board, step.partition);
    }
}

fn above(fair: Level, percent: u32) -> Level {
    fair.saturating_add(fair / 100 * u64::from(percent))
}

fn find_move(board: &Board<'_>, stop: Level, mean_weight: u64) -> Option<Move> {
    let target = board.least_loaded(0)?;
    sources(board, stop)
        .into_iter()
        .filter(|&source| source != target)
        .find_map(|source| best_move(board, source, target, mean_weight))
}

/// Returns the members above `least`, busiest first.
fn sources(board: &Board<'_>, least: Level) -> Vec<usize> {
    let level = |m: usize| board.seats()[m].level();
    let members = 0..board.seats().len();
    let mut busy: Vec<usize> = members.filter(|&m| board.takes(m) && level(m) > least).collect();
    busy.sort_by_key(|&m| (std::cmp::Reverse(level(m)), m));
    busy
}

fn best_move(board: &Board<'_>, source: usize, target: usize, mean_weight: u64) -> Option<Move> {
    let (from, to) = (&board.seats()[source], &board.seats()[target]);
    let gain = |p: usize| {
        let weight = board.weight(p);
        let after = from.level_with(from.load - weight).max(to.level_with(to.load + weight));
        from.level().saturating_sub(after)
    };
    let part = from.level() / 100 * MIN_GAIN_PERCENT;
    let usual = from.level_with(mean_weight * MIN_WEIGHT_PERCENT / 100);
    let owned = board.partitions_of(source);
    let moves = owned.map(|p| Move { partition: p, target, gain: gain(p) });
    let best = moves.max_by_key(|m| (m.gain, std::cmp::Reverse(m.partition)));
    best.filter(|m| m.gain > part.max(usual))
}
