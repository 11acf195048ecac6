//! Settings of a sidecar, in YAML.

use std::net::SocketAddr;

use mesh::{BodyLimits, ColdLimits, Distance, RetryBudgetLimits, Service};
use model::{Millis, RegionName, ServiceName, ZoneName};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// Why a settings file is rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The text is not valid YAML or has unknown or missing fields.
    #[snafu(display("invalid settings: {source}"))]
    Yaml {
        /// The parser's error, with the position.
        source: serde_yaml_ng::Error,
    },
    /// `regions` has no entry for this host's zone.
    #[snafu(display("regions: no entry for zone {zone}, the zone of this host"))]
    MissingRegion {
        /// This host's zone.
        zone: ZoneName,
    },
    /// A number is out of range.
    #[snafu(display("{field}: found {found}, expected {expected}"))]
    OutOfRange {
        /// The name of the field.
        field: &'static str,
        /// The value in the file.
        found: f64,
        /// The allowed range.
        expected: &'static str,
    },
}

/// The listening addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers and the backend server of this host.
    pub callers: SocketAddr,
    /// For other hosts.
    pub hosts: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For heartbeats and deregistration of the backend server.
    pub backend: SocketAddr,
    /// For metrics in text format.
    pub metrics: SocketAddr,
}

/// The retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries per first attempt.
    pub ratio: f64,
    /// Retries that are allowed in addition, over all hosts.
    pub slack: f64,
    /// The sliding window over which retries are counted, in seconds.
    pub window_s: f64,
}

/// What the host can hold and carry.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The memory that the process may use, in MB.
    pub memory_mb: f64,
    /// What the link of the host carries, in Mbit/s.
    pub link_mbps: f64,
    /// The maximum number of connections of callers. By default a share of the descriptors.
    pub caller_connections: Option<usize>,
    /// The maximum number of connections of other hosts. By default a share of the descriptors.
    pub host_connections: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        let (caller_connections, host_connections) = (None, None);
        Self { memory_mb: 128.0, link_mbps: 100.0, caller_connections, host_connections }
    }
}

/// The fraction of the memory that everything that is held for callers and other hosts may take. The
/// rest is for the configuration, the state of the fleet, and holes between buffers.
const HELD_SHARE: f64 = 0.5;

/// The fraction of the memory that the bodies which other hosts are sending may take at once, unless
/// there is only one.
const PEER_BODY_SHARE: f64 = 1.0 / 8.0;

/// The fraction of the memory that a single body may take, below what all bodies may take. On a host
/// of 160 MB, it may have the standard `max_body_bytes`, 64 MB.
const MAX_BODY_SHARE: f64 = 0.43;

/// The fraction of the memory that the response to one request may take. A backend server runs few
/// requests at once, and responses are far smaller unless a backend server misbehaves.
const RESPONSE_SHARE: f64 = 1.0 / 32.0;

/// The fraction of the descriptors that connections of callers may take. The rest is for the backend
/// server, for other hosts and the store.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.5;

/// The fraction of the descriptors that connections of other hosts may take.
const HOST_DESCRIPTOR_SHARE: f64 = 0.25;

/// The bodies on the link at once take about this long to arrive, longer than a round trip between
/// regions, so that the link stays busy.
const LINK_FILL_MS: f64 = 100.0;

impl Limits {
    fn memory_bytes(&self, share: f64) -> u64 {
        (self.memory_mb * share * 1_048_576.0) as u64
    }

    /// Returns the memory that everything that is held for callers and other hosts may take.
    pub fn held_bytes(&self) -> u64 {
        self.memory_bytes(HELD_SHARE)
    }

    /// Returns the largest body of a request that can be served if nothing else is held.
    pub fn max_body_bytes(&self) -> u64 {
        self.memory_bytes(MAX_BODY_SHARE)
    }

    /// Returns the largest response of a backend server.
    pub fn max_response_bytes(&self) -> usize {
        usize::try_from(self.memory_bytes(RESPONSE_SHARE)).unwrap_or(usize::MAX)
    }

    /// Returns the maximum number of connections of callers of a process that may have
    /// `descriptors`, if these are limited.
    pub fn max_caller_connections(&self, descriptors: Option<u64>) -> usize {
        let share = descriptors.map(|n| (n as f64 * CALLER_DESCRIPTOR_SHARE) as usize);
        self.caller_connections.or(share).unwrap_or(usize::MAX).max(1)
    }

    /// Returns the same for connections of other hosts.
    pub fn max_host_connections(&self, descriptors: Option<u64>) -> usize {
        let share = descriptors.map(|n| (n as f64 * HOST_DESCRIPTOR_SHARE) as usize);
        self.host_connections.or(share).unwrap_or(usize::MAX).max(1)
    }

    /// Returns the same for connections to each of the other addresses.
    pub fn max_other_connections(descriptors: Option<u64>) -> usize {
        client_memory::max_other_connections(descriptors)
    }

    /// Returns what the link carries, in bytes per millisecond.
    pub fn link_bytes_per_ms(&self) -> f64 {
        self.link_mbps * 1_000_000.0 / 8.0 / 1_000.0
    }

    /// Returns the limits on bodies that other hosts send.
    pub fn bodies(&self) -> BodyLimits {
        let bytes_per_ms = self.link_bytes_per_ms();
        let peer_bodies = self.memory_bytes(PEER_BODY_SHARE);
        let max_in_flight = ((bytes_per_ms * LINK_FILL_MS) as u64).min(peer_bodies);
        BodyLimits { bytes_per_ms, max_in_flight, max_body: self.max_body_bytes() }
    }
}

/// How far the requests to a cold backend server may exceed what its service tolerates. Nothing is
/// limited unless both are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdBounds {
    /// What the tolerated requests per second are multiplied by.
    pub overage: Option<f64>,
    /// The requests that are allowed in addition in any second.
    pub slack: Option<f64>,
}

/// The settings of one sidecar process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The display name of this host.
    pub host: String,
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// The region of each zone.
    pub regions: std::collections::BTreeMap<ZoneName, RegionName>,
    /// The service of the backend server on this host.
    pub service: ServiceName,
    /// The address of the backend server.
    pub backend_server: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// The listening addresses.
    pub listen: Listen,
    /// How long a backend server that announced its shutdown still gets requests, in milliseconds.
    pub drain_ms: u64,
    /// How long a process that was told to stop has before it is killed, in milliseconds.
    pub stop_ms: u64,
    /// The longest validity of a grant, in milliseconds.
    pub hold_max_ms: u64,
    /// The retry budget.
    pub retry: Retry,
    /// What the host can hold and carry.
    #[serde(default)]
    pub limits: Limits,
    /// How many requests a cold backend server may receive.
    #[serde(default)]
    pub cold: ColdBounds,
}

impl Settings {
    /// Parses and validates a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_yaml_ng::from_str(text).context(YamlSnafu)?;
        let zone = &settings.zone;
        ensure!(settings.regions.contains_key(zone), MissingRegionSnafu { zone: zone.clone() });
        let Retry { ratio, slack, window_s } = settings.retry;
        let range = |field, found: f64, expected| OutOfRangeSnafu { field, found, expected };
        ensure!((0.0..=1.0).contains(&ratio), range("retry.ratio", ratio, "0 to 1"));
        ensure!(slack >= 0.0, range("retry.slack", slack, "0 or more"));
        ensure!(window_s > 0.0, range("retry.window_s", window_s, "more than 0"));
        let hold = settings.hold_max_ms as f64;
        ensure!(hold >= 1_000.0, range("hold_max_ms", hold, "1000 or more"));
        let Limits { memory_mb, link_mbps, caller_connections, host_connections } = settings.limits;
        ensure!(memory_mb >= 16.0, range("limits.memory_mb", memory_mb, "16 or more"));
        ensure!(link_mbps >= 0.1, range("limits.link_mbps", link_mbps, "0.1 or more"));
        for (field, connections) in [
            ("limits.caller_connections", caller_connections),
            ("limits.host_connections", host_connections),
        ] {
            let connections = connections.unwrap_or(1) as f64;
            ensure!(connections >= 1.0, range(field, connections, "1 or more"));
        }
        let ColdBounds { overage, slack } = settings.cold;
        let (overage, slack) = (overage.unwrap_or(0.0), slack.unwrap_or(0.0));
        ensure!(overage >= 0.0, range("cold.overage", overage, "0 or more"));
        ensure!(slack >= 0.0, range("cold.slack", slack, "0 or more"));
        Ok(settings)
    }

    /// Returns the limits of the retry budget.
    pub fn retry_budget(&self) -> RetryBudgetLimits {
        let window = Millis((self.retry.window_s * 1_000.0) as u64);
        RetryBudgetLimits { ratio: self.retry.ratio, slack: self.retry.slack, window }
    }

    /// Returns the limits on requests to a cold backend server of `service`, if there are any.
    pub fn cold_limits(&self, service: &Service) -> Option<ColdLimits> {
        let ColdBounds { overage: Some(overage), slack: Some(slack) } = self.cold else {
            return None;
        };
        let (cold_for, per_second) = (service.cold_for, service.cold_per_second?);
        Some(ColdLimits { cold_for, per_second, overage, slack })
    }

    /// Returns the distance to `zone`. An unknown zone counts as far.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::SameZone;
        }
        match (self.regions.get(zone), self.regions.get(&self.zone)) {
            (Some(a), Some(b)) if a == b => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}
