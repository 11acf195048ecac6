//! A sidecar is killed after it has confirmed that its upstream leaves, and a heartbeat that the
//! upstream sent before that arrives late, at the new process.

use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::caller::{Caller, id};
use review_stand_ins::http::call;
use review_stand_ins::process::{Deployment, Machine, SIGKILL, free_ports};
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;
use review_stand_ins::upstream::Upstream;
use review_stand_ins::{args, manifest, route, service};

/// `drain_ms` of the site.
const DRAIN_MS: u64 = 2500;

/// How late the heartbeat arrives.
const LATE: Duration = Duration::from_millis(2500);

/// How long the upstream serves after the confirmation: `drain_ms` and some seconds.
const SERVES_FOR: Duration = Duration::from_millis(DRAIN_MS + 10_000);

fn main() {
    let args = args();
    let record = Arc::new(Record::create(&args.case.join("record.txt")));
    let a = Machine::new("sidecar-khomas-a-1", "khomas-a", "outlook", "127.0.21.1");
    let b = Machine::new("sidecar-khomas-b-1", "khomas-b", "dispatch", "127.0.21.2");
    let c = Machine::new("sidecar-khomas-b-2", "khomas-b", "dispatch", "127.0.21.3");
    let deployment = Deployment {
        root: args.root.clone(),
        dir: args.tmp.clone(),
        store: format!("127.0.21.9:{}", free_ports("127.0.21.9", 1)).parse().unwrap(),
        zones: "{\"khomas-a\":\"khomas\",\"khomas-b\":\"khomas\"}".into(),
        drain_ms: DRAIN_MS,
        grace_s: 6,
    };
    let store = Store::start(deployment.store);
    let routes = route("/order/", "dispatch", "unsafe", 2000, 1);
    let services = [service("outlook", false), service("dispatch", false)];
    store.put("op", "", "config", manifest(3, &routes, &services.join(",")).as_bytes());
    let _up_a = Upstream::start("i-aaaaaaaa", &a, 6, false, record.clone(), None);
    let leaving = Upstream::start("i-bbbbbbbb", &b, 6, false, record.clone(), None);
    let _staying = Upstream::start("i-cccccccc", &c, 6, false, record.clone(), None);
    // Runs at the upstream that leaves: the time and the id.
    let runs = Arc::new(Mutex::new(Vec::<(u64, String)>::new()));
    let (shared, clock) = (runs.clone(), record.clone());
    *leaving.on_run.lock().unwrap() = Some(Box::new(move |m| {
        shared.lock().unwrap().push((clock.ms(), m.header("attempt-id").to_owned()));
    }));
    let processes: Vec<_> = [&a, &b, &c].into_iter().map(|m| deployment.start(m)).collect();
    if !processes.iter().all(|p| p.wait_ready(Duration::from_secs(10))) {
        eprintln!("a sidecar does not become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(6));

    let over = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(Mutex::new(Vec::<(String, String)>::new()));
    let next_id = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    for _ in 0..9 {
        let (record, over, next_id, failed) =
            (record.clone(), over.clone(), next_id.clone(), failed.clone());
        callers.push(thread::spawn(move || {
            let mut caller = Caller::new(a.outbound);
            while !over.load(Ordering::SeqCst) {
                let id = id(next_id.fetch_add(1, Ordering::SeqCst));
                let limit = Duration::from_secs(4);
                record.line(&format!("send    {id}"));
                let result = caller.send("POST", "/order/w250/b400/1", &id, None, limit, b"order");
                let text = result.map_or_else(|e| e.to_string(), |m| m.status().to_string());
                record.line(&format!("answer  {id} {text}"));
                if text != "200" {
                    failed.lock().unwrap().push((id, text));
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    // The last heartbeat before the upstream leaves. It isn't acknowledged within a second.
    leaving.silent.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(900));
    let beat = leaving.beat_request();
    record.line("i-bbbbbbbb sends its last heartbeat");
    let control = b.control;
    let deliver = {
        let (record, late) = (record.clone(), args.trouble);
        thread::spawn(move || {
            if late {
                thread::sleep(LATE);
            }
            let answer = call(control, &beat, Duration::from_secs(2));
            let text = answer.map_or_else(|e| e.to_string(), |m| m.status().to_string());
            record.line(&format!("the last heartbeat of i-bbbbbbbb arrives: {text}"));
        })
    };
    thread::sleep(Duration::from_millis(1000));
    if !leaving.deregister() {
        eprintln!("the deregistration is not confirmed");
        exit(2);
    }
    let confirmed = record.ms();
    let left = Instant::now() + SERVES_FOR;
    record.line("i-bbbbbbbb has deregistered, and was confirmed");
    let mut processes = processes;
    if args.trouble {
        thread::sleep(Duration::from_millis(100));
        processes[1].signal(SIGKILL);
        record.line("the sidecar of i-bbbbbbbb is killed");
        thread::sleep(Duration::from_millis(500));
        processes[1] = deployment.start(&b);
        record.line("the sidecar of i-bbbbbbbb is started again");
    }
    let _ = deliver.join();
    thread::sleep(left.saturating_duration_since(Instant::now()));
    leaving.ended.store(true, Ordering::SeqCst);
    record.line("i-bbbbbbbb ends");
    thread::sleep(Duration::from_millis(1500));
    over.store(true, Ordering::SeqCst);
    for c in callers {
        let _ = c.join();
    }
    drop(processes);
    let runs = runs.lock().unwrap();
    let late: Vec<_> = runs.iter().filter(|(at, _)| *at > confirmed + DRAIN_MS).collect();
    let failed = failed.lock().unwrap();
    let lost = failed.iter().filter(|(id, _)| runs.iter().any(|(_, ran)| ran == id)).count();
    let text = format!(
        "{} requests reached i-bbbbbbbb in all, {} later than {DRAIN_MS} ms after the confirmation; \
         {lost} orders that it ran were not answered with success",
        runs.len(),
        late.len(),
    );
    record.line(&text);
    println!("{text}");
    exit(i32::from(!late.is_empty()));
}
