//! Planned moves: few, and only where they help.

use crate::board::{Board, Level};
use crate::{Limits, standbys};

/// A move must lower the level of the busier member by at least this part of the mean, or the
/// gap in service that it costs is not worth it.
const MIN_GAIN_PERCENT: u64 = 1;

/// The band around the mean in which members are left alone.
struct Band {
    low: Level,
    high: Level,
}

struct Move {
    partition: usize,
    target: usize,
    gain: Level,
}

/// Moves partitions from busy to idle members if any member is outside of the band.
///
/// Once started, it goes on to half the band, so that the next small shift starts no new moves.
pub(crate) fn balance(board: &mut Board<'_>, limits: &Limits) {
    let mean = board.mean_level();
    let outer = band(mean, limits.hysteresis_percent);
    if !is_outside(board, &outer) {
        return;
    }
    let inner = band(mean, limits.hysteresis_percent / 2);
    for _ in 0..limits.moves {
        let Some(step) = find_move(board, &inner, mean) else { return };
        board.give(step.partition, step.target);
        standbys::fill_one(board, step.partition);
    }
}

fn band(mean: Level, percent: u32) -> Band {
    let width = mean / 100 * u64::from(percent);
    Band { low: mean.saturating_sub(width), high: mean.saturating_add(width) }
}

fn is_outside(board: &Board<'_>, band: &Band) -> bool {
    let taking = board.seats().iter().filter(|s| s.capacity > 0);
    taking.map(|s| s.level()).any(|level| level < band.low || level > band.high)
}

fn find_move(board: &Board<'_>, band: &Band, mean: Level) -> Option<Move> {
    let target = board.least_loaded(0)?;
    let pulls = board.seats()[target].level() < band.low;
    let least_source = if pulls { mean } else { band.high };
    let min_gain = mean / 100 * MIN_GAIN_PERCENT;
    sources(board, least_source)
        .into_iter()
        .filter(|&source| source != target)
        .filter_map(|source| best_partition(board, source, target))
        .find(|m| m.gain > min_gain)
}

fn sources(board: &Board<'_>, least: Level) -> Vec<usize> {
    let level = |m: usize| board.seats()[m].level();
    let mut busy: Vec<usize> =
        (0..board.seats().len()).filter(|&m| board.takes(m) && level(m) > least).collect();
    busy.sort_by_key(|&m| (std::cmp::Reverse(level(m)), m));
    busy
}

fn best_partition(board: &Board<'_>, source: usize, target: usize) -> Option<Move> {
    let (from, to) = (&board.seats()[source], &board.seats()[target]);
    let gain = |p: usize| {
        let weight = board.weight(p);
        let after = from.level_with(from.load - weight).max(to.level_with(to.load + weight));
        from.level().saturating_sub(after)
    };
    let owned = board.partitions_of(source);
    let best = owned.map(|p| Move { partition: p, target, gain: gain(p) });
    best.max_by_key(|m| (m.gain, std::cmp::Reverse(m.partition)))
}
