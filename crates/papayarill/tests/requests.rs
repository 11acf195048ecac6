//! Compares the outcomes that callers receive with the runs that backend servers recorded.

use bytes::Bytes;
use rustix::process::Signal;
use trial::deployment::{
    Deployment, Host, SERVICE, UNKEYED_SERVICE, ZONES, start_deployment, start_host, wait_for,
};
use trial::http::{self, ObservedResponse};
use trial::process::Program;
use uuid::Uuid;

const KEY_PATH: &str = "/index-board/keys/kp";

/// The size of a large response, in bytes.
const LARGE_RESPONSE_BYTES: usize = 64 << 20;

fn program() -> Program {
    Program(env!("CARGO_BIN_EXE_papayarill").into())
}

fn new_id() -> String {
    Uuid::now_v7().to_string()
}

/// Sends a request to a host process: a POST if there is an id, otherwise a GET.
async fn send(
    host: &Host,
    path: &str,
    id: Option<&str>,
    headers: &[(&str, &str)],
) -> ObservedResponse {
    let client = http::client();
    let url = format!("http://{}{path}", host.callers);
    let mut req = match id {
        None => client.get(url),
        Some(id) => client.post(url).insert_header(("idempotency-key", id)),
    };
    for header in headers {
        req = req.insert_header(*header);
    }
    http::send(req, Bytes::new()).await
}

fn status_outcome_reason(seen: &ObservedResponse) -> (u16, &str, &str) {
    (seen.status, &seen.outcome, &seen.reason)
}

async fn runs_with_id(deployment: &Deployment, id: &str) -> usize {
    let mut count = 0;
    for host in &deployment.hosts {
        let runs = host.runs().await;
        count += runs.iter().filter(|r| r.request_id.as_deref() == Some(id)).count();
    }
    count
}

async fn runs_with_key(deployment: &Deployment, key: &str) -> usize {
    let mut count = 0;
    for host in &deployment.hosts {
        count += host.runs().await.iter().filter(|r| r.key == key).count();
    }
    count
}

/// The headers, the status and outcome of the first attempt and of the retries, and how often the
/// request runs.
type RetryCase<'a> = (&'a [(&'a str, &'a str)], (u16, &'a str), (u16, &'a str), usize);

#[actix_rt::test]
async fn a_request_id_runs_at_most_once_even_if_its_response_is_lost() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let cases: [RetryCase<'_>; 4] = [
        (&[], (200, "ran"), (200, "ran"), 1),
        (&[("stand-in-fault", "lose-answer")], (504, "unknown"), (504, "unknown"), 1),
        (&[("stand-in-fault", "refuse")], (503, "not-run"), (503, "not-run"), 0),
        (
            &[("stand-in-run-ms", "3000"), ("papayarill-time-left-ms", "150")],
            (504, "unknown"),
            (504, "unknown"),
            1,
        ),
    ];
    for (headers, first, on_retry, runs) in cases {
        let id = new_id();

        let original = send(&deployment.hosts[0], KEY_PATH, Some(&id), headers).await;
        let mut retried = Vec::new();
        for host in &deployment.hosts {
            retried.push(send(host, KEY_PATH, Some(&id), headers).await);
        }

        assert_eq!((original.status, original.outcome.as_str()), first, "{headers:?}");
        for seen in &retried {
            assert_eq!((seen.status, seen.outcome.as_str()), on_retry, "{headers:?} {seen:?}");
            assert!(first.0 != 200 || seen.body == original.body, "{seen:?}");
        }
        assert_eq!(runs_with_id(&deployment, &id).await, runs, "{headers:?}");
    }
}

#[actix_rt::test]
async fn a_request_id_that_is_running_or_belongs_to_another_request_is_refused() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let id = new_id();
    let slow = [("stand-in-run-ms", "1500")];
    let first = send(&deployment.hosts[0], KEY_PATH, Some(&id), &slow);
    let second = async {
        wait_for("the first to run", || async { runs_with_id(&deployment, &id).await == 1 }).await;
        send(&deployment.hosts[1], KEY_PATH, Some(&id), &slow).await
    };
    let (first, second) = futures_util::future::join(first, second).await;
    let other = send(&deployment.hosts[2], "/index-board/keys/kp?x=1", Some(&id), &[]).await;

    assert_eq!(status_outcome_reason(&first), (200, "ran", ""));
    assert_eq!(status_outcome_reason(&second), (409, "unknown", "running"));
    assert_eq!(status_outcome_reason(&other), (422, "not-run", "id-of-other-request"));
    assert_eq!(runs_with_id(&deployment, &id).await, 1);
}

#[actix_rt::test]
async fn a_response_arrives_complete_or_is_reported_as_cut() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let size = LARGE_RESPONSE_BYTES.to_string();
    for host in &deployment.hosts {
        let whole = send(host, KEY_PATH, None, &[("stand-in-answer-bytes", &size)]).await;
        let broken = [("stand-in-answer-bytes", "100000"), ("stand-in-fault", "break-answer")];
        let cut = send(host, KEY_PATH, None, &broken).await;

        assert_eq!((whole.status, whole.body.len()), (200, LARGE_RESPONSE_BYTES));
        assert_eq!((cut.status, cut.reason.as_str()), (0, "cut"));
    }
}

#[actix_rt::test]
async fn a_run_is_cancelled_when_its_deadline_passes() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let path = "/index-board/keys/late";
    let headers = [("stand-in-run-ms", "60000"), ("papayarill-time-left-ms", "200")];

    let late = send(&deployment.hosts[0], path, None, &headers).await;

    assert_eq!(status_outcome_reason(&late), (504, "unknown", "timeout"));
    wait_for("the run to be cancelled", || async {
        let mut ended = false;
        for host in &deployment.hosts {
            let runs = host.runs().await;
            ended |= runs.iter().any(|r| r.key == path && r.end.is_some());
        }
        ended
    })
    .await;
}

#[actix_rt::test]
async fn a_request_that_crashes_backend_servers_is_quarantined() {
    let deployment = start_deployment(&program(), &ZONES).await;
    let crash = [("stand-in-fault", "crash")];
    let path = "/index-board/keys/poison";

    wait_for("the request to be quarantined", || async {
        let seen = send(&deployment.hosts[0], path, None, &crash).await;
        assert_ne!(seen.status, 200);
        seen.status == 422
    })
    .await;

    let mut crashed = 0;
    for host in &deployment.hosts {
        let seen = send(host, path, None, &crash).await;
        assert_eq!(status_outcome_reason(&seen), (422, "not-run", "quarantined"));
        let addr = host.backend.address("");
        crashed += usize::from(http::get(addr, "/stand-in/runs").await.is_none());
    }
    assert_eq!(crashed, 2, "backend servers lost");
    let similar = send(&deployment.hosts[0], "/index-board/keys/poison?x=1", None, &[]).await;
    assert_eq!(similar.status, 200);
}

#[actix_rt::test]
async fn requests_without_a_key_use_all_backend_servers_and_run_once() {
    let mut deployment = start_deployment(&program(), &ZONES[..2]).await;
    for zone in &ZONES[..3] {
        let host = start_host(&deployment.program, deployment.platform_addr, UNKEYED_SERVICE, zone);
        deployment.hosts.push(host);
    }
    // A host that has not joined its cell yet has no current configuration, so it must report
    // that the request did not run.
    for host in &deployment.hosts {
        wait_for("the host to serve", || async {
            let seen = send(host, "/forecast/outlook", None, &[]).await;
            assert!(seen.status == 200 || seen.outcome == "not-run", "{seen:?}");
            seen.status == 200
        })
        .await;
    }

    for _ in 0..60 {
        for host in &deployment.hosts {
            let seen = send(host, "/forecast/outlook", None, &[]).await;
            assert_eq!(seen.status, 200, "{seen:?}");
        }
    }
    let id = new_id();
    for host in &deployment.hosts {
        let seen = send(host, "/forecast/orders", Some(&id), &[]).await;
        assert_eq!(seen.status, 200, "{seen:?}");
    }

    for host in &deployment.hosts[2..] {
        assert!(!host.runs().await.is_empty(), "{} ran nothing", host.zone);
    }
    assert_eq!(runs_with_id(&deployment, &id).await, 1);
}

#[actix_rt::test]
async fn a_frozen_backend_server_delays_only_its_own_keys() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    deployment.hosts[0].backend.signal(Signal::STOP);
    let time_left = [("papayarill-time-left-ms", "400")];

    let mut served = 0;
    for key in 0..30 {
        let path = format!("/{SERVICE}/keys/{key}");
        let seen = send(&deployment.hosts[1], &path, None, &time_left).await;
        served += usize::from(seen.status == 200);
        assert!(seen.status == 200 || seen.outcome != "ran", "{seen:?}");
    }
    deployment.hosts[0].backend.signal(Signal::CONT);

    assert!(served >= 10, "only {served} of 30 keys were served");
    assert!(runs_with_key(&deployment, "/index-board/keys/0").await <= 3);
}

#[actix_rt::test]
async fn a_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut deployment = start_deployment(&program(), &ZONES[..3]).await;
    let path = "/index-board/keys/doubt";
    for _ in 0..20 {
        assert_eq!(send(&deployment.hosts[0], path, None, &[]).await.status, 200);
        assert_eq!(send(&deployment.hosts[1], path, None, &[]).await.status, 200);
    }
    let mut owner = 0;
    for (index, host) in deployment.hosts.iter().enumerate() {
        owner = if host.runs().await.is_empty() { owner } else { index };
    }
    let ingress = usize::from(owner == 0);
    let headers = [("stand-in-run-ms", "30000"), ("papayarill-time-left-ms", "900")];
    let runs_before = runs_with_key(&deployment, path).await;
    let callers = deployment.hosts[ingress].callers;
    let response = actix_rt::spawn(async move {
        let mut req = http::client().get(format!("http://{callers}{path}"));
        for header in headers {
            req = req.insert_header(header);
        }
        http::send(req, Bytes::new()).await
    });
    wait_for("the request to run", || async {
        runs_with_key(&deployment, path).await > runs_before
    })
    .await;

    deployment.hosts[owner].process.kill();
    let seen = response.await.expect("the request task does not panic");

    assert_eq!((seen.status, seen.outcome.as_str()), (504, "unknown"), "{seen:?}");
}
