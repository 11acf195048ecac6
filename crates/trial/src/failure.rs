//! Failures of separate processes under a steady load, and what came of them.

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

/// Callers, one per key.
const KEYS: u64 = 96;

/// How long the load runs before the failure.
const WARM_UP: Duration = Duration::from_millis(500);

/// How long the load goes on after the cell has recovered.
const AFTERMATH: Duration = Duration::from_millis(500);

/// How long a frozen process stays frozen after the others have recovered.
const FROZEN_ON: Duration = Duration::from_millis(300);

/// How long the platform may take to answer the judge.
const PLATFORM_TIME_LIMIT: Millis = Millis(5_000);

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// A host process that is not the coordinator is killed.
    OwnerKilled,
    /// The coordinator is killed.
    CoordinatorKilled,
    /// A host process and the coordinator are killed together.
    OwnerAndCoordinatorKilled,
    /// A host process is stopped past its lease and goes on later.
    OwnerFrozen,
    /// The platform is down, then a host process is killed.
    OwnerKilledStoreDown,
    /// The platform is down, then the coordinator is killed.
    CoordinatorKilledStoreDown,
    /// The platform loses the answer to each write, then a host process is killed.
    OwnerKilledAnswersLost,
    /// The platform is slow, then a host process is killed.
    OwnerKilledStoreSlow,
    /// A backend server dies under a live host process.
    BackendKilled,
    /// A host process can reach no other and none can reach it.
    OwnerCutOff,
    /// A host is lost: host process and backend server together.
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

/// What came of one failure.
#[derive(Clone, Debug)]
pub struct FailureReport {
    /// What failed.
    pub failure: Failure,
    /// The longest time without an answer, key by key, from the failure on, sorted.
    pub gaps: Vec<Millis>,
    /// Cases in which two backend servers served a partition at once.
    pub double_ownership: Vec<String>,
    /// Request ids that ran more than once.
    pub duplicate_executions: Vec<String>,
    /// Request ids that ran although their caller was told "not run".
    pub false_not_run: Vec<String>,
    /// Acknowledged assignments that the row went back on.
    pub lost_assignments: Vec<String>,
    /// Requests of the store during the failure: reads and writes.
    pub store: String,
}

/// Makes one failure happen under load and reports what came of it.
pub async fn run(program: &Program, failure: Failure) -> FailureReport {
    let mut deployment = start_deployment(program, &ZONES).await;
    let row_before = read_row(&deployment).await;
    let load = LoadGenerator::start(deployment.hosts.iter().map(|h| h.callers).collect(), KEYS);
    tokio::time::sleep(WARM_UP).await;

    let victims = victims(&deployment, failure).await;
    let healthy = others(&deployment, &victims);
    load.set_targets(callers(&deployment, &healthy));
    let store_before = store_counters(&deployment).await;
    if let Some(faults) = failure.platform_faults() {
        deployment.set_platform_faults(faults).await;
    }
    let failed_at = Clock::boot().now();
    inject(&mut deployment, failure, &victims).await;
    wait_until_recovered(&load, &deployment, &healthy).await;
    end(&mut deployment, failure, &victims).await;
    tokio::time::sleep(AFTERMATH).await;

    let logs = load.stop().await;
    let store = store_difference(&store_before, &store_counters(&deployment).await);
    if failure.platform_faults().is_some() {
        deployment.set_platform_faults("{}").await;
    }
    let runs = collect_runs(&deployment).await;
    let row_after = read_row(&deployment).await;
    report(failure, &logs, &runs, failed_at, lost(&row_before, &row_after), store)
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

async fn victims(deployment: &Deployment, failure: Failure) -> Vec<usize> {
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

/// Lets a frozen or cut-off host process come back into a cell that has moved on.
async fn end(deployment: &mut Deployment, failure: Failure, victims: &[usize]) {
    for victim in victims {
        let host = &deployment.hosts[*victim];
        match failure {
            Failure::OwnerFrozen => {
                tokio::time::sleep(FROZEN_ON).await;
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

fn others(deployment: &Deployment, victims: &[usize]) -> Vec<usize> {
    (0..deployment.hosts.len()).filter(|i| !victims.contains(i)).collect()
}

fn callers(deployment: &Deployment, hosts: &[usize]) -> Vec<SocketAddr> {
    hosts.iter().map(|i| deployment.hosts[*i].callers).collect()
}

/// Waits until each key has been answered again through the hosts that are left.
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
    let client = PlatformClient::new(deployment.platform_addr, PLATFORM_TIME_LIMIT);
    let service = ServiceName::new(SERVICE).expect("the name is valid");
    let read = client.read_row(&CellId { service, index: 0 }).await;
    read.expect("the platform answers").expect("the row is there").row
}

/// An assignment may be superseded under a higher fence, but not vanish or change under its own.
fn lost(before: &CellRow, after: &CellRow) -> Vec<String> {
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
