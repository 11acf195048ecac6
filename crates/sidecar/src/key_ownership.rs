//! Drives the keeper of this host's keys: sends its questions to witnesses and its writes to the
//! store.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use mesh::{WitnessReply, WriteOutcome};
use model::HostAddr;
use tokio::time::{sleep, timeout};

use crate::dependency::Dependency;
use crate::rpc;
use crate::state::Cx;

/// The keeper is polled for due work at least this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A witness that doesn't reply within this time counts as unreachable.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends the questions of the keeper to witnesses. Runs apart from its calls to the store.
pub async fn ask_witnesses(cx: Rc<Cx>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = cx.now();
        let asks = cx.state.borrow_mut().keeper.witness_requests(now);
        for (host, ask) in asks {
            let cx = cx.clone();
            actix_rt::spawn(async move {
                let asked =
                    rpc::call::<WitnessReply>(&cx, host, rpc::WITNESS_PATH, &ask, WITNESS_TIMEOUT);
                let Some(word) = asked.await else { return };
                let question = ask.question;
                let holder = ask.holder;
                info!(
                    "event=witness-reply witness={host} question={question:?} holder={holder} word={word:?}"
                );
                cx.state.borrow_mut().keeper.witness_replied(&ask, word, now, cx.now());
                cx.keeper_due.notify_one();
            });
        }
    }
}

/// Renews the lease and the key ownership of this host, if its service has keys, until the process
/// ends.
pub async fn run_keeper(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-keys");
    loop {
        // A timeout and a notification lead to the same work.
        let _ = timeout(CHECK_INTERVAL, cx.keeper_due.notified()).await;
        // Rejects queued requests in time if they wait behind runs that don't finish.
        cx.start_queued();
        if !cx.owns_keys() {
            continue;
        }
        let service = cx.settings.service.clone();
        let now = cx.now();
        if cx.state.borrow().keeper.wants_lease_read(now) {
            match cx.store.read_leases(&service).await {
                Ok(rows) => {
                    dependency.succeeded();
                    cx.state.borrow_mut().keeper.update_leases(rows, cx.now());
                }
                Err(e) => {
                    dependency.failed(&e);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        write_due(&cx, &mut dependency).await;
    }
}

async fn write_due(cx: &Rc<Cx>, dependency: &mut Dependency) {
    let todo = {
        let mut state = cx.state.borrow_mut();
        let now = cx.now();
        let state = &mut *state;
        state.demand.decay(now);
        let run_s = state.queue.mean_run_time().0 as f64 / 1_000.0;
        let load = (state.demand.rate_per_second() * run_s * 100.0) as u32;
        let room = state.queue.slots() as u32 * 100;
        state.keeper.update_load(load, room);
        let lost: Vec<HostAddr> = state.unreachable.iter().map(|(host, _)| *host).collect();
        let shed = state.keeper.shed_keys(&state.demand, &lost, now);
        if shed > 0 {
            info!("event=shed pieces={shed} load={load} room={room}");
        }
        state.keeper.next_write(now)
    };
    let Some(todo) = todo else { return };
    let (written, error) = cx.store.write(&cx.settings.service, &todo).await;
    match &error {
        Some(e) => dependency.failed(e),
        None => dependency.succeeded(),
    }
    let why = todo.reason;
    match &written {
        WriteOutcome::Committed(version) if why == "renew" => {
            log::debug!("event=renewed version={version}");
        }
        WriteOutcome::Committed(version) => info!("event=row-written why={why} version={version}"),
        WriteOutcome::Conflict(_) => {
            info!("event=row-conflict why={why} expected={:?}", todo.expect);
        }
        WriteOutcome::NotApplied => info!("event=row-refused why={why} error={error:?}"),
        WriteOutcome::Unknown => info!("event=row-unknown why={why} error={error:?}"),
    }
    let mut state = cx.state.borrow_mut();
    let had = state.keeper.lease_expiry();
    state.keeper.write_finished(written, cx.now());
    match (had, state.keeper.lease_expiry()) {
        (None, Some(until)) => info!("event=lease-gained until={until}"),
        (Some(until), None) => warn!("event=lease-lost until={until}"),
        _ => {}
    }
    let service = &cx.settings.service;
    let known = state.map_version(service);
    let newer = state.keeper.key_map().filter(|(version, _)| Some(*version) > known);
    if let Some((version, map)) = newer.cloned() {
        state.apply_key_map(service, version, Rc::new(map));
    }
    drop(state);
    cx.changed.notify_waiters();
}
