//! A steady load of keyed requests, with a log of what the callers saw.

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

/// The pause of one key's caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// How often a caller sends one intended request before it gives up.
const MAX_SENDS: usize = 20;

/// The reason of an answer that nobody can improve on.
const NOT_VOUCHED: &str = "not-vouched";

/// Makes the callers' choices repeatable.
const SEED: u64 = 11;

/// One intended request of a caller, sent once or more often.
#[derive(Clone, Debug)]
pub struct LogicalRequest {
    /// When it was first sent.
    pub first_sent_at: Millis,
    /// When the last answer to it came.
    pub completed_at: Millis,
    /// Its request id, if it runs at most once.
    pub id: Option<String>,
    /// What the caller saw, send by send; the body is left out.
    pub responses: Vec<ObservedResponse>,
}

impl LogicalRequest {
    /// Returns whether the caller has an answer of the backend server.
    pub fn was_served(&self) -> bool {
        self.responses.last().is_some_and(|s| s.status == 200)
    }
}

/// What the caller of one key saw.
#[derive(Clone, Debug)]
pub struct KeyLog {
    /// The key.
    pub key: String,
    /// All requests, in order.
    pub requests: Vec<LogicalRequest>,
}

/// A load that runs until it is stopped.
pub struct LoadGenerator {
    targets: Rc<RefCell<Vec<SocketAddr>>>,
    stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<KeyLog>>,
}

impl LoadGenerator {
    /// Starts one caller per key. Each sends one request after the other, half of them
    /// idempotent, to any of the host processes.
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

    /// Makes the callers use these host processes from now on.
    pub fn set_targets(&self, targets: Vec<SocketAddr>) {
        self.targets.replace(targets);
    }

    /// Ends the load and returns what the callers saw.
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
            tokio::time::sleep(PAUSE).await;
        }
        KeyLog { key: self.path, requests }
    }

    /// Sends one request until it has an answer, or until it is known that nobody can tell whether
    /// it ran. The id stays the same unless every send with it was told that it did not run.
    async fn send_until_settled(&mut self, mut id: Option<String>) -> LogicalRequest {
        let first_sent_at = self.clock.now();
        let mut responses: Vec<ObservedResponse> = Vec::new();
        while responses.len() < MAX_SENDS {
            let mut answer = self.send(id.as_deref()).await;
            answer.body = Bytes::new();
            let done = answer.status == 200;
            responses.push(answer);
            if done {
                break;
            }
            if id.is_some() && responses.iter().all(ObservedResponse::did_not_run) {
                id = Some(Uuid::now_v7().to_string());
            } else if responses.last().is_some_and(|s| s.reason == NOT_VOUCHED) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
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
