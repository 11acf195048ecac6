//! Tracks which configuration is in force in one process and whether it is fresh enough to use.
//!
//! The state machine keeps the highest version that it was given and never goes back to a lower
//! one. It does no I/O: the host process reports the versions that it learns of, fetches the one
//! that [`ConfigTracker::to_fetch`] names, and checks the freshness before each request.

use std::cmp::Ordering;
use std::sync::Arc;

use model::{ConfigVersion, Millis, NotRunReason};

use crate::Config;

/// The maximum number of unfetched versions that are recorded. Higher versions need no entry,
/// because the lowest unfetched version decides whether the configuration is overdue.
const MAX_UNFETCHED: usize = 64;

/// How long a process may use its configuration without news from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// The maximum time since the platform last confirmed which version is the newest.
    pub max_age: Millis,
    /// The maximum time between learning of a newer version and fetching it.
    pub max_fetch_delay: Millis,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self { max_age: Millis(3_600_000), max_fetch_delay: Millis(5_000) }
    }
}

/// The configuration in force and the newer versions that are known but not fetched yet.
#[derive(Clone, Debug)]
pub struct ConfigTracker {
    limits: FreshnessLimits,
    current: Option<(ConfigVersion, Arc<Config>)>,
    /// The newest known version and the last time at which it was confirmed as the newest.
    confirmed: Option<(ConfigVersion, Millis)>,
    /// Versions above the current one, each with the time at which the process first learned of
    /// it, sorted by version.
    unfetched: Vec<(ConfigVersion, Millis)>,
}

impl ConfigTracker {
    /// Creates the tracker of a process that has just started and has no configuration.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self { limits, current: None, confirmed: None, unfetched: Vec::new() }
    }
}

/// Commands.
impl ConfigTracker {
    /// Records that `version` was the newest one at `as_of` on this host's clock.
    ///
    /// A version older than the newest known one comes from a delayed or replayed response. It
    /// carries no information, so it does not count as a confirmation either.
    pub fn confirm(&mut self, version: ConfigVersion, as_of: Millis) {
        let known = self.confirmed.map(|(known, _)| known).max(self.version());
        match Some(version).cmp(&known) {
            Ordering::Less => {}
            Ordering::Equal => self.renew_confirmation(version, as_of),
            Ordering::Greater => self.record_newer(version, as_of),
        }
    }

    /// Puts a validated configuration into force if it is newer than the current one. Returns
    /// whether it did.
    pub fn adopt(&mut self, version: ConfigVersion, config: Arc<Config>) -> bool {
        if Some(version) <= self.version() {
            return false;
        }
        self.current = Some((version, config));
        self.unfetched.retain(|(unfetched, _)| *unfetched > version);
        true
    }

    fn renew_confirmation(&mut self, version: ConfigVersion, as_of: Millis) {
        let last = self.confirmed.filter(|(known, _)| *known == version);
        let at = last.map_or(as_of, |(_, at)| at.max(as_of));
        self.confirmed = Some((version, at));
    }

    fn record_newer(&mut self, version: ConfigVersion, as_of: Millis) {
        self.confirmed = Some((version, as_of));
        if self.unfetched.len() < MAX_UNFETCHED {
            self.unfetched.push((version, as_of));
        }
    }
}

/// Queries.
impl ConfigTracker {
    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the configuration in force, even if it is stale.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Returns the version to fetch, if a newer one is known.
    pub fn to_fetch(&self) -> Option<ConfigVersion> {
        let (version, _) = self.confirmed?;
        (Some(version) > self.version()).then_some(version)
    }

    /// Returns when the newest known version was last confirmed as the newest.
    pub fn confirmed_as_of(&self) -> Option<Millis> {
        self.confirmed.map(|(_, as_of)| as_of)
    }

    /// Returns whether the process may execute requests with the configuration in force.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let confirmed = self.confirmed_as_of();
        let confirmed = confirmed.is_some_and(|at| now.since(at) <= self.limits.max_age);
        let overdue =
            |(_, since): &(ConfigVersion, Millis)| now.since(*since) > self.limits.max_fetch_delay;
        self.current.is_some() && confirmed && !self.unfetched.first().is_some_and(overdue)
    }

    /// Returns the configuration in force if it is fresh, or the reason why no request may run.
    pub fn fresh_config(&self, now: Millis) -> Result<&Arc<Config>, NotRunReason> {
        let config = self.config().filter(|_| self.is_fresh(now));
        config.ok_or(NotRunReason::StaleConfig)
    }
}
