//! A discrete-event simulation of the backend servers, each behind the admission queue or behind a
//! plain FIFO queue.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use admission::{Action, Admission, JobOutcome, Limits, Queue};
use hdrhistogram::Histogram;
use model::Millis;

use super::load::Arrival;

/// The queue in front of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Policy {
    /// First in, first out: nothing is refused, only the number of running jobs is limited.
    Fifo,
    /// The queue of the admission crate.
    Queue,
}

/// What became of the requests of one stream.
#[derive(Debug)]
pub(super) struct Outcomes {
    /// The latencies of answered requests, in ms.
    pub(super) latency: Histogram<u64>,
    pub(super) offered: u64,
    pub(super) in_time: u64,
    pub(super) refused: u64,
    /// Requests that arrived during the surge and were answered within their time limit.
    pub(super) surge_in_time: u64,
}

impl Outcomes {
    fn new() -> Self {
        let latency = Histogram::new(3).expect("three significant digits are allowed");
        Self { latency, offered: 0, in_time: 0, refused: 0, surge_in_time: 0 }
    }

    /// Adds the outcomes of another run.
    pub(super) fn add(&mut self, other: &Self) {
        self.latency.add(&other.latency).expect("the histogram is resizable");
        self.offered += other.offered;
        self.in_time += other.in_time;
        self.refused += other.refused;
        self.surge_in_time += other.surge_in_time;
    }

    pub(super) fn latency_percentile(&self, percentile: f64) -> u64 {
        self.latency.value_at_percentile(percentile)
    }

    pub(super) fn refused_percent(&self) -> f64 {
        100.0 * self.refused as f64 / self.offered.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finished { server: usize, id: usize },
    Tick,
    Arrived { id: usize },
}

enum Server {
    Fifo { free: u32, waiting: VecDeque<usize> },
    Queue(Box<Queue>),
}

impl Server {
    fn new(policy: Policy, limits: Limits, slots: u32) -> Self {
        match policy {
            Policy::Fifo => Self::Fifo { free: slots, waiting: VecDeque::new() },
            Policy::Queue => Self::Queue(Box::new(Queue::new(limits))),
        }
    }
}

/// A simulated run.
pub(super) struct Simulation<'a> {
    arrivals: &'a [Arrival],
    servers: Vec<Server>,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    outcomes: Vec<Outcomes>,
    now: Millis,
}

impl<'a> Simulation<'a> {
    /// Prepares a run of `arrivals`, which belong to `streams` streams.
    pub(super) fn new(
        policy: Policy,
        limits: Limits,
        slots: u32,
        arrivals: &'a [Arrival],
        streams: usize,
    ) -> Self {
        let servers = (0..super::SERVERS).map(|_| Server::new(policy, limits, slots)).collect();
        let outcomes = (0..streams).map(|_| Outcomes::new()).collect();
        let events = BinaryHeap::new();
        Self { arrivals, servers, events, outcomes, now: Millis::ZERO }
    }

    /// Runs until every request is answered or refused, and returns the outcomes by stream.
    pub(super) fn run(mut self) -> Vec<Outcomes> {
        let last_arrival = self.arrivals.last().map_or(Millis::ZERO, |a| a.at);
        for (id, arrival) in self.arrivals.iter().enumerate() {
            self.events.push(Reverse((arrival.at, Event::Arrived { id })));
        }
        self.events.push(Reverse((Queue::TICK, Event::Tick)));
        while let Some(Reverse((now, event))) = self.events.pop() {
            self.now = now;
            match event {
                Event::Arrived { id } => self.arrive(id),
                Event::Finished { server, id } => self.finish(server, id),
                Event::Tick => self.tick(last_arrival),
            }
        }
        self.outcomes
    }

    fn arrive(&mut self, id: usize) {
        let arrival = &self.arrivals[id];
        self.outcomes[arrival.stream].offered += 1;
        let admission = match &mut self.servers[arrival.server] {
            Server::Queue(queue) => match arrival.key {
                Some(key) => queue.submit_keyed(arrival.job, key, self.now),
                None => queue.submit(arrival.job, self.now),
            },
            Server::Fifo { free: 0, waiting } => {
                waiting.push_back(id);
                Admission::Queued
            }
            Server::Fifo { free, .. } => {
                *free -= 1;
                Admission::Start
            }
        };
        match admission {
            Admission::Start => self.start(id),
            Admission::Queued => {}
            Admission::Refused { .. } => self.outcomes[arrival.stream].refused += 1,
        }
    }

    fn start(&mut self, id: usize) {
        let arrival = &self.arrivals[id];
        let finished = Event::Finished { server: arrival.server, id };
        self.events.push(Reverse((self.now + arrival.run_time, finished)));
    }

    fn finish(&mut self, server: usize, id: usize) {
        self.record_response(id);
        let actions = match &mut self.servers[server] {
            Server::Queue(queue) => queue.finish(id as u64, JobOutcome::Ran, self.now),
            Server::Fifo { free, waiting } => match waiting.pop_front() {
                Some(next) => vec![Action::Start(next as u64)],
                None => {
                    *free += 1;
                    Vec::new()
                }
            },
        };
        self.apply(actions);
    }

    fn record_response(&mut self, id: usize) {
        let arrival = &self.arrivals[id];
        let outcomes = &mut self.outcomes[arrival.stream];
        let latency = self.now.since(arrival.at);
        outcomes.latency.record(latency.0).expect("the histogram is resizable");
        if latency <= arrival.job.time_left {
            outcomes.in_time += 1;
            let surge = super::load::SURGE.0..super::load::SURGE.1;
            outcomes.surge_in_time += u64::from(surge.contains(&arrival.at));
        }
    }

    fn tick(&mut self, last_arrival: Millis) {
        for index in 0..self.servers.len() {
            if let Server::Queue(queue) = &mut self.servers[index] {
                let actions = queue.tick(self.now);
                self.apply(actions);
            }
        }
        if self.now <= last_arrival || !self.events.is_empty() {
            self.events.push(Reverse((self.now + Queue::TICK, Event::Tick)));
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id as usize),
                Action::Refuse { id, .. } => {
                    self.outcomes[self.arrivals[id as usize].stream].refused += 1;
                }
            }
        }
    }
}
