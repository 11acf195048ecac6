//! Chooses a backend server for work that is not divided by key.
//!
//! The choice rests on what this ingress itself observed: requests in flight, latency and
//! refusals. Reports of backend servers play no part, because they lag or mislead. A farther
//! server is used only when waiting at the near ones costs more than the way.

use model::{HostAddr, Millis, ZoneName, derive_common};
use papayarill_config::Config;
use xxhash_rust::xxh3::xxh3_64_with_seed;

derive_common! {
    value
    /// How far a backend server is, nearest first.
    pub enum Distance {
        /// The same availability zone.
        Zone,
        /// Another availability zone of the region.
        Region,
        /// Another region.
        Far,
    }
}

const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Far];

derive_common! {
    value
    /// Bounds of the choice.
    pub struct BalanceSettings {
        /// The most backend servers per distance that this ingress sends to.
        pub subset_size: usize,
        /// Requests that one backend server runs at a time.
        pub slots: u32,
        /// The delay at near servers that outweighs the way to another zone of the region.
        pub cross_zone_cost: Millis,
        /// The delay at near servers that outweighs the way to another region.
        pub cross_region_cost: Millis,
        /// How long a server that refuses gets nothing; doubles up to `max_ejection_time`.
        pub base_ejection_time: Millis,
        /// The longest time that a server that refuses gets nothing.
        pub max_ejection_time: Millis,
    }
}

impl BalanceSettings {
    fn way_us(&self, distance: Distance) -> u64 {
        let way = match distance {
            Distance::Zone => Millis::ZERO,
            Distance::Region => self.cross_zone_cost,
            Distance::Far => self.cross_region_cost,
        };
        way.0 * 1_000
    }
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            subset_size: 8,
            slots: 6,
            cross_zone_cost: Millis(2),
            cross_region_cost: Millis(60),
            base_ejection_time: Millis(20),
            max_ejection_time: Millis(1_000),
        }
    }
}

derive_common! {
    value
    /// What this ingress saw of one attempt.
    pub enum Observation {
        /// The server answered with a status below 500.
        Answered {
            /// From the send to the head of the answer, network included.
            latency: Millis,
        },
        /// The server refused, answered with a status of 500 or more, or could not be reached.
        Refused,
        /// The attempt was given up and says nothing about the server.
        Abandoned,
    }
}

derive_common! {
    value
    /// The choice for one request.
    pub struct Choice {
        /// The host process beside the backend server.
        pub server: HostAddr,
        /// How far it is.
        pub distance: Distance,
    }
}

/// What one ingress knows of the backend servers of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalanceSettings,
    own_addr: HostAddr,
    /// All members, as they were handed in.
    members: Vec<(HostAddr, Distance)>,
    /// The members that this ingress sends to, sorted by distance and address.
    servers: Vec<Server>,
}

/// Whether a server gets nothing for a while because it refused.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Hold {
    Free,
    Held,
}

/// How many observations the moving average of the latency spans.
const AVERAGED: u64 = 64; // With 16 the spread of run times moved work about at even load.

/// What a run is taken to cost at least, so that requests in flight always count.
const MIN_RUN_US: u64 = 500;

#[derive(Clone, Debug)]
struct Server {
    distance: Distance,
    addr: HostAddr,
    in_flight: u32,
    /// Moving average of the latency, in microseconds.
    latency_us: u64,
    /// The lowest average seen, which creeps up so that it follows slow changes.
    base_us: u64,
    observed_at: Millis,
    refusals: u32,
    held_until: Millis,
}

impl Server {
    fn new(distance: Distance, addr: HostAddr) -> Self {
        Self {
            distance,
            addr,
            in_flight: 0,
            latency_us: 0,
            base_us: 0,
            observed_at: Millis::ZERO,
            refusals: 0,
            held_until: Millis::ZERO,
        }
    }

    /// Returns the latency above the base. An old observation counts half as much each second,
    /// so that a server that was slow once is tried again.
    fn excess_us(&self, now: Millis) -> u64 {
        let excess = self.latency_us.saturating_sub(self.base_us);
        let seconds = now.since(self.observed_at).0 / 1_000;
        excess >> seconds.min(63)
    }

    /// Returns the cost of one more request in microseconds of delay; a server that is held back
    /// costs more than any that is not.
    ///
    /// The requests in flight count as if each slot worked off its share of them. So a crest is
    /// seen at once, before its latencies are.
    fn cost(&self, settings: &BalanceSettings, now: Millis) -> (Hold, u64) {
        let hold = if now < self.held_until { Hold::Held } else { Hold::Free };
        let way = settings.way_us(self.distance);
        let run_us = self.base_us.saturating_sub(way) + MIN_RUN_US;
        let ahead = run_us * u64::from(self.in_flight) / u64::from(settings.slots.max(1));
        (hold, way + ahead + self.excess_us(now))
    }

    fn answered(&mut self, latency: Millis, now: Millis) {
        let latency_us = latency.0 * 1_000;
        let first = self.latency_us == 0;
        self.latency_us = match first {
            true => latency_us,
            false => (self.latency_us * (AVERAGED - 1) + latency_us) / AVERAGED,
        };
        let risen = self.base_us + self.base_us / 512 + 1;
        self.base_us = if first { latency_us } else { risen.min(self.latency_us) };
        self.observed_at = now;
        self.refusals /= 2;
        self.held_until = Millis::ZERO;
    }

    fn refused(&mut self, settings: &BalanceSettings, now: Millis) {
        let hold = settings.base_ejection_time.0 << self.refusals.min(16);
        self.refusals += 1;
        self.held_until = now + Millis(hold.min(settings.max_ejection_time.0));
    }
}

/// Queries.
impl Balancer {
    /// Makes a balancer for the ingress with this address.
    pub fn new(own_addr: HostAddr, settings: BalanceSettings) -> Self {
        Self { settings, own_addr, members: Vec::new(), servers: Vec::new() }
    }

    /// Chooses a server with two random numbers, or none if there are no servers.
    ///
    /// Two random servers at each distance are compared by what one more request would cost, the
    /// way included.
    pub fn choose(&self, random: [u64; 2], now: Millis) -> Option<Choice> {
        let candidates = DISTANCES.into_iter().flat_map(|d| two_of(self.at(d), random));
        let best = candidates.min_by_key(|s| s.cost(&self.settings, now))?;
        Some(Choice { server: best.addr, distance: best.distance })
    }

    /// Returns the distance of the servers that this ingress sends to, sorted by distance.
    pub fn servers(&self) -> impl Iterator<Item = Choice> + '_ {
        self.servers.iter().map(|s| Choice { server: s.addr, distance: s.distance })
    }

    fn at(&self, distance: Distance) -> &[Server] {
        let start = self.servers.partition_point(|s| s.distance < distance);
        let end = self.servers.partition_point(|s| s.distance <= distance);
        &self.servers[start..end]
    }

    fn position(&self, addr: HostAddr) -> Option<usize> {
        self.servers.iter().position(|s| s.addr == addr)
    }
}

/// Returns two servers, which differ if there are two.
fn two_of(servers: &[Server], random: [u64; 2]) -> impl Iterator<Item = &Server> {
    let count = servers.len().max(1);
    let first = index_below(count, random[0]);
    let second = (first + 1 + index_below((count - 1).max(1), random[1])) % count;
    [first, second].into_iter().filter_map(|i| servers.get(i))
}

fn index_below(count: usize, random: u64) -> usize {
    let count = u64::try_from(count).unwrap_or(u64::MAX);
    usize::try_from(random % count).unwrap_or(0)
}

/// Commands.
impl Balancer {
    /// Takes over the members of the service's cells. What was observed of members that stay is
    /// kept. Costs little if nothing changed.
    pub fn set_members(&mut self, members: &[(HostAddr, Distance)]) {
        if members == self.members {
            return;
        }
        members.clone_into(&mut self.members);
        let mut servers = Vec::new();
        for distance in DISTANCES {
            let chosen = self.rendezvous_subset(members, distance);
            servers.extend(chosen.into_iter().map(|addr| self.known_or_new(distance, addr)));
        }
        self.servers = servers;
    }

    /// Takes over the slots per backend server of a new configuration.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// Notes that a request was sent.
    pub fn started(&mut self, addr: HostAddr) {
        if let Some(index) = self.position(addr) {
            self.servers[index].in_flight += 1;
        }
    }

    /// Notes how a request ended that was sent.
    pub fn finished(&mut self, addr: HostAddr, observation: Observation, now: Millis) {
        let Some(index) = self.position(addr) else {
            return;
        };
        let settings = self.settings;
        let server = &mut self.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        match observation {
            Observation::Answered { latency } => server.answered(latency, now),
            Observation::Refused => server.refused(&settings, now),
            Observation::Abandoned => {}
        }
    }

    /// Returns the members with the highest hash together with this ingress: a subset that is
    /// the same after every restart and that changes by one member when one member changes.
    fn rendezvous_subset(
        &self,
        members: &[(HostAddr, Distance)],
        distance: Distance,
    ) -> Vec<HostAddr> {
        let near = members.iter().filter(|(_, d)| *d == distance);
        let mut ranked: Vec<(u64, HostAddr)> =
            near.map(|(addr, _)| (pair_hash(self.own_addr, *addr), *addr)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.settings.subset_size);
        let mut chosen: Vec<HostAddr> = ranked.into_iter().map(|(_, addr)| addr).collect();
        chosen.sort_unstable();
        chosen
    }

    fn known_or_new(&self, distance: Distance, addr: HostAddr) -> Server {
        match self.position(addr) {
            Some(index) => Server { distance, ..self.servers[index].clone() },
            None => Server::new(distance, addr),
        }
    }
}

fn pair_hash(ingress: HostAddr, server: HostAddr) -> u64 {
    let seed = xxh3_64_with_seed(ingress.to_string().as_bytes(), 0);
    xxh3_64_with_seed(server.to_string().as_bytes(), seed)
}

/// Returns how far `zone` is from `own_zone`.
pub fn distance(cfg: &Config, own_zone: &ZoneName, zone: &ZoneName) -> Distance {
    if own_zone == zone {
        return Distance::Zone;
    }
    match (cfg.region_of(own_zone), cfg.region_of(zone)) {
        (Some(own), Some(other)) if own.name == other.name => Distance::Region,
        _ => Distance::Far,
    }
}
