//! Whole cells: start, loss of hosts, takeover, moves, drain and recovery.

mod simulation;

use model::{ConfigVersion, Millis, Partition};
use ownership::{Event, Report, SafetyRules, Timing};
use simulation::{HostState, Simulation, StoreState, session};

const MAX_RECOVERY: Millis = Millis(3_000);

fn timing() -> Timing {
    Timing { release_time_limit: Millis(1_000), ..Timing::default() }
}

fn started_cell(hosts: usize, partitions: u32) -> Simulation {
    let mut sim = Simulation::new(hosts, partitions, timing(), SafetyRules::default());
    let served = sim.run_until(Millis(10_000), |s| s.all_served());
    assert!(served.is_some(), "{:#?}", sim.log);
    sim.run_until(Millis(3_000), |_| false);
    assert_eq!(sim.violation, None);
    sim
}

/// Advances the time by 8 s and returns how long after the start all partitions were served again
/// by hosts in the main network group.
fn recovery_time(sim: &mut Simulation) -> Millis {
    let start = sim.now;
    let mut last = Millis::ZERO;
    for _ in 0..160 {
        sim.step(Millis(50));
        if !all_served_by_main_group(sim) {
            last = sim.now.since(start);
        }
    }
    assert_eq!(sim.violation, None, "{:#?}", sim.log);
    assert!(all_served_by_main_group(sim), "not served again: {:#?}\n{:#?}", sim.log, sim.row);
    last
}

fn all_served_by_main_group(sim: &Simulation) -> bool {
    let is_in_main_group =
        |i: &usize| sim.hosts[*i].state == HostState::Running && sim.hosts[*i].network_group == 0;
    (0..sim.partitions).all(|p| sim.serving(Partition(p)).iter().any(is_in_main_group))
}

fn owner_of(sim: &Simulation, partition: u32) -> usize {
    sim.serving(Partition(partition))[0]
}

#[test]
fn cells_of_any_size_start() {
    let check = |hosts: usize, grantors: usize| {
        let sim = started_cell(hosts, 6);
        assert_eq!(sim.stored().grantors.len(), grantors, "{hosts} hosts");
        assert_eq!(sim.stored().members.len(), hosts);
        assert!(sim.stored().unsealed.is_empty());
        assert_eq!(sim.coordinators().len(), 1);
        for host in &sim.hosts {
            assert_eq!(host.node.routes().routes.len(), 6);
            assert_eq!(host.node.routes().members.len(), hosts);
        }
    };
    check(1, 1);
    check(2, 1);
    check(3, 3);
    check(4, 3);
    check(6, 5);
}

#[test]
fn a_lost_owner_is_replaced_within_the_limit() {
    let check = |name: &str, fault: fn(&mut Simulation)| {
        let mut sim = started_cell(6, 12);
        fault(&mut sim);
        let took = recovery_time(&mut sim);
        println!("{name}: {} ms, {} writes", took.0, sim.write_count);
        assert!(took <= MAX_RECOVERY, "{name} took {} ms\n{:#?}", took.0, sim.log);
    };
    check("owner lost", |s| s.crash(5));
    check("coordinator lost", |s| s.crash(s.coordinators()[0]));
    check("owner and coordinator lost", |s| {
        s.crash(s.coordinators()[0]);
        s.crash(5);
    });
    check("two grantors lost", |s| {
        s.crash(0);
        s.crash(1);
    });
    check("owner paused", |s| s.pause(5));
    check("owner isolated", |s| s.set_network_group(5, 1));
    check("owner restarted", |s| {
        s.crash(5);
        s.restart(5);
    });
    check("clock jumped", |s| s.feed(5, Event::ClockJumped));
    check("answers of the store lost, owner lost", |s| {
        s.store = StoreState::ResponsesLost;
        s.crash(5);
    });
    check("backend server down", |s| s.report(owner_of(s, 0), 0));
    check("store down, then owner lost", |s| {
        s.store = StoreState::Down;
        s.crash(5);
    });
    check("store down, then owner and coordinator lost", |s| {
        s.store = StoreState::Down;
        s.crash(s.coordinators()[0]);
        s.crash(5);
    });
    check("store down, then paused", |s| {
        s.store = StoreState::Down;
        s.pause(5);
    });
    check("store down, then coordinator isolated", |s| {
        s.store = StoreState::Down;
        s.set_network_group(s.coordinators()[0], 1);
    });
}

#[test]
fn a_cell_recovers_from_a_restart_of_all_hosts() {
    for hosts in [1, 2, 3, 6] {
        let mut sim = started_cell(hosts, 6);
        (0..hosts).for_each(|i| sim.crash(i));
        (0..hosts).for_each(|i| sim.restart(i));
        let took = recovery_time(&mut sim);
        println!("{hosts} hosts restarted: {} ms", took.0);
        sim.run_until(Millis(5_000), |_| false);
        assert_eq!(sim.stored().members.len(), hosts, "dead sessions are cleaned up");
    }
}

#[test]
fn a_paused_owner_that_resumes_does_not_become_a_second_owner() {
    let mut sim = started_cell(4, 4);
    let paused = owner_of(&sim, 0);
    sim.pause(paused);
    recovery_time(&mut sim);
    sim.resume(paused);
    sim.run_until(Millis(5_000), |_| false);
    assert_eq!(sim.violation, None);
    assert!(sim.all_served());
}

#[test]
fn a_draining_host_hands_over_all_partitions_without_a_gap() {
    for index in 0..4 {
        let mut sim = started_cell(4, 8);
        sim.drain(index);
        let gap = (0..200).filter(|_| {
            sim.step(Millis(50));
            !sim.all_served()
        });
        assert_eq!(gap.count(), 0, "host {index} leaves a gap");
        assert!(sim.hosts[index].drained, "{:#?}\n{:#?}", sim.log, sim.row);
        assert_eq!(sim.violation, None);
    }
}

#[test]
fn a_draining_host_stops_serving_within_two_seconds() {
    for index in [0, 1, 5] {
        let mut sim = started_cell(6, 120);
        sim.drain(index);
        let serves = |s: &Simulation| (0..120).any(|p| s.serving(Partition(p)).contains(&index));
        let took = sim.run_until(Millis(10_000), |s| !serves(s)).expect("the host stops serving");
        let drained = sim.run_until(Millis(10_000), |s| s.hosts[index].drained);
        println!("host {index}: stopped serving after {took} ms, drained {drained:?} later");
        assert!(took <= Millis(2_000) && drained.is_some());
    }
}

#[test]
fn hosts_can_be_replaced_one_after_another() {
    let mut sim = started_cell(6, 12);
    for index in 0..6 {
        sim.drain(index);
        let drained = sim.run_until(Millis(10_000), |s| s.hosts[index].drained);
        assert!(drained.is_some(), "host {index}: {:#?}\n{:#?}", sim.log, sim.row);
        sim.crash(index);
        assert!(sim.all_served());
        sim.restart(index);
        sim.run_until(Millis(3_000), |_| false);
        assert!(sim.all_served());
    }
    assert_eq!(sim.violation, None);
    assert!(sim.hosts.iter().all(|h| h.state == HostState::Running));
}

#[test]
fn a_cell_can_shrink_to_one_host_by_planned_stops() {
    for hosts in [2, 3, 4] {
        let mut sim = started_cell(hosts, 6);
        for index in 0..hosts - 1 {
            sim.drain(index);
            let drained = sim.run_until(Millis(10_000), |s| s.hosts[index].drained);
            assert!(drained.is_some(), "host {index} of {hosts}: {:#?}\n{:#?}", sim.log, sim.row);
            sim.crash(index);
            sim.run_until(Millis(5_000), |_| false);
            assert!(sim.all_served(), "after host {index} of {hosts}: {:#?}", sim.row);
        }
        assert_eq!(sim.violation, None);
    }
}

#[test]
fn a_move_without_a_release_times_out() {
    let mut sim = started_cell(3, 3);
    sim.auto_quiesce = false;
    let owner = owner_of(&sim, 0);
    sim.report(owner, 0);
    sim.step(Millis(100));
    assert!(sim.serving(Partition(0)).is_empty(), "the release is in progress");
    sim.report(owner, 4);
    let was_resumed = sim.run_until(Millis(4_000), |s| s.resume_count > 0);
    assert!(was_resumed.is_some(), "{:#?}", sim.log);
    assert_eq!(owner_of(&sim, 0), owner);
}

#[test]
fn the_standby_takes_over_when_the_store_fails_during_a_move() {
    let mut sim = started_cell(3, 3);
    let owner = owner_of(&sim, 0);
    sim.auto_quiesce = false;
    sim.report(owner, 0);
    sim.step(Millis(100));
    let fence = sim.hosts[owner].node.row().unwrap().row.assignment(Partition(0)).unwrap().fence;
    sim.store = StoreState::Down;
    let (partition, handed_over) = (Partition(0), true);
    sim.feed(owner, Event::Quiesced { partition, fence, handed_over });
    sim.deliver_all();
    let served = sim.run_until(Millis(2_000), |s| !s.serving(Partition(0)).is_empty());
    assert!(served.is_some(), "{:#?}", sim.log);
    assert_eq!(sim.violation, None);
}

#[test]
fn dead_grantors_are_replaced_after_the_operator_declares_them_dead() {
    let check = |hosts: usize, lost: &[usize]| {
        let mut sim = started_cell(hosts, 4);
        lost.iter().for_each(|i| sim.crash(*i));
        sim.run_until(Millis(5_000), |_| false);
        assert!(!sim.all_served(), "{hosts} hosts: nothing may be served");
        let dead = lost.iter().map(|i| session(*i)).collect::<Vec<_>>();
        for index in (0..hosts).filter(|i| !lost.contains(i)) {
            sim.feed(index, Event::DeclaredDead(dead.clone()));
        }
        sim.deliver_all();
        recovery_time(&mut sim);
    };
    check(6, &[0, 1, 2]);
    check(4, &[0, 1]);
    check(2, &[0]);
}

#[test]
fn two_coordinators_do_not_cause_two_owners() {
    let mut sim = started_cell(6, 12);
    sim.broken_links.push((0, 1));
    let both = sim.run_until(Millis(2_000), |s| s.coordinators() == [0, 1]);
    assert!(both.is_some(), "{:#?}", sim.log);
    sim.crash(5);
    assert!(recovery_time(&mut sim) <= MAX_RECOVERY);
}

#[test]
fn partitions_of_unfenced_backend_servers_wait_for_the_grace_period() {
    let grace = Millis(1_000);
    let mut sim = started_cell(6, 12);
    let report = Report { unfenced_grace: grace, ..simulation::report(4) };
    sim.feed(5, Event::Reported(report));
    sim.run_until(Millis(1_000), |_| false);
    sim.crash(5);
    let took = recovery_time(&mut sim);
    assert!(took >= grace + Millis(500), "took {took} ms");
}

#[test]
fn all_hosts_learn_the_newest_configuration_version() {
    let mut sim = started_cell(6, 4);
    let coordinator = sim.coordinators()[0];
    sim.feed(coordinator, Event::ConfigSeen(ConfigVersion(7)));
    sim.run_until(Millis(700), |_| false);
    let knows = |i: usize| i == coordinator || sim.known_configs.contains(&(i, ConfigVersion(7)));
    assert!((0..6).all(knows), "{:?}", sim.known_configs);
}

#[test]
fn routes_list_only_members_that_accept_requests() {
    let mut sim = started_cell(4, 4);
    sim.report(2, 0);
    sim.step(Millis(50));
    for host in &sim.hosts {
        let members = &host.node.routes().members;
        assert!(members.iter().all(|(addr, _)| *addr != simulation::addr(2)), "{members:?}");
        assert_eq!(members.len(), 3);
    }
}

#[test]
fn repeated_restarts_do_not_make_the_row_grow() {
    let mut sim = started_cell(1, 4);
    for _ in 0..100 {
        sim.crash(0);
        sim.restart(0);
        sim.step(Millis(50));
    }
    assert!(sim.stored().unsealed.len() <= 1, "{:?}", sim.stored().unsealed);
    recovery_time(&mut sim);
}
