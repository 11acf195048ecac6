//! A discrete-event simulation of six ingresses and six backend servers with FIFO queues.

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use model::{HostAddr, Millis};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use routing::balance::{BalanceSettings, Balancer, Distance, Observation};

use crate::requests::event_queue::EventQueue;

const SEED: u64 = 11;
const SERVERS: usize = 6;
const ZONES_PER_REGION: usize = 2;

/// The one-way network delay between regions.
const REGION_DELAY_US: u64 = 30_000;

const MEAN_RUN_US: f64 = 20_000.0;
const DURATION_US: u64 = 30_000_000;

/// The mean number of slots that the load needs, as a fraction of all slots.
const LOAD: f64 = 0.6;

/// The time after which the next region becomes the busy one, in [`Scenario::RegionalShift`].
const SHIFT_INTERVAL_US: u64 = 5_000_000;

/// The fraction of the load that comes to the busy region.
const BUSY_REGION_SHARE: f64 = 0.6;

const SAMPLE_INTERVAL_US: u64 = 100_000;
const REQUEST_BYTES: u64 = 1_000;
const RESPONSE_BYTES: u64 = 20_000;
const MAX_ATTEMPTS: u32 = 3;

/// When one server is lost, in [`Scenario::LostServer`].
const OUTAGE_US: std::ops::Range<u64> = 10_000_000..20_000_000;

/// A deployment, with the number of slots per server.
#[derive(Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub slots: usize,
    /// The one-way network delay between availability zones of a region.
    pub zone_delay_us: u64,
    /// The one-way network delay between a caller and its ingress.
    pub caller_delay_us: u64,
}

/// The load, or what is wrong with the first server.
#[derive(Clone, Copy, PartialEq)]
pub enum Scenario {
    EvenLoad,
    RegionalShift,
    SlowServer,
    RefusingServer,
    LostServer,
}

/// How an ingress selects a server.
#[derive(Clone, Copy, PartialEq)]
pub enum ServerSelection {
    Random,
    SameZone,
    Balanced,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    RequestArrives { ingress: usize },
    ServerReached { request: usize },
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
    attempts: u32,
}

#[derive(Default)]
struct Server {
    busy: usize,
    queue: VecDeque<usize>,
}

/// The statistics of a run.
pub struct Stats {
    latency_us: Histogram<u64>,
    cross_region_bytes: u64,
    bytes: u64,
    /// Requests that were refused at each attempt.
    pub failed: u64,
    imbalance_sum: f64,
    samples: u32,
}

impl Stats {
    /// Returns the mean over time of the work of the busiest server divided by the mean work of all
    /// servers.
    pub fn imbalance(&self) -> f64 {
        self.imbalance_sum / f64::from(self.samples.max(1))
    }

    /// Returns a quantile of the latency that callers see.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    /// Returns the percentage of bytes between ingresses and servers that cross regions.
    pub fn cross_region_percent(&self) -> f64 {
        100.0 * self.cross_region_bytes as f64 / self.bytes.max(1) as f64
    }
}

/// A simulated run.
pub struct Simulation {
    deployment: Deployment,
    scenario: Scenario,
    selection: ServerSelection,
    rng: StdRng,
    now: u64,
    events: EventQueue<u64, Event>,
    balancers: Vec<Balancer>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    stats: Stats,
}

impl Simulation {
    /// Prepares a run.
    pub fn new(deployment: Deployment, scenario: Scenario, selection: ServerSelection) -> Self {
        let mut events = EventQueue::new();
        (0..SERVERS).for_each(|ingress| events.push(0, Event::RequestArrives { ingress }));
        events.push(SAMPLE_INTERVAL_US, Event::Sample);
        let stats = Stats {
            latency_us: Histogram::new(3).expect("three significant digits are allowed"),
            cross_region_bytes: 0,
            bytes: 0,
            failed: 0,
            imbalance_sum: 0.0,
            samples: 0,
        };
        Self {
            deployment,
            scenario,
            selection,
            rng: StdRng::seed_from_u64(SEED),
            now: 0,
            events,
            balancers: (0..SERVERS).map(|i| balancer(i, deployment.slots)).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            stats,
        }
    }

    /// Runs until no event is left.
    pub fn run(mut self) -> Stats {
        while let Some((at, event)) = self.events.pop() {
            self.now = at;
            match event {
                Event::RequestArrives { ingress } => self.request_arrives(ingress),
                Event::ServerReached { request } => self.server_reached(request),
                Event::RunEnds { request } => self.run_ends(request),
                Event::Answered { request } => self.answered(request),
                Event::Refused { request } => self.refused(request),
                Event::Sample => self.sample(),
            }
        }
        self.stats
    }

    fn request_arrives(&mut self, ingress: usize) {
        let request = self.requests.len();
        let (arrived_at, sent_at) = (self.now, self.now);
        self.requests.push(Request { ingress, server: 0, arrived_at, sent_at, attempts: 0 });
        self.send(request);
        let slots = as_f64(self.deployment.slots);
        let rate = LOAD * slots / MEAN_RUN_US * self.load_share(ingress) * as_f64(SERVERS);
        let next = self.now + self.exponential(1.0 / rate);
        if next < DURATION_US {
            self.events.push(next, Event::RequestArrives { ingress });
        }
    }

    /// Returns the fraction of the total load that now comes to an ingress.
    fn load_share(&self, ingress: usize) -> f64 {
        if self.scenario != Scenario::RegionalShift {
            return 1.0 / as_f64(SERVERS);
        }
        let regions = SERVERS / ZONES_PER_REGION;
        let busy = usize::try_from(self.now / SHIFT_INTERVAL_US).unwrap_or(0) % regions;
        let load_share = match region(ingress) == busy {
            true => BUSY_REGION_SHARE,
            false => (1.0 - BUSY_REGION_SHARE) / as_f64(regions - 1),
        };
        load_share / as_f64(ZONES_PER_REGION)
    }

    fn send(&mut self, request: usize) {
        let ingress = self.requests[request].ingress;
        let server = self.select_server(ingress);
        self.balancers[ingress].started(addr(server));
        let state = &mut self.requests[request];
        state.server = server;
        state.sent_at = self.now;
        state.attempts += 1;
        self.count_bytes(request, REQUEST_BYTES);
        self.events.push(self.now + self.network_delay(request), Event::ServerReached { request });
    }

    fn select_server(&mut self, ingress: usize) -> usize {
        let random = [self.rng.random(), self.rng.random()];
        match self.selection {
            ServerSelection::Random => self.rng.random_range(0..SERVERS),
            ServerSelection::SameZone => ingress,
            ServerSelection::Balanced => {
                let selection = self.balancers[ingress].choose(random, as_millis(self.now));
                let server = selection.expect("there are servers").server;
                (0..SERVERS).find(|s| addr(*s) == server).expect("the server is known")
            }
        }
    }

    fn server_reached(&mut self, request: usize) {
        let server_index = self.requests[request].server;
        if self.refuses(server_index) {
            return self
                .events
                .push(self.now + self.network_delay(request), Event::Refused { request });
        }
        let server = &mut self.servers[server_index];
        server.queue.push_back(request);
        self.start_next(server_index);
    }

    fn refuses(&mut self, server: usize) -> bool {
        let is_affected = server == 0;
        match self.scenario {
            Scenario::RefusingServer if is_affected => self.rng.random_bool(0.5),
            Scenario::LostServer if is_affected => OUTAGE_US.contains(&self.now),
            _ => self.servers[server].queue.len() >= 4 * self.deployment.slots,
        }
    }

    fn start_next(&mut self, server_index: usize) {
        let server = &mut self.servers[server_index];
        if server.busy == self.deployment.slots {
            return;
        }
        let Some(request) = server.queue.pop_front() else {
            return;
        };
        server.busy += 1;
        let is_slow = self.scenario == Scenario::SlowServer && server_index == 0;
        let mean = if is_slow { 5.0 * MEAN_RUN_US } else { MEAN_RUN_US };
        let run_time = self.exponential(mean);
        self.events.push(self.now + run_time, Event::RunEnds { request });
    }

    fn run_ends(&mut self, request: usize) {
        let server = self.requests[request].server;
        self.servers[server].busy -= 1;
        self.start_next(server);
        self.count_bytes(request, RESPONSE_BYTES);
        self.events.push(self.now + self.network_delay(request), Event::Answered { request });
    }

    fn answered(&mut self, request: usize) {
        let state = &self.requests[request];
        let latency = Millis((self.now - state.sent_at) / 1_000);
        let total = self.now - state.arrived_at + 2 * self.deployment.caller_delay_us;
        self.stats.latency_us.record(total).expect("the histogram is resizable");
        self.observe(request, Observation::Answered { latency });
    }

    fn refused(&mut self, request: usize) {
        self.observe(request, Observation::Refused);
        if self.requests[request].attempts < MAX_ATTEMPTS {
            self.send(request);
        } else {
            self.stats.failed += 1;
        }
    }

    fn observe(&mut self, request: usize, observation: Observation) {
        let Request { ingress, server, .. } = self.requests[request];
        self.balancers[ingress].finished(addr(server), observation, as_millis(self.now));
    }

    fn sample(&mut self) {
        let work = self.servers.iter().map(|s| as_f64(s.busy + s.queue.len()));
        let (busiest, sum) = work.fold((0.0_f64, 0.0), |(max, sum), w| (max.max(w), sum + w));
        if sum > 0.0 {
            self.stats.imbalance_sum += busiest * as_f64(SERVERS) / sum;
            self.stats.samples += 1;
        }
        if self.now < DURATION_US {
            self.events.push(self.now + SAMPLE_INTERVAL_US, Event::Sample);
        }
    }

    fn network_delay(&self, request: usize) -> u64 {
        let Request { ingress, server, .. } = self.requests[request];
        match distance(ingress, server) {
            Distance::SameZone => 0,
            Distance::SameRegion => self.deployment.zone_delay_us,
            Distance::OtherRegion => REGION_DELAY_US,
        }
    }

    fn count_bytes(&mut self, request: usize, bytes: u64) {
        let Request { ingress, server, .. } = self.requests[request];
        self.stats.bytes += bytes;
        if distance(ingress, server) == Distance::OtherRegion {
            self.stats.cross_region_bytes += bytes;
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
