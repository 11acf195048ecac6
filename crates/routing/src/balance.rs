//! Load balancing for requests that any backend server of a service may run.
//!
//! Decisions use only what this ingress has measured itself: requests in flight, latency and
//! refusals. Load reports from backend servers are not used, because they can be stale or wrong. A
//! more distant server is chosen only when the expected delay at the nearer ones exceeds the extra
//! network latency.

use model::{HostAddr, Millis, ZoneName, derive_common};
use papayarill_config::Config;
use xxhash_rust::xxh3::xxh3_64_with_seed;

derive_common! {
    value
    /// How far away a backend server is, nearest first.
    pub enum Distance {
        /// In the same availability zone.
        SameZone,
        /// In another availability zone of the same region.
        SameRegion,
        /// In another region.
        OtherRegion,
    }
}

const DISTANCES: [Distance; 3] = [Distance::SameZone, Distance::SameRegion, Distance::OtherRegion];

derive_common! {
    value
    /// Parameters of the load balancer.
    pub struct BalanceSettings {
        /// The maximum number of backend servers per distance that this ingress sends to.
        pub subset_size: usize,
        /// The number of requests that one backend server runs concurrently.
        pub slots: u32,
        /// The extra delay at servers in the same zone above which another zone of the region is
        /// used.
        pub cross_zone_cost: Millis,
        /// The extra delay at servers in the same zone above which another region is used.
        pub cross_region_cost: Millis,
        /// How long a server is ejected after its first refusal. Doubles with each further refusal,
        /// up to `max_ejection_time`.
        pub base_ejection_time: Millis,
        /// The longest time for which a server is ejected.
        pub max_ejection_time: Millis,
    }
}

impl BalanceSettings {
    fn network_cost_us(&self, distance: Distance) -> u64 {
        let cost = match distance {
            Distance::SameZone => Millis::ZERO,
            Distance::SameRegion => self.cross_zone_cost,
            Distance::OtherRegion => self.cross_region_cost,
        };
        cost.0 * 1_000
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
    /// The result of one attempt, as this ingress observed it.
    pub enum Observation {
        /// The server responded with a status below 500.
        Answered {
            /// The time from sending the request to receiving the response head, network included.
            latency: Millis,
        },
        /// The server refused, responded with a status of 500 or more, or could not be reached.
        Refused,
        /// The attempt was abandoned and says nothing about the server.
        Abandoned,
    }
}

derive_common! {
    value
    /// A backend server that requests can be sent to.
    pub struct Choice {
        /// The address of the host process next to the backend server.
        pub server: HostAddr,
        /// How far away the server is.
        pub distance: Distance,
    }
}

/// Balances the requests of one ingress over the backend servers of one service.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalanceSettings,
    own_addr: HostAddr,
    /// All members, as last passed to [`Balancer::set_members`].
    members: Vec<(HostAddr, Distance)>,
    /// The subset of members that this ingress sends to, sorted by distance and address.
    servers: Vec<Server>,
}

/// Whether a server is temporarily ejected because it refused requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Availability {
    Available,
    Ejected,
}

/// The number of observations over which the latency is averaged.
///
/// With 16, the variance of run times shifted requests between equally loaded servers.
const LATENCY_EWMA_SAMPLES: u64 = 64;

/// The shortest service time assumed for a request, so that requests in flight always add cost.
const MIN_SERVICE_TIME_US: u64 = 500;

#[derive(Clone, Debug)]
struct Server {
    distance: Distance,
    addr: HostAddr,
    in_flight: u32,
    /// Moving average of the latency, in microseconds.
    latency_us: u64,
    /// The latency without load: the lowest average seen, which drifts upwards so that it follows
    /// slow changes.
    baseline_us: u64,
    observed_at: Millis,
    /// The number of refusals, halved with each response.
    refusals: u32,
    ejected_until: Millis,
}

impl Server {
    fn new(distance: Distance, addr: HostAddr) -> Self {
        Self {
            distance,
            addr,
            in_flight: 0,
            latency_us: 0,
            baseline_us: 0,
            observed_at: Millis::ZERO,
            refusals: 0,
            ejected_until: Millis::ZERO,
        }
    }

    /// Returns the latency above the baseline.
    ///
    /// It halves with each second since the last observation, so that a server that was slow once
    /// is tried again.
    fn excess_us(&self, now: Millis) -> u64 {
        let excess = self.latency_us.saturating_sub(self.baseline_us);
        let seconds = now.since(self.observed_at).0 / 1_000;
        excess >> seconds.min(63)
    }

    /// Returns the expected delay of one more request, in microseconds. Any ejected server compares
    /// greater than every available one.
    ///
    /// Requests in flight are counted as if they were spread evenly over the slots, so a burst
    /// raises the cost at once, before its latencies are measured.
    fn cost(&self, settings: &BalanceSettings, now: Millis) -> (Availability, u64) {
        let availability =
            if now < self.ejected_until { Availability::Ejected } else { Availability::Available };
        let network_us = settings.network_cost_us(self.distance);
        let service_time_us = self.baseline_us.saturating_sub(network_us) + MIN_SERVICE_TIME_US;
        let queueing_us =
            service_time_us * u64::from(self.in_flight) / u64::from(settings.slots.max(1));
        (availability, network_us + queueing_us + self.excess_us(now))
    }

    fn record_response(&mut self, latency: Millis, now: Millis) {
        let latency_us = latency.0 * 1_000;
        let first = self.latency_us == 0;
        self.latency_us = match first {
            true => latency_us,
            false => {
                (self.latency_us * (LATENCY_EWMA_SAMPLES - 1) + latency_us) / LATENCY_EWMA_SAMPLES
            }
        };
        let drifted = self.baseline_us + self.baseline_us / 512 + 1;
        self.baseline_us = if first { latency_us } else { drifted.min(self.latency_us) };
        self.observed_at = now;
        self.refusals /= 2;
        self.ejected_until = Millis::ZERO;
    }

    fn record_refusal(&mut self, settings: &BalanceSettings, now: Millis) {
        let ejection_ms = settings.base_ejection_time.0 << self.refusals.min(16);
        self.refusals += 1;
        self.ejected_until = now + Millis(ejection_ms.min(settings.max_ejection_time.0));
    }
}

/// Queries.
impl Balancer {
    /// Creates a balancer for the ingress with this address.
    pub fn new(own_addr: HostAddr, settings: BalanceSettings) -> Self {
        Self { settings, own_addr, members: Vec::new(), servers: Vec::new() }
    }

    /// Chooses a server, or returns `None` if there are no servers.
    ///
    /// Applies the power of two choices: samples two servers at each distance, using the two random
    /// numbers, and picks the one with the lowest cost, network included.
    pub fn choose(&self, random: [u64; 2], now: Millis) -> Option<Choice> {
        let candidates = DISTANCES.into_iter().flat_map(|d| sample_two(self.servers_at(d), random));
        let best = candidates.min_by_key(|s| s.cost(&self.settings, now))?;
        Some(Choice { server: best.addr, distance: best.distance })
    }

    /// Returns the servers that this ingress sends to, sorted by distance.
    pub fn servers(&self) -> impl Iterator<Item = Choice> + '_ {
        self.servers.iter().map(|s| Choice { server: s.addr, distance: s.distance })
    }

    fn servers_at(&self, distance: Distance) -> &[Server] {
        let start = self.servers.partition_point(|s| s.distance < distance);
        let end = self.servers.partition_point(|s| s.distance <= distance);
        &self.servers[start..end]
    }

    fn position(&self, addr: HostAddr) -> Option<usize> {
        self.servers.iter().position(|s| s.addr == addr)
    }
}

/// Returns two random servers, which are distinct if there are at least two.
fn sample_two(servers: &[Server], random: [u64; 2]) -> impl Iterator<Item = &Server> {
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
    /// Sets the members of the service's cells. Measurements of members that stay are kept. Cheap
    /// if nothing changed.
    pub fn set_members(&mut self, members: &[(HostAddr, Distance)]) {
        if members == self.members {
            return;
        }
        members.clone_into(&mut self.members);
        let mut servers = Vec::new();
        for distance in DISTANCES {
            let chosen = self.rendezvous_subset(members, distance);
            servers.extend(chosen.into_iter().map(|addr| self.existing_or_new(distance, addr)));
        }
        self.servers = servers;
    }

    /// Sets the number of slots per backend server from a new configuration.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// Records that a request was sent to the server.
    pub fn started(&mut self, addr: HostAddr) {
        if let Some(index) = self.position(addr) {
            self.servers[index].in_flight += 1;
        }
    }

    /// Records the result of a request that was sent to the server.
    pub fn finished(&mut self, addr: HostAddr, observation: Observation, now: Millis) {
        let Some(index) = self.position(addr) else {
            return;
        };
        let settings = self.settings;
        let server = &mut self.servers[index];
        server.in_flight = server.in_flight.saturating_sub(1);
        match observation {
            Observation::Answered { latency } => server.record_response(latency, now),
            Observation::Refused => server.record_refusal(&settings, now),
            Observation::Abandoned => {}
        }
    }

    /// Selects members by rendezvous hashing with the address of this ingress. The subset is the
    /// same after every restart, and changes by at most one member when one member changes.
    fn rendezvous_subset(
        &self,
        members: &[(HostAddr, Distance)],
        distance: Distance,
    ) -> Vec<HostAddr> {
        let candidates = members.iter().filter(|(_, d)| *d == distance);
        let mut ranked: Vec<(u64, HostAddr)> =
            candidates.map(|(addr, _)| (pair_hash(self.own_addr, *addr), *addr)).collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.settings.subset_size);
        let mut chosen: Vec<HostAddr> = ranked.into_iter().map(|(_, addr)| addr).collect();
        chosen.sort_unstable();
        chosen
    }

    fn existing_or_new(&self, distance: Distance, addr: HostAddr) -> Server {
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

/// Returns the distance between two zones. Zones of unknown regions count as far.
pub fn distance(cfg: &Config, own_zone: &ZoneName, zone: &ZoneName) -> Distance {
    if own_zone == zone {
        return Distance::SameZone;
    }
    match (cfg.region_of(own_zone), cfg.region_of(zone)) {
        (Some(own), Some(other)) if own.name == other.name => Distance::SameRegion,
        _ => Distance::OtherRegion,
    }
}
