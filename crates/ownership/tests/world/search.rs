//! Breadth-first search over a world: every mixture of a few faults with the passage of time.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use model::Millis;
use ownership::Event;
use pathfinding::prelude::bfs;

use super::{State, StoreState, Trap, World};

/// One move of the environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    /// Time passes, every running host gets a tick, and all that is under way arrives.
    Round,
    Cut(usize),
    Pause(usize),
    Crash(usize),
    Jump(usize),
    /// The backend server of a host goes down.
    NoSlots(usize),
    Drain(usize),
    /// Two hosts no longer reach each other.
    Break(usize, usize),
    Store(StoreState),
    Trap(Trap),
    Mend(usize, usize),
    Heal(usize),
    Resume(usize),
    Restart(usize),
    Deliver(usize),
}

/// A part of all behaviours that is searched whole.
#[derive(Clone)]
pub struct Space {
    pub name: &'static str,
    pub start: World,
    /// The faults to choose from; each costs one of `budget`.
    pub faults: Vec<Act>,
    pub budget: u8,
    pub rounds: u8,
    /// Faults happen before this round.
    pub fault_rounds: u8,
    pub step: Millis,
}

/// What a search saw on its way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reached {
    pub depth: usize,
    pub epoch: u64,
    pub fence: u64,
    /// How many states have two coordinators or more.
    pub rival_coordinators: usize,
}

/// What a search found.
pub struct Found {
    pub states: usize,
    pub reached: Reached,
    pub trace: Option<Vec<String>>,
}

/// A state of the search. Two states are the same if their fingerprints are.
#[derive(Clone)]
struct Node {
    fingerprint: (u64, u64),
    act: Act,
    violation: Option<String>,
    budget: u8,
    rounds: u8,
    depth: usize,
    /// Taken when the state is expanded, so that only the frontier is kept in memory.
    world: Rc<RefCell<Option<Box<World>>>>,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

/// Searches a space until a check fails or nothing is left.
pub fn search(space: &Space) -> Found {
    let first = node(space.start.clone(), Act::Round, space.budget, space.rounds, 0);
    let seen = RefCell::new(BTreeSet::from([first.fingerprint]));
    let reached = RefCell::new(Reached::default());
    let next = |n: &Node| {
        let Some(world) = n.world.borrow_mut().take() else {
            return Vec::new();
        };
        let nodes = successors(space, n, &world);
        seen.borrow_mut().extend(nodes.iter().map(|n| n.fingerprint));
        reached.borrow_mut().note(n.depth, &world);
        nodes
    };
    let path = bfs(&first, next, |n| n.violation.is_some());
    let trace = path.map(|path| path.iter().skip(1).map(describe).collect());
    let (states, reached) = (seen.borrow().len(), *reached.borrow());
    Found { states, reached, trace }
}

impl Reached {
    fn note(&mut self, depth: usize, world: &World) {
        let fence = world.served.iter().map(|f| f.0).max().unwrap_or(0);
        self.depth = self.depth.max(depth);
        self.epoch = self.epoch.max(world.stored().epoch.0);
        self.fence = self.fence.max(fence);
        self.rival_coordinators += usize::from(world.coordinators().len() > 1);
    }
}

fn describe(node: &Node) -> String {
    let end = node.violation.as_ref().map_or(String::new(), |v| format!(" -> {v}"));
    format!("{:?}{end}", node.act)
}

fn successors(space: &Space, n: &Node, world: &World) -> Vec<Node> {
    let mut acts = repairs(world);
    if n.rounds > 0 {
        acts.push(Act::Round);
    }
    if n.budget > 0 && space.rounds - n.rounds < space.fault_rounds {
        acts.extend(space.faults.iter().filter(|f| is_possible(world, **f)));
    }
    let after = |act: Act| {
        let mut world = world.clone();
        apply(&mut world, act, space.step);
        let budget = n.budget - u8::from(space.faults.contains(&act));
        let rounds = n.rounds - u8::from(act == Act::Round);
        node(world, act, budget, rounds, n.depth + 1)
    };
    acts.into_iter().map(after).collect()
}

fn node(world: World, act: Act, budget: u8, rounds: u8, depth: usize) -> Node {
    let print = |seed: u64| {
        let mut hasher = DefaultHasher::new();
        (seed, budget, rounds, &world).hash(&mut hasher);
        hasher.finish()
    };
    let fingerprint = (print(1), print(2));
    let violation = world.violation.clone();
    let world = Rc::new(RefCell::new(Some(Box::new(world))));
    Node { fingerprint, act, violation, budget, rounds, depth, world }
}

/// What ends a fault. It costs nothing, and may happen at any time after the fault.
fn repairs(world: &World) -> Vec<Act> {
    let mut acts: Vec<Act> = (0..world.held.len()).map(Act::Deliver).collect();
    for (index, host) in world.hosts.iter().enumerate() {
        if host.group != 0 {
            acts.push(Act::Heal(index));
        }
        match host.state {
            State::Running => {}
            State::Paused => acts.push(Act::Resume(index)),
            State::Down => acts.push(Act::Restart(index)),
        }
    }
    acts.extend(world.broken_links.iter().map(|(a, b)| Act::Mend(*a, *b)));
    if world.store != StoreState::Up {
        acts.push(Act::Store(StoreState::Up));
    }
    acts
}

fn is_possible(world: &World, act: Act) -> bool {
    match act {
        Act::Cut(i) => world.hosts[i].group == 0,
        Act::Pause(i) | Act::Crash(i) | Act::Jump(i) => world.hosts[i].state == State::Running,
        Act::Store(state) => world.store != state,
        Act::NoSlots(i) | Act::Drain(i) => world.hosts[i].state == State::Running,
        Act::Break(a, b) => !world.broken_links.contains(&(a, b)),
        Act::Trap(_) => world.trap.is_none(),
        _ => false,
    }
}

pub fn apply(world: &mut World, act: Act, step: Millis) {
    match act {
        Act::Round => world.step(step),
        Act::Cut(i) => world.cut(i, i as u8 + 1),
        Act::Pause(i) => world.pause(i),
        Act::Crash(i) => world.crash(i),
        Act::Jump(i) => {
            world.feed(i, Event::ClockJumped);
            world.settle();
        }
        Act::Store(state) => world.store = state,
        Act::Trap(trap) => world.trap = Some(trap),
        Act::NoSlots(i) => world.report(i, 0),
        Act::Drain(i) => world.drain(i),
        Act::Break(a, b) => world.broken_links.push((a, b)),
        Act::Mend(a, b) => world.broken_links.retain(|l| *l != (a, b)),
        Act::Heal(i) => world.cut(i, 0),
        Act::Resume(i) => world.resume(i),
        Act::Restart(i) => world.restart(i),
        Act::Deliver(i) => world.deliver_held(i),
    }
}
