//! Random walks over hosts, their backend servers and a store that loses answers, writes late and
//! reads stale: no two backend servers ever hold the same key, and fences rise with each holder.

use crate::simulation::{Faults, World};

fn check(seed: u64, faults: Faults) {
    let mut world = World::new(seed, 4, faults);
    world.run(60_000);
    assert!(world.served > 0, "seed {seed}: nothing was ever granted");
}

#[test]
fn keys_have_one_holder_while_nothing_fails() {
    (0..5).for_each(|seed| check(seed, Faults::default()));
}

#[test]
fn keys_have_one_holder_while_processes_restart_and_writes_come_late() {
    let faults =
        Faults { restarts: 10, crashes: 6, leaves: 4, late: 30, lost: 10, ..Faults::default() };
    (0..60).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_backend_servers_crash_and_leave() {
    let faults = Faults { crashes: 6, leaves: 3, restarts: 4, ..Faults::default() };
    (100..140).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_hosts_freeze_and_the_store_is_away() {
    let faults = Faults { freezes: 4, outages: 3, late: 10, stale: 20, ..Faults::default() };
    (200..240).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_hosts_lose_the_store_and_each_other() {
    let faults = Faults {
        cuts: 8,
        alone: 6,
        outages: 4,
        restarts: 3,
        late: 10,
        lost: 10,
        ..Faults::default()
    };
    (500..580).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_under_all_faults_at_once() {
    let faults = Faults {
        restarts: 6,
        crashes: 4,
        leaves: 2,
        freezes: 3,
        outages: 2,
        late: 20,
        lost: 10,
        stale: 20,
        cuts: 3,
        alone: 3,
    };
    (300..380).for_each(|seed| check(seed, faults));
}

#[test]
fn every_key_is_served_again_after_the_faults() {
    let faults =
        Faults { restarts: 6, crashes: 4, freezes: 3, late: 20, lost: 10, ..Faults::default() };
    for seed in 400..420 {
        let mut world = World::new(seed, 4, faults);
        world.run(40_000);
        world.calm();
        world.run(40_000);
        assert_eq!(world.unheld(), 0, "seed {seed}: keys without a holder");
    }
}
