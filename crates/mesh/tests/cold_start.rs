//! Cold periods of backend servers: when one is cold, when requests may be sent, and a replay of a
//! crowd that meets a cold backend server. Time is simulated and seeds are fixed.

use mesh::{Admission, ColdLimits, ColdStart, Job, JobId, QueueLimits, RequestQueue};
use model::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// The bounds in force: 19.7 requests in any second.
const LIMITS: ColdLimits =
    ColdLimits { cold_for: Millis(8_000), per_second: 7.8, overage: 1.5, slack: 8.0 };

const BOUND: usize = 19;

/// A process that has run for a while when the tests begin.
fn cold_start() -> ColdStart {
    let mut cold_start = ColdStart::new(Millis(0));
    cold_start.set_limits(Some(LIMITS));
    cold_start.record_heartbeat(Some(Millis::ZERO), Millis(0));
    cold_start
}

/// Guards against a cold period that is missed or never ends.
#[test]
fn the_latest_heartbeat_that_tells_decides_until_when_a_backend_server_is_cold() {
    enum Event {
        Heartbeat(Option<u64>),
        Started,
    }
    use Event::{Heartbeat, Started};
    let check = |name: &str, events: &[(u64, Event)], expected: Option<u64>| {
        let mut cold_start = cold_start();
        for (at, event) in events {
            match event {
                Heartbeat(left) => {
                    cold_start.record_heartbeat(left.map(Millis), Millis(*at));
                }
                Started => cold_start.backend_started(Millis(*at)),
            }
        }
        assert_eq!(cold_start.cold_until(Millis(10_000)), expected.map(Millis), "{name}");
    };
    check("warm", &[(9_000, Heartbeat(Some(0)))], None);
    check("reported", &[(9_000, Heartbeat(Some(4_000)))], Some(13_000));
    check("over", &[(5_000, Heartbeat(Some(4_000)))], None);
    check(
        "shortened",
        &[(8_000, Heartbeat(Some(9_000))), (9_000, Heartbeat(Some(1_500)))],
        Some(10_500),
    );
    check(
        "not told again",
        &[(8_000, Heartbeat(Some(9_000))), (9_000, Heartbeat(None))],
        Some(17_000),
    );
    check("started", &[(9_000, Started), (9_000, Heartbeat(None))], Some(17_000));
    check("started long ago", &[(1_000, Started), (9_000, Heartbeat(None))], None);
    check("started warm", &[(9_000, Started), (9_000, Heartbeat(Some(0)))], None);
    check(
        "started while cold",
        &[(8_500, Heartbeat(Some(30_000))), (9_000, Started)],
        Some(38_500),
    );
}

#[test]
fn without_limits_no_backend_server_is_cold() {
    let mut cold_start = cold_start();
    cold_start.set_limits(None);
    cold_start.record_heartbeat(Some(Millis(60_000)), Millis(5_000));
    for id in 0..100 {
        cold_start.record_sent(JobId(id), Millis(5_000));
    }

    assert_eq!(cold_start.cold_until(Millis(5_000)), None);
    assert_eq!(cold_start.admit(Millis(5_000)), Ok(()));
    assert_eq!(cold_start.usable_slots(Millis(200), Millis(5_000)), None);
}

/// Guards against a request too many after a refusal by the backend server was taken back twice, and
/// against places that are lost by it.
#[test]
fn requests_that_are_taken_back_leave_their_places() {
    let mut cold_start = cold_start();
    cold_start.record_heartbeat(Some(Millis(60_000)), Millis(5_000));
    let mut sent = 0;
    while cold_start.admit(Millis(5_000)).is_ok() {
        sent += 1;
        cold_start.record_sent(JobId(sent), Millis(5_000));
    }
    let full = cold_start.admit(Millis(5_100));

    cold_start.take_back(JobId(3));
    cold_start.take_back(JobId(3));
    let free = cold_start.admit(Millis(5_100));
    cold_start.record_sent(JobId(sent + 1), Millis(5_100));
    let full_again = cold_start.admit(Millis(5_100));

    assert!((10..=BOUND as u64).contains(&sent), "{sent} at once");
    assert!(full.is_err_and(|at| at > Millis(6_000)), "{full:?}");
    assert_eq!(free, Ok(()));
    assert!(full_again.is_err(), "a second place for one request");
}

/// Guards against twice the bound within a second when a process restarts: the next one doesn't know
/// what was sent before it started.
#[test]
fn a_new_process_waits_until_the_requests_of_its_predecessor_are_a_second_old() {
    let mut cold_start = ColdStart::new(Millis(5_000));
    cold_start.set_limits(Some(LIMITS));
    cold_start.record_heartbeat(Some(Millis(60_000)), Millis(5_200));

    let next = cold_start.admit(Millis(5_200));
    let later = cold_start.admit(next.unwrap_err());

    assert!(next.is_err_and(|at| at > Millis(6_000) && at < Millis(6_500)), "{next:?}");
    assert_eq!(later, Ok(()));
}

/// A crowd at a backend server that turns cold.
struct Crowd {
    /// When the backend server turns cold, and for how long.
    cold_from: u64,
    cold_for: u64,
    /// The times of heartbeats are these plus multiples of 900 ms.
    heartbeat_offset: u64,
    arrivals_per_second: u64,
    /// The percentage of requests that the backend server answers with 421.
    misdirected: u32,
    deadline: u64,
}

struct Replayed {
    /// When the requests that count reached the backend server, sorted.
    received: Vec<u64>,
    refused: usize,
    served: usize,
}

/// Replays a crowd at a backend server with six slots that works at half speed while cold. Requests
/// reach it up to 90 ms after they were started.
fn replay(crowd: &Crowd, seed: u64) -> Replayed {
    let mut random = StdRng::seed_from_u64(seed);
    let mut queue = RequestQueue::new(QueueLimits { default_slots: 6, ..QueueLimits::default() });
    queue.set_cold_start(cold_start());
    let mut ends: Vec<(u64, JobId, bool)> = Vec::new();
    let mut replayed = Replayed { received: Vec::new(), refused: 0, served: 0 };
    for now in 2_000..32_000 {
        let cold_left = (crowd.cold_from + crowd.cold_for).saturating_sub(now);
        let cold = now >= crowd.cold_from && cold_left > 0;
        if now % 900 == crowd.heartbeat_offset {
            let left = if cold { cold_left } else { 0 };
            queue.cold_start_mut().record_heartbeat(Some(Millis(left)), Millis(now));
        }
        for (_, id, counts) in ends.extract_if(.., |(at, ..)| *at == now) {
            match counts {
                true => queue.finish(id, Millis(now)),
                false => queue.take_back(id),
            }
        }
        let mut started = Vec::new();
        if random.random_ratio(u32::try_from(crowd.arrivals_per_second).unwrap(), 1_000) {
            let (target_deadline, deadline) = (Millis(now + 800), Millis(now + crowd.deadline));
            let latency_target = target_deadline.since(Millis(now));
            let job = Job {
                class: 1,
                priority: 1,
                target_deadline,
                deadline,
                latency_target,
                max_wait: None,
            };
            match queue.submit(job, Millis(now)) {
                Admission::Start(id) => started.push(id),
                Admission::Queued(_) => {}
                Admission::Refused(_) => replayed.refused += 1,
            }
        }
        let (dispatched, late) = queue.dispatch(Millis(now));
        started.extend(dispatched);
        replayed.refused += late.len();
        for id in started {
            let arrival = now + random.random_range(0..90);
            let counts = !random.random_ratio(crowd.misdirected, 100);
            if counts {
                replayed.received.push(arrival);
                replayed.served += 1;
                ends.push((arrival + if cold { 160 } else { 80 }, id, true));
            } else {
                ends.push((arrival + 2, id, false));
            }
        }
    }
    replayed.received.sort_unstable();
    replayed
}

/// The most requests that arrived within one second that lies between `from` and `to`.
fn most_in_a_second(received: &[u64], from: u64, to: u64) -> usize {
    let cold: Vec<u64> = received.iter().copied().filter(|t| (from..to).contains(t)).collect();
    let in_second = |(i, start): (usize, &u64)| cold[i..].partition_point(|t| *t < start + 1_000);
    cold.iter().enumerate().map(in_second).max().unwrap_or(0)
}

/// Guards against a crowd that a cold backend server can't bear.
#[test]
fn a_cold_backend_server_gets_no_more_than_the_bound_in_any_second() {
    for seed in 0..20 {
        for (arrivals_per_second, misdirected) in [(10, 0), (30, 0), (80, 0), (300, 0), (80, 30)] {
            let crowd = Crowd {
                cold_from: 9_000,
                cold_for: 8_000,
                // The heartbeat that reports it comes at once.
                heartbeat_offset: 0,
                arrivals_per_second,
                misdirected,
                deadline: 1_500,
            };

            let replayed = replay(&crowd, seed);

            let most = most_in_a_second(&replayed.received, 9_000, 17_000);
            assert!(most <= BOUND, "{most} in a second of {arrivals_per_second}, seed {seed}");
            let cold = replayed.received.iter().filter(|t| (9_000..17_000).contains(*t)).count();
            if arrivals_per_second >= 80 {
                assert!(cold >= 8 * 12, "only {cold} in 8 s, {misdirected}% misdirected");
            }
        }
    }
}

/// Guards against requests that are sent after the heartbeat without regard to those before it.
#[test]
fn a_cold_period_that_is_reported_late_is_met_with_the_count_of_the_last_second() {
    for seed in 0..20 {
        for heartbeat_offset in [100, 400, 800] {
            let crowd = Crowd {
                cold_from: 9_000,
                cold_for: 8_000,
                heartbeat_offset,
                arrivals_per_second: 25,
                misdirected: 0,
                deadline: 1_500,
            };

            let replayed = replay(&crowd, seed);

            let reported = 9_000 + heartbeat_offset;
            // The requests that were under way when the heartbeat came are in no later second.
            let most = most_in_a_second(&replayed.received, reported + 90, 17_000);
            assert!(most <= BOUND, "{most} in a second, reported at {reported}, seed {seed}");
            let after = replayed.received.iter().filter(|t| **t > reported + 90);
            let after = after.filter(|t| **t < 10_000).count();
            let before = replayed.received.iter().filter(|t| (9_000..=reported + 90).contains(*t));
            let before = before.count();
            // Nothing is added to what came before the heartbeat if that was the bound already.
            let all = before + after;
            assert!(all <= BOUND.max(before), "{before}, then {after} more, seed {seed}");
        }
    }
}

/// Guards against requests that wait in vain, and against refusals of requests that can wait.
#[test]
fn requests_that_can_wait_for_a_place_do_and_others_are_refused_at_once() {
    let check = |deadline: u64, refused_at_most: usize, refused_at_least: usize| {
        let mut queue = RequestQueue::new(QueueLimits {
            default_slots: 100,
            max_waiting_per_slot: 8,
            initial_run_time: Millis(100),
        });
        let mut cold_start = cold_start();
        cold_start.record_heartbeat(Some(Millis(60_000)), Millis(5_000));
        queue.set_cold_start(cold_start);
        let job = Job {
            class: 1,
            priority: 1,
            target_deadline: Millis(5_000 + deadline),
            deadline: Millis(5_000 + deadline),
            latency_target: Millis(deadline),
            max_wait: None,
        };
        let mut refused = 0;
        for _ in 0..50 {
            if let Admission::Refused(after) = queue.submit(job, Millis(5_000)) {
                assert!(after > Millis(100), "told to come back after {after} ms");
                refused += 1;
            }
        }
        let mut late = 0;
        for now in 5_000..5_000 + deadline {
            let (started, expired) = queue.dispatch(Millis(now));
            late += expired.len();
            started.into_iter().for_each(|id| queue.cancel(id));
        }
        assert!(
            (refused_at_least..=refused_at_most).contains(&refused) && late == 0,
            "deadline {deadline}: {refused} refused, {late} late"
        );
        assert_eq!(queue.waiting(), 0, "deadline {deadline}");
    };
    check(1_000, 40, 31); // One round of places.
    check(1_500, 20, 12); // Two rounds.
    check(5_000, 0, 0);
}

#[test]
fn fewer_slots_are_reported_while_cold() {
    let check = |left: u64, mean_run: u64, slots: std::ops::RangeInclusive<usize>| {
        let limits = QueueLimits {
            default_slots: 6,
            initial_run_time: Millis(mean_run),
            ..QueueLimits::default()
        };
        let mut queue = RequestQueue::new(limits);
        let mut cold_start = cold_start();
        cold_start.record_heartbeat(Some(Millis(left)), Millis(5_000));
        queue.set_cold_start(cold_start);
        let usable = queue.usable_slots(Millis(5_000));
        assert!(slots.contains(&usable), "{left} ms left, runs of {mean_run} ms: {usable}");
    };
    check(0, 150, 6..=6);
    check(9_000, 150, 2..=3);
    check(9_000, 20, 1..=1);
    check(9_000, 2_000, 6..=6);
}
