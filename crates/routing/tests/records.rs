//! Request records: single cases.

mod common;

use common::{answer, answered, id_at, settings};
use model::{Fence, Millis, Partition, RecordEnd, RequestId};
use ownership::Origin;
use routing::records::{
    BeginResult, History, PartitionHandover, RecordSettings, Records, RunHandle, RunResult,
};

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

fn run(records: &mut Records, id: RequestId) -> RunHandle {
    match records.begin(P, id, 1, NOW) {
        BeginResult::Run(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

fn hand(records: &mut Records, fence: u64) -> PartitionHandover {
    let (complete_from, records) = records.hand_over(P, NOW).unwrap();
    PartitionHandover { fence: Fence(fence), complete_from, records }
}

#[test]
fn a_resend_gets_what_the_first_run_led_to() {
    let check = |ended: Option<RunResult>, digest, expected: BeginResult| {
        let mut records = owner(Origin::First);
        let ticket = run(&mut records, id_at(NOW.0, 1));
        if let Some(ended) = ended {
            records.finish(ticket, ended);
        }
        assert_eq!(records.begin(P, id_at(NOW.0, 1), digest, NOW), expected);
    };
    let recorded = |end| Some(RunResult::Recorded(end));
    check(None, 1, BeginResult::Running);
    check(None, 2, BeginResult::DigestMismatch);
    check(Some(answered(5)), 1, BeginResult::Replay(answer(5)));
    check(Some(answered(5)), 2, BeginResult::DigestMismatch);
    check(Some(answered(3_000)), 1, BeginResult::ResponseNotKept { status: 201 });
    check(recorded(RecordEnd::Unknown), 1, BeginResult::Unknown);
    check(
        recorded(RecordEnd::NotKept { status: 204 }),
        1,
        BeginResult::ResponseNotKept { status: 204 },
    );
}

#[test]
fn a_request_that_did_not_run_may_run_later() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, RunResult::NotRun);
    let next = run(&mut records, id_at(NOW.0, 1));
    // The end of the first run comes a second time and must not touch the next run.
    records.finish(ticket, RunResult::NotRun);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Running);
    records.finish(next, answered(1));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(answer(1)));
}

#[test]
fn ids_without_a_record_run_only_if_vouched_for() {
    let check = |origin, minted_at: u64, expected: Option<BeginResult>| {
        let got = owner(origin).begin(P, id_at(minted_at, 1), 1, NOW);
        match expected {
            Some(expected) => assert_eq!(got, expected, "{origin:?} {minted_at}"),
            None => assert!(matches!(got, BeginResult::Run(_)), "{origin:?} {minted_at} {got:?}"),
        }
    };
    let lost = Origin::Planned { from: Fence(2) };
    check(Origin::First, 100_000, None);
    check(Origin::First, 40_000, None);
    check(Origin::First, 39_999, Some(BeginResult::TooOld));
    check(Origin::First, 101_000, None);
    check(Origin::First, 101_001, Some(BeginResult::FromFuture));
    check(Origin::Unplanned, 100_000, Some(BeginResult::Unknown));
    check(Origin::Unplanned, 101_200, Some(BeginResult::Unknown));
    check(Origin::Unplanned, 101_201, Some(BeginResult::FromFuture));
    check(Origin::Unplanned, 39_999, Some(BeginResult::TooOld));
    check(lost, 100_000, Some(BeginResult::Unknown));
}

#[test]
fn a_doubled_order_to_start_forgets_nothing() {
    let mut records = owner(Origin::First);
    run(&mut records, id_at(NOW.0, 1));
    assert_eq!(records.start(P, Origin::First, NOW), History::Available { records: 1 });
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Running);
}

#[test]
fn records_pass_with_a_planned_move() {
    let mut from = owner(Origin::First);
    let done = run(&mut from, id_at(NOW.0, 1));
    let _running = run(&mut from, id_at(NOW.0, 2));
    from.finish(done, answered(4));
    let mut to = Records::new(settings());
    to.receive_handover(P, hand(&mut from, 2), NOW);
    let started = to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(started, History::Available { records: 2 });
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(answer(4)));
    assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), BeginResult::Unknown);
    assert!(matches!(to.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Run(_)));
    // The former owner takes nothing new until the move is called off.
    assert_eq!(from.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::NotServed);
    from.resume(P);
    assert!(matches!(from.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Run(_)));
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
            to.receive_handover(P, handed[index].clone(), NOW);
        }
        to.start(P, Origin::Planned { from: Fence(2) }, NOW);
        assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(answer(4)));
        assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), BeginResult::Unknown);
    };
    check([0, 1]);
    check([1, 0]);
}

#[test]
fn a_hand_over_under_another_fence_vouches_for_nothing() {
    let check = |fence, expected| {
        let mut from = owner(Origin::First);
        let mut to = Records::new(settings());
        to.receive_handover(P, hand(&mut from, fence), NOW);
        let started = to.start(P, Origin::Planned { from: Fence(4) }, NOW);
        assert_eq!(started, expected);
    };
    check(4, History::Available { records: 0 });
    check(2, History::Lost { complete_from: Millis(101_201) });
    check(6, History::Lost { complete_from: Millis(101_201) });
}

#[test]
fn nothing_that_expired_runs_again_even_if_the_clock_is_set_back() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    records.expire(NOW + Millis(60_001));
    assert_eq!((records.len(), records.kept_bytes()), (0, 0));
    let again = records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(60_001));
    assert_eq!(again, BeginResult::TooOld);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Unknown);
    // The next owner's clock may be behind as well.
    let handed = hand(&mut records, 2);
    let mut to = Records::new(settings());
    to.receive_handover(P, handed, NOW);
    to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Unknown);
}

#[test]
fn a_longer_retention_brings_nothing_back() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    records.set_retention(Millis(1_000));
    records.expire(NOW + Millis(1_001));
    records.set_retention(Millis(60_000));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(1_001)), BeginResult::Unknown);
}

#[test]
fn memory_is_bounded_and_nothing_needed_is_forgotten() {
    let small = RecordSettings { max_records: 3, max_kept_bytes: 1_000, ..settings() };
    let mut records = owner_with(small, Origin::First);
    for n in 1..=3 {
        let ticket = run(&mut records, id_at(NOW.0, n));
        records.finish(ticket, answered(300));
        assert!(records.kept_bytes() <= 1_000);
    }
    assert_eq!(records.begin(P, id_at(NOW.0, 4), 1, NOW), BeginResult::Full);
    assert_eq!(
        records.begin(P, id_at(NOW.0, 1), 1, NOW),
        BeginResult::ResponseNotKept { status: 201 }
    );
    assert_eq!(records.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Replay(answer(300)));
    records.expire(NOW + Millis(60_001));
    assert!(matches!(
        records.begin(P, id_at(NOW.0 + 60_001, 5), 1, NOW + Millis(60_001)),
        BeginResult::Run(_)
    ));
}

#[test]
fn a_partition_that_is_not_served_runs_nothing() {
    let mut records = owner(Origin::First);
    let ticket = run(&mut records, id_at(NOW.0, 1));
    records.finish(ticket, answered(4));
    assert_eq!(records.begin(Partition(2), id_at(NOW.0, 1), 1, NOW), BeginResult::NotServed);
    records.drop_all();
    assert_eq!((records.len(), records.kept_bytes()), (0, 0));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::NotServed);
}
