//! Deployments under test: a platform stand-in and hosts, each a separate process.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use host::operators::Status;
use model::{Millis, WriterTag};
use platform::PlatformClient;
use stand_ins::backend::Run;

use crate::http;
use crate::process::{self, Process, Program};

/// The service of the test deployments that is partitioned by key.
pub const SERVICE: &str = "index-board";

/// The service of the test deployments that is not partitioned by key.
pub const UNKEYED_SERVICE: &str = "forecast";

/// The number of partitions of [`SERVICE`].
pub const PARTITIONS: usize = 48;

/// The availability zones of the test deployments.
pub const ZONES: [&str; 6] =
    ["khomas-a", "khomas-b", "erongo-a", "erongo-b", "oshana-a", "oshana-b"];

/// How long a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The interval at which a condition is polled.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A balancing interval longer than any test, so that partitions move only for a cause in the
/// test and not to balance the load.
const DISABLED_BALANCE_INTERVAL_MS: u64 = 3_600_000;

/// The timeout of a request to the platform stand-in.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// One host: a host process with its backend server.
pub struct Host {
    /// The availability zone.
    pub zone: String,
    /// The service of the backend server.
    pub service: String,
    /// The host process.
    pub process: Process,
    /// The backend server.
    pub backend: Process,
    /// The address of the host process for callers.
    pub callers: SocketAddr,
    /// Its address for other host processes.
    pub hosts: SocketAddr,
    /// Its address for announcements of its backend server.
    pub announce: SocketAddr,
    /// Its address for operators.
    pub operators: SocketAddr,
    /// The run logs of earlier backend servers of this host.
    pub previous_runs: Vec<Run>,
}

/// A platform stand-in and its hosts.
pub struct Deployment {
    /// The program that the processes run.
    pub program: Program,
    /// The platform stand-in.
    pub platform: Process,
    /// The address of the platform stand-in.
    pub platform_addr: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Returns a configuration with one service partitioned by key and one that is not.
pub fn config() -> String {
    let regions: String = ["khomas", "erongo", "oshana"]
        .iter()
        .map(|r| format!("- name: {r}\n  zones: [{r}-a, {r}-b]\n"))
        .collect();
    format!(
        "regions:\n{regions}services:\n- name: {SERVICE}\n  key:\n    path-segment: 1\n  \
         partitions: {PARTITIONS}\n  backend-servers: 6\n  slots: 6\n  connections: 110\n  \
         reserved-slots: 2\n  drain-deadline-ms: 20000\n  rules:\n  - methods: [GET]\n    \
         path: /keys/*\n    repeatable: true\n    priority: interactive\n    \
         time-limit-ms: 10000\n  - methods: [POST]\n    path: /keys/*\n    repeatable: false\n    \
         priority: interactive\n    time-limit-ms: 10000\n{}",
        unkeyed_service()
    )
}

fn unkeyed_service() -> String {
    format!(
        "- name: {UNKEYED_SERVICE}\n  partitions: 16\n  backend-servers: 3\n  slots: 6\n  \
         connections: 110\n  reserved-slots: 2\n  rules:\n  - methods: [GET]\n    path: /**\n    \
         repeatable: true\n    priority: interactive\n    time-limit-ms: 10000\n"
    )
}

/// Starts a platform with the test configuration and one host per entry of `zones`, and waits
/// until every partition is served.
pub async fn start_deployment(program: &Program, zones: &[&str]) -> Deployment {
    let mut deployment = start_platform(program).await;
    for zone in zones {
        deployment.add_host(zone);
    }
    deployment.wait_until_served().await;
    deployment
}

/// Starts a platform with the test configuration and no hosts.
pub async fn start_platform(program: &Program) -> Deployment {
    let platform = program.spawn(&["dev", "platform"]);
    let platform_addr = platform.address("");
    let client = PlatformClient::new(platform_addr, PLATFORM_TIMEOUT);
    client.apply_config(None, &config(), WriterTag(1)).await.expect("the configuration is stored");
    Deployment { program: program.clone(), platform, platform_addr, hosts: Vec::new() }
}

/// Starts one host process and its backend server.
pub fn start_host(program: &Program, platform: SocketAddr, service: &str, zone: &str) -> Host {
    let settings = format!(
        "zone: {zone}\nservice: {service}\nplatform: {platform}\ntest_switches: true\n\
         timing:\n  balance_interval_ms: {DISABLED_BALANCE_INTERVAL_MS}\n"
    );
    let process = program.spawn(&["serve", "--settings", &process::write_settings_file(&settings)]);
    let announce = process.address("backend=");
    Host {
        zone: zone.to_owned(),
        callers: process.address("callers="),
        hosts: process.address("hosts="),
        operators: process.address("operators="),
        announce,
        backend: start_backend(program, service, announce),
        service: service.to_owned(),
        process,
        previous_runs: Vec::new(),
    }
}

/// Starts a backend server that announces itself to a host process.
pub fn start_backend(program: &Program, service: &str, announce: SocketAddr) -> Process {
    program.spawn(&["dev", "backend", "--service", service, "--announce", &announce.to_string()])
}

impl Host {
    /// Returns the status of the host process; `None` if it does not respond.
    pub async fn status(&self) -> Option<Status> {
        let body = http::get(self.operators, "/status").await?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the run log of all backend servers of this host, earlier ones included.
    pub async fn runs(&self) -> Vec<Run> {
        let body = http::get(self.backend.address(""), "/stand-in/runs").await;
        let current: Option<Vec<Run>> = body.and_then(|b| serde_json::from_slice(&b).ok());
        self.previous_runs.iter().cloned().chain(current.unwrap_or_default()).collect()
    }

    /// Kills the backend server and starts another one in its place.
    pub async fn replace_backend(&mut self, program: &Program) {
        self.kill_backend().await;
        self.backend = start_backend(program, &self.service, self.announce);
    }

    /// Kills the backend server after saving its run log.
    pub async fn kill_backend(&mut self) {
        self.previous_runs = self.runs().await;
        self.backend.kill();
    }
}

impl Deployment {
    /// Starts a further host in `zone`.
    pub fn add_host(&mut self, zone: &str) {
        let host = start_host(&self.program, self.platform_addr, SERVICE, zone);
        self.hosts.push(host);
    }

    /// Waits until every partition is owned by a live member and all hosts have read the same
    /// version of the row.
    pub async fn wait_until_served(&self) {
        wait_for("all partitions to be served", || self.is_served()).await;
    }

    async fn is_served(&self) -> bool {
        let mut versions = Vec::new();
        for host in &self.hosts {
            let Some(status) = host.status().await else {
                return false;
            };
            if status.partitions.len() != PARTITIONS || status.lease_left_ms.is_none() {
                return false;
            }
            let owners: Vec<&String> = status.partitions.iter().map(|p| &p.owner).collect();
            let members: Vec<&String> = status.members.iter().map(|m| &m.session).collect();
            if members.len() != self.hosts.len() || owners.iter().any(|o| !members.contains(o)) {
                return false;
            }
            versions.push(status.row_version);
        }
        versions.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Returns the index of the coordinator's host.
    ///
    /// # Panics
    ///
    /// Panics if no host is the coordinator.
    pub async fn coordinator(&self) -> usize {
        for (index, host) in self.hosts.iter().enumerate() {
            if host.status().await.is_some_and(|s| s.coordinator) {
                return index;
            }
        }
        panic!("no host is the coordinator");
    }

    /// Replaces the faults that the platform stand-in injects, given as JSON.
    pub async fn set_platform_faults(&self, faults: &str) {
        http::put(self.platform_addr, "/admin/faults", faults).await;
    }
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// Panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_for<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
