//! Large bodies on a narrow link.

use mesh::{BodyAdmission, BodyLimits, TransferDecision, TransferId};
use model::Millis;

const START: Millis = Millis(10_000);

/// A link of 10 Mbit/s that may hold 125 KB at once.
const LIMITS: BodyLimits =
    BodyLimits { bytes_per_ms: 1_250.0, max_in_flight: 125_000, max_body: 10_000_000 };

#[test]
fn a_body_starts_waits_or_is_refused_by_what_is_before_it() {
    let check = |before: &[u64], bytes: u64, left_ms: u64, expected: &str| {
        let mut admission = BodyAdmission::new(LIMITS);
        for b in before {
            let end = START + Millis(60_000);
            admission.submit(*b, end, end, START);
        }
        let target_end = START + Millis(left_ms / 2);
        let found = match admission.submit(bytes, target_end, START + Millis(left_ms), START) {
            TransferDecision::Start(_) => "start".to_owned(),
            TransferDecision::Wait(_) => "wait".to_owned(),
            TransferDecision::Refused(after) => format!("refused for {after} ms"),
        };
        assert_eq!(found, expected, "{before:?}, {bytes} in {left_ms} ms");
    };
    check(&[], 60_000, 1_000, "start");
    check(&[60_000], 60_000, 1_000, "start");
    check(&[60_000, 60_000], 60_000, 1_000, "wait");
    check(&[60_000, 60_000, 60_000], 1_000, 1_000, "wait");
    check(&[], 60_000, 40, "refused for 0 ms");
    check(&[60_000; 20], 60_000, 1_000, "refused for 960 ms");
    check(&[60_000; 10], 60_000, 2_000, "wait");
    check(&[60_000; 10], 60_000, 1_900, "refused for 480 ms");
    check(&[125_000], 60_000, 200, "wait");
    check(&[], 1_000_000, 1_000, "start");
    check(&[1_000_000], 60_000, 1_000, "wait");
    check(&[], 10_000_001, 60_000, "refused for 0 ms");
}

#[test]
fn waiting_bodies_start_in_order_and_late_ones_are_refused() {
    let mut admission = BodyAdmission::new(LIMITS);
    let first = admission.submit(125_000, START + Millis(1_000), START + Millis(1_000), START);
    let ids: Vec<TransferDecision> = [(60_000, 300), (60_000, 900), (60_000, 900), (60_000, 900)]
        .map(|(bytes, left)| {
            let end = START + Millis(left);
            admission.submit(bytes, START + Millis(1_000), end, START)
        })
        .into();
    assert_eq!(first, TransferDecision::Start(TransferId(1)));
    assert_eq!(ids, [2, 3, 4, 5].map(|id| TransferDecision::Wait(TransferId(id))));
    assert_eq!(admission.start_waiting(START + Millis(100)), (vec![], vec![]));

    admission.arrived(TransferId(1), START + Millis(100));
    let decided = admission.start_waiting(START + Millis(400));

    assert_eq!(decided, (vec![TransferId(3), TransferId(4)], vec![TransferId(2)]));
    assert_eq!(admission.admitted_bytes(TransferId(3)), Some(60_000));
    assert_eq!(admission.admitted_bytes(TransferId(5)), None);
}

#[test]
fn a_body_that_never_comes_does_not_block_others_for_long() {
    let mut admission = BodyAdmission::new(LIMITS);
    admission.submit(125_000, START + Millis(1_000), START + Millis(1_000), START);
    admission.submit(60_000, START + Millis(9_000), START + Millis(9_000), START);
    assert_eq!(admission.start_waiting(START + Millis(1_400)).0, []);
    assert_eq!(admission.start_waiting(START + Millis(1_401)).0, [TransferId(2)]);
}

#[test]
fn a_link_that_other_traffic_uses_counts_as_slower() {
    let mut admission = BodyAdmission::new(LIMITS);
    let mut now = START;
    for _ in 0..50 {
        let end = now + Millis(60_000);
        let TransferDecision::Start(id) = admission.submit(125_000, end, end, now) else {
            panic!("nothing else is on the link");
        };
        now += Millis(200);
        admission.arrived(id, now);
    }
    let end = now + Millis(60_000);
    admission.submit(125_000, end, end, now);
    let wait = admission.expected_wait().0;
    assert!((190..=210).contains(&wait), "{wait} ms");
}

/// Load: 26 bodies of 60 KB each second, which is 1.25 times what the link carries, each of use for
/// 1 s. The link serves all bodies that are on it in equal parts. Returns how many arrive in time
/// within 20 s.
fn bodies_in_time(mut admission: Option<BodyAdmission>) -> usize {
    let mut on_link: Vec<(f64, Millis, Option<TransferId>)> = Vec::new();
    let mut deadlines: Vec<(TransferId, Millis)> = Vec::new();
    let mut in_time = 0;
    for now in (0..20_000).map(|ms| START + Millis(ms)) {
        let deadline = now + Millis(1_000);
        let arrives = now.since(START).0 % 38 == 0;
        match &mut admission {
            None if arrives => on_link.push((60_000.0, deadline, None)),
            None => {}
            Some(admission) => {
                for id in admission.start_waiting(now).0 {
                    let known = deadlines.iter().find(|(d, _)| *d == id);
                    on_link.push((60_000.0, known.expect("it waited").1, Some(id)));
                }
                if arrives {
                    match admission.submit(60_000, deadline, deadline, now) {
                        TransferDecision::Start(id) => on_link.push((60_000.0, deadline, Some(id))),
                        TransferDecision::Wait(id) => deadlines.push((id, deadline)),
                        TransferDecision::Refused(_) => {}
                    }
                }
            }
        }
        let share = 1_250.0 / on_link.len().max(1) as f64;
        on_link.iter_mut().for_each(|(left, ..)| *left -= share);
        for (_, deadline, id) in on_link.extract_if(.., |(left, ..)| *left <= 0.0) {
            in_time += usize::from(now <= deadline);
            if let (Some(admission), Some(id)) = (&mut admission, id) {
                admission.arrived(id, now);
            }
        }
    }
    in_time
}

#[test]
fn more_bodies_arrive_in_time_over_a_full_link_than_without_admission() {
    let without = bodies_in_time(None);
    let with = bodies_in_time(Some(BodyAdmission::new(LIMITS)));
    assert!(with > 380 && with > 3 * without, "{with} with admission, {without} without");
}
