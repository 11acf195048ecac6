//! The ingress: finds the owner of each request, forwards the request over at most one hop, and
//! decides after each attempt whether to retry.

use std::time::Duration;

use actix::{Actor, Context, Handler, Message, ResponseFuture};
use bytes::Bytes;
use futures_util::StreamExt;
use model::{
    CellId, HostAddr, Millis, NotRunReason, Outcome, Partition, RequestId, ServiceName,
    UnknownReason,
};
use routing::balance::Distance;
use routing::response::DEFAULT_RETRY_AFTER;
use routing::retry::{
    Attempts, EligibleServers, Failure, RetryBudget, RetryContext, RetryDecision, RouteChange,
};
use routing::rules::RequestPolicy;
use tokio::sync::{mpsc, oneshot};
use wire::{Body, BodyError, ForwardHead, ResponseHead};

use crate::context::Cx;
use crate::owner::{self, OwnerOutcome};
use crate::routes::{self, KnownRoute};

/// How long a request waits for a backend server of its service to become known.
const MAX_SERVER_WAIT: Millis = Millis(2_000);

/// How long to wait for a response before checking whether the owner has been replaced.
const OWNER_CHECK_DELAY: Duration = Duration::from_millis(250);

/// How long to wait for a response that a replaced owner may have sent before the change.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// The mailbox capacity of the ingress actor.
const MAILBOX_CAPACITY: usize = 4_096;

/// The receiving end of a response body on the HTTP thread.
pub type BodyReceiver = mpsc::Receiver<Result<Bytes, BodyError>>;

/// How many chunks of a response body are buffered for a slow caller.
const RESPONSE_CHUNK_BUFFER: usize = 4;

/// A validated request from a caller.
pub struct CallerRequest {
    /// The service.
    pub service: ServiceName,
    /// The partition; `None` if any backend server may run the request.
    pub partition: Option<Partition>,
    /// The id, if the request runs at most once.
    pub id: Option<RequestId>,
    /// A hash of the request's method, target, key and body.
    pub digest: u64,
    /// The policy of the rule that matched, or the default policy.
    pub policy: RequestPolicy,
    /// The time limit requested by the caller, capped by the policy's limit.
    pub time_limit: Millis,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The complete body.
    pub body: Bytes,
    /// Held while the caller is connected; dropping it cancels the request.
    pub disconnect_guard: Option<oneshot::Sender<()>>,
    /// Resolves when the caller disconnects.
    pub disconnected: oneshot::Receiver<()>,
}

impl Message for CallerRequest {
    type Result = RequestResult;
}

/// The result of a caller's request.
#[derive(actix::MessageResponse)]
pub struct RequestResult {
    /// The outcome, with the response body as a stream.
    pub outcome: Outcome<(ResponseHead, BodyReceiver)>,
    /// How long the caller should wait before it retries.
    pub retry_after: Millis,
}

/// The actor that handles callers' requests on the host thread.
pub struct Ingress {
    cx: Cx,
}

impl Ingress {
    /// Creates the actor.
    pub fn new(cx: Cx) -> Self {
        Self { cx }
    }
}

impl Actor for Ingress {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

impl Handler<CallerRequest> for Ingress {
    type Result = ResponseFuture<RequestResult>;

    fn handle(&mut self, mut req: CallerRequest, _: &mut Self::Context) -> Self::Result {
        let cx = self.cx.clone();
        Box::pin(async move {
            let mut disconnected = std::mem::replace(&mut req.disconnected, oneshot::channel().1);
            let outcome = tokio::select! {
                outcome = Dispatch::new(&cx, req).run() => outcome,
                _ = &mut disconnected => Outcome::Unknown(UnknownReason::ConnectionLost),
            };
            count_outcome(&outcome);
            RequestResult { outcome: outcome.map(forward_body), retry_after: DEFAULT_RETRY_AFTER }
        })
    }
}

fn count_outcome<T>(outcome: &Outcome<T>) {
    let label = match outcome {
        Outcome::Ran(_) => "ran",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    };
    metrics::counter!("papayarill_requests_total", "outcome" => label).increment(1);
}

fn count_cross_region_bytes(bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("papayarill_cross_region_bytes_total").increment(bytes);
}

/// Streams the body to the HTTP thread with backpressure. If the caller disconnects, the body is
/// dropped.
fn forward_body((head, mut body): (ResponseHead, Body)) -> (ResponseHead, BodyReceiver) {
    let (tx, rx) = mpsc::channel(RESPONSE_CHUNK_BUFFER);
    actix_rt::spawn(async move {
        loop {
            let chunk = tokio::select! {
                chunk = body.next() => chunk,
                () = tx.closed() => return,
            };
            let Some(chunk) = chunk else {
                return;
            };
            if tx.send(chunk).await.is_err() {
                return;
            }
        }
    });
    (head, rx)
}

/// A request and the state of its attempts.
struct Dispatch<'a> {
    cx: &'a Cx,
    req: CallerRequest,
    /// The cell of the partition, if the request has a partition and its service is configured.
    cell: Option<CellId>,
    deadline: Millis,
    attempts: Attempts,
}

/// The host to which an attempt is sent.
#[derive(Clone, Copy)]
struct AttemptTarget {
    addr: HostAddr,
    /// The route that named this host as owner; `None` if any backend server may run the request.
    known: Option<KnownRoute>,
}

impl<'a> Dispatch<'a> {
    fn new(cx: &'a Cx, req: CallerRequest) -> Self {
        let deadline = cx.now() + req.time_limit;
        let config = cx.config.current();
        let service = config.service(req.service.as_str());
        let cell = req.partition.and_then(|p| service.map(|s| s.cell_of(p)));
        Self { cx, req, cell, deadline, attempts: Attempts::default() }
    }

    async fn run(mut self) -> OwnerOutcome {
        if !self.cx.knows_current_config() {
            return Outcome::NotRun(NotRunReason::StaleConfig);
        }
        self.cx.routes.with_retry_budget(&self.req.service, self.cx, RetryBudget::deposit);
        loop {
            let target = self.await_target().await;
            let outcome = match target {
                Some(target) => self.attempt(target).await,
                None => Outcome::NotRun(NotRunReason::NoOwner),
            };
            let failure = match &outcome {
                Outcome::Ran(_) => return outcome,
                Outcome::NotRun(reason) => Failure::NotRun(*reason),
                Outcome::Unknown(reason) => Failure::Unknown(*reason),
            };
            if !self.prepare_retry(failure, target).await {
                return match self.attempts.overall_failure(failure) {
                    Failure::NotRun(reason) => Outcome::NotRun(reason),
                    Failure::Unknown(reason) => Outcome::Unknown(reason),
                };
            }
        }
    }

    /// Waits as the retry policy requires and returns whether to make another attempt.
    async fn prepare_retry(&mut self, failure: Failure, target: Option<AttemptTarget>) -> bool {
        let mut decision =
            self.with_retry_context(|a, cx, budget| a.after_failure(failure, cx, budget));
        loop {
            log::info!("routing: {} got {failure:?}; next: {decision:?}.", self.describe());
            match decision {
                RetryDecision::Answer(_) => return false,
                RetryDecision::SendAgain { after } => {
                    tokio::time::sleep(after.into()).await;
                    metrics::counter!("papayarill_resends_total").increment(1);
                    return true;
                }
                RetryDecision::AwaitRoute { at_most } => {
                    let route = self.await_route(target, at_most).await;
                    decision = self
                        .with_retry_context(|a, cx, budget| a.after_route_wait(route, cx, budget));
                }
            }
        }
    }

    fn with_retry_context(
        &mut self,
        decide: impl FnOnce(&mut Attempts, &RetryContext, &mut RetryBudget) -> RetryDecision,
    ) -> RetryDecision {
        let retry_cx = RetryContext {
            repeat: self.req.policy.repeat,
            servers: self.eligible_servers(),
            time_left: self.time_left(),
            random: rand::random(),
        };
        let attempts = &mut self.attempts;
        self.cx.routes.with_retry_budget(&self.req.service, self.cx, |budget| {
            decide(attempts, &retry_cx, budget)
        })
    }

    async fn await_route(&self, target: Option<AttemptTarget>, at_most: Millis) -> RouteChange {
        let (Some(cell), Some(partition)) = (&self.cell, self.req.partition) else {
            return RouteChange::Unchanged;
        };
        let no_route = KnownRoute { route: None, version: routes::table_version(self.cx, cell) };
        let before = target.and_then(|t| t.known).unwrap_or(no_route);
        routes::await_route_change(self.cx, cell, partition, before, at_most).await
    }

    fn eligible_servers(&self) -> EligibleServers {
        if self.req.partition.is_some() { EligibleServers::Owner } else { EligibleServers::Any }
    }

    fn time_left(&self) -> Millis {
        self.deadline.since(self.cx.now())
    }

    fn describe(&self) -> String {
        let service = &self.req.service;
        match self.req.partition {
            Some(partition) => format!("A request to {service}, partition {partition},"),
            None => format!("A request to {service}"),
        }
    }

    /// Chooses the host for the next attempt. A request without a partition waits until some
    /// backend server of its service is known.
    async fn await_target(&self) -> Option<AttemptTarget> {
        let Some(partition) = self.req.partition else {
            let max_wait = self.time_left().min(MAX_SERVER_WAIT);
            let addr = routes::await_server(self.cx, &self.req.service, max_wait).await?;
            return Some(AttemptTarget { addr, known: None });
        };
        self.owner_target(partition)
    }

    fn owner_target(&self, partition: Partition) -> Option<AttemptTarget> {
        let cell = self.cell.as_ref()?;
        let route = routes::known_route(self.cx, cell, partition)?;
        let known =
            KnownRoute { route: Some(route), version: routes::table_version(self.cx, cell) };
        Some(AttemptTarget { addr: route.owner, known: Some(known) })
    }

    async fn attempt(&self, target: AttemptTarget) -> OwnerOutcome {
        let time_left = self.time_left();
        if time_left == Millis::ZERO {
            return Outcome::NotRun(NotRunReason::Deadline);
        }
        log::info!("routing: {} is sent to {}.", self.describe(), target.addr);
        let head = self.forward_head(time_left);
        let body = self.req.body.clone();
        let started_at = self.cx.now();
        if target.known.is_none() {
            routes::request_started(self.cx, &self.req.service, target.addr);
        }
        let outcome = if target.addr == self.cx.addr {
            owner::run(self.cx, head, body).await
        } else {
            metrics::counter!("papayarill_hops_total").increment(1);
            let outcome = tokio::select! {
                outcome = self.cx.client.forward(target.addr, head, body) => outcome,
                () = self.owner_replaced(target) => Outcome::Unknown(UnknownReason::ConnectionLost),
            };
            self.count_cross_region_traffic(target.addr, outcome)
        };
        if target.known.is_none() {
            routes::request_finished(self.cx, &self.req.service, target.addr, started_at, &outcome);
        }
        outcome
    }

    /// Counts bytes sent between regions, because that traffic is billed.
    fn count_cross_region_traffic(&self, to: HostAddr, outcome: OwnerOutcome) -> OwnerOutcome {
        if self.distance(to) != Distance::OtherRegion {
            return outcome;
        }
        count_cross_region_bytes(self.req.body.len());
        outcome.map(|(head, body)| {
            let counted_body = body.inspect(|chunk| {
                if let Ok(bytes) = chunk {
                    count_cross_region_bytes(bytes.len());
                }
            });
            (head, counted_body.boxed_local())
        })
    }

    fn distance(&self, to: HostAddr) -> Distance {
        let first_cell = || CellId { service: self.req.service.clone(), index: 0 };
        let cell = self.cell.clone().unwrap_or_else(first_cell);
        routes::distance(self.cx, &cell, to)
    }

    /// Resolves when the routes name a different owner than the one that the request was sent to.
    ///
    /// In a planned move, the previous owner finishes its requests before the route changes. If
    /// the route changes while this request still runs, the previous owner must be unresponsive or
    /// disconnected, and waiting for it would block the request until its deadline.
    async fn owner_replaced(&self, target: AttemptTarget) {
        let (Some(before), Some(cell)) = (target.known, &self.cell) else {
            return std::future::pending().await;
        };
        let Some(partition) = self.req.partition else {
            return std::future::pending().await;
        };
        tokio::time::sleep(OWNER_CHECK_DELAY).await;
        let without_version = KnownRoute { version: None, ..before };
        let time_left = self.time_left();
        let route =
            routes::await_route_change(self.cx, cell, partition, without_version, time_left).await;
        if route == RouteChange::Unchanged {
            std::future::pending::<()>().await;
        }
        // A response sent before the change may still be in transit.
        tokio::time::sleep(LATE_RESPONSE_GRACE).await;
    }

    fn forward_head(&self, time_left: Millis) -> ForwardHead {
        let req = &self.req;
        ForwardHead {
            service: req.service.clone(),
            partition: req.partition,
            id: req.id,
            digest: req.digest,
            priority: req.policy.priority,
            time_left,
            rule: req.policy.index,
            method: req.method.clone(),
            target: req.target.clone(),
            headers: req.headers.clone(),
            body_length: u64::try_from(req.body.len()).unwrap_or(u64::MAX),
        }
    }
}
