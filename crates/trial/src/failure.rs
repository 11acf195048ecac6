//! Injects failures of real processes under a steady load and reports their effects.

use std::net::SocketAddr;
use std::time::Duration;

use model::{CellId, Clock, Millis, ServiceName};
use ownership::CellRow;
use platform::PlatformClient;
use rustix::process::Signal;
use stand_ins::backend::Run;

use crate::deployment::{Deployment, SERVICE, ZONES, start_deployment, wait_for};
use crate::load::{KeyLog, LoadGenerator};
use crate::process::Program;
use crate::{analysis, http};

/// The number of keys, with one caller each.
const KEYS: u64 = 96;

/// How long the load runs before the failure is injected.
const WARM_UP: Duration = Duration::from_millis(500);

/// How long the load continues after the cell has recovered.
const COOL_DOWN: Duration = Duration::from_millis(500);

/// How long a frozen process stays frozen after the rest of the cell has recovered.
const EXTRA_FREEZE_TIME: Duration = Duration::from_millis(300);

/// The timeout of a request to the platform stand-in.
const PLATFORM_TIMEOUT: Millis = Millis(5_000);

/// A failure to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A host process that is not the coordinator is killed.
    OwnerKilled,
    /// The coordinator is killed.
    CoordinatorKilled,
    /// A host process and the coordinator are killed together.
    OwnerAndCoordinatorKilled,
    /// A host process is suspended until after its lease has expired, and resumed later.
    OwnerFrozen,
    /// The platform is down, then a host process is killed.
    OwnerKilledStoreDown,
    /// The platform is down, then the coordinator is killed.
    CoordinatorKilledStoreDown,
    /// The platform loses the response to each write, then a host process is killed.
    OwnerKilledAnswersLost,
    /// The platform is slow, then a host process is killed.
    OwnerKilledStoreSlow,
    /// A backend server is killed while its host process stays alive.
    BackendKilled,
    /// A host process is partitioned from all other host processes, in both directions.
    OwnerCutOff,
    /// A whole host is lost: its host process and backend server are killed together.
    HostLost,
}

impl Failure {
    /// All failures.
    pub const ALL: [Self; 11] = [
        Self::OwnerKilled,
        Self::CoordinatorKilled,
        Self::OwnerAndCoordinatorKilled,
        Self::OwnerFrozen,
        Self::OwnerKilledStoreDown,
        Self::CoordinatorKilledStoreDown,
        Self::OwnerKilledAnswersLost,
        Self::OwnerKilledStoreSlow,
        Self::BackendKilled,
        Self::OwnerCutOff,
        Self::HostLost,
    ];

    fn platform_faults(self) -> Option<&'static str> {
        match self {
            Self::OwnerKilledStoreDown | Self::CoordinatorKilledStoreDown => {
                Some(r#"{"outage":true,"delay_ms":0,"lose_write_answers":false}"#)
            }
            Self::OwnerKilledAnswersLost => {
                Some(r#"{"outage":false,"delay_ms":0,"lose_write_answers":true}"#)
            }
            Self::OwnerKilledStoreSlow => {
                Some(r#"{"outage":false,"delay_ms":400,"lose_write_answers":false}"#)
            }
            _ => None,
        }
    }
}

/// The observed effects of one failure.
#[derive(Clone, Debug)]
pub struct FailureReport {
    /// The failure that was injected.
    pub failure: Failure,
    /// For each key, the longest time without a successful response after the failure; sorted.
    pub gaps: Vec<Millis>,
    /// Descriptions of the cases in which two backend servers served a partition at once.
    pub double_ownership: Vec<String>,
    /// Request ids that were executed more than once.
    pub duplicate_executions: Vec<String>,
    /// Request ids that were executed although every response to the caller said `not-run`.
    pub false_not_run: Vec<String>,
    /// Acknowledged assignments that vanished from the row, or changed in it under the same fence.
    pub lost_assignments: Vec<String>,
    /// The number of reads and writes of the store during the failure.
    pub store: String,
}

/// Injects one failure under load and reports its effects.
pub async fn run(program: &Program, failure: Failure) -> FailureReport {
    let mut deployment = start_deployment(program, &ZONES).await;
    let row_before = read_row(&deployment).await;
    let load = LoadGenerator::start(deployment.hosts.iter().map(|h| h.callers).collect(), KEYS);
    tokio::time::sleep(WARM_UP).await;

    let victims = choose_victims(&deployment, failure).await;
    let healthy = remaining_hosts(&deployment, &victims);
    load.set_targets(caller_addrs(&deployment, &healthy));
    let store_before = store_counters(&deployment).await;
    if let Some(faults) = failure.platform_faults() {
        deployment.set_platform_faults(faults).await;
    }
    let failed_at = Clock::boot().now();
    inject(&mut deployment, failure, &victims).await;
    wait_until_recovered(&load, &deployment, &healthy).await;
    revert(&mut deployment, failure, &victims).await;
    tokio::time::sleep(COOL_DOWN).await;

    let logs = load.stop().await;
    let store = store_difference(&store_before, &store_counters(&deployment).await);
    if failure.platform_faults().is_some() {
        deployment.set_platform_faults("{}").await;
    }
    let runs = collect_runs(&deployment).await;
    let row_after = read_row(&deployment).await;
    report(failure, &logs, &runs, failed_at, lost_assignments(&row_before, &row_after), store)
}

fn report(
    failure: Failure,
    logs: &[KeyLog],
    runs: &[Vec<Run>],
    failed_at: Millis,
    lost_assignments: Vec<String>,
    store: String,
) -> FailureReport {
    let mut gaps = analysis::longest_gaps(logs, failed_at);
    gaps.sort_unstable();
    FailureReport {
        failure,
        gaps,
        double_ownership: analysis::double_ownership(runs),
        duplicate_executions: analysis::duplicate_executions(runs),
        false_not_run: analysis::false_not_run(logs, runs),
        lost_assignments,
        store,
    }
}

async fn choose_victims(deployment: &Deployment, failure: Failure) -> Vec<usize> {
    let coordinator = deployment.coordinator().await;
    let owner = (coordinator + deployment.hosts.len() - 1) % deployment.hosts.len();
    match failure {
        Failure::CoordinatorKilled | Failure::CoordinatorKilledStoreDown => vec![coordinator],
        Failure::OwnerAndCoordinatorKilled => vec![owner, coordinator],
        _ => vec![owner],
    }
}

async fn inject(deployment: &mut Deployment, failure: Failure, victims: &[usize]) {
    for victim in victims {
        let host = &mut deployment.hosts[*victim];
        match failure {
            Failure::OwnerFrozen => host.process.signal(Signal::STOP),
            Failure::BackendKilled => host.kill_backend().await,
            Failure::OwnerCutOff => post(host.operators, "/cut").await,
            Failure::HostLost => {
                host.kill_backend().await;
                host.process.kill();
            }
            _ => host.process.kill(),
        }
    }
}

/// Resumes a frozen host process, or reconnects a partitioned one, after the rest of the cell has
/// recovered without it.
async fn revert(deployment: &mut Deployment, failure: Failure, victims: &[usize]) {
    for victim in victims {
        let host = &deployment.hosts[*victim];
        match failure {
            Failure::OwnerFrozen => {
                tokio::time::sleep(EXTRA_FREEZE_TIME).await;
                host.process.signal(Signal::CONT);
            }
            Failure::OwnerCutOff => {
                let req = http::client().delete(format!("http://{}/cut", host.operators));
                http::send(req, Default::default()).await;
            }
            _ => {}
        }
    }
}

async fn post(addr: SocketAddr, target: &str) {
    let req = http::client().post(format!("http://{addr}{target}"));
    http::send(req, Default::default()).await;
}

fn remaining_hosts(deployment: &Deployment, victims: &[usize]) -> Vec<usize> {
    (0..deployment.hosts.len()).filter(|i| !victims.contains(i)).collect()
}

fn caller_addrs(deployment: &Deployment, hosts: &[usize]) -> Vec<SocketAddr> {
    hosts.iter().map(|i| deployment.hosts[*i].callers).collect()
}

/// Waits until every key is served again through one of the remaining hosts.
async fn wait_until_recovered(load: &LoadGenerator, deployment: &Deployment, healthy: &[usize]) {
    let addr = deployment.hosts[healthy[0]].callers;
    let client = http::client();
    for key in 0..load.keys() {
        let url = format!("http://{addr}/{SERVICE}/keys/{key}");
        wait_for("each key to be served again", || async {
            http::send(client.get(&url), Default::default()).await.status == 200
        })
        .await;
    }
}

async fn collect_runs(deployment: &Deployment) -> Vec<Vec<Run>> {
    let mut runs = Vec::new();
    for host in &deployment.hosts {
        runs.push(host.runs().await);
    }
    runs
}

async fn read_row(deployment: &Deployment) -> CellRow {
    let client = PlatformClient::new(deployment.platform_addr, PLATFORM_TIMEOUT);
    let service = ServiceName::new(SERVICE).expect("the name is valid");
    let read = client.read_row(&CellId { service, index: 0 }).await;
    read.expect("the platform responds").expect("the row exists").row
}

/// Returns the assignments of `before` that `after` lost. An assignment may be superseded under a
/// higher fence, but may not vanish or change under its own fence.
fn lost_assignments(before: &CellRow, after: &CellRow) -> Vec<String> {
    let kept = |old: &&ownership::Assignment| {
        after.assignment(old.partition).is_some_and(|new| {
            new.fence > old.fence || (new.fence, new.owner) == (old.fence, old.owner)
        })
    };
    let missing = before.assignments.iter().filter(|old| !kept(old));
    missing.map(|old| format!("{old:?}")).collect()
}

async fn store_counters(deployment: &Deployment) -> serde_json::Value {
    let body = http::get(deployment.platform_addr, "/admin/counters").await;
    body.and_then(|b| serde_json::from_slice(&b).ok()).unwrap_or_default()
}

fn store_difference(before: &serde_json::Value, after: &serde_json::Value) -> String {
    let count = |name: &str| {
        let of = |v: &serde_json::Value| v[name].as_u64().unwrap_or(0);
        of(after).saturating_sub(of(before))
    };
    format!("{} reads, {} writes", count("reads"), count("writes"))
}
