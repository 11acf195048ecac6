//! Keeps this host's configuration up to date.
//!
//! The coordinator polls the platform for the newest version. Other hosts learn the version with
//! each lease renewal and fetch a new configuration from a grantor, or from the platform if no
//! grantor has it.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use model::{ConfigVersion, Millis};
use ownership::Event;
use papayarill_config::{Config, FreshnessLimits, InForce};
use wire::{Call, Reply};

use crate::context::Cx;
use crate::start;

/// The interval at which the platform is polled for the newest version.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for fetching a configuration from another host process.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// The configuration in force, with its source document for hosts that fetch it from this one.
pub struct ConfigInForce {
    in_force: RefCell<InForce>,
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
    /// Creates the state without a configuration.
    pub fn new() -> Self {
        Self {
            in_force: RefCell::new(InForce::new(FreshnessLimits::default())),
            document: RefCell::new(None),
            fetching: Cell::new(false),
        }
    }
}

/// Records that `version` was the newest version at `as_of`, and fetches it if it is not in force
/// here.
pub fn observe_version(cx: &Cx, version: ConfigVersion, as_of: Millis) {
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
        let fetched = match fetch_from_grantors(&cx, version).await {
            Some(found) => Some(found),
            None => fetch_from_platform(&cx, version).await,
        };
        cx.config.fetching.set(false);
        if let Some((version, document)) = fetched {
            put_in_force(&cx, version, document);
        }
    });
}

async fn fetch_from_grantors(cx: &Cx, version: ConfigVersion) -> Option<(ConfigVersion, String)> {
    let grantors = cx.node.borrow().routes().grantors.clone();
    for grantor in grantors.into_iter().filter(|g| *g != cx.addr) {
        let call = Call::Config { at_least: version };
        if let Ok(Reply::Config(Some(found))) = cx.client.call(grantor, call, FETCH_TIMEOUT).await {
            return Some(found);
        }
    }
    None
}

async fn fetch_from_platform(cx: &Cx, version: ConfigVersion) -> Option<(ConfigVersion, String)> {
    metrics::counter!("papayarill_store_reads_total").increment(1);
    match cx.platform.read_config(version).await {
        Ok(document) => Some((version, document)),
        Err(error) => {
            log::warn!("config: Cannot read version {version} from the platform: {error}.");
            None
        }
    }
}

fn put_in_force(cx: &Cx, version: ConfigVersion, document: String) {
    let config = match papayarill_config::parse(&document) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            log::error!("config: Version {version} is invalid: {error}.");
            return;
        }
    };
    if !cx.config.in_force.borrow_mut().adopt(version, config.clone()) {
        return;
    }
    log::info!("config: Version {version} is in force.");
    metrics::gauge!("papayarill_config_version").set(version.0 as f64);
    cx.config.document.replace(Some((version, document)));
    cx.routes.apply_config(&config);
    cx.config_updates.send_replace(config);
    start::join_when_configured(cx);
}

/// Returns the document in force and its version, for another host, if it is at least `at_least`.
pub fn document_at_least(cx: &Cx, at_least: ConfigVersion) -> Option<(ConfigVersion, String)> {
    let document = cx.config.document.borrow();
    document.as_ref().filter(|(version, _)| *version >= at_least).cloned()
}

/// Polls the platform for the newest version while this host is the coordinator or has no
/// configuration yet. Runs until the process ends.
pub async fn poll(cx: Cx) {
    loop {
        let should_poll =
            cx.node.borrow().is_coordinator() || cx.config_version() == ConfigVersion(0);
        if should_poll {
            poll_platform(&cx).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll_platform(cx: &Cx) {
    let as_of = cx.now();
    metrics::counter!("papayarill_store_reads_total").increment(1);
    match cx.platform.read_head().await {
        Ok(Some(version)) => {
            cx.feed(Event::ConfigSeen(version));
            observe_version(cx, version, as_of);
        }
        Ok(None) => {}
        Err(error) => log::warn!("config: Cannot read the newest version: {error}."),
    }
}
