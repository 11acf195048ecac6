//! A sidecar process with little memory beside a backend server, for tests of what the process holds.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use adapter_stand_in::{Backend, CallerRequest, KeyGrants, Store, send_request};
use bytes::Bytes;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

/// Far longer than any step takes, so that a test times out only because of a real fault.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// How long one attempt of an ordinary request waits, longer than the time limit of its route.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(15);

/// The body of an ordinary order.
const ORDER_BYTES: usize = 1_000;

/// The memory of the process in the settings, in MB.
pub const MEMORY_MB: u64 = 64;

/// The descriptors of a process besides the connections that the settings limit: listeners, the
/// store, hosts, the backend server, logs, and connections that are accepted and not closed yet.
pub const OTHER_DESCRIPTORS: usize = 100;

/// A host whose process ends with this value.
pub struct Host {
    pub child: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub hosts: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
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

/// What a host is started with.
pub struct HostOptions<'a> {
    pub service: &'a str,
    pub name: &'a str,
    pub memory_mb: u64,
    /// Further settings of the section `limits`, each preceded by a comma.
    pub limits: &'a str,
    /// The limit on open descriptors of the process.
    pub max_descriptors: Option<usize>,
    /// Where the log goes.
    pub log: Stdio,
}

impl<'a> HostOptions<'a> {
    pub fn new(service: &'a str, name: &'a str) -> Self {
        let (memory_mb, limits, max_descriptors, log) = (MEMORY_MB, "", None, Stdio::null());
        Self { service, name, memory_mb, limits, max_descriptors, log }
    }
}

impl Host {
    /// Starts a process and its backend server, and waits until it answers.
    pub async fn start(store: &Store, options: HostOptions<'_>) -> Self {
        let HostOptions { service, name, memory_mb, limits, max_descriptors, log } = options;
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
             limits: {{memory_mb: {memory_mb}{limits}}}\n",
            store.address()
        );
        let file = format!("papayarill-memory-{}-{name}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        // The shell only sets the limit; the process takes its place.
        let limit = max_descriptors.map_or(String::new(), |n| format!("ulimit -n {n} && "));
        let child = Command::new("sh")
            .args(["-c", &format!("{limit}exec \"$@\""), "sh", env!("CARGO_BIN_EXE_papayarill")])
            .args(["sidecar", "--settings"])
            .arg(&settings)
            .stdout(log)
            .spawn()
            .unwrap();
        let backend = Backend::start(server, control, service, name, KeyGrants::None).await;
        let host =
            Self { child, settings, callers, hosts, ready, control, metrics, _backend: backend };
        host.assert_answers("starts").await;
        host
    }

    /// Repeats an ordinary lookup, which may be refused, until it is answered, and then an ordinary
    /// order with a body.
    pub async fn assert_answers(&self, name: &str) {
        self.assert_answers_request(name, "GET", "/browse/x", Bytes::new()).await;
        let body = Bytes::from(vec![b'o'; ORDER_BYTES]);
        self.assert_answers_request(name, "POST", "/order/x", body).await;
    }

    async fn assert_answers_request(
        &self,
        name: &str,
        method: &'static str,
        path: &str,
        body: Bytes,
    ) {
        let deadline = Instant::now() + WAIT_LIMIT;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let request = CallerRequest {
                method,
                host: "h.example".into(),
                path: path.into(),
                id: format!("{name}-{method}-{attempts}"),
                key: None,
                timeout_ms: 10_000,
                body: body.clone(),
            };
            let response = timeout(ATTEMPT_LIMIT, send_request(self.callers, &request)).await;
            let response = response.ok().flatten();
            if response.as_ref().is_some_and(|r| r.status == 200) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{name}: {method} not answered, the last was {response:?}"
            );
            sleep(Duration::from_millis(100)).await;
        }
    }

    pub fn assert_alive(&mut self, name: &str) {
        assert!(self.child.try_wait().unwrap().is_none(), "{name}: the process ended");
    }

    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
        line.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1_024
    }

    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }
}

/// A configuration with a route of lookups and one of requests that must not run twice.
pub fn document() -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({"name": name, "host": "h.example", "prefix": format!("/{name}/"), "type": kind,
               "timeout_ms": 10_000, "target_latency_ms": 8_000, "priority": 1, "attempts": 1,
               "service": service})
    };
    let routes = [route("browse", "safe", "catalog"), route("order", "unsafe", "catalog")];
    json!({"version": 1, "routes": routes, "limits": {},
           "services": [{"name": "catalog", "max_conns": 20}, {"name": "other", "max_conns": 20}]})
}
