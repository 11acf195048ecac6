//! A planned stop interrupts no request, and a draining host receives no new requests.

use std::time::Duration;

use bytes::Bytes;
use rustix::process::Signal;
use trial::analysis;
use trial::deployment::{Deployment, ZONES, start_deployment, wait_for};
use trial::http;
use trial::load::LoadGenerator;
use trial::process::Program;

const KEYS: u64 = 48;

/// How long the load runs before the first and after the last restart.
const STEADY_LOAD_TIME: Duration = Duration::from_millis(300);

/// Makes a run last longer than the release of a partition may take.
const LONG_RUN: (&str, &str) = ("stand-in-run-ms", "5000");

fn program() -> Program {
    Program(env!("CARGO_BIN_EXE_papayarill").into())
}

/// Stops one host with SIGTERM and starts another in its place. Callers know of planned stops, so
/// they connect to other hosts beforehand.
async fn replace_host(deployment: &mut Deployment, index: usize, load: &LoadGenerator) {
    let others = deployment.hosts.iter().enumerate().filter(|(i, _)| *i != index);
    load.set_targets(others.map(|(_, h)| h.callers).collect());
    let mut leaving = deployment.hosts.remove(index);
    leaving.process.signal(Signal::TERM);
    wait_for("the host process to end", || {
        let ended = leaving.process.has_exited();
        async move { ended }
    })
    .await;
    let previous_runs = leaving.runs().await;
    deployment.add_host(&leaving.zone);
    if let Some(host) = deployment.hosts.last_mut() {
        host.previous_runs = previous_runs;
    }
    deployment.wait_until_served().await;
    load.set_targets(deployment.hosts.iter().map(|h| h.callers).collect());
}

#[actix_rt::test]
async fn a_rolling_restart_fails_no_request() {
    let mut deployment = start_deployment(&program(), &ZONES).await;
    let load = LoadGenerator::start(deployment.hosts.iter().map(|h| h.callers).collect(), KEYS);
    tokio::time::sleep(STEADY_LOAD_TIME).await;

    for _ in 0..ZONES.len() {
        replace_host(&mut deployment, 0, &load).await;
    }
    tokio::time::sleep(STEADY_LOAD_TIME).await;
    let logs = load.stop().await;

    let mut runs = Vec::new();
    for host in &deployment.hosts {
        runs.push(host.runs().await);
    }
    let none: Vec<String> = Vec::new();
    assert_eq!(analysis::failed_first_attempts(&logs), none);
    assert_eq!(analysis::duplicate_executions(&runs), none);
    assert_eq!(analysis::double_ownership(&runs), none);
}

#[actix_rt::test]
async fn a_host_stops_only_after_its_long_request_has_ended() {
    let mut deployment = start_deployment(&program(), &ZONES[..4]).await;
    let target = "/index-board/keys/long";
    let first = deployment.hosts[0].callers;
    let seen =
        http::send(http::client().get(format!("http://{first}{target}")), Bytes::new()).await;
    assert_eq!(seen.status, 200);
    let mut owner = 0;
    for (index, host) in deployment.hosts.iter().enumerate() {
        owner = if host.runs().await.is_empty() { owner } else { index };
    }
    let ingress = deployment.hosts[usize::from(owner == 0)].callers;
    let req = http::client().get(format!("http://{ingress}{target}"));
    let response = actix_rt::spawn(http::send(req.insert_header(LONG_RUN), Bytes::new()));
    wait_for("the request to run", || async { deployment.hosts[owner].runs().await.len() == 2 })
        .await;

    deployment.hosts[owner].process.signal(Signal::TERM);
    let seen = response.await.expect("the request task does not panic");

    assert_eq!((seen.status, seen.outcome.as_str()), (200, "ran"), "{seen:?}");
    let leaving = &mut deployment.hosts[owner].process;
    wait_for("the host process to end", || {
        let ended = leaving.has_exited();
        async move { ended }
    })
    .await;
}
