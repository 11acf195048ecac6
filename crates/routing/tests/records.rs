//! Request records: single cases.

mod common;

use common::{answer, answered, id_at, settings};
use model::{Fence, Millis, Partition, RecordEnd, RequestId};
use ownership::Origin;
use routing::records::{Begin, Ended, Handed, RecordSettings, Records, Started, Ticket};

const P: Partition = Partition(1);
const NOW: Millis = Millis(100_000);

fn owner(origin: Origin) -> Records {
    owner_with(settings(), origin)
}

fn owner_with(settings: RecordSettings, origin: Origin) -> Records {
    let mut records = Records::new(settings);
    records.start(P, origin, NOW);
    records
}

fn run(records: &mut Records, id: RequestId) -> Ticket {
    match records.begin(P, id, 1, NOW) {
        Begin::Run(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

fn hand(records: &mut Records, fence: u64) -> Handed {
    let (vouched_from, records) = records.hand_over(P, NOW).unwrap();
    Handed { fence: Fence(fence), vouched_from, records }
}

#[test]
fn a_resend_gets_what_the_first_run_led_to() {
    let check = |ended: Option<Ended>, digest, expected: Begin| {
        let mut records = owner(Origin::First);
        let ticket = run(&mut records, id_at(NOW.0, 1));
        if let Some(ended) = ended {
            records.finish(ticket, ended);
        }
        assert_eq!(records.begin(P, id_at(NOW.0, 1), digest, NOW), expected);
    };
    let recorded = |end| Some(Ended::Recorded(end));
    check(None, 1, Begin::Running);
    check(None, 2, Begin::OtherRequest);
    check(Some(answered(5)), 1, Begin::Replay(answer(5)));
    check(Some(answered(5)), 2, Begin::OtherRequest);
    check(Some(answered(3_000)), 1, Begin::RanNotKept { status: 201 });
    check(recorded(RecordEnd::Unknown), 1, Begin::Unknown);
    check(recorded(RecordEnd::NotKept { status: 204 }), 1, Begin::RanNotKept { status: 204 });
}

#[test]
fn a_request_that_did_not_run_may_run_later() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, Ended::NotRun);
    let next = run(&mut records, id_at(NOW.0, 1));
    // The end of the first run comes a second time and must not touch the next run.
    records.finish(ticket, Ended::NotRun);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Running);
    records.finish(next, answered(1));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Replay(answer(1)));
}

#[test]
fn ids_without_a_record_run_only_if_vouched_for() {
    let check = |origin, minted_at: u64, expected: Option<Begin>| {
        let begin = owner(origin).begin(P, id_at(minted_at, 1), 1, NOW);
        match expected {
            Some(expected) => assert_eq!(begin, expected, "{origin:?} {minted_at}"),
            None => assert!(matches!(begin, Begin::Run(_)), "{origin:?} {minted_at} {begin:?}"),
        }
    };
    let lost = Origin::Planned { from: Fence(2) };
    check(Origin::First, 100_000, None);
    check(Origin::First, 40_000, None);
    check(Origin::First, 39_999, Some(Begin::TooOld));
    check(Origin::First, 101_000, None);
    check(Origin::First, 101_001, Some(Begin::FromFuture));
    check(Origin::Unplanned, 100_000, Some(Begin::Unknown));
    check(Origin::Unplanned, 101_200, Some(Begin::Unknown));
    check(Origin::Unplanned, 101_201, Some(Begin::FromFuture));
    check(Origin::Unplanned, 39_999, Some(Begin::TooOld));
    check(lost, 100_000, Some(Begin::Unknown));
}

#[test]
fn a_doubled_order_to_start_forgets_nothing() {
    let mut records = owner(Origin::First);
    run(&mut records, id_at(NOW.0, 1));
    assert_eq!(records.start(P, Origin::First, NOW), Started::Adopted { records: 1 });
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Running);
}

#[test]
fn records_pass_with_a_planned_move() {
    let mut from = owner(Origin::First);
    let done = run(&mut from, id_at(NOW.0, 1));
    let _running = run(&mut from, id_at(NOW.0, 2));
    from.finish(done, answered(4));
    let mut to = Records::new(settings());
    to.adopt(P, hand(&mut from, 2), NOW);
    let started = to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(started, Started::Adopted { records: 2 });
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Replay(answer(4)));
    assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), Begin::Unknown);
    assert!(matches!(to.begin(P, id_at(NOW.0, 3), 1, NOW), Begin::Run(_)));
    // The former owner takes nothing new until the move is called off.
    assert_eq!(from.begin(P, id_at(NOW.0, 3), 1, NOW), Begin::NotServed);
    from.resume(P);
    assert!(matches!(from.begin(P, id_at(NOW.0, 3), 1, NOW), Begin::Run(_)));
}

#[test]
fn a_second_hand_over_adds_to_the_first_in_any_order() {
    let check = |order: [usize; 2]| {
        let mut from = owner(Origin::First);
        let running = run(&mut from, id_at(NOW.0, 1));
        let first = hand(&mut from, 2);
        from.resume(P);
        from.finish(running, answered(4));
        run(&mut from, id_at(NOW.0, 2));
        let second = hand(&mut from, 2);
        let mut to = Records::new(settings());
        let handed = [first, second];
        for index in order {
            to.adopt(P, handed[index].clone(), NOW);
        }
        to.start(P, Origin::Planned { from: Fence(2) }, NOW);
        assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Replay(answer(4)));
        assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), Begin::Unknown);
    };
    check([0, 1]);
    check([1, 0]);
}

#[test]
fn a_hand_over_under_another_fence_vouches_for_nothing() {
    let check = |fence, expected| {
        let mut from = owner(Origin::First);
        let mut to = Records::new(settings());
        to.adopt(P, hand(&mut from, fence), NOW);
        let started = to.start(P, Origin::Planned { from: Fence(4) }, NOW);
        assert_eq!(started, expected);
    };
    check(4, Started::Adopted { records: 0 });
    check(2, Started::Unvouched { until: Millis(101_201) });
    check(6, Started::Unvouched { until: Millis(101_201) });
}

#[test]
fn nothing_that_expired_runs_again_even_if_the_clock_is_set_back() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    records.expire(NOW + Millis(60_001));
    assert_eq!((records.len(), records.answer_bytes()), (0, 0));
    let again = records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(60_001));
    assert_eq!(again, Begin::TooOld);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Unknown);
    // The next owner's clock may be behind as well.
    let handed = hand(&mut records, 2);
    let mut to = Records::new(settings());
    to.adopt(P, handed, NOW);
    to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::Unknown);
}

#[test]
fn a_longer_retention_brings_nothing_back() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    records.set_retention(Millis(1_000));
    records.expire(NOW + Millis(1_001));
    records.set_retention(Millis(60_000));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(1_001)), Begin::Unknown);
}

#[test]
fn memory_is_bounded_and_nothing_needed_is_forgotten() {
    let small = RecordSettings { max_records: 3, max_answer_bytes: 1_000, ..settings() };
    let mut records = owner_with(small, Origin::First);
    for n in 1..=3 {
        let ticket = run(&mut records, id_at(NOW.0, n));
        records.finish(ticket, answered(300));
        assert!(records.answer_bytes() <= 1_000);
    }
    assert_eq!(records.begin(P, id_at(NOW.0, 4), 1, NOW), Begin::Full);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::RanNotKept { status: 201 });
    assert_eq!(records.begin(P, id_at(NOW.0, 3), 1, NOW), Begin::Replay(answer(300)));
    records.expire(NOW + Millis(60_001));
    assert!(matches!(
        records.begin(P, id_at(NOW.0 + 60_001, 5), 1, NOW + Millis(60_001)),
        Begin::Run(_)
    ));
}

#[test]
fn a_partition_that_is_not_served_runs_nothing() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    assert_eq!(records.begin(Partition(2), id_at(NOW.0, 1), 1, NOW), Begin::NotServed);
    records.drop_all();
    assert_eq!((records.len(), records.answer_bytes()), (0, 0));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), Begin::NotServed);
}
