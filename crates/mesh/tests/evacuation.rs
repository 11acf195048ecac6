//! Updates about evacuated zones, in any order and from stale reads.

use mesh::{Evacuations, ZoneEvacuation};
use model::{RowVersion, ZoneName};

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

fn row(name: &str, version: u64, active: bool) -> ZoneEvacuation {
    ZoneEvacuation { zone: zone(name), version: RowVersion(version), active }
}

enum Event {
    /// A change in the feed of the store: a zone, the version, and whether the row exists.
    Feed(&'static str, u64, bool),
    /// What another host knows.
    Host(&'static [(&'static str, u64, bool)]),
    /// A complete read of this version, with the rows that it listed.
    Read(u64, &'static [(&'static str, u64)]),
}

use Event::{Feed, Host, Read};

fn apply(evacuations: &mut Evacuations, event: &Event) -> Vec<ZoneEvacuation> {
    match event {
        Feed(name, version, active) => {
            evacuations.update(row(name, *version, *active)).into_iter().collect()
        }
        Host(rows) => {
            evacuations.merge(rows.iter().map(|(n, version, a)| row(n, *version, *a)).collect())
        }
        Read(read_at, rows) => {
            let rows = rows.iter().map(|(name, version)| row(name, *version, true)).collect();
            evacuations.apply_read(rows, RowVersion(*read_at))
        }
    }
}

/// Guards against an evacuation that a stale or reordered update ends, and against one that such an
/// update starts again.
#[test]
fn the_newest_update_of_a_zone_decides_in_any_order() {
    let check = |name: &str, events: &[Event], expected: &[&str]| {
        let mut evacuations = Evacuations::default();
        for event in events {
            apply(&mut evacuations, event);
        }
        let active: Vec<&str> = evacuations.active().map(|z| z.as_str()).collect();
        assert_eq!(active, expected, "{name}");
        for zone_name in ["a", "b"] {
            let evacuated = evacuations.is_evacuated(&zone(zone_name));
            assert_eq!(evacuated, expected.contains(&zone_name), "{name}, zone {zone_name}");
        }
    };
    check("nothing known", &[], &[]);
    check("written", &[Feed("a", 9, true)], &["a"]);
    check("removed", &[Feed("a", 9, true), Feed("a", 12, false)], &[]);
    check("reordered removal", &[Feed("a", 12, false), Feed("a", 9, true)], &[]);
    check(
        "written again",
        &[Feed("a", 9, true), Feed("a", 12, false), Feed("a", 15, true)],
        &["a"],
    );
    check("late removal", &[Feed("a", 15, true), Feed("a", 12, false)], &["a"]);
    check("two zones", &[Feed("b", 9, true), Feed("a", 10, true)], &["a", "b"]);
    check("only one removed", &[Read(10, &[("a", 8), ("b", 9)]), Feed("a", 11, false)], &["b"]);
    check("missing in a read", &[Feed("a", 9, true), Read(12, &[])], &[]);
    check("missing in a stale read", &[Feed("a", 9, true), Read(8, &[])], &["a"]);
    check("missing in the read of its version", &[Feed("a", 9, true), Read(9, &[])], &["a"]);
    check("listed in a stale read", &[Feed("a", 12, false), Read(10, &[("a", 9)])], &[]);
    check(
        "listed in a stale read after one that did not",
        &[Read(10, &[("a", 9)]), Read(13, &[]), Read(11, &[("a", 9)])],
        &[],
    );
    check(
        "written after a read that did not list it",
        &[Read(10, &[("a", 9)]), Read(13, &[]), Feed("a", 14, true)],
        &["a"],
    );
    check("from another host", &[Host(&[("a", 9, true), ("b", 3, false)])], &["a"]);
    check("from a host that is behind", &[Feed("a", 12, false), Host(&[("a", 9, true)])], &[]);
    check("from a host that is ahead", &[Feed("a", 9, true), Host(&[("a", 12, false)])], &[]);
    check("from a host that knows nothing", &[Feed("a", 9, true), Host(&[])], &["a"]);
}

/// Guards against log lines and work for updates that change nothing, and changes that go unnoticed.
#[test]
fn only_changes_are_reported() {
    let check = |first: &[Event], event: Event, expected: &[(&str, bool)]| {
        let mut evacuations = Evacuations::default();
        for event in first {
            apply(&mut evacuations, event);
        }
        let changed = apply(&mut evacuations, &event);
        let changed: Vec<_> = changed.iter().map(|z| (z.zone.as_str(), z.active)).collect();
        assert_eq!(changed, expected);
    };
    check(&[], Feed("a", 9, true), &[("a", true)]);
    check(&[], Feed("a", 9, false), &[]);
    check(&[Feed("a", 9, true)], Feed("a", 9, true), &[]);
    check(&[Feed("a", 9, true)], Feed("a", 10, true), &[]);
    check(&[Feed("a", 9, true)], Read(12, &[("b", 11)]), &[("a", false), ("b", true)]);
    check(&[Feed("a", 9, true)], Read(12, &[("a", 9)]), &[]);
}

/// Guards against hosts that learn late, and against replies without end to a host that knows more.
#[test]
fn a_host_has_news_only_for_hosts_that_are_behind() {
    let check = |own: &[(&str, u64, bool)], other: &[(&str, u64, bool)], expected: bool| {
        let rows = |all: &[(&str, u64, bool)]| -> Vec<ZoneEvacuation> {
            all.iter().map(|(name, version, active)| row(name, *version, *active)).collect()
        };
        let mut evacuations = Evacuations::default();
        evacuations.merge(rows(own));
        assert_eq!(evacuations.has_news_for(&rows(other)), expected, "{own:?}, {other:?}");
    };
    check(&[], &[], false);
    check(&[], &[("a", 9, true)], false);
    check(&[("a", 9, true)], &[], true);
    check(&[("a", 9, true)], &[("a", 9, true)], false);
    check(&[("a", 9, true)], &[("a", 12, false)], false);
    check(&[("a", 12, false)], &[("a", 9, true)], true);
    check(&[("a", 9, true), ("b", 3, true)], &[("a", 9, true)], true);
}
