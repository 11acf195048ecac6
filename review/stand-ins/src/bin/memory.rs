//! An upstream writes bytes that are no answer, without end. The platform kills a process that
//! exceeds its memory.

use std::io::Write;
use std::net::TcpStream;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::caller::{Caller, id};
use review_stand_ins::http::Message;
use review_stand_ins::process::{Deployment, Machine, SIGKILL};
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;
use review_stand_ins::upstream::Upstream;
use review_stand_ins::{args, manifest, route, service};

const RUN: Duration = Duration::from_secs(20);

/// Writes bytes that are no answer, a few at a time and without end.
fn endless(s: &mut TcpStream) -> bool {
    let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n");
    while s.write_all(b"........\n").is_ok() {
        thread::sleep(Duration::from_micros(100));
    }
    false
}

fn main() {
    let args = args();
    let record = Arc::new(Record::create(&args.case.join("record.txt")));
    let a = Machine::new("sidecar-khomas-a-1", "khomas-a", "outlook", "127.0.20.1");
    let b = Machine::new("sidecar-khomas-b-1", "khomas-b", "dispatch", "127.0.20.2");
    let store_at = format!("127.0.20.9:{}", review_stand_ins::process::free_ports("127.0.20.9", 1));
    let deployment = Deployment {
        root: args.root.clone(),
        dir: args.tmp.clone(),
        store: store_at.parse().unwrap(),
        zones: "{\"khomas-a\":\"khomas\",\"khomas-b\":\"khomas\"}".into(),
        drain_ms: 2500,
        grace_s: 6,
    };
    let store = Store::start(deployment.store);
    let routes = [
        route("/forecast/", "outlook", "safe", 3000, 2),
        route("/order/", "dispatch", "unsafe", 2000, 1),
    ];
    let services = [service("outlook", false), service("dispatch", false)];
    store.put("op", "", "config", manifest(3, &routes.join(","), &services.join(",")).as_bytes());

    let bad = Arc::new(AtomicBool::new(false));
    let faulty = bad.clone();
    let special = Box::new(move |_: &Message, s: &mut TcpStream| {
        faulty.load(Ordering::SeqCst).then(|| endless(s))
    });
    let _up_a = Upstream::start("i-aaaaaaaa", &a, 6, false, record.clone(), Some(special));
    let up_b = Upstream::start("i-bbbbbbbb", &b, 6, false, record.clone(), None);
    let ran = Arc::new(Mutex::new(Vec::<String>::new()));
    let runs = ran.clone();
    *up_b.on_run.lock().unwrap() = Some(Box::new(move |m| {
        runs.lock().unwrap().push(m.header("attempt-id").to_owned());
    }));
    let process_a = deployment.start(&a);
    let process_b = deployment.start(&b);
    let ready = |p: &review_stand_ins::process::Process| p.wait_ready(Duration::from_secs(10));
    if !ready(&process_a) || !ready(&process_b) {
        eprintln!("a sidecar does not become ready");
        exit(2);
    }
    thread::sleep(Duration::from_secs(3));

    let process_a = Arc::new(Mutex::new(process_a));
    let over = Arc::new(AtomicBool::new(false));
    let kills = Arc::new(AtomicU64::new(0));
    let peak = Arc::new(AtomicU64::new(0));
    // The platform: a process that exceeds its memory is killed, and restarted after a short delay.
    let platform = {
        let (process, over, kills, record) =
            (process_a.clone(), over.clone(), kills.clone(), record.clone());
        let (deployment, machine, peak) = (deployment.clone(), a.clone(), peak.clone());
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let kb = process.lock().unwrap().rss_kb();
                peak.fetch_max(kb, Ordering::SeqCst);
                if kb > machine.memory_mb * 1024 {
                    record.line(&format!(
                        "killed  {}: {} MB of memory, limit {} MB",
                        machine.node,
                        kb / 1024,
                        machine.memory_mb
                    ));
                    process.lock().unwrap().signal(SIGKILL);
                    kills.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(1000));
                    *process.lock().unwrap() = deployment.start(&machine);
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let end = Instant::now() + RUN;
    let lost = Arc::new(Mutex::new(Vec::<String>::new()));
    let answered = Arc::new(AtomicU64::new(0));
    let next_id = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    // Six callers on kept connections send orders to the sound upstream.
    for _ in 0..6 {
        let (record, lost, next_id, answered) =
            (record.clone(), lost.clone(), next_id.clone(), answered.clone());
        callers.push(thread::spawn(move || {
            let mut caller = Caller::new(a.outbound);
            while Instant::now() < end {
                let id = id(next_id.fetch_add(1, Ordering::SeqCst));
                let limit = Duration::from_secs(4);
                record.line(&format!("send    {id} order"));
                let result = caller.send("POST", "/order/w250/b400/1", &id, None, limit, b"order");
                match result {
                    Ok(m) => {
                        answered.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("answer  {id} order {}", m.status()));
                    }
                    Err(e) => {
                        record.line(&format!("cut     {id} order, kept={}: {e}", caller.kept));
                        if caller.kept {
                            lost.lock().unwrap().push(id);
                        }
                        thread::sleep(Duration::from_millis(300));
                    }
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    if args.trouble {
        record.line("trouble: the answers of i-aaaaaaaa have no end");
        bad.store(true, Ordering::SeqCst);
    }
    for _ in 0..6 {
        let (record, next_id) = (record.clone(), next_id.clone());
        callers.push(thread::spawn(move || {
            let mut caller = Caller::new(a.outbound);
            while Instant::now() < end {
                let id = id(next_id.fetch_add(1, Ordering::SeqCst));
                let limit = Duration::from_secs(6);
                record.line(&format!("send    {id} forecast"));
                let result = caller.send("GET", "/forecast/w470/b1500/2", &id, None, limit, b"");
                let text = result.map_or_else(|e| e.to_string(), |m| m.status().to_string());
                record.line(&format!("answer  {id} forecast {text}"));
                thread::sleep(Duration::from_millis(200));
            }
        }));
    }
    for c in callers {
        let _ = c.join();
    }
    over.store(true, Ordering::SeqCst);
    let _ = platform.join();
    drop(process_b);
    let ran = ran.lock().unwrap();
    let lost = lost.lock().unwrap();
    let cut: Vec<&String> = lost.iter().filter(|id| ran.contains(id)).collect();
    let text = format!(
        "peak {} MB, killed {} times; {} orders answered, {} on kept connections cut without an \
         answer, {} of these had run",
        peak.load(Ordering::SeqCst) / 1024,
        kills.load(Ordering::SeqCst),
        answered.load(Ordering::SeqCst),
        lost.len(),
        cut.len()
    );
    record.line(&text);
    println!("{text}");
    exit(i32::from(cut.len() > 3));
}
