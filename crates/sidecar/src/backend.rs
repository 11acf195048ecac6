//! Runs requests on the backend server of this host: checks that this host may run them, queues
//! them for a free slot, and reports the outcome. No other process sends requests to this backend
//! server, so the counts here are exact.

use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use adapter::ResponseKind;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method};
use http1::SendError;
use log::{info, warn};
use mesh::{Admission, HolderId, Job, JobId, KeyRejection, RunId};
use model::{Millis, ServiceName};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::state::{Cx, State, WaitOutcome};
use crate::wire::{Forward, ForwardExtension, ForwardReply, NotRun, Outcome};

/// How long a request waits for a key that this host owns but has not been granted yet, as a
/// fraction of the target latency. The next heartbeat, which carries the grant, arrives within a
/// second; a caller that has to retry loses more time than that.
const GRANT_WAIT_FRACTION: f64 = 0.6;

/// How long a response is not read for lack of memory. A backend server aborts a response that stays
/// unread for some seconds.
pub(crate) const RESPONSE_WAIT: Duration = Duration::from_millis(2_500);

/// Pause after a failed connection attempt before requests are sent to the backend server again.
const RECONNECT_BACKOFF: Millis = Millis(200);

/// Timeout of a connection attempt that probes the backend server on this host after a crash.
const CRASH_PROBE_TIMEOUT: Millis = Millis(50);

/// Delay before a second probe if the first one could still connect.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(30);

/// No request is sent to a deregistered backend server in this last part of its drain period.
const DRAIN_MARGIN: Millis = Millis(700);

/// Releases the execution slot or the place in the queue on every exit path.
struct QueueGuard<'a> {
    cx: &'a Cx,
    job_id: Option<JobId>,
}

impl QueueGuard<'_> {
    /// Releases the place of a request that the backend server did not get, or did not count.
    fn take_back(mut self) {
        if let Some(job_id) = self.job_id.take() {
            self.cx.state.borrow_mut().queue.take_back(job_id);
            self.cx.start_queued();
        }
    }

    fn finished(mut self) {
        if let Some(job_id) = self.job_id.take() {
            self.cx.state.borrow_mut().queue.finish(job_id, self.cx.now());
            self.cx.start_queued();
        }
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(job_id) = self.job_id.take() {
            let mut state = self.cx.state.borrow_mut();
            state.queue.cancel(job_id);
            state.waiters.retain(|(id, _)| *id != job_id);
            drop(state);
            self.cx.start_queued();
        }
    }
}

/// A run on the backend server, recorded so that a crash can be attributed to the requests that
/// were running.
struct RunGuard<'a> {
    cx: &'a Cx,
    id: RunId,
}

impl<'a> RunGuard<'a> {
    fn start(cx: &'a Cx, digest: u64) -> Self {
        let now = cx.now();
        Self { cx, id: cx.state.borrow_mut().suspects.record_start(digest, now) }
    }

    fn completed(self) {
        self.cx.state.borrow_mut().suspects.record_completion(self.id);
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.cx.state.borrow_mut().suspects.record_end(self.id);
    }
}

/// Probes the backend server after a connection to it broke, and records a crash if it no longer
/// accepts connections.
async fn detect_crash(cx: &Cx) {
    if !cx.state.borrow().ownership.backend_serving() {
        return;
    }
    if !cx.backend.refuses_connections(CRASH_PROBE_TIMEOUT).await {
        // The kernel closes the sockets of a dead process one by one, possibly the listener last.
        sleep(CRASH_PROBE_DELAY).await;
        if !cx.backend.refuses_connections(CRASH_PROBE_TIMEOUT).await {
            return;
        }
    }
    let now = cx.now();
    let mut state = cx.state.borrow_mut();
    let Some(incarnation) = state.ownership.backend_incarnation().cloned() else { return };
    // It starts anew, and may accept connections before its first heartbeat.
    state.queue.cold_start_mut().backend_started(now);
    let Some(update) = state.suspects.record_crash(&incarnation, now) else { return };
    drop(state);
    warn!(
        "event=backend-crashed id={} started={} suspects={:x?} refused={:x?}",
        incarnation.id, incarnation.started_at, update.suspects, update.quarantined
    );
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug)]
pub enum Origin {
    /// A caller on this host.
    ThisHost(ForwardExtension),
    /// A caller on another host, to which the response crosses the link.
    OtherHost(ForwardExtension),
}

impl Origin {
    fn extension(self) -> ForwardExtension {
        match self {
            Self::ThisHost(extension) | Self::OtherHost(extension) => extension,
        }
    }
}

/// Counts a request whose response will cross the link, until it is dropped.
struct LinkGuard<'a> {
    cx: &'a Cx,
    class: u64,
}

impl<'a> LinkGuard<'a> {
    fn new(cx: &'a Cx, class: u64) -> Self {
        cx.state.borrow_mut().response_link.request_started(class);
        Self { cx, class }
    }
}

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.cx.state.borrow_mut().response_link.request_ended(self.class);
    }
}

/// Runs a request on the backend server of this host, or returns why it did not run.
pub async fn run(
    cx: &Rc<Cx>,
    holder: HolderId,
    forward: &Forward,
    origin: Origin,
    body: Bytes,
) -> (ForwardReply, Bytes) {
    let received_at = cx.now();
    let (outcome, arrived, body) = attempt(cx, holder, forward, origin, body, received_at).await;
    let version = cx.version();
    let suspects = cx.suspect_update();
    let reply = ForwardReply { version, outcome, report: cx.load_report(), arrived, suspects };
    log_outcome(cx, forward, &reply, received_at);
    (reply, body)
}

fn log_outcome(cx: &Cx, forward: &Forward, reply: &ForwardReply, received_at: Millis) {
    let (id, took, r) = (&forward.id, cx.now().since(received_at), &reply.report);
    let load = format_args!("running={} waiting={} slots={}", r.running, r.waiting, r.slots);
    match &reply.outcome {
        Outcome::Ran { status, .. } => {
            info!("event=ran id={id} status={status} took_ms={took} {load}");
        }
        Outcome::NotRun { why, after_ms } => info!(
            "event=not-run id={id} why={why:?} key={:?} limit_ms={} after_ms={after_ms} \
             took_ms={took} {load}",
            forward.key, forward.limit_ms
        ),
        Outcome::Unknown { why } => {
            warn!("event=run-unknown id={id} why={why:?} took_ms={took} {load}");
        }
    }
}

fn not_run(why: NotRun) -> (Outcome, bool, Bytes) {
    not_run_retry_after(why, Millis::ZERO)
}

/// Returns the outcome of a request that came to an evacuated zone, and counts it.
fn refuse_evacuated() -> (Outcome, bool, Bytes) {
    metrics::counter!("papayarill_refused_requests", "why" => "evacuated").increment(1);
    not_run(NotRun::Evacuated)
}

/// Returns an outcome for a request that did not run and may be retried after `after`.
fn not_run_retry_after(why: NotRun, after: Millis) -> (Outcome, bool, Bytes) {
    let after_ms = u32::try_from(after.0).unwrap_or(u32::MAX);
    (Outcome::NotRun { why, after_ms }, false, Bytes::new())
}

async fn attempt(
    cx: &Rc<Cx>,
    holder: HolderId,
    forward: &Forward,
    origin: Origin,
    body: Bytes,
    received_at: Millis,
) -> (Outcome, bool, Bytes) {
    let deadline = received_at + Millis(u64::from(forward.limit_ms));
    if forward.service != cx.settings.service.as_str() {
        return not_run(NotRun::NotOwner);
    }
    if let Some(left) = cx.state.borrow().suspects.quarantine_left(forward.digest, received_at) {
        return not_run_retry_after(NotRun::Crashes, left);
    }
    if let Some(key) = forward.key {
        cx.state.borrow_mut().key_requests.record(key);
    }
    if let Err(why) = wait_until_runnable(cx, forward, received_at).await {
        return if why == NotRun::Evacuated { refuse_evacuated() } else { not_run(why) };
    }
    // The run has to end early enough for its response to be delivered in time.
    let delivery = match origin {
        Origin::ThisHost(_) => Millis::ZERO,
        Origin::OtherHost(_) => {
            cx.state.borrow().response_link.expected_delivery(forward.class, received_at)
        }
    };
    let _link = matches!(origin, Origin::OtherHost(_)).then(|| LinkGuard::new(cx, forward.class));
    let target_deadline = received_at + Millis(u64::from(forward.target_ms));
    let ForwardExtension { max_wait_ms, latency_target_ms } = origin.extension();
    let job = Job {
        class: forward.class,
        priority: forward.priority,
        target_deadline: Millis::ZERO + target_deadline.since(delivery),
        deadline: Millis::ZERO + deadline.since(delivery),
        // A host of an earlier release doesn't tell the whole target.
        latency_target: Millis(u64::from(latency_target_ms.max(forward.target_ms))),
        max_wait: max_wait_ms.map(|max| Millis(u64::from(max)).since(delivery)),
    };
    let held_back = cx.state.borrow().queue.held_back_while_cold(received_at);
    let admission = cx.state.borrow_mut().queue.submit(job, received_at);
    if held_back {
        count_held_back(admission);
    }
    let guard = match admission {
        Admission::Refused(after) => return not_run_retry_after(NotRun::NoRoom, after),
        Admission::Start(job_id) => QueueGuard { cx, job_id: Some(job_id) },
        Admission::Queued(job_id) => {
            let guard = QueueGuard { cx, job_id: Some(job_id) };
            let (tx, rx) = oneshot::channel();
            cx.state.borrow_mut().waiters.push((job_id, tx));
            let outcome = rx.await;
            if outcome == Ok(WaitOutcome::Evacuated) {
                guard.take_back();
                return refuse_evacuated();
            }
            if outcome != Ok(WaitOutcome::Start) {
                let wait = cx.state.borrow().queue.expected_wait(cx.now());
                return not_run_retry_after(NotRun::NoRoom, wait);
            }
            // Ownership and the state of the backend server may have changed while the request
            // waited.
            let runnable = check_runnable(&cx.state.borrow(), cx, forward.key);
            if let Err(why) = runnable {
                guard.take_back();
                return not_run(why);
            }
            guard
        }
    };
    send(cx, holder, forward, body, received_at, deadline, guard).await
}

/// Counts a request that would have started if the backend server were not cold.
fn count_held_back(admission: Admission) {
    match admission {
        Admission::Queued(_) => {
            metrics::counter!("papayarill_held_requests", "why" => "cold").increment(1);
        }
        Admission::Refused(_) => {
            metrics::counter!("papayarill_refused_requests", "why" => "cold").increment(1);
        }
        Admission::Start(_) => {}
    }
}

async fn wait_until_runnable(
    cx: &Cx,
    forward: &Forward,
    received_at: Millis,
) -> Result<(), NotRun> {
    let half_limit = Millis(u64::from(forward.limit_ms) / 2);
    let wait = Millis((f64::from(forward.target_ms) * GRANT_WAIT_FRACTION) as u64).min(half_limit);
    loop {
        let changed = cx.changed.notified();
        let why = match check_runnable(&cx.state.borrow(), cx, forward.key) {
            Ok(()) => return Ok(()),
            Err(why) => why,
        };
        let left = wait.since(cx.now().since(received_at));
        if why != NotRun::NotGranted || left == Millis::ZERO {
            return Err(why);
        }
        // A timeout and a notification lead to the same check at the top of the loop.
        let _ = timeout(Duration::from(left), changed).await;
    }
}

/// Checks whether a request with `key` may be sent to the backend server now.
pub(crate) fn check_runnable(state: &State, cx: &Cx, key: Option<u16>) -> Result<(), NotRun> {
    let now = cx.now();
    if state.evacuations.is_evacuated(&cx.settings.zone) {
        return Err(NotRun::Evacuated);
    }
    if cx.rejecting.get() {
        return Err(NotRun::Leaving);
    }
    if state.ownership.backend_incarnation().is_none() {
        return Err(NotRun::NoBackend);
    }
    if state.connect_failed_at.is_some_and(|at| now.since(at) < RECONNECT_BACKOFF) {
        return Err(NotRun::NoBackend);
    }
    let drain_limit = Millis(cx.settings.drain_ms).since(DRAIN_MARGIN);
    if state.deregistered_at.is_some_and(|at| key.is_none() || now.since(at) > drain_limit) {
        return Err(NotRun::Leaving);
    }
    match key {
        None if !state.ownership.backend_serving() => Err(NotRun::Leaving),
        None => Ok(()),
        Some(key) => match state.ownership.check_key(key, now) {
            Ok(_) => Ok(()),
            Err(KeyRejection::NotGranted) => Err(NotRun::NotGranted),
            Err(KeyRejection::Moving) => Err(NotRun::Moving),
            Err(KeyRejection::NotOwner(_) | KeyRejection::NoMap | KeyRejection::NoLease) => {
                Err(NotRun::NotOwner)
            }
        },
    }
}

fn headers_of(forward: &Forward) -> Vec<(HeaderName, HeaderValue)> {
    let header = |(name, value): &(String, Vec<u8>)| {
        Some((HeaderName::from_str(name).ok()?, HeaderValue::from_bytes(value).ok()?))
    };
    forward.headers.iter().filter_map(header).collect()
}

async fn send(
    cx: &Rc<Cx>,
    holder: HolderId,
    forward: &Forward,
    body: Bytes,
    received_at: Millis,
    deadline: Millis,
    guard: QueueGuard<'_>,
) -> (Outcome, bool, Bytes) {
    let now = cx.now();
    let id =
        cx.state.borrow().ownership.backend_incarnation().map(|b| b.id.clone()).unwrap_or_default();
    let caller_left = Millis(u64::from(forward.caller_ms)).since(now.since(received_at));
    let left = deadline.since(now);
    if left == Millis::ZERO {
        guard.take_back();
        return not_run(NotRun::Late);
    }
    let headers = headers_of(forward);
    let method = Method::from_bytes(forward.method.as_bytes());
    let (Ok(method), Ok(from)) = (method, ServiceName::new(&forward.from)) else {
        guard.take_back();
        return not_run(NotRun::Malformed);
    };
    let time_left = caller_left.min(left);
    let target = &forward.target;
    let req = adapter::backend_request(method, target, &headers, &from, time_left, &id, body);
    let req = match req {
        Ok(req) => req,
        Err(e) => {
            warn!("event=request-rejected id={} error={e:?}", forward.id);
            guard.take_back();
            return not_run(NotRun::Malformed);
        }
    };
    let Some(_memory) = cx.memory.admit_reply(http1::MAX_BUFFER_BYTES as u64) else {
        guard.take_back();
        return not_run(NotRun::NoRoom);
    };
    let run = RunGuard::start(cx, forward.digest);
    let mut room = cx.memory.response(holder, RESPONSE_WAIT);
    let sent = cx.backend.send_with_room(req, &mut room);
    let response = match timeout(Duration::from(left), sent).await {
        Err(_) => return (Outcome::Unknown { why: "timeout".into() }, true, Bytes::new()),
        Ok(Err(SendError::NotSent { reason })) => {
            warn!("event=backend-unreachable id={} why={reason:?}", forward.id);
            let mut state = cx.state.borrow_mut();
            state.connect_failed_at = Some(cx.now());
            // It may be about to start anew, and accept connections before its first heartbeat.
            state.queue.cold_start_mut().backend_started(cx.now());
            drop(state);
            guard.take_back();
            return not_run(NotRun::NoBackend);
        }
        Ok(Err(SendError::Unknown { reason })) => {
            detect_crash(cx).await;
            return (Outcome::Unknown { why: reason }, true, Bytes::new());
        }
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    let body = room.attach(body);
    match adapter::classify_response(&forward.id, &head) {
        ResponseKind::Ran => {
            guard.finished();
            run.completed();
            let to_owned_header = |(name, value): (HeaderName, HeaderValue)| {
                (name.as_str().to_owned(), value.as_bytes().to_vec())
            };
            let headers =
                adapter::response_headers(&head.headers).into_iter().map(to_owned_header).collect();
            (Outcome::Ran { status: head.status.as_u16(), headers }, true, body)
        }
        ResponseKind::NotRun => {
            let after_ms = u32::try_from(cx.state.borrow().queue.mean_run_time().0).unwrap_or(0);
            (Outcome::NotRun { why: NotRun::TurnedAway, after_ms }, true, Bytes::new())
        }
        ResponseKind::Misdirected => {
            guard.take_back();
            (Outcome::NotRun { why: NotRun::NotGranted, after_ms: 0 }, true, Bytes::new())
        }
        ResponseKind::Invalid => {
            cx.backend.close_idle();
            (Outcome::Unknown { why: "spoilt answer".into() }, true, Bytes::new())
        }
    }
}
