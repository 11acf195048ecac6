//! Notices that the store has gone back to an earlier state, and writes again what it may have lost.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::sleep;

use crate::state::Cx;
use crate::store_watch::register_host;

/// The host rows are written again within this time, so that the hosts of a large deployment don't
/// write them at once.
const REGISTER_SPREAD_MS: u64 = 1_000;

/// Watches the era of the store until the process ends.
pub async fn watch_era(cx: Rc<Cx>) {
    let mut known = None;
    loop {
        let era = cx.store.next_era(known).await;
        let rolled_back = known.is_some();
        {
            let mut state = cx.state.borrow_mut();
            state.ownership.record_era(era, cx.now());
            if rolled_back {
                state.departures.store_rolled_back();
            }
        }
        match known {
            None => info!("event=store-era era={era}"),
            Some(before) => {
                warn!("event=store-rolled-back era={era} before={before}");
                metrics::counter!("papayarill_store_rollbacks").increment(1);
                actix_rt::spawn(register_again(cx.clone()));
            }
        }
        known = Some(era);
        cx.departure_due.notify_one();
        cx.ownership_due.notify_one();
        cx.grants_due.notify_one();
        cx.changed.notify_waiters();
    }
}

async fn register_again(cx: Rc<Cx>) {
    sleep(Duration::from_millis(cx.process % REGISTER_SPREAD_MS)).await;
    if !cx.stopping.get() {
        register_host(cx).await;
    }
}
