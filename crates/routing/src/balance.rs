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
        pub subset: usize,
        /// The delay at near servers that outweighs the way to another zone of the region.
        pub region_cost: Millis,
        /// The delay at near servers that outweighs the way to another region.
        pub far_cost: Millis,
        /// How long a server that refuses gets nothing; doubles up to `max_hold`.
        pub first_hold: Millis,
        /// The longest time that a server that refuses gets nothing.
        pub max_hold: Millis,
    }
}

impl Default for BalanceSettings {
    fn default() -> Self {
        Self {
            subset: 8,
            region_cost: Millis(3),
            far_cost: Millis(60),
            first_hold: Millis(20),
            max_hold: Millis(1_000),
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
    /// Sorted by distance and address.
    servers: Vec<Server>,
}

#[derive(Clone, Debug)]
struct Server {
    distance: Distance,
    addr: HostAddr,
    in_flight: u32,
    /// Moving average of the latency, in microseconds.
    latency_us: u64,
    /// The lowest latency seen, which creeps up so that it follows changes of the network.
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

    /// Returns the delay above the base latency. An old observation counts half as much each
    /// second, so that a server that was slow once is tried again.
    fn delay_us(&self, now: Millis) -> u64 {
        let delay = self.latency_us.saturating_sub(self.base_us);
        let seconds = now.since(self.observed_at).0 / 1_000;
        delay >> seconds.min(63)
    }

    /// Returns the expected cost of one more request, for comparison only.
    fn cost(&self, now: Millis) -> (bool, u64) {
        let held = now < self.held_until;
        let latency = self.base_us + self.delay_us(now) + 1_000;
        (held, latency * (u64::from(self.in_flight) + 1))
    }

    fn answered(&mut self, latency: Millis, now: Millis) {
        let latency_us = latency.0 * 1_000;
        let first = self.latency_us == 0;
        self.latency_us = if first { latency_us } else { (self.latency_us * 7 + latency_us) / 8 };
        let risen = self.base_us + self.base_us / 256 + 1;
        self.base_us = if first { latency_us } else { risen.min(latency_us) };
        self.observed_at = now;
        self.refusals = 0;
        self.held_until = Millis::ZERO;
    }

    fn refused(&mut self, settings: &BalanceSettings, now: Millis) {
        let hold = settings.first_hold.0 << self.refusals.min(16);
        self.refusals += 1;
        self.held_until = now + Millis(hold.min(settings.max_hold.0));
    }
}

/// Queries.
impl Balancer {
    /// Makes a balancer for the ingress with this address.
    pub fn new(own_addr: HostAddr, settings: BalanceSettings) -> Self {
        Self { settings, own_addr, servers: Vec::new() }
    }

    /// Chooses a server with two random numbers, or none if there are no servers.
    ///
    /// At each distance the better of two random servers is looked at. It is taken unless it
    /// holds requests up for longer than the way to the next distance costs.
    pub fn choose(&self, random: [u64; 2], now: Millis) -> Option<Choice> {
        let mut best: Option<(&Server, (bool, u64))> = None;
        for distance in DISTANCES {
            let Some(server) = self.better_of_two(distance, random, now) else {
                continue;
            };
            let cost = self.cost_with_way(server, now);
            if best.is_none_or(|(_, known)| cost < known) {
                best = Some((server, cost));
            }
        }
        best.map(|(s, _)| Choice { server: s.addr, distance: s.distance })
    }

    /// Returns the distance of the servers that this ingress sends to, sorted by distance.
    pub fn servers(&self) -> impl Iterator<Item = Choice> + '_ {
        self.servers.iter().map(|s| Choice { server: s.addr, distance: s.distance })
    }

    /// The way to a server is in its latency already, so only the delay is compared.
    fn cost_with_way(&self, server: &Server, now: Millis) -> (bool, u64) {
        let way = match server.distance {
            Distance::Zone => Millis::ZERO,
            Distance::Region => self.settings.region_cost,
            Distance::Far => self.settings.far_cost,
        };
        let held = now < server.held_until;
        (held, way.0 * 1_000 + server.delay_us(now))
    }

    fn better_of_two(&self, distance: Distance, random: [u64; 2], now: Millis) -> Option<&Server> {
        let near = self.at(distance);
        let (first, second) = two_of(near.len(), random)?;
        let (first, second) = (&near[first], &near[second]);
        Some(if second.cost(now) < first.cost(now) { second } else { first })
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

/// Returns two indices below `count`, which differ if there are two.
fn two_of(count: usize, random: [u64; 2]) -> Option<(usize, usize)> {
    let count = u64::try_from(count).ok().filter(|c| *c > 0)?;
    let first = random[0] % count;
    let second = match count {
        1 => 0,
        _ => (first + 1 + random[1] % (count - 1)) % count,
    };
    Some((usize::try_from(first).ok()?, usize::try_from(second).ok()?))
}

/// Commands.
impl Balancer {
    /// Takes over the members of the service's cells. What was observed of members that stay is
    /// kept.
    pub fn set_members(&mut self, members: &[(HostAddr, Distance)]) {
        let mut servers = Vec::new();
        for distance in DISTANCES {
            let chosen = self.subset(members, distance);
            servers.extend(chosen.into_iter().map(|addr| self.known_or_new(distance, addr)));
        }
        self.servers = servers;
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
    fn subset(&self, members: &[(HostAddr, Distance)], distance: Distance) -> Vec<HostAddr> {
        let near = members.iter().filter(|(_, d)| *d == distance);
        let mut ranked: Vec<(u64, HostAddr)> =
            near.map(|(addr, _)| (pair_hash(self.own_addr, *addr), *addr)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.settings.subset);
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
