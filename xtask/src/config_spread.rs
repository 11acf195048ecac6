//! How long an accepted configuration takes until it is in force on every host process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use host::operators::Status;
use model::{ConfigVersion, Millis, WriterTag};
use platform::PlatformClient;
use stand_ins::platform::Counters;
use trial::http;
use trial::process::{Process, Program, write_settings_file};

use crate::failover;

/// Changes that are measured in each deployment.
const CHANGES: u64 = 9;

/// The most host processes of one cell.
const HOSTS_PER_CELL: usize = 32;

/// The pause between two looks at all host processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// How long anything may take before the measurement is given up.
const LIMIT: Duration = Duration::from_secs(60);

const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);

/// A platform stand-in and host processes without backend servers.
struct Fleet {
    platform_addr: SocketAddr,
    operators: Vec<SocketAddr>,
    /// Ends the processes when it is dropped.
    _processes: Vec<Process>,
}

/// Prints the table.
pub fn run() {
    let Some(program) = failover::program() else {
        eprintln!("Build the program first: cargo build --release -p papayarill");
        return;
    };
    println!("processes  document bytes  median ms  worst ms  store reads per change");
    for processes in [6, 18, 48] {
        actix_rt::System::new().block_on(measure(&program, processes));
    }
}

async fn measure(program: &Program, processes: usize) {
    let Some(fleet) = start(program, processes).await else {
        println!("{processes:9}  the host processes did not come up in time");
        return;
    };
    let reads_before = reads(&fleet).await;
    let mut times = Vec::new();
    for version in 2..2 + CHANGES {
        let Some(ms) = change(&fleet, processes, version).await else {
            println!("{processes:9}  version {version} was not in force everywhere in time");
            return;
        };
        times.push(ms);
    }
    times.sort_unstable();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    let reads = (reads(&fleet).await - reads_before) / CHANGES;
    let bytes = document(processes, 2).len();
    println!("{processes:9}  {bytes:14}  {median:9}  {worst:8}  {reads:22}");
}

fn document(processes: usize, version: u64) -> String {
    let retention = 600_000 + version;
    format!(
        "regions:\n- name: r\n  zones: [r-a, r-b, r-c]\nservices:\n- name: s\n  partitions: 64\n  \
         backend-servers: {processes}\n  slots: 6\n  connections: 110\n  \
         record-retention-ms: {retention}\n"
    )
}

async fn start(program: &Program, processes: usize) -> Option<Fleet> {
    let platform = program.spawn(&["dev", "platform"]);
    let platform_addr = platform.address("");
    accept(platform_addr, processes, 1).await?;
    let cells = processes.div_ceil(HOSTS_PER_CELL);
    let mut fleet = Fleet { platform_addr, operators: Vec::new(), _processes: vec![platform] };
    for index in 0..processes {
        let (zone, cell) = (["r-a", "r-b", "r-c"][index % 3], index % cells);
        let settings =
            format!("zone: {zone}\nservice: s\ncell: {cell}\nplatform: {platform_addr}\n");
        let host = program.spawn(&["serve", "--settings", &write_settings_file(&settings)]);
        fleet.operators.push(host.address("operators="));
        fleet._processes.push(host);
    }
    let is_up = |s: &Status| s.config_version == 1 && s.lease_left_ms.is_some();
    wait_for_all(&fleet, is_up).await.map(|_| fleet)
}

async fn accept(platform: SocketAddr, processes: usize, version: u64) -> Option<()> {
    let client = PlatformClient::new(platform, PLATFORM_TIME_LIMIT);
    let base = (version > 1).then(|| ConfigVersion(version - 1));
    let yaml = document(processes, version);
    client.apply_config(base, &yaml, WriterTag(version)).await.ok().map(|_| ())
}

/// Accepts a version and returns how long it took until all host processes ran by it, in
/// milliseconds.
async fn change(fleet: &Fleet, processes: usize, version: u64) -> Option<u128> {
    accept(fleet.platform_addr, processes, version).await?;
    let accepted = Instant::now();
    wait_for_all(fleet, |s| s.config_version >= version).await?;
    Some(accepted.elapsed().as_millis())
}

/// Asks the host processes until a condition held once on each.
async fn wait_for_all(fleet: &Fleet, holds: impl Fn(&Status) -> bool) -> Option<()> {
    let started = Instant::now();
    let mut pending = fleet.operators.clone();
    while started.elapsed() < LIMIT {
        let mut left = Vec::new();
        for host in pending {
            let body = http::get(host, "/status").await;
            let status = body.and_then(|b| serde_json::from_slice(&b).ok());
            if !status.as_ref().is_some_and(&holds) {
                left.push(host);
            }
        }
        if left.is_empty() {
            return Some(());
        }
        pending = left;
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    None
}

async fn reads(fleet: &Fleet) -> u64 {
    let body = http::get(fleet.platform_addr, "/admin/counters").await;
    let counters = body.and_then(|b| serde_json::from_slice::<Counters>(&b).ok());
    counters.map_or(0, |c| c.reads)
}
