//! A backend server deregisters, and the store comes back from a copy without that while the process
//! beside it is restarted. A heartbeat from before arrives late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::store::Store;

/// How long the store and the process are away.
const AWAY: Duration = Duration::from_secs(1);

const DRAIN: Duration = Duration::from_millis(2_500);
const WATCH_TIME: Duration = Duration::from_secs(8);
const CALLERS: usize = 12;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","host":"orders.example","prefix":"/orders/","type":"unsafe","timeout_ms":2000,"target_latency_ms":1000,"priority":1,"service":"dispatch","attempts":2}],"services":[{"name":"dispatch","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(record: Record, trouble: bool) -> i32 {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(CONFIG);
    let start = |name, zone| {
        let (service, slots, sharded, memory_mb, stray) = ("dispatch", 6, false, 260, None);
        let plan = Plan { name, zone, service, slots, sharded, memory_mb, stray };
        Host::start(store.address, &folder.0, plan)
    };
    let hosts = Arc::new([start("h1", "a"), start("h2", "b"), start("h3", "c")]);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(20))) {
        record.say("the sidecars did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (hosts, stop, served) = (hosts.clone(), stop.clone(), served.clone());
            let record = record.clone();
            thread::spawn(move || call(n, &hosts[n % 3], &stop, &served, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let leaving = &hosts[1].upstream;
    let copy = store.copy();
    let late = leaving.last_heartbeat();
    record.line("the last heartbeat is sent");
    thread::sleep(Duration::from_secs(1));
    let confirmed = leaving.deregister();
    record.say(&format!("deregistration answered with {confirmed}"));
    if trouble {
        store.go_away();
        hosts[1].kill();
        thread::sleep(AWAY);
        store.come_back(&copy);
        store.put_config(CONFIG);
        hosts[1].restart();
        record.line("the store is back from the copy, h2 started");
    } else {
        thread::sleep(AWAY);
    }
    thread::sleep(DRAIN);
    let before = leaving.run_count();
    record.line(&format!("the last heartbeat arrives: {}", leaving.deliver(&late)));
    thread::sleep(WATCH_TIME);
    let after = leaving.run_count();
    stop.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|t| drop(t.join()));
    let served = served.load(Ordering::SeqCst);
    record.say(&format!(
        "{} requests reached the upstream later than drain_ms; {served} served in all",
        after - before
    ));
    if confirmed != 200 || served == 0 {
        return 2;
    }
    record.say(if after > before { "DRAIN broken" } else { "DRAIN held" });
    i32::from(after > before)
}

fn call(number: usize, host: &Host, stop: &AtomicBool, served: &AtomicUsize, record: &Record) {
    let mut connection = None;
    let mut count = 0;
    while !stop.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("order-{number:02}-{count:05}");
        if connection.is_none() {
            connection = Connection::open(host.callers, Duration::from_secs(6)).ok();
        }
        let headers = [("Host", "orders.example"), ("Attempt-Id", &*id), ("Deadline-Ms", "4000")];
        let request = http::request("POST", "/orders/w40b200", &headers, b"one order");
        let answer = connection.as_mut().and_then(|c| c.exchange(&request).ok().flatten());
        let status = answer.map_or(0, |(head, _)| head.status());
        record.line(&format!("{id} status={status}"));
        if status == 0 {
            connection = None;
        }
        served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
    }
}
