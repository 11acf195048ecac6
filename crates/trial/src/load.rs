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
use crate::http::{self, Seen};

/// The pause of one key's caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);

/// How often a caller sends one intended action before it gives up.
const MAX_SENDS: usize = 20;

/// The reason of an answer that nobody can improve on.
const NOT_VOUCHED: &str = "not-vouched";

/// Makes the callers' choices repeatable.
const SEED: u64 = 11;

/// One intended action of a caller, sent once or more often.
#[derive(Clone, Debug)]
pub struct Action {
    /// When it was first sent.
    pub sent_at: Millis,
    /// When the last answer to it came.
    pub answered_at: Millis,
    /// Its request id, if it runs at most once.
    pub id: Option<String>,
    /// What the caller saw, send by send; the body is left out.
    pub seen: Vec<Seen>,
}

impl Action {
    /// Returns whether the caller has an answer of the backend server.
    pub fn ran(&self) -> bool {
        self.seen.last().is_some_and(|s| s.status == 200)
    }
}

/// What the caller of one key saw.
#[derive(Clone, Debug)]
pub struct KeyLog {
    /// The key.
    pub key: String,
    /// All actions, in order.
    pub actions: Vec<Action>,
}

/// A load that runs until it is stopped.
pub struct Load {
    targets: Rc<RefCell<Vec<SocketAddr>>>,
    stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<KeyLog>>,
}

impl Load {
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
        let mut actions = Vec::new();
        while !stopping.get() {
            let id = self.rng.random_bool(0.5).then(|| Uuid::now_v7().to_string());
            actions.push(self.act(id).await);
            tokio::time::sleep(PAUSE).await;
        }
        KeyLog { key: self.path, actions }
    }

    /// Sends one action until it has an answer, or until it is known that nobody can tell whether
    /// it ran. The id stays the same unless every send with it was told that it did not run.
    async fn act(&mut self, mut id: Option<String>) -> Action {
        let sent_at = self.clock.now();
        let mut seen: Vec<Seen> = Vec::new();
        while seen.len() < MAX_SENDS {
            let mut answer = self.send(id.as_deref()).await;
            answer.body = Bytes::new();
            let done = answer.status == 200;
            seen.push(answer);
            if done {
                break;
            }
            if id.is_some() && seen.iter().all(Seen::did_not_run) {
                id = Some(Uuid::now_v7().to_string());
            } else if seen.last().is_some_and(|s| s.reason == NOT_VOUCHED) {
                break;
            }
            tokio::time::sleep(PAUSE).await;
        }
        Action { sent_at, answered_at: self.clock.now(), id, seen }
    }

    async fn send(&mut self, id: Option<&str>) -> Seen {
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
