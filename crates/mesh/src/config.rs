//! The active configuration: routes, the services that they lead to, and limits on requests.

use std::sync::Arc;

use model::{ConfigVersion, Millis, RegionName, ServiceName};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may be executed more than once, so it may be retried.
    Idempotent,
    /// It must be executed at most once.
    AtMostOnce,
}

/// A service that receives a part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceName,
    /// Its share of the traffic, relative to the weights of the route's other services.
    pub weight: u32,
}

/// How to handle requests with a given host name and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name that the operator gave the route.
    pub name: Arc<str>,
    /// The host name of the requests, in lower case.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may be retried.
    pub retry_safety: RetrySafety,
    /// The longest time that a caller waits for a response.
    pub time_limit: Millis,
    /// A response within this time meets the route's latency target.
    pub target_latency: Millis,
    /// The priority among requests of one service; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// The services that the requests are split across; never empty.
    pub services: Vec<WeightedService>,
    /// The regions in which requests may be run and their bodies held, sorted; empty if all are
    /// allowed.
    pub allowed_regions: Vec<RegionName>,
}

impl Route {
    /// Returns whether requests of the route may be sent to hosts in `region`.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.binary_search(region).is_ok()
    }

    /// Picks the service for a request by weight. `random` is drawn uniformly from all `u32`
    /// values.
    pub fn pick_service(&self, random: u32) -> &ServiceName {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = (u64::from(random) * total) >> 32;
        for candidate in &self.services {
            if left < u64::from(candidate.weight) {
                return &candidate.service;
            }
            left -= u64::from(candidate.weight);
        }
        &self.services[0].service
    }
}

/// How the grants of keys reach the backend servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum GrantDelivery {
    /// In the replies to their heartbeats.
    #[default]
    HeartbeatReply,
    /// By calls of the sidecar process next to them.
    Call,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether each key is owned by one of its backend servers.
    pub keyed: bool,
    /// How its backend servers are told which keys they own.
    pub grant_delivery: GrantDelivery,
    /// The maximum number of connections that one of its backend servers accepts.
    pub max_connections: usize,
    /// How long one of its backend servers is cold after its start.
    pub cold_for: Millis,
    /// The requests per second that a cold backend server tolerates, if that is limited.
    pub cold_per_second: Option<f64>,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        // The operators' standard values, for configurations that set no limits.
        Self { max_header_bytes: 16_384, max_body_bytes: 64 << 20, idle_timeout: Millis(15_000) }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The version number.
    pub version: ConfigVersion,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// Limits on the requests of callers.
    pub limits: RequestLimits,
}

impl Config {
    /// Creates a configuration. If several services have the same name, the first one is used.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: RequestLimits,
    ) -> Self {
        // Longer prefixes of a host sort first, so the first match is the longest one.
        routes.sort_by(|a, b| {
            let longer_first = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(longer_first).then(a.prefix.cmp(&b.prefix))
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services.dedup_by(|a, b| a.name == b.name);
        Self { version, routes, services, limits }
    }

    /// Finds the route of a request. `host` may include a port and upper-case letters.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let start = self.routes.partition_point(|r| *r.host < *host);
        let of_host = self.routes[start..].iter().take_while(|r| *r.host == *host);
        of_host.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns whether hosts in `region` may own keys of `service`: if all routes that lead to it
    /// allow the region. Requests of a route that doesn't would have no backend server to go to.
    pub fn allows_keys_in(&self, service: &ServiceName, region: &RegionName) -> bool {
        let leads_there = |r: &&Route| r.services.iter().any(|s| s.service == *service);
        self.routes.iter().filter(leads_there).all(|r| r.allows_region(region))
    }

    /// Returns the names of the services whose backend servers own keys.
    pub fn keyed_services(&self) -> Vec<ServiceName> {
        self.services.iter().filter(|s| s.keyed).map(|s| s.name.clone()).collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
