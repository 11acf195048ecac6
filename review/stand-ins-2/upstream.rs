//! A backend server that sends heartbeats, holds the keys that it is granted, and runs requests.
//!
//! The last segment of a path tells what a request takes: `w30b1900` is 30 ms of work and a body of
//! 1,900 bytes.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Connection, Head};
use crate::json::Json;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(870);

/// The interval while it releases keys.
const RELEASE_INTERVAL: Duration = Duration::from_millis(100);

/// The sequence number of the last heartbeat, above all others.
const LAST_SEQ: u64 = 1_000_000;

/// How many requests wait for a slot before others are rejected.
const QUEUE: usize = 24;

#[derive(Clone, Debug)]
pub struct Held {
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    until: Instant,
}

/// Bytes that a faulty backend server writes after an answer that is complete: they arrive when the
/// next request on that connection has been received. Called with the number of that request.
pub type Stray = Box<dyn Fn(usize) -> Option<Vec<u8>> + Send + Sync>;

struct Inner {
    id: String,
    address: SocketAddr,
    control: SocketAddr,
    service: String,
    zone: String,
    slots: usize,
    sharded: bool,
    silent: AtomicBool,
    born: u64,
    busy: AtomicUsize,
    received: AtomicUsize,
    held: Mutex<Vec<Held>>,
    released: Mutex<Vec<(u16, u16)>>,
    /// How often each request began to run.
    runs: Mutex<HashMap<String, usize>>,
    /// The keys of the requests with keys, and when they began to run.
    begun: Mutex<Vec<(Instant, u16)>>,
    stray: Option<Stray>,
}

#[derive(Clone)]
pub struct Upstream(Arc<Inner>);

/// What an upstream is started with.
pub struct Settings {
    pub id: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub sharded: bool,
    pub stray: Option<Stray>,
}

impl Upstream {
    pub fn start(settings: Settings) -> Upstream {
        let Settings { id, address, control, service, zone, slots, sharded, stray } = settings;
        let born = now_unix_ms();
        let upstream = Upstream(Arc::new(Inner {
            id,
            address,
            control,
            service,
            zone,
            slots,
            sharded,
            silent: AtomicBool::new(false),
            born,
            busy: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            held: Mutex::default(),
            released: Mutex::default(),
            runs: Mutex::default(),
            begun: Mutex::default(),
            stray,
        }));
        let listener = TcpListener::bind(address).expect("the address is free");
        let shared = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = shared.clone();
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let shared = upstream.clone();
        thread::spawn(move || shared.send_heartbeats());
        upstream
    }

    /// Returns how often a request began to run.
    pub fn runs_of(&self, id: &str) -> usize {
        self.0.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Returns how many requests began to run.
    pub fn run_count(&self) -> usize {
        self.0.runs.lock().unwrap().values().sum()
    }

    /// Sends no more heartbeats, and returns one that is sent now and arrives late.
    pub fn last_heartbeat(&self) -> Vec<u8> {
        self.0.silent.store(true, Ordering::SeqCst);
        thread::sleep(HEARTBEAT_INTERVAL + Duration::from_millis(200));
        self.registry_call("instances.heartbeat", LAST_SEQ)
    }

    /// Deregisters. Returns the status of the answer, or 0.
    pub fn deregister(&self) -> u16 {
        self.deliver(&self.registry_call("instances.deregister", LAST_SEQ + 1))
    }

    /// Delivers a call. Returns the status of the answer, or 0.
    pub fn deliver(&self, call: &[u8]) -> u16 {
        let answer = http::call(self.0.control, call, Duration::from_secs(1));
        answer.map_or(0, |(head, _)| head.status())
    }

    fn registry_call(&self, call: &str, seq: u64) -> Vec<u8> {
        let b = &self.0;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\"born\":{}}}",
            b.service, b.address, b.zone, b.slots, b.born
        );
        let target = format!("/v1/rpc?call={call}&of={}", b.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        http::request("POST", &target, &headers, body.as_bytes())
    }

    /// Returns the keys of the requests that began to run since `start`.
    pub fn begun_since(&self, start: Instant) -> Vec<u16> {
        let begun = self.0.begun.lock().unwrap();
        begun.iter().filter(|(at, _)| *at >= start).map(|(_, key)| *key).collect()
    }

    /// Returns the keys that it holds now.
    pub fn held(&self) -> Vec<Held> {
        let now = Instant::now();
        self.0.held.lock().unwrap().iter().filter(|h| now < h.until).cloned().collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let mut on_connection = 0;
        while let Ok(Some((head, _))) = http::read(&mut stream) {
            let number = self.0.received.fetch_add(1, Ordering::SeqCst);
            let stray = self.0.stray.as_ref().filter(|_| on_connection > 0);
            if let Some(bytes) = stray.and_then(|stray| stray(number)) {
                let _ = stream.get_mut().write_all(&bytes);
            }
            on_connection += 1;
            let response = self.run(&head);
            if stream.get_mut().write_all(&response).is_err() {
                return;
            }
        }
    }

    fn run(&self, head: &Head) -> Vec<u8> {
        let b = &self.0;
        let id = head.get("attempt-id").unwrap_or("").to_owned();
        let echo = ("Attempt-Id", &*id);
        if head.get("target-instance").is_some_and(|target| target != b.id) {
            let headers = [echo, ("Instance-Id", &*b.id), ("Not-Executed", "1")];
            return http::response("421 Misdirected Request", &headers, b"");
        }
        let key = head.get("shard-key").and_then(|k| k.parse::<u16>().ok());
        let holds = |key: u16| self.held().iter().any(|h| h.from <= key && key <= h.to);
        if b.sharded && !key.is_some_and(holds) {
            let headers = [echo, ("Not-Executed", "1")];
            return http::response("421 Misdirected Request", &headers, b"");
        }
        if b.busy.fetch_add(1, Ordering::SeqCst) >= b.slots + QUEUE {
            b.busy.fetch_sub(1, Ordering::SeqCst);
            let headers = [echo, ("Not-Executed", "1")];
            return http::response("503 Service Unavailable", &headers, b"");
        }
        *b.runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        if let Some(key) = key {
            b.begun.lock().unwrap().push((Instant::now(), key));
        }
        let (work, bytes) = demand(head.target());
        thread::sleep(Duration::from_millis(work));
        let busy = b.busy.fetch_sub(1, Ordering::SeqCst);
        let load = format!("{},0,{}", busy.min(b.slots), b.slots);
        let headers = [
            echo,
            ("Server-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Server-Load", &*load),
            ("Keep-Alive", "timeout=10"),
        ];
        http::response("200 OK", &headers, &vec![b'x'; bytes])
    }

    fn send_heartbeats(&self) {
        let b = &self.0;
        let mut seq = 0;
        let mut connection: Option<Connection> = None;
        let mut sent_rows = Vec::new();
        while !b.silent.load(Ordering::SeqCst) {
            seq += 1;
            let rows: Vec<String> =
                self.held().iter().map(|h| format!("[{},{},{}]", h.from, h.to, h.fence)).collect();
            sent_rows.append(&mut b.released.lock().unwrap());
            let released: Vec<String> =
                sent_rows.iter().map(|(f, t)| format!("[{f},{t},\"{}-{f}-{t}\"]", b.id)).collect();
            let keys = match b.sharded {
                true => {
                    format!(",\"holds\":[{}],\"released\":[{}]", rows.join(","), released.join(","))
                }
                false => String::new(),
            };
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":{},\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\"born\":{}{keys}}}",
                b.service, b.address, b.zone, b.slots, b.born
            );
            let target = format!("/v1/rpc?call=instances.heartbeat&of={}", b.id);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let request = http::request("POST", &target, &headers, body.as_bytes());
            let sent = Instant::now();
            if connection.is_none() {
                connection = Connection::open(b.control, Duration::from_secs(1)).ok();
            }
            let reply = connection.as_mut().map(|c| c.exchange(&request));
            let reply = match reply {
                Some(Ok(Some((head, body)))) if head.status() == 200 => Some(body),
                Some(Ok(Some(_))) => None,
                _ => {
                    connection = None;
                    None
                }
            };
            let mut changed = false;
            if let Some(reply) = reply.and_then(|body| Json::parse(&body)) {
                sent_rows.clear();
                if b.sharded && *reply.get("holds") != Json::Null {
                    changed = self.apply(&reply, sent);
                }
            }
            let interval = if changed { RELEASE_INTERVAL } else { HEARTBEAT_INTERVAL };
            thread::sleep(interval.saturating_sub(sent.elapsed()));
        }
    }

    /// Holds what a reply grants and releases the rest. Returns whether anything was released.
    fn apply(&self, reply: &Json, sent: Instant) -> bool {
        let until = sent + Duration::from_millis(reply.get("hold_ms").number());
        let row = |r: &Json| {
            let part = |i: usize| r.list().get(i).map_or(0, Json::number);
            Held { from: part(0) as u16, to: part(1) as u16, fence: part(2), until }
        };
        let granted: Vec<Held> = reply.get("holds").list().iter().map(row).collect();
        let kept = |h: &Held| granted.iter().any(|g| g.from <= h.from && h.to <= g.to);
        let gone: Vec<Held> = self.held().into_iter().filter(|h| !kept(h)).collect();
        *self.0.held.lock().unwrap() = granted;
        self.0.released.lock().unwrap().extend(gone.iter().map(|h| (h.from, h.to)));
        !gone.is_empty()
    }
}

fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Returns the work in milliseconds and the length of the body that a path asks for.
fn demand(target: &str) -> (u64, usize) {
    let last = target.rsplit('/').next().unwrap_or("");
    let parts = last.strip_prefix('w').and_then(|rest| rest.split_once('b'));
    let parsed = parts.and_then(|(w, b)| Some((w.parse().ok()?, b.parse().ok()?)));
    parsed.unwrap_or((10, 16))
}
