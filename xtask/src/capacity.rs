//! Measures how resource use grows, for capacity planning: the CPU time and memory of idle host
//! processes by the hosts and partitions of their cell, the memory of a route and of a request
//! record, and the time until a new configuration is active on every host.

use std::hint::black_box;
use std::time::{Duration, Instant};

use model::{
    CellId, ConfigVersion, Fence, HostAddr, Millis, Partition, RowVersion, ServiceName, WriterTag,
};
use ownership::{Origin, RouteEntry, RouteTable, RoutesVersion};
use platform::PlatformClient;
use routing::records::{RECORD_BYTES, RecordSettings, Records};
use routing::routes::RouteCache;
use trial::deployment::wait_for;
use trial::http;
use trial::process::Program;
use uuid::Uuid;

use crate::cluster::{self, Cluster, Logging, Size};
use crate::wire_cost;

/// The window over which the resource use of idle processes is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(6);

/// The time between the measurement at the start and the one in the steady state.
const SETTLING_TIME: Duration = Duration::from_secs(20);

/// The deployments whose idle processes are measured: one cell with more and more hosts, then with
/// more and more partitions.
const IDLE_SIZES: [Size; 5] = [
    Size { hosts: 6, cells: 1, partitions: 48 },
    Size { hosts: 18, cells: 1, partitions: 48 },
    Size { hosts: 32, cells: 1, partitions: 48 },
    Size { hosts: 32, cells: 1, partitions: 256 },
    Size { hosts: 32, cells: 1, partitions: 1_024 },
];

/// The deployments in which the rollout of a configuration is measured.
const ROLLOUT_SIZES: [Size; 3] = [
    Size { hosts: 6, cells: 1, partitions: 48 },
    Size { hosts: 18, cells: 1, partitions: 48 },
    Size { hosts: 48, cells: 2, partitions: 48 },
];

/// Configuration changes per deployment.
const CHANGES: u64 = 3;

/// The timeout of a call to the platform stand-in.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// The number of cells, and of partitions per cell, in the measured route cache.
const ROUTE_CACHE_SIZE: (u32, u32) = (500, 1_024);

/// The number of measured request records.
const RECORD_COUNT: u64 = 140_000;

/// Prints the tables.
pub fn run() {
    print_memory();
    let Some(program) = cluster::find_program() else { return };
    actix_rt::System::new().block_on(async {
        println!(
            "\n| hosts | partitions | age s | CPU % mean | CPU % min | CPU % max \
             | RSS KiB mean | RSS KiB max | reads/s | writes/s |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        for size in IDLE_SIZES {
            print_idle(&program, size).await;
        }
        println!(
            "\n| hosts | cells | ms until active on all hosts, per change \
             | CPU ms per host and change |"
        );
        println!("|---|---|---|---|");
        for size in ROLLOUT_SIZES {
            print_rollout(&program, size).await;
        }
    });
    println!();
    wire_cost::run();
}

fn print_memory() {
    let (cells, partitions) = ROUTE_CACHE_SIZE;
    let before = wire_cost::resident_bytes();
    let cache = filled_route_cache();
    let bytes = (wire_cost::resident_bytes() - before) as f64 / f64::from(cells * partitions);
    black_box(cache);
    println!("memory of one route entry, {cells} cells of {partitions}: {bytes:.1} bytes");
    let before = wire_cost::resident_bytes();
    let records = filled_records();
    let bytes = (wire_cost::resident_bytes() - before) as f64 / RECORD_COUNT as f64;
    println!("memory of one request record, {} of them: {bytes:.1} bytes", records.len());
    println!("size of one request record: {RECORD_BYTES} bytes");
}

fn filled_route_cache() -> RouteCache {
    let (cells, partitions) = ROUTE_CACHE_SIZE;
    let host = |index: u32| HostAddr(([10, 0, 0, (index % 32) as u8], 7_400).into());
    let service = ServiceName::new(cluster::SERVICE).expect("the name is valid");
    let mut cache = RouteCache::default();
    for index in 0..cells {
        let route = |p| RouteEntry { partition: Partition(p), fence: Fence(2), owner: host(p) };
        let table = RouteTable {
            version: RoutesVersion { row: RowVersion(1), revision: 0 },
            grantors: (0..3).map(host).collect(),
            members: Vec::new(),
            routes: (0..partitions).map(route).collect(),
        };
        cache.learn(&CellId { service: service.clone(), index }, table, Millis(1));
    }
    cache
}

fn filled_records() -> Records {
    let now = Millis(1_000_000);
    let mut records = Records::new(RecordSettings::default());
    records.start(Partition(0), Origin::First, now);
    for number in 0..RECORD_COUNT {
        let counter = number.to_be_bytes();
        let mut random = [0; 10];
        random[2..].copy_from_slice(&counter);
        let id = uuid::Builder::from_unix_timestamp_millis(now.0, &random).into_uuid();
        begin_record(&mut records, id, now);
    }
    records
}

fn begin_record(records: &mut Records, id: Uuid, now: Millis) {
    let id = id.try_into().expect("the id is a version 7 UUID");
    black_box(records.begin(Partition(0), id, 1, now));
}

async fn print_idle(program: &Program, size: Size) {
    let cluster = cluster::start(program, size, Logging::Off).await;
    print_idle_row(&cluster, size, Duration::ZERO).await;
    tokio::time::sleep(SETTLING_TIME).await;
    print_idle_row(&cluster, size, SETTLING_TIME).await;
}

async fn print_idle_row(cluster: &Cluster, size: Size, age: Duration) {
    let counters_before = store_counters(cluster).await;
    let before = cpu_times(cluster);
    let started = Instant::now();
    tokio::time::sleep(IDLE_WINDOW).await;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_percents: Vec<f64> =
        cpu_times(cluster).iter().zip(&before).map(|(a, b)| (a - b) / elapsed / 1e4).collect();
    let counters_after = store_counters(cluster).await;
    let resident_kib: Vec<u64> =
        cluster.hosts.iter().map(|h| cluster::resident_kib(&h.process)).collect();
    println!(
        "| {} | {} | {} | {:.2} | {:.2} | {:.2} | {} | {} | {:.1} | {:.1} |",
        size.hosts,
        size.partitions,
        age.as_secs(),
        cpu_percents.iter().sum::<f64>() / cpu_percents.len() as f64,
        cpu_percents.iter().copied().fold(f64::MAX, f64::min),
        cpu_percents.iter().copied().fold(0.0, f64::max),
        resident_kib.iter().sum::<u64>() / resident_kib.len() as u64,
        resident_kib.iter().max().copied().unwrap_or(0),
        (counters_after.0 - counters_before.0) / elapsed,
        (counters_after.1 - counters_before.1) / elapsed
    );
}

fn cpu_times(cluster: &Cluster) -> Vec<f64> {
    cluster.hosts.iter().map(|h| cluster::cpu_us(&h.process)).collect()
}

/// Returns the numbers of store reads and writes that the platform stand-in has counted.
async fn store_counters(cluster: &Cluster) -> (f64, f64) {
    let body = http::get(cluster.platform, "/admin/counters").await.unwrap_or_default();
    let counters: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let count = |name: &str| counters[name].as_f64().unwrap_or(f64::NAN);
    (count("reads"), count("writes"))
}

async fn print_rollout(program: &Program, size: Size) {
    let cluster = cluster::start(program, size, Logging::Off).await;
    let client = PlatformClient::new(cluster.platform, PLATFORM_TIMEOUT);
    let mut times = Vec::new();
    let before = cpu_times(&cluster);
    for base in 1..=CHANGES {
        let text = cluster::config(size, Millis(10_000 + base));
        let base = ConfigVersion(base);
        let started = Instant::now();
        let applied = client.apply_config(Some(base), &text, WriterTag(100 + base.0)).await;
        let version = applied.expect("the configuration is stored");
        wait_for("the version to be active", || is_active_everywhere(&cluster, version)).await;
        times.push(started.elapsed().as_millis().to_string());
    }
    let cpu_us: f64 = cpu_times(&cluster).iter().zip(&before).map(|(a, b)| a - b).sum();
    let per_change = cpu_us / 1e3 / f64::from(size.hosts) / CHANGES as f64;
    println!("| {} | {} | {} | {per_change:.1} |", size.hosts, size.cells, times.join(", "));
}

async fn is_active_everywhere(cluster: &Cluster, version: ConfigVersion) -> bool {
    for host in &cluster.hosts {
        let status = host.status().await;
        if status.is_none_or(|s| s.config_version < version.0) {
            return false;
        }
    }
    true
}
