//! Evacuation of a zone: its hosts hand their keys over to hosts in other zones.

use mesh::{KeyOwnership, KeyRejection, PeerHost, initial_map};
use model::{HostAddr, Millis};

use crate::scenarios::Fixture;
use crate::simulation::addr;

/// Hosts 0 and 1 are in the first zone, host 2 in the second.
const ZONES: [u64; 3] = [1, 1, 2];

/// Three hosts with leases, which own all keys between them.
fn three_owners(fixture: &mut Fixture) -> Vec<KeyOwnership> {
    fixture.put_map(|_| initial_map(&[addr(0), addr(1), addr(2)]).unwrap());
    let mut all: Vec<KeyOwnership> = (0..3).map(|i| fixture.ownership(i, 1 + i as u64)).collect();
    for (i, ownership) in all.iter_mut().enumerate() {
        let peer =
            |j: usize| PeerHost { host: addr(j), process: 1 + j as u64, failure_domain: ZONES[j] };
        ownership.set_peers((0..3).map(peer).collect());
        fixture.heartbeat(ownership, i, 1);
        fixture.apply_writes(ownership);
    }
    all
}

/// Lets each host send heartbeats, read the store and write to it for this time.
fn run(fixture: &mut Fixture, all: &mut [KeyOwnership], span: u64) {
    let end = fixture.now + Millis(span);
    while fixture.now < end {
        fixture.now += Millis(100);
        let seq = fixture.now.0;
        for (i, ownership) in all.iter_mut().enumerate() {
            if let Some((version, map)) = fixture.store.map() {
                ownership.update_map(version, map, fixture.now);
            }
            ownership.update_leases(fixture.store.leases(), fixture.now);
            fixture.heartbeat(ownership, i, seq);
            fixture.apply_writes(ownership);
        }
    }
}

fn owned_ranges(fixture: &Fixture) -> [usize; 3] {
    let (_, map) = fixture.store.map().unwrap();
    [0, 1, 2].map(|i| map.owned_by(addr(i)).count())
}

fn accepts_keys(fixture: &Fixture) -> Vec<bool> {
    fixture.store.leases().iter().map(|(.., row)| row.accepts_keys).collect()
}

fn own_key(fixture: &Fixture, host: HostAddr) -> u16 {
    fixture.store.map().unwrap().1.owned_by(host).next().unwrap().from
}

/// Guards against keys that stay in an evacuated zone, or go from one host there to another.
#[test]
fn the_hosts_of_an_evacuated_zone_hand_all_keys_over_to_other_zones() {
    let mut fixture = Fixture::new();
    let mut all = three_owners(&mut fixture);
    let before = owned_ranges(&fixture);
    // Host 1 learns of the evacuation later than host 0.
    all[0].set_evacuation(true, vec![1]);
    all[2].set_evacuation(false, vec![1]);
    run(&mut fixture, &mut all, 3_000);
    let first = owned_ranges(&fixture);
    all[1].set_evacuation(true, vec![1]);
    run(&mut fixture, &mut all, 3_000);

    assert!(before.iter().all(|n| *n > 0), "{before:?}");
    assert_eq!((first[0], first[1]), (0, before[1]), "went to a host of the zone");
    let after = owned_ranges(&fixture);
    assert_eq!((after[0], after[1]), (0, 0), "{after:?}");
    assert_eq!(accepts_keys(&fixture), [false, false, true]);
    let key = own_key(&fixture, addr(2));
    assert!(all[2].check_key(key, fixture.now).is_ok(), "the keys are not served");

    all[0].set_evacuation(false, Vec::new());
    all[1].set_evacuation(false, Vec::new());
    all[2].set_evacuation(false, Vec::new());
    run(&mut fixture, &mut all, 12_000);

    assert_eq!(accepts_keys(&fixture), [true, true, true]);
    let returned = owned_ranges(&fixture);
    assert!(returned.iter().all(|n| *n > 0), "no keys return: {returned:?}");
}

/// Guards against keys without an owner while the store is away, and against an evacuation that is
/// forgotten when it is back.
#[test]
fn keys_of_an_evacuated_zone_stay_while_the_store_is_away_and_move_when_it_is_back() {
    let mut fixture = Fixture::new();
    let mut all = three_owners(&mut fixture);
    let before = owned_ranges(&fixture);
    let key = own_key(&fixture, addr(0));
    // Heartbeats only, after the last contact with the store.
    for ownership in &mut all {
        ownership.set_evacuation(false, vec![1]);
    }
    fixture.now += Millis(1_700);
    all[0].set_evacuation(true, vec![1]);
    for _ in 0..8 {
        fixture.now += Millis(100);
        fixture.heartbeat(&mut all[0], 0, fixture.now.0);
        if all[0].next_write(fixture.now).is_some() {
            all[0].write_finished(mesh::WriteOutcome::NotApplied, fixture.now);
        }
    }
    let during = all[0].check_key(key, fixture.now);

    assert_eq!(owned_ranges(&fixture), before);
    assert!(during != Err(KeyRejection::Moving), "released without a store");
    all[1].set_evacuation(true, vec![1]);
    run(&mut fixture, &mut all, 4_000);
    let after = owned_ranges(&fixture);
    assert_eq!((after[0], after[1]), (0, 0), "{after:?}");
}

/// Guards against keys that nobody can serve after an evacuation of all zones: releases that could
/// not be completed meanwhile.
#[test]
fn keys_stay_if_all_zones_are_evacuated_and_are_served_when_that_ends() {
    let mut fixture = Fixture::new();
    let mut all = three_owners(&mut fixture);
    let before = owned_ranges(&fixture);
    for ownership in &mut all {
        ownership.set_evacuation(true, vec![1, 2]);
    }
    run(&mut fixture, &mut all, 5_000);
    let during = owned_ranges(&fixture);
    for ownership in &mut all {
        ownership.set_evacuation(false, Vec::new());
    }
    run(&mut fixture, &mut all, 2_000);

    assert_eq!((during, owned_ranges(&fixture)), (before, before));
    assert_eq!(accepts_keys(&fixture), [true, true, true]);
    for (i, ownership) in all.iter().enumerate() {
        let key = own_key(&fixture, addr(i));
        assert!(ownership.check_key(key, fixture.now).is_ok(), "host {i}");
    }
}
