//! The memory that is held for clients and their connections: which holder is closed, and when.

use mesh::{ConnectionLimit, HolderId, HolderKind, MemoryBudget, Purpose, StalledHolder};
use model::Millis;

const LIMIT: u64 = 1_000;

#[derive(Clone, Copy)]
enum Event {
    Reserve(usize, u64),
    Grow(usize, u64),
    /// Bytes that wait for no client.
    Use(u64),
    Progress(usize, u64),
    Release(usize, u64),
    /// Bytes no longer wait for the client.
    Unassign(usize, u64),
    Remove(usize),
}
use Event::{Grow, Progress, Release, Remove, Reserve, Unassign, Use};

/// Two clients and another host.
fn replay(events: &[(u64, Event)]) -> (MemoryBudget, [HolderId; 3]) {
    let mut budget = MemoryBudget::new(LIMIT);
    let kinds = [HolderKind::Client, HolderKind::Client, HolderKind::Host];
    let ids = kinds.map(|kind| budget.add_holder(kind, Millis(0)));
    for (at, event) in events {
        let now = Millis(*at);
        match *event {
            Reserve(i, bytes) => {
                if budget.try_use(Purpose::Response, bytes) {
                    budget.assign(ids[i], bytes, now);
                }
            }
            Grow(i, bytes) => {
                budget.use_anyway(bytes);
                budget.assign(ids[i], bytes, now);
            }
            Use(bytes) => budget.use_anyway(bytes),
            Progress(i, bytes) => budget.progress(ids[i], bytes, now),
            Release(i, bytes) => {
                budget.unassign(ids[i], bytes);
                budget.free(bytes);
            }
            Unassign(i, bytes) => budget.unassign(ids[i], bytes),
            Remove(i) => budget.remove_holder(ids[i]),
        }
    }
    (budget, ids)
}

/// Guards against closing a caller that reads in place of one that doesn't, and against closing any
/// caller while there is room.
#[test]
fn the_holder_with_most_bytes_for_longest_is_closed() {
    let check_all =
        |name: &str, events: &[(u64, Event)], needed, expected: &[(usize, u64, u64)]| {
            let (budget, ids) = replay(events);
            let expected: Vec<_> = expected
                .iter()
                .map(|(i, bytes, ms)| StalledHolder {
                    id: ids[*i],
                    bytes: *bytes,
                    stalled_for: Millis(*ms),
                })
                .collect();
            let to_close = budget.holders_to_close(Purpose::Response, needed, Millis(10_000));
            assert_eq!(to_close, expected, "{name}");
        };
    let check = |name: &str, events: &[(u64, Event)], needed, expected: Option<_>| {
        check_all(name, events, needed, expected.as_slice());
    };
    check("nothing held", &[], LIMIT + 1, None);
    check("there is room", &[(0, Reserve(0, 600))], 400, None);
    check("no room", &[(0, Reserve(0, 600))], 401, Some((0, 600, 10_000)));
    check("nearly full", &[(0, Reserve(0, 938))], 0, Some((0, 938, 10_000)));
    check("not yet nearly full", &[(0, Reserve(0, 936))], 0, None);
    check("more bytes", &[(0, Reserve(0, 400)), (0, Reserve(1, 500))], 101, Some((1, 500, 10_000)));
    check("longer", &[(0, Reserve(0, 400)), (5_000, Reserve(1, 500))], 101, Some((0, 400, 10_000)));
    check(
        "all of it was taken by a caller that reads",
        &[(0, Reserve(0, 100)), (0, Reserve(1, 800)), (9_500, Progress(1, 800))],
        101,
        Some((0, 100, 10_000)),
    );
    check(
        "a byte now and then",
        &[(0, Reserve(0, 900)), (9_000, Progress(0, 1)), (9_900, Progress(0, 1))],
        101,
        Some((0, 900, 9_979)),
    );
    check("too recent", &[(9_001, Reserve(0, 1_000))], 1, None);
    check(
        "empty in between",
        &[(0, Reserve(0, 900)), (1, Release(0, 900)), (9_500, Reserve(0, 900))],
        101,
        None,
    );
    check("another host", &[(5_001, Reserve(2, 1_000))], 1, None);
    check(
        "another host that has given up",
        &[(5_000, Reserve(2, 1_000))],
        1,
        Some((2, 1_000, 5_000)),
    );
    check("removed", &[(0, Reserve(0, 1_000)), (1, Remove(0))], 1, None);
    check(
        "enough is about to be freed",
        &[(0, Reserve(0, 500)), (0, Reserve(1, 500)), (1, Remove(0))],
        1,
        None,
    );
    check(
        "bytes that wait for no client",
        &[(0, Use(950)), (0, Reserve(0, 50))],
        0,
        Some((0, 50, 10_000)),
    );
    check("a request that is complete", &[(0, Reserve(0, 990)), (1, Unassign(0, 990))], 100, None);
    check("new bytes have not waited", &[(0, Reserve(0, 90)), (9_950, Reserve(0, 900))], 100, None);
    let three = [(0, Reserve(0, 300)), (0, Reserve(1, 400)), (0, Reserve(2, 250))];
    check_all("down to three quarters", &three, 0, &[(1, 400, 10_000)]);
    check_all("more are needed", &three, 500, &[(1, 400, 10_000), (0, 300, 10_000)]);
}

/// Guards against uploads that leave no room for other requests, and requests that leave none for the
/// responses of those that run.
#[test]
fn what_has_not_begun_finds_no_room_first() {
    let check = |purpose, used: u64, expected: bool| {
        let (mut budget, _) = replay(&[(0, Use(used))]);
        assert_eq!(budget.try_use(purpose, 1), expected, "{purpose:?} at {used}");
    };
    check(Purpose::Body, 874, true);
    check(Purpose::Body, 875, false);
    check(Purpose::Request, 936, true);
    check(Purpose::Request, 937, false);
    check(Purpose::Response, 999, true);
    check(Purpose::Response, 1_000, false);
    check(Purpose::Control, 999, true);
    check(Purpose::Control, 1_000, false);
}

/// Guards against bytes beyond the limit, and against bytes that count forever.
#[test]
fn bytes_count_until_they_are_released() {
    let check = |name: &str, events: &[(u64, Event)], used: u64, nearly_full: bool| {
        let (budget, _) = replay(events);
        assert_eq!((budget.used(), budget.is_nearly_full()), (used, nearly_full), "{name}");
    };
    check("unused", &[], 0, false);
    check("reserved", &[(0, Reserve(0, 600)), (0, Reserve(1, 400))], 1_000, true);
    check("not reserved", &[(0, Reserve(0, 600)), (0, Reserve(1, 401))], 600, false);
    check("held already", &[(0, Reserve(0, 600)), (0, Grow(1, 900))], 1_500, true);
    check("released", &[(0, Reserve(0, 600)), (1, Release(0, 500))], 100, false);
    check("holder removed", &[(0, Reserve(0, 940)), (1, Remove(0))], 940, true);
    check(
        "released after the holder was removed",
        &[(0, Reserve(0, 900)), (1, Remove(0)), (2, Release(0, 900))],
        0,
        false,
    );
}

/// Guards against closing a connection with a request, and against naming one twice.
#[test]
fn the_connection_that_is_idle_longest_is_closed() {
    enum Step {
        Start(usize),
        End(usize),
        Close(usize),
    }
    use Step::{Close, End, Start};
    let check = |name: &str, steps: &[(u64, Step)], expected: Option<(usize, u64)>, has_room| {
        let mut budget = MemoryBudget::new(LIMIT);
        let ids = [0, 1, 2].map(|at| budget.add_holder(HolderKind::Client, Millis(at)));
        let mut limit = ConnectionLimit::new(3);
        for (at, id) in (0..).zip(ids) {
            limit.add(id, Millis(at));
        }
        for (at, step) in steps {
            match step {
                Start(i) => limit.request_started(ids[*i]),
                End(i) => limit.request_ended(ids[*i], Millis(*at)),
                Close(i) => limit.remove(ids[*i]),
            }
        }
        let expected = expected.map(|(i, since)| (ids[i], Millis(since)));
        assert_eq!((limit.longest_idle(), limit.has_room()), (expected, has_room), "{name}");
    };
    check("no requests", &[], Some((0, 0)), false);
    check("one runs", &[(5, Start(0))], Some((1, 1)), false);
    check("all run", &[(5, Start(0)), (5, Start(1)), (5, Start(2))], None, false);
    check("pipelined", &[(5, Start(0)), (5, Start(0)), (6, End(0))], Some((1, 1)), false);
    check(
        "idle since its last response",
        &[(5, Start(0)), (9, End(0)), (5, Start(1)), (8, End(1)), (5, Start(2))],
        Some((1, 8)),
        false,
    );
    check("closed", &[(5, Close(0))], Some((1, 1)), true);
    check(
        "never had a request",
        &[(5, Start(0)), (6, End(0)), (7, Start(1)), (8, End(1))],
        Some((2, 2)),
        false,
    );
}
