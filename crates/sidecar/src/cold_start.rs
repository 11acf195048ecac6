//! The cold periods of this host's backend server: what its heartbeats say about them, and the start
//! of the requests that are held back meanwhile.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use model::Millis;
use tokio::time::{sleep, timeout};

use crate::state::{Cx, State};

/// How often requests are started that were held back: short compared to a run, and idle processes
/// do nothing at this rate.
const START_INTERVAL: Duration = Duration::from_millis(20);

/// How often a process looks for requests that are held back while there are none.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts requests that are held back while the backend server is cold, until the process ends.
pub async fn start_held_back(cx: Rc<Cx>) {
    loop {
        let (cold, waiting) = {
            let queue = &cx.state.borrow().queue;
            (queue.cold_start().cold_until(cx.now()).is_some(), queue.waiting() > 0)
        };
        match (cold, waiting) {
            (true, true) => {
                sleep(START_INTERVAL).await;
                // Also if the cold period ended meanwhile.
                cx.start_queued();
            }
            (true, false) => sleep(START_INTERVAL).await,
            // A timeout and a notification, for example by a heartbeat, lead to the same check.
            (false, _) => drop(timeout(CHECK_INTERVAL, cx.changed.notified()).await),
        }
    }
}

/// Applies what a heartbeat says about the cold period. `started` tells whether the backend server
/// has started anew.
pub fn record_heartbeat(
    state: &mut State,
    heartbeat: &adapter::Heartbeat,
    started: bool,
    now: Millis,
) {
    let cold_start = state.queue.cold_start_mut();
    let before = cold_start.cold_until(now);
    if started {
        cold_start.backend_started(now);
    }
    cold_start.record_heartbeat(heartbeat.cold_for, now);
    let after = cold_start.cold_until(now);
    match (before, after) {
        (None, Some(until)) => info!("event=backend-cold left_ms={}", until.since(now)),
        (Some(_), None) => info!("event=backend-warm"),
        _ => {}
    }
}
