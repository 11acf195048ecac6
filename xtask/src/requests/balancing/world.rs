//! Six ingresses and six backend servers with first-come queues.

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use model::{HostAddr, Millis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::balance::{BalanceSettings, Balancer, Distance, Observation};

use crate::requests::events::Events;

const SEED: u64 = 11;
const SERVERS: usize = 6;
const ZONES_PER_REGION: usize = 2;

/// One way between regions.
const FAR_WAY_US: u64 = 30_000;

const MEAN_RUN_US: f64 = 20_000.0;
const DURATION_US: u64 = 30_000_000;

/// The load as a share of all slots.
const LOAD: f64 = 0.6;

/// How often the busy region changes while the load swings.
const SWING_US: u64 = 5_000_000;

/// The share of the load that the busy region gets.
const SWING_SHARE: f64 = 0.6;

const SAMPLE_US: u64 = 100_000;
const REQUEST_BYTES: u64 = 1_000;
const ANSWER_BYTES: u64 = 20_000;
const MAX_SENDS: u32 = 3;

/// The time in which one server is lost.
const LOST_US: std::ops::Range<u64> = 10_000_000..20_000_000;

/// The sizes of one deployment.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub slots: usize,
    /// One way between availability zones of a region.
    pub zone_way_us: u64,
    /// One way between a caller and its ingress.
    pub caller_way_us: u64,
}

/// What is special about the load or the servers.
#[derive(Clone, Copy, PartialEq)]
pub enum Scenario {
    Even,
    Swing,
    SlowServer,
    RefusingServer,
    LostServer,
}

/// How an ingress chooses a server.
#[derive(Clone, Copy, PartialEq)]
pub enum Choice {
    Random,
    NearOnly,
    Balanced,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { ingress: usize },
    Reaches { request: usize },
    RunEnds { request: usize },
    Answered { request: usize },
    Refused { request: usize },
    Sample,
}

struct Request {
    ingress: usize,
    server: usize,
    arrived_at: u64,
    sent_at: u64,
    sends: u32,
}

#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<usize>,
}

/// What was counted.
pub struct Tally {
    latency_us: Histogram<u64>,
    far_bytes: u64,
    bytes: u64,
    /// Requests that got no answer.
    pub failed: u64,
    imbalance_sum: f64,
    samples: u32,
}

impl Tally {
    /// Returns the mean over time of the longest server's work to the mean server's work.
    pub fn imbalance(&self) -> f64 {
        self.imbalance_sum / f64::from(self.samples.max(1))
    }

    /// Returns a quantile of the time from the caller's send to its answer.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the share of bytes between ingresses and servers that crosses regions.
    pub fn far_percent(&self) -> f64 {
        100.0 * self.far_bytes as f64 / self.bytes.max(1) as f64
    }
}

/// One run.
pub struct World {
    deployment: Deployment,
    scenario: Scenario,
    choice: Choice,
    rng: StdRng,
    now: u64,
    events: Events<u64, Event>,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    tally: Tally,
}

impl World {
    /// Prepares a run.
    pub fn new(deployment: Deployment, scenario: Scenario, choice: Choice) -> Self {
        let mut events = Events::new();
        (0..SERVERS).for_each(|ingress| events.push(0, Event::Arrives { ingress }));
        events.push(SAMPLE_US, Event::Sample);
        let tally = Tally {
            latency_us: Histogram::new(3).expect("three digits are allowed"),
            far_bytes: 0,
            bytes: 0,
            failed: 0,
            imbalance_sum: 0.0,
            samples: 0,
        };
        Self {
            deployment,
            scenario,
            choice,
            rng: StdRng::seed_from_u64(SEED),
            now: 0,
            events,
            balancers: (0..SERVERS).map(|i| balancer(i, deployment.slots)).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            tally,
        }
    }

    /// Runs to the end.
    pub fn run(mut self) -> Tally {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrives { ingress } => self.arrives(ingress),
                Event::Reaches { request } => self.reaches(request),
                Event::RunEnds { request } => self.run_ends(request),
                Event::Answered { request } => self.answered(request),
                Event::Refused { request } => self.refused(request),
                Event::Sample => self.sample(),
            }
        }
        self.tally
    }

    fn arrives(&mut self, ingress: usize) {
        let request = self.requests.len();
        let (arrived_at, sent_at) = (self.now, self.now);
        self.requests.push(Request { ingress, server: 0, arrived_at, sent_at, sends: 0 });
        self.send(request);
        let slots = as_f64(self.deployment.slots);
        let rate = LOAD * slots / MEAN_RUN_US * self.share(ingress) * as_f64(SERVERS);
        let next = self.now + self.exponential(1.0 / rate);
        if next < DURATION_US {
            self.events.push(next, Event::Arrives { ingress });
        }
    }

    /// Returns the share of the whole load that comes to one ingress now.
    fn share(&self, ingress: usize) -> f64 {
        if self.scenario != Scenario::Swing {
            return 1.0 / as_f64(SERVERS);
        }
        let regions = SERVERS / ZONES_PER_REGION;
        let busy = usize::try_from(self.now / SWING_US).unwrap_or(0) % regions;
        let share = match region(ingress) == busy {
            true => SWING_SHARE,
            false => (1.0 - SWING_SHARE) / as_f64(regions - 1),
        };
        share / as_f64(ZONES_PER_REGION)
    }

    fn send(&mut self, request: usize) {
        let ingress = self.requests[request].ingress;
        let server = self.choose(ingress);
        self.balancers[ingress].started(addr(server));
        let state = &mut self.requests[request];
        state.server = server;
        state.sent_at = self.now;
        state.sends += 1;
        self.count_bytes(request, REQUEST_BYTES);
        self.events.push(self.now + self.way(request), Event::Reaches { request });
    }

    fn choose(&mut self, ingress: usize) -> usize {
        let random = [self.rng.random(), self.rng.random()];
        match self.choice {
            Choice::Random => self.rng.random_range(0..SERVERS),
            Choice::NearOnly => ingress,
            Choice::Balanced => {
                let choice = self.balancers[ingress].choose(random, as_millis(self.now));
                let server = choice.expect("there are servers").server;
                (0..SERVERS).find(|s| addr(*s) == server).expect("the server is known")
            }
        }
    }

    fn reaches(&mut self, request: usize) {
        let number = self.requests[request].server;
        if self.refuses(number) {
            return self.events.push(self.now + self.way(request), Event::Refused { request });
        }
        let server = &mut self.servers[number];
        server.queue.push_back(request);
        self.start_next(number);
    }

    fn refuses(&mut self, server: usize) -> bool {
        let special = server == 0;
        match self.scenario {
            Scenario::RefusingServer if special => self.rng.random_bool(0.5),
            Scenario::LostServer if special => LOST_US.contains(&self.now),
            _ => self.servers[server].queue.len() >= 4 * self.deployment.slots,
        }
    }

    fn start_next(&mut self, number: usize) {
        let server = &mut self.servers[number];
        if server.busy == self.deployment.slots {
            return;
        }
        let Some(request) = server.queue.pop_front() else {
            return;
        };
        server.busy += 1;
        let slow = self.scenario == Scenario::SlowServer && number == 0;
        let mean = if slow { 5.0 * MEAN_RUN_US } else { MEAN_RUN_US };
        let time = self.exponential(mean);
        self.events.push(self.now + time, Event::RunEnds { request });
    }

    fn run_ends(&mut self, request: usize) {
        let server = self.requests[request].server;
        self.servers[server].busy -= 1;
        self.start_next(server);
        self.count_bytes(request, ANSWER_BYTES);
        self.events.push(self.now + self.way(request), Event::Answered { request });
    }

    fn answered(&mut self, request: usize) {
        let state = &self.requests[request];
        let latency = Millis((self.now - state.sent_at) / 1_000);
        let whole = self.now - state.arrived_at + 2 * self.deployment.caller_way_us;
        self.tally.latency_us.record(whole).expect("the histogram grows");
        self.observe(request, Observation::Answered { latency });
    }

    fn refused(&mut self, request: usize) {
        self.observe(request, Observation::Refused);
        if self.requests[request].sends < MAX_SENDS {
            self.send(request);
        } else {
            self.tally.failed += 1;
        }
    }

    fn observe(&mut self, request: usize, seen: Observation) {
        let Request { ingress, server, .. } = self.requests[request];
        self.balancers[ingress].finished(addr(server), seen, as_millis(self.now));
    }

    fn sample(&mut self) {
        let work = self.servers.iter().map(|s| as_f64(s.busy + s.queue.len()));
        let (most, sum) = work.fold((0.0_f64, 0.0), |(most, sum), w| (most.max(w), sum + w));
        if sum > 0.0 {
            self.tally.imbalance_sum += most * as_f64(SERVERS) / sum;
            self.tally.samples += 1;
        }
        if self.now < DURATION_US {
            self.events.push(self.now + SAMPLE_US, Event::Sample);
        }
    }

    fn way(&self, request: usize) -> u64 {
        let Request { ingress, server, .. } = self.requests[request];
        match distance(ingress, server) {
            Distance::SameZone => 0,
            Distance::SameRegion => self.deployment.zone_way_us,
            Distance::OtherRegion => FAR_WAY_US,
        }
    }

    fn count_bytes(&mut self, request: usize, bytes: u64) {
        let Request { ingress, server, .. } = self.requests[request];
        self.tally.bytes += bytes;
        if distance(ingress, server) == Distance::OtherRegion {
            self.tally.far_bytes += bytes;
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-uniform.ln() * mean) as u64
    }
}

fn balancer(ingress: usize, slots: usize) -> Balancer {
    let slots = u32::try_from(slots).expect("few slots");
    let settings = BalanceSettings { slots, ..BalanceSettings::default() };
    let mut balancer = Balancer::new(addr(ingress), settings);
    let members: Vec<_> = (0..SERVERS).map(|s| (addr(s), distance(ingress, s))).collect();
    balancer.set_members(&members);
    balancer
}

fn distance(ingress: usize, server: usize) -> Distance {
    if ingress == server {
        Distance::SameZone
    } else if region(ingress) == region(server) {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

fn region(host: usize) -> usize {
    host / ZONES_PER_REGION
}

fn addr(host: usize) -> HostAddr {
    let last = u8::try_from(host + 1).expect("few hosts");
    HostAddr(([127, 0, 0, last], 7_000).into())
}

fn as_millis(us: u64) -> Millis {
    Millis(us / 1_000)
}

fn as_f64(number: usize) -> f64 {
    number as f64
}
