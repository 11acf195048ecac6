//! A machine gets SIGTERM while callers still receive long answers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use review_stand_ins::caller::id;
use review_stand_ins::http::encode;
use review_stand_ins::process::{Deployment, Machine, SIGTERM, free_ports};
use review_stand_ins::record::Record;
use review_stand_ins::store::Store;
use review_stand_ins::upstream::Upstream;
use review_stand_ins::{args, manifest, route, service};

const ANSWER_BYTES: usize = 8_000_000;

/// A caller takes this many bytes each 10 ms: 12 Mbit/s.
const SLICE: usize = 15_000;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Keeps the receive buffer of this caller's own socket small.
fn limit_receive_buffer(s: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 65_536;
    unsafe { setsockopt(s.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

fn download(to: std::net::SocketAddr, id: &str) -> Result<usize, String> {
    let mut s = TcpStream::connect(to).map_err(|e| e.to_string())?;
    limit_receive_buffer(&s);
    let path = format!("/forecast/w200/b{ANSWER_BYTES}/1");
    let headers = [("Host", "site.example"), ("Attempt-Id", id), ("Deadline-Ms", "8000")];
    s.write_all(&encode(&format!("GET {path} HTTP/1.1"), &headers, b""))
        .map_err(|e| e.to_string())?;
    let _ = s.set_read_timeout(Some(Duration::from_secs(8)));
    let (mut got, mut buf) = (Vec::new(), vec![0; SLICE]);
    let start = Instant::now();
    loop {
        let n = s.read(&mut buf).map_err(|e| format!("{e} after {} bytes", got.len()))?;
        got.extend_from_slice(&buf[..n]);
        let head = got.windows(4).position(|w| w == b"\r\n\r\n");
        let body = head.map_or(0, |h| got.len() - h - 4);
        if head.is_some() && body >= ANSWER_BYTES {
            return Ok(body);
        }
        if n == 0 {
            return Err(format!(
                "closed after {body} of {ANSWER_BYTES} bytes, {:?}",
                start.elapsed()
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
}

fn main() {
    let args = args();
    let record = Arc::new(Record::create(&args.case.join("record.txt")));
    let a = Machine::new("sidecar-khomas-a-1", "khomas-a", "outlook", "127.0.23.1");
    let deployment = Deployment {
        root: args.root.clone(),
        dir: args.tmp.clone(),
        store: format!("127.0.23.9:{}", free_ports("127.0.23.9", 1)).parse().unwrap(),
        zones: "{\"khomas-a\":\"khomas\"}".into(),
        drain_ms: 2500,
        grace_s: 6,
    };
    let store = Store::start(deployment.store);
    let routes = route("/forecast/", "outlook", "safe", 8000, 2);
    store.put("op", "", "config", manifest(3, &routes, &service("outlook", false)).as_bytes());
    let _up = Upstream::start("i-aaaaaaaa", &a, 6, false, record.clone(), None);
    let process = deployment.start(&a);
    if !process.wait_ready(Duration::from_secs(10)) {
        exit(2);
    }
    thread::sleep(Duration::from_secs(6));
    let cut = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (1..=4)
        .map(|n| {
            let (record, cut, to) = (record.clone(), cut.clone(), a.outbound);
            thread::spawn(move || {
                let id = id(n);
                record.line(&format!("send    {id}"));
                match download(to, &id) {
                    Ok(n) => record.line(&format!("answer  {id} whole, {n} bytes")),
                    Err(e) => {
                        cut.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!("cut     {id} {e}"));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    if args.trouble {
        process.signal(SIGTERM);
        record.line("SIGTERM");
    }
    for c in callers {
        let _ = c.join();
    }
    let text = format!("{} of 4 answers were cut", cut.load(Ordering::SeqCst));
    record.line(&text);
    println!("{text}");
    exit(i32::from(cut.load(Ordering::SeqCst) > 0));
}
