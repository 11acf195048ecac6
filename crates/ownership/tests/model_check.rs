//! The model check: a breadth-first search over the machines that the host process runs.
//!
//! The environment loses, holds back and doubles messages, pauses, cuts off, crashes and restarts
//! hosts, takes the store down and loses its answers. `World` checks after every event that at
//! most one host serves a partition, that fences only grow, and that what was acknowledged is in
//! the row or superseded. Each rule is also taken out once, to show that the search would notice.

mod world;

use model::Millis;
use ownership::{Rule, Rules, Timing};
use world::search::{Act, Found, Space, search};
use world::{StoreState, Trap, TrapAction, World, first_row};

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

fn started(hosts: usize, grantors: &[usize], owners: &[(usize, usize)], rules: Rules) -> World {
    let row = Some(first_row(hosts, grantors, owners));
    let mut world = World::with_row(row, hosts, owners.len() as u32, TIMING, rules);
    world.keeps_log = false;
    for _ in 0..8 {
        world.step(STEP);
    }
    assert!(world.all_served(), "{world:#?}");
    world
}

fn trap(kind: &'static str, to: usize, action: TrapAction) -> Act {
    Act::Trap(Trap { kind, to, action })
}

/// Hosts 0 to 2 grant, host 3 owns, host 1 stands by; host 3 may become a grantor.
fn hosts_fail(rules: Rules) -> Space {
    let start = started(4, &[0, 1, 2], &[(3, 1)], rules);
    let mut faults = vec![Act::Store(StoreState::Down), Act::Store(StoreState::AnswersLost)];
    for i in 0..4 {
        faults.extend([Act::Cut(i), Act::Pause(i), Act::Crash(i)]);
    }
    Space { name: "hosts fail", start, faults, budget: 2, rounds: 12, step: STEP }
}

fn report(found: &Found, name: &str) {
    println!("{name}: {} states, depth {}", found.states, found.depth);
    if let Some(trace) = &found.trace {
        println!("{name}: {} acts:\n  {}", trace.len(), trace.join("\n  "));
    }
}

#[test]
fn hosts_may_fail() {
    let found = search(&hosts_fail(Rules::default()));
    report(&found, "hosts fail");
    assert!(found.trace.is_none());
}
