//! Individual cases of request records. `records_walk.rs` covers random sequences.

mod common;

use common::{id_at, ran, response, settings};
use model::{Fence, Millis, Partition, RecordOutcome, RequestId};
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
        BeginResult::Run(handle) => handle,
        other => panic!("{other:?}"),
    }
}

fn hand_over(records: &mut Records, fence: u64) -> PartitionHandover {
    let (complete_from, records) = records.hand_over(P, NOW).unwrap();
    PartitionHandover { fence: Fence(fence), complete_from, records }
}

#[test]
fn a_retry_gets_the_result_of_the_first_run() {
    let check = |result: Option<RunResult>, digest, expected: BeginResult| {
        let mut records = owner(Origin::First);
        let handle = run(&mut records, id_at(NOW.0, 1));
        if let Some(result) = result {
            records.finish(handle, result);
        }
        assert_eq!(records.begin(P, id_at(NOW.0, 1), digest, NOW), expected);
    };
    let recorded = |end| Some(RunResult::Recorded(end));
    check(None, 1, BeginResult::Running);
    check(None, 2, BeginResult::DigestMismatch);
    check(Some(ran(5)), 1, BeginResult::Replay(response(5)));
    check(Some(ran(5)), 2, BeginResult::DigestMismatch);
    check(Some(ran(3_000)), 1, BeginResult::ResponseNotKept { status: 201 });
    check(recorded(RecordOutcome::Unknown), 1, BeginResult::Unknown);
    check(
        recorded(RecordOutcome::NotKept { status: 204 }),
        1,
        BeginResult::ResponseNotKept { status: 204 },
    );
}

#[test]
fn a_request_that_did_not_run_may_run_later() {
    let mut records = owner(Origin::First);
    let handle = run(&mut records, id_at(NOW.0, 1));
    records.finish(handle, RunResult::NotRun);
    let next = run(&mut records, id_at(NOW.0, 1));
    // If the first run is finished a second time, the second run must not change.
    records.finish(handle, RunResult::NotRun);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Running);
    records.finish(next, ran(1));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(response(1)));
}

#[test]
fn ids_without_a_record_run_only_if_the_records_are_complete() {
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
fn a_duplicate_start_keeps_all_records() {
    let mut records = owner(Origin::First);
    run(&mut records, id_at(NOW.0, 1));
    assert_eq!(records.start(P, Origin::First, NOW), History::Available { records: 1 });
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Running);
}

#[test]
fn a_planned_move_transfers_the_records() {
    let mut from = owner(Origin::First);
    let done = run(&mut from, id_at(NOW.0, 1));
    let _running = run(&mut from, id_at(NOW.0, 2));
    from.finish(done, ran(4));
    let mut to = Records::new(settings());
    to.receive_handover(P, hand_over(&mut from, 2), NOW);
    let history = to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(history, History::Available { records: 2 });
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(response(4)));
    assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), BeginResult::Unknown);
    assert!(matches!(to.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Run(_)));
    // The former owner admits no new requests until the move is cancelled.
    assert_eq!(from.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::NotServed);
    from.resume(P);
    assert!(matches!(from.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Run(_)));
}

#[test]
fn handovers_under_one_fence_merge_in_any_order() {
    let check = |order: [usize; 2]| {
        let mut from = owner(Origin::First);
        let running = run(&mut from, id_at(NOW.0, 1));
        let first = hand_over(&mut from, 2);
        from.resume(P);
        from.finish(running, ran(4));
        run(&mut from, id_at(NOW.0, 2));
        let second = hand_over(&mut from, 2);
        let mut to = Records::new(settings());
        let handed = [first, second];
        for index in order {
            to.receive_handover(P, handed[index].clone(), NOW);
        }
        to.start(P, Origin::Planned { from: Fence(2) }, NOW);
        assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Replay(response(4)));
        assert_eq!(to.begin(P, id_at(NOW.0, 2), 1, NOW), BeginResult::Unknown);
    };
    check([0, 1]);
    check([1, 0]);
}

#[test]
fn a_handover_under_another_fence_is_discarded() {
    let check = |fence, expected| {
        let mut from = owner(Origin::First);
        let mut to = Records::new(settings());
        to.receive_handover(P, hand_over(&mut from, fence), NOW);
        let history = to.start(P, Origin::Planned { from: Fence(4) }, NOW);
        assert_eq!(history, expected);
    };
    check(4, History::Available { records: 0 });
    check(2, History::Lost { complete_from: Millis(101_201) });
    check(6, History::Lost { complete_from: Millis(101_201) });
}

#[test]
fn an_expired_id_does_not_run_again_if_the_clock_is_set_back() {
    let mut records = owner(Origin::First);
    let handle = run(&mut records, id_at(NOW.0, 1));
    records.finish(handle, ran(4));
    records.expire(NOW + Millis(60_001));
    assert_eq!((records.len(), records.kept_bytes()), (0, 0));
    let again = records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(60_001));
    assert_eq!(again, BeginResult::TooOld);
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Unknown);
    // The clock of the next owner may be behind, too.
    let handed = hand_over(&mut records, 2);
    let mut to = Records::new(settings());
    to.receive_handover(P, handed, NOW);
    to.start(P, Origin::Planned { from: Fence(2) }, NOW);
    assert_eq!(to.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::Unknown);
}

#[test]
fn a_longer_retention_does_not_revive_expired_ids() {
    let mut records = owner(Origin::First);
    let handle = run(&mut records, id_at(NOW.0, 1));
    records.finish(handle, ran(4));
    records.set_retention(Millis(1_000));
    records.expire(NOW + Millis(1_001));
    records.set_retention(Millis(60_000));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW + Millis(1_001)), BeginResult::Unknown);
}

#[test]
fn memory_is_bounded_and_records_outlive_their_responses() {
    let small = RecordSettings { max_records: 3, max_kept_bytes: 1_000, ..settings() };
    let mut records = owner_with(small, Origin::First);
    for n in 1..=3 {
        let handle = run(&mut records, id_at(NOW.0, n));
        records.finish(handle, ran(300));
        assert!(records.kept_bytes() <= 1_000);
    }
    assert_eq!(records.begin(P, id_at(NOW.0, 4), 1, NOW), BeginResult::Full);
    assert_eq!(
        records.begin(P, id_at(NOW.0, 1), 1, NOW),
        BeginResult::ResponseNotKept { status: 201 }
    );
    assert_eq!(records.begin(P, id_at(NOW.0, 3), 1, NOW), BeginResult::Replay(response(300)));
    records.expire(NOW + Millis(60_001));
    assert!(matches!(
        records.begin(P, id_at(NOW.0 + 60_001, 5), 1, NOW + Millis(60_001)),
        BeginResult::Run(_)
    ));
}

#[test]
fn a_partition_that_is_not_served_runs_nothing() {
    let mut records = owner(Origin::First);
    let handle = run(&mut records, id_at(NOW.0, 1));
    records.finish(handle, ran(4));
    assert_eq!(records.begin(Partition(2), id_at(NOW.0, 1), 1, NOW), BeginResult::NotServed);
    records.drop_all();
    assert_eq!((records.len(), records.kept_bytes()), (0, 0));
    assert_eq!(records.begin(P, id_at(NOW.0, 1), 1, NOW), BeginResult::NotServed);
}
