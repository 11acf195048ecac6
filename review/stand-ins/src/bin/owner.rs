//! Upstreams are added while the store loses answers to writes of one machine, of which the first is
//! done late. Then that machine is partitioned from the store.

use std::collections::BTreeMap;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::caller::{Caller, id};
use review_stand_ins::link::Link;
use review_stand_ins::process::{Deployment, Machine, Process, free_ports};
use review_stand_ins::record::Record;
use review_stand_ins::store::{Fate, Late, Store};
use review_stand_ins::upstream::{Range, Upstream};
use review_stand_ins::{args, manifest, route, service};

const SERVICE: &str = "kp-board";

/// How long answers are lost at most.
const LOSS: Duration = Duration::from_millis(2500);

/// How long the machine is partitioned from the store.
const CUT: Duration = Duration::from_millis(5500);

/// A lost write is done this much later at least, and at most.
const LATE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(6));

#[derive(Default)]
struct Trouble {
    /// The lead has asked the owners to move keys to a newcomer.
    asked_to_move: bool,
    /// The second newcomer, and when it registered at the store.
    newcomer: String,
    newcomer_at: Option<Instant>,
    /// When the renewal was lost.
    lost_at: Option<Instant>,
    conflict_seen: bool,
    writes: u64,
    writes_at_loss: u64,
    lost: u64,
}

fn main() {
    let args = args();
    let record = Arc::new(Record::create(&args.case.join("record.txt")));
    // The first seven are there from the start; the third is the holder, alone in its region.
    let places = [
        ("khomas-a", 10),
        ("khomas-b", 20),
        ("karas-a", 21),
        ("khomas-a", 60),
        ("khomas-b", 70),
        ("khomas-a", 80),
        ("khomas-b", 90),
        ("khomas-a", 50),
        ("khomas-b", 45),
        ("khomas-a", 40),
        ("khomas-b", 35),
        ("khomas-a", 34),
        ("khomas-b", 33),
        ("khomas-a", 32),
        ("khomas-b", 31),
        ("khomas-a", 30),
        ("khomas-b", 29),
    ];
    let machines: Vec<Machine> = places
        .iter()
        .enumerate()
        .map(|(i, (zone, host))| {
            let node = format!("sidecar-{zone}-{}", i + 1);
            Machine::new(&node, zone, SERVICE, &format!("127.0.22.{host}"))
        })
        .collect();
    let port = free_ports("127.0.22.9", 2);
    let store_at = format!("127.0.22.9:{port}").parse().unwrap();
    let far_store = format!("127.0.22.9:{}", port + 1).parse().unwrap();
    let store = Store::start(store_at);
    // The holder's region is another one than the store's.
    let link = Link::start(far_store, store_at, Duration::from_millis(30));
    let near = Deployment {
        root: args.root.clone(),
        dir: args.tmp.clone(),
        store: store_at,
        zones: "{\"khomas-a\":\"khomas\",\"khomas-b\":\"khomas\",\"karas-a\":\"karas\"}".into(),
        drain_ms: 2500,
        grace_s: 6,
    };
    let far = Deployment { store: far_store, ..near.clone() };
    store.put(
        "op",
        "",
        "config",
        manifest(3, &route("/index/", SERVICE, "safe", 1500, 2), &service(SERVICE, true))
            .as_bytes(),
    );
    let holder = machines[2].inbound.to_string();
    let trouble = Arc::new(Mutex::new(Trouble::default()));
    {
        let (trouble, record) = (trouble.clone(), record.clone());
        let (enabled, holder) = (args.trouble, holder.clone());
        let late = Late::on_notice(LATE.0, LATE.1);
        store.set_hook(Box::new(move |tx, rows| {
            let mut t = trouble.lock().unwrap();
            t.writes += 1;
            let own = tx.expect.iter().find(|(n, _)| n.0 == "leases" && n.2 == holder);
            let names = |all: &mut dyn Iterator<Item = &(String, String, String)>| {
                let keys: Vec<&str> = all.map(|n| n.2.as_str()).collect();
                keys.join(" ")
            };
            let put = names(&mut tx.puts.iter().map(|(n, _)| n));
            let expected = names(&mut tx.expect.iter().map(|(n, _)| n));
            record.line(&format!("store   write of {put}, expects {expected}"));
            if put == "map" && expected == "map" {
                t.asked_to_move = true;
            }
            if t.newcomer == put && t.newcomer_at.is_none() {
                t.newcomer_at = Some(Instant::now());
            }
            if own.is_none() || !enabled {
                return Fate::Answer;
            }
            let current = |n: &(String, String, String)| rows.rows.get(n).map_or(0, |r| r.ver);
            let stale = tx.expect.iter().any(|(n, v)| n.2 == "map" && current(n) != *v);
            match t.lost_at {
                None => {
                    let knows = t.newcomer_at.is_some_and(|at| at.elapsed().as_millis() > 150);
                    if !knows || put != holder {
                        return Fate::Answer;
                    }
                    t.lost_at = Some(Instant::now());
                    t.lost += 1;
                    t.writes_at_loss = t.writes;
                    record.line("store   the answer to this renewal is lost, and it is done late");
                    Fate::LateClosed(late.clone())
                }
                Some(at) if at.elapsed() > LOSS || t.conflict_seen => Fate::Answer,
                Some(_) if put == holder => {
                    t.lost += 1;
                    record.line("store   the answer to this renewal is lost, and it is done late");
                    Fate::LateClosed(Late::fixed(LATE.1))
                }
                Some(_) if put == "map" && stale => {
                    t.conflict_seen = true;
                    record.line("store   the map has changed: 412");
                    let (link, record, late) = (link.clone(), record.clone(), late.clone());
                    thread::spawn(move || {
                        // The answer has just arrived.
                        thread::sleep(Duration::from_millis(45));
                        link.cut.store(true, Ordering::SeqCst);
                        record.line("the holder is partitioned from the store");
                        late.notify();
                        thread::sleep(CUT);
                        link.cut.store(false, Ordering::SeqCst);
                        record.line("the partition has healed");
                    });
                    Fate::Answer
                }
                Some(_) => Fate::Answer,
            }
        }));
    }

    let runs = Arc::new(Mutex::new(Vec::<(Instant, usize, u16)>::new()));
    let mut upstreams: Vec<Arc<Upstream>> = Vec::new();
    let mut processes: Vec<Process> = Vec::new();
    let add = |i: usize, upstreams: &mut Vec<Arc<Upstream>>, processes: &mut Vec<Process>| {
        let up =
            Upstream::start(&format!("i-{i:08x}"), &machines[i], 18, true, record.clone(), None);
        let runs = runs.clone();
        *up.on_run.lock().unwrap() = Some(Box::new(move |m| {
            let key = m.header("shard-key").parse().unwrap_or(0);
            runs.lock().unwrap().push((Instant::now(), i, key));
        }));
        upstreams.push(up);
        processes.push(if i == 2 { far.start(&machines[i]) } else { near.start(&machines[i]) });
        record.line(&format!("{} is added", machines[i].node));
    };
    for i in 0..7 {
        add(i, &mut upstreams, &mut processes);
    }
    if !processes.iter().all(|p| p.wait_ready(Duration::from_secs(10))) {
        exit(2);
    }
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end && upstreams.iter().any(|u| u.granted().is_empty()) {
        thread::sleep(Duration::from_millis(50));
    }
    if upstreams.iter().any(|u| u.granted().is_empty()) {
        eprintln!("an upstream holds no keys");
        exit(2);
    }
    let over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let mut callers = Vec::new();
    for n in 0..150_u64 {
        let (record, over, next_id) = (record.clone(), over.clone(), next_id.clone());
        let to = machines[(n % 7) as usize].outbound;
        callers.push(thread::spawn(move || {
            let mut caller = Caller::new(to);
            let mut random = n + 1;
            while !over.load(Ordering::SeqCst) {
                random = random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let id = id(next_id.fetch_add(1, Ordering::SeqCst));
                let limit = Duration::from_secs(3);
                let key = Some((random >> 40) as u16);
                let path = format!("/index/w{}/b500/1", 700 + (random >> 32) % 700);
                record.line(&format!("send    {id} key={key:?}"));
                let result = caller.send("GET", &path, &id, key, limit, b"");
                let text = result.map_or_else(|e| e.to_string(), |m| m.status().to_string());
                record.line(&format!("answer  {id} {text}"));
            }
        }));
    }
    // Looks for keys that two upstreams hold.
    let watched = Arc::new(Mutex::new(upstreams.clone()));
    type Overlap = (usize, usize, Instant, Instant, Vec<Range>);
    let overlaps = Arc::new(Mutex::new(Vec::<Overlap>::new()));
    let watcher = {
        let (watched, overlaps, over) = (watched.clone(), overlaps.clone(), over.clone());
        thread::spawn(move || {
            let mut open: BTreeMap<(usize, usize), (Instant, Vec<Range>)> = BTreeMap::new();
            while !over.load(Ordering::SeqCst) {
                let all: Vec<Vec<Range>> =
                    watched.lock().unwrap().iter().map(|u| u.granted()).collect();
                let now = Instant::now();
                for a in 0..all.len() {
                    for b in a + 1..all.len() {
                        let mut both = Vec::new();
                        for r in &all[a] {
                            for s in all[b].iter().filter(|s| s.0 <= r.1 && r.0 <= s.1) {
                                both.push((r.0.max(s.0), r.1.min(s.1), 0));
                            }
                        }
                        if both.is_empty() {
                            if let Some((start, keys)) = open.remove(&(a, b)) {
                                overlaps.lock().unwrap().push((a, b, start, now, keys));
                            }
                        } else {
                            open.entry((a, b)).or_insert((now, both));
                        }
                    }
                }
                thread::sleep(Duration::from_millis(3));
            }
            let now = Instant::now();
            for ((a, b), (start, keys)) in open {
                overlaps.lock().unwrap().push((a, b, start, now, keys));
            }
        })
    };
    // Two upstreams are added, up to five times.
    for i in [7, 9, 11, 13, 15] {
        thread::sleep(Duration::from_secs(6));
        let writes = trouble.lock().unwrap().writes;
        *trouble.lock().unwrap() = Trouble { writes, ..Trouble::default() };
        add(i, &mut upstreams, &mut processes);
        let limit = Instant::now() + Duration::from_secs(4);
        while !trouble.lock().unwrap().asked_to_move && Instant::now() < limit {
            thread::sleep(Duration::from_millis(2));
        }
        trouble.lock().unwrap().newcomer = machines[i + 1].inbound.to_string();
        add(i + 1, &mut upstreams, &mut processes);
        *watched.lock().unwrap() = upstreams.clone();
        thread::sleep(Duration::from_secs(10));
        {
            let t = trouble.lock().unwrap();
            let during = (t.writes - t.writes_at_loss) as f64;
            record.line(&format!(
                "{} writes lost their answer; {during} writes in the next 9 s",
                t.lost
            ));
        }
        let hit = overlaps.lock().unwrap().iter().any(|o| (o.3 - o.2).as_millis() > 500);
        if hit {
            break;
        }
    }
    over.store(true, Ordering::SeqCst);
    for c in callers {
        let _ = c.join();
    }
    let _ = watcher.join();
    drop(processes);
    let runs = runs.lock().unwrap();
    let mut broken = false;
    for (a, b, start, end, keys) in overlaps.lock().unwrap().iter() {
        let begun = |u: usize| {
            let on = |k: u16| keys.iter().any(|r| r.0 <= k && k <= r.1);
            runs.iter().filter(|(at, i, k)| *i == u && start <= at && at <= end && on(*k)).count()
        };
        let ms = (*end - *start).as_millis();
        let (x, y) = (begun(*a), begun(*b));
        let count: u32 = keys.iter().map(|r| u32::from(r.1 - r.0) + 1).sum();
        let text = format!(
            "{} and {} held the same {count} keys for {ms} ms, and began {x} and {y} requests on them",
            upstreams[*a].id, upstreams[*b].id
        );
        record.line(&text);
        println!("{text}");
        broken |= ms > 500 || x > 0 && y > 0;
    }
    exit(i32::from(broken));
}
