//! The model check: a breadth-first search over the state machines that the host process runs.
//!
//! The environment drops, delays and duplicates messages, pauses, isolates, crashes and restarts
//! hosts, stops the table service and loses its responses. `Simulation` checks after every event
//! that at most one host serves a partition, that fences only grow, and that the row keeps or
//! supersedes every acknowledged assignment. Each safety rule is also disabled once, to show that
//! the search then finds a violation.

mod simulation;

use model::{Epoch, Fence, Millis, Partition, RowVersion};
use ownership::{ClaimRef, Event, GrantorSet, Message, SafetyRules, Timing, VersionedRow};
use simulation::search::{Action, SearchResult, SearchSpace, search};
use simulation::{
    FaultAction, MessageFault, Packet, Simulation, StoreState, addr, first_row, grantor, session,
};

const STEP: Millis = Millis(250);

/// Coarse times: all but the drift margin are multiples of a step.
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

/// The ticks in which a cell starts to serve, before the search begins.
const WARM_UP_TICKS: usize = 8;

fn new_cell(
    hosts: usize,
    down: &[usize],
    grantors: &[usize],
    owners: &[(usize, usize)],
    rules: SafetyRules,
) -> Simulation {
    let row = Some(first_row(hosts, grantors, owners));
    let mut sim = Simulation::with_row(row, hosts, down, owners.len() as u32, TIMING, rules);
    sim.records_log = false;
    sim
}

fn started_cell(
    hosts: usize,
    grantors: &[usize],
    owners: &[(usize, usize)],
    rules: SafetyRules,
) -> Simulation {
    let mut sim = new_cell(hosts, &[], grantors, owners, rules);
    (0..WARM_UP_TICKS).for_each(|_| sim.step(STEP));
    assert!(sim.all_served(), "{sim:#?}");
    sim
}

fn search_space(
    name: &'static str,
    start: Simulation,
    faults: Vec<Action>,
    fault_budget: u8,
) -> SearchSpace {
    SearchSpace { name, start, faults, fault_budget, ticks: 9, fault_ticks: 5, step: STEP }
}

fn message_fault(kind: &'static str, to: usize, action: FaultAction) -> Action {
    Action::FaultMessage(MessageFault { kind, to, action })
}

/// Hosts 0 to 2 are grantors, host 3 is the owner and host 1 the standby; host 3 may become a
/// grantor.
fn host_failures(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(4, &[0, 1, 2], &[(3, 1)], rules);
    let mut faults =
        vec![Action::SetStore(StoreState::Down), Action::SetStore(StoreState::ResponsesLost)];
    for i in 0..4 {
        faults.extend([Action::Isolate(i), Action::Pause(i), Action::Crash(i)]);
    }
    SearchSpace { fault_ticks: 3, ..search_space("host failures", start, faults, 2) }
}

/// The owner is also the coordinator and a grantor. Up to three faults.
fn coordinator_is_owner(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(4, &[0, 1, 2], &[(0, 3)], rules);
    let faults = vec![
        Action::Pause(0),
        Action::Isolate(0),
        Action::Crash(1),
        Action::SetStore(StoreState::Down),
    ];
    SearchSpace {
        ticks: 8,
        fault_ticks: 4,
        ..search_space("coordinator is owner", start, faults, 3)
    }
}

/// Two partitions, each with the owner of the other one as its standby.
fn two_partitions(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(3, &[0, 1, 2], &[(1, 2), (2, 1)], rules);
    let faults = vec![
        Action::Isolate(1),
        Action::Pause(2),
        Action::Crash(1),
        Action::SetStore(StoreState::Down),
    ];
    search_space("two partitions", start, faults, 2)
}

/// Orders and answers are dropped, delayed or duplicated while the owner's backend server is down.
fn message_failures(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(4, &[0, 1, 2], &[(3, 1)], rules);
    let mut faults = vec![Action::BackendDown(3), Action::BackendDown(1), Action::Crash(0)];
    for (kind, to) in [("Assign", 1), ("Release", 3), ("Released", 0), ("Renewed", 3)] {
        for action in [FaultAction::Drop, FaultAction::Delay, FaultAction::Duplicate] {
            faults.push(message_fault(kind, to, action));
        }
    }
    search_space("message failures", start, faults, 2)
}

/// Host 3 loses its links to some of the grantors, and the coordinator its link to another grantor.
fn link_failures(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(4, &[0, 1, 2], &[(3, 1)], rules);
    let faults = vec![
        Action::BreakLink(0, 3),
        Action::BreakLink(2, 3),
        Action::BreakLink(0, 1),
        Action::SetStore(StoreState::Down),
        Action::Crash(0),
    ];
    search_space("link failures", start, faults, 2)
}

/// Delays a copy of the order that the first owner got in epoch 1.
fn delay_first_assign(sim: &mut Simulation, owner: usize) {
    let (epoch, session) = (Epoch(1), session(owner));
    let claim = ClaimRef { epoch, session, partition: Partition(0), fence: Fence(2) };
    let message = Message::Assign { claim, handed_over_from: None, first: false };
    let event = Event::Received { from: addr(0), message };
    sim.delayed.push(Packet { from: addr(0), to: addr(owner), event });
}

/// A duplicate of the first order to the owner is still in flight.
fn delayed_assign(rules: SafetyRules) -> SearchSpace {
    let mut start = started_cell(4, &[0, 1, 2], &[(3, 1)], rules);
    delay_first_assign(&mut start, 3);
    let faults =
        vec![Action::BackendDown(3), Action::Isolate(3), Action::ClockJump(3), Action::Pause(3)];
    search_space("delayed assign", start, faults, 2)
}

/// The store is down while the owner is lost, and the takeover order to the standby is delayed.
fn delayed_takeover(rules: SafetyRules) -> SearchSpace {
    let start = started_cell(4, &[0, 1, 2], &[(3, 1)], rules);
    let faults = vec![
        Action::SetStore(StoreState::Down),
        Action::Crash(3),
        message_fault("TakeOver", 1, FaultAction::Delay),
        Action::BackendDown(1),
    ];
    SearchSpace { ticks: 8, ..search_space("delayed takeover", start, faults, 4) }
}

/// Starts a cell of five hosts that keeps three grantors, because host 4 is draining.
fn started_with_three_grantors_of_five(
    owner: usize,
    standby: usize,
    rules: SafetyRules,
) -> Simulation {
    let mut sim = new_cell(5, &[], &[0, 1, 2], &[(owner, standby)], rules);
    sim.drain(4);
    (0..WARM_UP_TICKS).for_each(|_| sim.step(STEP));
    assert!(sim.all_served() && sim.stored().epoch == Epoch(1));
    sim
}

/// Moves the row to epoch 2 with other grantors, like a write whose response was lost.
fn change_grantors(sim: &mut Simulation, grantors: &[usize], notified: &[usize]) {
    let mut row = sim.stored().clone();
    assert_eq!(row.epoch, Epoch(1));
    let previous =
        std::mem::replace(&mut row.grantors, grantors.iter().map(|g| grantor(*g)).collect());
    row.unsealed.push(GrantorSet { epoch: row.epoch, grantors: previous });
    row.epoch = Epoch(2);
    let known = VersionedRow { version: RowVersion(100), row };
    sim.row = Some(known.clone());
    for index in notified {
        let message = Message::RowChanged(known.clone());
        sim.feed(*index, Event::Received { from: addr(grantors[0]), message });
    }
    sim.deliver_all();
}

/// The owner and two old grantors are on one side of a network partition, the new ones on the
/// other.
fn old_grantors_isolated(rules: SafetyRules) -> SearchSpace {
    let mut start = started_with_three_grantors_of_five(3, 2, rules);
    [0, 1, 3].into_iter().for_each(|i| start.set_network_group(i, 1));
    change_grantors(&mut start, &[1, 2, 4], &[2, 4]);
    let faults = vec![Action::Pause(3), Action::SetStore(StoreState::Down)];
    SearchSpace { ticks: 7, ..search_space("old grantors isolated", start, faults, 1) }
}

/// The owner joined but never got a lease; two grantors expired its session and the standby took
/// over. Then the grantors change, and the first two new ones did not expire the session
/// themselves.
fn owner_without_lease(rules: SafetyRules) -> SearchSpace {
    let mut start = new_cell(5, &[4], &[0, 1, 2], &[(4, 1)], rules);
    start.set_network_group(4, 1);
    start.restart_as_first(4);
    start.broken_links.push((0, 2));
    start.store = StoreState::Down;
    (0..WARM_UP_TICKS).for_each(|_| start.step(STEP));
    assert_eq!(start.serving(Partition(0)), [1]);
    start.crash(0);
    start.broken_links = vec![(1, 4)];
    start.store = StoreState::Up;
    start.set_network_group(4, 0);
    change_grantors(&mut start, &[3, 2, 1], &[1, 2, 3, 4]);
    let faults =
        vec![Action::Isolate(1), Action::Pause(3), message_fault("Sealed", 3, FaultAction::Delay)];
    SearchSpace { ticks: 7, ..search_space("owner without lease", start, faults, 1) }
}

/// The owner joined but never got a lease, was replaced and left the row. Then the grantors change
/// and forget that its session expired, because the row no longer references it. Its first order is
/// still in flight.
fn owner_dropped_from_row(rules: SafetyRules) -> SearchSpace {
    let mut start = new_cell(5, &[4], &[0, 1, 2], &[(4, 1)], rules);
    (0..WARM_UP_TICKS).for_each(|_| start.step(STEP));
    assert!(!start.stored().references(session(4)));
    change_grantors(&mut start, &[3, 2, 1], &[0, 1, 2, 3]);
    (0..WARM_UP_TICKS).for_each(|_| start.step(STEP));
    assert!(start.stored().unsealed.is_empty());
    start.set_network_group(4, 1);
    start.restart_as_first(4);
    delay_first_assign(&mut start, 4);
    let faults = vec![Action::Isolate(1), Action::Pause(3)];
    SearchSpace { ticks: 5, ..search_space("owner dropped from row", start, faults, 1) }
}

/// Two old grantors expire the owner's session while the owner switches to the new grantors.
fn owner_switches_grantors(rules: SafetyRules) -> SearchSpace {
    let mut start = started_with_three_grantors_of_five(3, 1, rules);
    [0, 1].into_iter().for_each(|i| start.set_network_group(i, 1));
    change_grantors(&mut start, &[2, 4, 1], &[2, 3, 4]);
    let faults = vec![Action::Pause(2), Action::SetStore(StoreState::Down)];
    SearchSpace { ticks: 8, ..search_space("owner switches grantors", start, faults, 1) }
}

fn report(result: &SearchResult, name: &str) {
    println!("{name}: {} states, {:?}", result.states, result.coverage);
    if let Some(trace) = &result.trace {
        println!("{name}: {} actions:\n  {}", trace.len(), trace.join("\n  "));
    }
}

fn check_rules_hold(make_space: fn(SafetyRules) -> SearchSpace) {
    let search_space = make_space(SafetyRules::default());
    let result = search(&search_space);
    report(&result, search_space.name);
    assert!(result.trace.is_none(), "{}", search_space.name);
}

fn check_violation_found(
    rule: &str,
    rules: SafetyRules,
    make_space: fn(SafetyRules) -> SearchSpace,
) {
    let search_space = make_space(rules);
    let result = search(&search_space);
    report(&result, &format!("{} without {rule}", search_space.name));
    assert!(result.trace.is_some(), "no violation found for {} without {rule}", search_space.name);
}

macro_rules! rules_hold_in {
    ($($name:ident,)*) => {
        mod rules_hold {
            $(#[test]
            fn $name() {
                super::check_rules_hold(super::$name);
            })*
        }
    };
}

rules_hold_in! {
    host_failures,
    coordinator_is_owner,
    two_partitions,
    message_failures,
    link_failures,
    delayed_assign,
    delayed_takeover,
    old_grantors_isolated,
    owner_without_lease,
    owner_dropped_from_row,
    owner_switches_grantors,
}

macro_rules! violations_without {
    ($($rule:ident in $search_space:ident,)*) => {
        mod violation_found_without {
            use ownership::{RuleMode, SafetyRules};

            $(#[test]
            fn $rule() {
                let rules = SafetyRules { $rule: RuleMode::Disabled, ..SafetyRules::default() };
                super::check_violation_found(stringify!($rule), rules, super::$search_space);
            })*
        }
    };
}

violations_without! {
    owner_claim in delayed_assign,
    standby_claim in delayed_takeover,
    expiry_wait in host_failures,
    sticky_expiry in link_failures,
    seal in old_grantors_isolated,
    grant_after_seal in owner_switches_grantors,
    current_session in delayed_assign,
    release_promise in delayed_assign,
    own_lease_expiry in host_failures,
    inherited_expirations in owner_without_lease,
    order_epoch in owner_dropped_from_row,
    lease_for_order in owner_dropped_from_row,
}
