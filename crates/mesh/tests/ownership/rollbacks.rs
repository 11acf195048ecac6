//! Scenarios in which the store goes back to an earlier state.

use mesh::{
    BackendHeartbeat, ConditionalWrite, Incarnation, KeyMap, KeyOwnership, KeyRange, LeaseReader,
    LeaseRow, WriteOutcome, initial_map,
};
use model::{Fence, Millis, RowVersion};

use crate::scenarios::Fixture;
use crate::simulation::addr;

/// Fences of an era are at least this far above those of the era before.
const FENCES_PER_ERA: u64 = 1 << 20;

/// The longest time for which a host may hold keys by a lease of a former era.
const LONGEST_TERM: Millis = Millis(12_000);

impl Fixture {
    /// Takes the store back to its present state, which begins a new era.
    fn roll_back(&mut self) {
        self.store = self.store.restored_from(&self.store.clone());
    }

    /// Moves key 0 from the first to the second host, and takes the store back to before the move.
    fn moved_and_lost(&mut self) -> [KeyOwnership; 2] {
        let [mut giver, mut receiver] = self.two_owners();
        let copy = self.store.clone();
        self.request_move(addr(0), addr(1));
        for seq in 2..12 {
            self.synchronize(&mut giver, 0, seq);
            self.synchronize(&mut receiver, 1, seq);
            self.now += Millis(100);
        }
        let (_, moved) = self.store.map().unwrap();
        assert_eq!(moved.range_of(0).owner, addr(1));
        self.store = self.store.restored_from(&copy);
        [giver, receiver]
    }

    /// Passes on what the store has, and applies the writes that are due.
    fn synchronize(&mut self, ownership: &mut KeyOwnership, i: usize, seq: u64) {
        if let Some((version, map)) = self.store.map() {
            ownership.update_map(version, map, self.now);
        }
        ownership.note_map_read();
        ownership.update_leases(self.store.leases(), self.now);
        self.heartbeat(ownership, i, seq);
        self.apply_writes(ownership);
    }

    /// Runs one host for some time, and returns when `holds` first does.
    fn run_until(
        &mut self,
        (ownership, i): (&mut KeyOwnership, usize),
        seq: u64,
        span: Millis,
        holds: impl Fn(&Self, &KeyOwnership) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        for seq in seq.. {
            self.synchronize(ownership, i, seq);
            if holds(self, ownership) {
                return Some(self.now.since(start));
            }
            if self.now.since(start) >= span {
                break;
            }
            self.now += Millis(250);
        }
        None
    }
}

/// Guards against rows that hosts of the previous release can't read, or that can't be read from
/// them, during a rolling upgrade.
#[test]
fn rows_are_readable_by_the_previous_release_and_from_it() {
    let row = LeaseRow { process: 7, generation: 3, capacity: 600, ..LeaseRow::default() };
    let mut previous = row.encode();
    previous.truncate(previous.len() - 2);
    let later = LeaseRow { era: 5, unclaimed: true, ..row.clone() };
    assert_eq!(LeaseRow::decode(&previous).unwrap(), row);
    assert_eq!(LeaseRow::decode(&later.encode()).unwrap(), later);
    assert!(later.encode().starts_with(&previous));

    let map = initial_map(&[addr(0), addr(1)]).unwrap();
    let mut later = map.clone();
    (later.era, later.former_fences, later.settled) = (5, Fence(1), true);
    let plain = |m: &KeyMap| mesh::decompress(&m.encode(), 1 << 18).unwrap();
    assert_eq!(KeyMap::decode(&map.encode()).unwrap(), map);
    assert_eq!(KeyMap::decode(&later.encode()).unwrap(), later);
    assert!(plain(&later).starts_with(&plain(&map)) && plain(&later) != plain(&map));
}

/// Guards against a write of a former era that meets its conditions again because versions are
/// reused: it would put owners back that have lost their keys since.
#[test]
fn a_late_write_of_a_former_era_is_void_once_a_host_has_registered_in_the_new_one() {
    let mut fixture = Fixture::new();
    let [mut first, mut second] = fixture.two_owners();
    let mut newcomer = fixture.ownership(2, 3);
    fixture.synchronize(&mut newcomer, 2, 1);
    fixture.now += Millis(2_100);
    let (version, map) = fixture.store.map().unwrap();
    first.update_map(version, map, fixture.now);
    first.update_leases(fixture.store.leases(), fixture.now);
    let late = loop {
        let write = first.next_write(fixture.now).expect("keys are moved to the newcomer");
        if write.reason == "rebalance" {
            break write;
        }
        let written = fixture.store.apply(&write);
        first.write_finished(written, fixture.now);
    };

    fixture.roll_back();
    let before = fixture.store.clone().apply(&late);
    fixture.synchronize(&mut second, 1, 2);
    let after = fixture.store.apply(&late);

    assert!(matches!(before, WriteOutcome::Committed(_)), "{before:?}");
    assert!(matches!(after, WriteOutcome::Conflict(_)), "{after:?}");
}

/// Guards against an eviction based on a row that is older than the holder's last renewal: other
/// witnesses than it names may confirm the holder.
#[test]
fn a_lease_row_of_a_former_era_expires_only_after_the_longest_term() {
    let mut fixture = Fixture::new();
    let [_lost, mut observer] = fixture.two_owners();
    fixture.roll_back();
    fixture.put_map(|map| {
        let mut map = map.unwrap();
        map.enter_era(1);
        let fence = map.allocate_fence();
        map.ranges.iter_mut().for_each(|r| r.fence = fence);
        map.settled = true;
        map
    });

    let evicted = fixture.run_until((&mut observer, 1), 2, Millis(14_000), |f, _| {
        f.store.map().is_some_and(|(_, map)| map.owners() == [addr(1)])
    });

    assert!(evicted.is_some_and(|after| after > LONGEST_TERM), "{evicted:?}");
}

/// Guards against a host that hands over keys which it gave away after the copy was made: their holder
/// may not know of the rollback yet.
#[test]
fn keys_that_are_unclaimed_are_not_handed_over() {
    let mut fixture = Fixture::new();
    let [mut giver, _receiver] = fixture.moved_and_lost();
    let mut newcomer = fixture.ownership(2, 3);
    for seq in 12..16 {
        fixture.synchronize(&mut newcomer, 2, seq);
        fixture.synchronize(&mut giver, 0, seq);
    }

    giver.backend_deregistered();
    for seq in 20..28 {
        let draining = BackendHeartbeat {
            incarnation: Incarnation { started_at: 1, id: "b0".into() },
            seq,
            draining: true,
            ..BackendHeartbeat::default()
        };
        giver.handle_heartbeat(&draining, fixture.now);
        giver.update_leases(fixture.store.leases(), fixture.now);
        fixture.apply_writes(&mut giver);
        fixture.synchronize(&mut newcomer, 2, seq);
        fixture.now += Millis(250);
    }

    let (_, map) = fixture.store.map().unwrap();
    assert_eq!(map.range_of(0).owner, addr(0));
    assert_eq!(map.owned_by(addr(0)).count(), 1, "the other keys are handed over");
}

/// Guards against the eviction of a host whose keys in the restored map are held by another one, which
/// received them after the copy was made and does not know of the rollback yet.
#[test]
fn keys_that_are_unclaimed_are_taken_over_only_after_the_longest_term() {
    let mut fixture = Fixture::new();
    let [mut lost, mut observer] = fixture.two_owners();
    fixture.roll_back();
    fixture.synchronize(&mut lost, 0, 2);
    fixture.synchronize(&mut observer, 1, 2);

    let evicted = fixture.run_until((&mut observer, 1), 3, Millis(14_000), |f, _| {
        f.store.map().is_some_and(|(_, map)| map.owners() == [addr(1)])
    });

    assert!(evicted.is_some_and(|after| after > LONGEST_TERM), "{evicted:?}");
}

/// Guards against a restarted process that grants what a map of a former era assigns to its host:
/// another host may hold it by a map that is gone, under a higher fence.
#[test]
fn a_process_that_starts_after_the_rollback_waits_and_raises_the_fences() {
    let mut fixture = Fixture::new();
    let [_former, _other] = fixture.two_owners();
    fixture.roll_back();
    let mut next = fixture.ownership(0, 9);

    let granted = fixture.run_until((&mut next, 0), 2, Millis(14_000), |f, ownership| {
        let held = (0..=u16::MAX).step_by(997).filter_map(|k| ownership.check_key(k, f.now).ok());
        let held: Vec<Fence> = held.collect();
        assert!(held.iter().all(|fence| fence.0 > FENCES_PER_ERA), "{held:?}");
        !held.is_empty()
    });

    assert!(granted.is_some_and(|after| after > LONGEST_TERM), "{granted:?}");
}

/// Guards against a restarted process that takes the unclaimed keys of the one before it, which has
/// registered in the new era, for claimed ones.
#[test]
fn a_process_that_starts_during_the_wait_does_not_hold_unclaimed_keys() {
    let mut fixture = Fixture::new();
    let [mut giver, _receiver] = fixture.moved_and_lost();
    fixture.synchronize(&mut giver, 0, 12);
    fixture.synchronize(&mut giver, 0, 13);
    let mut next = fixture.ownership(0, 9);

    let granted = fixture.run_until((&mut next, 0), 14, Millis(14_000), |f, ownership| {
        ownership.check_key(0, f.now).is_ok()
    });

    assert!(granted.is_some_and(|after| after > LONGEST_TERM), "{granted:?}");
    assert!(next.check_key(0, fixture.now).is_ok_and(|fence| fence.0 > FENCES_PER_ERA));
}

/// Guards against keys that are kept after the lease of the former era has ended without one of the new
/// era: from then on, others may claim them.
#[test]
fn keys_are_not_kept_once_the_lease_of_the_former_era_has_ended() {
    let mut fixture = Fixture::new();
    let [mut ownership, _other] = fixture.two_owners();
    fixture.roll_back();
    ownership.record_era(1, fixture.now);
    let until = ownership.lease_expiry().expect("the lease of the former era goes on");
    assert_eq!(ownership.next_write(until), None);
    fixture.now = until;

    let granted = fixture.run_until((&mut ownership, 0), 2, Millis(14_000), |f, ownership| {
        ownership.check_key(0, f.now).is_ok()
    });

    assert!(granted.is_some_and(|after| until + after > Millis(10_000) + LONGEST_TERM));
    assert!(ownership.check_key(0, fixture.now).is_ok_and(|fence| fence.0 > FENCES_PER_ERA));
}

/// Guards against a wait at every later restart: once all keys are claimed, a process goes on with
/// those of the one before it.
#[test]
fn a_process_that_starts_later_goes_on_with_the_keys_of_the_one_before() {
    let mut fixture = Fixture::new();
    let [mut former, _other] = fixture.two_owners();
    fixture.synchronize(&mut former, 0, 2);
    let before = former.check_key(0, fixture.now);
    fixture.roll_back();
    fixture.synchronize(&mut former, 0, 3);
    fixture.synchronize(&mut former, 0, 4);
    let kept = former.check_key(0, fixture.now);
    let mut next = fixture.ownership(0, 9);

    let granted = fixture.run_until((&mut next, 0), 5, Millis(2_000), |f, ownership| {
        ownership.check_key(0, f.now).is_ok()
    });

    assert!(kept.is_ok() && kept == before, "{kept:?} after {before:?}");
    assert!(granted.is_some());
}

/// Guards against keys without an owner that is known to others: a host that received them after the
/// copy was made writes itself as their owner, and keeps serving them.
#[test]
fn a_host_claims_the_keys_that_it_received_after_the_copy_was_made() {
    let mut fixture = Fixture::new();
    let [mut giver, mut receiver] = fixture.moved_and_lost();

    for seq in 12..16 {
        fixture.synchronize(&mut giver, 0, seq);
        assert!(giver.check_key(0, fixture.now).is_err());
        fixture.synchronize(&mut receiver, 1, seq);
        fixture.now += Millis(50);
    }

    let (_, map) = fixture.store.map().unwrap();
    assert_eq!(map.range_of(0).owner, addr(1));
    assert_eq!(receiver.check_key(0, fixture.now), Ok(map.range_of(0).fence));
    assert!(map.range_of(0).fence.0 > FENCES_PER_ERA);
}

/// Guards against outcomes and rows of a former era that arrive after the new one was noticed.
#[test]
fn what_a_former_era_tells_is_not_taken() {
    let mut fixture = Fixture::new();
    let [mut ownership, _other] = fixture.two_owners();
    let former = fixture.store.clone();
    fixture.now += Millis(1_100);
    let renewal = ownership.next_write(fixture.now).expect("a renewal");
    let renewed = fixture.store.apply(&renewal);
    fixture.store = fixture.store.restored_from(&former);
    let until = ownership.lease_expiry();

    let noticed = ownership.record_era(1, fixture.now);
    ownership.write_finished(renewed, fixture.now);
    let (version, map) = former.map().unwrap();
    let map_taken = ownership.update_map(RowVersion(version.0 + 100), map, fixture.now);
    ownership.update_leases(former.leases(), fixture.now);
    let write: Option<ConditionalWrite> = ownership.next_write(fixture.now);

    assert!(noticed && !map_taken);
    assert_eq!(ownership.lease_expiry(), until);
    assert!(ownership.wants_lease_read(LeaseReader::Member, fixture.now));
    assert_eq!(write, None);
}

/// Guards against an initial map, and against keys that are kept without any map, when the copy is older
/// than the first map: hosts that don't know of the rollback may still hold keys.
#[test]
fn without_a_map_nothing_is_held_until_an_initial_map_is_written_after_the_longest_term() {
    let mut fixture = Fixture::new();
    let empty = fixture.store.clone();
    let [mut ownership, _other] = fixture.two_owners();
    fixture.store = fixture.store.restored_from(&empty);
    ownership.record_era(1, fixture.now);

    let written = fixture.run_until((&mut ownership, 0), 2, Millis(16_000), |f, ownership| {
        let has_map = f.store.map().is_some();
        assert!(has_map || ownership.check_key(0, f.now).is_err());
        has_map
    });

    assert!(written.is_some_and(|after| after > LONGEST_TERM), "{written:?}");
    let (_, map) = fixture.store.map().unwrap();
    assert!(map.ranges.iter().all(|r| r.fence.0 > FENCES_PER_ERA));
}

/// Guards against a restarted backend server that is granted an unclaimed key under the fence that is
/// raised for its restart, while another one holds the key.
#[test]
fn a_restart_of_the_backend_server_does_not_claim_keys() {
    let mut fixture = Fixture::new();
    let [mut giver, _receiver] = fixture.moved_and_lost();
    fixture.synchronize(&mut giver, 0, 12);
    fixture.synchronize(&mut giver, 0, 13);
    let incarnation = Incarnation { started_at: 2, id: "b0".into() };

    for seq in 1..4 {
        let first =
            BackendHeartbeat { incarnation: incarnation.clone(), seq, ..Default::default() };
        giver.handle_heartbeat(&first, fixture.now);
        fixture.apply_writes(&mut giver);
    }

    let (_, map) = fixture.store.map().unwrap();
    assert!(map.range_of(0).fence.0 < FENCES_PER_ERA);
    assert!(giver.check_key(0, fixture.now).is_err());
    let raised = map.owned_by(addr(0)).filter(|r| r.fence.0 > FENCES_PER_ERA).count();
    assert!(raised > 1, "the fences of the other keys are raised");
}

/// Guards against unclaimed ranges that get a new fence because their list is too long for a reply.
#[test]
fn a_long_list_of_unclaimed_ranges_is_not_merged() {
    let mut fixture = Fixture::new();
    let range = |i: u16| KeyRange {
        from: i * 128,
        to: i * 128 + 127,
        owner: addr(0),
        fence: Fence(1 + u64::from(i % 2)),
        handover: String::new(),
        next_owner: None,
    };
    fixture.put_map(|_| KeyMap {
        last_fence: Fence(2),
        ranges: (0..512).map(range).collect(),
        ..KeyMap::default()
    });
    fixture.roll_back();
    let mut next = fixture.ownership(0, 9);
    fixture.synchronize(&mut next, 0, 1);

    let granted = fixture.run_until((&mut next, 0), 2, Millis(14_000), |f, ownership| {
        ownership.check_key(0, f.now).is_ok()
    });

    assert!(granted.is_some_and(|after| after > LONGEST_TERM), "{granted:?}");
}

/// Guards against a release of a former era that is written again in the new one: it may have been
/// written before, and the next holder may not know of the rollback yet.
#[test]
fn a_release_of_a_former_era_is_not_written_again() {
    let mut fixture = Fixture::new();
    let [mut giver, _receiver] = fixture.two_owners();
    let copy = fixture.store.clone();
    fixture.request_move(addr(0), addr(1));
    let (version, map) = fixture.store.map().unwrap();
    giver.update_map(version, map, fixture.now);
    giver.update_leases(fixture.store.leases(), fixture.now);
    for seq in 2..4 {
        fixture.heartbeat(&mut giver, 0, seq);
    }
    let release = giver.next_write(fixture.now).expect("the keys are released");
    assert_eq!(release.reason, "release");
    giver.write_finished(WriteOutcome::Unknown, fixture.now);

    fixture.store = fixture.store.restored_from(&copy);
    let moved = fixture.run_until((&mut giver, 0), 4, Millis(2_000), |f, _| {
        f.store.map().is_some_and(|(_, map)| map.range_of(0).owner != addr(0))
    });

    assert_eq!(moved, None);
    assert!(giver.check_key(0, fixture.now).is_err());
}
