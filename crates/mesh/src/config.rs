//! The configuration in force: which requests exist, where they go and what may be repeated.

use std::sync::Arc;

use model::{ConfigVersion, Millis, ServiceName};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Running it again does no harm.
    Safe,
    /// It runs at most once.
    Unsafe,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service that gets it.
    pub service: ServiceName,
    /// Its size relative to the other shares of the route.
    pub weight: u32,
}

/// What is known about requests with a host name and a path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The host name of the requests, in lower case.
    pub host: Arc<str>,
    /// The path prefix, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub retry_safety: RetrySafety,
    /// The longest that a caller is kept waiting.
    pub time_limit: Millis,
    /// Answers within this span count in full.
    pub target_latency: Millis,
    /// Rank among requests of one service; 0 is the most urgent.
    pub priority: u8,
    /// The most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Where the requests go; never empty.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Picks the service for a request by `point`, a number drawn uniformly from all `u32`.
    pub fn pick_service(&self, point: u32) -> &ServiceName {
        let total: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = (u64::from(point) * total) >> 32;
        for share in &self.services {
            if left < u64::from(share.weight) {
                return &share.service;
            }
            left -= u64::from(share.weight);
        }
        &self.services[0].service
    }
}

/// What is known about a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Whether its servers own ranges of keys.
    pub sharded: bool,
    /// The most connections that one of its servers accepts.
    pub max_connections: usize,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// The longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        // The values that operators use when they set none.
        Self { max_header_bytes: 16_384, max_body_bytes: 64 << 20, idle_timeout: Millis(15_000) }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Its version.
    pub version: ConfigVersion,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// What callers may send.
    pub limits: RequestLimits,
}

impl Config {
    /// Makes a configuration. Of two entries with the same name the first one holds.
    pub fn new(
        version: ConfigVersion,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        limits: RequestLimits,
    ) -> Self {
        // The longest prefix of a host comes first, so the first match is the right one.
        routes.sort_by(|a, b| {
            let longer_first = b.prefix.len().cmp(&a.prefix.len());
            a.host.cmp(&b.host).then(longer_first).then(a.prefix.cmp(&b.prefix))
        });
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services.dedup_by(|a, b| a.name == b.name);
        Self { version, routes, services, limits }
    }

    /// Finds the route of a request. `host` may carry a port and capitals.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let bare = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        let start = self.routes.partition_point(|r| *r.host < *bare);
        let of_host = self.routes[start..].iter().take_while(|r| *r.host == *bare);
        of_host.into_iter().find(|r| path.starts_with(&*r.prefix))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| s.name.cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns the names of the services whose servers own keys.
    pub fn sharded_services(&self) -> Vec<ServiceName> {
        self.services.iter().filter(|s| s.sharded).map(|s| s.name.clone()).collect()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}
