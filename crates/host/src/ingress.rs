//! What a host does as ingress: it finds the owner, passes the request on over at most one hop,
//! and decides after each attempt whether another one is allowed.

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

use crate::owner::{self, OwnerOutcome};
use crate::routes::{self, Known};
use crate::shared::Cx;

/// How long a request waits until some backend server of its service is known.
const MAX_MEMBER_WAIT: Millis = Millis(2_000);

/// How long an owner may take before it is checked whether it still is the owner.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(250);

/// How long an answer may be on its way after its sender was superseded.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Requests that may wait in the actor's mailbox.
const MAILBOX_CAPACITY: usize = 4_096;

/// The body of an answer on its way to the HTTP thread.
pub type Chunks = mpsc::Receiver<Result<Bytes, BodyError>>;

/// Chunks of an answer that wait for a slow caller.
const ANSWER_CHUNKS: usize = 4;

/// A checked request of a caller.
pub struct CallerRequest {
    /// The service.
    pub service: ServiceName,
    /// The partition; `None` if any backend server may run the request.
    pub partition: Option<Partition>,
    /// The id, if the request runs at most once.
    pub id: Option<RequestId>,
    /// The digest of the request.
    pub digest: u64,
    /// The rule that matched.
    pub matched: RequestPolicy,
    /// The time that the caller gives, at most the rule's limit.
    pub time_limit: Millis,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers to pass on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The whole body.
    pub body: Bytes,
    /// Held by the caller's connection; dropping it ends the work.
    pub keep: Option<oneshot::Sender<()>>,
    /// Resolves when the caller went away.
    pub gone: oneshot::Receiver<()>,
}

impl Message for CallerRequest {
    type Result = Served;
}

/// What came of a caller's request.
#[derive(actix::MessageResponse)]
pub struct Served {
    /// The outcome; the body of an answer comes in chunks.
    pub outcome: Outcome<(ResponseHead, Chunks)>,
    /// When sending again makes sense.
    pub retry_after: Millis,
}

/// The actor that takes callers' requests from the HTTP threads.
pub struct Ingress {
    cx: Cx,
}

impl Ingress {
    /// Makes the actor.
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
    type Result = ResponseFuture<Served>;

    fn handle(&mut self, mut req: CallerRequest, _: &mut Self::Context) -> Self::Result {
        let cx = self.cx.clone();
        Box::pin(async move {
            let mut gone = std::mem::replace(&mut req.gone, oneshot::channel().1);
            let outcome = tokio::select! {
                outcome = Job::new(&cx, req).run() => outcome,
                _ = &mut gone => Outcome::Unknown(UnknownReason::ConnectionLost),
            };
            count(&outcome);
            Served { outcome: outcome.map(pipe), retry_after: DEFAULT_RETRY_AFTER }
        })
    }
}

fn count<T>(outcome: &Outcome<T>) {
    let told = match outcome {
        Outcome::Ran(_) => "ran",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    };
    metrics::counter!("papayarill_requests_total", "outcome" => told).increment(1);
}

fn count_crossing_bytes(bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics::counter!("papayarill_cross_region_bytes_total").increment(bytes);
}

/// Carries the body to the HTTP thread. A slow caller slows the body down; one that goes away
/// drops it.
fn pipe((head, mut body): (ResponseHead, Body)) -> (ResponseHead, Chunks) {
    let (tx, rx) = mpsc::channel(ANSWER_CHUNKS);
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

/// One request on its way, with all its attempts.
struct Job<'a> {
    cx: &'a Cx,
    req: CallerRequest,
    /// The cell of the partition, if the request has one and its service is known.
    cell: Option<CellId>,
    deadline: Millis,
    attempts: Attempts,
}

/// Where an attempt goes.
#[derive(Clone, Copy)]
struct Target {
    addr: HostAddr,
    /// What named the owner; `None` if any server may serve.
    known: Option<Known>,
}

impl<'a> Job<'a> {
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
        self.cx.routes.with_budget(&self.req.service, self.cx, RetryBudget::deposit);
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
            if !self.prepare_next(failure, target).await {
                return match self.attempts.overall_failure(failure) {
                    Failure::NotRun(reason) => Outcome::NotRun(reason),
                    Failure::Unknown(reason) => Outcome::Unknown(reason),
                };
            }
        }
    }

    /// Waits as the retry policy says. Returns whether another attempt is allowed.
    async fn prepare_next(&mut self, failure: Failure, target: Option<Target>) -> bool {
        let mut step = self.step(|a, cx, budget| a.after_failure(failure, cx, budget));
        loop {
            log::info!("routing: {} got {failure:?}, so {step:?}.", self.name());
            match step {
                RetryDecision::Answer(_) => return false,
                RetryDecision::SendAgain { after } => {
                    tokio::time::sleep(after.into()).await;
                    metrics::counter!("papayarill_resends_total").increment(1);
                    return true;
                }
                RetryDecision::AwaitRoute { at_most } => {
                    let route = self.await_route(target, at_most).await;
                    step = self.step(|a, cx, budget| a.after_route_wait(route, cx, budget));
                }
            }
        }
    }

    fn step(
        &mut self,
        decide: impl FnOnce(&mut Attempts, &RetryContext, &mut RetryBudget) -> RetryDecision,
    ) -> RetryDecision {
        let retry_cx = RetryContext {
            repeat: self.req.matched.repeat,
            servers: self.servers(),
            time_left: self.time_left(),
            random: rand::random(),
        };
        let attempts = &mut self.attempts;
        self.cx
            .routes
            .with_budget(&self.req.service, self.cx, |budget| decide(attempts, &retry_cx, budget))
    }

    async fn await_route(&self, target: Option<Target>, at_most: Millis) -> RouteChange {
        let (Some(cell), Some(partition)) = (&self.cell, self.req.partition) else {
            return RouteChange::Unchanged;
        };
        let nothing = Known { route: None, version: routes::version(self.cx, cell) };
        let before = target.and_then(|t| t.known).unwrap_or(nothing);
        routes::await_newer(self.cx, cell, partition, before, at_most).await
    }

    fn servers(&self) -> EligibleServers {
        if self.req.partition.is_some() { EligibleServers::Owner } else { EligibleServers::Any }
    }

    fn time_left(&self) -> Millis {
        self.deadline.since(self.cx.now())
    }

    fn name(&self) -> String {
        let service = &self.req.service;
        match self.req.partition {
            Some(partition) => format!("A request of {service}, partition {partition},"),
            None => format!("A request of {service}"),
        }
    }

    /// Finds where the next attempt goes. A first request of a service that is not divided by
    /// key waits until some backend server is known.
    async fn await_target(&self) -> Option<Target> {
        let Some(partition) = self.req.partition else {
            let most = self.time_left().min(MAX_MEMBER_WAIT);
            let addr = routes::await_choice(self.cx, &self.req.service, most).await?;
            return Some(Target { addr, known: None });
        };
        self.owner(partition)
    }

    fn owner(&self, partition: Partition) -> Option<Target> {
        let cell = self.cell.as_ref()?;
        let route = routes::known(self.cx, cell, partition)?;
        let known = Known { route: Some(route), version: routes::version(self.cx, cell) };
        Some(Target { addr: route.owner, known: Some(known) })
    }

    async fn attempt(&self, target: Target) -> OwnerOutcome {
        let time_left = self.time_left();
        if time_left == Millis::ZERO {
            return Outcome::NotRun(NotRunReason::Deadline);
        }
        log::info!("routing: {} goes to {}.", self.name(), target.addr);
        let head = self.head(time_left);
        let body = self.req.body.clone();
        let started_at = self.cx.now();
        if target.known.is_none() {
            routes::started(self.cx, &self.req.service, target.addr);
        }
        let outcome = if target.addr == self.cx.addr {
            owner::run(self.cx, head, body).await
        } else {
            metrics::counter!("papayarill_hops_total").increment(1);
            let outcome = tokio::select! {
                outcome = self.cx.client.forward(target.addr, head, body) => outcome,
                () = self.superseded(target) => Outcome::Unknown(UnknownReason::ConnectionLost),
            };
            self.count_crossing(target.addr, outcome)
        };
        if target.known.is_none() {
            routes::finished(self.cx, &self.req.service, target.addr, started_at, &outcome);
        }
        outcome
    }

    /// Counts the bytes that cross regions, because that traffic is paid for.
    fn count_crossing(&self, to: HostAddr, outcome: OwnerOutcome) -> OwnerOutcome {
        if self.distance(to) != Distance::Far {
            return outcome;
        }
        count_crossing_bytes(self.req.body.len());
        outcome.map(|(head, body)| {
            let counted = body.inspect(|chunk| {
                if let Ok(bytes) = chunk {
                    count_crossing_bytes(bytes.len());
                }
            });
            (head, counted.boxed_local())
        })
    }

    fn distance(&self, to: HostAddr) -> Distance {
        let first_cell = || CellId { service: self.req.service.clone(), index: 0 };
        let cell = self.cell.clone().unwrap_or_else(first_cell);
        routes::distance(self.cx, &cell, to)
    }

    /// Resolves when another owner is known than the one that the request was sent to. A planned
    /// move shows only after the former owner has answered, so the former owner is frozen or cut
    /// off, and waiting for it would hold the request up until its deadline.
    async fn superseded(&self, target: Target) {
        let (Some(before), Some(cell)) = (target.known, &self.cell) else {
            return std::future::pending().await;
        };
        let Some(partition) = self.req.partition else {
            return std::future::pending().await;
        };
        tokio::time::sleep(SUPERSEDED_AFTER).await;
        let unmarked = Known { version: None, ..before };
        let time_left = self.time_left();
        let route = routes::await_newer(self.cx, cell, partition, unmarked, time_left).await;
        if route == RouteChange::Unchanged {
            std::future::pending::<()>().await;
        }
        // An answer that was sent before the move may still be on its way.
        tokio::time::sleep(LATE_ANSWER_GRACE).await;
    }

    fn head(&self, time_left: Millis) -> ForwardHead {
        let req = &self.req;
        ForwardHead {
            service: req.service.clone(),
            partition: req.partition,
            id: req.id,
            digest: req.digest,
            priority: req.matched.priority,
            time_left,
            rule: req.matched.index,
            method: req.method.clone(),
            target: req.target.clone(),
            headers: req.headers.clone(),
            body_length: u64::try_from(req.body.len()).unwrap_or(u64::MAX),
        }
    }
}
