//! Planned moves to balance the load: few, and only those that lower the utilization of a busy
//! member enough.

use crate::plan_state::{PlanState, Utilization};
use crate::{PlanLimits, standbys};

/// A move must lower the utilization of the busier member by more than this percentage, or the
/// interruption of service that it causes is not worth it.
const MIN_GAIN_PERCENT: u64 = 1;

/// A move must also lower it by more than this percentage of what a partition of mean weight adds.
/// At 100, cells of equal partitions would never be balanced.
const MIN_GAIN_OF_MEAN_PERCENT: u64 = 75;

struct Move {
    partition: usize,
    target: usize,
    gain: Utilization,
}

/// Moves partitions from busy to idle members if the utilization of any member exceeds the fair
/// share by more than the hysteresis.
///
/// Once started, it continues down to half the hysteresis, so that the next small change of load
/// does not start new moves. An idle member alone is no reason for a move: it is the target for the
/// next hot partition.
pub(crate) fn rebalance(state: &mut PlanState<'_>, limits: &PlanLimits) {
    let fair_share = state.fair_share();
    if members_above(state, with_margin(fair_share.utilization, limits.hysteresis_percent))
        .is_empty()
    {
        return;
    }
    let threshold = with_margin(fair_share.utilization, limits.hysteresis_percent / 2);
    for _ in 0..limits.max_moves {
        let Some(next_move) = find_move(state, threshold, fair_share.mean_weight) else { return };
        state.set_owner(next_move.partition, next_move.target);
        standbys::assign_one(state, next_move.partition);
    }
}

fn with_margin(utilization: Utilization, percent: u32) -> Utilization {
    utilization.saturating_add(utilization / 100 * u64::from(percent))
}

fn find_move(state: &PlanState<'_>, threshold: Utilization, mean_weight: u64) -> Option<Move> {
    let target = state.least_loaded(0)?;
    members_above(state, threshold)
        .into_iter()
        .filter(|&source| source != target)
        .find_map(|source| best_move(state, source, target, mean_weight))
}

/// Returns the members with a utilization above `threshold`, busiest first.
fn members_above(state: &PlanState<'_>, threshold: Utilization) -> Vec<usize> {
    let utilization = |m: usize| state.usage()[m].utilization();
    let members = 0..state.usage().len();
    let mut busy: Vec<usize> =
        members.filter(|&m| state.is_accepting(m) && utilization(m) > threshold).collect();
    busy.sort_by_key(|&m| (std::cmp::Reverse(utilization(m)), m));
    busy
}

fn best_move(
    state: &PlanState<'_>,
    source: usize,
    target: usize,
    mean_weight: u64,
) -> Option<Move> {
    let (from, to) = (&state.usage()[source], &state.usage()[target]);
    let gain = |p: usize| {
        let weight = state.weight(p);
        let after =
            from.utilization_with(from.load - weight).max(to.utilization_with(to.load + weight));
        from.utilization().saturating_sub(after)
    };
    let min_gain = from.utilization() / 100 * MIN_GAIN_PERCENT;
    let min_gain_for_weight = from.utilization_with(mean_weight * MIN_GAIN_OF_MEAN_PERCENT / 100);
    let candidates = state.partitions_owned_by(source);
    let moves = candidates.map(|p| Move { partition: p, target, gain: gain(p) });
    let best = moves.max_by_key(|m| (m.gain, std::cmp::Reverse(m.partition)));
    best.filter(|m| m.gain > min_gain.max(min_gain_for_weight))
}
