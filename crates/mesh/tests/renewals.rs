//! Renewals of many hosts in one transaction: when they are written, and what each host learns.

use mesh::{Renewal, RenewalBatch, RenewalWriterSelector, RowName, WriteOutcome};
use model::{HostAddr, Millis, RowVersion};

const START: Millis = Millis(10_000);

fn host(i: usize) -> HostAddr {
    HostAddr(([10, 0, 0, i as u8], 7_000).into())
}

fn renewal(i: usize) -> Renewal {
    Renewal { host: host(i), expected: RowVersion(100 + i as u64), row: vec![i as u8] }
}

/// Writes a batch of three renewals at `START` and returns what each host learns.
fn outcomes(outcome: WriteOutcome) -> (RenewalBatch<HostAddr>, Vec<(HostAddr, WriteOutcome)>) {
    let mut batch = RenewalBatch::default();
    for i in [2, 1, 3] {
        batch.submit(renewal(i), host(i), START);
    }
    let now = START + Millis(80);
    let write = batch.next_write(now).expect("the batch is due");
    assert_eq!(write.put.len(), 3);
    let decided = batch.finished(&outcome, now);
    (batch, decided)
}

#[test]
fn renewals_wait_for_others_but_not_for_long() {
    let check = |since_last: Option<u64>, expected: u64| {
        let mut batch = RenewalBatch::default();
        let mut now = START;
        if let Some(since_last) = since_last {
            batch.submit(renewal(9), host(9), now.since(Millis(80 + since_last)));
            batch.next_write(now.since(Millis(since_last))).expect("the batch is due");
            batch.finished(&WriteOutcome::NotApplied, now);
        }
        batch.submit(renewal(1), host(1), now);
        while batch.next_write(now).is_none() {
            now += Millis(1);
        }
        assert_eq!(now.since(START), Millis(expected), "last {since_last:?}");
    };
    check(None, 80);
    check(Some(5_000), 80);
    check(Some(200), 80);
    check(Some(10), 240);
}

#[test]
fn each_host_learns_what_became_of_its_renewal() {
    let committed = WriteOutcome::Committed(RowVersion(200));
    for outcome in [committed, WriteOutcome::NotApplied, WriteOutcome::Unknown] {
        let (batch, decided) = outcomes(outcome.clone());
        let expected: Vec<_> = (1..=3).map(|i| (host(i), outcome.clone())).collect();
        assert_eq!((decided, batch.due_at()), (expected, None));
    }
}

#[test]
fn a_conflict_concerns_only_the_host_whose_lease_changed() {
    let current =
        |i: usize, version: u64| (RowName::Lease(host(i)), RowVersion(version), Some(vec![9]));
    let rows = vec![current(1, 101), current(2, 777), current(3, 103)];
    let (mut batch, decided) = outcomes(WriteOutcome::Conflict(rows));

    assert_eq!(decided, [(host(2), WriteOutcome::Conflict(vec![current(2, 777)]))]);
    let again = batch.next_write(START + Millis(80)).expect("the others are written at once");
    let names: Vec<_> = again.put.iter().map(|(name, _)| *name).collect();
    assert_eq!(names, [RowName::Lease(host(1)), RowName::Lease(host(3))]);
}

/// Guards against a holder that learns the outcome of another of its renewals: a request timed out
/// while its renewal was being written, and the replies went to the requests of a host in order.
#[test]
fn each_renewal_is_told_its_own_outcome() {
    let committed = WriteOutcome::Committed(RowVersion(200));
    let unchanged = vec![(RowName::Lease(host(1)), RowVersion(101), Some(vec![9]))];
    let check = |first: WriteOutcome, expected_first: WriteOutcome| {
        let mut batch = RenewalBatch::default();
        batch.submit(renewal(1), "first", START);
        batch.next_write(START + Millis(80)).expect("the batch is due");
        batch.submit(renewal(1), "second", START + Millis(800));
        let replaced = batch.submit(renewal(1), "third", START + Millis(1_600));
        let decided = batch.finished(&first, START + Millis(1_700));
        batch.next_write(START + Millis(2_000)).expect("the next batch is due");
        let last = batch.finished(&committed, START + Millis(2_100));

        assert_eq!(replaced, Some("second"), "{first:?}");
        assert_eq!(decided, [("first", expected_first)], "{first:?}");
        assert_eq!(last, [("third", committed.clone())], "{first:?}");
    };
    check(committed.clone(), committed.clone());
    check(WriteOutcome::Unknown, WriteOutcome::Unknown);
    check(WriteOutcome::NotApplied, WriteOutcome::NotApplied);
    // A refused batch was not applied at all.
    check(WriteOutcome::Conflict(unchanged), WriteOutcome::NotApplied);
}

#[test]
fn a_later_renewal_of_a_host_replaces_the_one_that_waits() {
    let mut batch = RenewalBatch::default();
    assert_eq!(batch.submit(renewal(1), "first", START), None);
    let replaced = batch.submit(renewal(1), "second", START);
    assert_eq!(replaced, Some("first"));
}

/// Load: 33 hosts of a zone that renew each second, at first at different times.
#[test]
fn hosts_that_renew_at_different_times_soon_renew_together() {
    let mut batch = RenewalBatch::default();
    let mut next: Vec<u64> = (0..33).map(|i| 10_000 + (i * 617) % 1_000).collect();
    let (mut batches, mut pending) = (0, None);
    for ms in 10_000..40_000_u64 {
        let now = Millis(ms);
        for (i, at) in next.iter_mut().enumerate().filter(|(_, at)| **at == ms) {
            *at = u64::MAX;
            batch.submit(renewal(i), host(i), now);
        }
        if let Some(write) = batch.next_write(now) {
            assert!(ms < 30_000 || write.put.len() == 33, "{} renewals at {now}", write.put.len());
            batches += u64::from(ms >= 30_000);
            pending = Some(ms + 65);
        }
        if pending == Some(ms) {
            for (host, _) in batch.finished(&WriteOutcome::Committed(RowVersion(1)), now) {
                let i = (0..33).find(|i| self::host(*i) == host).expect("a known host");
                next[i] = ms + batch.next_renewal_in(now).0;
            }
        }
    }
    assert!(batches <= 11, "{batches} batches in 10 s");
}

#[test]
fn all_hosts_of_a_zone_select_the_same_writer() {
    let zone: Vec<HostAddr> = (1..=4).map(host).collect();
    let check = |failures: &[(usize, u64)], after: u64, expected: usize| {
        let mut selector = RenewalWriterSelector::default();
        for (i, at) in failures {
            selector.record_failure(host(*i), START + Millis(*at));
        }
        let now = START + Millis(after);
        assert_eq!(selector.select(host(3), &zone, now), host(expected), "{failures:?}, {after}");
    };
    check(&[], 0, 1);
    check(&[(1, 0)], 100, 2);
    check(&[(1, 0)], 2_500, 1);
    check(&[(1, 0), (2, 100)], 200, 3);
    check(&[(2, 0), (1, 100), (3, 200), (4, 300)], 400, 2);
}
