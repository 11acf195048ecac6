//! Executes the commands of the ownership protocol for this host's partitions.

use model::{Fence, HostAddr, Millis, Partition};
use ownership::{Event, Origin};
use routing::records::PartitionHandover;
use wire::{Handover, Reply, handover_calls};

use super::grants;
use crate::context::Cx;

/// Timeout of each call that hands request records over to the next owner.
const HANDOVER_TIMEOUT: Millis = Millis(1_000);

/// Starts to serve a partition, or continues to serve it under a higher fencing token.
pub fn serve(cx: &Cx, partition: Partition, fence: Fence, origin: Origin) {
    let before = cx.owner.record_fence(partition, fence);
    let mut records = cx.owner.records.borrow_mut();
    // This host was the previous owner itself: its records are complete, without a handover.
    if before.is_some_and(|from| origin == (Origin::Planned { from })) {
        records.resume(partition);
        log::info!("owner: Continues to serve partition {partition} under fence {fence}.");
    } else {
        let history = records.start(partition, origin, cx.wall_clock.now());
        log::info!("owner: Serves partition {partition} under fence {fence}: {history:?}.");
    }
    drop(records);
    cx.owner.end_release(partition);
    grants::send(cx);
}

/// Receives the request records of a partition that is about to be assigned to this host.
pub fn receive_handover(cx: &Cx, handover: Handover) {
    let Handover { cell, partition, fence, complete_from, records } = handover;
    if cell != cx.settings.cell {
        return;
    }
    let handover = PartitionHandover { fence, complete_from, records };
    cx.owner.records.borrow_mut().receive_handover(partition, handover, cx.wall_clock.now());
}

/// Resumes serving a partition whose release was cancelled.
pub fn resume(cx: &Cx, partition: Partition, fence: Fence) {
    log::info!("owner: Resumes partition {partition} under fence {fence}.");
    cx.owner.records.borrow_mut().resume(partition);
    cx.owner.end_release(partition);
    grants::send(cx);
}

/// Stops serving all partitions immediately, because the lease is lost.
pub fn stop_all(cx: &Cx) {
    log::warn!("owner: Stops serving all partitions: the lease is lost.");
    cx.owner.records.borrow_mut().drop_all();
    cx.owner.last_fences.borrow_mut().clear();
    cx.owner.releasing.borrow_mut().clear();
    // Dropping an entry cancels its request. Requests without a partition continue.
    let has_partition = |i: &super::InFlight| i.partition.is_some();
    cx.owner.in_flight.borrow_mut().retain(|i| !has_partition(i));
    grants::send(cx);
}

/// Rejects new requests for a partition, waits for the running ones to end, and hands the request
/// records over to the next owner.
///
/// A planned move never aborts running requests. If they do not end in time, the move fails.
pub fn quiesce(
    cx: &Cx,
    partition: Partition,
    fence: Fence,
    next: Option<HostAddr>,
    time_limit: Millis,
) {
    let cx = cx.clone();
    let release = cx.owner.start_release(partition);
    actix_rt::spawn(async move {
        let quiesced =
            tokio::time::timeout(time_limit.into(), await_quiescent(&cx, partition)).await;
        if quiesced.is_err() {
            // The coordinator cancels the move, and this host continues to serve the partition.
            log::info!("owner: Keeps partition {partition}: its requests did not end in time.");
            return;
        }
        if !cx.owner.is_release_current(release) {
            return;
        }
        let handed_over = hand_over(&cx, partition, fence, next).await;
        // The release may have been cancelled during the handover; requests may be running again.
        if !cx.owner.is_release_current(release) {
            return;
        }
        cx.feed(Event::Quiesced { partition, fence, handed_over });
        grants::send(&cx);
    });
}

/// Waits until no request of the partition is running.
async fn await_quiescent(cx: &Cx, partition: Partition) {
    loop {
        let finished = cx.owner.request_finished.notified();
        let in_flight = cx.owner.in_flight.borrow().iter().any(|i| i.partition == Some(partition));
        let has_running_records = cx.owner.records.borrow().running(partition) > 0;
        if !in_flight && !has_running_records {
            return;
        }
        finished.await;
    }
}

async fn hand_over(cx: &Cx, partition: Partition, fence: Fence, next: Option<HostAddr>) -> bool {
    let taken = cx.owner.records.borrow_mut().hand_over(partition, cx.wall_clock.now());
    let (Some(next), Some((complete_from, records))) = (next, taken) else {
        return false;
    };
    let cell = cx.settings.cell.clone();
    let handover = Handover { cell, partition, fence, complete_from, records };
    for call in handover_calls(handover) {
        match cx.client.call(next, call, HANDOVER_TIMEOUT).await {
            Ok(Reply::Done) => {}
            Ok(other) => {
                log::warn!("owner: {next} did not accept the records of {partition}: {other:?}.");
                return false;
            }
            Err(error) => {
                log::warn!("owner: {next} did not accept the records of {partition}: {error}.");
                return false;
            }
        }
    }
    true
}
