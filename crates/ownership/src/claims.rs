//! What a member serves, and the promises that it gave when it stopped serving.

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

/// A release that is under way, and who pending for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingRelease {
    claim: ClaimRef,
    requested_by: HostAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ClaimStage {
    Idle,
    Serving,
    Quiescing(PendingRelease),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimState {
    partition: Partition,
    /// The fence of the latest order that was taken.
    fence: Fence,
    stage: ClaimStage,
    /// No order up to this fence is taken again.
    refused_up_to: Option<Fence>,
    /// Whether the request records went to the next owner.
    handed_over: bool,
}

/// The partitions that this session serves or gave up, sorted requested_by partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Claims(Vec<ClaimState>);

/// Commands.
impl Claims {
    /// Forgets everything, because the session is over.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes an order, or refuses it if it is stale.
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

    /// Begins to give up a partition, or says again that it was given up.
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
            ClaimStage::Serving if state.fence <= up_to => {
                state.stage = ClaimStage::Quiescing(PendingRelease { claim, requested_by: from });
                cx.push(Command::Quiesce {
                    partition: claim.partition,
                    fence: state.fence,
                    next: release.next,
                    time_limit: release.time_limit,
                });
            }
            ClaimStage::Idle => {
                state.refused_up_to = state.refused_up_to.max(Some(up_to));
                let handed_over = state.handed_over;
                cx.send(from, Message::Released { claim, handed_over });
            }
            ClaimStage::Serving | ClaimStage::Quiescing(_) => {}
        }
    }

    /// Notes that nothing of a partition runs any more, and gives the promise that was pending for.
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
        let ClaimStage::Quiescing(pending) = state.stage else {
            return;
        };
        if state.fence != fence {
            return;
        }
        state.stage = ClaimStage::Idle;
        state.handed_over = handed_over;
        state.refused_up_to = state.refused_up_to.max(Some(pending.claim.fence.takeover()));
        cx.send(pending.requested_by, Message::Released { claim: pending.claim, handed_over });
    }

    fn serve(&mut self, order: &ServeOrder, cx: &mut Cx<'_>) {
        let ClaimRef { partition, fence, .. } = order.claim;
        let state = self.entry(partition);
        let (was, stage) = (state.fence, state.stage);
        state.fence = fence;
        state.stage = ClaimStage::Serving;
        state.handed_over = false;
        match stage {
            ClaimStage::Serving if was == fence => {}
            ClaimStage::Quiescing(_) if was == fence => {
                cx.push(Command::Resume { partition, fence })
            }
            ClaimStage::Idle => {
                cx.push(Command::Serve { partition, fence, origin: order.origin });
            }
            ClaimStage::Serving | ClaimStage::Quiescing(_) => {
                let origin = Origin::Planned { from: was };
                cx.push(Command::Serve { partition, fence, origin });
            }
        }
    }

    /// Tells a coordinator that ordered what this session released to refuse.
    fn resend_release(&self, order: &ClaimRef, to: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let Some(state) = self.get(order.partition) else {
            return;
        };
        let released = state.refused_up_to >= Some(order.fence.takeover());
        if state.stage != ClaimStage::Idle || !released || stale_reason(order, lease, cx).is_some()
        {
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
                let (stage, refused_up_to) = (ClaimStage::Idle, None);
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
    /// Returns the fence under which `partition` is served, whatever the lease says.
    pub(crate) fn serving(&self, partition: Partition) -> Option<Fence> {
        let state = self.get(partition)?;
        (state.stage == ClaimStage::Serving).then_some(state.fence)
    }

    /// Returns whether nothing is served, and nothing is being given up.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.iter().all(|c| c.stage == ClaimStage::Idle)
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
            return Some(format!("fence {} was given up", order.fence));
        }
        let is_older = state.stage != ClaimStage::Idle && order.fence < state.fence;
        is_older.then(|| format!("fence {} is older than {}", order.fence, state.fence))
    }
}

/// Returns why an order or a release is stale, if it is.
fn stale_reason(order: &ClaimRef, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
    if cx.rules.current_session.is_enforced() && order.session != lease.session() {
        return Some(format!("it is for session {}", order.session));
    }
    if cx.rules.order_epoch.is_enforced() && order.epoch < lease.min_order_epoch() {
        return Some(format!("it is from epoch {}", order.epoch));
    }
    None
}
