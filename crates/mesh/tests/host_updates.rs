//! News of the fleet that go from process to process, and whom a process asks for them.

use mesh::{
    HostChanges, HostDirectory, HostUpdate, Upstream, UpstreamCandidates, UpstreamSelector,
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

/// Makes the history of a table out of random bytes: version `n` sets or removes a row.
fn history(bytes: &[u8]) -> Vec<HostUpdate<u8>> {
    let news = |(n, b): (usize, &u8)| {
        let row = (b % 3 != 0).then_some(b / 16);
        (host(1 + b % 7), RowVersion(n as u64 + 1), row)
    };
    bytes.iter().enumerate().map(news).collect()
}

fn read(history: &[HostUpdate<u8>]) -> HostDirectory<u8> {
    let mut directory = HostDirectory::default();
    for news in history {
        directory.update(*news);
        directory.advance_to(news.1);
    }
    directory
}

/// What the random histories are drawn from.
const SEED: u64 = 20_261_204;

fn holds_for_histories<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(1_000).quickcheck(property);
}

#[test]
fn a_process_that_hears_from_one_that_started_late_knows_what_the_store_holds() {
    fn property(bytes: Vec<u8>, cut: usize, joined: usize) -> bool {
        let all = history(&bytes);
        let cut = cut % (all.len() + 1);
        let joined = joined % (all.len() + 1);
        let mut relay = HostDirectory::default();
        let start = read(&all[..joined]);
        relay.apply(start.changes_since(RowVersion(0)));
        for news in &all[joined..] {
            relay.update(*news);
            relay.advance_to(news.1);
        }
        let mut asker = read(&all[..cut]);

        asker.apply(relay.changes_since(asker.position()));

        rows_of(&asker) == rows_of(&read(&all)) && asker.position() == relay.position()
    }

    holds_for_histories(property as fn(Vec<u8>, usize, usize) -> bool);
}

#[test]
fn an_answer_from_the_past_changes_nothing() {
    fn property(bytes: Vec<u8>, cut: usize) -> bool {
        let all = history(&bytes);
        let old = read(&all[..cut % (all.len() + 1)]);
        let mut directory = read(&all);

        directory.apply(old.changes_since(RowVersion(0)));

        rows_of(&directory) == rows_of(&read(&all))
    }

    holds_for_histories(property as fn(Vec<u8>, usize) -> bool);
}

#[test]
fn a_process_that_forgot_what_went_says_everything() {
    let mut relay = HostDirectory::default();
    let mut asker = HostDirectory::default();
    for d in [&mut relay, &mut asker] {
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

    let changes = relay.changes_since(asker.position());
    asker.apply(changes.clone());

    assert!(changes.snapshot_version.is_some());
    assert_eq!(rows_of(&asker), vec![(host(2), 1)]);
}

#[test]
fn a_read_of_the_past_removes_no_host_that_came_since() {
    let check = |floor: u64, expected: &[(HostAddr, u8)]| {
        let mut directory = HostDirectory::default();
        directory.update((host(1), RowVersion(5), Some(1)));
        directory.update((host(2), RowVersion(7), Some(2)));
        directory.update((host(3), RowVersion(2), Some(3)));
        let rows = vec![(host(1), RowVersion(5), Some(1))];
        let whole = Some(RowVersion(floor));
        directory.apply(HostChanges { snapshot_version: whole, position: RowVersion(10), rows });
        assert_eq!(rows_of(&directory), expected, "{floor}");
    };

    check(5, &[(host(1), 1), (host(2), 2)]);
    check(10, &[(host(1), 1)]);
}

#[test]
fn a_host_that_was_missing_by_mistake_comes_back_with_its_old_row() {
    let mut directory = HostDirectory::default();
    directory.update((host(2), RowVersion(7), Some(2)));

    let whole = Some(RowVersion(10));
    directory.apply(HostChanges {
        snapshot_version: whole,
        position: RowVersion(10),
        rows: vec![],
    });
    assert_eq!(rows_of(&directory), vec![]);
    directory.update((host(2), RowVersion(7), Some(2)));

    assert_eq!(rows_of(&directory), vec![(host(2), 2)]);
}

fn zone(hosts: Vec<HostAddr>) -> UpstreamCandidates {
    UpstreamCandidates { same_zone: hosts, earlier_zones: Vec::new() }
}

#[test]
fn one_host_of_a_region_reads_the_store_and_the_others_ask_along_a_tree() {
    let check = |me: u8, zone: Vec<HostAddr>, before: Vec<HostAddr>, expected: Upstream| {
        let mut relays = UpstreamSelector::new(host(me));
        relays.record_contact(Millis(1_000));
        let near = UpstreamCandidates { same_zone: zone, earlier_zones: before };
        assert_eq!(relays.pick(&near, Millis(1_500)), expected, "{me}");
        let reads = relays.should_read_store(&near, Millis(1_500));
        assert_eq!(reads, expected == Upstream::Store, "{me}");
    };

    check(1, hosts(1..=90), vec![], Upstream::Store);
    check(2, hosts(1..=90), vec![], Upstream::Host(host(1)));
    check(33, hosts(1..=90), vec![], Upstream::Host(host(1)));
    check(34, hosts(1..=90), vec![], Upstream::Host(host(2)));
    check(90, hosts(1..=90), vec![], Upstream::Host(host(3)));
    check(5, vec![], vec![], Upstream::Store);
    check(5, hosts(6..=9), vec![], Upstream::Store);
    check(1, hosts(1..=3), hosts(7..=9), Upstream::Host(host(7)));
    check(2, hosts(1..=3), hosts(7..=9), Upstream::Host(host(1)));
}

#[test]
fn a_process_without_fresh_news_reads_for_itself() {
    let near = zone(hosts(1..=3));
    let mut relays = UpstreamSelector::new(host(3));
    assert!(relays.should_read_store(&near, Millis(0)));

    relays.record_contact(Millis(1_000));
    assert!(!relays.should_read_store(&near, Millis(3_000)));
    assert!(relays.should_read_store(&near, Millis(3_200)));

    relays.back_off(host(1), Millis(3_200));
    assert_eq!(relays.pick(&near, Millis(3_200)), Upstream::Host(host(2)));
    relays.back_off(host(2), Millis(3_300));
    assert_eq!(relays.pick(&near, Millis(3_300)), Upstream::Store);
    assert_eq!(relays.pick(&near, Millis(7_250)), Upstream::Host(host(1)));
}

#[test]
fn the_next_host_reads_the_store_before_all_others_do() {
    let near = zone(hosts(1..=4));
    let reads_at = |me: u8| {
        let mut relays = UpstreamSelector::new(host(me));
        relays.record_contact(Millis(1_000));
        // The first host of the zone is found to have nothing fresh.
        relays.back_off(host(1), Millis(2_610));
        (2_620..4_000).find(|now| relays.should_read_store(&near, Millis(*now)))
    };

    assert_eq!(reads_at(2), Some(2_620));
    assert_eq!(reads_at(3), Some(3_101));
    assert_eq!(reads_at(4), Some(3_101));
}

#[test]
fn the_first_host_asks_another_while_the_store_turns_it_away() {
    let near = zone(hosts(1..=3));
    let mut relays = UpstreamSelector::new(host(1));
    relays.record_contact(Millis(1_000));

    assert_eq!(relays.pick(&near, Millis(2_000)), Upstream::Store);
    assert_eq!(relays.pick(&near, Millis(3_000)), Upstream::Host(host(2)));
    assert!(relays.should_read_store(&near, Millis(3_000)));
}

#[test]
fn a_question_is_answered_before_what_is_known_gets_old() {
    let check = |contact: Option<u64>, now: u64, expected: u64| {
        let mut relays = UpstreamSelector::new(host(1));
        contact.into_iter().for_each(|at| relays.record_contact(Millis(at)));
        assert_eq!(relays.poll_wait(Millis(now)), Millis(expected), "{contact:?} {now}");
    };

    check(None, 5_000, 100);
    check(Some(5_000), 5_010, 1_000);
    check(Some(5_000), 6_000, 600);
    check(Some(5_000), 9_000, 100);
}
