//! Simulations of hosts, backend servers and a store under random faults: lost messages, late
//! writes, stale reads, restarts, crashes, freezes and partitions. No two backend servers may ever
//! hold the same key, and the fence of a key must increase with each holder.

use mesh::GrantDelivery;

use crate::simulation::{Faults, Simulation};

fn check(seed: u64, faults: Faults) {
    check_delivery(seed, GrantDelivery::HeartbeatReply, faults);
}

fn check_delivery(seed: u64, delivery: GrantDelivery, faults: Faults) {
    let mut sim = Simulation::new(seed, 4, delivery, faults);
    sim.run(60_000);
    if sim.held_samples == 0 {
        // The only owner and its witnesses may all have failed before the first grant, and outages
        // may follow until the end.
        sim.stop_faults();
        sim.run(40_000);
    }
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
        ..Faults::default()
    };
    (300..380).for_each(|seed| check(seed, faults));
}

#[test]
fn keys_have_one_holder_while_the_store_goes_back_to_earlier_states() {
    let faults = Faults {
        rollbacks: 6,
        restarts: 4,
        crashes: 3,
        freezes: 2,
        outages: 2,
        late_writes: 15,
        lost_messages: 10,
        stale_reads: 10,
        store_partitions: 2,
        ..Faults::default()
    };
    (900..920).for_each(|seed| check(seed, faults));
    (920..930).for_each(|seed| check_delivery(seed, GrantDelivery::Call, faults));
}

#[test]
fn every_key_is_served_again_after_the_store_went_back() {
    let faults = Faults { rollbacks: 10, late_writes: 15, lost_messages: 10, ..Faults::default() };
    for delivery in [GrantDelivery::HeartbeatReply, GrantDelivery::Call] {
        for seed in 950..956 {
            let mut sim = Simulation::new(seed, 4, delivery, faults);
            sim.run(40_000);
            sim.stop_faults();
            sim.run(25_000);
            let unheld = sim.count_unheld_keys();
            assert_eq!(unheld, 0, "seed {seed}, {delivery:?}: keys without a holder");
        }
    }
}

#[test]
fn keys_granted_by_calls_have_one_holder_without_faults() {
    (600..605).for_each(|seed| check_delivery(seed, GrantDelivery::Call, Faults::default()));
}

#[test]
fn keys_granted_by_calls_have_one_holder_while_calls_are_late_or_lost() {
    let faults =
        Faults { late_calls: 30, lost_messages: 15, drains: 3, restarts: 4, ..Faults::default() };
    (610..640).for_each(|seed| check_delivery(seed, GrantDelivery::Call, faults));
}

#[test]
fn keys_granted_by_calls_have_one_holder_while_backend_servers_crash_and_processes_restart() {
    let faults = Faults {
        crashes: 8,
        restarts: 8,
        freezes: 3,
        drains: 2,
        late_calls: 15,
        late_writes: 10,
        lost_messages: 10,
        ..Faults::default()
    };
    (700..740).for_each(|seed| check_delivery(seed, GrantDelivery::Call, faults));
}

#[test]
fn keys_granted_by_calls_have_one_holder_under_all_faults_at_once() {
    let faults = Faults {
        restarts: 6,
        crashes: 4,
        drains: 2,
        freezes: 3,
        outages: 2,
        late_writes: 20,
        late_calls: 20,
        lost_messages: 10,
        stale_reads: 20,
        store_partitions: 3,
        host_partitions: 3,
        ..Faults::default()
    };
    (800..840).for_each(|seed| check_delivery(seed, GrantDelivery::Call, faults));
}

/// Guards against two holders of a key that is released because of an evacuation, and against keys
/// that stay without a holder after one.
#[test]
fn keys_have_one_holder_while_hosts_are_evacuated_and_are_served_afterwards() {
    let faults = Faults {
        evacuations: 15,
        restarts: 6,
        crashes: 3,
        outages: 2,
        late_writes: 20,
        late_calls: 20,
        lost_messages: 10,
        store_partitions: 3,
        ..Faults::default()
    };
    for delivery in [GrantDelivery::HeartbeatReply, GrantDelivery::Call] {
        for seed in 900..930 {
            let mut sim = Simulation::new(seed, 4, delivery, faults);
            sim.run(40_000);
            sim.stop_faults();
            sim.run(40_000);
            let unheld = sim.count_unheld_keys();
            assert_eq!(unheld, 0, "seed {seed}, {delivery:?}: keys without a holder");
        }
    }
}

#[test]
fn every_key_is_served_again_after_the_faults() {
    let faults = Faults {
        restarts: 6,
        crashes: 4,
        freezes: 3,
        late_writes: 20,
        late_calls: 20,
        lost_messages: 10,
        ..Faults::default()
    };
    for delivery in [GrantDelivery::HeartbeatReply, GrantDelivery::Call] {
        for seed in 400..420 {
            let mut sim = Simulation::new(seed, 4, delivery, faults);
            sim.run(40_000);
            sim.stop_faults();
            sim.run(40_000);
            let unheld = sim.count_unheld_keys();
            assert_eq!(unheld, 0, "seed {seed}, {delivery:?}: keys without a holder");
        }
    }
}
