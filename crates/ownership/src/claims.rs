//! The partitions that a member serves, and the fences that it refuses after releasing one.

use model::{Fence, HostAddr, Partition};

use crate::cx::Cx;
use crate::lease::Lease;
use crate::{ClaimRef, Command, Message, Origin, Release};

/// An order to serve a partition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServeOrder {
    pub(crate) claim: ClaimRef,
    pub(crate) origin: Origin,
}

/// A release that is in progress, and the coordinator that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRelease {
    claim: ClaimRef,
    requested_by: HostAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Serving,
    Quiescing(PendingRelease),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimState {
    partition: Partition,
    /// The fence of the latest accepted order.
    fence: Fence,
    stage: Stage,
    /// Orders up to this fence are refused, because the claim was released.
    refused_up_to: Option<Fence>,
    /// Whether the request records reached the next owner.
    handed_over: bool,
}

/// The partitions that this session serves or released, sorted by partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Claims(Vec<ClaimState>);

/// Commands.
impl Claims {
    /// Removes all claims, because the session is over.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Accepts an order to serve, or refuses it if it is stale.
    pub(crate) fn accept(
        &mut self,
        order: &ServeOrder,
        from: HostAddr,
        lease: &Lease,
        cx: &mut Cx<'_>,
    ) {
        let claim = order.claim;
        if let Some(reason) = self.rejection_reason(&claim, lease, cx) {
            cx.record(Some(claim.partition), "stale-message", reason);
            self.resend_release(&claim, from, lease, cx);
            return;
        }
        if cx.rules.lease_for_order.is_enforced() && !lease.is_valid(cx.now) {
            return;
        }
        self.serve(order, cx);
        cx.send(from, Message::Serving(claim));
    }

    /// Starts to release a partition, or confirms again that it was released.
    pub(crate) fn release(
        &mut self,
        release: &Release,
        from: HostAddr,
        lease: &Lease,
        cx: &mut Cx<'_>,
    ) {
        let claim = release.claim;
        if let Some(reason) = stale_reason(&claim, lease, cx) {
            cx.record(Some(claim.partition), "stale-message", reason);
            return;
        }
        let state = self.entry(claim.partition);
        let up_to = claim.fence.takeover();
        match state.stage {
            Stage::Serving if state.fence <= up_to => {
                state.stage = Stage::Quiescing(PendingRelease { claim, requested_by: from });
                cx.push(Command::Quiesce {
                    partition: claim.partition,
                    fence: state.fence,
                    next: release.next,
                    time_limit: release.time_limit,
                });
            }
            Stage::Idle => {
                state.refused_up_to = state.refused_up_to.max(Some(up_to));
                let handed_over = state.handed_over;
                cx.send(from, Message::Released { claim, handed_over });
            }
            Stage::Serving | Stage::Quiescing(_) => {}
        }
    }

    /// Completes a release once no request of the partition runs any more.
    pub(crate) fn on_quiesced(
        &mut self,
        partition: Partition,
        fence: Fence,
        handed_over: bool,
        cx: &mut Cx<'_>,
    ) {
        let Some(state) = self.0.iter_mut().find(|c| c.partition == partition) else {
            return;
        };
        let Stage::Quiescing(pending) = state.stage else {
            return;
        };
        if state.fence != fence {
            return;
        }
        state.stage = Stage::Idle;
        state.handed_over = handed_over;
        state.refused_up_to = state.refused_up_to.max(Some(pending.claim.fence.takeover()));
        cx.send(pending.requested_by, Message::Released { claim: pending.claim, handed_over });
    }

    fn serve(&mut self, order: &ServeOrder, cx: &mut Cx<'_>) {
        let ClaimRef { partition, fence, .. } = order.claim;
        let state = self.entry(partition);
        let (previous_fence, stage) = (state.fence, state.stage);
        state.fence = fence;
        state.stage = Stage::Serving;
        state.handed_over = false;
        match stage {
            Stage::Serving if previous_fence == fence => {}
            Stage::Quiescing(_) if previous_fence == fence => {
                cx.push(Command::Resume { partition, fence });
            }
            Stage::Idle => {
                cx.push(Command::Serve { partition, fence, origin: order.origin });
            }
            Stage::Serving | Stage::Quiescing(_) => {
                let origin = Origin::Planned { from: previous_fence };
                cx.push(Command::Serve { partition, fence, origin });
            }
        }
    }

    /// Confirms a release again to a coordinator that orders to serve what was released.
    fn resend_release(&self, order: &ClaimRef, to: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let Some(state) = self.get(order.partition) else {
            return;
        };
        let released = state.refused_up_to >= Some(order.fence.takeover());
        if state.stage != Stage::Idle || !released || stale_reason(order, lease, cx).is_some() {
            return;
        }
        let handed_over = state.handed_over;
        cx.send(to, Message::Released { claim: *order, handed_over });
    }

    fn entry(&mut self, partition: Partition) -> &mut ClaimState {
        let index = match self.0.binary_search_by_key(&partition, |c| c.partition) {
            Ok(index) => index,
            Err(index) => {
                let fence = Fence::default();
                let (stage, refused_up_to) = (Stage::Idle, None);
                let state =
                    ClaimState { partition, fence, stage, refused_up_to, handed_over: false };
                self.0.insert(index, state);
                index
            }
        };
        &mut self.0[index]
    }
}

/// Queries.
impl Claims {
    /// Returns the fence under which `partition` is served, whether or not the lease is valid.
    pub(crate) fn serving(&self, partition: Partition) -> Option<Fence> {
        let state = self.get(partition)?;
        (state.stage == Stage::Serving).then_some(state.fence)
    }

    /// Returns whether no partition is served or being released.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.iter().all(|c| c.stage == Stage::Idle)
    }

    fn get(&self, partition: Partition) -> Option<&ClaimState> {
        let index = self.0.binary_search_by_key(&partition, |c| c.partition).ok()?;
        self.0.get(index)
    }

    fn rejection_reason(&self, order: &ClaimRef, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
        if let Some(reason) = stale_reason(order, lease, cx) {
            return Some(reason);
        }
        let state = self.get(order.partition)?;
        let refused_up_to = state.refused_up_to.filter(|_| cx.rules.release_promise.is_enforced());
        if refused_up_to >= Some(order.fence) {
            return Some(format!("fence {} was released", order.fence));
        }
        let is_older = state.stage != Stage::Idle && order.fence < state.fence;
        is_older.then(|| format!("fence {} is older than {}", order.fence, state.fence))
    }
}

/// Returns why an order to serve or to release is stale, if it is.
fn stale_reason(order: &ClaimRef, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
    if cx.rules.current_session.is_enforced() && order.session != lease.session() {
        return Some(format!("the order is for session {}", order.session));
    }
    if cx.rules.order_epoch.is_enforced() && order.epoch < lease.min_order_epoch() {
        return Some(format!("the order is from epoch {}", order.epoch));
    }
    None
}
