//! Host processes with backend server stand-ins, each a process of its own, and what they use.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;

use host::operators::Status;
use model::{Millis, WriterTag};
use platform::PlatformClient;
use trial::deployment::wait_for;
use trial::http;
use trial::process::{Process, Program, write_settings_file};

/// The service of the measurements.
pub const SERVICE: &str = "board";

/// Slots of each backend server, so many that none of the measurements waits for one.
pub const SLOTS: u32 = 64;

/// The availability zones.
const ZONES: [&str; 6] = ["khomas-a", "khomas-b", "erongo-a", "erongo-b", "oshana-a", "oshana-b"];

/// How long the platform stand-in may take to answer.
const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);

/// The size of a deployment.
#[derive(Clone, Copy)]
pub struct Size {
    /// Hosts in all cells together.
    pub hosts: u32,
    /// Cells; they get the same number of hosts each.
    pub cells: u32,
    /// Partitions of the service.
    pub partitions: u32,
}

/// Which log lines the host processes write, and where to.
#[derive(Clone, Copy)]
pub enum Logs {
    /// None.
    Off,
    /// Those of the shipped filter, to a file that is thrown away.
    Shipped,
}

/// One host process and its backend server.
pub struct Host {
    /// The host process.
    pub process: Process,
    /// The backend server, which ends with this.
    _backend: Process,
    /// Where the host process listens to callers.
    pub callers: SocketAddr,
    /// Where it listens to other host processes.
    pub hosts: SocketAddr,
    /// Where it listens to operators.
    pub operators: SocketAddr,
    cell: u32,
}

/// A platform stand-in and hosts.
pub struct Cluster {
    /// Where the platform stand-in listens.
    pub platform: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Host>,
    size: Size,
    _platform: Process,
}

/// Returns the shipped program of the same build, or says how to build it.
pub fn program() -> Option<Program> {
    let path: PathBuf = std::env::current_exe().ok()?.with_file_name("papayarill");
    if path.exists() {
        return Some(Program(path));
    }
    eprintln!("Build the program first: cargo build --release -p papayarill");
    None
}

/// Returns a configuration; `time_limit` is what tells two versions apart.
pub fn config(size: Size, time_limit: Millis) -> String {
    let regions = ["khomas", "erongo", "oshana"];
    let regions = regions.map(|r| format!("- name: {r}\n  zones: [{r}-a, {r}-b]\n")).concat();
    let Size { hosts, partitions, .. } = size;
    format!(
        "regions:\n{regions}services:\n- name: {SERVICE}\n  key:\n    path-segment: 1\n  \
         partitions: {partitions}\n  backend-servers: {hosts}\n  slots: {SLOTS}\n  \
         connections: 110\n  reserved-slots: 2\n  rules:\n  - methods: [GET]\n    \
         path: /keys/*\n    repeatable: true\n    priority: interactive\n    \
         time-limit-ms: {time_limit}\n"
    )
}

/// Starts a deployment and waits until each partition is served.
pub async fn start(program: &Program, size: Size, logs: Logs) -> Cluster {
    let platform = program.spawn(&["dev", "platform"]);
    let addr = platform.address("");
    let client = PlatformClient::new(addr, PLATFORM_TIME_LIMIT);
    let text = config(size, Millis(10_000));
    client.apply_config(None, &text, WriterTag(1)).await.expect("the configuration is stored");
    let hosts = (0..size.hosts).map(|index| start_host(program, addr, size, index, logs)).collect();
    let cluster = Cluster { platform: addr, hosts, size, _platform: platform };
    wait_for("all partitions to be served", || cluster.is_served()).await;
    cluster
}

fn start_host(program: &Program, platform: SocketAddr, size: Size, index: u32, logs: Logs) -> Host {
    let cell = index % size.cells;
    let zone = ZONES[(index / size.cells) as usize % ZONES.len()];
    let settings =
        format!("zone: {zone}\nservice: {SERVICE}\ncell: {cell}\nplatform: {platform}\n");
    let file = write_settings_file(&settings);
    let arguments = ["serve", "--settings", file.as_str()];
    let process = match logs {
        Logs::Off => program.spawn_with_log(&arguments, "off", Stdio::null()),
        Logs::Shipped => program.spawn_with_log(&arguments, "info,actix_server=warn", log_file()),
    };
    let announce = process.address("backend=");
    Host {
        callers: process.address("callers="),
        hosts: process.address("hosts="),
        operators: process.address("operators="),
        _backend: start_backend(program, announce, &[]),
        process,
        cell,
    }
}

/// Returns a file that is gone once the process ends.
fn log_file() -> Stdio {
    let path = std::env::temp_dir().join(format!("papayarill-log-{}", std::process::id()));
    let file = fs::File::options().create(true).append(true).open(&path);
    let file = file.expect("the log file can be written");
    let _ = fs::remove_file(&path);
    file.into()
}

/// Starts a backend server that announces itself to `announce`.
pub fn start_backend(program: &Program, announce: SocketAddr, more: &[&str]) -> Process {
    let announce = announce.to_string();
    let slots = SLOTS.to_string();
    let mut arguments =
        vec!["dev", "backend", "--service", SERVICE, "--announce", &announce, "--slots", &slots];
    arguments.extend(more);
    program.spawn_with_log(&arguments, "off", Stdio::null())
}

impl Host {
    /// Returns the state of the host process, if it answers.
    pub async fn status(&self) -> Option<Status> {
        let body = http::get(self.operators, "/status").await?;
        serde_json::from_slice(&body).ok()
    }
}

impl Cluster {
    /// Returns whether each partition of each cell is owned, and each host has its share.
    async fn is_served(&self) -> bool {
        let mut served = vec![0; self.size.cells as usize];
        for host in &self.hosts {
            let Some(status) = host.status().await else { return false };
            let members = self.size.hosts / self.size.cells;
            if status.lease_left_ms.is_none() || status.members.len() != members as usize {
                return false;
            }
            served[host.cell as usize] = status.partitions.len();
        }
        served.iter().sum::<usize>() == self.size.partitions as usize
    }

    /// Returns the index of the host that owns a key.
    pub async fn owner(&self, key: &str) -> Option<usize> {
        let target = format!("/explain?service={SERVICE}&key={key}");
        let body = http::get(self.hosts[0].operators, &target).await?;
        let why: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let owner: SocketAddr = why["owner"].as_str()?.parse().ok()?;
        self.hosts.iter().position(|h| h.hosts == owner)
    }
}

/// Returns the processor time that a process has used in all its threads, in microseconds.
pub fn cpu_us(process: &Process) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{}/task", process.id())).expect("the process is there");
    let nanos = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    nanos.sum::<u64>() as f64 / 1e3
}

/// Returns the resident memory of a process, in KiB.
pub fn resident_kib(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
