//! The hosts that are tried for a request of a caller: which one, when another one, and when no
//! more.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use mesh::{AttemptResult, LoadReport, RetrySafety};
use model::{HostAddr, Millis, ServiceName};
use tokio::time::timeout;

use crate::ingress::{Call, Failure};
use crate::state::Cx;
use crate::tell::COME_BACK_MS;
use crate::wire::{End, NotRun, Outcome};
use crate::{backend, hop};

/// Hosts that may turn a request away before its caller is told. Nothing ran at any of them, so
/// this bounds only the time that is spent.
const MAX_REFUSALS: usize = 4;

/// A keyed request waits for its key to be served up to this part of its target. Keys that move
/// are served again within about a second, and the run takes the rest of the target.
const MOVE_WAIT: f64 = 0.65;

/// The same while the owner can't be reached, which may last.
const LOST_WAIT: f64 = 0.4;

/// Without news of the key, the owner is asked again after this.
const ASK_AGAIN: Duration = Duration::from_millis(120);

/// An owner that could not be reached for this long is not waited for.
const OWNER_LOST: Millis = Millis(1_500);

/// A request is not sent again with less time left than the shortest run takes.
const LEAST_TIME: Millis = Millis(100);

/// The answer must be on its way back before the limit: the longest way between two regions and
/// some work.
const FAR_MARGIN: Millis = Millis(45);

/// The same for hosts of the region.
const NEAR_MARGIN: Millis = Millis(10);

/// Tells the record of a host how a request ended, also if the caller leaves.
struct Trial<'a> {
    cx: &'a Cx,
    service: &'a ServiceName,
    host: HostAddr,
    end: AttemptResult,
    report: Option<LoadReport>,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        state.peers(self.service).attempt_ended(self.host, self.end, self.report, now);
    }
}

/// Tries hosts until there is an answer, or none is to be had. A backend server's failure is the
/// answer if trying again brings none.
pub(crate) async fn carry_out(cx: &Rc<Cx>, call: &Call) -> Result<(Outcome, Bytes), Failure> {
    let mut failed = None;
    let result = attempts(cx, call, &mut failed).await;
    result.or_else(|failure| failed.ok_or(failure))
}

/// What was tried for a call.
struct Tries {
    hosts: Vec<HostAddr>,
    refusals: usize,
    /// How often the request reached a backend server.
    arrivals: u32,
    last: Failure,
}

async fn attempts(
    cx: &Rc<Cx>,
    call: &Call,
    failed: &mut Option<(Outcome, Bytes)>,
) -> Result<(Outcome, Bytes), Failure> {
    cx.state.borrow_mut().budget(&call.service, &cx.settings).record_first_attempt(call.came);
    let last = Failure::NotRun { why: NotRun::Unreachable, after_ms: COME_BACK_MS };
    let mut tries = Tries { hosts: Vec::new(), refusals: 0, arrivals: 0, last };
    loop {
        let now = cx.now();
        if now >= call.limit {
            return Err(if tries.arrivals > 0 { Failure::TimedOut } else { tries.last });
        }
        let Some(host) = pick(cx, call, &tries.hosts, now) else {
            if call.key.is_some() && wait_for_key(cx, call, LOST_WAIT).await {
                continue;
            }
            return Err(tries.last);
        };
        if let Some(refused) = refused_for_crashes(cx, call, now) {
            return Err(if tries.arrivals > 0 { tries.last } else { refused });
        }
        if tries.arrivals > 0 && !may_repeat(cx, call, tries.arrivals, now) {
            return Err(tries.last);
        }
        let Ok((outcome, body)) = send(cx, call, host, now).await else {
            return Err(Failure::TimedOut);
        };
        tries.arrivals += u32::from(outcome.arrived);
        match &outcome.end {
            End::Ran { status, .. } if *status < 500 => return Ok((outcome, body)),
            End::Ran { status, .. } => {
                if !may_run_again(call, &tries, cx.now() + LEAST_TIME) {
                    return Ok((outcome, body));
                }
                info!("event=try-again id={} host={host} status={status}", call.id);
                tries.last = Failure::Lost(format!("status {status}"));
                tries.hosts.push(host);
                *failed = Some((outcome, body));
            }
            End::Unknown { why } => {
                info!("event=try-failed id={} host={host} why={why:?}", call.id);
                tries.last = Failure::Lost(why.clone());
                if !may_run_again(call, &tries, now) {
                    return Err(tries.last);
                }
                tries.hosts.push(host);
            }
            End::NotRun { why, after_ms } => {
                info!("event=try-refused id={} host={host} why={why:?}", call.id);
                let after_ms = u64::from(*after_ms).max(1);
                if tries.arrivals == 0 || !matches!(tries.last, Failure::Lost(_)) {
                    tries.last = Failure::NotRun { why: *why, after_ms };
                }
                tries.refusals += 1;
                if !try_after_refusal(cx, call, &mut tries, host, *why).await {
                    return Err(tries.last);
                }
            }
        }
    }
}

/// Tells whether a request that may have run may run once more, if it starts at `start`.
fn may_run_again(call: &Call, tries: &Tries, start: Millis) -> bool {
    call.repeat == RetrySafety::Safe && tries.arrivals < call.attempts && start < call.limit
}

/// Tells whether a host may be tried after one that did not run the request. Waits if it is the
/// key that is not served yet.
async fn try_after_refusal(
    cx: &Rc<Cx>,
    call: &Call,
    tries: &mut Tries,
    host: HostAddr,
    why: NotRun,
) -> bool {
    if call.key.is_none() {
        tries.hosts.push(host);
        return tries.refusals < MAX_REFUSALS;
    }
    let part = match why {
        NotRun::NoRoom | NotRun::Late | NotRun::Crashes | NotRun::Malformed => return false,
        NotRun::Moving | NotRun::NotGranted | NotRun::NotOwner => MOVE_WAIT,
        NotRun::Unreachable | NotRun::NoBackend | NotRun::Leaving | NotRun::TurnedAway => LOST_WAIT,
    };
    wait_for_key(cx, call, part).await
}

fn refused_for_crashes(cx: &Cx, call: &Call, now: Millis) -> Option<Failure> {
    let digest = call.forward.digest;
    let left = cx.state.borrow().suspects.quarantine_left(digest, now)?;
    info!("event=crashes id={} digest={digest:x} left_ms={left}", call.id);
    Some(Failure::NotRun { why: NotRun::Crashes, after_ms: left.0 })
}

fn may_repeat(cx: &Cx, call: &Call, arrivals: u32, now: Millis) -> bool {
    if arrivals >= call.attempts {
        return false;
    }
    let mut state = cx.state.borrow_mut();
    let processes = state.hosts.iter().count();
    let granted = state.budget(&call.service, &cx.settings).try_take_retry(processes, now);
    if !granted {
        info!("event=no-repeat id={} service={} why=budget", call.id, call.service);
    }
    granted
}

fn pick(cx: &Cx, call: &Call, tried: &[HostAddr], now: Millis) -> Option<HostAddr> {
    let mut state = cx.state.borrow_mut();
    match call.key {
        Some(key) => state.map(&call.service).map(|m| m.range_of(key).owner),
        None => state.peers(&call.service).pick(tried, rand::random(), now),
    }
}

/// Waits until the key may be served. Returns false if that is not to be expected in time.
async fn wait_for_key(cx: &Cx, call: &Call, part: f64) -> bool {
    // A caller with little time left needs it to come back.
    let half = Millis(call.limit.since(call.came).0 / 2);
    let span = Millis((call.target.since(call.came).0 as f64 * part) as u64).min(half);
    let now = cx.now();
    if now.since(call.came) >= span {
        return false;
    }
    let owner =
        call.key.and_then(|key| cx.state.borrow().map(&call.service)?.range_of(key).owner.into());
    let lost = owner.is_some_and(|host| {
        let state = cx.state.borrow();
        let at = state.unreachable.binary_search_by_key(&host, |(h, _)| *h).ok();
        at.is_some_and(|i| now.since(state.unreachable[i].1) > OWNER_LOST)
    });
    if lost {
        return false;
    }
    // Either way the next look decides.
    let _ = timeout(ASK_AGAIN, cx.changed.notified()).await;
    true
}

fn note_reached(cx: &Cx, host: HostAddr, reached: bool) {
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
) -> Result<(Outcome, Bytes), tokio::time::error::Elapsed> {
    let service = &call.service;
    cx.state.borrow_mut().peers(service).attempt_started(host);
    let mut trial = Trial { cx, service, host, end: AttemptResult::Abandoned, report: None };
    let left = call.limit.since(now);
    let small = |m: Millis| u32::try_from(m.0).unwrap_or(u32::MAX);
    let margin = if is_far(cx, host) { FAR_MARGIN } else { NEAR_MARGIN };
    let mut forward = call.forward.clone();
    forward.target_ms = small(call.target.since(now));
    forward.limit_ms = small(left.since(margin));
    forward.caller_ms = small(call.caller_until.since(now));
    forward.suspects = cx.suspect_news();
    let sent = async {
        if host == cx.me {
            return backend::run(cx, &forward, call.body.clone()).await;
        }
        hop::send(cx, host, &forward, &call.body).await
    };
    let result = timeout(Duration::from(left), sent).await;
    let Ok((outcome, body)) = result else {
        trial.end = AttemptResult::Failed;
        return result;
    };
    trial.end = match &outcome.end {
        End::Ran { status, .. } if *status < 500 => AttemptResult::Success,
        End::NotRun { why: NotRun::Unreachable, .. } => AttemptResult::Unreachable,
        End::NotRun { why: NotRun::TurnedAway, .. } => AttemptResult::Failed,
        End::NotRun { .. } => AttemptResult::Refused,
        End::Ran { .. } | End::Unknown { .. } => AttemptResult::Failed,
    };
    let unreachable = trial.end == AttemptResult::Unreachable;
    let silent = outcome.report == LoadReport::default();
    trial.report = (!silent).then_some(outcome.report);
    drop(trial);
    note_reached(cx, host, !unreachable);
    Ok((outcome, body))
}

fn is_far(cx: &Cx, host: HostAddr) -> bool {
    let state = cx.state.borrow();
    let row = state.hosts.get(host);
    row.is_some_and(|row| cx.settings.distance(&row.zone) == mesh::Distance::OtherRegion)
}
