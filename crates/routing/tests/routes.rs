//! The route cache keeps the newest table and has at most one query in flight per cell.

use model::{CellId, Fence, HostAddr, Millis, Partition, RowVersion, ServiceName};
use ownership::{RouteEntry, RouteTable, RoutesVersion};
use routing::retry::RouteChange;
use routing::routes::{RouteCache, TableFreshness, route_change};

const MAX_AGE: Millis = Millis(5_000);

fn cell() -> CellId {
    CellId { service: ServiceName::new("playlists").unwrap(), index: 3 }
}

fn host(n: u8) -> HostAddr {
    HostAddr(([127, 0, 0, n], 7_000).into())
}

fn version(row: u64, revision: u32) -> RoutesVersion {
    RoutesVersion { row: RowVersion(row), revision }
}

fn entry(partition: u32, fence: u64, owner: u8) -> RouteEntry {
    RouteEntry { partition: Partition(partition), fence: Fence(fence), owner: host(owner) }
}

fn table(version: RoutesVersion, routes: Vec<RouteEntry>) -> RouteTable {
    RouteTable { version, grantors: vec![host(101), host(102)], members: vec![], routes }
}

#[test]
fn the_newest_table_wins_in_any_order() {
    let check = |second: RoutesVersion, freshness, owner: u8| {
        let mut cache = RouteCache::default();
        cache.learn(&cell(), table(version(5, 1), vec![entry(7, 4, 1)]), Millis(10));
        let other = table(second, vec![entry(7, 6, 2), entry(9, 6, 1)]);
        assert_eq!(cache.learn(&cell(), other, Millis(20)), freshness);
        assert_eq!(cache.route(&cell(), Partition(7)).map(|r| r.owner), Some(host(owner)));
        assert_eq!(cache.route(&cell(), Partition(8)), None);
    };
    check(version(5, 0), TableFreshness::Older, 1);
    check(version(4, 9), TableFreshness::Older, 1);
    check(version(5, 1), TableFreshness::Same, 1);
    check(version(5, 2), TableFreshness::Newer, 2);
    check(version(6, 0), TableFreshness::Newer, 2);
}

#[test]
fn one_query_is_in_flight_per_cell() {
    let mut cache = RouteCache::default();
    let first = cache.next_query(&cell(), MAX_AGE, Millis(1_000)).unwrap();
    assert_eq!((first.have, first.to), (RoutesVersion::default(), None));
    assert_eq!(cache.next_query(&cell(), MAX_AGE, Millis(1_050)), None);
    assert!(cache.next_query(&cell(), MAX_AGE, Millis(1_300)).is_some(), "the query timed out");
    cache.learn(&cell(), table(version(5, 0), vec![]), Millis(1_310));
    assert_eq!(cache.next_query(&cell(), MAX_AGE, Millis(1_400)), None);
    assert_eq!(cache.age(&cell(), Millis(1_400)), Some(Millis(90)));
    assert!(cache.next_query(&cell(), MAX_AGE, Millis(6_400)).is_some(), "the table is too old");
}

#[test]
fn a_stale_route_is_queried_with_backoff() {
    let mut cache = RouteCache::default();
    cache.learn(&cell(), table(version(5, 0), vec![entry(7, 4, 1)]), Millis(0));
    cache.mark_stale(&cell(), version(4, 0));
    assert_eq!(cache.next_query(&cell(), MAX_AGE, Millis(100)), None, "the cached table is newer");
    cache.mark_stale(&cell(), version(5, 0));
    let mut queries = Vec::new();
    for now in (100..2_000).map(Millis) {
        if let Some(query) = cache.next_query(&cell(), MAX_AGE, now) {
            queries.push((now.0, query.to));
            cache.confirm(&cell(), now);
        }
    }
    let times: Vec<u64> = queries.iter().map(|q| q.0).collect();
    assert_eq!(times, [100, 140, 220, 380, 700, 1_020, 1_340, 1_660, 1_980]);
    assert_ne!(queries[0].1, queries[1].1, "the next query goes to another grantor");
    cache.learn(&cell(), table(version(6, 0), vec![entry(7, 6, 2)]), Millis(2_000));
    assert_eq!(cache.next_query(&cell(), MAX_AGE, Millis(2_100)), None);
}

#[test]
fn only_a_change_of_the_same_partition_counts() {
    let check = |before: Option<RouteEntry>, after: Option<RouteEntry>, expected| {
        assert_eq!(route_change(before, after), expected, "{before:?} {after:?}");
    };
    let known = Some(entry(7, 4, 1));
    check(known, known, RouteChange::Unchanged);
    check(known, Some(entry(7, 6, 1)), RouteChange::Changed);
    check(known, Some(entry(7, 4, 2)), RouteChange::Changed);
    check(known, None, RouteChange::Unchanged);
    check(None, known, RouteChange::Changed);
    check(None, None, RouteChange::Unchanged);
}
