//! Settings of a sidecar, in YAML.

use std::net::SocketAddr;

use mesh::{Distance, RetryBudgetLimits};
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
        Ok(settings)
    }

    /// Returns the limits of the retry budget.
    pub fn retry_budget(&self) -> RetryBudgetLimits {
        let window = Millis((self.retry.window_s * 1_000.0) as u64);
        RetryBudgetLimits { ratio: self.retry.ratio, slack: self.retry.slack, window }
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
