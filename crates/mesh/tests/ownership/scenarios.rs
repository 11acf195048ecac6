//! Directed cases: each step by hand.

use mesh::{
    BackendHeartbeat, ConditionalWrite, Incarnation, KeyOwnership, OwnershipTiming, RowName,
    WitnessReply, WriteOutcome, evict, initial_map,
};
use model::{HostAddr, Millis, RowVersion};

use crate::simulation::{Store, addr};

struct Bed {
    store: Store,
    now: Millis,
}

impl Bed {
    fn new() -> Self {
        Self { store: Store::default(), now: Millis(10_000) }
    }

    fn keeper(&mut self, i: usize, process: u64) -> KeyOwnership {
        let mut keeper = KeyOwnership::new(addr(i), process, OwnershipTiming::default(), self.now);
        keeper.update_leases(self.store.leases(), self.now);
        keeper.note_map_read();
        if let Some((version, map)) = self.store.map() {
            keeper.update_map(version, map);
        }
        keeper
    }

    fn beat(&self, keeper: &mut KeyOwnership, i: usize, seq: u64) -> mesh::HeartbeatReply {
        let boot = Incarnation { started_at: 1, id: format!("b{i}") };
        keeper.handle_heartbeat(
            &BackendHeartbeat { incarnation: boot, seq, ..BackendHeartbeat::default() },
            self.now,
        )
    }

    fn settle(&mut self, keeper: &mut KeyOwnership) {
        while let Some(todo) = keeper.next_write(self.now) {
            let written = self.store.apply(&todo);
            keeper.write_finished(written, self.now);
            self.now += Millis(50);
        }
    }

    fn put_map(&mut self, change: impl Fn(Option<mesh::KeyMap>) -> mesh::KeyMap) {
        let old = self.store.map();
        let version = old.as_ref().map_or(RowVersion(0), |(v, _)| *v);
        let map = change(old.map(|(_, m)| m));
        let todo = ConditionalWrite {
            expect: vec![(RowName::Map, version)],
            put: vec![(RowName::Map, map.encode())],
            ..ConditionalWrite::default()
        };
        assert!(matches!(self.store.apply(&todo), WriteOutcome::Committed(_)));
    }

    /// Makes two hosts that own all keys, with leases.
    fn two_owners(&mut self) -> [KeyOwnership; 2] {
        self.put_map(|_| initial_map(&[addr(0), addr(1)]).unwrap());
        let mut both = [self.keeper(0, 1), self.keeper(1, 2)];
        for (i, keeper) in both.iter_mut().enumerate() {
            self.beat(keeper, i, 1);
            self.settle(keeper);
        }
        both
    }

    fn ask_for_move(&mut self, from: HostAddr, to: HostAddr) {
        self.put_map(|map| {
            let mut map = map.unwrap();
            let run = map.ranges.iter_mut().find(|r| r.owner == from).unwrap();
            run.next_owner = Some(to);
            map
        });
    }
}

#[test]
fn a_release_of_an_earlier_process_is_not_made_after_the_next_one_registered() {
    let mut bed = Bed::new();
    let [mut keeper, _other] = bed.two_owners();
    bed.ask_for_move(addr(0), addr(1));
    let (version, map) = bed.store.map().unwrap();
    keeper.update_map(version, map);
    keeper.update_leases(bed.store.leases(), bed.now);
    bed.beat(&mut keeper, 0, 2);
    bed.beat(&mut keeper, 0, 3);
    let late = keeper.next_write(bed.now).unwrap();
    assert_eq!(late.reason, "release");

    let mut next = bed.keeper(0, 9);
    bed.beat(&mut next, 0, 4);
    let register = next.next_write(bed.now).unwrap();
    let registered = bed.store.apply(&register);
    let end = bed.store.apply(&late);

    assert!(matches!(registered, WriteOutcome::Committed(_)), "{registered:?}");
    assert!(matches!(end, WriteOutcome::Conflict(_)), "the late release was made: {end:?}");
}

#[test]
fn a_process_that_read_an_old_map_does_not_register() {
    let mut bed = Bed::new();
    let [_first, _other] = bed.two_owners();
    let mut next = bed.keeper(0, 9);
    bed.put_map(|map| evict(&map.unwrap(), &[addr(0)], &[addr(1)]).unwrap());

    bed.beat(&mut next, 0, 5);
    let todo = next.next_write(bed.now).unwrap();
    let end = bed.store.apply(&todo);

    assert_eq!(todo.reason, "register");
    assert!(matches!(end, WriteOutcome::Conflict(_)), "registered on an old map: {end:?}");
}

/// A host whose next renewal names other witnesses, which ends as `end` says, then asks the ones
/// that the store has.
fn stretched_after(end: WriteOutcome) -> bool {
    let mut bed = Bed::new();
    let [mut keeper, other] = bed.two_owners();
    keeper.update_leases(bed.store.leases(), bed.now);
    bed.now += Millis(1_100);
    let renewal = keeper.next_write(bed.now).unwrap();
    keeper.write_finished(WriteOutcome::Committed(RowVersion(900)), bed.now);
    assert_eq!(renewal.reason, "renew");
    let before = keeper.lease_expiry().unwrap();
    // The other host restarted, so it is a witness under another start.
    drop(other);
    let mut next = bed.keeper(1, 33);
    bed.beat(&mut next, 1, 9);
    bed.settle(&mut next);
    keeper.update_leases(bed.store.leases(), bed.now);
    bed.now += Millis(1_100);
    assert!(keeper.next_write(bed.now).is_some());
    keeper.write_finished(end, bed.now);
    bed.now += Millis(1_000);
    for (_, ask) in keeper.witness_requests(bed.now) {
        keeper.witness_replied(&ask, WitnessReply::Confirmed, bed.now, bed.now);
    }
    keeper.lease_expiry().unwrap() > before
}

#[test]
fn witnesses_count_only_while_the_store_can_hold_no_others() {
    assert!(stretched_after(WriteOutcome::NotApplied), "the store surely has the known witnesses");
    assert!(!stretched_after(WriteOutcome::Unknown), "the store may have others");
}

#[test]
fn nothing_is_granted_without_a_lease_or_to_an_earlier_start() {
    let mut bed = Bed::new();
    let [mut keeper, _other] = bed.two_owners();
    let granted = bed.beat(&mut keeper, 0, 2).grants;
    assert!(granted.is_some_and(|g| !g.is_empty()));

    let boot = Incarnation { started_at: 2, id: "b0".into() };
    let other_start = keeper.handle_heartbeat(
        &BackendHeartbeat { incarnation: boot, seq: 1, ..BackendHeartbeat::default() },
        bed.now,
    );
    assert_eq!(other_start.grants, None, "the fence still is that of the former start");

    let late = bed.beat(&mut keeper, 0, 3);
    assert_eq!(late.grants, None, "a late heartbeat of the former start");

    bed.now += OwnershipTiming::default().base_term;
    let boot = Incarnation { started_at: 2, id: "b0".into() };
    let expired = keeper.handle_heartbeat(
        &BackendHeartbeat { incarnation: boot, seq: 2, ..BackendHeartbeat::default() },
        bed.now,
    );
    assert_eq!(expired.grants, None, "the lease is over");
}

#[test]
fn a_grant_ends_before_the_lease_that_backs_it() {
    let mut bed = Bed::new();
    let [mut keeper, _other] = bed.two_owners();
    let until = keeper.lease_expiry().unwrap();
    for (seq, before_end) in [(2, 2_900), (3, 2_000), (4, 1_000), (5, 150)] {
        let now = until - Millis(before_end);
        let boot = Incarnation { started_at: 1, id: "b0".into() };
        let reply = keeper.handle_heartbeat(
            &BackendHeartbeat { incarnation: boot, seq, ..BackendHeartbeat::default() },
            now,
        );
        let slow_clock = Millis(reply.valid_for.0 * 102 / 100);
        assert!(now + slow_clock < until, "{before_end} ms before the end: {:?}", reply.valid_for);
    }
}
