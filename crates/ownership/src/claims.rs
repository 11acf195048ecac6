//! What a member serves, and the promises that it gave when it stopped serving.

use model::{Fence, HostAddr, Partition};

use crate::cx::Cx;
use crate::lease::Lease;
use crate::{ClaimRef, Command, Message, Origin, Release};

/// An order to serve a partition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) claim: ClaimRef,
    pub(crate) origin: Origin,
}

/// A release that is under way, and who asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    claim: ClaimRef,
    by: HostAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Serving,
    Quiescing(Asked),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClaimState {
    partition: Partition,
    /// The fence of the latest order that was taken.
    fence: Fence,
    stage: Stage,
    /// No order up to this fence is taken again.
    refused_to: Option<Fence>,
    /// Whether the request records went to the next owner.
    handed_over: bool,
}

/// The partitions that this session serves or gave up, sorted by partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Claims(Vec<ClaimState>);

/// Commands.
impl Claims {
    /// Forgets everything, because the session is over.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes an order, or refuses it if it is stale.
    pub(crate) fn take(&mut self, order: &Order, from: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let claim = order.claim;
        if let Some(reason) = self.objection(&claim, lease, cx) {
            cx.record(Some(claim.partition), "stale-message", reason);
            self.repeat_promise(&claim, from, lease, cx);
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
        if let Some(reason) = order_objection(&claim, lease, cx) {
            cx.record(Some(claim.partition), "stale-message", reason);
            return;
        }
        let state = self.entry(claim.partition);
        let upto = claim.fence.takeover();
        match state.stage {
            Stage::Serving if state.fence <= upto => {
                state.stage = Stage::Quiescing(Asked { claim, by: from });
                cx.push(Command::Quiesce {
                    partition: claim.partition,
                    fence: state.fence,
                    next: release.next,
                    time_limit: release.time_limit,
                });
            }
            Stage::Idle => {
                state.refused_to = state.refused_to.max(Some(upto));
                let handed_over = state.handed_over;
                cx.send(from, Message::Released { claim, handed_over });
            }
            Stage::Serving | Stage::Quiescing(_) => {}
        }
    }

    /// Notes that nothing of a partition runs any more, and gives the promise that was asked for.
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
        let Stage::Quiescing(asked) = state.stage else {
            return;
        };
        if state.fence != fence {
            return;
        }
        state.stage = Stage::Idle;
        state.handed_over = handed_over;
        state.refused_to = state.refused_to.max(Some(asked.claim.fence.takeover()));
        cx.send(asked.by, Message::Released { claim: asked.claim, handed_over });
    }

    fn serve(&mut self, order: &Order, cx: &mut Cx<'_>) {
        let ClaimRef { partition, fence, .. } = order.claim;
        let state = self.entry(partition);
        let (was, stage) = (state.fence, state.stage);
        state.fence = fence;
        state.stage = Stage::Serving;
        state.handed_over = false;
        match stage {
            Stage::Serving if was == fence => {}
            Stage::Quiescing(_) if was == fence => cx.push(Command::Resume { partition, fence }),
            Stage::Idle => {
                cx.push(Command::Serve { partition, fence, origin: order.origin });
            }
            Stage::Serving | Stage::Quiescing(_) => {
                let origin = Origin::Planned { from: was };
                cx.push(Command::Serve { partition, fence, origin });
            }
        }
    }

    /// Tells a coordinator that ordered what this session promised to refuse.
    fn repeat_promise(&self, order: &ClaimRef, to: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let Some(state) = self.get(order.partition) else {
            return;
        };
        let promised = state.refused_to >= Some(order.fence.takeover());
        if state.stage != Stage::Idle || !promised || order_objection(order, lease, cx).is_some() {
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
                let (stage, refused_to) = (Stage::Idle, None);
                let state = ClaimState { partition, fence, stage, refused_to, handed_over: false };
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
        (state.stage == Stage::Serving).then_some(state.fence)
    }

    /// Returns whether nothing is served, and nothing is being given up.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.iter().all(|c| c.stage == Stage::Idle)
    }

    fn get(&self, partition: Partition) -> Option<&ClaimState> {
        let index = self.0.binary_search_by_key(&partition, |c| c.partition).ok()?;
        self.0.get(index)
    }

    fn objection(&self, order: &ClaimRef, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
        if let Some(reason) = order_objection(order, lease, cx) {
            return Some(reason);
        }
        let state = self.get(order.partition)?;
        let refused_to = state.refused_to.filter(|_| cx.rules.release_promise.is_enforced());
        if refused_to >= Some(order.fence) {
            return Some(format!("fence {} was given up", order.fence));
        }
        let is_older = state.stage != Stage::Idle && order.fence < state.fence;
        is_older.then(|| format!("fence {} is older than {}", order.fence, state.fence))
    }
}

/// Returns why an order or a release is stale, if it is.
fn order_objection(order: &ClaimRef, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
    if cx.rules.current_session.is_enforced() && order.session != lease.session() {
        return Some(format!("it is for session {}", order.session));
    }
    if cx.rules.order_epoch.is_enforced() && order.epoch < lease.order_epoch() {
        return Some(format!("it is from epoch {}", order.epoch));
    }
    None
}
