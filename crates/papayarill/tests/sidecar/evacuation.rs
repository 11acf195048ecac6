//! Evacuation of a zone by the operator.

use std::time::Duration;

use adapter_stand_in::{Fault, Store, send_request};
use tokio::time::{Instant, sleep};

use super::{Host, KEY_COUNT, SHARDED_SERVICE, UNSHARDED_SERVICE};
use super::{caller_request, document, held_key_count, request_until, wait_until};
use super::{has_metric, start_host_in};

/// All hosts must act on the row this long after it was written.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Waits until each host reports this number of evacuated zones.
async fn wait_until_known(hosts: &[&Host], zones: usize) {
    let line = format!("papayarill_evacuated_zones {zones}");
    let deadline = Instant::now() + super::WAIT_LIMIT;
    for host in hosts {
        while !has_metric(host, &line).await {
            assert!(Instant::now() < deadline, "{} never reported {zones} zones", host.hosts);
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Waits until the backend server of this host serves requests.
async fn wait_until_serving(host: &Host) {
    let deadline = Instant::now() + super::WAIT_LIMIT;
    while host.backend.executed().is_empty() {
        assert!(Instant::now() < deadline, "{} never serves", host.hosts);
        request_until(host, "/order/x", None, 200).await;
    }
}

/// Sends requests to each host. Returns the statuses.
async fn send_orders(hosts: &[&Host], name: &str) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for i in 0..5 {
        for host in hosts {
            let id = format!("{name}-{}-{i}", host.hosts.port());
            let response = send_request(host.callers, &caller_request("/order/x", &id, None)).await;
            statuses.push(response.map(|r| r.status));
        }
    }
    statuses
}

/// Guards against requests and keys in an evacuated zone, hosts in the zone or another region that
/// learn too late, and a zone that stays out of use.
#[actix_rt::test]
async fn an_evacuated_zone_gets_no_requests_and_no_keys_until_that_ends() {
    let store = Store::start().await;
    store.put_config(&document(1));
    let a = start_host_in(&store, "a", SHARDED_SERVICE, "evac-a", "").await;
    let b = start_host_in(&store, "b", SHARDED_SERVICE, "evac-b", "").await;
    let c = start_host_in(&store, "a", UNSHARDED_SERVICE, "evac-c", "").await;
    let d = start_host_in(&store, "b", UNSHARDED_SERVICE, "evac-d", "").await;
    let all = [&a, &b, &c, &d];
    wait_until("all keys are held", || held_key_count(&[&a, &b]) == KEY_COUNT).await;
    for host in all {
        request_until(host, "/order/x", None, 200).await;
        request_until(host, "/read/x", Some(7), 200).await;
    }
    wait_until_serving(&c).await;
    wait_until_serving(&d).await;
    wait_until("both hold keys", || a.backend.held_key_count() > 0).await;

    let written = Instant::now();
    store.put_row("op", "", "evacuate/a", b"{}");
    wait_until_known(&all, 1).await;
    let known_after = written.elapsed();
    let before = (a.backend.executed().len(), c.backend.executed().len());
    let during = send_orders(&all, "during").await;
    wait_until("the other zone holds all keys", || b.backend.held_key_count() == KEY_COUNT).await;
    for key in [0, 128, 256, 384, 30_000] {
        request_until(&a, "/read/x", Some(key), 200).await;
    }
    let after = (a.backend.executed().len(), c.backend.executed().len());
    let held = a.backend.held_key_count();
    store.remove_row("op", "", "evacuate/a");
    wait_until_known(&all, 0).await;
    wait_until("keys return", || a.backend.held_key_count() > 0).await;
    let deadline = Instant::now() + super::WAIT_LIMIT;
    while c.backend.executed().len() == after.1 {
        assert!(Instant::now() < deadline, "the zone gets no requests again");
        request_until(&c, "/order/x", None, 200).await;
    }

    assert!(known_after < EVACUATION_LIMIT, "known after {known_after:?}");
    assert_eq!(after, before, "requests in the evacuated zone");
    assert_eq!(held, 0);
    assert!(during.iter().all(|s| *s == Some(200)), "{during:?}");
}

/// Guards against an evacuation that ends because the store is away, and one that is missed by a host
/// that can't read the store.
#[actix_rt::test]
async fn an_evacuation_goes_on_while_the_store_is_away() {
    let store = Store::start().await;
    store.put_config(&document(1));
    let a = start_host_in(&store, "a", UNSHARDED_SERVICE, "hold-a", "").await;
    let b = start_host_in(&store, "b", UNSHARDED_SERVICE, "hold-b", "").await;
    let all = [&a, &b];
    for host in all {
        wait_until_serving(host).await;
    }

    store.put_row("op", "", "evacuate/a", b"");
    wait_until_known(&all, 1).await;
    store.set_fault(Fault::Busy);
    let before = a.backend.executed().len();
    let mut during = Vec::new();
    for round in 0..8 {
        during.extend(send_orders(&all, &format!("round-{round}")).await);
        sleep(Duration::from_millis(500)).await;
    }
    let after = a.backend.executed().len();
    store.set_fault(Fault::None);
    store.put_row("op", "", "evacuate/b", b"");
    wait_until_known(&all, 2).await;
    let refused = send_orders(&all, "refused").await;
    let late = (a.backend.executed().len(), b.backend.executed().len());
    store.remove_row("op", "", "evacuate/a");
    wait_until_known(&all, 1).await;
    request_until(&b, "/order/x", None, 200).await;

    assert_eq!(after, before, "requests in the evacuated zone");
    assert!(during.iter().all(|s| *s == Some(200)), "{during:?}");
    assert!(refused.iter().all(|s| *s == Some(503)), "all zones are evacuated: {refused:?}");
    assert_eq!(late.0, before);
    assert!(a.backend.executed().len() > before, "the zone gets no requests again");
}
