//! Whole cells of nodes: start, loss, takeover, moves, drain and repair.

mod world;

use model::{ConfigVersion, Millis, Partition};
use ownership::{Event, Report, SafetyRules, Timing};
use world::{State, StoreState, World, session};

const LIMIT: Millis = Millis(3_000);

fn timing() -> Timing {
    Timing { release_time_limit: Millis(1_000), ..Timing::default() }
}

fn cell(hosts: usize, partitions: u32) -> World {
    let mut world = World::new(hosts, partitions, timing(), SafetyRules::default());
    let served = world.run_until(Millis(10_000), |w| w.all_served());
    assert!(served.is_some(), "{:#?}", world.log);
    world.run_until(Millis(3_000), |_| false);
    assert_eq!(world.violation, None);
    world
}

/// Lets 8 s pass and returns how long after the start a partition was last without service, by a
/// host that the others reach.
fn recovery(world: &mut World) -> Millis {
    let start = world.now;
    let mut last = Millis::ZERO;
    for _ in 0..160 {
        world.step(Millis(50));
        if !reachable(world) {
            last = world.now.since(start);
        }
    }
    assert_eq!(world.violation, None, "{:#?}", world.log);
    assert!(reachable(world), "not served again: {:#?}\n{:#?}", world.log, world.row);
    last
}

fn reachable(world: &World) -> bool {
    let is_reached =
        |i: &usize| world.hosts[*i].state == State::Running && world.hosts[*i].group == 0;
    (0..world.partitions).all(|p| world.serving(Partition(p)).iter().any(is_reached))
}

fn owner_of(world: &World, partition: u32) -> usize {
    world.serving(Partition(partition))[0]
}

#[test]
fn cells_of_any_size_start() {
    let check = |hosts: usize, grantors: usize| {
        let world = cell(hosts, 6);
        assert_eq!(world.stored().grantors.len(), grantors, "{hosts} hosts");
        assert_eq!(world.stored().members.len(), hosts);
        assert!(world.stored().unsealed.is_empty());
        assert_eq!(world.coordinators().len(), 1);
        for host in &world.hosts {
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
fn a_lost_owner_is_replaced_in_time() {
    let check = |name: &str, fault: fn(&mut World)| {
        let mut world = cell(6, 12);
        fault(&mut world);
        let took = recovery(&mut world);
        println!("{name}: {} ms, {} writes", took.0, world.writes);
        assert!(took <= LIMIT, "{name} took {} ms\n{:#?}", took.0, world.log);
    };
    check("owner lost", |w| w.crash(5));
    check("coordinator lost", |w| w.crash(w.coordinators()[0]));
    check("owner and coordinator lost", |w| {
        w.crash(w.coordinators()[0]);
        w.crash(5);
    });
    check("two grantors lost", |w| {
        w.crash(0);
        w.crash(1);
    });
    check("owner frozen", |w| w.pause(5));
    check("owner cut off", |w| w.cut(5, 1));
    check("owner restarted", |w| {
        w.crash(5);
        w.restart(5);
    });
    check("clock jumped", |w| w.feed(5, Event::ClockJumped));
    check("answers of the store lost, owner lost", |w| {
        w.store = StoreState::AnswersLost;
        w.crash(5);
    });
    check("backend server down", |w| w.report(owner_of(w, 0), 0));
    check("store down, then owner lost", |w| {
        w.store = StoreState::Down;
        w.crash(5);
    });
    check("store down, then owner and coordinator lost", |w| {
        w.store = StoreState::Down;
        w.crash(w.coordinators()[0]);
        w.crash(5);
    });
    check("store down, then frozen", |w| {
        w.store = StoreState::Down;
        w.pause(5);
    });
    check("store down, then coordinator cut off", |w| {
        w.store = StoreState::Down;
        w.cut(w.coordinators()[0], 1);
    });
}

#[test]
fn all_hosts_restarted_at_once_start_again() {
    for hosts in [1, 2, 3, 6] {
        let mut world = cell(hosts, 6);
        (0..hosts).for_each(|i| world.crash(i));
        (0..hosts).for_each(|i| world.restart(i));
        let took = recovery(&mut world);
        println!("{hosts} hosts restarted: {} ms", took.0);
        world.run_until(Millis(5_000), |_| false);
        assert_eq!(world.stored().members.len(), hosts, "dead sessions are cleaned up");
    }
}

#[test]
fn a_frozen_owner_that_goes_on_serves_nothing_old() {
    let mut world = cell(4, 4);
    let frozen = owner_of(&world, 0);
    world.pause(frozen);
    recovery(&mut world);
    world.resume(frozen);
    world.run_until(Millis(5_000), |_| false);
    assert_eq!(world.violation, None);
    assert!(world.all_served());
}

#[test]
fn a_draining_host_gives_up_all() {
    for index in 0..4 {
        let mut world = cell(4, 8);
        world.drain(index);
        let gap = (0..200).filter(|_| {
            world.step(Millis(50));
            !world.all_served()
        });
        assert_eq!(gap.count(), 0, "host {index} leaves a gap");
        assert!(world.hosts[index].drained, "{:#?}\n{:#?}", world.log, world.row);
        assert_eq!(world.violation, None);
    }
}

#[test]
fn a_draining_host_gets_no_new_work_after_two_seconds() {
    for index in [0, 1, 5] {
        let mut world = cell(6, 120);
        world.drain(index);
        let serves = |w: &World| (0..120).any(|p| w.serving(Partition(p)).contains(&index));
        let took = world.run_until(Millis(10_000), |w| !serves(w)).expect("no more work");
        let drained = world.run_until(Millis(10_000), |w| w.hosts[index].drained);
        println!("host {index}: no more work after {took} ms, drained {drained:?} later");
        assert!(took <= Millis(2_000) && drained.is_some());
    }
}

#[test]
fn hosts_can_be_replaced_one_after_another() {
    let mut world = cell(6, 12);
    for index in 0..6 {
        world.drain(index);
        let drained = world.run_until(Millis(10_000), |w| w.hosts[index].drained);
        assert!(drained.is_some(), "host {index}: {:#?}\n{:#?}", world.log, world.row);
        world.crash(index);
        assert!(world.all_served());
        world.restart(index);
        world.run_until(Millis(3_000), |_| false);
        assert!(world.all_served());
    }
    assert_eq!(world.violation, None);
    assert!(world.hosts.iter().all(|h| h.state == State::Running));
}

#[test]
fn a_cell_can_shrink_to_one_host_by_planned_stops() {
    for hosts in [2, 3, 4] {
        let mut world = cell(hosts, 6);
        for index in 0..hosts - 1 {
            world.drain(index);
            let drained = world.run_until(Millis(10_000), |w| w.hosts[index].drained);
            assert!(
                drained.is_some(),
                "host {index} of {hosts}: {:#?}\n{:#?}",
                world.log,
                world.row
            );
            world.crash(index);
            world.run_until(Millis(5_000), |_| false);
            assert!(world.all_served(), "after host {index} of {hosts}: {:#?}", world.row);
        }
        assert_eq!(world.violation, None);
    }
}

#[test]
fn a_move_without_release_is_undone() {
    let mut world = cell(3, 3);
    world.quiesces = false;
    let owner = owner_of(&world, 0);
    world.report(owner, 0);
    world.step(Millis(100));
    assert!(world.serving(Partition(0)).is_empty(), "the release is under way");
    world.report(owner, 4);
    let undone = world.run_until(Millis(4_000), |w| w.resumed > 0);
    assert!(undone.is_some(), "{:#?}", world.log);
    assert_eq!(owner_of(&world, 0), owner);
}

#[test]
fn a_store_outage_during_a_move_stops_nothing() {
    let mut world = cell(3, 3);
    let owner = owner_of(&world, 0);
    world.quiesces = false;
    world.report(owner, 0);
    world.step(Millis(100));
    let fence = world.hosts[owner].node.row().unwrap().row.assignment(Partition(0)).unwrap().fence;
    world.store = StoreState::Down;
    let (partition, handed_over) = (Partition(0), true);
    world.feed(owner, Event::Quiesced { partition, fence, handed_over });
    world.settle();
    let served = world.run_until(Millis(2_000), |w| !w.serving(Partition(0)).is_empty());
    assert!(served.is_some(), "{:#?}", world.log);
    assert_eq!(world.violation, None);
}

#[test]
fn grantors_that_are_lost_for_good_are_replaced_on_the_operators_word() {
    let check = |hosts: usize, lost: &[usize]| {
        let mut world = cell(hosts, 4);
        lost.iter().for_each(|i| world.crash(*i));
        world.run_until(Millis(5_000), |_| false);
        assert!(!world.all_served(), "{hosts} hosts: nothing may be served");
        let dead = lost.iter().map(|i| session(*i)).collect::<Vec<_>>();
        for index in (0..hosts).filter(|i| !lost.contains(i)) {
            world.feed(index, Event::DeclaredDead(dead.clone()));
        }
        world.settle();
        recovery(&mut world);
    };
    check(6, &[0, 1, 2]);
    check(4, &[0, 1]);
    check(2, &[0]);
}

#[test]
fn two_coordinators_at_once_keep_ownership_single() {
    let mut world = cell(6, 12);
    world.broken_links.push((0, 1));
    let both = world.run_until(Millis(2_000), |w| w.coordinators() == [0, 1]);
    assert!(both.is_some(), "{:#?}", world.log);
    world.crash(5);
    assert!(recovery(&mut world) <= LIMIT);
}

#[test]
fn unfenced_backend_servers_get_their_grace() {
    let grace = Millis(1_000);
    let mut world = cell(6, 12);
    let report = Report { unfenced_grace: grace, ..world::report(4) };
    world.feed(5, Event::Reported(report));
    world.run_until(Millis(1_000), |_| false);
    world.crash(5);
    let took = recovery(&mut world);
    assert!(took >= grace + Millis(500), "took {took} ms");
}

#[test]
fn the_newest_configuration_becomes_known_everywhere() {
    let mut world = cell(6, 4);
    let coordinator = world.coordinators()[0];
    world.feed(coordinator, Event::ConfigSeen(ConfigVersion(7)));
    world.run_until(Millis(700), |_| false);
    let knows = |i: usize| i == coordinator || world.config_known.contains(&(i, ConfigVersion(7)));
    assert!((0..6).all(knows), "{:?}", world.config_known);
}

#[test]
fn routes_list_open_members_only() {
    let mut world = cell(4, 4);
    world.report(2, 0);
    world.step(Millis(50));
    for host in &world.hosts {
        let members = &host.node.routes().members;
        assert!(members.iter().all(|(addr, _)| *addr != world::addr(2)), "{members:?}");
        assert_eq!(members.len(), 3);
    }
}

#[test]
fn a_process_that_restarts_again_and_again_keeps_the_row_small() {
    let mut world = cell(1, 4);
    for _ in 0..100 {
        world.crash(0);
        world.restart(0);
        world.step(Millis(50));
    }
    assert!(world.stored().unsealed.len() <= 1, "{:?}", world.stored().unsealed);
    recovery(&mut world);
}
