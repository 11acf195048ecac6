//! Scenarios in which every step is given explicitly.

use mesh::{
    BackendHeartbeat, ConditionalWrite, GrantCall, GrantCallId, GrantCallOutcome, GrantDelivery,
    Incarnation, KeyOwnership, KeyRejection, KeyRequestCounts, LeaseObserver, LeaseReader,
    LeaseRow, OwnershipTiming, PeerHost, RowName, WitnessReply, WriteOutcome, evict, initial_map,
};
use model::{Fence, HostAddr, Millis, RowVersion};

use crate::simulation::{Store, addr};

/// Hosts at a store, whose every step is given.
pub struct Fixture {
    pub store: Store,
    pub now: Millis,
}

impl Fixture {
    pub fn new() -> Self {
        Self { store: Store::default(), now: Millis(10_000) }
    }

    pub fn ownership(&mut self, i: usize, process: u64) -> KeyOwnership {
        let mut ownership =
            KeyOwnership::new(addr(i), process, OwnershipTiming::default(), self.now);
        ownership.update_leases(self.store.leases(), self.now);
        ownership.note_map_read();
        if let Some((version, map)) = self.store.map() {
            ownership.update_map(version, map, self.now);
        }
        ownership
    }

    pub fn heartbeat(
        &self,
        ownership: &mut KeyOwnership,
        i: usize,
        seq: u64,
    ) -> mesh::HeartbeatReply {
        let incarnation = Incarnation { started_at: 1, id: format!("b{i}") };
        ownership.handle_heartbeat(
            &BackendHeartbeat { incarnation, seq, ..BackendHeartbeat::default() },
            self.now,
        )
    }

    /// Applies all writes that are due.
    pub fn apply_writes(&mut self, ownership: &mut KeyOwnership) {
        while let Some(write) = ownership.next_write(self.now) {
            let written = self.store.apply(&write);
            ownership.write_finished(written, self.now);
            self.now += Millis(50);
        }
    }

    pub fn put_map(&mut self, change: impl Fn(Option<mesh::KeyMap>) -> mesh::KeyMap) {
        let old = self.store.map();
        let version = old.as_ref().map_or(RowVersion(0), |(v, _)| *v);
        let map = change(old.map(|(_, m)| m));
        let write = ConditionalWrite {
            expect: vec![(RowName::Map, version)],
            put: vec![(RowName::Map, map.encode())],
            ..ConditionalWrite::default()
        };
        assert!(matches!(self.store.apply(&write), WriteOutcome::Committed(_)));
    }

    /// Creates two hosts with leases, which own all keys between them.
    pub fn two_owners(&mut self) -> [KeyOwnership; 2] {
        self.put_map(|_| initial_map(&[addr(0), addr(1)]).unwrap());
        let mut both = [self.ownership(0, 1), self.ownership(1, 2)];
        for (i, ownership) in both.iter_mut().enumerate() {
            self.heartbeat(ownership, i, 1);
            self.apply_writes(ownership);
        }
        both
    }

    pub fn request_move(&mut self, from: HostAddr, to: HostAddr) {
        self.put_map(|map| {
            let mut map = map.unwrap();
            let range = map.ranges.iter_mut().find(|r| r.owner == from).unwrap();
            range.next_owner = Some(to);
            map
        });
    }
}

#[test]
fn a_delayed_release_by_an_earlier_process_conflicts_once_the_next_process_has_registered() {
    let mut fixture = Fixture::new();
    let [mut ownership, _other] = fixture.two_owners();
    fixture.request_move(addr(0), addr(1));
    let (version, map) = fixture.store.map().unwrap();
    ownership.update_map(version, map, fixture.now);
    ownership.update_leases(fixture.store.leases(), fixture.now);
    fixture.heartbeat(&mut ownership, 0, 2);
    fixture.heartbeat(&mut ownership, 0, 3);
    let delayed = ownership.next_write(fixture.now).unwrap();
    assert_eq!(delayed.reason, "release");

    let mut next = fixture.ownership(0, 9);
    fixture.heartbeat(&mut next, 0, 4);
    let register = next.next_write(fixture.now).unwrap();
    let registered = fixture.store.apply(&register);
    let outcome = fixture.store.apply(&delayed);

    assert!(matches!(registered, WriteOutcome::Committed(_)), "{registered:?}");
    assert!(
        matches!(outcome, WriteOutcome::Conflict(_)),
        "the delayed release was applied: {outcome:?}"
    );
}

/// Guards against two holders of a key: a heartbeat that was sent before a grant arrived at the next
/// process, which took the keys that it does not list for free.
#[test]
fn keys_that_an_earlier_process_may_have_granted_are_not_released_on_a_late_heartbeat() {
    let check = |started_at: u64, expected: std::ops::Range<u64>| {
        let mut fixture = Fixture::new();
        let [_first, mut other] = fixture.two_owners();
        fixture.request_move(addr(0), addr(1));
        let mut next = fixture.ownership(0, 9);
        let started = fixture.now;
        let mut released = None;
        for seq in 4..80 {
            fixture.now += Millis(100);
            fixture.heartbeat(&mut other, 1, seq);
            fixture.apply_writes(&mut other);
            let incarnation = Incarnation { started_at, id: "b0".into() };
            let late = BackendHeartbeat { incarnation, seq, ..BackendHeartbeat::default() };
            next.handle_heartbeat(&late, fixture.now);
            if let Some((version, map)) = fixture.store.map() {
                next.update_map(version, map, fixture.now);
            }
            next.update_leases(fixture.store.leases(), fixture.now);
            if let Some(write) = next.next_write(fixture.now) {
                let outcome = fixture.store.apply(&write);
                next.write_finished(outcome, fixture.now);
                if write.reason == "release" {
                    released.get_or_insert(fixture.now.since(started).0);
                }
            }
        }
        let in_time = released.is_some_and(|at| expected.contains(&at));
        assert!(in_time, "incarnation {started_at}: after {released:?} ms");
    };
    // The longest grant, the drift of the backend server's clock and a margin.
    check(1, 4_580..5_500);
    // Another incarnation was granted nothing by the earlier process.
    check(2, 0..1_500);
}

#[test]
fn registration_based_on_a_stale_map_conflicts() {
    let mut fixture = Fixture::new();
    let [_first, _other] = fixture.two_owners();
    let mut next = fixture.ownership(0, 9);
    fixture.put_map(|map| evict(&map.unwrap(), &[addr(0)], &[addr(1)]).unwrap());

    fixture.heartbeat(&mut next, 0, 5);
    let write = next.next_write(fixture.now).unwrap();
    let outcome = fixture.store.apply(&write);

    assert_eq!(write.reason, "register");
    assert!(matches!(outcome, WriteOutcome::Conflict(_)), "registered on a stale map: {outcome:?}");
}

/// Lets a renewal that changes the witnesses end with `outcome`, and then has the witnesses confirm
/// the lease. Returns whether this extended the lease.
fn confirmation_extends_lease_after(outcome: WriteOutcome) -> bool {
    let mut fixture = Fixture::new();
    let [mut ownership, other] = fixture.two_owners();
    let peer = |process| PeerHost { host: addr(1), process, failure_domain: 1 };
    ownership.set_peers(vec![peer(2)]);
    ownership.update_leases(fixture.store.leases(), fixture.now);
    fixture.now += Millis(1_100);
    let renewal = ownership.next_write(fixture.now).unwrap();
    ownership.write_finished(WriteOutcome::Committed(RowVersion(900)), fixture.now);
    assert_eq!(renewal.reason, "renew");
    let before = ownership.lease_expiry().unwrap();
    // The other host restarts, so the next renewal lists it with another process id.
    drop(other);
    let mut next = fixture.ownership(1, 33);
    fixture.heartbeat(&mut next, 1, 9);
    fixture.apply_writes(&mut next);
    ownership.set_peers(vec![peer(33)]);
    ownership.update_leases(fixture.store.leases(), fixture.now);
    fixture.now += Millis(1_100);
    assert!(ownership.next_write(fixture.now).is_some());
    ownership.write_finished(outcome, fixture.now);
    fixture.now += Millis(1_000);
    for (_, request) in ownership.witness_requests(fixture.now) {
        ownership.witness_replied(&request, WitnessReply::Confirmed, fixture.now, fixture.now);
    }
    ownership.lease_expiry().unwrap() > before
}

#[test]
fn confirmations_count_only_while_the_witnesses_in_the_store_are_certain() {
    assert!(
        confirmation_extends_lease_after(WriteOutcome::NotApplied),
        "the witnesses in the store are known"
    );
    assert!(
        !confirmation_extends_lease_after(WriteOutcome::Unknown),
        "the store may list other witnesses"
    );
}

/// Guards against two holders of a key: a conflict over the map returned the unchanged lease row,
/// which was taken as proof that a lost renewal with other witnesses would never be applied.
#[test]
fn a_conflict_over_the_map_does_not_settle_a_lost_change_of_the_witnesses() {
    let mut fixture = Fixture::new();
    let [mut holder, _other] = fixture.two_owners();
    let peer = |process| PeerHost { host: addr(1), process, failure_domain: 1 };
    holder.set_peers(vec![peer(2)]);
    fixture.now += Millis(1_100);
    fixture.heartbeat(&mut holder, 0, 2);
    fixture.apply_writes(&mut holder);
    let expiry = holder.lease_expiry().unwrap();
    // The answer to a renewal with another witness is lost, and the store delays the write.
    holder.set_peers(vec![peer(33)]);
    fixture.now += Millis(1_100);
    let delayed = holder.next_write(fixture.now).unwrap();
    assert_eq!(delayed.reason, "renew");
    holder.write_finished(WriteOutcome::Unknown, fixture.now);
    // A release conflicts with a change of the map that the holder has not seen.
    fixture.request_move(addr(0), addr(1));
    let (version, map) = fixture.store.map().unwrap();
    holder.update_map(version, map, fixture.now);
    holder.update_leases(fixture.store.leases(), fixture.now);
    fixture.heartbeat(&mut holder, 0, 3);
    fixture.heartbeat(&mut holder, 0, 4);
    fixture.request_move(addr(1), addr(0));
    fixture.now += Millis(400);
    let release = holder.next_write(fixture.now).unwrap();
    assert_eq!(release.reason, "release");
    let conflict = fixture.store.apply(&release);
    assert!(matches!(conflict, WriteOutcome::Conflict(_)), "{conflict:?}");
    holder.write_finished(conflict, fixture.now);

    fixture.now += Millis(200);
    for (_, request) in holder.witness_requests(fixture.now) {
        holder.witness_replied(&request, WitnessReply::Confirmed, fixture.now, fixture.now);
    }

    assert_eq!(holder.lease_expiry(), Some(expiry), "extended by the former witnesses");
    let applied = fixture.store.apply(&delayed);
    assert!(matches!(applied, WriteOutcome::Committed(_)), "the renewal was settled: {applied:?}");
}

#[test]
fn nothing_is_granted_without_a_lease_or_to_an_earlier_incarnation() {
    let mut fixture = Fixture::new();
    let [mut ownership, _other] = fixture.two_owners();
    let granted = fixture.heartbeat(&mut ownership, 0, 2).grants;
    assert!(granted.is_some_and(|g| !g.is_empty()));

    let incarnation = Incarnation { started_at: 2, id: "b0".into() };
    let other_incarnation = ownership.handle_heartbeat(
        &BackendHeartbeat { incarnation, seq: 1, ..BackendHeartbeat::default() },
        fixture.now,
    );
    assert_eq!(
        other_incarnation.grants, None,
        "the fence is still that of the previous incarnation"
    );

    let stale = fixture.heartbeat(&mut ownership, 0, 3);
    assert_eq!(stale.grants, None, "a stale heartbeat of the previous incarnation");

    fixture.now += OwnershipTiming::default().base_term;
    let incarnation = Incarnation { started_at: 2, id: "b0".into() };
    let expired = ownership.handle_heartbeat(
        &BackendHeartbeat { incarnation, seq: 2, ..BackendHeartbeat::default() },
        fixture.now,
    );
    assert_eq!(expired.grants, None, "the lease has expired");
}

#[test]
fn a_grant_ends_before_the_lease_that_it_is_based_on() {
    let mut fixture = Fixture::new();
    let [mut ownership, _other] = fixture.two_owners();
    let until = ownership.lease_expiry().unwrap();
    for (seq, before_end) in [(2, 2_900), (3, 2_000), (4, 1_000), (5, 150)] {
        let now = until - Millis(before_end);
        let incarnation = Incarnation { started_at: 1, id: "b0".into() };
        let reply = ownership.handle_heartbeat(
            &BackendHeartbeat { incarnation, seq, ..BackendHeartbeat::default() },
            now,
        );
        let slow_clock = Millis(reply.valid_for.0 * 102 / 100);
        assert!(now + slow_clock < until, "{before_end} ms before the end: {:?}", reply.valid_for);
    }
}

/// Creates the only owner of all keys, with grants by calls and one call planned.
fn owner_with_planned_calls(
    fixture: &mut Fixture,
) -> (KeyOwnership, Vec<(GrantCallId, GrantCall)>) {
    fixture.put_map(|_| initial_map(&[addr(0)]).unwrap());
    let mut ownership = fixture.ownership(0, 1);
    ownership.set_grant_delivery(GrantDelivery::Call, fixture.now);
    fixture.heartbeat(&mut ownership, 0, 1);
    fixture.apply_writes(&mut ownership);
    let (version, map) = fixture.store.map().unwrap();
    ownership.update_map(version, map, fixture.now);
    let calls = ownership.next_grant_calls(true, fixture.now);
    assert!(!calls.is_empty());
    (ownership, calls)
}

fn grant_fence(call: &GrantCall) -> Fence {
    call.range().fence
}

#[test]
fn a_call_planned_for_an_incarnation_is_not_sent_to_the_next_one() {
    let mut fixture = Fixture::new();
    let (mut ownership, calls) = owner_with_planned_calls(&mut fixture);
    let id = calls[0].0;
    assert!(ownership.may_connect_for(id, fixture.now));

    let incarnation = Incarnation { started_at: 9, id: "b0".into() };
    let heartbeat = BackendHeartbeat { incarnation, seq: 1, ..BackendHeartbeat::default() };
    ownership.handle_heartbeat(&heartbeat, fixture.now);

    assert!(!ownership.is_grant_call_pending(id));
    assert!(!ownership.may_connect_for(id, fixture.now));
    assert_eq!(ownership.next_grant_calls(true, fixture.now), [], "the fence is not raised yet");
}

#[test]
fn no_connection_for_calls_is_opened_once_the_backend_server_may_have_restarted() {
    let mut fixture = Fixture::new();
    let (ownership, calls) = owner_with_planned_calls(&mut fixture);
    let check = |after: u64, expected: bool| {
        let now = fixture.now + Millis(after);
        assert_eq!(ownership.may_connect_for(calls[0].0, now), expected, "after {after} ms");
    };
    check(0, true);
    check(250, true);
    check(251, false);
}

#[test]
fn outcomes_of_grant_calls_decide_what_is_held_and_what_is_called_next() {
    let done = || GrantCallOutcome::Done { handover: String::new() };
    let check = |outcome: GrantCallOutcome, held: bool, repeated_at_once: bool, raised: bool| {
        let mut fixture = Fixture::new();
        let (mut ownership, calls) = owner_with_planned_calls(&mut fixture);
        let (id, call) = calls[0].clone();
        let key = call.range().from;
        for (id, _) in &calls[1..] {
            ownership.grant_call_finished(*id, done(), fixture.now);
        }
        ownership.grant_call_finished(id, outcome.clone(), fixture.now);
        let again = ownership.next_grant_calls(true, fixture.now);
        let repeated = again.iter().any(|(_, c)| c.range() == call.range());
        let before = grant_fence(&call);
        fixture.apply_writes(&mut ownership);
        let after = fixture.store.map().unwrap().1.range_of(key).fence;

        let is_held = ownership.check_key(key, fixture.now).is_ok();
        assert_eq!(
            (is_held, repeated, after > before),
            (held, repeated_at_once, raised),
            "{outcome:?}"
        );
    };
    check(done(), true, false, false);
    check(GrantCallOutcome::Unknown, false, true, false);
    check(GrantCallOutcome::NotSent, false, true, false);
    check(GrantCallOutcome::Rejected, false, false, false);
    check(GrantCallOutcome::HigherFence, false, false, true);
}

/// Part of a range is being moved to another host when the backend server starts to drain, and the
/// store does not accept the write that completes the move.
#[test]
fn a_draining_backend_server_releases_the_rest_of_a_range_that_is_partly_moving() {
    let mut fixture = Fixture::new();
    let [mut ownership, mut other] = fixture.two_owners();
    let (_, map) = fixture.store.map().unwrap();
    let range = map.owned_by(addr(0)).next().unwrap().clone();
    fixture.heartbeat(&mut ownership, 0, 2);
    for _ in 0..3 {
        fixture.now += Millis(1_000);
        ownership.update_load(600, 600);
        other.update_load(0, 600);
        fixture.apply_writes(&mut ownership);
        fixture.apply_writes(&mut other);
        ownership.update_leases(fixture.store.leases(), fixture.now);
    }
    fixture.heartbeat(&mut ownership, 0, 3);
    let mut request_counts = KeyRequestCounts::default();
    (0..100).for_each(|_| request_counts.record(range.from));
    (0..60).for_each(|_| request_counts.record(range.to));
    assert!(ownership.shed_keys(&request_counts, &[], fixture.now) > 0);
    let moving = |ownership: &KeyOwnership, key| {
        ownership.check_key(key, fixture.now) == Err(KeyRejection::Moving)
    };
    let keys = [range.from, range.to];
    assert!(keys.iter().any(|k| !moving(&ownership, *k)), "the whole range moves already");

    let incarnation = Incarnation { started_at: 1, id: "b0".into() };
    let mut heartbeat =
        BackendHeartbeat { incarnation, seq: 2, draining: true, ..BackendHeartbeat::default() };
    for seq in 4..6 {
        heartbeat.seq = seq;
        ownership.handle_heartbeat(&heartbeat, fixture.now);
    }

    assert!(keys.iter().all(|k| moving(&ownership, *k)), "some keys are still served");
}

#[test]
fn only_the_first_holders_and_writers_of_renewals_keep_reading_the_leases() {
    let mut fixture = Fixture::new();
    let hosts: Vec<HostAddr> = (0..6).map(addr).collect();
    fixture.put_map(|_| initial_map(&hosts).unwrap());
    let mut all: Vec<KeyOwnership> = (0..6).map(|i| fixture.ownership(i, 1 + i as u64)).collect();
    for (i, ownership) in all.iter_mut().enumerate() {
        fixture.heartbeat(ownership, i, 1);
        fixture.apply_writes(ownership);
    }
    all.iter_mut().for_each(|o| o.update_leases(fixture.store.leases(), fixture.now));

    let mut check = |i: usize, reader: LeaseReader, expected: std::ops::RangeInclusive<u64>| {
        let ownership = &mut all[i];
        let mut reads = 0;
        for ms in (0..20_000).step_by(250) {
            let now = fixture.now + Millis(ms);
            if ownership.wants_lease_read(reader, now) {
                reads += 1;
                // All holders have renewed their leases.
                let rows = fixture.store.leases().into_iter();
                let renewed = rows.map(|(host, v, row)| (host, RowVersion(v.0 + ms), row));
                ownership.update_leases(renewed.collect(), now);
            }
        }
        assert!(expected.contains(&reads), "host {i}, {reader:?}: {reads} reads");
    };
    check(0, LeaseReader::Writer, 18..=21);
    check(1, LeaseReader::Member, 18..=21);
    check(2, LeaseReader::Member, 0..=0);
    check(3, LeaseReader::Writer, 3..=4);
    check(4, LeaseReader::SuspiciousWriter, 18..=21);
    check(5, LeaseReader::Member, 0..=0);
}

/// The holder's last renewal has version 19. What an observer knows about versions decides from when
/// it counts the lease as silent.
#[test]
fn a_lease_counts_as_renewed_when_its_version_is_known_to_have_been_written() {
    let check = |known: &[(u64, u64)], silent_since: u64| {
        let mut observer = LeaseObserver::default();
        for (version, at) in known {
            observer.record_version(RowVersion(*version), Millis(*at));
        }
        let row = |version| (addr(1), RowVersion(version), LeaseRow::default());
        observer.observe(vec![row(10)], Millis(1_000));
        observer.observe(vec![row(19)], Millis(4_000));
        let silent = |now: u64| !observer.unchanged_for(Millis(3_000), Millis(now)).is_empty();
        let first = (1_000..9_000).find(|now| silent(*now));
        assert_eq!(first, Some(silent_since + 3_001), "{known:?}");
    };
    check(&[], 4_000);
    check(&[(18, 2_000)], 4_000);
    check(&[(19, 2_000)], 2_000);
    check(&[(12, 500), (15, 1_500), (25, 2_500), (31, 3_500)], 2_500);
    check(&[(25, 2_500), (20, 2_600)], 2_500);
}

/// All processes were restarted, and the holder of a lease did not come back. Its only witness is
/// the other host, whose process is another one now.
#[test]
fn keys_of_a_lost_host_are_taken_after_the_base_term_if_its_witnesses_restarted() {
    let check = |reply: Option<WitnessReply>, expected: std::ops::Range<u64>| {
        let mut fixture = Fixture::new();
        let [_lost, mut other] = fixture.two_owners();
        other.set_peers(vec![PeerHost { host: addr(0), process: 1, failure_domain: 1 }]);
        fixture.now += Millis(1_100);
        fixture.heartbeat(&mut other, 1, 2);
        fixture.apply_writes(&mut other);
        let mut survivor = fixture.ownership(0, 7);
        let started = fixture.now;
        let evicted = loop {
            fixture.now += Millis(100);
            fixture.heartbeat(&mut survivor, 0, fixture.now.0);
            survivor.update_leases(fixture.store.leases(), fixture.now);
            for (_, request) in survivor.witness_requests(fixture.now) {
                if let Some(reply) = reply {
                    survivor.witness_replied(&request, reply, fixture.now, fixture.now);
                }
            }
            if let Some(write) = survivor.next_write(fixture.now) {
                let outcome = fixture.store.apply(&write);
                survivor.write_finished(outcome, fixture.now);
                if write.reason == "evict" {
                    break fixture.now.since(started).0;
                }
            }
        };
        assert!(expected.contains(&evicted), "{reply:?}: evicted after {evicted} ms");
    };
    // 2.3 s until the lease is overdue, and the base term and its margin after the reply.
    check(Some(WitnessReply::Replaced), 5_600..6_000);
    check(Some(WitnessReply::Refused), 12_000..13_000);
    check(None, 12_000..13_000);
}
