//! Another writer leaves odd entries among those of the hosts in the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::store::Store;

const CALLERS: usize = 6;

/// The requests before and after the entries are written are counted for this long.
const BEFORE: Duration = Duration::from_secs(10);
const AFTER: Duration = Duration::from_secs(30);

/// A process that was killed is started again after this time.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// As many ends on as many machines are a fault.
const FAULT_ENDS: usize = 3;
const FAULT_MACHINES: usize = 2;

const MEMORY_MB: u64 = 260;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-status","host":"status.example","prefix":"/status/","type":"safe","timeout_ms":3000,"target_latency_ms":800,"priority":2,"service":"claims","attempts":2}],"services":[{"name":"claims","health_path":"/healthz","max_conns":530,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The odd entry of the first case: a document without most of its fields.
const ODD_KEY: &str = "config";
const ODD_VALUE: &[u8] = br#"{"version":1000,"owner":"rack-tool"}"#;

/// The odd entries of the second case: their keys contain a percent sign, and their values can't be
/// read. `row_bytes` allows them.
const ODD_ENTRIES: usize = 20;
const ODD_BYTES: usize = 60_000;

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    next_id: AtomicUsize,
    sent: AtomicUsize,
    served: AtomicUsize,
    denied: AtomicUsize,
}

impl Counts {
    /// Returns the requests sent, served and denied since the last call.
    fn take(&self) -> (usize, usize, usize) {
        let take = |c: &AtomicUsize| c.swap(0, Ordering::SeqCst);
        (take(&self.sent), take(&self.served), take(&self.denied))
    }
}

struct Setup {
    record: Arc<Record>,
    store: Store,
    hosts: Arc<[Host; 3]>,
    counts: Arc<Counts>,
    callers: Vec<thread::JoinHandle<()>>,
    _folder: TempFolder,
}

/// Starts a deployment with callers. Returns `None` if it doesn't become ready.
fn start(record: Record) -> Option<Setup> {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(CONFIG);
    let start = |name, zone| {
        let (service, slots, sharded, memory_mb, stray) = ("claims", 6, false, MEMORY_MB, None);
        let plan = Plan { name, zone, service, slots, sharded, memory_mb, stray };
        Host::start(store.address, &folder.0, plan)
    };
    let hosts = Arc::new([start("h1", "a"), start("h2", "b"), start("h3", "c")]);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(20))) {
        record.say("the sidecars did not become ready");
        return None;
    }
    thread::sleep(Duration::from_secs(3));
    let counts = Arc::new(Counts::default());
    let callers = (0..CALLERS)
        .map(|number| {
            let (hosts, counts, record) = (hosts.clone(), counts.clone(), record.clone());
            thread::spawn(move || call(&hosts[number % 3], &counts, &record))
        })
        .collect();
    Some(Setup { record, store, hosts, counts, callers, _folder: folder })
}

/// One entry whose key is that of another row.
pub fn run_entry(record: Record, trouble: bool) -> i32 {
    let Some(setup) = start(record) else { return 2 };
    let Setup { record, store, counts, callers, hosts: _hosts, _folder } = setup;
    thread::sleep(BEFORE);
    let before = counts.take();
    if trouble {
        store.put_row("fleet", ODD_KEY, ODD_VALUE);
        record.line("another writer has written an entry");
    }
    thread::sleep(AFTER);
    counts.stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    let after = counts.take();
    record.say(&format!("(sent, served, denied) before: {before:?}, after: {after:?}"));
    if before.1 == 0 {
        return 2;
    }
    let (sent, denied) = (before.0 + after.0, before.2 + after.2);
    let broken = denied > 5 + sent / 500;
    record.say(if broken { "DENIED broken" } else { "DENIED held" });
    i32::from(broken)
}

/// Entries with a percent sign in their keys, and a store that forgets its history.
pub fn run_keys(record: Record, trouble: bool) -> i32 {
    let Some(setup) = start(record) else { return 2 };
    let Setup { record, store, hosts, counts, callers, _folder } = setup;
    if trouble {
        for i in 0..ODD_ENTRIES {
            store.put_row("fleet", &format!("10%20racks-{i:02}"), &vec![0xff; ODD_BYTES]);
        }
        record.line("another writer has written entries");
    }
    thread::sleep(BEFORE);
    let before = counts.take();
    store.compact();
    record.line("the store has forgotten its history");
    let ends = watch_memory(&hosts, &record);
    counts.stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    let after = counts.take();
    record.say(&format!(
        "(sent, served, denied) before: {before:?}, after: {after:?}; ends of processes: {ends:?}"
    ));
    if before.1 == 0 {
        return 2;
    }
    let machines = ends.iter().filter(|n| **n >= FAULT_ENDS).count();
    let broken = machines >= FAULT_MACHINES;
    record.say(if broken { "Fault" } else { "no fault" });
    i32::from(broken)
}

/// Ends processes that exceed their memory and starts them again, as the platform does. Returns how
/// often the process of each host has ended.
fn watch_memory(hosts: &[Host; 3], record: &Record) -> [usize; 3] {
    let mut ends = [0; 3];
    let mut down: [Option<Instant>; 3] = [None; 3];
    let mut reported = Instant::now();
    let started = Instant::now();
    while started.elapsed() < AFTER {
        for (i, host) in hosts.iter().enumerate() {
            if let Some(since) = down[i] {
                if since.elapsed() >= RESTART_DELAY {
                    down[i] = None;
                    host.restart();
                    record.line(&format!("{} started", host.name));
                }
                continue;
            }
            let memory = host.memory_mb();
            if memory > MEMORY_MB as f64 || !host.is_running() {
                record.line(&format!("{} ended with {memory:.0} MB", host.name));
                host.kill();
                ends[i] += 1;
                down[i] = Some(Instant::now());
            }
        }
        if reported.elapsed() > Duration::from_secs(1) {
            reported = Instant::now();
            let memory = hosts.each_ref().map(Host::memory_mb);
            record.line(&format!("memory in MB: {memory:.0?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    ends
}

fn call(host: &Host, counts: &Counts, record: &Record) {
    let mut connection = None;
    while !counts.stop.load(Ordering::SeqCst) {
        let id = format!("read-{:07}", counts.next_id.fetch_add(1, Ordering::SeqCst));
        counts.sent.fetch_add(1, Ordering::SeqCst);
        if connection.is_none() {
            connection = Connection::open(host.callers, Duration::from_secs(5)).ok();
        }
        let headers = [("Host", "status.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "3000")];
        let request = http::request("GET", "/status/w20b400", &headers, b"");
        let answer = connection.as_mut().and_then(|c| c.exchange(&request).ok().flatten());
        let status = answer.map_or(0, |(head, _)| head.status());
        record.line(&format!("{id} status={status}"));
        if status == 0 {
            connection = None;
        }
        counts.served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        counts.denied.fetch_add(usize::from((300..500).contains(&status)), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(if status == 200 { 30 } else { 200 }));
    }
}
