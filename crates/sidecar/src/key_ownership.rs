//! Maintains the key ownership of this host: sends its requests to witnesses and its writes to the
//! store.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use mesh::{ConditionalWrite, Renewal, RowName, WitnessReply, WriteOutcome};
use model::HostAddr;
use tokio::time::{sleep, timeout};

use crate::dependency::Dependency;
use crate::state::Cx;
use crate::wire::{MembersReply, MembersRequest};
use crate::{bodies, renewals, rpc};

/// Due work is looked for at least this often.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A witness that doesn't reply within this time counts as unreachable.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a request for the members, which goes to another region at most.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(250);

/// Sends due requests to witnesses. Runs apart from the calls to the store.
pub async fn ask_witnesses(cx: Rc<Cx>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = cx.now();
        let requests = cx.state.borrow_mut().ownership.witness_requests(now);
        for (host, request) in requests {
            let cx = cx.clone();
            actix_rt::spawn(async move {
                let asked = rpc::call::<WitnessReply>(
                    &cx,
                    host,
                    rpc::WITNESS_PATH,
                    &request,
                    WITNESS_TIMEOUT,
                );
                let Some(reply) = asked.await else { return };
                info!(
                    "event=witness-reply witness={host} question={:?} holder={} generation={} \
                     word={reply:?}",
                    request.question, request.holder, request.generation
                );
                cx.state.borrow_mut().ownership.witness_replied(&request, reply, now, cx.now());
                cx.ownership_due.notify_one();
            });
        }
    }
}

/// Renews the lease and the key ownership of this host, if its service has keys, until the process
/// ends.
pub async fn maintain_ownership(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-keys");
    loop {
        // A timeout and a notification lead to the same work.
        let _ = timeout(CHECK_INTERVAL, cx.ownership_due.notified()).await;
        // Refuses queued requests in time if they wait behind runs that don't finish.
        cx.start_queued();
        bodies::start_waiting(&cx);
        if !cx.owns_keys() {
            continue;
        }
        let now = cx.now();
        let reader = renewals::lease_reader(&cx);
        if cx.state.borrow().ownership.wants_lease_read(reader, now) {
            read_leases(&cx, &mut dependency).await;
        }
        if cx.state.borrow().ownership.wants_members(cx.now()) && !ask_for_members(&cx).await {
            read_leases(&cx, &mut dependency).await;
        }
        write_due(&cx, &mut dependency).await;
    }
}

async fn read_leases(cx: &Cx, dependency: &mut Dependency) {
    match cx.store.read_leases(&cx.settings.service).await {
        Ok((leases, unreadable)) => {
            dependency.succeeded();
            report_unreadable_leases(cx, unreadable);
            cx.state.borrow_mut().ownership.update_leases(leases, cx.now());
        }
        Err(e) => {
            dependency.failed(&e);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Logs rows among the leases that some other writer left there, once for each set of them.
fn report_unreadable_leases(cx: &Cx, unreadable: Vec<String>) {
    let mut known = cx.unreadable_leases.borrow_mut();
    if *known != unreadable {
        warn!("event=leases-ignored keys={unreadable:?}");
        *known = unreadable;
    }
}

/// Asks the hosts that watch the leases for those that may be assigned keys. Returns whether one of
/// them knows.
async fn ask_for_members(cx: &Cx) -> bool {
    let watching = {
        let ownership = &mut cx.state.borrow_mut().ownership;
        ownership.members_asked(cx.now());
        ownership.watching_hosts()
    };
    let request = MembersRequest { service: cx.settings.service.as_str().to_owned() };
    for host in watching {
        let reply = rpc::call(cx, host, rpc::MEMBERS_PATH, &request, MEMBERS_TIMEOUT).await;
        let Some(MembersReply { members: Some(members) }) = reply else { continue };
        let members = members.into_iter().map(Into::into).collect();
        cx.state.borrow_mut().ownership.update_members(members, cx.now());
        return true;
    }
    info!("event=members-unknown");
    false
}

/// Handles a request for the hosts that hold leases.
pub fn handle_members(cx: &Cx, request: &MembersRequest) -> MembersReply {
    if request.service != cx.settings.service.as_str() {
        return MembersReply { members: None };
    }
    let members = cx.state.borrow().ownership.fresh_members(cx.now());
    MembersReply { members: members.map(|all| all.into_iter().map(Into::into).collect()) }
}

/// Removes the rows of hosts whose leases `write` removed, so that no host tries to reach them any
/// more. One that is still alive writes its row again.
fn remove_lost_hosts(cx: &Rc<Cx>, write: &ConditionalWrite) {
    for name in &write.remove {
        let RowName::Lease(host) = *name else { continue };
        if host == cx.me || cx.state.borrow().hosts.get(host).is_none() {
            continue;
        }
        let cx = cx.clone();
        actix_rt::spawn(async move {
            match cx.store.deregister_host(host).await {
                Ok(()) => info!("event=lost-host-removed host={host}"),
                Err(e) => {
                    warn!("event=lost-host-kept host={host} error={:?}", e.to_string());
                }
            }
        });
    }
}

async fn write_due(cx: &Rc<Cx>, dependency: &mut Dependency) {
    let due_write = {
        let mut state = cx.state.borrow_mut();
        let now = cx.now();
        let state = &mut *state;
        state.key_requests.decay(now);
        let run_s = state.queue.mean_run_time().0 as f64 / 1_000.0;
        let load = (state.key_requests.rate_per_second() * run_s * 100.0) as u32;
        let capacity = state.queue.slots() as u32 * 100;
        state.ownership.update_load(load, capacity);
        let lost: Vec<HostAddr> = state.unreachable.iter().map(|(host, _)| *host).collect();
        let shed = state.ownership.shed_keys(&state.key_requests, &lost, now);
        if shed > 0 {
            info!("event=shed pieces={shed} load={load} room={capacity}");
        }
        state.ownership.next_write(now)
    };
    let Some(due_write) = due_write else { return };
    let mut next_renewal_at = None;
    let (written, error) = match Renewal::from_write(&due_write) {
        Some(renewal) => {
            let (written, next) = renewals::renew(cx, renewal).await;
            next_renewal_at = Some(cx.now() + next);
            (written, None)
        }
        None => {
            let (written, error) = cx.store.write(&cx.settings.service, &due_write).await;
            match &error {
                Some(e) => dependency.failed(e),
                None => dependency.succeeded(),
            }
            (written, error)
        }
    };
    let why = due_write.reason;
    match &written {
        WriteOutcome::Committed(_) if why == "renew" => {}
        WriteOutcome::Committed(version) => info!("event=row-written why={why} version={version}"),
        WriteOutcome::Conflict(rows) => {
            let found: Vec<_> = rows.iter().map(|(name, version, _)| (name, version)).collect();
            info!("event=row-conflict why={why} expected={:?} found={found:?}", due_write.expect);
        }
        WriteOutcome::NotApplied => info!("event=row-refused why={why} error={error:?}"),
        WriteOutcome::Unknown => info!("event=row-unknown why={why} error={error:?}"),
    }
    if matches!(written, WriteOutcome::Committed(_)) {
        remove_lost_hosts(cx, &due_write);
    }
    let mut state = cx.state.borrow_mut();
    let previous_expiry = state.ownership.lease_expiry();
    let committed = matches!(written, WriteOutcome::Committed(_));
    state.ownership.write_finished(written, cx.now());
    if let Some(at) = next_renewal_at.filter(|_| committed) {
        state.ownership.renew_at(at);
    }
    match (previous_expiry, state.ownership.lease_expiry()) {
        (None, Some(until)) => info!("event=lease-gained until={until}"),
        (Some(until), None) => warn!("event=lease-lost until={until}"),
        _ => {}
    }
    let service = &cx.settings.service;
    let known_version = state.map_version(service);
    let newer = state.ownership.key_map().filter(|(version, _)| Some(*version) > known_version);
    if let Some((version, map)) = newer.cloned() {
        state.apply_key_map(service, version, Rc::new(map));
    }
    drop(state);
    cx.changed.notify_waiters();
    cx.grants_due.notify_one();
}
