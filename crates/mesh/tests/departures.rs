//! Departures of backend servers: what is written, and which heartbeats are from before.

use mesh::{Departure, DepartureLog, Incarnation};
use model::RowVersion;

fn incarnation(started_at: u64, id: &str) -> Incarnation {
    Incarnation { started_at, id: id.into() }
}

fn draining(started_at: u64, seq: u64) -> Departure {
    Departure { incarnation: incarnation(started_at, "b"), seq }
}

fn deregistered(started_at: u64) -> Departure {
    Departure::deregistered(incarnation(started_at, "b"))
}

/// Creates the log of a process that read `stored`.
fn log(stored: Option<Departure>) -> DepartureLog {
    let mut log = DepartureLog::default();
    log.update_stored(RowVersion(u64::from(stored.is_some())), stored);
    log
}

#[test]
fn heartbeats_from_before_a_recorded_departure_are_not_admitted_by_the_next_process() {
    let check = |stored: Option<Departure>, (started_at, id, seq), expected: bool| {
        let admitted = log(stored.clone()).admits(&incarnation(started_at, id), seq);
        assert_eq!(admitted, expected, "{stored:?}: {started_at} {id} {seq}");
    };
    check(None, (5, "b", 1), true);
    check(Some(draining(5, 7)), (5, "b", 6), false);
    check(Some(draining(5, 7)), (5, "b", 7), false);
    check(Some(draining(5, 7)), (5, "b", 8), true);
    check(Some(deregistered(5)), (5, "b", 8), false);
    // The same id is used by an earlier and a later incarnation, another one by another server.
    check(Some(deregistered(5)), (4, "b", 99), false);
    check(Some(deregistered(5)), (6, "b", 1), true);
    check(Some(deregistered(5)), (4, "c", 1), true);
}

#[test]
fn a_departure_is_recorded_once_the_store_has_it() {
    let check = |stored: Option<Departure>, latest: &Departure, expected: bool| {
        let mut log = log(stored.clone());
        match latest.seq {
            u64::MAX => log.record_deregistration(latest.incarnation.clone()),
            seq => log.record_draining(&latest.incarnation, seq),
        }
        assert_eq!(log.is_recorded(), expected, "{latest:?} over {stored:?}");
        assert_eq!(log.next_write().is_none(), expected);
    };
    check(None, &draining(5, 7), false);
    check(Some(draining(5, 7)), &draining(5, 8), true);
    check(Some(draining(5, 7)), &deregistered(5), false);
    check(Some(deregistered(5)), &deregistered(5), true);
    check(Some(deregistered(5)), &draining(6, 1), false);
}

#[test]
fn a_write_in_conflict_is_repeated_over_the_row_that_was_found() {
    let mut log = log(None);
    assert!(log.is_recorded() && !DepartureLog::default().is_recorded());
    log.record_draining(&incarnation(5, "b"), 7);
    assert_eq!(log.next_write(), Some((RowVersion(0), &draining(5, 7))));

    log.update_stored(RowVersion(40), Some(deregistered(3)));
    assert_eq!(log.next_write(), Some((RowVersion(40), &draining(5, 7))));
    log.update_stored(RowVersion(41), Some(draining(5, 7)));
    assert!(log.is_recorded());
}

#[test]
fn a_departure_that_a_rollback_of_the_store_lost_is_written_again() {
    let mut log = log(None);
    log.record_draining(&incarnation(5, "b"), 7);
    log.update_stored(RowVersion::in_era(0, 40), Some(draining(5, 7)));

    log.store_rolled_back();
    let before_read = (log.is_known(), log.is_recorded(), log.wants_read(), log.next_write());
    assert_eq!(before_read, (true, false, true, None));

    log.update_stored(RowVersion::in_era(1, 30), None);
    assert_eq!(log.next_write(), Some((RowVersion::in_era(1, 30), &draining(5, 7))));
    assert!(!log.admits(&incarnation(5, "b"), 7));
}
