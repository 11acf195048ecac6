//! Stands in until the configuration crate has its machine.

use std::sync::Arc;

use model::{ConfigVersion, Millis};
use papayarill_config::Config;

pub struct InForce {
    fresh_for: Millis,
    version: ConfigVersion,
    config: Arc<Config>,
    newest: ConfigVersion,
    confirmed_at: Option<Millis>,
}

impl InForce {
    pub fn new(fresh_for: Millis) -> Self {
        Self {
            fresh_for,
            version: ConfigVersion(0),
            config: Arc::default(),
            newest: ConfigVersion(0),
            confirmed_at: None,
        }
    }
    pub fn config(&self) -> Arc<Config> {
        self.config.clone()
    }
    pub fn version(&self) -> ConfigVersion {
        self.version
    }
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.version >= self.newest
            && self.confirmed_at.is_some_and(|at| now.since(at) <= self.fresh_for)
    }
    pub fn confirm(&mut self, version: ConfigVersion, as_of: Millis) {
        self.newest = self.newest.max(version);
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }
    pub fn should_fetch(&self) -> Option<ConfigVersion> {
        (self.newest > self.version).then_some(self.newest)
    }
    pub fn accept(&mut self, version: ConfigVersion, config: Arc<Config>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.config = config;
        true
    }
}
