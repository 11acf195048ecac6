//! An upstream, as PROTOCOL.md tells it: it sends heartbeats, holds the keys that it is granted, and
//! runs requests. The path of a request tells the work in milliseconds (`/w250/`) and the size of
//! the answer in bytes (`/b5000/`).

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Message, call, encode, respond, serve};
use crate::json::{Json, quote};
use crate::process::Machine;
use crate::record::Record;

pub const BEAT: Duration = Duration::from_millis(870);

pub type Range = (u16, u16, u64);

#[derive(Default)]
struct Keys {
    held: Vec<Range>,
    until: Option<Instant>,
    /// Ranges that were taken away while work on them goes on.
    lingering: Vec<Range>,
    released: Vec<(u16, u16, String)>,
    running: Vec<u16>,
    /// The highest generation number that was seen, by range.
    seen: Vec<Range>,
}

/// All upstreams of a test send their heartbeats at the same times.
fn next_beat_at() -> Instant {
    static START: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    let start = *START.get_or_init(Instant::now);
    let beats = start.elapsed().as_millis() / BEAT.as_millis() + 1;
    start + BEAT * beats as u32
}

/// What follows a heartbeat.
enum Beat {
    Nothing,
    /// Keys were left out of the answer, and are to be reported as released.
    Releasing,
    /// Nobody listens at the node.
    Refused,
}

impl Keys {
    fn next_beat(&self) -> Beat {
        if self.lingering.is_empty() { Beat::Nothing } else { Beat::Releasing }
    }
}

pub type Special = Box<dyn Fn(&Message, &mut TcpStream) -> Option<bool> + Send + Sync>;

pub struct Upstream {
    pub id: String,
    pub born: u64,
    pub machine: Machine,
    slots: usize,
    keyed: bool,
    seq: AtomicU64,
    pub draining: AtomicBool,
    /// No further heartbeats.
    pub silent: AtomicBool,
    /// The process has ended: nothing is accepted or answered any more.
    pub ended: AtomicBool,
    pub beat_to: Mutex<SocketAddr>,
    keys: Mutex<Keys>,
    record: Arc<Record>,
    special: Option<Special>,
    pub on_run: Mutex<Option<Box<dyn Fn(&Message) + Send + Sync>>>,
}

fn number_after(path: &str, sign: char) -> Option<u64> {
    path.split('/').find_map(|s| s.strip_prefix(sign)?.parse().ok())
}

fn overlap(a: &Range, b: &Range) -> bool {
    a.0 <= b.1 && b.0 <= a.1
}

/// Returns the parts of `range` that none of `others` covers.
fn subtract(range: Range, others: &[Range]) -> Vec<Range> {
    let mut left = vec![range];
    for o in others {
        let mut next = Vec::new();
        for r in left {
            if !overlap(&r, o) {
                next.push(r);
                continue;
            }
            if r.0 < o.0 {
                next.push((r.0, o.0 - 1, r.2));
            }
            if o.1 < r.1 {
                next.push((o.1 + 1, r.1, r.2));
            }
        }
        left = next;
    }
    left
}

impl Upstream {
    pub fn start(
        id: &str,
        machine: &Machine,
        slots: usize,
        keyed: bool,
        record: Arc<Record>,
        special: Option<Special>,
    ) -> Arc<Upstream> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let up = Arc::new(Upstream {
            id: id.into(),
            born,
            machine: machine.clone(),
            slots,
            keyed,
            seq: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            beat_to: Mutex::new(machine.control),
            keys: Mutex::default(),
            record,
            special,
            on_run: Mutex::new(None),
        });
        let listener = TcpListener::bind(machine.app).expect("the upstream's address is free");
        let shared = up.clone();
        serve(listener, move |m, s| shared.handle(m, s));
        let shared = up.clone();
        thread::spawn(move || {
            while !shared.ended.load(Ordering::SeqCst) {
                let mut next = next_beat_at();
                if !shared.silent.load(Ordering::SeqCst) {
                    match shared.beat() {
                        Beat::Nothing => {}
                        Beat::Releasing => next = Instant::now() + Duration::from_millis(100),
                        // It starts, or its node does.
                        Beat::Refused => next = Instant::now() + Duration::from_millis(100),
                    }
                }
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        up
    }

    fn handle(&self, m: &Message, s: &mut TcpStream) -> bool {
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let id = m.header("attempt-id").to_owned();
        let target = m.header("target-instance");
        let key: Option<u16> = m.header("shard-key").parse().ok();
        let echo: &[(&str, &str)] = &[("Attempt-Id", &id), ("Not-Executed", "1")];
        if !target.is_empty() && target != self.id {
            return respond(s, "421 Misdirected Request", echo, b"");
        }
        if self.keyed {
            let mut keys = self.keys.lock().unwrap();
            let now = Instant::now();
            let valid = keys.until.is_some_and(|u| now < u);
            let held = key.is_some_and(|k| keys.held.iter().any(|r| r.0 <= k && k <= r.1));
            if !valid || !held {
                drop(keys);
                return respond(s, "421 Misdirected Request", echo, b"");
            }
            keys.running.extend(key);
        }
        if let Some(answer) = self.special.as_ref().and_then(|f| f(m, s)) {
            return answer;
        }
        self.record.line(&format!(
            "run     {id} at {} ({}) {} {} key={key:?}",
            self.id,
            self.machine.node,
            m.method(),
            m.target()
        ));
        if let Some(f) = &*self.on_run.lock().unwrap() {
            f(m);
        }
        let work = number_after(m.path(), 'w').unwrap_or(20);
        thread::sleep(Duration::from_millis(work));
        if let Some(k) = key.filter(|_| self.keyed) {
            let mut keys = self.keys.lock().unwrap();
            if let Some(i) = keys.running.iter().position(|r| *r == k) {
                keys.running.swap_remove(i);
            }
        }
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let body = vec![b'x'; number_after(m.path(), 'b').unwrap_or(100) as usize];
        let headers: &[(&str, &str)] = &[("Attempt-Id", &id), ("Server-Seal", "3e1b.07.5a2")];
        respond(s, "200 OK", headers, &body)
    }

    /// Returns the ranges that it holds now.
    pub fn holds(&self) -> Vec<Range> {
        let keys = self.keys.lock().unwrap();
        let valid = keys.until.is_some_and(|u| Instant::now() < u);
        let held = keys.held.iter().filter(|_| valid);
        held.chain(&keys.lingering).copied().collect()
    }

    /// Returns the body of a heartbeat.
    pub fn beat_body(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let mut body = format!(
            "{{\"service\":{},\"address\":{},\"zone\":{},\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_ms\":0,\"seq\":{seq},\"born\":{}",
            quote(&self.machine.service),
            quote(&self.machine.app.to_string()),
            quote(&self.machine.zone),
            self.slots,
            self.born
        );
        if self.keyed {
            let mut keys = self.keys.lock().unwrap();
            let keys = &mut *keys;
            if keys.until.is_some_and(|u| Instant::now() >= u) {
                keys.held.clear();
                keys.until = None;
            }
            let running = &keys.running;
            let busy = |r: &Range| running.iter().any(|k| r.0 <= *k && *k <= r.1);
            let (stay, done): (Vec<Range>, Vec<Range>) =
                keys.lingering.drain(..).partition(|r| busy(r));
            keys.lingering = stay;
            for r in done {
                keys.released.push((r.0, r.1, format!("{:08x}{:08x}", r.0, r.2)));
            }
            let rows = |all: &[Range]| {
                let rows: Vec<String> =
                    all.iter().map(|r| format!("[{},{},{}]", r.0, r.1, r.2)).collect();
                rows.join(",")
            };
            let holds: Vec<Range> = keys.held.iter().chain(&keys.lingering).copied().collect();
            let released: Vec<String> = keys
                .released
                .iter()
                .map(|r| format!("[{},{},{}]", r.0, r.1, quote(&r.2)))
                .collect();
            body += &format!(",\"holds\":[{}],\"released\":[{}]", rows(&holds), released.join(","));
        }
        body + "}"
    }

    pub fn beat_request(&self) -> Vec<u8> {
        let first = format!("POST /v1/rpc?call=instances.heartbeat&of={} HTTP/1.1", self.id);
        let headers = &[("Host", "control"), ("Content-Type", "application/json")];
        encode(&first, headers, self.beat_body().as_bytes())
    }

    /// Returns the ranges that are granted to it now, without those that it only still works on.
    pub fn granted(&self) -> Vec<Range> {
        let keys = self.keys.lock().unwrap();
        let valid = keys.until.is_some_and(|u| Instant::now() < u);
        keys.held.iter().filter(|_| valid).copied().collect()
    }

    /// Sends a heartbeat.
    fn beat(&self) -> Beat {
        let request = self.beat_request();
        let reported = self.keys.lock().unwrap().released.len();
        let sent = Instant::now();
        let to = *self.beat_to.lock().unwrap();
        let answer = match call(to, &request, Duration::from_secs(1)) {
            Ok(answer) => answer,
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionRefused => return Beat::Refused,
            Err(_) => return Beat::Nothing,
        };
        if answer.status() != 200 || answer.body.len() > 4096 || self.ended.load(Ordering::SeqCst) {
            return Beat::Nothing;
        }
        let Some(reply) = Json::parse(&answer.body) else { return Beat::Nothing };
        if !self.keyed {
            return Beat::Nothing;
        }
        let mut keys = self.keys.lock().unwrap();
        let keys = &mut *keys;
        keys.released.drain(..reported);
        if reply.get("holds").is_null() {
            return keys.next_beat();
        }
        let row = |r: &Json| {
            let n = |i: usize| r.list().get(i).map_or(0, Json::num);
            (n(0) as u16, n(1) as u16, n(2))
        };
        let rows: Vec<Range> = reply.get("holds").list().iter().map(row).collect();
        let accepted = |r: &Range| !keys.seen.iter().any(|s| overlap(s, r) && s.2 > r.2);
        let rows: Vec<Range> = rows.into_iter().filter(accepted).collect();
        for r in &rows {
            let mut seen = Vec::new();
            for s in keys.seen.drain(..) {
                seen.extend(subtract(s, &[*r]));
            }
            seen.push(*r);
            keys.seen = seen;
        }
        for old in std::mem::take(&mut keys.held) {
            keys.lingering.extend(subtract(old, &rows));
        }
        keys.held = rows;
        keys.until = Some(sent + Duration::from_millis(reply.get("hold_ms").num()));
        keys.next_beat()
    }

    /// Deregisters. Returns whether that was confirmed.
    pub fn deregister(&self) -> bool {
        let first = format!("POST /v1/rpc?call=instances.deregister&of={} HTTP/1.1", self.id);
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!("{{\"seq\":{seq},\"born\":{}}}", self.born);
        let headers = &[("Host", "control"), ("Content-Type", "application/json")];
        let request = encode(&first, headers, body.as_bytes());
        let answer = call(self.machine.control, &request, Duration::from_secs(1));
        answer.is_ok_and(|m| (200..300).contains(&m.status()))
    }
}
