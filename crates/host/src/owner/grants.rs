//! Sends grants to a backend server that checks fencing tokens: which partitions it may serve, and
//! until when.
//!
//! Only one list is sent at a time, so that an older list never arrives after a newer one.

use std::cell::{Cell, RefCell};

use model::{Fence, Millis, NotRunReason, Partition};
use tokio::sync::Notify;

use crate::backend::{BackendView, FenceCheck, Grant, Grants};
use crate::context::Cx;

/// How long a request waits for the backend server to acknowledge the grant of its partition.
const GRANT_TIMEOUT: Millis = Millis(500);

/// The state of sending grants to the backend server.
#[derive(Default)]
pub(super) struct GrantState {
    pending: Cell<bool>,
    sending: Cell<bool>,
    /// The last list that the backend server acknowledged, sorted by partition.
    acknowledged: RefCell<Vec<Grant>>,
    changed: Notify,
}

impl GrantState {
    fn is_acknowledged(&self, partition: Partition, fence: Fence) -> bool {
        let acknowledged = self.acknowledged.borrow();
        let index = acknowledged.binary_search_by_key(&partition, |g| g.partition);
        index.is_ok_and(|i| acknowledged[i].fence == fence)
    }
}

/// Sends the current list, after any list that is still being sent.
pub fn send(cx: &Cx) {
    let state = &cx.owner.grants;
    state.pending.set(true);
    if state.sending.replace(true) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        while cx.owner.grants.pending.replace(false) {
            send_once(&cx).await;
        }
        cx.owner.grants.sending.set(false);
    });
}

async fn send_once(cx: &Cx) {
    let Some(view) = fence_checking_backend(cx) else {
        return;
    };
    let grants = current_grants(cx);
    if cx.backend.grant(view.addr, &grants).await.is_ok() {
        cx.owner.grants.acknowledged.replace(grants.grants);
        cx.owner.grants.changed.notify_waiters();
    }
}

fn fence_checking_backend(cx: &Cx) -> Option<BackendView> {
    cx.backend.view().filter(|v| v.fences == FenceCheck::Checked)
}

fn current_grants(cx: &Cx) -> Grants {
    let now = cx.now();
    let node = cx.node.borrow();
    // The backend server measures the time from the arrival of the list, so the margin covers the
    // transit time.
    let margin = cx.settings.timing.drift_margin;
    let time_left = node.lease(now).map_or(Millis::ZERO, |(_, end)| end.since(now + margin));
    let (first, end) = node.settings().partitions;
    let grants = (first.0..end.0).filter_map(|index| {
        let partition = Partition(index);
        node.serves(partition, now).map(|fence| Grant { partition, fence })
    });
    Grants { grants: grants.collect(), time_left_ms: time_left.0 }
}

/// Waits until the backend server has acknowledged the grant of a partition. Returns immediately
/// if it does not check fencing tokens.
pub(super) async fn await_acknowledged(
    cx: &Cx,
    partition: Partition,
    fence: Fence,
) -> Result<(), NotRunReason> {
    let deadline = cx.now() + GRANT_TIMEOUT;
    while fence_checking_backend(cx).is_some() && !cx.owner.grants.is_acknowledged(partition, fence)
    {
        let left = deadline.since(cx.now());
        if left == Millis::ZERO {
            return Err(NotRunReason::BackendRefused);
        }
        let changed = cx.owner.grants.changed.notified();
        let _ = tokio::time::timeout(left.into(), changed).await;
    }
    Ok(())
}
