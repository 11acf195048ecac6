//! Which configuration is in force in one process, and whether the process may rely on it.
//!
//! The machine holds the highest version that it was given and never goes back. It does no I/O:
//! the host process tells it what it heard, fetches what it asks for, and asks it before each
//! request.

use std::cmp::Ordering;
use std::sync::Arc;

use model::{ConfigVersion, Millis, NotRunReason};

use crate::Config;

/// The most versions that wait to be fetched. Those above are covered by the ones below.
const MAX_MISSING: usize = 64;

/// How long a process relies on what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Since the platform last said which version is the newest.
    pub max_age: Millis,
    /// Since the first word of a version that could not be fetched yet.
    pub max_fetch_delay: Millis,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self { max_age: Millis(3_600_000), max_fetch_delay: Millis(5_000) }
    }
}

/// The configuration in force, and what is known about newer ones.
#[derive(Clone, Debug)]
pub struct ConfigTracker {
    limits: FreshnessLimits,
    current: Option<(ConfigVersion, Arc<Config>)>,
    /// The newest version and the last time at which it was known to be the newest.
    confirmed: Option<(ConfigVersion, Millis)>,
    /// Versions above the current one with the time of the first word, sorted by version.
    missing: Vec<(ConfigVersion, Millis)>,
}

impl ConfigTracker {
    /// Makes a machine of a process that has just started: nothing is in force.
    pub fn new(limits: FreshnessLimits) -> Self {
        Self { limits, current: None, confirmed: None, missing: Vec::new() }
    }
}

/// Commands.
impl ConfigTracker {
    /// Takes in that `version` was the newest at `as_of`, on this host's clock.
    ///
    /// An answer with an older version than is known came late or was replayed. It says nothing,
    /// so it does not count as a confirmation either.
    pub fn confirm(&mut self, version: ConfigVersion, as_of: Millis) {
        let known = self.confirmed.map(|(known, _)| known).max(self.version());
        match Some(version).cmp(&known) {
            Ordering::Less => {}
            Ordering::Equal => self.refresh(version, as_of),
            Ordering::Greater => self.raise(version, as_of),
        }
    }

    /// Puts a checked configuration into force if it is newer, and tells whether it did.
    pub fn adopt(&mut self, version: ConfigVersion, config: Arc<Config>) -> bool {
        if Some(version) <= self.version() {
            return false;
        }
        self.current = Some((version, config));
        self.missing.retain(|(missing, _)| *missing > version);
        true
    }

    fn refresh(&mut self, version: ConfigVersion, as_of: Millis) {
        let last = self.confirmed.filter(|(known, _)| *known == version);
        let at = last.map_or(as_of, |(_, at)| at.max(as_of));
        self.confirmed = Some((version, at));
    }

    fn raise(&mut self, version: ConfigVersion, as_of: Millis) {
        self.confirmed = Some((version, as_of));
        if self.missing.len() < MAX_MISSING {
            self.missing.push((version, as_of));
        }
    }
}

/// Queries.
impl ConfigTracker {
    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Returns the configuration in force, whether it is fresh or not.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// Returns the version to fetch, if a newer one is known.
    pub fn to_fetch(&self) -> Option<ConfigVersion> {
        let (version, _) = self.confirmed?;
        (Some(version) > self.version()).then_some(version)
    }

    /// Returns when the newest version was last known to be the newest.
    pub fn confirmed_as_of(&self) -> Option<Millis> {
        self.confirmed.map(|(_, as_of)| as_of)
    }

    /// Returns whether the process may rely on the configuration in force.
    pub fn is_fresh(&self, now: Millis) -> bool {
        let confirmed = self.confirmed_as_of();
        let confirmed = confirmed.is_some_and(|at| now.since(at) <= self.limits.max_age);
        let overdue =
            |(_, since): &(ConfigVersion, Millis)| now.since(*since) > self.limits.max_fetch_delay;
        self.current.is_some() && confirmed && !self.missing.first().is_some_and(overdue)
    }

    /// Returns the configuration by which a request may run now, or why none may run.
    pub fn fresh_config(&self, now: Millis) -> Result<&Arc<Config>, NotRunReason> {
        let config = self.config().filter(|_| self.is_fresh(now));
        config.ok_or(NotRunReason::StaleConfig)
    }
}
