//! Requests that crash backend servers, over several hosts that tell each other.

use mesh::{CrashSuspects, Incarnation, SuspectUpdate};
use model::Millis;

const POISON: u64 = 66;

fn boot(started: u64) -> Incarnation {
    Incarnation { started_at: started, id: "i-1".into() }
}

/// Sends the request to hosts in turn, each time after what the former host said was passed on,
/// until it is refused. Returns how many backend servers crashed.
fn crashes(hosts: usize, told: bool) -> usize {
    let mut all: Vec<CrashSuspects> = (0..hosts).map(|_| CrashSuspects::default()).collect();
    let mut crashes = 0;
    let mut news = SuspectUpdate::default();
    for (i, host) in all.iter_mut().enumerate() {
        let now = Millis(1_000 * i as u64);
        if told {
            host.apply_peer_update(&news, now);
        }
        if host.quarantine_left(POISON, now).is_some() {
            return crashes;
        }
        host.record_start(POISON, now);
        host.record_crash(&boot(i as u64), now);
        crashes += 1;
        news = host.pending_update(now);
    }
    crashes
}

#[test]
fn a_request_that_crashes_servers_costs_two_and_not_all() {
    assert_eq!(crashes(36, true), 2);
    assert_eq!(crashes(36, false), 36, "each host for itself");
}

#[test]
fn requests_that_only_ran_at_a_crash_are_not_refused() {
    let mut host = CrashSuspects::default();
    let mut other = CrashSuspects::default();
    let mut runs = Vec::new();
    for digest in 1..=18 {
        runs.push(host.record_start(digest, Millis(0)));
        other.record_start(digest, Millis(0));
    }
    // Both servers crash at once, and both hosts hear of it from each other.
    host.record_crash(&boot(1), Millis(10));
    other.apply_peer_update(&host.pending_update(Millis(10)), Millis(10));
    other.record_crash(&boot(2), Millis(11));
    host.apply_peer_update(&other.pending_update(Millis(11)), Millis(12));
    for run in runs {
        host.record_end(run);
    }

    // One of them runs again and completes while another of its kind still runs at a crash.
    let again = host.record_start(7, Millis(500));
    let done = host.record_start(7, Millis(510));
    assert!(host.record_completion(done));
    host.record_crash(&boot(3), Millis(600));
    host.record_end(again);

    for digest in 1..=18 {
        assert_eq!(host.quarantine_left(digest, Millis(700)), None, "{digest}");
        assert_eq!(other.quarantine_left(digest, Millis(700)), None, "{digest}");
    }
}

#[test]
fn a_crash_is_counted_once_for_each_start_of_a_server() {
    let mut host = CrashSuspects::default();
    host.record_start(POISON, Millis(0));

    assert!(host.record_crash(&boot(1), Millis(10)).is_some());
    assert_eq!(host.record_crash(&boot(1), Millis(11)), None);
    assert_eq!(host.quarantine_left(POISON, Millis(12)), None);
}

#[test]
fn news_end_and_refusals_end() {
    let mut host = CrashSuspects::default();
    for start in 1..=2 {
        let run = host.record_start(POISON, Millis(start * 100));
        host.record_crash(&boot(start), Millis(start * 100 + 10));
        host.record_end(run);
    }

    assert_eq!(host.pending_update(Millis(300)).quarantined, vec![POISON]);
    assert_eq!(host.pending_update(Millis(10_000)), SuspectUpdate::default());
    assert!(host.quarantine_left(POISON, Millis(100_000)).is_some());
    assert_eq!(host.quarantine_left(POISON, Millis(121_000)), None);
}
