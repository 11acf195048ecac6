//! The model check: a breadth-first search over the machines that the host process runs.
//!
//! The environment loses, holds back and doubles messages, pauses, cuts off, crashes and restarts
//! hosts, takes the store down and loses its answers. `World` checks after every event that at
//! most one host serves a partition, that fences only grow, and that what was acknowledged is in
//! the row or superseded. Each rule is also taken out once, to show that the search would notice.

mod world;

use model::{Epoch, Fence, Millis, Partition, RowVersion};
use ownership::{ClaimRef, Event, GrantorSet, Message, SafetyRules, Timing, VersionedRow};
use world::search::{Act, Found, Space, search};
use world::{Packet, StoreState, Trap, TrapAction, World, addr, first_row, grantor, session};

const STEP: Millis = Millis(250);

/// Coarse times, all but the margin multiples of a step.
const TIMING: Timing = Timing {
    term: Millis(1_000),
    drift_margin: Millis(50),
    renew_interval: Millis(250),
    silence_limit: Millis(500),
    store_patience: Millis(250),
    release_time_limit: Millis(1_000),
    balance_interval: Millis(0),
    unfenced_grace: Millis(0),
};

/// Rounds in which a cell gets to serve, before the search begins.
const FIRST_ROUNDS: usize = 8;

fn fresh(
    hosts: usize,
    absent: &[usize],
    grantors: &[usize],
    owners: &[(usize, usize)],
    rules: SafetyRules,
) -> World {
    let row = Some(first_row(hosts, grantors, owners));
    let mut world = World::with_row(row, hosts, absent, owners.len() as u32, TIMING, rules);
    world.keeps_log = false;
    world
}

fn started(
    hosts: usize,
    grantors: &[usize],
    owners: &[(usize, usize)],
    rules: SafetyRules,
) -> World {
    let mut world = fresh(hosts, &[], grantors, owners, rules);
    (0..FIRST_ROUNDS).for_each(|_| world.step(STEP));
    assert!(world.all_served(), "{world:#?}");
    world
}

fn space(name: &'static str, start: World, faults: Vec<Act>, budget: u8) -> Space {
    Space { name, start, faults, budget, rounds: 9, fault_rounds: 5, step: STEP }
}

fn trap(kind: &'static str, to: usize, action: TrapAction) -> Act {
    Act::Trap(Trap { kind, to, action })
}

/// Hosts 0 to 2 grant, host 3 owns, host 1 stands by; host 3 may become a grantor.
fn hosts_fail(rules: SafetyRules) -> Space {
    let start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    let mut faults = vec![Act::Store(StoreState::Down), Act::Store(StoreState::AnswersLost)];
    for i in 0..4 {
        faults.extend([Act::Cut(i), Act::Pause(i), Act::Crash(i)]);
    }
    Space { fault_rounds: 3, ..space("hosts fail", start, faults, 2) }
}

/// The owner coordinates and is a grantor, too. Three faults of one kind each.
fn coordinator_owns(rules: SafetyRules) -> Space {
    let start = started(4, &[0, 1, 2], &[(0, 3)], rules);
    let faults = vec![Act::Pause(0), Act::Cut(0), Act::Crash(1), Act::Store(StoreState::Down)];
    Space { rounds: 8, fault_rounds: 4, ..space("coordinator owns", start, faults, 3) }
}

/// Two partitions with each other's owner as standby.
fn two_partitions(rules: SafetyRules) -> Space {
    let start = started(3, &[0, 1, 2], &[(1, 2), (2, 1)], rules);
    let faults = vec![Act::Cut(1), Act::Pause(2), Act::Crash(1), Act::Store(StoreState::Down)];
    space("two partitions", start, faults, 2)
}

/// Orders and answers are lost, late or doubled while the owner's backend server goes down.
fn messages_fail(rules: SafetyRules) -> Space {
    let start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    let mut faults = vec![Act::NoSlots(3), Act::NoSlots(1), Act::Crash(0)];
    for (kind, to) in [("Assign", 1), ("Release", 3), ("Released", 0), ("Renewed", 3)] {
        for action in [TrapAction::Lose, TrapAction::Hold, TrapAction::Double] {
            faults.push(trap(kind, to, action));
        }
    }
    space("messages fail", start, faults, 2)
}

/// Host 3 falls out with some grantors only, and the coordinator with another.
fn links_fail(rules: SafetyRules) -> Space {
    let start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    let faults = vec![
        Act::Break(0, 3),
        Act::Break(2, 3),
        Act::Break(0, 1),
        Act::Store(StoreState::Down),
        Act::Crash(0),
    ];
    space("links fail", start, faults, 2)
}

/// Keeps back a copy of the order of epoch 1 to the first owner.
fn hold_first_assign(world: &mut World, owner: usize) {
    let (epoch, session) = (Epoch(1), session(owner));
    let claim = ClaimRef { epoch, session, partition: Partition(0), fence: Fence(2) };
    let message = Message::Assign { claim, handed_over_from: None, first: false };
    let event = Event::Received { from: addr(0), message };
    world.held.push(Packet { from: addr(0), to: addr(owner), event });
}

/// A second copy of the first order to the owner is still under way.
fn late_assign(rules: SafetyRules) -> Space {
    let mut start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    hold_first_assign(&mut start, 3);
    let faults = vec![Act::NoSlots(3), Act::Cut(3), Act::Jump(3), Act::Pause(3)];
    space("late assign", start, faults, 2)
}

/// The store is down while the owner is lost, and the order to the standby is late.
fn late_takeover(rules: SafetyRules) -> Space {
    let start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    let faults = vec![
        Act::Store(StoreState::Down),
        Act::Crash(3),
        trap("TakeOver", 1, TrapAction::Hold),
        Act::NoSlots(1),
    ];
    Space { rounds: 8, ..space("late takeover", start, faults, 4) }
}

/// Starts a cell of five hosts that keeps three grantors, because host 4 is about to leave.
fn started_with_three_of_five(owner: usize, standby: usize, rules: SafetyRules) -> World {
    let mut world = fresh(5, &[], &[0, 1, 2], &[(owner, standby)], rules);
    world.drain(4);
    (0..FIRST_ROUNDS).for_each(|_| world.step(STEP));
    assert!(world.all_served() && world.stored().epoch == Epoch(1));
    world
}

/// Turns the row to epoch 2 with other grantors, as a write whose answer was lost would.
fn change_grantors(world: &mut World, grantors: &[usize], told: &[usize]) {
    let mut row = world.stored().clone();
    assert_eq!(row.epoch, Epoch(1));
    let former =
        std::mem::replace(&mut row.grantors, grantors.iter().map(|g| grantor(*g)).collect());
    row.unsealed.push(GrantorSet { epoch: row.epoch, grantors: former });
    row.epoch = Epoch(2);
    let known = VersionedRow { version: RowVersion(100), row };
    world.row = Some(known.clone());
    for index in told {
        let message = Message::RowChanged(known.clone());
        world.feed(*index, Event::Received { from: addr(grantors[0]), message });
    }
    world.settle();
}

/// The owner and two old grantors are cut off; the new set is on the other side of the cut.
fn old_grantors_cut_off(rules: SafetyRules) -> Space {
    let mut start = started_with_three_of_five(3, 2, rules);
    [0, 1, 3].into_iter().for_each(|i| start.cut(i, 1));
    change_grantors(&mut start, &[1, 2, 4], &[2, 4]);
    let faults = vec![Act::Pause(3), Act::Store(StoreState::Down)];
    Space { rounds: 7, ..space("old grantors cut off", start, faults, 1) }
}

/// The owner joined but never got a lease; two grantors marked it and the standby took over.
/// Then the set changes to one whose first two grantors have no mark of their own.
fn owner_never_leased(rules: SafetyRules) -> Space {
    let mut start = fresh(5, &[4], &[0, 1, 2], &[(4, 1)], rules);
    start.cut(4, 1);
    start.restart_as_first(4);
    start.broken_links.push((0, 2));
    start.store = StoreState::Down;
    (0..FIRST_ROUNDS).for_each(|_| start.step(STEP));
    assert_eq!(start.serving(Partition(0)), [1]);
    start.crash(0);
    start.broken_links = vec![(1, 4)];
    start.store = StoreState::Up;
    start.cut(4, 0);
    change_grantors(&mut start, &[3, 2, 1], &[1, 2, 3, 4]);
    let faults = vec![Act::Cut(1), Act::Pause(3), trap("Sealed", 3, TrapAction::Hold)];
    Space { rounds: 7, ..space("owner never leased", start, faults, 1) }
}

/// The owner joined but never got a lease, was replaced and left the row. Then the set changes,
/// and with it goes the mark that no row needs any more. Its first order is still under way.
fn owner_forgotten(rules: SafetyRules) -> Space {
    let mut start = fresh(5, &[4], &[0, 1, 2], &[(4, 1)], rules);
    (0..FIRST_ROUNDS).for_each(|_| start.step(STEP));
    assert!(!start.stored().references(session(4)));
    change_grantors(&mut start, &[3, 2, 1], &[0, 1, 2, 3]);
    (0..FIRST_ROUNDS).for_each(|_| start.step(STEP));
    assert!(start.stored().unsealed.is_empty());
    start.cut(4, 1);
    start.restart_as_first(4);
    hold_first_assign(&mut start, 4);
    let faults = vec![Act::Cut(1), Act::Pause(3)];
    Space { rounds: 5, ..space("owner forgotten", start, faults, 1) }
}

/// Two old grantors end the owner's session while the owner turns to the new set.
fn owner_changes_sides(rules: SafetyRules) -> Space {
    let mut start = started_with_three_of_five(3, 1, rules);
    [0, 1].into_iter().for_each(|i| start.cut(i, 1));
    change_grantors(&mut start, &[2, 4, 1], &[2, 3, 4]);
    let faults = vec![Act::Pause(2), Act::Store(StoreState::Down)];
    Space { rounds: 8, ..space("owner changes sides", start, faults, 1) }
}

fn report(found: &Found, name: &str) {
    println!("{name}: {} states, {:?}", found.states, found.reached);
    if let Some(trace) = &found.trace {
        println!("{name}: {} acts:\n  {}", trace.len(), trace.join("\n  "));
    }
}

fn check_holds(make: fn(SafetyRules) -> Space) {
    let space = make(SafetyRules::default());
    let found = search(&space);
    report(&found, space.name);
    assert!(found.trace.is_none(), "{}", space.name);
}

fn check_caught(rule: &str, rules: SafetyRules, make: fn(SafetyRules) -> Space) {
    let space = make(rules);
    let found = search(&space);
    report(&found, &format!("{} without {rule}", space.name));
    assert!(found.trace.is_some(), "{} without {rule} is not caught", space.name);
}

macro_rules! spaces {
    ($($name:ident,)*) => {
        mod holds {
            $(#[test]
            fn $name() {
                super::check_holds(super::$name);
            })*
        }
    };
}

spaces! {
    hosts_fail,
    coordinator_owns,
    two_partitions,
    messages_fail,
    links_fail,
    late_assign,
    late_takeover,
    old_grantors_cut_off,
    owner_never_leased,
    owner_forgotten,
    owner_changes_sides,
}

macro_rules! variants {
    ($($rule:ident in $space:ident,)*) => {
        mod is_caught_without {
            use ownership::{RuleMode, SafetyRules};

            $(#[test]
            fn $rule() {
                let rules = SafetyRules { $rule: RuleMode::Disabled, ..SafetyRules::default() };
                super::check_caught(stringify!($rule), rules, super::$space);
            })*
        }
    };
}

variants! {
    owner_claim in late_assign,
    standby_claim in late_takeover,
    expiry_wait in hosts_fail,
    sticky_expiry in links_fail,
    seal in old_grantors_cut_off,
    grant_after_seal in owner_changes_sides,
    current_session in late_assign,
    release_promise in late_assign,
    own_lease_expiry in hosts_fail,
    inherited_expirations in owner_never_leased,
    order_epoch in owner_forgotten,
    lease_for_order in owner_forgotten,
}
