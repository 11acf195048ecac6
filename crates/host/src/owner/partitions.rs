//! Carries out what the ownership protocol decides about this host's partitions.

use model::{Fence, HostAddr, Millis, Partition};
use ownership::{Event, Origin};
use routing::records::PartitionHandover;
use wire::{Handover, Reply, handover_calls};

use super::grants;
use crate::context::Cx;

/// How long the next owner may take to take request records over.
const HANDOVER_TIMEOUT: Millis = Millis(1_000);

/// Starts to serve a partition, or goes on serving it under a higher fence.
pub fn serve(cx: &Cx, partition: Partition, fence: Fence, origin: Origin) {
    let before = cx.owner.record_fence(partition, fence);
    let mut records = cx.owner.records.borrow_mut();
    // If this host was the last owner itself, its records are whole and nothing was handed over.
    if before.is_some_and(|from| origin == (Origin::Planned { from })) {
        records.resume(partition);
        log::info!("owner: Goes on serving partition {partition} under fence {fence}.");
    } else {
        let started = records.start(partition, origin, cx.wall_clock.now());
        log::info!("owner: Serves partition {partition} under fence {fence}: {started:?}.");
    }
    drop(records);
    cx.owner.end_release(partition);
    grants::send(cx);
}

/// Takes request records of a partition that is about to be assigned to this host.
pub fn receive_handover(cx: &Cx, handover: Handover) {
    let Handover { cell, partition, fence, complete_from, records } = handover;
    if cell != cx.settings.cell {
        return;
    }
    let handed = PartitionHandover { fence, complete_from, records };
    cx.owner.records.borrow_mut().receive_handover(partition, handed, cx.wall_clock.now());
}

/// Goes on with a partition that was being released.
pub fn resume(cx: &Cx, partition: Partition, fence: Fence) {
    log::info!("owner: Resumes partition {partition} under fence {fence}.");
    cx.owner.records.borrow_mut().resume(partition);
    cx.owner.end_release(partition);
    grants::send(cx);
}

/// Stops everything at once: the lease is lost.
pub fn stop_all(cx: &Cx) {
    log::warn!("owner: Stops serving all partitions.");
    cx.owner.records.borrow_mut().drop_all();
    cx.owner.last_fences.borrow_mut().clear();
    cx.owner.releasing.borrow_mut().clear();
    // Dropping an entry cancels its request.
    let has_partition = |i: &super::InFlight| i.partition.is_some();
    cx.owner.in_flight.borrow_mut().retain(|i| !has_partition(i));
    grants::send(cx);
}

/// Takes no new work for a partition, waits until what runs has ended, and hands the records on.
///
/// What runs is never cut off for a planned move. If it does not end in time, the move fails.
pub fn quiesce(
    cx: &Cx,
    partition: Partition,
    fence: Fence,
    next: Option<HostAddr>,
    time_limit: Millis,
) {
    let cx = cx.clone();
    let releasing = cx.owner.start_release(partition);
    actix_rt::spawn(async move {
        let quiesced = tokio::time::timeout(time_limit.into(), quiesced(&cx, partition)).await;
        if quiesced.is_err() {
            // The coordinator calls the move off, and the partition is served here as before.
            log::info!("owner: Keeps partition {partition}, whose requests did not end in time.");
            return;
        }
        if !cx.owner.is_release_current(releasing) {
            return;
        }
        let handed_over = hand_over(&cx, partition, fence, next).await;
        // The release may have been called off meanwhile, and requests may run again since.
        if !cx.owner.is_release_current(releasing) {
            return;
        }
        cx.feed(Event::Quiesced { partition, fence, handed_over });
        grants::send(&cx);
    });
}

/// Waits until no request of the partition runs at the backend server.
async fn quiesced(cx: &Cx, partition: Partition) {
    loop {
        let finished = cx.owner.request_finished.notified();
        let busy = cx.owner.in_flight.borrow().iter().any(|i| i.partition == Some(partition));
        let recorded = cx.owner.records.borrow().running(partition) > 0;
        if !busy && !recorded {
            return;
        }
        finished.await;
    }
}

async fn hand_over(cx: &Cx, partition: Partition, fence: Fence, next: Option<HostAddr>) -> bool {
    let handed = cx.owner.records.borrow_mut().hand_over(partition, cx.wall_clock.now());
    let (Some(next), Some((complete_from, records))) = (next, handed) else {
        return false;
    };
    let cell = cx.settings.cell.clone();
    let handover = Handover { cell, partition, fence, complete_from, records };
    for call in handover_calls(handover) {
        match cx.client.call(next, call, HANDOVER_TIMEOUT).await {
            Ok(Reply::Done) => {}
            Ok(other) => {
                log::warn!("owner: {next} did not take the records of {partition}: {other:?}.");
                return false;
            }
            Err(error) => {
                log::warn!("owner: {next} did not take the records of {partition}: {error}.");
                return false;
            }
        }
    }
    true
}
