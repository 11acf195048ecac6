//! Compares requests that pass host processes with requests sent directly to the backend server,
//! with and without logging.
//!
//! All requests of a deployment are for one key, so that one backend server serves them. The rounds
//! of the paths are interleaved, so that other load on the machine affects all paths alike. The
//! callers run on one thread of this process, and their cost is part of the figures.

use std::net::SocketAddr;

use stand_ins::load::{self, Keys, LoadPlan, RequestOutcome};
use trial::process::Process;

use crate::cluster::{self, Cluster, Logging, Size};

/// The size of each deployment; each host is in an availability zone of its own.
const SIZE: Size = Size { hosts: 3, cells: 1, partitions: 48 };

/// Rounds per request path.
const ROUNDS: usize = 5;

/// Requests per round with a single caller; rounds with more callers send eight times as many.
const REQUESTS: u64 = 300;

/// The numbers of concurrent callers.
const CALLERS: [usize; 2] = [1, 32];

/// The key of all requests.
const KEY: &str = "key-0";

/// A path that requests take to the backend server, with the results of its rounds.
struct RequestPath<'a> {
    name: &'static str,
    target: SocketAddr,
    ingress: &'a Process,
    owner: &'a Process,
    rates: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    ingress_us: Vec<f64>,
    owner_us: Vec<f64>,
    unanswered: u64,
}

/// Prints the table.
pub fn run() {
    actix_rt::System::new().block_on(measure());
}

async fn measure() {
    let Some(program) = cluster::find_program() else { return };
    let silent = cluster::start(&program, SIZE, Logging::Off).await;
    let logging = cluster::start(&program, SIZE, Logging::DefaultFilter).await;
    // It serves without grants. It announces itself to the platform stand-in, which rejects that.
    let direct_backend = cluster::start_backend(&program, silent.platform, &["--unchecked"]);
    println!(
        "| callers | path | requests/s | p50 us | p99 us | requests/s ratio | p50 ratio | p99 ratio \
         | ingress CPU us | owner CPU us | unanswered |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for callers in CALLERS {
        let mut paths = vec![request_path(
            "direct",
            direct_backend.address(""),
            &direct_backend,
            &direct_backend,
        )];
        paths.extend(paths_through(&silent, ["owner, no log", "one hop, no log"]).await);
        paths.extend(paths_through(&logging, ["owner, log", "one hop, log"]).await);
        for _ in 0..ROUNDS {
            for path in &mut paths {
                run_round(path, callers).await;
            }
        }
        print(callers, &paths);
    }
}

/// Returns the paths through the host processes of a deployment: through the owner, and through
/// another host that forwards to the owner.
async fn paths_through<'a>(cluster: &'a Cluster, names: [&'static str; 2]) -> [RequestPath<'a>; 2] {
    let owner = cluster.owner(KEY).await.expect("the key has an owner");
    let other = (owner + 1) % cluster.hosts.len();
    let (owner, other) = (&cluster.hosts[owner], &cluster.hosts[other]);
    let through_owner = request_path(names[0], owner.callers, &owner.process, &owner.process);
    let through_other = request_path(names[1], other.callers, &other.process, &owner.process);
    [through_owner, through_other]
}

fn request_path<'a>(
    name: &'static str,
    target: SocketAddr,
    ingress: &'a Process,
    owner: &'a Process,
) -> RequestPath<'a> {
    let empty = Vec::new;
    RequestPath {
        name,
        target,
        ingress,
        owner,
        rates: empty(),
        p50: empty(),
        p99: empty(),
        ingress_us: empty(),
        owner_us: empty(),
        unanswered: 0,
    }
}

async fn run_round(path: &mut RequestPath<'_>, callers: usize) {
    let requests = if callers == 1 { REQUESTS } else { REQUESTS * 8 };
    let plan = LoadPlan::new(vec![path.target])
        .path(format!("/{}/keys/{{key}}", cluster::SERVICE))
        .keys(Keys::uniform(1))
        .requests(requests)
        .connections(callers);
    let before = (cluster::cpu_us(path.ingress), cluster::cpu_us(path.owner));
    let report = load::run(plan).await;
    let per_request = |us: f64| us / requests as f64;
    path.ingress_us.push(per_request(cluster::cpu_us(path.ingress) - before.0));
    path.owner_us.push(per_request(cluster::cpu_us(path.owner) - before.1));
    path.rates.push(report.answered_per_second());
    path.p50.push(report.latency_us(0.5) as f64);
    path.p99.push(report.latency_us(0.99) as f64);
    path.unanswered += report.total() - report.count(RequestOutcome::Answered);
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn print(callers: usize, paths: &[RequestPath<'_>]) {
    let base = &paths[0];
    for path in paths {
        let [rate, p50, p99] = [&path.rates, &path.p50, &path.p99].map(|v| median(v));
        let ratio = |value: f64, reference: &[f64]| value / median(reference);
        println!(
            "| {callers} | {} | {rate:.0} | {p50:.0} | {p99:.0} | {:.2} | {:.2} | {:.2} | {:.1} \
             | {:.1} | {} |",
            path.name,
            ratio(rate, &base.rates),
            ratio(p50, &base.p50),
            ratio(p99, &base.p99),
            median(&path.ingress_us),
            median(&path.owner_us),
            path.unanswered
        );
    }
}
