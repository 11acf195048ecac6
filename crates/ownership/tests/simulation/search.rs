//! Breadth-first search over the simulation: every interleaving of a few faults with time steps.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use model::Millis;
use ownership::Event;
use pathfinding::prelude::bfs;

use super::{HostState, MessageFault, Simulation, StoreState};

/// One action of the simulated environment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time passes, every running host gets a tick, and all messages in flight are delivered.
    Tick,
    /// A host is cut off from all other hosts and from the table service.
    Isolate(usize),
    Pause(usize),
    Crash(usize),
    ClockJump(usize),
    /// The backend server of a host goes down.
    BackendDown(usize),
    Drain(usize),
    /// Two hosts no longer reach each other.
    BreakLink(usize, usize),
    SetStore(StoreState),
    FaultMessage(MessageFault),
    RestoreLink(usize, usize),
    /// An isolated host is connected again.
    Reconnect(usize),
    Resume(usize),
    Restart(usize),
    DeliverDelayed(usize),
}

/// A bounded set of behaviours, which is searched exhaustively.
#[derive(Clone)]
pub struct SearchSpace {
    pub name: &'static str,
    pub start: Simulation,
    /// The possible faults.
    pub faults: Vec<Action>,
    /// The most faults in one behaviour.
    pub fault_budget: u8,
    /// The number of ticks in one behaviour.
    pub ticks: u8,
    /// Faults are injected before this tick only.
    pub fault_ticks: u8,
    pub step: Millis,
}

/// Which states a search covered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    pub depth: usize,
    pub epoch: u64,
    pub fence: u64,
    /// How many states have two coordinators or more.
    pub states_with_two_coordinators: usize,
}

/// The result of a search.
pub struct SearchResult {
    pub states: usize,
    pub coverage: Coverage,
    /// The actions that lead to a violation, if one was found.
    pub trace: Option<Vec<String>>,
}

/// A state of the search. Two states are equal if their fingerprints are.
#[derive(Clone)]
struct SearchNode {
    fingerprint: (u64, u64),
    action: Action,
    violation: Option<String>,
    fault_budget: u8,
    ticks: u8,
    depth: usize,
    /// Taken when the state is expanded, so that only the frontier is kept in memory.
    sim: Rc<RefCell<Option<Box<Simulation>>>>,
}

impl PartialEq for SearchNode {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for SearchNode {}

impl Hash for SearchNode {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}

/// Searches a space until a violation is found or all states have been visited.
pub fn search(space: &SearchSpace) -> SearchResult {
    let first = node(space.start.clone(), Action::Tick, space.fault_budget, space.ticks, 0);
    let seen = RefCell::new(BTreeSet::from([first.fingerprint]));
    let coverage = RefCell::new(Coverage::default());
    let next = |n: &SearchNode| {
        let Some(sim) = n.sim.borrow_mut().take() else {
            return Vec::new();
        };
        let nodes = successors(space, n, &sim);
        seen.borrow_mut().extend(nodes.iter().map(|n| n.fingerprint));
        coverage.borrow_mut().record(n.depth, &sim);
        nodes
    };
    let path = bfs(&first, next, |n| n.violation.is_some());
    let trace = path.map(|path| path.iter().skip(1).map(describe).collect());
    let (states, coverage) = (seen.borrow().len(), *coverage.borrow());
    SearchResult { states, coverage, trace }
}

impl Coverage {
    fn record(&mut self, depth: usize, sim: &Simulation) {
        let fence = sim.highest_served.iter().map(|f| f.0).max().unwrap_or(0);
        self.depth = self.depth.max(depth);
        self.epoch = self.epoch.max(sim.stored().epoch.0);
        self.fence = self.fence.max(fence);
        self.states_with_two_coordinators += usize::from(sim.coordinators().len() > 1);
    }
}

fn describe(node: &SearchNode) -> String {
    let end = node.violation.as_ref().map_or(String::new(), |v| format!(" -> {v}"));
    format!("{:?}{end}", node.action)
}

fn successors(space: &SearchSpace, n: &SearchNode, sim: &Simulation) -> Vec<SearchNode> {
    let mut actions = repairs(sim);
    if n.ticks > 0 {
        actions.push(Action::Tick);
    }
    if n.fault_budget > 0 && space.ticks - n.ticks < space.fault_ticks {
        actions.extend(space.faults.iter().filter(|f| is_possible(sim, **f)));
    }
    let after = |action: Action| {
        let mut sim = sim.clone();
        apply(&mut sim, action, space.step);
        let fault_budget = n.fault_budget - u8::from(space.faults.contains(&action));
        let ticks = n.ticks - u8::from(action == Action::Tick);
        node(sim, action, fault_budget, ticks, n.depth + 1)
    };
    actions.into_iter().map(after).collect()
}

fn node(sim: Simulation, action: Action, fault_budget: u8, ticks: u8, depth: usize) -> SearchNode {
    let hash = |seed: u64| {
        let mut hasher = DefaultHasher::new();
        (seed, fault_budget, ticks, &sim).hash(&mut hasher);
        hasher.finish()
    };
    let fingerprint = (hash(1), hash(2));
    let violation = sim.violation.clone();
    let sim = Rc::new(RefCell::new(Some(Box::new(sim))));
    SearchNode { fingerprint, action, violation, fault_budget, ticks, depth, sim }
}

/// Returns the actions that end a fault. They need no budget and may happen at any time after it.
fn repairs(sim: &Simulation) -> Vec<Action> {
    let mut actions: Vec<Action> = (0..sim.delayed.len()).map(Action::DeliverDelayed).collect();
    for (index, host) in sim.hosts.iter().enumerate() {
        if host.network_group != 0 {
            actions.push(Action::Reconnect(index));
        }
        match host.state {
            HostState::Running => {}
            HostState::Paused => actions.push(Action::Resume(index)),
            HostState::Down => actions.push(Action::Restart(index)),
        }
    }
    actions.extend(sim.broken_links.iter().map(|(a, b)| Action::RestoreLink(*a, *b)));
    if sim.store != StoreState::Up {
        actions.push(Action::SetStore(StoreState::Up));
    }
    actions
}

fn is_possible(sim: &Simulation, action: Action) -> bool {
    match action {
        Action::Isolate(i) => sim.hosts[i].network_group == 0,
        Action::Pause(i) | Action::Crash(i) | Action::ClockJump(i) => {
            sim.hosts[i].state == HostState::Running
        }
        Action::SetStore(state) => sim.store != state,
        Action::BackendDown(i) | Action::Drain(i) => sim.hosts[i].state == HostState::Running,
        Action::BreakLink(a, b) => !sim.broken_links.contains(&(a, b)),
        Action::FaultMessage(_) => sim.message_fault.is_none(),
        _ => false,
    }
}

pub fn apply(sim: &mut Simulation, action: Action, step: Millis) {
    match action {
        Action::Tick => sim.step(step),
        Action::Isolate(i) => sim.set_network_group(i, i as u8 + 1),
        Action::Pause(i) => sim.pause(i),
        Action::Crash(i) => sim.crash(i),
        Action::ClockJump(i) => {
            sim.feed(i, Event::ClockJumped);
            sim.deliver_all();
        }
        Action::SetStore(state) => sim.store = state,
        Action::FaultMessage(fault) => sim.message_fault = Some(fault),
        Action::BackendDown(i) => sim.report(i, 0),
        Action::Drain(i) => sim.drain(i),
        Action::BreakLink(a, b) => sim.broken_links.push((a, b)),
        Action::RestoreLink(a, b) => sim.broken_links.retain(|l| *l != (a, b)),
        Action::Reconnect(i) => sim.set_network_group(i, 0),
        Action::Resume(i) => sim.resume(i),
        Action::Restart(i) => sim.restart(i),
        Action::DeliverDelayed(i) => sim.deliver_delayed(i),
    }
}
