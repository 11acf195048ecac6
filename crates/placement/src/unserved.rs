//! Assigns owners to partitions that are unserved or about to lose their owner.

use crate::MemberStage;
use crate::plan_state::PlanState;

/// Assigns owners to the partitions that no member serves.
///
/// The standby is preferred even if other members have less load: it has already claimed the
/// partition, so the change needs one response fewer and the keys are served again sooner.
pub(crate) fn assign(state: &mut PlanState<'_>) {
    for p in state.heaviest_first(is_unserved) {
        assign_one(state, p);
    }
}

/// Assigns new owners to the partitions of draining members.
pub(crate) fn assign_draining(state: &mut PlanState<'_>) {
    for p in state.heaviest_first(is_owner_draining) {
        assign_one(state, p);
    }
}

fn assign_one(state: &mut PlanState<'_>, p: usize) {
    let standby = state.standby(p).filter(|&m| state.is_accepting(m));
    let target = standby.or_else(|| state.least_loaded(state.weight(p)));
    if let Some(m) = target {
        state.set_owner(p, m);
    }
}

fn is_unserved(state: &PlanState<'_>, p: usize) -> bool {
    state.owner(p).is_none_or(|m| state.member(m).slots == 0)
}

fn is_owner_draining(state: &PlanState<'_>, p: usize) -> bool {
    state.owner(p).is_some_and(|m| state.member(m).stage == MemberStage::Draining)
}
