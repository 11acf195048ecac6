//! Callers that pipeline reads, beside ordinary callers of the same host: such that take the answers
//! slowly, and such whose requests have long heads.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::socket::connect_small;
use crate::store::Store;

const MEMORY_MB: u64 = 160;

/// The connections of the crowd: an eighth of those that a process with 4,100 descriptors takes.
const CONNECTIONS: usize = 250;

/// How many requests each of them sends at most.
const REQUESTS: usize = 6_000;

/// A paced caller sends this many requests at a time.
const BATCH: usize = 8;
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// A caller that reads slowly takes this many bytes at a time.
const READ_BYTES: usize = 4_096;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(500);

/// The length of a long head, below `max_header_bytes`.
const LONG_HEAD_BYTES: usize = 15_000;

/// The crowd grows by a connection at a time.
const RAMP_PAUSE: Duration = Duration::from_millis(10);

/// The receive buffer of a caller of the crowd.
const RECEIVE_BYTES: i32 = 4 << 10;

const ORDINARY_CALLERS: usize = 24;
const WATCH_TIME: Duration = Duration::from_secs(40);

/// More than this many requests of kept connections without an answer break the rule.
const LOST_BOUND: usize = 3;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-status","host":"status.example","prefix":"/status/","type":"safe","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"claims","attempts":2}],"services":[{"name":"claims","health_path":"/healthz","max_conns":550,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// What the callers of the crowd do.
#[derive(Clone, Copy)]
pub struct Crowd {
    pub reads_slowly: bool,
    pub has_long_heads: bool,
    /// They send at a steady rate, and not as fast as the connection takes it.
    pub is_paced: bool,
}

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next_id: AtomicUsize,
    answered: AtomicUsize,
    refused: AtomicUsize,
    lost: AtomicUsize,
    crowd_sent: AtomicUsize,
    crowd_read: AtomicUsize,
}

pub fn run(record: Record, crowd: Crowd) -> i32 {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(CONFIG);
    let start = |name, zone| {
        let (service, slots, sharded, stray) = ("claims", 12, false, None);
        let plan = Plan { name, zone, service, slots, sharded, memory_mb: MEMORY_MB, stray };
        Host::start(store.address, Path::new(&folder.0), plan)
    };
    let hosts = Arc::new([start("h1", "a"), start("h2", "b"), start("h3", "c")]);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(20))) {
        record.say("the sidecars did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let counts = Arc::new(Counts::default());
    let ordinary: Vec<_> = (0..ORDINARY_CALLERS)
        .map(|_| {
            let (hosts, counts, record) = (hosts.clone(), counts.clone(), record.clone());
            thread::spawn(move || ordinary_caller(&hosts, &counts, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("memory before the crowd: {:.0} MB", hosts[0].memory_mb()));
    let (to, shared) = (hosts[0].callers, counts.clone());
    thread::spawn(move || {
        for _ in 0..CONNECTIONS {
            start_crowd_caller(to, &shared, crowd);
            thread::sleep(RAMP_PAUSE);
        }
    });
    let (killed, most) = watch(&hosts[0], &counts, &record);
    counts.stop.store(true, Ordering::SeqCst);
    ordinary.into_iter().for_each(|t| drop(t.join()));
    let get = |c: &AtomicUsize| c.load(Ordering::SeqCst);
    record.say(&format!(
        "crowd: {} requests sent, {} bytes read; ordinary callers: {} answered, {} refused, {} lost; \
         most memory: {most:.0} MB; process killed: {killed}",
        get(&counts.crowd_sent),
        get(&counts.crowd_read),
        get(&counts.answered),
        get(&counts.refused),
        get(&counts.lost),
    ));
    if get(&counts.answered) == 0 {
        return 2;
    }
    let broken = get(&counts.lost) > LOST_BOUND;
    record.say(if broken { "LOST broken" } else { "LOST held" });
    i32::from(broken)
}

/// Watches the memory, and ends a process that exceeds it as the platform does. Returns whether that
/// happened, and the most memory in MB.
fn watch(host: &Host, counts: &Counts, record: &Record) -> (bool, f64) {
    let mut most: f64 = 0.0;
    let started = Instant::now();
    let mut reported = Instant::now();
    while started.elapsed() < WATCH_TIME {
        let memory = host.memory_mb();
        most = most.max(memory);
        if reported.elapsed() >= Duration::from_secs(1) {
            reported = Instant::now();
            let (sent, read) = (&counts.crowd_sent, &counts.crowd_read);
            record.line(&format!(
                "memory {memory:.0} MB, crowd sent {} read {}",
                sent.load(Ordering::SeqCst),
                read.load(Ordering::SeqCst)
            ));
        }
        if memory > MEMORY_MB as f64 {
            record.say(&format!("the process of h1 has {memory:.0} MB of {MEMORY_MB}: killed"));
            host.kill();
            thread::sleep(Duration::from_secs(1));
            return (true, most);
        }
        thread::sleep(Duration::from_millis(50));
    }
    (false, most)
}

/// Sends reads one after the other over a kept connection.
fn ordinary_caller(hosts: &[Host; 3], counts: &Counts, record: &Record) {
    let mut connection: Option<(Connection, usize)> = None;
    while !counts.stop.load(Ordering::SeqCst) {
        let id = format!("ord-{:08}", counts.next_id.fetch_add(1, Ordering::SeqCst));
        let Some((mut open, answered)) = connection.take().or_else(|| {
            let open = Connection::open(hosts[0].callers, Duration::from_secs(5)).ok()?;
            Some((open, 0))
        }) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let headers = [("Host", "status.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "3000")];
        let request = http::request("GET", "/status/w300b400", &headers, b"");
        match open.exchange(&request) {
            Ok(Some((head, _))) => {
                let status = head.status();
                record.line(&format!("{id} answered {status}"));
                let count = if status == 200 { &counts.answered } else { &counts.refused };
                count.fetch_add(1, Ordering::SeqCst);
                if status != 200 {
                    thread::sleep(Duration::from_millis(200));
                }
                connection = Some((open, answered + 1));
            }
            Ok(None) | Err(_) => {
                let runs: usize = hosts.iter().map(|h| h.upstream.runs_of(&id)).sum();
                let lost = runs > 0 && answered > 0;
                record.line(&format!("{id} ended without an answer, runs={runs} lost={lost}"));
                counts.lost.fetch_add(usize::from(lost), Ordering::SeqCst);
            }
        }
    }
}

/// Starts a caller that sends reads without waiting for the answers.
fn start_crowd_caller(to: SocketAddr, counts: &Arc<Counts>, crowd: Crowd) {
    let Ok(stream) = connect_small(to, RECEIVE_BYTES) else { return };
    let Ok(mut writer) = stream.try_clone() else { return };
    let shared = counts.clone();
    thread::spawn(move || {
        let cookie = "c".repeat(if crowd.has_long_heads { LONG_HEAD_BYTES } else { 16 });
        for number in 0..REQUESTS {
            if crowd.is_paced && number % BATCH == 0 {
                thread::sleep(BATCH_PAUSE);
            }
            let id = format!("crowd-{:08}", shared.next_id.fetch_add(1, Ordering::SeqCst));
            let headers = [
                ("Host", "status.example"),
                ("Attempt-Id", &*id),
                ("Deadline-Ms", "3000"),
                ("Cookie", &*cookie),
            ];
            let request = http::request("GET", "/status/w1b1900", &headers, b"");
            if shared.stop.load(Ordering::SeqCst) || writer.write_all(&request).is_err() {
                break;
            }
            shared.crowd_sent.fetch_add(1, Ordering::SeqCst);
        }
    });
    let shared = counts.clone();
    thread::spawn(move || {
        let mut stream = stream;
        let mut buf = [0; READ_BYTES];
        while let Ok(n) = stream.read(&mut buf) {
            if n == 0 || shared.stop.load(Ordering::SeqCst) {
                break;
            }
            shared.crowd_read.fetch_add(n, Ordering::SeqCst);
            if crowd.reads_slowly {
                thread::sleep(SLOW_READ_PAUSE);
            }
        }
    });
}
