//! A generator of keyed load: closed loops or a fixed rate, with latencies and outcomes.

mod keys;
mod report;
mod send;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use model::Millis;
use tokio::time::{Instant, sleep_until};

pub use self::keys::Keys;
pub use self::report::{LoadReport, RequestOutcome};

/// What to send, to which servers and at what rate, with chained setters.
#[derive(Clone)]
pub struct LoadPlan {
    targets: Vec<SocketAddr>,
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    requests: u64,
    connections: usize,
    rate: Option<f64>,
    keys: Keys,
    seed: u64,
    time_limit: Millis,
    request_ids: RequestIds,
}

/// Whether requests carry an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIds {
    /// Requests carry no id.
    None,
    /// Each request carries a new UUIDv7.
    Fresh,
}

impl LoadPlan {
    /// Returns a plan of 1,000 requests in one closed loop over 100 keys.
    pub fn new(targets: Vec<SocketAddr>) -> Self {
        Self {
            targets,
            method: "GET".to_owned(),
            path: "/{key}".to_owned(),
            headers: Vec::new(),
            requests: 1_000,
            connections: 1,
            rate: None,
            keys: Keys::uniform(100),
            seed: 1,
            time_limit: Millis(30_000),
            request_ids: RequestIds::None,
        }
    }

    model::setters! {
        /// The HTTP method.
        method: String,
        /// The path; `{key}` stands for the key.
        path: String,
        /// Headers of each request; `{key}` stands for the key.
        headers: Vec<(String, String)>,
        /// The number of requests.
        requests: u64,
        /// The number of concurrent requests, each on a connection of its own.
        connections: usize,
        /// Requests per second (open loop). Latency is then measured from the scheduled time, so
        /// that waiting for a free connection counts. `None` is a closed loop: each connection
        /// sends its next request after the response to the last one.
        rate: Option<f64>,
        /// The keys and their distribution.
        keys: Keys,
        /// The seed for the choice of keys and targets.
        seed: u64,
        /// The timeout of one request.
        time_limit: Millis,
        /// Whether requests carry an id.
        request_ids: RequestIds,
    }
}

/// State shared by the connections of one load run.
struct LoadRun {
    plan: LoadPlan,
    next: Cell<u64>,
    started: Instant,
    report: RefCell<LoadReport>,
}

impl LoadRun {
    /// Allocates the number of the next request; `None` once all were sent.
    fn next_request_number(&self) -> Option<u64> {
        let number = self.next.get();
        self.next.set(number + 1);
        (number < self.plan.requests).then_some(number)
    }

    /// Returns the time at which to send a request: now in a closed loop.
    fn scheduled_at(&self, number: u64) -> Instant {
        match self.plan.rate {
            Some(rate) => self.started + Duration::from_secs_f64(number as f64 / rate),
            None => Instant::now(),
        }
    }
}

/// Sends the load and reports outcomes and latencies. Must be called inside an actix system.
pub async fn run(plan: LoadPlan) -> LoadReport {
    let connections = plan.connections.max(1);
    let run = Rc::new(LoadRun {
        plan,
        next: Cell::new(0),
        started: Instant::now(),
        report: RefCell::new(LoadReport::new()),
    });
    join_all((0..connections).map(|index| send_loop(run.clone(), index as u64))).await;
    let mut report = run.report.take();
    report.elapsed = run.started.elapsed().into();
    report
}

/// Sends requests one after another over one connection.
async fn send_loop(run: Rc<LoadRun>, index: u64) {
    let mut sender = send::Sender::new(&run.plan, index);
    while let Some(number) = run.next_request_number() {
        let scheduled_at = run.scheduled_at(number);
        // Timers round up to whole milliseconds, so sleeping until a time in the past would cost
        // one millisecond.
        if scheduled_at > Instant::now() {
            sleep_until(scheduled_at).await;
        }
        let outcome = sender.send(&run.plan).await;
        run.report.borrow_mut().record(outcome, scheduled_at.elapsed());
    }
}
