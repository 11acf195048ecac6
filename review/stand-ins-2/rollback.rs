//! The store comes back from a copy that is older than the first leases of a young deployment, while
//! it turns some machines away and one process is restarted.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::store::Store;
use crate::upstream::Held;

/// How long the store is away for all, and turns some machines away.
const AWAY: Duration = Duration::from_secs(1);
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// The machines of one region: a third of all.
const TURNED_AWAY_HOSTS: [usize; 2] = [4, 5];

/// Two holders of a key for longer than this break the rule.
const OVERLAP_BOUND: Duration = Duration::from_millis(500);

const WATCH_TIME: Duration = Duration::from_secs(30);
const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-query","host":"board.example","prefix":"/board/","type":"safe","timeout_ms":2000,"target_latency_ms":800,"priority":2,"service":"board","attempts":2}],"services":[{"name":"board","health_path":"/healthz","max_conns":550,"protocol":"h1","tls":false,"sharded":true,"warm_s":2.0,"grants":"heartbeat"}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(record: Record, trouble: bool) -> i32 {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(CONFIG);
    let copy = store.copy();
    record.line("copy of the store");
    let mut doors = Vec::new();
    let mut start = |name, zone| {
        let door = store.open_door();
        let (service, slots, sharded, memory_mb, stray) = ("board", 12, true, 260, None);
        let plan = Plan { name, zone, service, slots, sharded, memory_mb, stray };
        let host = Host::start(door.address, &folder.0, plan);
        doors.push(door);
        host
    };
    let hosts = Arc::new([
        start("h1", "a"),
        start("h2", "a"),
        start("h3", "b"),
        start("h4", "b"),
        start("h5", "c"),
        start("h6", "c"),
    ]);
    let deadline = Instant::now() + Duration::from_secs(20);
    while hosts.iter().any(|h| keys(&h.upstream.held()) == 0) {
        if Instant::now() > deadline {
            record.say("the upstreams did not get their keys");
            return 2;
        }
        thread::sleep(Duration::from_millis(20));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (hosts, stop, served) = (hosts.clone(), stop.clone(), served.clone());
            let record = record.clone();
            thread::spawn(move || call(n, &hosts[n % hosts.len()], &stop, &served, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    // Planned work: one process is stopped and started again.
    record.line("h1 stopped");
    hosts[0].stop(Duration::from_secs(6));
    if trouble {
        record.line("the store is away, and turns h5 and h6 away for longer");
        TURNED_AWAY_HOSTS.iter().for_each(|i| doors[*i].set_closed(true));
        store.go_away();
        thread::sleep(AWAY);
        store.come_back(&copy);
        store.put_config(CONFIG);
        record.line("the store is back from the copy");
    } else {
        thread::sleep(AWAY);
    }
    hosts[0].restart();
    record.line("h1 started");
    let doors: Vec<_> = TURNED_AWAY_HOSTS.iter().map(|i| doors[*i].clone()).collect();
    thread::spawn(move || {
        thread::sleep(TURNED_AWAY - AWAY);
        doors.iter().for_each(|door| door.set_closed(false));
    });
    let (longest, both_begin) = watch(&hosts, &record);
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    record.say(&format!(
        "keys were held by two upstreams for {} ms at most, and {both_begin} keys had requests begun by \
         both in that time; {} requests served",
        longest.as_millis(),
        served.load(Ordering::SeqCst)
    ));
    if served.load(Ordering::SeqCst) == 0 {
        return 2;
    }
    let broken = longest > OVERLAP_BOUND || both_begin > 0;
    record.say(if broken { "OWNER broken" } else { "OWNER held" });
    i32::from(broken)
}

fn keys(held: &[Held]) -> usize {
    held.iter().map(|r| usize::from(r.to - r.from) + 1).sum()
}

/// Watches who holds which keys. Returns the longest time for which two upstreams held the same keys,
/// and on how many keys both began requests within such a time.
fn watch(hosts: &[Host; 6], record: &Record) -> (Duration, usize) {
    let mut since: Option<Instant> = None;
    let (mut longest, mut both_begin) = (Duration::ZERO, 0);
    let mut last = String::new();
    let watched = Instant::now();
    while watched.elapsed() < WATCH_TIME {
        let held: Vec<Vec<Held>> = hosts.iter().map(|h| h.upstream.held()).collect();
        let shared = shared_ranges(&held);
        let count: usize = shared.iter().map(|(f, t)| usize::from(t - f) + 1).sum();
        let counts: Vec<usize> = held.iter().map(|h| keys(h)).collect();
        let line = format!("keys held {counts:?}, by two {count}");
        if line != last {
            record.line(&line);
            last = line;
        }
        match since {
            None if count > 0 => since = Some(Instant::now()),
            Some(start) if count > 0 => {
                longest = longest.max(start.elapsed());
                // A key counts if it is still shared and two upstreams have begun requests on it.
                let begun: Vec<Vec<u16>> =
                    hosts.iter().map(|h| h.upstream.begun_since(start)).collect();
                let is_shared = |key: &u16| shared.iter().any(|(f, t)| f <= key && key <= t);
                let mut all: Vec<u16> = begun.iter().flatten().copied().filter(is_shared).collect();
                all.sort_unstable();
                all.dedup();
                let by_two = |key: &&u16| begun.iter().filter(|b| b.contains(key)).count() > 1;
                both_begin = both_begin.max(all.iter().filter(by_two).count());
            }
            _ => since = None,
        }
        thread::sleep(Duration::from_millis(10));
    }
    (longest, both_begin)
}

/// Returns the ranges of keys that two upstreams hold.
fn shared_ranges(held: &[Vec<Held>]) -> Vec<(u16, u16)> {
    let mut shared = Vec::new();
    for (i, first) in held.iter().enumerate() {
        for second in &held[i + 1..] {
            for a in first {
                let overlaps = second.iter().map(|b| (a.from.max(b.from), a.to.min(b.to)));
                shared.extend(overlaps.filter(|(from, to)| from <= to));
            }
        }
    }
    shared
}

/// Sends reads of a few keys one after the other over a kept connection.
fn call(number: usize, host: &Host, stop: &AtomicBool, served: &AtomicUsize, record: &Record) {
    let mut connection = None;
    let mut count = 0_usize;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("query-{number:02}-{count:06}");
        let key = (count * 521 % 128 * 512).to_string();
        if connection.is_none() {
            connection = Connection::open(host.callers, Duration::from_secs(4)).ok();
        }
        let headers = [
            ("Host", "board.example"),
            ("Attempt-Id", &*id),
            ("Deadline-Ms", "2000"),
            ("Shard-Key", &*key),
        ];
        let request = http::request("GET", "/board/w10b200", &headers, b"");
        let answer = connection.as_mut().and_then(|c| c.exchange(&request).ok().flatten());
        let status = answer.map_or(0, |(head, _)| head.status());
        record.line(&format!("{id} key={key} status={status}"));
        if status == 0 {
            connection = None;
        }
        served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(if status == 200 { 10 } else { 100 }));
    }
}
