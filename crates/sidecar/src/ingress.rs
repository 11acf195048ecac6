//! Requests of callers on this host: where each one goes, what is tried again, and what the
//! caller is told.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use adapter::{Asked, Refusal, refusal};
use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use log::info;
use mesh::{Config, LoadReport, Repeat, Sent, SuspectNews};
use model::{HostAddr, Millis, ServiceName};
use tokio::time::timeout;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::state::{ConfigRow, Cx};
use crate::tell::{COME_BACK_MS, come_back, tell};
use crate::wire::{End, Forward, NotRun, Outcome};
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

/// Callers that name no limit wait this long.
const NO_LIMIT: Millis = Millis(60_000);

/// The answer must be on its way back before the limit: the longest way between two regions and
/// some work.
const FAR_MARGIN: Millis = Millis(45);

/// The same for hosts of the region.
const NEAR_MARGIN: Millis = Millis(10);

/// A request of a caller with what was decided about it.
pub(crate) struct Call {
    pub(crate) came: Millis,
    pub(crate) id: String,
    pub(crate) service: ServiceName,
    pub(crate) route: Rc<str>,
    pub(crate) repeat: Repeat,
    pub(crate) attempts: u32,
    pub(crate) limit: Millis,
    pub(crate) target: Millis,
    pub(crate) caller_until: Millis,
    pub(crate) key: Option<u16>,
    pub(crate) forward: Forward,
    pub(crate) body: Bytes,
}

/// Why a call has no answer of a backend server.
pub(crate) enum Failure {
    NotRun { why: NotRun, after_ms: u64 },
    Lost(String),
    TimedOut,
}

/// Counts a request that is under way, until it is dropped.
struct UnderWay(Rc<Cx>);

impl UnderWay {
    fn new(cx: &Rc<Cx>) -> Self {
        cx.under_way.set(cx.under_way.get() + 1);
        Self(cx.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.under_way.set(self.0.under_way.get().saturating_sub(1));
    }
}

/// Tells the record of a host how a request ended, also if the caller leaves.
struct Trial<'a> {
    cx: &'a Cx,
    service: &'a ServiceName,
    host: HostAddr,
    end: Sent,
    report: Option<LoadReport>,
}

impl Drop for Trial<'_> {
    fn drop(&mut self) {
        let now = self.cx.now();
        let mut state = self.cx.state.borrow_mut();
        state.peers(self.service).ended(self.host, self.end, self.report, now);
    }
}

/// Answers a caller.
pub async fn answer(
    cx: Rc<Cx>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let _counted = UnderWay::new(&cx);
    let came = cx.now();
    let (head, body) = req.into_parts();
    let mut answer = match adapter::read_asked(&head) {
        Ok(asked) => serve(&cx, came, &head, asked, body).await,
        Err(e) => {
            info!("event=refused id=- why={e:?}");
            refusal(Refusal::Bad, None)
        }
    };
    if cx.stopping.get() {
        answer.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn serve(
    cx: &Rc<Cx>,
    came: Millis,
    head: &http::request::Parts,
    asked: Asked,
    body: Incoming,
) -> Response<Full<Bytes>> {
    let id = asked.id.clone();
    if cx.closed.get() {
        info!("event=refused id={id} why=stopping");
        return refusal(Refusal::NotRun(come_back(COME_BACK_MS)), Some(&id));
    }
    let config = cx.state.borrow().config.clone();
    let Some(ConfigRow { config, .. }) = config else {
        info!("event=refused id={id} why=no-configuration");
        return refusal(Refusal::NotRun(come_back(COME_BACK_MS)), Some(&id));
    };
    let head_bytes: usize = head.headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    if head_bytes > config.limits.header_bytes {
        info!("event=refused id={id} why=head-too-long limit={}", config.limits.header_bytes);
        return refusal(Refusal::HeadTooLong, Some(&id));
    }
    let body = match Limited::new(body, config.limits.body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.downcast_ref::<LengthLimitError>().is_some() => {
            info!("event=refused id={id} why=body-too-long limit={}", config.limits.body_bytes);
            return refusal(Refusal::TooLong, Some(&id));
        }
        Err(e) => {
            info!("event=refused id={id} why=body-cut error={e:?}");
            return refusal(Refusal::Bad, Some(&id));
        }
    };
    let Some(call) = plan(cx, came, head, asked, body, &config) else {
        info!("event=refused id={id} why=no-route version={}", config.version);
        return refusal(Refusal::NoRoute, Some(&id));
    };
    let result = carry_out(cx, &call).await;
    tell(cx, &call, &config, result)
}

fn plan(
    cx: &Cx,
    came: Millis,
    head: &http::request::Parts,
    asked: Asked,
    body: Bytes,
    config: &Config,
) -> Option<Call> {
    let route = config.route(&asked.host, head.uri.path())?;
    let service = route.service(rand::random()).clone();
    let keyed = config.service(&service).is_some_and(|s| s.keyed);
    let caller_left = asked.time_left.unwrap_or(NO_LIMIT);
    let key = asked.key.filter(|_| keyed);
    let headers = head.headers.iter();
    let headers = headers.map(|(n, v)| (n.as_str().to_owned(), v.as_bytes().to_vec())).collect();
    let target = head.uri.path_and_query().map_or_else(|| "/".into(), ToString::to_string);
    let forward = Forward {
        version: config.version.0,
        id: asked.id.clone(),
        service: service.as_str().to_owned(),
        from: cx.settings.service.as_str().to_owned(),
        method: head.method.as_str().to_owned(),
        target,
        headers,
        key,
        class: xxh3_64(route.name.as_bytes()),
        priority: route.priority,
        target_ms: 0,
        limit_ms: 0,
        caller_ms: 0,
        digest: 0,
        suspects: SuspectNews::default(),
    };
    let digest = digest_of(&forward, &body);
    let forward = Forward { digest, ..forward };
    Some(Call {
        came,
        id: asked.id,
        service,
        route: Rc::from(&*route.name),
        repeat: route.repeat,
        attempts: route.attempts,
        limit: came + caller_left.min(route.time_limit),
        target: came + route.target,
        caller_until: came + caller_left,
        key,
        forward,
        body,
    })
}

/// Requests with one digest do the same at a backend server.
fn digest_of(forward: &Forward, body: &[u8]) -> u64 {
    let Forward { service, from, method, target, .. } = forward;
    let mut hash = Xxh3::new();
    for part in [service, from, method, target] {
        hash.update(part.as_bytes());
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

/// Tries hosts until there is an answer, or none is to be had. A backend server's failure is the
/// answer if trying again brings none.
async fn carry_out(cx: &Rc<Cx>, call: &Call) -> Result<(Outcome, Bytes), Failure> {
    let mut failed = None;
    let result = attempts(cx, call, &mut failed).await;
    result.or_else(|failure| failed.ok_or(failure))
}

async fn attempts(
    cx: &Rc<Cx>,
    call: &Call,
    failed: &mut Option<(Outcome, Bytes)>,
) -> Result<(Outcome, Bytes), Failure> {
    cx.state.borrow_mut().budget(&call.service, &cx.settings).first(call.came);
    let mut tried: Vec<HostAddr> = Vec::new();
    let mut refusals = 0;
    let mut arrivals = 0;
    let mut last = Failure::NotRun { why: NotRun::Unreachable, after_ms: COME_BACK_MS };
    loop {
        let now = cx.now();
        if now >= call.limit {
            return Err(if arrivals > 0 { Failure::TimedOut } else { last });
        }
        let Some(host) = pick(cx, call, &tried, now) else {
            if call.key.is_some() && wait_for_key(cx, call, LOST_WAIT).await {
                continue;
            }
            return Err(last);
        };
        let refused = cx.state.borrow().suspects.refused(call.forward.digest, now);
        if let Some(left) = refused {
            info!("event=crashes id={} digest={:x} left_ms={left}", call.id, call.forward.digest);
            let why = NotRun::Crashes;
            return Err(if arrivals > 0 {
                last
            } else {
                Failure::NotRun { why, after_ms: left.0 }
            });
        }
        if arrivals > 0 && !may_repeat(cx, call, arrivals, now) {
            return Err(last);
        }
        let Ok((outcome, body)) = send(cx, call, host, now).await else {
            return Err(Failure::TimedOut);
        };
        if outcome.arrived {
            arrivals += 1;
        }
        match &outcome.end {
            End::Ran { status, .. } if *status < 500 => return Ok((outcome, body)),
            End::Ran { status, .. } => {
                let again = call.repeat == Repeat::Allowed
                    && arrivals < call.attempts
                    && cx.now() + LEAST_TIME < call.limit;
                if !again {
                    return Ok((outcome, body));
                }
                info!("event=try-again id={} host={host} status={status}", call.id);
                last = Failure::Lost(format!("status {status}"));
                *failed = Some((outcome, body));
                tried.push(host);
            }
            End::Unknown { why } => {
                info!("event=try-failed id={} host={host} why={why:?}", call.id);
                let lost = Failure::Lost(why.clone());
                if call.repeat == Repeat::Never || arrivals >= call.attempts {
                    return Err(lost);
                }
                last = lost;
                tried.push(host);
            }
            End::NotRun { why, after_ms } => {
                let after_ms = u64::from(*after_ms).max(1);
                info!("event=try-refused id={} host={host} why={why:?}", call.id);
                if arrivals == 0 || !matches!(last, Failure::Lost(_)) {
                    last = Failure::NotRun { why: *why, after_ms };
                }
                refusals += 1;
                if call.key.is_some() {
                    let part = match why {
                        NotRun::NoRoom | NotRun::Late | NotRun::Crashes | NotRun::Malformed => {
                            return Err(last);
                        }
                        NotRun::Moving | NotRun::NotGranted | NotRun::NotOwner => MOVE_WAIT,
                        NotRun::Unreachable
                        | NotRun::NoBackend
                        | NotRun::Leaving
                        | NotRun::TurnedAway => LOST_WAIT,
                    };
                    if !wait_for_key(cx, call, part).await {
                        return Err(last);
                    }
                } else {
                    tried.push(host);
                    if refusals >= MAX_REFUSALS {
                        return Err(last);
                    }
                }
            }
        }
    }
}

fn may_repeat(cx: &Cx, call: &Call, arrivals: u32, now: Millis) -> bool {
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

fn pick(cx: &Cx, call: &Call, tried: &[HostAddr], now: Millis) -> Option<HostAddr> {
    let mut state = cx.state.borrow_mut();
    match call.key {
        Some(key) => state.map(&call.service).map(|m| m.run(key).owner),
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
        call.key.and_then(|key| cx.state.borrow().map(&call.service)?.run(key).owner.into());
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
    cx.state.borrow_mut().peers(service).sent(host);
    let mut trial = Trial { cx, service, host, end: Sent::Dropped, report: None };
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
        trial.end = Sent::Failed;
        return result;
    };
    trial.end = match &outcome.end {
        End::Ran { status, .. } if *status < 500 => Sent::Well,
        End::NotRun { why: NotRun::Unreachable, .. } => Sent::Unreachable,
        End::NotRun { why: NotRun::TurnedAway, .. } => Sent::Failed,
        End::NotRun { .. } => Sent::Refused,
        End::Ran { .. } | End::Unknown { .. } => Sent::Failed,
    };
    let unreachable = trial.end == Sent::Unreachable;
    let silent = outcome.report == LoadReport::default();
    trial.report = (!silent).then_some(outcome.report);
    drop(trial);
    note_reached(cx, host, !unreachable);
    Ok((outcome, body))
}

fn is_far(cx: &Cx, host: HostAddr) -> bool {
    let state = cx.state.borrow();
    let row = state.hosts.get(host);
    row.is_some_and(|row| cx.settings.distance(&row.zone) == mesh::Distance::Far)
}
