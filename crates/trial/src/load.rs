//! A generator of steady load on keyed requests, with a log of what the callers observed.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use model::{Clock, Millis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use crate::deployment::SERVICE;
use crate::http::{self, ObservedResponse};

/// The pause of a caller between two attempts or requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// The most attempts of a caller for one request before it gives up.
const MAX_ATTEMPTS: usize = 20;

/// The reason of a response that is final: the owner's history of the partition is incomplete, so
/// no further attempt can tell whether the request ran.
const HISTORY_INCOMPLETE: &str = "not-vouched";

/// The seed of the callers' random choices, which makes them reproducible.
const SEED: u64 = 11;

/// One request that a caller intends, with all its attempts.
#[derive(Clone, Debug)]
pub struct LogicalRequest {
    /// When the first attempt was sent.
    pub first_sent_at: Millis,
    /// When the last response arrived.
    pub completed_at: Millis,
    /// The request id, if the request must run at most once.
    pub id: Option<String>,
    /// The response to each attempt, without its body.
    pub responses: Vec<ObservedResponse>,
}

impl LogicalRequest {
    /// Returns whether the caller got a response of the backend server in the end.
    pub fn was_served(&self) -> bool {
        self.responses.last().is_some_and(|s| s.status == 200)
    }
}

/// The requests of the caller of one key.
#[derive(Clone, Debug)]
pub struct KeyLog {
    /// The key.
    pub key: String,
    /// All requests, in order.
    pub requests: Vec<LogicalRequest>,
}

/// A load that runs until it is stopped, with one caller per key.
pub struct LoadGenerator {
    targets: Rc<RefCell<Vec<SocketAddr>>>,
    stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<KeyLog>>,
}

impl LoadGenerator {
    /// Starts one caller per key. Each sends one request after the other to a random host process:
    /// at random, half of them are POST requests with an idempotency key, the others GET requests.
    pub fn start(targets: Vec<SocketAddr>, keys: u64) -> Self {
        let targets = Rc::new(RefCell::new(targets));
        let stopping = Rc::new(Cell::new(false));
        let tasks = (0..keys)
            .map(|number| {
                let caller = Caller {
                    path: format!("/{SERVICE}/keys/{number}"),
                    targets: targets.clone(),
                    rng: StdRng::seed_from_u64(SEED + number),
                    client: http::client(),
                    clock: Clock::boot(),
                };
                actix_rt::spawn(caller.run(stopping.clone()))
            })
            .collect();
        Self { targets, stopping, tasks }
    }

    /// Returns the number of keys.
    pub fn keys(&self) -> usize {
        self.tasks.len()
    }

    /// Replaces the host processes that the callers send requests to.
    pub fn set_targets(&self, targets: Vec<SocketAddr>) {
        self.targets.replace(targets);
    }

    /// Stops the load and returns the log of each caller.
    ///
    /// # Panics
    ///
    /// Panics if a caller panicked.
    pub async fn stop(self) -> Vec<KeyLog> {
        self.stopping.set(true);
        let mut logs = Vec::new();
        for task in self.tasks {
            logs.push(task.await.expect("the caller ends"));
        }
        logs
    }
}

struct Caller {
    path: String,
    targets: Rc<RefCell<Vec<SocketAddr>>>,
    rng: StdRng,
    client: awc::Client,
    clock: Clock,
}

impl Caller {
    async fn run(mut self, stopping: Rc<Cell<bool>>) -> KeyLog {
        let mut requests = Vec::new();
        while !stopping.get() {
            let id = self.rng.random_bool(0.5).then(|| Uuid::now_v7().to_string());
            requests.push(self.send_until_settled(id).await);
            tokio::time::sleep(CALLER_PAUSE).await;
        }
        KeyLog { key: self.path, requests }
    }

    /// Sends one request until it succeeds, until no further attempt can tell whether it ran, or
    /// until the attempts are used up. The id stays the same unless every attempt so far is known
    /// not to have run.
    async fn send_until_settled(&mut self, mut id: Option<String>) -> LogicalRequest {
        let first_sent_at = self.clock.now();
        let mut responses: Vec<ObservedResponse> = Vec::new();
        while responses.len() < MAX_ATTEMPTS {
            let mut response = self.send(id.as_deref()).await;
            response.body = Bytes::new();
            let done = response.status == 200;
            responses.push(response);
            if done {
                break;
            }
            if id.is_some() && responses.iter().all(ObservedResponse::did_not_run) {
                id = Some(Uuid::now_v7().to_string());
            } else if responses.last().is_some_and(|s| s.reason == HISTORY_INCOMPLETE) {
                break;
            }
            tokio::time::sleep(CALLER_PAUSE).await;
        }
        LogicalRequest { first_sent_at, completed_at: self.clock.now(), id, responses }
    }

    async fn send(&mut self, id: Option<&str>) -> ObservedResponse {
        let target = {
            let targets = self.targets.borrow();
            targets[self.rng.random_range(0..targets.len())]
        };
        let url = format!("http://{target}{}", self.path);
        let req = match id {
            None => self.client.get(url),
            Some(id) => self.client.post(url).insert_header(("idempotency-key", id)),
        };
        http::send(req, Bytes::new()).await
    }
}
