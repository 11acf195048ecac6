//! A deterministic simulation of one cell: its nodes, the network between them, the table service
//! and injected faults.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of this module")]

mod checks;
mod fixtures;
mod queries;
pub mod search;

pub use fixtures::*;

use std::collections::VecDeque;

use model::{ConfigVersion, Fence, HostAddr, Millis, Partition, RowVersion};
use ownership::{CellRow, Command, Event, Message, Node, SafetyRules, Timing, VersionedRow};

/// The most messages delivered in one step, so that an endless exchange fails instead of hanging.
const MAX_DELIVERIES: usize = 20_000;

/// The time at which a simulation starts.
const START: Millis = Millis(100_000);

/// How far the clock of each host is ahead of that of the previous host.
const CLOCK_OFFSET_STEP_MS: u64 = 7_000;

/// How many of the oldest messages may overtake each other in a simulation with reordering.
const REORDER_WINDOW: usize = 8;

/// One in this many messages is delayed in a simulation with reordering.
const DELAY_ONE_IN: usize = 40;

/// The most messages that are delayed at the same time.
const MAX_DELAYED: usize = 40;

/// The state of a host process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HostState {
    Running,
    /// The process handles no events, and received messages wait. Requests that it started keep
    /// running until its lease ends.
    Paused,
    Down,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    pub node: Node,
    pub state: HostState,
    /// Hosts in different groups cannot reach each other.
    pub network_group: u8,
    /// How far this host's clock is ahead of the simulated time at the start.
    pub clock_offset: Millis,
    /// How many milliseconds this host's clock gains per second.
    pub drift_ms_per_s: u64,
    pub draining: bool,
    pub drained: bool,
    inbox: Vec<Packet>,
    /// How often the host process was restarted.
    run: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Packet {
    pub from: HostAddr,
    pub to: HostAddr,
    pub event: Event,
}

/// The state of the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreState {
    Up,
    Down,
    /// Writes take effect, but the response is lost.
    ResponsesLost,
}

/// A fault that affects the next message of one kind to one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MessageFault {
    pub kind: &'static str,
    pub to: usize,
    pub action: FaultAction,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultAction {
    Drop,
    /// The message is held until `Simulation::deliver_delayed`.
    Delay,
    /// The message is delivered now, and a copy is held for a second delivery.
    Duplicate,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Simulation {
    pub now: Millis,
    pub hosts: Vec<Host>,
    pub row: Option<VersionedRow>,
    pub store: StoreState,
    /// Pairs of hosts that cannot reach each other, whatever their groups.
    pub broken_links: Vec<(usize, usize)>,
    pub delayed: Vec<Packet>,
    pub message_fault: Option<MessageFault>,
    /// The state of the generator that reorders and delays messages; `None` keeps their order.
    pub reorder_state: Option<u64>,
    pub partitions: u32,
    /// The highest fence under which any host has served, per partition.
    pub highest_served: Vec<Fence>,
    pub violation: Option<String>,
    pub write_count: u32,
    /// Whether partitions are quiesced at once when they are released.
    pub auto_quiesce: bool,
    pub resume_count: u32,
    pub known_configs: Vec<(usize, ConfigVersion)>,
    pub records_log: bool,
    pub log: Log,
    rules: SafetyRules,
    timing: Timing,
    queue: VecDeque<Packet>,
}

/// The recorded decisions, in order. The log is not part of the state that a search compares.
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
impl Simulation {
    pub fn new(hosts: usize, partitions: u32, timing: Timing, rules: SafetyRules) -> Self {
        Self::with_row(None, hosts, &[], partitions, timing, rules)
    }

    /// Starts all hosts but those in `down`.
    pub fn with_row(
        row: Option<VersionedRow>,
        hosts: usize,
        down: &[usize],
        partitions: u32,
        timing: Timing,
        rules: SafetyRules,
    ) -> Self {
        let mut sim = Self {
            now: START,
            hosts: Vec::new(),
            row,
            store: StoreState::Up,
            broken_links: Vec::new(),
            delayed: Vec::new(),
            message_fault: None,
            reorder_state: None,
            partitions,
            highest_served: vec![Fence(0); partitions as usize],
            violation: None,
            write_count: 0,
            auto_quiesce: true,
            resume_count: 0,
            known_configs: Vec::new(),
            records_log: true,
            log: Log::default(),
            rules,
            timing,
            queue: VecDeque::new(),
        };
        for index in 0..hosts {
            let node = sim.fresh_node(index, 0);
            sim.hosts.push(Host {
                node,
                state: HostState::Running,
                network_group: 0,
                clock_offset: Millis(CLOCK_OFFSET_STEP_MS * index as u64),
                drift_ms_per_s: 0,
                draining: false,
                drained: false,
                inbox: Vec::new(),
                run: 0,
            });
        }
        down.iter().for_each(|i| sim.crash(*i));
        for index in (0..hosts).filter(|i| !down.contains(i)) {
            sim.report(index, 4);
        }
        sim
    }

    pub fn report(&mut self, index: usize, slots: u32) {
        self.feed(index, Event::Reported(report(slots)));
        self.deliver_all();
    }

    /// Advances the time by `span`, gives each running host a tick and delivers all messages.
    pub fn step(&mut self, span: Millis) {
        self.now += span;
        for index in 0..self.hosts.len() {
            if self.hosts[index].state == HostState::Running {
                self.feed(index, Event::Tick);
            }
        }
        self.deliver_all();
    }

    /// Steps by 50 ms until `done`. Returns how long that took, or `None` after `limit`.
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
            self.execute(index, command);
        }
        self.check_single_owner();
    }

    /// Delivers messages until none is in flight.
    pub fn deliver_all(&mut self) {
        for _ in 0..MAX_DELIVERIES {
            let index = self.random(self.queue.len().min(REORDER_WINDOW));
            let Some(packet) = self.queue.remove(index) else {
                return;
            };
            self.deliver(packet);
        }
        let last: Vec<String> = self.queue.iter().map(|p| format!("{p:?}")).take(4).collect();
        self.fail(format!("the message exchange does not end: {last:?}"));
    }

    pub fn pause(&mut self, index: usize) {
        self.hosts[index].state = HostState::Paused;
    }

    pub fn resume(&mut self, index: usize) {
        self.hosts[index].state = HostState::Running;
        let inbox = std::mem::take(&mut self.hosts[index].inbox);
        self.queue.extend(inbox);
        self.deliver_all();
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].state = HostState::Down;
        self.hosts[index].inbox.clear();
    }

    pub fn drain(&mut self, index: usize) {
        self.hosts[index].draining = true;
        self.feed(index, Event::Drain);
        self.deliver_all();
    }

    /// Starts a new run of the host process at the same address.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index].run += 1;
        self.hosts[index].inbox.clear();
        self.hosts[index].node = self.fresh_node(index, self.hosts[index].run);
        self.hosts[index].state = HostState::Running;
        self.hosts[index].drained = false;
        self.hosts[index].draining = false;
        self.report(index, 4);
    }

    pub fn set_network_group(&mut self, index: usize, network_group: u8) {
        self.hosts[index].network_group = network_group;
    }

    pub fn deliver_delayed(&mut self, index: usize) {
        let packet = self.delayed.remove(index);
        self.queue.push_back(packet);
        self.deliver_all();
    }

    /// Starts the first run of a host process again, as if it had not run before.
    pub fn restart_as_first(&mut self, index: usize) {
        self.hosts[index].node = self.fresh_node(index, 0);
        self.hosts[index].state = HostState::Running;
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
            HostState::Running => self.feed(index, packet.event),
            HostState::Paused => self.hosts[index].inbox.push(packet),
            HostState::Down => {}
        }
    }

    fn execute(&mut self, index: usize, command: Command) {
        let from = addr(index);
        match command {
            Command::Send { to, message } => self.send(index, to, message),
            Command::ReadRow => {
                let up = self.can_reach_store(index);
                let event =
                    if up { Event::RowRead(self.row.clone()) } else { Event::RowReadFailed };
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::WriteRow { expected, row } => {
                let event = self.write(index, expected, row);
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::Serve { partition, fence, .. } => self.check_served_fence(partition, fence),
            Command::Quiesce { .. } if !self.auto_quiesce => {}
            Command::Quiesce { partition, fence, .. } => {
                let event = Event::Quiesced { partition, fence, handed_over: true };
                self.queue.push_back(Packet { from, to: from, event });
            }
            Command::Drained => self.hosts[index].drained = true,
            Command::Record(decision) => {
                if self.records_log {
                    let text = format!("{}: {}", decision.kind, decision.reason);
                    self.log.0.push((self.now, index, text));
                }
            }
            Command::Resume { .. } => self.resume_count += 1,
            Command::ConfigKnown { version, .. } => self.record_config(index, version),
            Command::StopAll => {}
        }
    }

    fn send(&mut self, index: usize, to: HostAddr, message: Message) {
        let Some(target) = (0..self.hosts.len()).find(|i| addr(*i) == to) else {
            return;
        };
        if !self.can_reach(index, target) {
            return;
        }
        let kind = kind_of(&message);
        let packet = Packet { from: addr(index), to, event: received(addr(index), message) };
        let is_delayed = self.reorder_state.is_some() && self.random(DELAY_ONE_IN) == 1;
        if is_delayed && self.delayed.len() < MAX_DELAYED {
            self.delayed.push(packet);
            return;
        }
        let fault = self.message_fault.filter(|f| f.kind == kind && f.to == target);
        let Some(fault) = fault else {
            self.queue.push_back(packet);
            return;
        };
        self.message_fault = None;
        match fault.action {
            FaultAction::Drop => {}
            FaultAction::Delay => self.delayed.push(packet),
            FaultAction::Duplicate => {
                self.delayed.push(packet.clone());
                self.queue.push_back(packet);
            }
        }
    }

    fn record_config(&mut self, index: usize, version: ConfigVersion) {
        if !self.known_configs.contains(&(index, version)) {
            self.known_configs.push((index, version));
        }
    }

    /// Returns a pseudo-random number below `bound`, or 0 without reordering.
    fn random(&mut self, bound: usize) -> usize {
        let Some(state) = &mut self.reorder_state else {
            return 0;
        };
        *state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*state >> 33) as usize % bound.max(1)
    }

    fn write(&mut self, index: usize, expected: Option<RowVersion>, row: CellRow) -> Event {
        if !self.can_reach_store(index) {
            return Event::RowWriteFailed;
        }
        let version = self.row.as_ref().map(|r| r.version);
        if version != expected {
            return Event::RowConflict;
        }
        self.check_write(&row);
        let version = RowVersion(version.map_or(1, |v| v.0 + 1));
        self.row = Some(VersionedRow { version, row });
        self.write_count += 1;
        if self.store == StoreState::ResponsesLost {
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
