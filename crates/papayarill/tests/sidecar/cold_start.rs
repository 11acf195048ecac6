//! Requests to cold backend servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use adapter_stand_in::{Store, send_request};
use tokio::time::sleep;

use super::{UNSHARDED_SERVICE, caller_request, document, request_until, spawn_sidecar};
use super::{has_metric, start_host_with};

/// The bound of the settings and the configuration: 7.8 x 1.5 + 8.
const BOUND: usize = 19;

const COLD_SETTINGS: &str = "cold: {overage: 1.5, slack: 8}\n";

/// Sends 60 requests a second to `callers` until this time has passed.
async fn send_crowd(callers: std::net::SocketAddr, name: &str, span: Duration) -> Vec<Option<u16>> {
    let end = Instant::now() + span;
    let statuses = Rc::new(std::cell::RefCell::new(Vec::new()));
    let mut sent = Vec::new();
    while Instant::now() < end {
        let request = caller_request("/order/x", &format!("{name}-{}", sent.len()), None);
        let statuses = statuses.clone();
        sent.push(actix_rt::spawn(async move {
            let response = send_request(callers, &request).await;
            statuses.borrow_mut().push(response.map(|r| r.status));
        }));
        sleep(Duration::from_millis(16)).await;
    }
    for request in sent {
        request.await.unwrap();
    }
    statuses.take()
}

fn most_in_a_second(received: &[Instant], from: Instant) -> usize {
    let received: Vec<_> = received.iter().filter(|at| **at >= from).collect();
    let second = Duration::from_secs(1);
    let in_second = |first: &&Instant| {
        received.iter().filter(|t| ***t >= **first && ***t < **first + second).count()
    };
    received.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against a crowd that reaches a cold backend server, also when the process beside it restarts
/// and knows nothing of what was sent before.
#[actix_rt::test]
async fn a_cold_backend_server_is_spared_also_while_the_process_beside_it_restarts() {
    let store = Store::start().await;
    store.put_config(&document(1));
    let mut a = start_host_with(&store, UNSHARDED_SERVICE, "cold-a", COLD_SETTINGS).await;
    let b = start_host_with(&store, UNSHARDED_SERVICE, "cold-b", COLD_SETTINGS).await;
    b.backend.drain();
    request_until(&a, "/order/x", None, 200).await;

    a.backend.turn_cold(Duration::from_secs(60));
    while !has_metric(&a, "papayarill_backend_cold 1").await {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(1_100)).await;
    let cold_from = Instant::now();
    let first = send_crowd(b.callers, "first", Duration::from_secs(2)).await;
    let held = a.backend.received().len();
    a.child.kill().unwrap();
    a.child.wait().unwrap();
    a.child = spawn_sidecar(&a.settings);
    let second = send_crowd(b.callers, "second", Duration::from_secs(4)).await;

    let received = a.backend.received();
    let most = most_in_a_second(&received, cold_from);
    assert!(most <= BOUND, "{most} requests in a second");
    assert!(received.len() > held, "the restarted process sends nothing");
    assert!(first.contains(&Some(200)), "{first:?}");
    assert!(first.contains(&Some(503)), "{first:?}");
    assert!(second.contains(&Some(200)), "{second:?}");
    assert!(first.iter().all(|s| matches!(s, Some(200 | 503))), "{first:?}");
}
