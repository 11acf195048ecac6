//! Draining before a planned stop: the host hands over its partitions and finishes the requests
//! that still run.

use std::time::Duration;

use model::Millis;
use ownership::Event;

use crate::context::Cx;
use crate::owner;

/// The interval at which running and queued requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The drain timeout of a host whose service is not in the configuration.
const DEFAULT_DRAIN_TIMEOUT: Millis = Millis(30_000);

/// Starts draining. Further calls have no effect.
pub fn begin(cx: &Cx) {
    if cx.draining.replace(true) {
        return;
    }
    log::info!("drain: Started.");
    metrics::counter!("papayarill_drains_total").increment(1);
    cx.draining_updates.send_replace(true);
    cx.feed(Event::Reported(owner::report(cx)));
    cx.feed(Event::Drain);
    cx.drain_requested.notify_one();
}

/// Waits until this host owns no partition and no request runs or waits here, or until the drain
/// deadline.
pub async fn wait_until_drained(cx: &Cx) {
    let limit = cx.own_service().map_or(DEFAULT_DRAIN_TIMEOUT, |s| s.drain_deadline);
    let deadline = cx.now() + limit;
    let drained = tokio::time::timeout(limit.into(), cx.drained.notified()).await;
    if drained.is_err() {
        log::warn!("drain: Not all partitions were handed over by the deadline.");
    }
    while cx.now() < deadline {
        if cx.owner.running() == 0 && cx.owner.waiting() == 0 {
            log::info!("drain: Completed.");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::warn!(
        "drain: Deadline reached with {} requests running and {} waiting.",
        cx.owner.running(),
        cx.owner.waiting()
    );
}
