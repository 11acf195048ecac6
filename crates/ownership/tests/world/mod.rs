//! A few nodes, the messages between them, the row, and the faults that the tests cause.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of this module")]

mod checks;
mod fixtures;
mod queries;
pub mod search;

pub use fixtures::*;

use std::collections::VecDeque;

use model::{ConfigVersion, Fence, HostAddr, Millis, Partition, RowVersion};
use ownership::{CellRow, Command, Event, Message, Node, SafetyRules, Timing, VersionedRow};

/// Bounds the messages that one step may cause, so that a loop fails instead of hanging.
const MAX_DELIVERIES: usize = 20_000;

/// When a world begins.
const START: Millis = Millis(100_000);

/// How far the clock of each host is ahead of that of the host before it.
const OFFSET_STEP_MS: u64 = 7_000;

/// How many of the oldest messages may overtake each other in a disorderly world.
const REORDERED: usize = 8;

/// One message in so many is kept back in a disorderly world.
const KEPT_BACK_ONE_IN: usize = 40;

/// The most messages that are kept back.
const MAX_HELD: usize = 40;

/// What a host process does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    Running,
    /// Nothing is handled; what comes in waits. Work goes on until the lease's end.
    Paused,
    Down,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    pub node: Node,
    pub state: State,
    /// Hosts in different groups cannot reach each other.
    pub group: u8,
    /// How far this host's clock is ahead.
    pub offset: Millis,
    /// How many milliseconds per second this host's clock runs ahead.
    pub rate: u64,
    pub draining: bool,
    pub drained: bool,
    inbox: Vec<Packet>,
    runs: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Packet {
    pub from: HostAddr,
    pub to: HostAddr,
    pub event: Event,
}

/// How the table service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreState {
    Up,
    Down,
    /// Writes take effect and the answer is lost.
    AnswersLost,
}

/// What a fault on messages catches: the next message of a kind to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Trap {
    pub kind: &'static str,
    pub to: usize,
    pub action: TrapAction,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TrapAction {
    Lose,
    /// Kept back until `World::deliver_held`.
    Hold,
    /// Delivered now and kept for once more.
    Double,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub now: Millis,
    pub hosts: Vec<Host>,
    pub row: Option<VersionedRow>,
    pub store: StoreState,
    /// Pairs of hosts that cannot reach each other, whatever their groups.
    pub broken_links: Vec<(usize, usize)>,
    pub held: Vec<Packet>,
    pub trap: Option<Trap>,
    /// The state of a generator that puts messages out of order and keeps some back.
    pub disorder: Option<u64>,
    pub partitions: u32,
    /// The highest fence that anyone began to serve under, per partition.
    pub served: Vec<Fence>,
    pub violation: Option<String>,
    pub writes: u32,
    /// Whether released partitions become quiet at once.
    pub quiesces: bool,
    pub resumed: u32,
    pub config_known: Vec<(usize, ConfigVersion)>,
    pub keeps_log: bool,
    pub log: Log,
    rules: SafetyRules,
    timing: Timing,
    queue: VecDeque<Packet>,
}

/// Decisions in order. It is no part of the state that a search compares.
#[derive(Clone, Debug, Default)]
pub struct Log(pub Vec<(Millis, usize, String)>);

impl PartialEq for Log {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for Log {}

impl std::hash::Hash for Log {
    fn hash<H: std::hash::Hasher>(&self, _state: &mut H) {}
}

/// Commands.
impl World {
    pub fn new(hosts: usize, partitions: u32, timing: Timing, rules: SafetyRules) -> Self {
        Self::with_row(None, hosts, &[], partitions, timing, rules)
    }

    /// Starts all hosts but the absent ones, which are down.
    pub fn with_row(
        row: Option<VersionedRow>,
        hosts: usize,
        absent: &[usize],
        partitions: u32,
        timing: Timing,
        rules: SafetyRules,
    ) -> Self {
        let mut world = Self {
            now: START,
            hosts: Vec::new(),
            row,
            store: StoreState::Up,
            broken_links: Vec::new(),
            held: Vec::new(),
            trap: None,
            disorder: None,
            partitions,
            served: vec![Fence(0); partitions as usize],
            violation: None,
            writes: 0,
            quiesces: true,
            resumed: 0,
            config_known: Vec::new(),
            keeps_log: true,
            log: Log::default(),
            rules,
            timing,
            queue: VecDeque::new(),
        };
        for index in 0..hosts {
            let node = world.fresh_node(index, 0);
            world.hosts.push(Host {
                node,
                state: State::Running,
                group: 0,
                offset: Millis(OFFSET_STEP_MS * index as u64),
                rate: 0,
                draining: false,
                drained: false,
                inbox: Vec::new(),
                runs: 0,
            });
        }
        absent.iter().for_each(|i| world.crash(*i));
        for index in (0..hosts).filter(|i| !absent.contains(i)) {
            world.report(index, 4);
        }
        world
    }

    pub fn report(&mut self, index: usize, slots: u32) {
        self.feed(index, Event::Reported(report(slots)));
        self.settle();
    }

    /// Lets `span` pass and gives each running host a tick.
    pub fn step(&mut self, span: Millis) {
        self.now += span;
        for index in 0..self.hosts.len() {
            if self.hosts[index].state == State::Running {
                self.feed(index, Event::Tick);
            }
        }
        self.settle();
    }

    /// Steps in ticks of 50 ms until `done`; returns how long that took, or `None` after `limit`.
    pub fn run_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now.since(start) < limit {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.step(Millis(50));
        }
        done(self).then(|| self.now.since(start))
    }

    pub fn feed(&mut self, index: usize, event: Event) {
        let now = self.local_time(index);
        let commands = self.hosts[index].node.handle(event, now);
        for command in commands {
            self.carry_out(index, command);
        }
        self.check();
    }

    /// Delivers what is under way until nothing is.
    pub fn settle(&mut self) {
        for _ in 0..MAX_DELIVERIES {
            let index = self.random(self.queue.len().min(REORDERED));
            let Some(packet) = self.queue.remove(index) else {
                return;
            };
            self.deliver(packet);
        }
        let last: Vec<String> = self.queue.iter().map(|p| format!("{p:?}")).take(4).collect();
        self.fail(format!("messages never cease: {last:?}"));
    }

    pub fn pause(&mut self, index: usize) {
        self.hosts[index].state = State::Paused;
    }

    pub fn resume(&mut self, index: usize) {
        self.hosts[index].state = State::Running;
        let inbox = std::mem::take(&mut self.hosts[index].inbox);
        self.queue.extend(inbox);
        self.settle();
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].state = State::Down;
        self.hosts[index].inbox.clear();
    }

    pub fn drain(&mut self, index: usize) {
        self.hosts[index].draining = true;
        self.feed(index, Event::Drain);
        self.settle();
    }

    /// Starts a new run of the host process at the same address.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index].runs += 1;
        self.hosts[index].inbox.clear();
        self.hosts[index].node = self.fresh_node(index, self.hosts[index].runs);
        self.hosts[index].state = State::Running;
        self.hosts[index].drained = false;
        self.hosts[index].draining = false;
        self.report(index, 4);
    }

    pub fn cut(&mut self, index: usize, group: u8) {
        self.hosts[index].group = group;
    }

    pub fn deliver_held(&mut self, index: usize) {
        let packet = self.held.remove(index);
        self.queue.push_back(packet);
        self.settle();
    }

    /// Starts the first run of a host process once more, as if it had never run.
    pub fn restart_as_first(&mut self, index: usize) {
        self.hosts[index].node = self.fresh_node(index, 0);
        self.hosts[index].state = State::Running;
        self.report(index, 4);
    }

    fn fresh_node(&self, index: usize, run: u64) -> Node {
        let settings = settings(index, run, self.partitions, self.timing);
        Node::with_rules(settings, self.rules)
    }

    fn deliver(&mut self, packet: Packet) {
        let Some(index) = (0..self.hosts.len()).find(|i| addr(*i) == packet.to) else {
            return;
        };
        match self.hosts[index].state {
            State::Running => self.feed(index, packet.event),
            State::Paused => self.hosts[index].inbox.push(packet),
            State::Down => {}
        }
    }

    fn carry_out(&mut self, index: usize, command: Command) {
        let from = addr(index);
        match command {
            Command::Send { to, message } => self.send(index, to, message),
            Command::ReadRow => {
                let up = self.store_answers(index);
                let event =
                    if up { Event::RowRead(self.row.clone()) } else { Event::RowReadFailed };
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::WriteRow { expected, row } => {
                let event = self.write(index, expected, row);
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::Serve { partition, fence, .. } => self.note_served(partition, fence),
            Command::Quiesce { .. } if !self.quiesces => {}
            Command::Quiesce { partition, fence, .. } => {
                let event = Event::Quiesced { partition, fence, handed_over: true };
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::Drained => self.hosts[index].drained = true,
            Command::Record(decision) => {
                if self.keeps_log {
                    let text = format!("{}: {}", decision.kind, decision.reason);
                    self.log.0.push((self.now, index, text));
                }
            }
            Command::Resume { .. } => self.resumed += 1,
            Command::ConfigKnown { version, .. } => self.note_config(index, version),
            Command::StopAll => {}
        }
    }

    fn send(&mut self, index: usize, to: HostAddr, message: Message) {
        let Some(target) = (0..self.hosts.len()).find(|i| addr(*i) == to) else {
            return;
        };
        if !self.reaches(index, target) {
            return;
        }
        let kind = kind_of(&message);
        let packet = Packet { from: addr(index), to, event: received(addr(index), message) };
        let is_kept_back = self.disorder.is_some() && self.random(KEPT_BACK_ONE_IN) == 1;
        if is_kept_back && self.held.len() < MAX_HELD {
            self.held.push(packet);
            return;
        }
        let trap = self.trap.filter(|t| t.kind == kind && t.to == target);
        let Some(trap) = trap else {
            self.queue.push_back(packet);
            return;
        };
        self.trap = None;
        match trap.action {
            TrapAction::Lose => {}
            TrapAction::Hold => self.held.push(packet),
            TrapAction::Double => {
                self.held.push(packet.clone());
                self.queue.push_back(packet);
            }
        }
    }

    fn note_config(&mut self, index: usize, version: ConfigVersion) {
        if !self.config_known.contains(&(index, version)) {
            self.config_known.push((index, version));
        }
    }

    /// Returns 0 in an orderly world, or else a number below `bound`.
    fn random(&mut self, bound: usize) -> usize {
        let Some(state) = &mut self.disorder else {
            return 0;
        };
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*state >> 33) as usize % bound.max(1)
    }

    fn write(&mut self, index: usize, expected: Option<RowVersion>, row: CellRow) -> Event {
        if !self.store_answers(index) {
            return Event::RowWriteFailed;
        }
        let version = self.row.as_ref().map(|r| r.version);
        if version != expected {
            return Event::RowConflict;
        }
        self.check_write(&row);
        let version = RowVersion(version.map_or(1, |v| v.0 + 1));
        self.row = Some(VersionedRow { version, row });
        self.writes += 1;
        if self.store == StoreState::AnswersLost {
            return Event::RowWriteUnknown;
        }
        Event::RowWritten(version)
    }
}

fn received(from: HostAddr, message: Message) -> Event {
    Event::Received { from, message }
}

pub fn kind_of(message: &Message) -> &'static str {
    match message {
        Message::Join(_) => "Join",
        Message::Renew(_) => "Renew",
        Message::Renewed { .. } => "Renewed",
        Message::RenewRefused { .. } => "RenewRefused",
        Message::Assign { .. } => "Assign",
        Message::TakeOver(_) => "TakeOver",
        Message::Serving(_) => "Serving",
        Message::Release(_) => "Release",
        Message::Released { .. } => "Released",
        Message::ExpireSession { .. } => "ExpireSession",
        Message::SessionExpired { .. } => "SessionExpired",
        Message::Seal { .. } => "Seal",
        Message::Sealed { .. } => "Sealed",
        Message::RowChanged(_) => "RowChanged",
        Message::GetRoutes(_) => "GetRoutes",
        Message::Routes(_) => "Routes",
    }
}
