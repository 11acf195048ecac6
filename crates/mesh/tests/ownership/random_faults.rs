//! Simulations of hosts, backend servers and a store under random faults: lost messages, late
//! writes, stale reads, restarts, crashes, freezes and partitions. No two backend servers may ever
//! hold the same key, and the fence of a key must increase with each holder.

use crate::simulation::{Faults, Simulation};

fn check(seed: u64, faults: Faults) {
    let mut sim = Simulation::new(seed, 4, faults);
    sim.run(60_000);
    assert!(sim.held_samples > 0, "seed {seed}: nothing was ever granted");
}

#[test]
fn keys_have_one_holder_without_faults() {
    (0..5).for_each(|seed| check(seed, Faults::default()));
}

#[test]
fn keys_have_one_holder_while_processes_restart_and_writes_are_late() {
    let faults = Faults {
        restarts: 10,
        crashes: 6,
        drains: 4,
        late_writes: 30,
        lost_messages: 10,
        ..Faults::default()
    };
    (0..60).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_backend_servers_crash_and_drain() {
    let faults = Faults { crashes: 6, drains: 3, restarts: 4, ..Faults::default() };
    (100..140).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_hosts_freeze_and_the_store_is_unavailable() {
    let faults =
        Faults { freezes: 4, outages: 3, late_writes: 10, stale_reads: 20, ..Faults::default() };
    (200..240).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_hosts_are_partitioned_from_the_store_and_each_other() {
    let faults = Faults {
        store_partitions: 8,
        host_partitions: 6,
        outages: 4,
        restarts: 3,
        late_writes: 10,
        lost_messages: 10,
        ..Faults::default()
    };
    (500..580).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_under_all_faults_at_once() {
    let faults = Faults {
        restarts: 6,
        crashes: 4,
        drains: 2,
        freezes: 3,
        outages: 2,
        late_writes: 20,
        lost_messages: 10,
        stale_reads: 20,
        store_partitions: 3,
        host_partitions: 3,
    };
    (300..380).for_each(|seed| check(seed, faults));
}

#[test]
fn every_key_is_served_again_after_the_faults() {
    let faults = Faults {
        restarts: 6,
        crashes: 4,
        freezes: 3,
        late_writes: 20,
        lost_messages: 10,
        ..Faults::default()
    };
    for seed in 400..420 {
        let mut sim = Simulation::new(seed, 4, faults);
        sim.run(40_000);
        sim.stop_faults();
        sim.run(40_000);
        assert_eq!(sim.count_unheld_keys(), 0, "seed {seed}: keys without a holder");
    }
}
