//! Memory and descriptors of sidecars whose callers don't read their responses, or send nothing.
//! The checks don't depend on the speed of the machine.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use adapter_stand_in::{BYTES_PATH_PART, Backend, CallerRequest, KeyGrants, Store, send_request};
use bytes::Bytes;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

/// Far longer than any step takes, so that a test times out only because of a real fault.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// How long memory is watched while callers don't read.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// The memory of the process in the settings, in MB.
const MEMORY_MB: u64 = 64;

/// Below the largest response that the settings allow, 1/32 of the memory.
const RESPONSE_BYTES: usize = 1_500_000;

/// Each caller requests 24 MB, so that all of them request several times the memory.
const CALLERS: usize = 16;
const PIPELINED_REQUESTS: usize = 16;

/// The maximum number of connections of callers in the settings of the test of descriptors.
const MAX_CALLER_CONNECTIONS: usize = 40;

/// The descriptors of a process besides the connections of callers: listeners, the store, hosts, the
/// backend server, logs, and connections that are accepted and not closed yet.
const OTHER_DESCRIPTORS: usize = 100;

/// The tests of this file run one at a time.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

struct Host {
    child: Child,
    settings: PathBuf,
    callers: SocketAddr,
    _backend: Backend,
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already, but it must be gone before the next test starts.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Host {
    async fn start(store: &Store, service: &str, name: &str, limits: &str) -> Self {
        // All ports are taken at once, so that they differ.
        let probes: [TcpListener; 6] =
            std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
        let [callers, hosts, ready, control, metrics, server] =
            probes.each_ref().map(|l| l.local_addr().unwrap());
        drop(probes);
        let text = format!(
            "host: {name}\nzone: a\nregions: {{a: r}}\nservice: {service}\nbackend_server: '{server}'\n\
             store: '{}'\nlisten: {{callers: '{callers}', hosts: '{hosts}', ready: '{ready}', \
             backend: '{control}', metrics: '{metrics}'}}\ndrain_ms: 2500\nstop_ms: 6000\n\
             hold_max_ms: 10000\nretry: {{ratio: 0.2, slack: 50, window_s: 10}}\n\
             limits: {{memory_mb: {MEMORY_MB}{limits}}}\n",
            store.address()
        );
        let file = format!("papayarill-memory-{}-{name}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_papayarill"))
            .args(["sidecar", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let backend = Backend::start(server, control, service, name, KeyGrants::None).await;
        let host = Self { child, settings, callers, _backend: backend };
        host.assert_answers("starts").await;
        host
    }

    /// Repeats an ordinary request, which may be refused, until it is answered.
    async fn assert_answers(&self, name: &str) {
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let request = CallerRequest {
                method: "GET",
                host: "h.example".into(),
                path: "/browse/x".into(),
                id: format!("{name}-{attempts}"),
                key: None,
                timeout_ms: 10_000,
                body: Bytes::new(),
            };
            let response = send_request(self.callers, &request).await;
            if response.as_ref().is_some_and(|r| r.status == 200) {
                return;
            }
            assert!(Instant::now() < deadline, "{name}: not answered, the last was {response:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    fn assert_alive(&mut self, name: &str) {
        assert!(self.child.try_wait().unwrap().is_none(), "{name}: the process ended");
    }

    fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1_024
    }

    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

fn document() -> serde_json::Value {
    let route = |name: &str, service: &str| {
        json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": "safe",
               "timeout_ms": 10_000, "target_latency_ms": 8_000, "priority": 1, "attempts": 1,
               "service": service})
    };
    json!({"version": 1, "routes": [route("browse", "catalog")], "limits": {},
           "services": [{"name": "catalog", "max_conns": 20}, {"name": "other", "max_conns": 20}]})
}

/// Requests long responses on one connection and reads at most a byte now and then, until it is
/// closed.
async fn request_and_stall(to: SocketAddr, caller: usize, reads: bool) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return };
    let mut text = String::new();
    for n in 0..PIPELINED_REQUESTS {
        text.push_str(&format!(
            "GET /browse{BYTES_PATH_PART}{RESPONSE_BYTES} HTTP/1.1\r\nhost: h.example\r\n\
             attempt-id: slow-{caller}-{n}\r\ndeadline-ms: 60000\r\n\r\n"
        ));
    }
    // The connection may be closed at any time.
    let _ = stream.write_all(text.as_bytes()).await;
    loop {
        sleep(Duration::from_millis(100)).await;
        if reads && stream.read_u8().await.is_err() {
            return;
        }
    }
}

/// Guards against a process that buffers responses which nobody reads until its memory is used up,
/// next to the backend server or on the way through another host.
#[actix_rt::test]
async fn callers_that_do_not_read_their_responses_take_a_bounded_part_of_the_memory() {
    let _lock = RUNNING_TEST.lock().await;
    for (name, far, reads) in
        [("near-unread", false, false), ("near-slow", false, true), ("far-unread", true, false)]
    {
        let store = Store::start().await;
        store.put_config(&document());
        let mut hosts = vec![Host::start(&store, "catalog", &format!("{name}-a"), "").await];
        if far {
            hosts.push(Host::start(&store, "other", &format!("{name}-b"), "").await);
        }
        let entry = hosts.last().unwrap().callers;

        let stalled: Vec<_> = (0..CALLERS)
            .map(|caller| actix_rt::spawn(request_and_stall(entry, caller, reads)))
            .collect();
        let watched_until = Instant::now() + WATCH_TIME;
        while Instant::now() < watched_until {
            for host in &mut hosts {
                host.assert_alive(name);
                let used = host.memory_mb();
                assert!(used < MEMORY_MB, "{name}: uses {used} of {MEMORY_MB} MB");
            }
            sleep(Duration::from_millis(50)).await;
        }

        for host in &mut hosts {
            host.assert_answers(name).await;
            host.assert_alive(name);
        }
        stalled.iter().for_each(|caller| caller.abort());
    }
}

/// Guards against callers that take all descriptors with connections on which they send nothing, or
/// half a head.
#[actix_rt::test]
async fn connections_without_requests_take_a_bounded_number_of_descriptors() {
    let _lock = RUNNING_TEST.lock().await;
    for (name, sent) in [("silent", ""), ("half-head", "GET /browse/x HTTP/1.1\r\nhost: h.exa")] {
        let store = Store::start().await;
        store.put_config(&document());
        let limits = format!(", caller_connections: {MAX_CALLER_CONNECTIONS}");
        let mut host = Host::start(&store, "catalog", name, &limits).await;

        let mut idle = Vec::new();
        for _ in 0..300 {
            let Ok(mut stream) = TcpStream::connect(host.callers).await else { continue };
            // The connection may be closed at once.
            let _ = stream.write_all(sent.as_bytes()).await;
            idle.push(stream);
        }
        host.assert_answers(name).await;

        host.assert_alive(name);
        let (open, bound) = (host.descriptors(), MAX_CALLER_CONNECTIONS + OTHER_DESCRIPTORS);
        assert!(open <= bound, "{name}: {open} descriptors, {bound} allowed");
        assert!(host.memory_mb() < MEMORY_MB, "{name}: uses {} MB", host.memory_mb());
        drop(idle);
    }
}
