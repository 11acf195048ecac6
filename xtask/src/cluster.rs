//! Deployments of host processes and backend server stand-ins, each in a process of its own, and
//! readings of their resource use.

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

/// The service that the deployments run.
pub const SERVICE: &str = "board";

/// Slots of each backend server: enough that no request of the measurements waits for one.
pub const SLOTS: u32 = 64;

/// The availability zones, two per region.
const ZONES: [&str; 6] = ["khomas-a", "khomas-b", "erongo-a", "erongo-b", "oshana-a", "oshana-b"];

/// The timeout of a call to the platform stand-in.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// The size of a deployment.
#[derive(Clone, Copy)]
pub struct Size {
    /// The total number of hosts in all cells.
    pub hosts: u32,
    /// The number of cells; each has the same number of hosts.
    pub cells: u32,
    /// The number of partitions of the service.
    pub partitions: u32,
}

/// What the host processes log.
#[derive(Clone, Copy)]
pub enum Logging {
    /// Nothing.
    Off,
    /// The lines of the default filter, written to a file that is discarded.
    DefaultFilter,
}

/// One host process and its backend server.
pub struct Host {
    /// The host process.
    pub process: Process,
    /// The backend server, which stops when this is dropped.
    _backend: Process,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other host processes.
    pub hosts: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    cell: u32,
}

/// A running deployment: a platform stand-in and hosts.
pub struct Cluster {
    /// The address of the platform stand-in.
    pub platform: SocketAddr,
    /// The hosts.
    pub hosts: Vec<Host>,
    size: Size,
    _platform: Process,
}

/// Returns the papayarill program next to this one, which is from the same build profile; if it is
/// missing, prints how to build it.
pub fn find_program() -> Option<Program> {
    let path: PathBuf = std::env::current_exe().ok()?.with_file_name("papayarill");
    if path.exists() {
        return Some(Program(path));
    }
    eprintln!("papayarill is not built; run: cargo build --release -p papayarill");
    None
}

/// Returns a configuration document; versions differ only in `time_limit`.
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

/// Starts a deployment and waits until every partition is served.
pub async fn start(program: &Program, size: Size, logging: Logging) -> Cluster {
    let platform = program.spawn(&["dev", "platform"]);
    let platform_addr = platform.address("");
    let client = PlatformClient::new(platform_addr, PLATFORM_TIMEOUT);
    let text = config(size, Millis(10_000));
    client.apply_config(None, &text, WriterTag(1)).await.expect("the configuration is stored");
    let hosts = (0..size.hosts)
        .map(|index| start_host(program, platform_addr, size, index, logging))
        .collect();
    let cluster = Cluster { platform: platform_addr, hosts, size, _platform: platform };
    wait_for("all partitions to be served", || cluster.is_served()).await;
    cluster
}

fn start_host(
    program: &Program,
    platform: SocketAddr,
    size: Size,
    index: u32,
    logging: Logging,
) -> Host {
    let cell = index % size.cells;
    let zone = ZONES[(index / size.cells) as usize % ZONES.len()];
    let settings =
        format!("zone: {zone}\nservice: {SERVICE}\ncell: {cell}\nplatform: {platform}\n");
    let settings_path = write_settings_file(&settings);
    let args = ["serve", "--settings", settings_path.as_str()];
    let process = match logging {
        Logging::Off => program.spawn_with_log(&args, "off", Stdio::null()),
        Logging::DefaultFilter => {
            program.spawn_with_log(&args, "info,actix_server=warn", discarded_file())
        }
    };
    let announce_addr = process.address("backend=");
    Host {
        callers: process.address("callers="),
        hosts: process.address("hosts="),
        operators: process.address("operators="),
        _backend: start_backend(program, announce_addr, &[]),
        process,
        cell,
    }
}

/// Returns a file without a name, which the system frees once the process exits.
fn discarded_file() -> Stdio {
    let path = std::env::temp_dir().join(format!("papayarill-log-{}", std::process::id()));
    let file = fs::File::options().create(true).append(true).open(&path);
    let file = file.expect("the log file can be created");
    let _ = fs::remove_file(&path);
    file.into()
}

/// Starts a backend server that announces itself at `announce_addr`.
pub fn start_backend(program: &Program, announce_addr: SocketAddr, extra_args: &[&str]) -> Process {
    let announce = announce_addr.to_string();
    let slots = SLOTS.to_string();
    let mut args =
        vec!["dev", "backend", "--service", SERVICE, "--announce", &announce, "--slots", &slots];
    args.extend(extra_args);
    program.spawn_with_log(&args, "off", Stdio::null())
}

impl Host {
    /// Returns the status of the host process, or `None` if it does not respond.
    pub async fn status(&self) -> Option<Status> {
        let body = http::get(self.operators, "/status").await?;
        serde_json::from_slice(&body).ok()
    }
}

impl Cluster {
    /// Returns whether every partition is owned, and each host holds a lease and knows all members
    /// of its cell.
    async fn is_served(&self) -> bool {
        let mut partitions_by_cell = vec![0; self.size.cells as usize];
        for host in &self.hosts {
            let Some(status) = host.status().await else { return false };
            let members = self.size.hosts / self.size.cells;
            if status.lease_left_ms.is_none() || status.members.len() != members as usize {
                return false;
            }
            partitions_by_cell[host.cell as usize] = status.partitions.len();
        }
        partitions_by_cell.iter().sum::<usize>() == self.size.partitions as usize
    }

    /// Returns the index of the host that owns `key`.
    pub async fn owner(&self, key: &str) -> Option<usize> {
        let target = format!("/explain?service={SERVICE}&key={key}");
        let body = http::get(self.hosts[0].operators, &target).await?;
        let explanation: serde_json::Value = serde_json::from_slice(&body).ok()?;
        let owner: SocketAddr = explanation["owner"].as_str()?.parse().ok()?;
        self.hosts.iter().position(|h| h.hosts == owner)
    }
}

/// Returns the CPU time used by all threads of a process so far, in microseconds.
pub fn cpu_us(process: &Process) -> f64 {
    let tasks =
        fs::read_dir(format!("/proc/{}/task", process.id())).expect("the process is running");
    let nanos = tasks.flatten().filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    nanos.sum::<u64>() as f64 / 1e3
}

/// Returns the resident set size of a process, in KiB.
pub fn resident_kib(process: &Process) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
