//! Measures how long a new configuration takes until it is active on every host process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use host::operators::Status;
use model::{ConfigVersion, Millis, WriterTag};
use platform::PlatformClient;
use stand_ins::platform::Counters;
use trial::http;
use trial::process::{Process, Program, write_settings_file};

use crate::failover;

/// The number of changes measured in each deployment.
const CHANGE_COUNT: u64 = 9;

/// The maximum number of host processes per cell.
const HOSTS_PER_CELL: usize = 32;

/// The pause between two polls of the host processes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The time after which a condition that is not met ends the measurement.
const MAX_WAIT: Duration = Duration::from_secs(60);

const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// A platform stand-in and host processes without backend servers.
struct Deployment {
    platform_addr: SocketAddr,
    operator_addrs: Vec<SocketAddr>,
    /// The processes, which stop when this is dropped.
    _processes: Vec<Process>,
}

/// Prints the table.
pub fn run() {
    let Some(program) = failover::find_program() else {
        eprintln!("papayarill is not built; run: cargo build --release -p papayarill");
        return;
    };
    println!("processes  document bytes  median ms  worst ms  store reads per change");
    for processes in [6, 18, 48] {
        actix_rt::System::new().block_on(measure(&program, processes));
    }
}

async fn measure(program: &Program, processes: usize) {
    let Some(deployment) = start(program, processes).await else {
        println!("{processes:9}  the host processes did not start in time");
        return;
    };
    let before = store_reads(&deployment).await;
    let mut times = Vec::new();
    for version in 2..2 + CHANGE_COUNT {
        let Some(ms) = measure_change(&deployment, processes, version).await else {
            println!("{processes:9}  version {version} did not reach all host processes in time");
            return;
        };
        times.push(ms);
    }
    times.sort_unstable();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    let reads_per_change = (store_reads(&deployment).await - before) / CHANGE_COUNT;
    let bytes = document(processes, 2).len();
    println!("{processes:9}  {bytes:14}  {median:9}  {worst:8}  {reads_per_change:22}");
}

fn document(processes: usize, version: u64) -> String {
    let retention = 600_000 + version;
    format!(
        "regions:\n- name: r\n  zones: [r-a, r-b, r-c]\nservices:\n- name: s\n  partitions: 64\n  \
         backend-servers: {processes}\n  slots: 6\n  connections: 110\n  \
         record-retention-ms: {retention}\n"
    )
}

async fn start(program: &Program, processes: usize) -> Option<Deployment> {
    let platform = program.spawn(&["dev", "platform"]);
    let platform_addr = platform.address("");
    apply_version(platform_addr, processes, 1).await?;
    let cells = processes.div_ceil(HOSTS_PER_CELL);
    let mut deployment =
        Deployment { platform_addr, operator_addrs: Vec::new(), _processes: vec![platform] };
    for index in 0..processes {
        let (zone, cell) = (["r-a", "r-b", "r-c"][index % 3], index % cells);
        let settings =
            format!("zone: {zone}\nservice: s\ncell: {cell}\nplatform: {platform_addr}\n");
        let host = program.spawn(&["serve", "--settings", &write_settings_file(&settings)]);
        deployment.operator_addrs.push(host.address("operators="));
        deployment._processes.push(host);
    }
    let is_up = |s: &Status| s.config_version == 1 && s.lease_left_ms.is_some();
    wait_for_all(&deployment, is_up).await.map(|_| deployment)
}

async fn apply_version(platform: SocketAddr, processes: usize, version: u64) -> Option<()> {
    let client = PlatformClient::new(platform, PLATFORM_TIMEOUT);
    let base = (version > 1).then(|| ConfigVersion(version - 1));
    let yaml = document(processes, version);
    client.apply_config(base, &yaml, WriterTag(version)).await.ok().map(|_| ())
}

/// Applies a version and returns how long it took to become active on all host processes, in
/// milliseconds; `None` if it failed or took too long.
async fn measure_change(deployment: &Deployment, processes: usize, version: u64) -> Option<u128> {
    apply_version(deployment.platform_addr, processes, version).await?;
    let applied_at = Instant::now();
    wait_for_all(deployment, |s| s.config_version >= version).await?;
    Some(applied_at.elapsed().as_millis())
}

/// Polls the host processes until each has met the condition once.
async fn wait_for_all(deployment: &Deployment, condition: impl Fn(&Status) -> bool) -> Option<()> {
    let started = Instant::now();
    let mut pending = deployment.operator_addrs.clone();
    while started.elapsed() < MAX_WAIT {
        let mut left = Vec::new();
        for host in pending {
            let body = http::get(host, "/status").await;
            let status = body.and_then(|b| serde_json::from_slice(&b).ok());
            if !status.as_ref().is_some_and(&condition) {
                left.push(host);
            }
        }
        if left.is_empty() {
            return Some(());
        }
        pending = left;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    None
}

async fn store_reads(deployment: &Deployment) -> u64 {
    let body = http::get(deployment.platform_addr, "/admin/counters").await;
    let counters = body.and_then(|b| serde_json::from_slice::<Counters>(&b).ok());
    counters.map_or(0, |c| c.reads)
}
