//! What a member serves, and the promises that it gave when it stopped serving.

use model::{Fence, HostAddr, Partition};

use crate::cx::Cx;
use crate::lease::Lease;
use crate::{Command, Message, Origin, Release, Transfer};

/// An order to serve a partition.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) transfer: Transfer,
    pub(crate) origin: Origin,
}

/// A release that is under way, and who asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Asked {
    transfer: Transfer,
    by: HostAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Serving,
    Quiescing(Asked),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Claim {
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
pub(crate) struct Claims(Vec<Claim>);

/// Commands.
impl Claims {
    /// Forgets everything, because the session is over.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes an order, or refuses it if it is stale.
    pub(crate) fn take(&mut self, order: &Order, from: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let transfer = order.transfer;
        if let Some(reason) = self.objection(&transfer, lease, cx) {
            cx.record(Some(transfer.partition), "stale-message", reason);
            self.repeat_promise(&transfer, from, lease, cx);
            return;
        }
        if cx.rules.lease_for_order.is_kept() && !lease.is_valid(cx.now) {
            return;
        }
        self.serve(order, cx);
        cx.send(from, Message::Serving(transfer));
    }

    /// Begins to give up a partition, or says again that it was given up.
    pub(crate) fn release(
        &mut self,
        release: &Release,
        from: HostAddr,
        lease: &Lease,
        cx: &mut Cx<'_>,
    ) {
        let transfer = release.transfer;
        if let Some(reason) = order_objection(&transfer, lease, cx) {
            cx.record(Some(transfer.partition), "stale-message", reason);
            return;
        }
        let claim = self.entry(transfer.partition);
        let upto = transfer.fence.takeover();
        match claim.stage {
            Stage::Serving if claim.fence <= upto => {
                claim.stage = Stage::Quiescing(Asked { transfer, by: from });
                cx.push(Command::Quiesce {
                    partition: transfer.partition,
                    fence: claim.fence,
                    next: release.next,
                    time_limit: release.time_limit,
                });
            }
            Stage::Idle => {
                claim.refused_to = claim.refused_to.max(Some(upto));
                let handed_over = claim.handed_over;
                cx.send(from, Message::Released { transfer, handed_over });
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
        let Some(claim) = self.0.iter_mut().find(|c| c.partition == partition) else {
            return;
        };
        let Stage::Quiescing(asked) = claim.stage else {
            return;
        };
        if claim.fence != fence {
            return;
        }
        claim.stage = Stage::Idle;
        claim.handed_over = handed_over;
        claim.refused_to = claim.refused_to.max(Some(asked.transfer.fence.takeover()));
        cx.send(asked.by, Message::Released { transfer: asked.transfer, handed_over });
    }

    fn serve(&mut self, order: &Order, cx: &mut Cx<'_>) {
        let Transfer { partition, fence, .. } = order.transfer;
        let claim = self.entry(partition);
        let (was, stage) = (claim.fence, claim.stage);
        claim.fence = fence;
        claim.stage = Stage::Serving;
        claim.handed_over = false;
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
    fn repeat_promise(&self, order: &Transfer, to: HostAddr, lease: &Lease, cx: &mut Cx<'_>) {
        let Some(claim) = self.get(order.partition) else {
            return;
        };
        let promised = claim.refused_to >= Some(order.fence.takeover());
        if claim.stage != Stage::Idle || !promised || order_objection(order, lease, cx).is_some() {
            return;
        }
        let handed_over = claim.handed_over;
        cx.send(to, Message::Released { transfer: *order, handed_over });
    }

    fn entry(&mut self, partition: Partition) -> &mut Claim {
        let index = match self.0.binary_search_by_key(&partition, |c| c.partition) {
            Ok(index) => index,
            Err(index) => {
                let fence = Fence::default();
                let (stage, refused_to) = (Stage::Idle, None);
                let claim = Claim { partition, fence, stage, refused_to, handed_over: false };
                self.0.insert(index, claim);
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
        let claim = self.get(partition)?;
        (claim.stage == Stage::Serving).then_some(claim.fence)
    }

    /// Returns whether nothing is served, and nothing is being given up.
    pub(crate) fn is_idle(&self) -> bool {
        self.0.iter().all(|c| c.stage == Stage::Idle)
    }

    fn get(&self, partition: Partition) -> Option<&Claim> {
        let index = self.0.binary_search_by_key(&partition, |c| c.partition).ok()?;
        self.0.get(index)
    }

    fn objection(&self, order: &Transfer, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
        if let Some(reason) = order_objection(order, lease, cx) {
            return Some(reason);
        }
        let claim = self.get(order.partition)?;
        let refused_to = claim.refused_to.filter(|_| cx.rules.release_promise.is_kept());
        if refused_to >= Some(order.fence) {
            return Some(format!("fence {} was given up", order.fence));
        }
        let is_older = claim.stage != Stage::Idle && order.fence < claim.fence;
        is_older.then(|| format!("fence {} is older than {}", order.fence, claim.fence))
    }
}

/// Returns why an order or a release is stale, if it is.
fn order_objection(order: &Transfer, lease: &Lease, cx: &Cx<'_>) -> Option<String> {
    if cx.rules.current_session.is_kept() && order.session != lease.session() {
        return Some(format!("it is for session {}", order.session));
    }
    if cx.rules.order_epoch.is_kept() && order.epoch < lease.order_epoch() {
        return Some(format!("it is from epoch {}", order.epoch));
    }
    None
}
