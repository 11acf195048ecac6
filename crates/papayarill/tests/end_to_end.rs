//! A request reaches the one backend server that owns its key, whichever host process receives it.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use trial::deployment::{Deployment, SERVICE, ZONES, start_deployment};
use trial::http;
use trial::process::Program;
use uuid::Uuid;

const SEED: u64 = 7;
const KEYS: u32 = 300;
const REQUESTS: usize = 3_000;

fn program() -> Program {
    Program(env!("CARGO_BIN_EXE_papayarill").into())
}

#[actix_rt::test]
async fn requests_of_a_key_run_only_on_its_owner() {
    let deployment = start_deployment(&program(), &ZONES).await;
    let mut rng = StdRng::seed_from_u64(SEED);
    let client = http::client();

    for _ in 0..REQUESTS {
        let ingress = &deployment.hosts[rng.random_range(0..deployment.hosts.len())];
        let path = format!("/{SERVICE}/keys/{}", rng.random_range(0..KEYS));
        let url = format!("http://{}{path}", ingress.callers);
        let (req, id) = if rng.random_bool(0.5) {
            (client.get(url), None)
        } else {
            let id = Uuid::now_v7().to_string();
            (client.post(url).insert_header(("idempotency-key", id.clone())), Some(id))
        };

        let seen = http::send(req, "x".into()).await;

        assert_eq!((seen.status, seen.outcome.as_str()), (200, "ran"), "{seen:?}");
        let response: Value = serde_json::from_slice(&seen.body).expect("the response is JSON");
        assert_eq!(response["key"], path);
        assert_eq!(response["request_id"].as_str(), id.as_deref());
    }

    check_owners(&deployment).await;
    check_request_metrics(&deployment).await;
}

/// Checks that each key ran on one backend server only, and that each backend server ran some.
async fn check_owners(deployment: &Deployment) {
    let mut owners: Vec<(String, usize)> = Vec::new();
    let mut total = 0;
    for (index, host) in deployment.hosts.iter().enumerate() {
        let runs = host.runs().await;
        assert!(!runs.is_empty(), "host {index} ran nothing");
        total += runs.len();
        owners.extend(runs.into_iter().map(|r| (r.key, index)));
    }
    assert_eq!(total, REQUESTS);
    owners.sort();
    owners.dedup();
    let two_owners = owners.windows(2).find(|pair| pair[0].0 == pair[1].0);
    assert_eq!(two_owners, None, "a key ran on two backend servers");
}

async fn check_request_metrics(deployment: &Deployment) {
    for host in &deployment.hosts {
        let metrics = http::get(host.operators, "/metrics").await.expect("metrics are served");
        let text = String::from_utf8_lossy(&metrics).into_owned();
        assert!(text.contains("papayarill_requests_total{outcome=\"ran\"}"), "{text}");
    }
}

/// The method, path, request id and body of a request, and the expected status.
type InvalidRequest<'a> = (&'a str, &'a str, Option<&'a str>, &'a [u8], u16);

#[actix_rt::test]
async fn invalid_requests_are_refused_and_never_run() {
    let deployment = start_deployment(&program(), &ZONES[..3]).await;
    let client = http::client();
    let callers = deployment.hosts[0].callers;
    let id = Uuid::now_v7().to_string();
    let id = id.as_str();
    let long_body = vec![0; 2 << 20];
    let cases: [InvalidRequest<'_>; 7] = [
        ("GET", "/nothing/keys/1", None, b"", 404),
        ("GET", "/index-board/", None, b"", 400),
        ("POST", "/index-board/keys/1", None, b"", 400),
        ("POST", "/index-board/keys/1", Some("one"), b"", 400),
        ("POST", "/index-board/keys/1", Some("f81d4fae-7dec-11d0-a765-00a0c91e6bf6"), b"", 400),
        ("TRACE", "/index-board/keys/1", None, b"", 405),
        ("POST", "/index-board/keys/1", Some(id), &long_body, 413),
    ];
    for (method, path, id, body, expected) in cases {
        let method = method.parse().expect("the method is known");
        let mut req = client.request(method, format!("http://{callers}{path}"));
        if let Some(id) = id {
            req = req.insert_header(("idempotency-key", id));
        }

        let seen = http::send(req, body.to_vec().into()).await;

        assert_eq!((seen.status, seen.outcome.as_str()), (expected, "not-run"), "{path} {seen:?}");
    }
    for host in &deployment.hosts {
        assert_eq!(host.runs().await, Vec::new());
    }
}
