//! The retry loop of a caller's request: which host is tried, when another one is, and when to
//! stop.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use mesh::{AttemptResult, HolderId, LoadReport, Pick, PickRequest, RetrySafety};
use model::{HostAddr, Millis, ServiceName};
use tokio::time::timeout;

use crate::backend::Origin;
use crate::bodies::LARGE_BODY_BYTES;
use crate::ingress::{Call, Failure};
use crate::response::DEFAULT_RETRY_AFTER_MS;
use crate::state::Cx;
use crate::wire::{ForwardExtension, ForwardReply, NotRun, Outcome};
use crate::{backend, evacuation, rpc};

/// The maximum number of hosts that may reject a request before the caller gets an error. Nothing
/// ran at any of them, so this only bounds the time that is spent.
const MAX_REJECTIONS: usize = 4;

/// How many hosts may pass a request on because another one is expected to be faster. After that it
/// waits where the reports that came with the refusals promise the earliest end.
const MAX_REDIRECTS: usize = 2;

/// How long a request waits for its key to be served, as a fraction of the target latency. A key
/// that moves is served again within about a second, and the run needs the rest.
const MOVE_WAIT_FRACTION: f64 = 0.65;

/// The same while the owner can't be reached, which may last longer.
const UNREACHABLE_WAIT_FRACTION: f64 = 0.4;

/// The owner is asked again after this time, even if nothing is known to have changed.
const KEY_RECHECK_INTERVAL: Duration = Duration::from_millis(120);

/// Requests don't wait for an owner that has been unreachable for longer than this.
const OWNER_UNREACHABLE_LIMIT: Millis = Millis(1_500);

/// A request is not retried with less time left than the shortest run takes.
const MIN_RUN_TIME: Millis = Millis(100);

/// Time reserved for the way back of a response: the longest one-way latency between two regions
/// and some processing.
const CROSS_REGION_MARGIN: Millis = Millis(45);

/// The same for hosts in this region.
const SAME_REGION_MARGIN: Millis = Millis(10);

/// Records the end of a request for the statistics of its host, also if the caller disconnects.
struct SendGuard<'a> {
    cx: &'a Cx,
    service: &'a ServiceName,
    host: HostAddr,
    body_bytes: u64,
    end: AttemptResult,
    report: Option<LoadReport>,
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        let balancer = state.load_balancer(self.service);
        balancer.attempt_ended(self.host, self.body_bytes, self.end, self.report, now);
    }
}

/// Tries hosts until one returns a response or no further attempt is allowed. If a retry after a
/// server error yields no response, the error response is returned.
pub(crate) async fn execute(
    cx: &Rc<Cx>,
    holder: HolderId,
    call: &mut Call,
) -> Result<(ForwardReply, Bytes), Failure> {
    let mut server_error = None;
    let result = run_attempts(cx, holder, call, &mut server_error).await;
    result.or_else(|failure| server_error.ok_or(failure))
}

/// The attempts of a call so far.
struct AttemptState {
    hosts: Vec<HostAddr>,
    rejections: usize,
    redirects: usize,
    /// How often the request reached a backend server.
    arrivals: u32,
    last_failure: Failure,
}

async fn run_attempts(
    cx: &Rc<Cx>,
    holder: HolderId,
    call: &mut Call,
    server_error: &mut Option<(ForwardReply, Bytes)>,
) -> Result<(ForwardReply, Bytes), Failure> {
    cx.state
        .borrow_mut()
        .retry_budget(&call.service, &cx.settings)
        .record_first_attempt(call.received_at);
    let last_failure =
        Failure::NotRun { why: NotRun::Unreachable, after_ms: DEFAULT_RETRY_AFTER_MS };
    let mut progress =
        AttemptState { hosts: Vec::new(), rejections: 0, redirects: 0, arrivals: 0, last_failure };
    loop {
        let now = cx.now();
        if now >= call.deadline {
            return Err(if progress.arrivals > 0 {
                Failure::TimedOut
            } else {
                progress.last_failure
            });
        }
        // Also after each attempt, as the key may have moved.
        if owner_outside_regions(cx, call) {
            let (why, after_ms) = (NotRun::OutsideRegions, DEFAULT_RETRY_AFTER_MS);
            return Err(match progress.arrivals {
                0 => Failure::NotRun { why, after_ms },
                _ => progress.last_failure,
            });
        }
        let Some(Pick { host, max_wait }) = pick_host(cx, call, &progress.hosts, now) else {
            if call.key.is_some() && wait_for_key(cx, call, UNREACHABLE_WAIT_FRACTION).await {
                continue;
            }
            if progress.arrivals == 0 && evacuation::removes_all_hosts(cx, call) {
                metrics::counter!("papayarill_refused_requests", "why" => "evacuated").increment(1);
                let (why, after_ms) = (NotRun::Evacuated, DEFAULT_RETRY_AFTER_MS);
                progress.last_failure = Failure::NotRun { why, after_ms };
            }
            return Err(progress.last_failure);
        };
        if let Some(refusal) = check_quarantine(cx, call, now) {
            return Err(if progress.arrivals > 0 { progress.last_failure } else { refusal });
        }
        if progress.arrivals > 0 && !take_retry_budget(cx, call, progress.arrivals, now) {
            return Err(progress.last_failure);
        }
        let max_wait = max_wait.filter(|_| progress.redirects < MAX_REDIRECTS);
        let Ok((reply, body)) = send(cx, holder, call, host, max_wait, now).await else {
            return Err(Failure::TimedOut);
        };
        progress.arrivals += u32::from(reply.arrived);
        match &reply.outcome {
            Outcome::Ran { status, .. } if *status < 500 => return Ok((reply, body)),
            Outcome::Ran { status, .. } => {
                if !may_run_again(call, &progress, cx.now() + MIN_RUN_TIME) {
                    return Ok((reply, body));
                }
                info!("event=retry id={} host={host} status={status}", call.id);
                progress.last_failure = Failure::Unknown(format!("status {status}"));
                progress.hosts.push(host);
                *server_error = Some((reply, body));
            }
            Outcome::Unknown { why } => {
                info!("event=attempt-failed id={} host={host} why={why:?}", call.id);
                progress.last_failure = Failure::Unknown(why.clone());
                if !may_run_again(call, &progress, now) {
                    return Err(progress.last_failure);
                }
                progress.hosts.push(host);
            }
            Outcome::NotRun { why, after_ms } => {
                info!("event=attempt-refused id={} host={host} why={why:?}", call.id);
                let after_ms = u64::from(*after_ms).max(1);
                if progress.arrivals == 0 || !matches!(progress.last_failure, Failure::Unknown(_)) {
                    progress.last_failure = Failure::NotRun { why: *why, after_ms };
                }
                if *why == NotRun::NoRoom && max_wait.is_some() {
                    redirect(&mut progress, host);
                    continue;
                }
                progress.rejections += 1;
                if !may_try_next(cx, call, &mut progress, host, *why).await {
                    return Err(progress.last_failure);
                }
            }
        }
    }
}

/// Records that a host has a longer queue than another one is expected to have.
fn redirect(progress: &mut AttemptState, host: HostAddr) {
    metrics::counter!("papayarill_redirects").increment(1);
    progress.redirects += 1;
    progress.hosts.push(host);
    if progress.redirects == MAX_REDIRECTS && progress.arrivals == 0 {
        // One of them may still be the best.
        progress.hosts.clear();
    }
}

/// Returns whether a request that may have run may run once more, starting at `start`.
fn may_run_again(call: &Call, progress: &AttemptState, start: Millis) -> bool {
    call.retry_safety == RetrySafety::Idempotent
        && progress.arrivals < call.max_attempts
        && start < call.deadline
}

/// Returns whether another attempt is allowed after a host that did not run the request. Waits
/// first if the key is not served yet.
async fn may_try_next(
    cx: &Rc<Cx>,
    call: &Call,
    progress: &mut AttemptState,
    host: HostAddr,
    why: NotRun,
) -> bool {
    if call.key.is_none() {
        progress.hosts.push(host);
        return progress.rejections < MAX_REJECTIONS;
    }
    let fraction = match why {
        NotRun::NoRoom
        | NotRun::Late
        | NotRun::Crashes
        | NotRun::Malformed
        | NotRun::OutsideRegions => return false,
        NotRun::Moving | NotRun::NotGranted | NotRun::NotOwner => MOVE_WAIT_FRACTION,
        NotRun::Unreachable
        | NotRun::NoBackend
        | NotRun::Leaving
        | NotRun::TurnedAway
        | NotRun::Evacuated => UNREACHABLE_WAIT_FRACTION,
    };
    wait_for_key(cx, call, fraction).await
}

fn check_quarantine(cx: &Cx, call: &Call, now: Millis) -> Option<Failure> {
    let digest = call.forward.digest;
    let left = cx.state.borrow().suspects.quarantine_left(digest, now)?;
    info!("event=crashing-request-refused id={} digest={digest:x} left_ms={left}", call.id);
    Some(Failure::NotRun { why: NotRun::Crashes, after_ms: left.0 })
}

fn take_retry_budget(cx: &Cx, call: &Call, arrivals: u32, now: Millis) -> bool {
    if arrivals >= call.max_attempts {
        return false;
    }
    let mut state = cx.state.borrow_mut();
    let processes = state.hosts.iter().count();
    let granted = state.retry_budget(&call.service, &cx.settings).try_take_retry(processes, now);
    if !granted {
        info!("event=retry-denied id={} service={} why=budget", call.id, call.service);
    }
    granted
}

/// Returns the size of the body if it is announced before it is sent, or else 0.
fn large_body_bytes(call: &Call) -> u64 {
    if call.body.len() < LARGE_BODY_BYTES { 0 } else { call.body.len() as u64 }
}

fn pick_host(cx: &Cx, call: &Call, tried: &[HostAddr], now: Millis) -> Option<Pick> {
    let mut state = cx.state.borrow_mut();
    let mut excluded = evacuation::evacuated_hosts(&state);
    if let Some(key) = call.key {
        let host = state.map(&call.service)?.range_of(key).owner;
        return (!excluded.contains(&host)).then_some(Pick { host, max_wait: None });
    }
    excluded.extend(tried);
    let balancer = state.load_balancer(&call.service);
    let class = call.forward.class;
    let req = PickRequest {
        class,
        tried: &excluded,
        regions: &call.allowed_regions,
        body_bytes: large_body_bytes(call),
        response_bytes: balancer.mean_response_bytes(class),
        target_left: call.target_deadline.since(now),
        random: rand::random(),
    };
    balancer.pick(&req, now)
}

/// Returns whether the key of a request is owned in a region to which the request may not be sent.
fn owner_outside_regions(cx: &Cx, call: &Call) -> bool {
    let Some(key) = call.key.filter(|_| !call.allowed_regions.is_empty()) else { return false };
    let state = cx.state.borrow();
    let owner = state.map(&call.service).map(|m| m.range_of(key).owner);
    let zone = owner.and_then(|host| state.hosts.get(host)).map(|row| &row.zone);
    let region = zone.and_then(|zone| cx.settings.regions.get(zone));
    region.is_some_and(|region| call.allowed_regions.binary_search(region).is_err())
}

/// Waits until the key may be served. Returns false if that is not expected in time.
async fn wait_for_key(cx: &Cx, call: &Call, fraction: f64) -> bool {
    // A caller with little time left needs that time for its own retry.
    let half = Millis(call.deadline.since(call.received_at).0 / 2);
    let max_wait =
        Millis((call.target_deadline.since(call.received_at).0 as f64 * fraction) as u64).min(half);
    let now = cx.now();
    if now.since(call.received_at) >= max_wait {
        return false;
    }
    let owner =
        call.key.and_then(|key| cx.state.borrow().map(&call.service)?.range_of(key).owner.into());
    let owner_unreachable = owner.is_some_and(|host| {
        let state = cx.state.borrow();
        let at = state.unreachable.binary_search_by_key(&host, |(h, _)| *h).ok();
        at.is_some_and(|i| now.since(state.unreachable[i].1) > OWNER_UNREACHABLE_LIMIT)
    });
    if owner_unreachable {
        return false;
    }
    // A timeout and a notification lead to the same retry.
    let _ = timeout(KEY_RECHECK_INTERVAL, cx.changed.notified()).await;
    true
}

fn record_reachability(cx: &Cx, host: HostAddr, reached: bool) {
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let at = state.unreachable.binary_search_by_key(&host, |(h, _)| *h);
    match (at, reached) {
        (Ok(i), true) => {
            state.unreachable.remove(i);
        }
        (Err(i), false) => state.unreachable.insert(i, (host, now)),
        (Ok(_), false) | (Err(_), true) => {}
    }
}

/// Sends a request to one host. Fails if its deadline passes first.
async fn send(
    cx: &Rc<Cx>,
    holder: HolderId,
    call: &mut Call,
    host: HostAddr,
    max_wait: Option<Millis>,
    now: Millis,
) -> Result<(ForwardReply, Bytes), tokio::time::error::Elapsed> {
    let margin = if is_cross_region(cx, host) { CROSS_REGION_MARGIN } else { SAME_REGION_MARGIN };
    let left = call.deadline.since(now);
    let saturating_ms = |m: Millis| u32::try_from(m.0).unwrap_or(u32::MAX);
    call.forward.target_ms = saturating_ms(call.target_deadline.since(now));
    call.forward.limit_ms = saturating_ms(left.since(margin));
    call.forward.caller_ms = saturating_ms(call.caller_deadline.since(now));
    call.forward.suspects = cx.suspect_update();
    let call = &*call;
    let service = &call.service;
    cx.state.borrow_mut().load_balancer(service).attempt_started(host, large_body_bytes(call));
    let body_bytes = large_body_bytes(call);
    let end = AttemptResult::Abandoned;
    let mut guard = SendGuard { cx, service, host, body_bytes, end, report: None };
    let forward = &call.forward;
    let extension = ForwardExtension {
        max_wait_ms: max_wait.map(saturating_ms),
        latency_target_ms: saturating_ms(call.target_deadline.since(call.received_at)),
    };
    let exchange = async {
        if host == cx.me {
            let origin = Origin::ThisHost(extension);
            let (reply, body) = backend::run(cx, holder, forward, origin, call.body.clone()).await;
            cx.record_class_load(host, forward, cx.class_load(forward.class));
            return (reply, body);
        }
        rpc::forward(cx, holder, host, forward, extension, &call.body).await
    };
    let result = timeout(Duration::from(left), exchange).await;
    let Ok((reply, body)) = result else {
        guard.end = AttemptResult::Failed;
        return result;
    };
    guard.end = match &reply.outcome {
        Outcome::Ran { status, .. } if *status < 500 => AttemptResult::Success,
        Outcome::NotRun { why: NotRun::Unreachable, .. } => AttemptResult::Unreachable,
        Outcome::NotRun { why: NotRun::TurnedAway, .. } => AttemptResult::Failed,
        Outcome::NotRun { .. } => AttemptResult::Refused,
        Outcome::Ran { .. } | Outcome::Unknown { .. } => AttemptResult::Failed,
    };
    let unreachable = guard.end == AttemptResult::Unreachable;
    if matches!(reply.outcome, Outcome::Ran { .. }) {
        let mut state = cx.state.borrow_mut();
        state.load_balancer(service).response_received(forward.class, body.len());
    }
    let no_report = reply.report == LoadReport::default();
    guard.report = (!no_report).then_some(reply.report);
    drop(guard);
    record_reachability(cx, host, !unreachable);
    Ok((reply, body))
}

fn is_cross_region(cx: &Cx, host: HostAddr) -> bool {
    let state = cx.state.borrow();
    let row = state.hosts.get(host);
    row.is_some_and(|row| cx.settings.distance(&row.zone) == mesh::Distance::OtherRegion)
}
