//! Propagation of host updates between processes, and the selection of the update source.

use mesh::{
    HostChanges, HostDirectory, HostUpdate, UpdateSource, UpdateSourceCandidates,
    UpdateSourceSelector,
};
use model::{HostAddr, Millis, RowVersion};
use quickcheck::{Gen, QuickCheck};

fn host(i: u8) -> HostAddr {
    HostAddr(format!("10.0.0.{i}:7000").parse().unwrap())
}

fn hosts(range: std::ops::RangeInclusive<u8>) -> Vec<HostAddr> {
    range.map(host).collect()
}

fn rows_of(directory: &HostDirectory<u8>) -> Vec<(HostAddr, u8)> {
    directory.iter().map(|(h, row)| (h, *row)).collect()
}

/// Creates a history of updates from random bytes: version `n` sets or deletes a row.
fn history(bytes: &[u8]) -> Vec<HostUpdate<u8>> {
    let update = |(n, b): (usize, &u8)| {
        let row = (b % 3 != 0).then_some(b / 16);
        (host(1 + b % 7), RowVersion(n as u64 + 1), row)
    };
    bytes.iter().enumerate().map(update).collect()
}

fn directory_after(history: &[HostUpdate<u8>]) -> HostDirectory<u8> {
    let mut directory = HostDirectory::default();
    for update in history {
        directory.update(*update);
        directory.advance_to(update.1);
    }
    directory
}

/// The seed of the random histories.
const SEED: u64 = 20_261_204;

fn holds_for_histories<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(1_000).quickcheck(property);
}

#[test]
fn updates_from_a_process_that_started_late_are_complete() {
    fn property(bytes: Vec<u8>, client_at: usize, started_at: usize) -> bool {
        let all = history(&bytes);
        let client_at = client_at % (all.len() + 1);
        let started_at = started_at % (all.len() + 1);
        let mut relay = HostDirectory::default();
        let start = directory_after(&all[..started_at]);
        relay.apply(start.changes_since(RowVersion(0)));
        for update in &all[started_at..] {
            relay.update(*update);
            relay.advance_to(update.1);
        }
        let mut client = directory_after(&all[..client_at]);

        client.apply(relay.changes_since(client.position()));

        rows_of(&client) == rows_of(&directory_after(&all)) && client.position() == relay.position()
    }

    holds_for_histories(property as fn(Vec<u8>, usize, usize) -> bool);
}

#[test]
fn a_stale_snapshot_changes_nothing() {
    fn property(bytes: Vec<u8>, client_at: usize) -> bool {
        let all = history(&bytes);
        let old = directory_after(&all[..client_at % (all.len() + 1)]);
        let mut directory = directory_after(&all);

        directory.apply(old.changes_since(RowVersion(0)));

        rows_of(&directory) == rows_of(&directory_after(&all))
    }

    holds_for_histories(property as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_process_that_discarded_tombstones_sends_a_snapshot() {
    let mut relay = HostDirectory::default();
    let mut client = HostDirectory::default();
    for d in [&mut relay, &mut client] {
        d.update((host(1), RowVersion(1), Some(1)));
        d.update((host(2), RowVersion(2), Some(1)));
        d.advance_to(RowVersion(2));
    }
    relay.update((host(1), RowVersion(3), None));
    for i in 0..300_u64 {
        let other = HostAddr(format!("10.1.{}.{}:7000", i / 250, 1 + i % 250).parse().unwrap());
        relay.update((other, RowVersion(4 + 2 * i), Some(1)));
        relay.update((other, RowVersion(5 + 2 * i), None));
    }
    relay.advance_to(RowVersion(700));

    let changes = relay.changes_since(client.position());
    client.apply(changes.clone());

    assert!(changes.snapshot_version.is_some());
    assert_eq!(rows_of(&client), vec![(host(2), 1)]);
}

#[test]
fn a_stale_read_removes_no_host_that_was_added_since() {
    let check = |snapshot_version: u64, expected: &[(HostAddr, u8)]| {
        let mut directory = HostDirectory::default();
        directory.update((host(1), RowVersion(5), Some(1)));
        directory.update((host(2), RowVersion(7), Some(2)));
        directory.update((host(3), RowVersion(2), Some(3)));
        let rows = vec![(host(1), RowVersion(5), Some(1))];
        let snapshot_version = Some(RowVersion(snapshot_version));
        directory.apply(HostChanges { snapshot_version, position: RowVersion(10), rows });
        assert_eq!(rows_of(&directory), expected, "{snapshot_version:?}");
    };

    check(5, &[(host(1), 1), (host(2), 2)]);
    check(10, &[(host(1), 1)]);
}

#[test]
fn a_host_missing_from_a_wrong_snapshot_is_restored_by_its_old_row() {
    let mut directory = HostDirectory::default();
    directory.update((host(2), RowVersion(7), Some(2)));

    let snapshot_version = Some(RowVersion(10));
    directory.apply(HostChanges { snapshot_version, position: RowVersion(10), rows: vec![] });
    assert_eq!(rows_of(&directory), vec![]);
    directory.update((host(2), RowVersion(7), Some(2)));

    assert_eq!(rows_of(&directory), vec![(host(2), 2)]);
}

fn zone(hosts: Vec<HostAddr>) -> UpdateSourceCandidates {
    UpdateSourceCandidates { same_zone: hosts, earlier_zones: Vec::new() }
}

#[test]
fn one_host_of_a_region_reads_the_store_and_the_others_poll_along_a_tree() {
    let check = |me: u8, zone: Vec<HostAddr>, before: Vec<HostAddr>, expected: UpdateSource| {
        let mut selector = UpdateSourceSelector::new(host(me), Millis(0));
        selector.record_contact(Millis(1_000));
        let candidates = UpdateSourceCandidates { same_zone: zone, earlier_zones: before };
        assert_eq!(selector.pick(&candidates, Millis(1_500)), expected, "{me}");
        let reads = selector.should_read_store(&candidates, Millis(1_500));
        assert_eq!(reads, expected == UpdateSource::Store, "{me}");
    };

    check(1, hosts(1..=90), vec![], UpdateSource::Store);
    check(2, hosts(1..=90), vec![], UpdateSource::Host(host(1)));
    check(33, hosts(1..=90), vec![], UpdateSource::Host(host(1)));
    check(34, hosts(1..=90), vec![], UpdateSource::Host(host(2)));
    check(90, hosts(1..=90), vec![], UpdateSource::Host(host(3)));
    check(5, vec![], vec![], UpdateSource::Store);
    check(5, hosts(6..=9), vec![], UpdateSource::Store);
    check(1, hosts(1..=3), hosts(7..=9), UpdateSource::Host(host(7)));
    check(2, hosts(1..=3), hosts(7..=9), UpdateSource::Host(host(1)));
}

#[test]
fn a_process_with_stale_data_reads_the_store_itself() {
    let candidates = zone(hosts(1..=3));
    let mut selector = UpdateSourceSelector::new(host(3), Millis(0));
    assert!(!selector.should_read_store(&candidates, Millis(1_900)), "it has just started");
    assert!(selector.should_read_store(&candidates, Millis(1_901)));

    selector.record_contact(Millis(1_000));
    assert!(!selector.should_read_store(&candidates, Millis(2_900)));
    assert!(selector.should_read_store(&candidates, Millis(2_901)));

    selector.back_off(host(1), Millis(3_200));
    assert_eq!(selector.pick(&candidates, Millis(3_200)), UpdateSource::Host(host(2)));
    selector.back_off(host(2), Millis(3_300));
    assert_eq!(selector.pick(&candidates, Millis(3_300)), UpdateSource::Store);
    assert_eq!(selector.pick(&candidates, Millis(7_250)), UpdateSource::Host(host(1)));
}

#[test]
fn the_next_hosts_read_the_store_one_after_the_other() {
    let candidates = zone(hosts(1..=90));
    let reads_at = |me: u8| {
        let mut selector = UpdateSourceSelector::new(host(me), Millis(0));
        selector.record_contact(Millis(1_000));
        // The first host of the zone turns out to have only stale data.
        selector.back_off(host(1), Millis(2_610));
        (2_620..5_000).find(|now| selector.should_read_store(&candidates, Millis(*now)))
    };

    assert_eq!(reads_at(2), Some(2_620));
    assert_eq!(reads_at(3), Some(2_901));
    assert_eq!(reads_at(4), Some(3_051));
    assert_eq!(reads_at(90), Some(4_101));
}

#[test]
fn a_process_reads_the_store_at_once_only_if_few_hosts_come_before_it() {
    let check = |me: u8, expected: bool| {
        let mut selector = UpdateSourceSelector::new(host(me), Millis(0));
        selector.record_contact(Millis(1_000));
        (1..me).for_each(|h| selector.back_off(host(h), Millis(1_100)));
        let reads = selector.should_read_store(&zone(hosts(1..=9)), Millis(1_200));
        assert_eq!(reads, expected, "{me}");
    };
    check(2, true);
    check(3, true);
    check(4, false);
}

/// Load: a store that rejects every call, for 10 s. The reads of a region are counted.
#[test]
fn a_store_that_rejects_all_hosts_is_called_no_more_often_by_large_regions() {
    let calls_in_10_s = |count: u8| -> u64 {
        let candidates = zone(hosts(1..=count));
        let delay =
            |me| UpdateSourceSelector::new(host(me), Millis(0)).read_retry_delay(&candidates);
        (1..=count).map(|me| 10_000 / delay(me).0).sum()
    };
    let (small, large) = (calls_in_10_s(6), calls_in_10_s(98));
    assert!(large < 3 * small, "{small} calls with 6 hosts, {large} with 98");
}

#[test]
fn the_first_host_polls_another_one_while_the_store_rejects_it() {
    let candidates = zone(hosts(1..=3));
    let mut selector = UpdateSourceSelector::new(host(1), Millis(0));
    selector.record_contact(Millis(1_000));

    assert_eq!(selector.pick(&candidates, Millis(2_000)), UpdateSource::Store);
    assert_eq!(selector.pick(&candidates, Millis(3_000)), UpdateSource::Host(host(2)));
    assert!(selector.should_read_store(&candidates, Millis(3_000)));
}

#[test]
fn a_poll_is_answered_before_the_data_becomes_stale() {
    let check = |contact: Option<u64>, now: u64, expected: u64| {
        let mut selector = UpdateSourceSelector::new(host(1), Millis(0));
        contact.into_iter().for_each(|at| selector.record_contact(Millis(at)));
        assert_eq!(selector.poll_wait(Millis(now)), Millis(expected), "{contact:?} {now}");
    };

    check(None, 5_000, 100);
    check(Some(5_000), 5_010, 1_000);
    check(Some(5_000), 6_000, 600);
    check(Some(5_000), 9_000, 100);
}
