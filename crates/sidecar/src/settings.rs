//! The settings of one process, in YAML.

use std::net::SocketAddr;

use mesh::{Distance, RetryBudgetLimits};
use model::{Millis, RegionName, ServiceName, ZoneName};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// Why settings are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The text is no settings file.
    #[snafu(display("not settings: {source}"))]
    Form {
        /// Where and why.
        source: serde_yaml_ng::Error,
    },
    /// The own zone has no region.
    #[snafu(display("regions: found no entry for the own zone {zone}"))]
    Region {
        /// The zone.
        zone: ZoneName,
    },
    /// A number is out of range.
    #[snafu(display("{field}: found {found}, expected {expected}"))]
    Range {
        /// The field.
        field: &'static str,
        /// The value.
        found: f64,
        /// What is allowed.
        expected: &'static str,
    },
}

/// Where the process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers and the backend server of this host.
    pub callers: SocketAddr,
    /// For other hosts.
    pub hosts: SocketAddr,
    /// For questions whether the process takes requests.
    pub ready: SocketAddr,
    /// For what the backend server says of itself.
    pub backend: SocketAddr,
    /// For metrics, as text.
    pub metrics: SocketAddr,
}

/// The bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Repeats per first attempt.
    pub ratio: f64,
    /// Repeats that are allowed on top, over all hosts.
    pub slack: f64,
    /// The span over which they are counted, in seconds.
    pub window_s: f64,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of this host, for people.
    pub host: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The region of each zone.
    pub regions: std::collections::BTreeMap<ZoneName, RegionName>,
    /// The service of the backend server on this host.
    pub service: ServiceName,
    /// The address of the backend server.
    pub backend_server: SocketAddr,
    /// The address of the store.
    pub store: SocketAddr,
    /// Where the process listens.
    pub listen: Listen,
    /// A backend server that said it leaves gets no request after this, in milliseconds.
    pub drain_ms: u64,
    /// A process that is told to stop is ended by force after this, in milliseconds.
    pub stop_ms: u64,
    /// The longest grant, in milliseconds.
    pub hold_max_ms: u64,
    /// The bound on repeats.
    pub retry: Retry,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_yaml_ng::from_str(text).context(FormSnafu)?;
        let zone = &settings.zone;
        ensure!(settings.regions.contains_key(zone), RegionSnafu { zone: zone.clone() });
        let Retry { ratio, slack, window_s } = settings.retry;
        let range = |field, found: f64, expected| RangeSnafu { field, found, expected };
        ensure!((0.0..=1.0).contains(&ratio), range("retry.ratio", ratio, "0 to 1"));
        ensure!(slack >= 0.0, range("retry.slack", slack, "0 or more"));
        ensure!(window_s > 0.0, range("retry.window_s", window_s, "more than 0"));
        let hold = settings.hold_max_ms as f64;
        ensure!(hold >= 1_000.0, range("hold_max_ms", hold, "1000 or more"));
        Ok(settings)
    }

    /// Returns the bound on repeats.
    pub fn budget(&self) -> RetryBudgetLimits {
        let window = Millis((self.retry.window_s * 1_000.0) as u64);
        RetryBudgetLimits { ratio: self.retry.ratio, slack: self.retry.slack, window }
    }

    /// Returns how far `zone` is. A zone that the settings don't know counts as far.
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
