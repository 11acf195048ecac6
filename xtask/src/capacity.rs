//! Measures slopes for the capacity page: what a host process costs with the size of its cell,
//! what a partition, a route and a request record take in memory, and how long a configuration
//! takes until it is in force everywhere.

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

use crate::cluster::{self, Cluster, Logs, Size};
use crate::wire_cost;

/// How long idle processes are watched.
const IDLE: Duration = Duration::from_secs(6);

/// How long after their start idle processes are watched again.
const SETTLING: Duration = Duration::from_secs(20);

/// Deployments whose idle processes are watched: one cell that grows in hosts, then in
/// partitions.
const IDLE_SIZES: [Size; 5] = [
    Size { hosts: 6, cells: 1, partitions: 48 },
    Size { hosts: 18, cells: 1, partitions: 48 },
    Size { hosts: 32, cells: 1, partitions: 48 },
    Size { hosts: 32, cells: 1, partitions: 256 },
    Size { hosts: 32, cells: 1, partitions: 1_024 },
];

/// Deployments in which a configuration is changed.
const CHANGE_SIZES: [Size; 3] = [
    Size { hosts: 6, cells: 1, partitions: 48 },
    Size { hosts: 18, cells: 1, partitions: 48 },
    Size { hosts: 48, cells: 2, partitions: 48 },
];

/// Changes in each deployment.
const CHANGES: u64 = 3;

/// How long the platform stand-in may take to answer.
const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);

/// Cells and partitions of each cell for the memory of routes.
const ROUTES: (u32, u32) = (500, 1_024);

/// Records for their memory.
const RECORDS: u64 = 140_000;

/// Prints the tables.
pub fn run() {
    print_memory();
    let Some(program) = cluster::program() else { return };
    actix_rt::System::new().block_on(async {
        println!(
            "\n| hosts | partitions | from s | CPU % mean | CPU % least | CPU % most \
             | RSS KiB mean | most | reads/s | writes/s |"
        );
        println!("|---|---|---|---|---|---|---|---|---|---|");
        for size in IDLE_SIZES {
            print_idle(&program, size).await;
        }
        println!(
            "\n| hosts | cells | until in force on all, ms, change by change \
             | CPU ms per host and change |"
        );
        println!("|---|---|---|---|");
        for size in CHANGE_SIZES {
            print_changes(&program, size).await;
        }
    });
    println!();
    wire_cost::run();
}

fn print_memory() {
    let (cells, partitions) = ROUTES;
    let before = wire_cost::resident_bytes();
    let cache = routes();
    let bytes = (wire_cost::resident_bytes() - before) as f64 / f64::from(cells * partitions);
    black_box(cache);
    println!("memory of one route entry, {cells} cells of {partitions}: {bytes:.1} bytes");
    let before = wire_cost::resident_bytes();
    let records = records();
    let bytes = (wire_cost::resident_bytes() - before) as f64 / RECORDS as f64;
    println!("memory of one request record, {} of them: {bytes:.1} bytes", records.len());
    println!("size of one request record: {RECORD_BYTES} bytes");
}

fn routes() -> RouteCache {
    let (cells, partitions) = ROUTES;
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

fn records() -> Records {
    let now = Millis(1_000_000);
    let mut records = Records::new(RecordSettings::default());
    records.start(Partition(0), Origin::First, now);
    for number in 0..RECORDS {
        let counter = number.to_be_bytes();
        let mut random = [0; 10];
        random[2..].copy_from_slice(&counter);
        let id = uuid::Builder::from_unix_timestamp_millis(now.0, &random).into_uuid();
        begin(&mut records, id, now);
    }
    records
}

fn begin(records: &mut Records, id: Uuid, now: Millis) {
    let id = id.try_into().expect("the id is of version 7");
    black_box(records.begin(Partition(0), id, 1, now));
}

async fn print_idle(program: &Program, size: Size) {
    let cluster = cluster::start(program, size, Logs::Off).await;
    print_idle_row(&cluster, size, Duration::ZERO).await;
    tokio::time::sleep(SETTLING).await;
    print_idle_row(&cluster, size, SETTLING).await;
}

async fn print_idle_row(cluster: &Cluster, size: Size, age: Duration) {
    let counters = store_counters(cluster).await;
    let before = cpu(cluster);
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let elapsed = started.elapsed().as_secs_f64();
    let shares: Vec<f64> =
        cpu(cluster).iter().zip(&before).map(|(a, b)| (a - b) / elapsed / 1e4).collect();
    let after = store_counters(cluster).await;
    let memory: Vec<u64> =
        cluster.hosts.iter().map(|h| cluster::resident_kib(&h.process)).collect();
    println!(
        "| {} | {} | {} | {:.2} | {:.2} | {:.2} | {} | {} | {:.1} | {:.1} |",
        size.hosts,
        size.partitions,
        age.as_secs(),
        shares.iter().sum::<f64>() / shares.len() as f64,
        shares.iter().copied().fold(f64::MAX, f64::min),
        shares.iter().copied().fold(0.0, f64::max),
        memory.iter().sum::<u64>() / memory.len() as u64,
        memory.iter().max().copied().unwrap_or(0),
        (after.0 - counters.0) / elapsed,
        (after.1 - counters.1) / elapsed
    );
}

fn cpu(cluster: &Cluster) -> Vec<f64> {
    cluster.hosts.iter().map(|h| cluster::cpu_us(&h.process)).collect()
}

/// Returns the reads and writes of the platform stand-in so far.
async fn store_counters(cluster: &Cluster) -> (f64, f64) {
    let body = http::get(cluster.platform, "/admin/counters").await.unwrap_or_default();
    let counters: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let count = |name: &str| counters[name].as_f64().unwrap_or(f64::NAN);
    (count("reads"), count("writes"))
}

async fn print_changes(program: &Program, size: Size) {
    let cluster = cluster::start(program, size, Logs::Off).await;
    let client = PlatformClient::new(cluster.platform, PLATFORM_TIME_LIMIT);
    let mut times = Vec::new();
    let before = cpu(&cluster);
    for base in 1..=CHANGES {
        let text = cluster::config(size, Millis(10_000 + base));
        let base = ConfigVersion(base);
        let started = Instant::now();
        let applied = client.apply_config(Some(base), &text, WriterTag(100 + base.0)).await;
        let version = applied.expect("the configuration is stored");
        wait_for("the version to be in force", || in_force(&cluster, version)).await;
        times.push(started.elapsed().as_millis().to_string());
    }
    let used: f64 = cpu(&cluster).iter().zip(&before).map(|(a, b)| a - b).sum();
    let per_change = used / 1e3 / f64::from(size.hosts) / CHANGES as f64;
    println!("| {} | {} | {} | {per_change:.1} |", size.hosts, size.cells, times.join(", "));
}

async fn in_force(cluster: &Cluster, version: ConfigVersion) -> bool {
    for host in &cluster.hosts {
        let status = host.status().await;
        if status.is_none_or(|s| s.config_version < version.0) {
            return false;
        }
    }
    true
}
