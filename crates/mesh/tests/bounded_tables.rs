//! Tables that are keyed by what clients and other hosts send.

use mesh::{
    Admission, CrashSuspects, Evacuations, Job, QueueLimits, RequestQueue, ResponseLink,
    RetryBudget, RetryBudgetLimits, SuspectUpdate, Witness, WitnessQuestion, WitnessReply,
    WitnessRequest, ZoneEvacuation,
};
use model::{Millis, RowVersion, ZoneName};

/// More keys than any table may hold.
const KEYS: u64 = 100_000;

/// What a table may take in memory, as its debug output.
const MAX_TEXT_BYTES: usize = 2 << 20;

fn assert_bounded(name: &str, table: &impl std::fmt::Debug) {
    let bytes = format!("{table:?}").len();
    assert!(bytes < MAX_TEXT_BYTES, "{name}: {bytes} bytes");
}

fn question(question: WitnessQuestion, generation: u64) -> WitnessRequest {
    let holder = "10.0.0.1:1".parse().unwrap();
    WitnessRequest { question, holder, process: 1, generation, witness_process: 9 }
}

/// Guards against a witness that forgets a denial to make room for other leases.
#[test]
fn a_witness_with_too_many_leases_confirms_no_others_and_forgets_none() {
    let mut witness = Witness::default();
    let denied = witness.answer(&question(WitnessQuestion::Deny, 0), 9, Millis(0));
    let answers: Vec<_> = (1..KEYS)
        .map(|n| witness.answer(&question(WitnessQuestion::Confirm, n), 9, Millis(1)))
        .collect();

    let again = witness.answer(&question(WitnessQuestion::Confirm, 0), 9, Millis(2));

    assert!(matches!(denied, WitnessReply::Denied { .. }));
    assert_eq!(again, WitnessReply::Refused);
    assert_eq!(answers.first(), Some(&WitnessReply::Confirmed));
    assert_eq!(answers.last(), Some(&WitnessReply::Refused));
    assert_bounded("leases", &witness);
}

/// Guards against tables that grow with each class that a host names.
#[test]
fn classes_of_requests_are_bounded() {
    let mut link = ResponseLink::new(1.0);
    let mut queue = RequestQueue::new(QueueLimits::default());
    link.request_started(0);
    for class in 1..KEYS {
        link.request_started(class);
        link.response_ready(class, 100, Millis(class));
        link.request_ended(class);
        let now = Millis(class);
        let job = Job {
            class,
            priority: 1,
            target_deadline: now + Millis(1_000),
            deadline: now + Millis(1_000),
            latency_target: Millis(1_000),
            max_wait: None,
        };
        if let Admission::Start(id) = queue.submit(job, now) {
            queue.finish(id, now);
        }
    }

    assert_bounded("link", &link);
    assert_bounded("queue", &queue);
    assert!(queue.class_run_time(KEYS - 1).is_some());
    // What is in progress is kept.
    assert!(format!("{link:?}").contains("id: 0, mean_bytes: 0.0, in_progress: 1"));
}

/// Guards against a host that reports crashing requests without end.
#[test]
fn reported_suspects_are_bounded() {
    let mut suspects = CrashSuspects::default();
    for n in 0..KEYS {
        let update = SuspectUpdate { suspects: vec![n], quarantined: vec![KEYS + n] };
        suspects.apply_peer_update(&update, Millis(1));
    }
    let all = SuspectUpdate { suspects: (0..KEYS).collect(), quarantined: Vec::new() };
    suspects.apply_peer_update(&all, Millis(2));

    assert_bounded("suspects", &suspects);
}

/// Guards against zones that hosts invent, and against missing those of the store because of them.
#[test]
fn zones_from_other_hosts_are_bounded() {
    let zone = |n: u64| ZoneEvacuation {
        zone: ZoneName::new(&format!("z{n}")).unwrap(),
        version: RowVersion(1),
        active: true,
    };
    let mut evacuations = Evacuations::default();
    evacuations.merge((0..KEYS).map(zone).collect());
    evacuations.apply_read(vec![zone(KEYS)], RowVersion(2));

    assert_bounded("zones", &evacuations);
    assert!(evacuations.is_evacuated(&ZoneName::new(&format!("z{KEYS}")).unwrap()));
}

/// Guards against a count of requests that takes memory for each of them.
#[test]
fn the_retry_budget_takes_no_memory_for_each_request() {
    let mut budget = RetryBudget::new(RetryBudgetLimits::default());
    for n in 0..KEYS * 20 {
        budget.record_first_attempt(Millis(n / 1_000));
    }

    assert_bounded("retry budget", &budget);
    assert!(budget.try_take_retry(1, Millis(KEYS / 50)));
}
