//! Assigns standbys, in another availability zone than the owner if possible.

use crate::plan_state::PlanState;

/// Assigns a standby to each partition that has none, an unusable one, or one in its owner's zone.
pub(crate) fn assign(state: &mut PlanState<'_>) {
    for p in state.heaviest_first(needs_standby) {
        assign_one(state, p);
    }
}

/// Assigns a standby to the partition if it needs one and there is a better candidate.
pub(crate) fn assign_one(state: &mut PlanState<'_>, p: usize) {
    let Some(owner) = state.owner(p).filter(|_| needs_standby(state, p)) else { return };
    let best = candidates(state, owner).min_by_key(|&m| rank(state, owner, p, m));
    let Some(best) = best else { return };
    let current = state.standby(p).filter(|&m| state.is_accepting(m) && m != owner);
    if current.is_some() && state.same_zone(owner, best) {
        return;
    }
    state.set_standby(p, best);
}

fn needs_standby(state: &PlanState<'_>, p: usize) -> bool {
    match (state.owner(p), state.standby(p)) {
        (None, _) => false,
        (Some(_), None) => true,
        (Some(owner), Some(m)) => owner == m || !state.is_accepting(m) || state.same_zone(owner, m),
    }
}

fn candidates<'a>(state: &'a PlanState<'_>, owner: usize) -> impl Iterator<Item = usize> + 'a {
    (0..state.usage().len()).filter(move |&m| m != owner && state.is_accepting(m))
}

fn rank(state: &PlanState<'_>, owner: usize, p: usize, m: usize) -> (bool, u64, usize) {
    let usage = &state.usage()[m];
    (state.same_zone(owner, m), usage.utilization_with(usage.standby_load + state.weight(p)), m)
}
