//! Measures the whole path of a request against a call straight to the backend server, and what
//! the log lines of the path cost.
//!
//! All requests are for one key, so that one backend server answers all legs. The rounds of the
//! legs take turns, since other work on the machine weighs on all alike then. The callers run on
//! one thread of this process and are part of what is measured.

use std::net::SocketAddr;

use stand_ins::load::{self, Keys, LoadPlan, RequestOutcome};
use trial::process::Process;

use crate::cluster::{self, Cluster, Logs, Size};

/// Hosts of each deployment; each has an availability zone of its own.
const SIZE: Size = Size { hosts: 3, cells: 1, partitions: 48 };

/// Rounds of each leg.
const ROUNDS: usize = 5;

/// Requests of one caller in one round.
const REQUESTS: u64 = 300;

/// Callers at the same time.
const CALLERS: [usize; 2] = [1, 32];

/// The key of all requests.
const KEY: &str = "key-0";

/// One way of a request, and what came of its rounds.
struct Leg<'a> {
    name: &'static str,
    to: SocketAddr,
    ingress: &'a Process,
    owner: &'a Process,
    rates: Vec<f64>,
    p50: Vec<f64>,
    p99: Vec<f64>,
    ingress_us: Vec<f64>,
    owner_us: Vec<f64>,
    lost: u64,
}

/// Prints the table.
pub fn run() {
    actix_rt::System::new().block_on(measure());
}

async fn measure() {
    let Some(program) = cluster::program() else { return };
    let quiet = cluster::start(&program, SIZE, Logs::Off).await;
    let logging = cluster::start(&program, SIZE, Logs::Shipped).await;
    // It serves without grants; its announcements go to the platform, which refuses them.
    let lone = cluster::start_backend(&program, quiet.platform, &["--unchecked"]);
    println!(
        "| callers | leg | requests/s | p50 us | p99 us | requests/s ratio | p50 ratio | p99 ratio \
         | ingress CPU us | owner CPU us | not answered |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for callers in CALLERS {
        let mut legs = vec![leg("straight", lone.address(""), &lone, &lone)];
        legs.extend(through(&quiet, ["owner, no log", "one hop, no log"]).await);
        legs.extend(through(&logging, ["owner, log", "one hop, log"]).await);
        for _ in 0..ROUNDS {
            for leg in &mut legs {
                round(leg, callers).await;
            }
        }
        print(callers, &legs);
    }
}

/// Returns the two legs through the host processes of a deployment.
async fn through<'a>(cluster: &'a Cluster, names: [&'static str; 2]) -> [Leg<'a>; 2] {
    let owner = cluster.owner(KEY).await.expect("the key has an owner");
    let other = (owner + 1) % cluster.hosts.len();
    let (owner, other) = (&cluster.hosts[owner], &cluster.hosts[other]);
    let direct = leg(names[0], owner.callers, &owner.process, &owner.process);
    let hop = leg(names[1], other.callers, &other.process, &owner.process);
    [direct, hop]
}

fn leg<'a>(
    name: &'static str,
    to: SocketAddr,
    ingress: &'a Process,
    owner: &'a Process,
) -> Leg<'a> {
    let none = Vec::new;
    Leg {
        name,
        to,
        ingress,
        owner,
        rates: none(),
        p50: none(),
        p99: none(),
        ingress_us: none(),
        owner_us: none(),
        lost: 0,
    }
}

async fn round(leg: &mut Leg<'_>, callers: usize) {
    let requests = if callers == 1 { REQUESTS } else { REQUESTS * 8 };
    let plan = LoadPlan::new(vec![leg.to])
        .path(format!("/{}/keys/{{key}}", cluster::SERVICE))
        .keys(Keys::uniform(1))
        .requests(requests)
        .connections(callers);
    let before = (cluster::cpu_us(leg.ingress), cluster::cpu_us(leg.owner));
    let report = load::run(plan).await;
    let per_request = |us: f64| us / requests as f64;
    leg.ingress_us.push(per_request(cluster::cpu_us(leg.ingress) - before.0));
    leg.owner_us.push(per_request(cluster::cpu_us(leg.owner) - before.1));
    leg.rates.push(report.answered_per_second());
    leg.p50.push(report.latency_us(0.5) as f64);
    leg.p99.push(report.latency_us(0.99) as f64);
    leg.lost += report.total() - report.count(RequestOutcome::Answered);
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn print(callers: usize, legs: &[Leg<'_>]) {
    let base = &legs[0];
    for leg in legs {
        let [rate, p50, p99] = [&leg.rates, &leg.p50, &leg.p99].map(|v| median(v));
        let ratio = |of: f64, to: &[f64]| of / median(to);
        println!(
            "| {callers} | {} | {rate:.0} | {p50:.0} | {p99:.0} | {:.2} | {:.2} | {:.2} | {:.1} \
             | {:.1} | {} |",
            leg.name,
            ratio(rate, &base.rates),
            ratio(p50, &base.p50),
            ratio(p99, &base.p99),
            median(&leg.ingress_us),
            median(&leg.owner_us),
            leg.lost
        );
    }
}
