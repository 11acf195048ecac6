//! Records in the store that the backend server of this host leaves, before that is confirmed.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use tokio::time::{sleep, timeout};

use crate::dependency::Dependency;
use crate::state::{Cx, State};

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// How long a call of the backend server waits for the store. Its response is due within a second.
const CONFIRM_LIMIT: Duration = Duration::from_millis(800);

/// Reads what was recorded before this process started, and then writes each departure, until the
/// process ends.
pub async fn record_departures(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-departures");
    let service = &cx.settings.service;
    loop {
        if cx.state.borrow().departures.wants_read() {
            read_departure(&cx, &mut dependency).await;
            continue;
        }
        let due = cx.state.borrow().departures.next_write().map(|(v, d)| (v, d.clone()));
        let Some((expected, departure)) = due else {
            cx.departure_due.notified().await;
            continue;
        };
        match cx.store.write_departure(service, cx.me, expected, &departure).await {
            Ok((version, stored)) => {
                dependency.succeeded();
                cx.state.borrow_mut().departures.update_stored(version, stored);
                cx.changed.notify_waiters();
                let recorded = cx.state.borrow().departures.is_recorded();
                let (id, seq) = (&departure.incarnation.id, departure.seq);
                info!("event=departure id={id} seq={seq} recorded={recorded} version={version}");
            }
            // Written again with the same condition, so that it is done at most once.
            Err(e) => {
                dependency.failed(&e);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn read_departure(cx: &Cx, dependency: &mut Dependency) {
    match cx.store.read_departure(&cx.settings.service, cx.me).await {
        Ok((version, departure)) => {
            dependency.succeeded();
            if let Some(d) = &departure {
                info!("event=departure-known id={} seq={}", d.incarnation.id, d.seq);
            }
            cx.state.borrow_mut().departures.update_stored(version, departure);
            cx.changed.notify_waiters();
        }
        Err(e) => {
            dependency.failed(&e);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Waits until it is known what was recorded before this process started. Returns false if the store
/// doesn't answer in time.
pub async fn wait_until_known(cx: &Cx) -> bool {
    wait_until(cx, |state| state.departures.is_known()).await
}

/// Waits until the store has the latest departure. Returns false if it doesn't answer in time.
pub async fn wait_until_recorded(cx: &Cx) -> bool {
    let recorded = wait_until(cx, |state| state.departures.is_recorded()).await;
    if !recorded {
        warn!("event=departure-unconfirmed why=store");
    }
    recorded
}

async fn wait_until(cx: &Cx, holds: impl Fn(&State) -> bool) -> bool {
    let wait = async {
        loop {
            let changed = cx.changed.notified();
            if holds(&cx.state.borrow()) {
                return;
            }
            changed.await;
        }
    };
    timeout(CONFIRM_LIMIT, wait).await.is_ok()
}
