//! Requests that crash backend servers, over several hosts that tell each other.

use mesh::{CrashSuspects, Incarnation, SuspectUpdate};
use model::Millis;

const POISON: u64 = 66;

fn boot(started: u64) -> Incarnation {
    Incarnation { started, id: "i-1".into() }
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
            host.told(&news, now);
        }
        if host.refused(POISON, now).is_some() {
            return crashes;
        }
        host.started(POISON, now);
        host.crashed(&boot(i as u64), now);
        crashes += 1;
        news = host.news(now);
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
        runs.push(host.started(digest, Millis(0)));
        other.started(digest, Millis(0));
    }
    // Both servers crash at once, and both hosts hear of it from each other.
    host.crashed(&boot(1), Millis(10));
    other.told(&host.news(Millis(10)), Millis(10));
    other.crashed(&boot(2), Millis(11));
    host.told(&other.news(Millis(11)), Millis(12));
    for run in runs {
        host.ended(run);
    }

    // One of them runs again and completes while another of its kind still runs at a crash.
    let again = host.started(7, Millis(500));
    let done = host.started(7, Millis(510));
    assert!(host.completed(done));
    host.crashed(&boot(3), Millis(600));
    host.ended(again);

    for digest in 1..=18 {
        assert_eq!(host.refused(digest, Millis(700)), None, "{digest}");
        assert_eq!(other.refused(digest, Millis(700)), None, "{digest}");
    }
}

#[test]
fn a_crash_is_counted_once_for_each_start_of_a_server() {
    let mut host = CrashSuspects::default();
    host.started(POISON, Millis(0));

    assert!(host.crashed(&boot(1), Millis(10)).is_some());
    assert_eq!(host.crashed(&boot(1), Millis(11)), None);
    assert_eq!(host.refused(POISON, Millis(12)), None);
}

#[test]
fn news_end_and_refusals_end() {
    let mut host = CrashSuspects::default();
    for start in 1..=2 {
        let run = host.started(POISON, Millis(start * 100));
        host.crashed(&boot(start), Millis(start * 100 + 10));
        host.ended(run);
    }

    assert_eq!(host.news(Millis(300)).refused, vec![POISON]);
    assert_eq!(host.news(Millis(10_000)), SuspectUpdate::default());
    assert!(host.refused(POISON, Millis(100_000)).is_some());
    assert_eq!(host.refused(POISON, Millis(121_000)), None);
}
