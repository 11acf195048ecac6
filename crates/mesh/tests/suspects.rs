//! Quarantine of requests that crash backend servers, across hosts that exchange updates.

use mesh::{CrashSuspects, Incarnation, SuspectUpdate};
use model::Millis;

/// The digest of a request that crashes every backend server.
const CRASHING: u64 = 66;

fn incarnation(started_at: u64) -> Incarnation {
    Incarnation { started_at, id: "i-1".into() }
}

/// Sends the request to one host after the other until one has it quarantined. If `exchange` is
/// set, every host receives the update of the previous one first. Returns how many backend servers
/// crashed.
fn crashes(hosts: usize, exchange: bool) -> usize {
    let mut all: Vec<CrashSuspects> = (0..hosts).map(|_| CrashSuspects::default()).collect();
    let mut crashes = 0;
    let mut update = SuspectUpdate::default();
    for (i, host) in all.iter_mut().enumerate() {
        let now = Millis(1_000 * i as u64);
        if exchange {
            host.apply_peer_update(&update, now);
        }
        if host.quarantine_left(CRASHING, now).is_some() {
            return crashes;
        }
        host.record_start(CRASHING, now);
        host.record_crash(&incarnation(i as u64), now);
        crashes += 1;
        update = host.pending_update(now);
    }
    crashes
}

#[test]
fn a_crashing_request_costs_two_backend_servers_and_not_all() {
    assert_eq!(crashes(36, true), 2);
    assert_eq!(crashes(36, false), 36, "without updates between hosts");
}

#[test]
fn requests_that_only_ran_during_a_crash_are_not_quarantined() {
    let mut host = CrashSuspects::default();
    let mut other = CrashSuspects::default();
    let mut runs = Vec::new();
    for digest in 1..=18 {
        runs.push(host.record_start(digest, Millis(0)));
        other.record_start(digest, Millis(0));
    }
    // Both backend servers crash at the same time, and both hosts send each other an update.
    host.record_crash(&incarnation(1), Millis(10));
    other.apply_peer_update(&host.pending_update(Millis(10)), Millis(10));
    other.record_crash(&incarnation(2), Millis(11));
    host.apply_peer_update(&other.pending_update(Millis(11)), Millis(12));
    for run in runs {
        host.record_end(run);
    }

    // One of the requests runs twice. One run completes, the other is running at the next crash.
    let again = host.record_start(7, Millis(500));
    let done = host.record_start(7, Millis(510));
    assert!(host.record_completion(done));
    host.record_crash(&incarnation(3), Millis(600));
    host.record_end(again);

    for digest in 1..=18 {
        assert_eq!(host.quarantine_left(digest, Millis(700)), None, "{digest}");
        assert_eq!(other.quarantine_left(digest, Millis(700)), None, "{digest}");
    }
}

#[test]
fn a_crash_is_counted_once_per_incarnation() {
    let mut host = CrashSuspects::default();
    host.record_start(CRASHING, Millis(0));

    assert!(host.record_crash(&incarnation(1), Millis(10)).is_some());
    assert_eq!(host.record_crash(&incarnation(1), Millis(11)), None);
    assert_eq!(host.quarantine_left(CRASHING, Millis(12)), None);
}

#[test]
fn updates_and_quarantine_expire() {
    let mut host = CrashSuspects::default();
    for start in 1..=2 {
        let run = host.record_start(CRASHING, Millis(start * 100));
        host.record_crash(&incarnation(start), Millis(start * 100 + 10));
        host.record_end(run);
    }

    assert_eq!(host.pending_update(Millis(300)).quarantined, vec![CRASHING]);
    assert_eq!(host.pending_update(Millis(10_000)), SuspectUpdate::default());
    assert!(host.quarantine_left(CRASHING, Millis(100_000)).is_some());
    assert_eq!(host.quarantine_left(CRASHING, Millis(121_000)), None);
}
