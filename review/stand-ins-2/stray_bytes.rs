//! A faulty backend server writes bytes after answers that are complete. They arrive while the next
//! request of the connection runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::deployment::{Host, Plan, Record, TempFolder};
use crate::http::{self, Connection};
use crate::store::Store;

/// One in this many answers of the faulty backend server is followed by further bytes.
const SPOILT_ONE_IN: usize = 34;

const CALLERS: usize = 17;
const REQUESTS_PER_CALLER: usize = 400;

/// The further bytes: no id, no seal, and nothing that says that a request did not run.
const FURTHER_BYTES: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nbusy\r\n";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-order","host":"orders.example","prefix":"/orders/","type":"unsafe","timeout_ms":2000,"target_latency_ms":1000,"priority":1,"service":"dispatch","attempts":2}],"services":[{"name":"dispatch","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

#[derive(Default)]
struct Counts {
    answered: AtomicUsize,
    promised_and_ran: AtomicUsize,
    promised: AtomicUsize,
    run_twice: AtomicUsize,
    other: AtomicUsize,
}

pub fn run(record: Record, trouble: bool) -> i32 {
    let record = Arc::new(record);
    let folder = TempFolder::create();
    let store = Store::start();
    store.put_config(CONFIG);
    let start = |name, zone, faulty: bool| {
        let spoil = move |number: usize| {
            (trouble && number % SPOILT_ONE_IN == 0).then(|| FURTHER_BYTES.to_vec())
        };
        let stray = faulty.then(|| Box::new(spoil) as crate::upstream::Stray);
        let (service, slots, sharded, memory_mb) = ("dispatch", 6, false, 260);
        Host::start(
            store.address,
            &folder.0,
            Plan { name, zone, service, slots, sharded, memory_mb, stray },
        )
    };
    let hosts =
        Arc::new([start("h1", "a", false), start("h2", "b", true), start("h3", "c", false)]);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(20))) {
        record.say("the sidecars did not become ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(3));
    let counts = Arc::new(Counts::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (hosts, counts, record) = (hosts.clone(), counts.clone(), record.clone());
            thread::spawn(move || call(number, &hosts, &counts, &record))
        })
        .collect();
    callers.into_iter().for_each(|t| drop(t.join()));
    let get = |c: &AtomicUsize| c.load(Ordering::SeqCst);
    record.say(&format!(
        "unsafe requests: {} answered 200, {} with 408, 421, 429 or 503, of which {} have run, {} with \
         another status or none; orders that ran twice because their caller came back: {}",
        get(&counts.answered),
        get(&counts.promised),
        get(&counts.promised_and_ran),
        get(&counts.other),
        get(&counts.run_twice),
    ));
    if get(&counts.answered) == 0 {
        return 2;
    }
    let broken = get(&counts.promised_and_ran) > 0;
    record.say(if broken { "REFUSED broken" } else { "REFUSED held" });
    i32::from(broken)
}

/// Sends one attempt of an order. Returns its status, 0 if there is none.
fn send(connection: &mut Option<Connection>, host: &Host, id: &str) -> u16 {
    if connection.is_none() {
        *connection = Connection::open(host.callers, Duration::from_secs(6)).ok();
    }
    let Some(open) = connection.as_mut() else { return 0 };
    let headers = [("Host", "orders.example"), ("Attempt-Id", id), ("Deadline-Ms", "4000")];
    let request = http::request("POST", "/orders/w40b400", &headers, b"one order");
    match open.exchange(&request) {
        Ok(Some((head, _))) => head.status(),
        Ok(None) | Err(_) => {
            *connection = None;
            0
        }
    }
}

/// Sends orders one after the other. A caller comes back once after a promise that its order has not
/// run.
fn call(number: usize, hosts: &[Host; 3], counts: &Counts, record: &Record) {
    let host = &hosts[number % hosts.len()];
    let runs_of = |id: &str| hosts.iter().map(|h| h.upstream.runs_of(id)).sum::<usize>();
    let mut connection = None;
    for i in 0..REQUESTS_PER_CALLER {
        let mut order_runs = 0;
        for attempt in 1..=2 {
            let id = format!("order-{number:02}-{i:04}-{attempt}");
            let status = send(&mut connection, host, &id);
            let promised = [408, 421, 429, 503].contains(&status);
            if promised {
                // A request that was refused truly doesn't run later either.
                thread::sleep(Duration::from_millis(400));
            }
            let runs = runs_of(&id);
            record.line(&format!("{id} status={status} runs={runs}"));
            let count = match status {
                200 => &counts.answered,
                _ if promised => &counts.promised,
                _ => &counts.other,
            };
            count.fetch_add(1, Ordering::SeqCst);
            counts.promised_and_ran.fetch_add(usize::from(promised && runs > 0), Ordering::SeqCst);
            order_runs += runs;
            if !promised {
                break;
            }
        }
        counts.run_twice.fetch_add(usize::from(order_runs > 1), Ordering::SeqCst);
    }
}
