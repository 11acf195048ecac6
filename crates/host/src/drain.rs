//! A planned stop: the host hands its partitions over, finishes what runs and ends.

use std::time::Duration;

use model::Millis;
use ownership::Event;

use crate::context::Cx;
use crate::owner;

/// The pause between two looks at what is still running.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a host without a configuration may take to finish.
const DEFAULT_DRAIN_TIMEOUT: Millis = Millis(30_000);

/// Begins to leave. Further calls change nothing.
pub fn begin(cx: &Cx) {
    if cx.draining.replace(true) {
        return;
    }
    log::info!("drain: Begins.");
    metrics::counter!("papayarill_drains_total").increment(1);
    cx.draining_updates.send_replace(true);
    cx.feed(Event::Reported(owner::report(cx)));
    cx.feed(Event::Drain);
    cx.drain_requested.notify_one();
}

/// Waits until this host owns nothing and nothing runs here, or until the deadline.
pub async fn wait_until_drained(cx: &Cx) {
    let limit = cx.own_service().map_or(DEFAULT_DRAIN_TIMEOUT, |s| s.drain_deadline);
    let deadline = cx.now() + limit;
    let drained = tokio::time::timeout(limit.into(), cx.drained.notified()).await;
    if drained.is_err() {
        log::warn!("drain: Partitions were left at the deadline.");
    }
    while cx.now() < deadline {
        if cx.owner.running() == 0 && cx.owner.waiting() == 0 {
            log::info!("drain: Ends with nothing left.");
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    log::warn!(
        "drain: Ends at the deadline with {} requests running and {} waiting.",
        cx.owner.running(),
        cx.owner.waiting()
    );
}
