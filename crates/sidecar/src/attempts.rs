//! The hosts that are tried for a request of a caller: which one, when another one, and when no
//! more.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use mesh::{LoadReport, Repeat, Sent};
use model::{HostAddr, Millis, ServiceName};
use tokio::time::timeout;

use crate::ingress::{Call, Failure};
use crate::response::DEFAULT_RETRY_AFTER_MS;
use crate::state::Cx;
use crate::wire::{ForwardReply, NotRun, Outcome};
use crate::{backend, rpc};

/// Hosts that may turn a request away before its caller is told. Nothing ran at any of them, so
/// this bounds only the time that is spent.
const MAX_REJECTIONS: usize = 4;

/// A keyed request waits for its key to be served up to this part of its target. Keys that move
/// are served again within about a second, and the run takes the rest of the target.
const MOVE_WAIT_FRACTION: f64 = 0.65;

/// The same while the owner can't be reached, which may last.
const UNREACHABLE_WAIT_FRACTION: f64 = 0.4;

/// Without news of the key, the owner is asked again after this.
const KEY_RECHECK_INTERVAL: Duration = Duration::from_millis(120);

/// An owner that could not be reached for this long is not waited for.
const OWNER_UNREACHABLE_LIMIT: Millis = Millis(1_500);

/// A request is not sent again with less time left than the shortest run takes.
const MIN_RUN_TIME: Millis = Millis(100);

/// The answer must be on its way back before the limit: the longest way between two regions and
/// some work.
const CROSS_REGION_MARGIN: Millis = Millis(45);

/// The same for hosts of the region.
const SAME_REGION_MARGIN: Millis = Millis(10);

/// Tells the record of a host how a request ended, also if the caller leaves.
struct SendGuard<'a> {
    cx: &'a Cx,
    service: &'a ServiceName,
    host: HostAddr,
    end: Sent,
    report: Option<LoadReport>,
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        state.peers(self.service).ended(self.host, self.end, self.report, now);
    }
}

/// Tries hosts until there is an answer, or none is to be had. A backend server's failure is the
/// answer if trying again brings none.
pub(crate) async fn execute(cx: &Rc<Cx>, call: &Call) -> Result<(ForwardReply, Bytes), Failure> {
    let mut failed = None;
    let result = run_attempts(cx, call, &mut failed).await;
    result.or_else(|failure| failed.ok_or(failure))
}

/// What was tried for a call.
struct AttemptState {
    hosts: Vec<HostAddr>,
    rejections: usize,
    /// How often the request reached a backend server.
    arrivals: u32,
    last: Failure,
}

async fn run_attempts(
    cx: &Rc<Cx>,
    call: &Call,
    failed: &mut Option<(ForwardReply, Bytes)>,
) -> Result<(ForwardReply, Bytes), Failure> {
    cx.state.borrow_mut().budget(&call.service, &cx.settings).first(call.received_at);
    let last = Failure::NotRun { why: NotRun::Unreachable, after_ms: DEFAULT_RETRY_AFTER_MS };
    let mut tries = AttemptState { hosts: Vec::new(), rejections: 0, arrivals: 0, last };
    loop {
        let now = cx.now();
        if now >= call.deadline {
            return Err(if tries.arrivals > 0 { Failure::TimedOut } else { tries.last });
        }
        let Some(host) = pick_host(cx, call, &tries.hosts, now) else {
            if call.key.is_some() && wait_for_key(cx, call, UNREACHABLE_WAIT_FRACTION).await {
                continue;
            }
            return Err(tries.last);
        };
        if let Some(refusal) = refused_as_crashing(cx, call, now) {
            return Err(if tries.arrivals > 0 { tries.last } else { refusal });
        }
        if tries.arrivals > 0 && !take_retry_budget(cx, call, tries.arrivals, now) {
            return Err(tries.last);
        }
        let Ok((reply, body)) = send(cx, call, host, now).await else {
            return Err(Failure::TimedOut);
        };
        tries.arrivals += u32::from(reply.arrived);
        match &reply.outcome {
            Outcome::Ran { status, .. } if *status < 500 => return Ok((reply, body)),
            Outcome::Ran { status, .. } => {
                if !may_run_again(call, &tries, cx.now() + MIN_RUN_TIME) {
                    return Ok((reply, body));
                }
                info!("event=try-again id={} host={host} status={status}", call.id);
                tries.last = Failure::Unknown(format!("status {status}"));
                tries.hosts.push(host);
                *failed = Some((reply, body));
            }
            Outcome::Unknown { why } => {
                info!("event=try-failed id={} host={host} why={why:?}", call.id);
                tries.last = Failure::Unknown(why.clone());
                if !may_run_again(call, &tries, now) {
                    return Err(tries.last);
                }
                tries.hosts.push(host);
            }
            Outcome::NotRun { why, after_ms } => {
                info!("event=try-refused id={} host={host} why={why:?}", call.id);
                let after_ms = u64::from(*after_ms).max(1);
                if tries.arrivals == 0 || !matches!(tries.last, Failure::Unknown(_)) {
                    tries.last = Failure::NotRun { why: *why, after_ms };
                }
                tries.rejections += 1;
                if !may_try_next(cx, call, &mut tries, host, *why).await {
                    return Err(tries.last);
                }
            }
        }
    }
}

/// Tells whether a request that may have run may run once more, if it starts at `start`.
fn may_run_again(call: &Call, tries: &AttemptState, start: Millis) -> bool {
    call.repeat == Repeat::Allowed && tries.arrivals < call.attempts && start < call.deadline
}

/// Tells whether a host may be tried after one that did not run the request. Waits if it is the
/// key that is not served yet.
async fn may_try_next(
    cx: &Rc<Cx>,
    call: &Call,
    tries: &mut AttemptState,
    host: HostAddr,
    why: NotRun,
) -> bool {
    if call.key.is_none() {
        tries.hosts.push(host);
        return tries.rejections < MAX_REJECTIONS;
    }
    let part = match why {
        NotRun::NoRoom | NotRun::Late | NotRun::Crashes | NotRun::Malformed => return false,
        NotRun::Moving | NotRun::NotGranted | NotRun::NotOwner => MOVE_WAIT_FRACTION,
        NotRun::Unreachable | NotRun::NoBackend | NotRun::Leaving | NotRun::TurnedAway => {
            UNREACHABLE_WAIT_FRACTION
        }
    };
    wait_for_key(cx, call, part).await
}

fn refused_as_crashing(cx: &Cx, call: &Call, now: Millis) -> Option<Failure> {
    let digest = call.forward.digest;
    let left = cx.state.borrow().suspects.refused(digest, now)?;
    info!("event=crashes id={} digest={digest:x} left_ms={left}", call.id);
    Some(Failure::NotRun { why: NotRun::Crashes, after_ms: left.0 })
}

fn take_retry_budget(cx: &Cx, call: &Call, arrivals: u32, now: Millis) -> bool {
    if arrivals >= call.attempts {
        return false;
    }
    let mut state = cx.state.borrow_mut();
    let processes = state.hosts.iter().count();
    let granted = state.budget(&call.service, &cx.settings).take(processes, now);
    if !granted {
        info!("event=no-repeat id={} service={} why=budget", call.id, call.service);
    }
    granted
}

fn pick_host(cx: &Cx, call: &Call, tried: &[HostAddr], now: Millis) -> Option<HostAddr> {
    let mut state = cx.state.borrow_mut();
    match call.key {
        Some(key) => state.map(&call.service).map(|m| m.run(key).owner),
        None => state.peers(&call.service).pick(tried, rand::random(), now),
    }
}

/// Waits until the key may be served. Returns false if that is not to be expected in time.
async fn wait_for_key(cx: &Cx, call: &Call, part: f64) -> bool {
    // A caller with little time left needs it to come back.
    let half = Millis(call.deadline.since(call.received_at).0 / 2);
    let span =
        Millis((call.target_deadline.since(call.received_at).0 as f64 * part) as u64).min(half);
    let now = cx.now();
    if now.since(call.received_at) >= span {
        return false;
    }
    let owner =
        call.key.and_then(|key| cx.state.borrow().map(&call.service)?.run(key).owner.into());
    let lost = owner.is_some_and(|host| {
        let state = cx.state.borrow();
        let at = state.unreachable.binary_search_by_key(&host, |(h, _)| *h).ok();
        at.is_some_and(|i| now.since(state.unreachable[i].1) > OWNER_UNREACHABLE_LIMIT)
    });
    if lost {
        return false;
    }
    // Either way the next look decides.
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

/// Sends a request to one host. Fails if its time is over first.
async fn send(
    cx: &Rc<Cx>,
    call: &Call,
    host: HostAddr,
    now: Millis,
) -> Result<(ForwardReply, Bytes), tokio::time::error::Elapsed> {
    let service = &call.service;
    cx.state.borrow_mut().peers(service).sent(host);
    let mut guard = SendGuard { cx, service, host, end: Sent::Dropped, report: None };
    let left = call.deadline.since(now);
    let saturating_ms = |m: Millis| u32::try_from(m.0).unwrap_or(u32::MAX);
    let margin = if is_cross_region(cx, host) { CROSS_REGION_MARGIN } else { SAME_REGION_MARGIN };
    let mut forward = call.forward.clone();
    forward.target_ms = saturating_ms(call.target_deadline.since(now));
    forward.limit_ms = saturating_ms(left.since(margin));
    forward.caller_ms = saturating_ms(call.caller_deadline.since(now));
    forward.suspects = cx.suspect_news();
    let sent = async {
        if host == cx.me {
            return backend::run(cx, &forward, call.body.clone()).await;
        }
        rpc::forward(cx, host, &forward, &call.body).await
    };
    let result = timeout(Duration::from(left), sent).await;
    let Ok((reply, body)) = result else {
        guard.end = Sent::Failed;
        return result;
    };
    guard.end = match &reply.outcome {
        Outcome::Ran { status, .. } if *status < 500 => Sent::Well,
        Outcome::NotRun { why: NotRun::Unreachable, .. } => Sent::Unreachable,
        Outcome::NotRun { why: NotRun::TurnedAway, .. } => Sent::Failed,
        Outcome::NotRun { .. } => Sent::Refused,
        Outcome::Ran { .. } | Outcome::Unknown { .. } => Sent::Failed,
    };
    let unreachable = guard.end == Sent::Unreachable;
    let silent = reply.report == LoadReport::default();
    guard.report = (!silent).then_some(reply.report);
    drop(guard);
    record_reachability(cx, host, !unreachable);
    Ok((reply, body))
}

fn is_cross_region(cx: &Cx, host: HostAddr) -> bool {
    let state = cx.state.borrow();
    let row = state.hosts.get(host);
    row.is_some_and(|row| cx.settings.distance(&row.zone) == mesh::Distance::Far)
}
