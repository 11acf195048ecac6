//! A manifest adds a route with short work and a short time limit to a service whose work takes
//! longer than that limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::store::Store;

/// Time with only the first route, so that its run times are known.
const FIRST_ROUTE_ALONE: Duration = Duration::from_secs(12);

/// `config_ms`, `stable_ms` and a second.
const AFTER_MANIFEST: Duration = Duration::from_millis(3_000 + 4_000 + 1_000);

const MEASURED: Duration = Duration::from_secs(20);

/// Callers of the first route, which take about half of the 18 slots, and of the added one.
const FIRST_CALLERS: usize = 9;
const ADDED_CALLERS: usize = 2;

/// How many requests on added routes are needed for a judgement.
const MIN_ADDED: usize = 20;

fn config(version: u32, with_added: bool) -> String {
    let first = r#"{"name":"r-policy","host":"policy.example","prefix":"/policy/","type":"safe","timeout_ms":6000,"target_latency_ms":3000,"priority":2,"service":"policy","attempts":2}"#;
    let added = r#",{"name":"r-limit","host":"policy.example","prefix":"/limit/","type":"safe","timeout_ms":400,"target_latency_ms":120,"priority":2,"service":"policy","attempts":2}"#;
    let added = if with_added { added } else { "" };
    format!(
        "{{\"version\":{version},\"routes\":[{first}{added}],\"services\":[{{\"name\":\"policy\",\
         \"health_path\":\"/healthz\",\"max_conns\":530,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// The requests on one route: sent while the answers count, and answered with success.
#[derive(Default)]
struct Route {
    sent: AtomicUsize,
    served: AtomicUsize,
}

#[derive(Default)]
struct Counts {
    counting: AtomicBool,
    stop: AtomicBool,
    next_id: AtomicUsize,
    first: Route,
    added: Route,
}

pub fn run(record: Record, trouble: bool) -> i32 {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(&config(7, !trouble));
    let start = |name, zone| {
        let (service, slots, sharded, memory_mb, stray) = ("policy", 6, false, 160, None);
        Host::start(
            store.address,
            &folder.0,
            Plan { name, zone, service, slots, sharded, memory_mb, stray },
        )
    };
    let hosts = Arc::new([start("h1", "a"), start("h2", "b"), start("h3", "c")]);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(20))) {
        record.say("the sidecars did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let counts = Arc::new(Counts::default());
    let caller = |number: usize, added: bool| {
        let (hosts, counts, record) = (hosts.clone(), counts.clone(), record.clone());
        thread::spawn(move || call(number, added, &hosts, &counts, &record))
    };
    let mut callers: Vec<_> = (0..FIRST_CALLERS).map(|n| caller(n, false)).collect();
    if !trouble {
        callers.extend((0..ADDED_CALLERS).map(|n| caller(n, true)));
    }
    thread::sleep(FIRST_ROUTE_ALONE);
    if trouble {
        store.put_config(&config(9, true));
        record.line("manifest 9 confirmed");
    }
    thread::sleep(AFTER_MANIFEST);
    counts.counting.store(true, Ordering::SeqCst);
    if trouble {
        callers.extend((0..ADDED_CALLERS).map(|n| caller(n, true)));
    }
    thread::sleep(MEASURED);
    counts.stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    let get = |c: &AtomicUsize| c.load(Ordering::SeqCst);
    let (first, added) = (&counts.first, &counts.added);
    record.say(&format!(
        "first route: {} of {} served; added route: {} of {} served",
        get(&first.served),
        get(&first.sent),
        get(&added.served),
        get(&added.sent)
    ));
    if get(&added.sent) < MIN_ADDED || get(&first.served) == 0 {
        return 2;
    }
    let share = |r: &Route| get(&r.served) as f64 / get(&r.sent).max(1) as f64;
    let broken = share(added) < share(first) / 4.0;
    record.say(if broken { "CONFIG broken" } else { "CONFIG held" });
    i32::from(broken)
}

fn call(number: usize, added: bool, hosts: &[Host; 3], counts: &Counts, record: &Record) {
    let host = &hosts[number % hosts.len()];
    let route = if added { &counts.added } else { &counts.first };
    let (target, limit) =
        if added { ("/limit/w30b60", "400") } else { ("/policy/w480b900", "12000") };
    let mut connection = None;
    while !counts.stop.load(Ordering::SeqCst) {
        let counting = counts.counting.load(Ordering::SeqCst);
        let id = format!("req-{:07}", counts.next_id.fetch_add(1, Ordering::SeqCst));
        if connection.is_none() {
            connection = Connection::open(host.callers, Duration::from_secs(15)).ok();
        }
        let Some(open) = connection.as_mut() else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let headers = [("Host", "policy.example"), ("Attempt-Id", &*id), ("Deadline-Ms", limit)];
        let request = http::request("GET", target, &headers, b"");
        let answer = open.exchange(&request);
        let (status, after) = match &answer {
            Ok(Some((head, _))) => {
                (head.status(), head.get("retry-after").unwrap_or("").to_owned())
            }
            Ok(None) | Err(_) => {
                connection = None;
                (0, String::new())
            }
        };
        let runs: usize = hosts.iter().map(|h| h.upstream.runs_of(&id)).sum();
        record.line(&format!("{id} {target} status={status} retry-after={after} runs={runs}"));
        if counting {
            route.sent.fetch_add(1, Ordering::SeqCst);
            route.served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(if status == 200 { 50 } else { 250 }));
    }
}
