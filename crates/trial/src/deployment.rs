//! A platform stand-in and hosts, each a process of its own.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use host::operators::Status;
use model::{Millis, WriterTag};
use platform::PlatformClient;
use stand_ins::backend::Run;

use crate::http;
use crate::process::{self, Process, Program};

/// The service of the test deployments.
pub const SERVICE: &str = "index-board";

/// A service of the test deployments that is not divided by key.
pub const UNKEYED_SERVICE: &str = "forecast";

/// The partitions of the service.
pub const PARTITIONS: usize = 48;

/// The availability zones of the test deployments.
pub const ZONES: [&str; 6] =
    ["khomas-a", "khomas-b", "erongo-a", "erongo-b", "oshana-a", "oshana-b"];

/// How long anything that must happen may take before a test gives up.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The pause between two looks at a condition.
pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// No partition moves only to even out the load, so that each move in a test has its cause there.
const NO_BALANCING_MS: u64 = 3_600_000;

/// How long a platform stand-in may take to answer a test.
const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);

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
    /// Where the host process listens to callers.
    pub callers: SocketAddr,
    /// Where it listens to other host processes.
    pub hosts: SocketAddr,
    /// Where it listens to its backend server.
    pub announce: SocketAddr,
    /// Where it listens to operators.
    pub operators: SocketAddr,
    /// What former backend servers of this host ran.
    pub previous_runs: Vec<Run>,
}

/// A platform stand-in and hosts.
pub struct Deployment {
    /// The program that the processes run.
    pub program: Program,
    /// The platform stand-in.
    pub platform: Process,
    /// Where the platform stand-in listens.
    pub platform_addr: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Returns a configuration of one keyed service and one without keys.
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

/// Starts a platform with the configuration and one host per zone, and waits until each
/// partition is served.
pub async fn start_deployment(program: &Program, zones: &[&str]) -> Deployment {
    let mut deployment = start_platform(program).await;
    for zone in zones {
        deployment.add_host(zone);
    }
    deployment.wait_until_served().await;
    deployment
}

/// Starts a platform with the configuration.
pub async fn start_platform(program: &Program) -> Deployment {
    let platform = program.spawn(&["dev", "platform"]);
    let platform_addr = platform.address("");
    let client = PlatformClient::new(platform_addr, PLATFORM_TIME_LIMIT);
    client.apply_config(None, &config(), WriterTag(1)).await.expect("the configuration is stored");
    Deployment { program: program.clone(), platform, platform_addr, hosts: Vec::new() }
}

/// Starts one host process and its backend server.
pub fn start_host(program: &Program, platform: SocketAddr, service: &str, zone: &str) -> Host {
    let settings = format!(
        "zone: {zone}\nservice: {service}\nplatform: {platform}\ntest_switches: true\n\
         timing:\n  balance_interval_ms: {NO_BALANCING_MS}\n"
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
    /// Returns the state of the host process, if it answers.
    pub async fn status(&self) -> Option<Status> {
        let body = http::get(self.operators, "/status").await?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns what the backend servers of this host ran.
    pub async fn runs(&self) -> Vec<Run> {
        let body = http::get(self.backend.address(""), "/stand-in/runs").await;
        let present: Option<Vec<Run>> = body.and_then(|b| serde_json::from_slice(&b).ok());
        self.previous_runs.iter().cloned().chain(present.unwrap_or_default()).collect()
    }

    /// Kills the backend server and starts another one.
    pub async fn replace_backend(&mut self, program: &Program) {
        self.kill_backend().await;
        self.backend = start_backend(program, &self.service, self.announce);
    }

    /// Kills the backend server, but keeps what it ran.
    pub async fn kill_backend(&mut self) {
        self.previous_runs = self.runs().await;
        self.backend.kill();
    }
}

impl Deployment {
    /// Starts another host.
    pub fn add_host(&mut self, zone: &str) {
        let host = start_host(&self.program, self.platform_addr, SERVICE, zone);
        self.hosts.push(host);
    }

    /// Waits until each partition has an owner that is a live member, and all hosts know it.
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

    /// Returns the index of the host that is the coordinator.
    ///
    /// # Panics
    ///
    /// Panics if no host is.
    pub async fn coordinator(&self) -> usize {
        for (index, host) in self.hosts.iter().enumerate() {
            if host.status().await.is_some_and(|s| s.coordinator) {
                return index;
            }
        }
        panic!("no host is the coordinator");
    }

    /// Changes what the platform stand-in does wrong.
    pub async fn set_platform_faults(&self, faults: &str) {
        http::put(self.platform_addr, "/admin/faults", faults).await;
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` after [`WAIT_TIMEOUT`].
pub async fn wait_for<F, Fut>(what: &str, mut holds: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "waited in vain for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
