//! Keeps the newest configuration in force on this host.
//!
//! The coordinator asks the platform; the others hear the version with each renewal of their
//! lease and fetch what changed from a grantor, or from the platform if no grantor has it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use model::{ConfigVersion, Millis};
use ownership::Event;
use papayarill_config::{Config, ConfigTracker, FreshnessLimits};
use wire::{Call, Reply};

use crate::shared::Cx;
use crate::start;

/// The pause between two questions to the platform.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// How long another host process may take to send a configuration.
const FETCH_TIME_LIMIT: Millis = Millis(1_000);

/// The configuration in force, with its document for other hosts that ask.
pub struct ConfigInForce {
    in_force: RefCell<ConfigTracker>,
    document: RefCell<Option<(ConfigVersion, String)>>,
    fetching: Cell<bool>,
}

/// Queries.
impl ConfigInForce {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Config> {
        self.in_force.borrow().config().cloned().unwrap_or_default()
    }

    /// Returns the version in force; zero if there is none yet.
    pub fn version(&self) -> ConfigVersion {
        self.in_force.borrow().version().unwrap_or_default()
    }

    /// Returns whether the configuration is known to be current.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.in_force.borrow().is_fresh(now)
    }
}

impl ConfigInForce {
    /// Starts without a configuration.
    pub fn new() -> Self {
        Self {
            in_force: RefCell::new(ConfigTracker::new(FreshnessLimits::default())),
            document: RefCell::new(None),
            fetching: Cell::new(false),
        }
    }
}

/// Takes in that `version` was the newest at `as_of`.
pub fn known(cx: &Cx, version: ConfigVersion, as_of: Millis) {
    cx.config.in_force.borrow_mut().confirm(version, as_of);
    if cx.config.in_force.borrow().to_fetch().is_some() {
        fetch(cx, version);
    }
}

fn fetch(cx: &Cx, version: ConfigVersion) {
    if cx.config.fetching.replace(true) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let fetched = match from_grantors(&cx, version).await {
            Some(found) => Some(found),
            None => from_platform(&cx, version).await,
        };
        cx.config.fetching.set(false);
        if let Some((version, document)) = fetched {
            put_in_force(&cx, version, document);
        }
    });
}

async fn from_grantors(cx: &Cx, version: ConfigVersion) -> Option<(ConfigVersion, String)> {
    let grantors = cx.node.borrow().routes().grantors.clone();
    for grantor in grantors.into_iter().filter(|g| *g != cx.addr) {
        let call = Call::Config { at_least: version };
        if let Ok(Reply::Config(Some(found))) =
            cx.client.call(grantor, call, FETCH_TIME_LIMIT).await
        {
            return Some(found);
        }
    }
    None
}

async fn from_platform(cx: &Cx, version: ConfigVersion) -> Option<(ConfigVersion, String)> {
    metrics::counter!("papayarill_store_reads_total").increment(1);
    match cx.platform.read_config(version).await {
        Ok(document) => Some((version, document)),
        Err(error) => {
            log::warn!("config: Version {version} could not be read: {error}.");
            None
        }
    }
}

fn put_in_force(cx: &Cx, version: ConfigVersion, document: String) {
    let config = match papayarill_config::parse(&document) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            log::error!("config: Version {version} is malformed: {error}.");
            return;
        }
    };
    if !cx.config.in_force.borrow_mut().adopt(version, config.clone()) {
        return;
    }
    log::info!("config: Version {version} is in force.");
    metrics::gauge!("papayarill_config_version").set(version.0 as f64);
    cx.config.document.replace(Some((version, document)));
    cx.routes.configure(&config);
    cx.published.send_replace(config);
    start::join_when_configured(cx);
}

/// Answers another host that asks for a configuration.
pub fn answer(cx: &Cx, at_least: ConfigVersion) -> Option<(ConfigVersion, String)> {
    let document = cx.config.document.borrow();
    document.as_ref().filter(|(version, _)| *version >= at_least).cloned()
}

/// Asks the platform for the newest version, for as long as the process runs: as coordinator, and
/// as any host that has none yet.
pub async fn poll(cx: Cx) {
    loop {
        let wanted = cx.node.borrow().is_coordinator() || cx.config_version() == ConfigVersion(0);
        if wanted {
            ask_platform(&cx).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn ask_platform(cx: &Cx) {
    let as_of = cx.now();
    metrics::counter!("papayarill_store_reads_total").increment(1);
    match cx.platform.read_head().await {
        Ok(Some(version)) => {
            cx.feed(Event::ConfigSeen(version));
            known(cx, version, as_of);
        }
        Ok(None) => {}
        Err(error) => log::warn!("config: The newest version could not be read: {error}."),
    }
}
