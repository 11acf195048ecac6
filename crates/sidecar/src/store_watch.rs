//! Watches the configuration, the evacuated zones, the hosts and the key maps in the store.
//!
//! Only a few hosts read the store; `relay` passes the changes on to the others.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use adapter::{ConfigIssue, HostRow, ParsedConfig, RowUpdate, StoreError};
use bytes::Bytes;
use futures_util::future::{Either, select};
use log::{info, warn};
use mesh::{Distance, HostChanges, KeyMap};
use model::{ConfigVersion, HostAddr, Millis, RowVersion, ServiceName};
use tokio::time::{sleep, timeout};

use crate::dependency::Dependency;
use crate::evacuation;
use crate::state::{ActiveConfig, Cx, StorePart};

/// Delay before a call is repeated that failed or returned old data.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest delay before a failed read of the hosts at the start is repeated.
const MAX_START_DELAY: Duration = Duration::from_millis(1_600);

/// How often a process that receives changes from other hosts checks whether it has to read the
/// store itself.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Changes in quick succession are read as one batch.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// After another host reported a newer configuration version, the relay has this long to deliver it
/// before it is read from the store.
const HINT_GRACE: Duration = Duration::from_millis(150);

/// Watches the configuration until the process ends.
pub async fn watch_config(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-config");
    let mut known: Option<RowVersion> = None;
    loop {
        let before = cx.version();
        if !cx.state.borrow().hosts_read {
            // The hosts that may have the configuration are not known yet.
            let _ = timeout(CHECK_INTERVAL, cx.changed.notified()).await;
            continue;
        }
        if !cx.reads_store() {
            if timeout(CHECK_INTERVAL, wait_until_behind(&cx)).await.is_err() {
                continue;
            }
            known = None;
        }
        let call = async {
            match known {
                None => read_config(&cx).await,
                Some(version) => {
                    // The row of the configuration in force may be newer, if another host sent it,
                    // but other rows before it may be unknown.
                    poll_config(&cx, version, dependency.long_poll_wait()).await
                }
            }
        };
        let (result, behind) = match select(pin!(call), pin!(wait_until_behind(&cx))).await {
            Either::Left((result, _)) => (result, false),
            Either::Right(_) => {
                // The long poll may hang on a dead connection; dropping it closes the connection.
                (read_config(&cx).await, true)
            }
        };
        match result {
            Ok(version) => {
                dependency.succeeded();
                // The store may return an old version. Polling from it would miss nothing, but the
                // known version must never go backwards.
                known = Some(known.map_or(version, |k| k.max(version)));
                if dependency.may_be_stale(cx.now())
                    && let Err(e) = read_config(&cx).await
                {
                    dependency.failed(&e);
                }
                cx.record_read(StorePart::Config);
                if behind && cx.version() == before {
                    // The store returned old data, or the reported version does not exist.
                    sleep(RETRY_DELAY).await;
                }
            }
            Err(e) => {
                if dependency.lost_history(&e, cx.now()) {
                    known = None;
                } else {
                    back_off(&cx).await;
                }
            }
        }
    }
}

/// Reads the configuration and the evacuated zones and applies them. Returns the version to poll
/// from.
async fn read_config(cx: &Rc<Cx>) -> Result<RowVersion, StoreError> {
    let (updates, version) = cx.store.read_config().await?;
    let (mut evacuations, mut others) = (Vec::new(), Vec::new());
    for update in updates {
        match update {
            RowUpdate::Evacuation(row) => evacuations.push(row),
            other => others.push(other),
        }
    }
    // Before the configuration, without which no request of a caller is accepted.
    evacuation::apply(cx, |known| known.apply_read(evacuations, version));
    others.into_iter().for_each(|u| apply_update(cx, u));
    Ok(version)
}

/// Polls for changes of the configuration and of evacuations after `version` and applies them.
/// Returns the version to poll from next.
async fn poll_config(
    cx: &Rc<Cx>,
    version: RowVersion,
    wait: Millis,
) -> Result<RowVersion, StoreError> {
    let (updates, next) = cx.store.watch_config(version, wait).await?;
    updates.into_iter().for_each(|u| apply_update(cx, u));
    Ok(next)
}

/// Waits until another host has a newer configuration that the relay did not deliver in time.
async fn wait_until_behind(cx: &Cx) {
    loop {
        if cx.peer_config_version.get() <= cx.version() {
            cx.newer_config.notified().await;
            continue;
        }
        sleep(HINT_GRACE).await;
        let (version, other) = (cx.version(), cx.peer_config_version.get());
        if other > version {
            info!("event=configuration-behind version={version} other={other}");
            return;
        }
    }
}

/// Watches the hosts and key maps until the process ends.
pub async fn watch_fleet(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-fleet");
    let mut history_gone = false;
    let mut start_delay = RETRY_DELAY;
    loop {
        if !cx.state.borrow().hosts_read {
            match read_hosts(&cx).await {
                Ok(()) => dependency.succeeded(),
                Err(e) => {
                    dependency.failed(&e);
                    sleep(start_delay).await;
                    start_delay = (start_delay * 2).min(MAX_START_DELAY);
                }
            }
            continue;
        }
        if !history_gone && !cx.reads_store() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let position = cx.state.borrow().hosts.position();
        let read = position == RowVersion(0) || history_gone;
        let result = if read {
            read_fleet(&cx).await
        } else {
            poll_fleet(&cx, position, dependency.long_poll_wait()).await
        };
        match result {
            Ok(changed) => {
                dependency.succeeded();
                history_gone = false;
                if dependency.may_be_stale(cx.now())
                    && let Err(e) = read_fleet(&cx).await
                {
                    dependency.failed(&e);
                }
                cx.state.borrow_mut().ownership.note_map_read();
                cx.record_read(StorePart::Fleet);
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(e) => {
                if dependency.lost_history(&e, cx.now()) {
                    history_gone = true;
                } else {
                    back_off(&cx).await;
                }
            }
        }
    }
}

/// Waits after a failure, the longer the more hosts can be expected to read the store.
async fn back_off(cx: &Cx) {
    let candidates = cx.source_candidates();
    let delay = cx.state.borrow().source_selector.read_retry_delay(&candidates);
    sleep(Duration::from(delay)).await;
}

/// Reads the hosts at the start. Whatever else is in the store can then be learned from them.
async fn read_hosts(cx: &Rc<Cx>) -> Result<(), StoreError> {
    let (updates, _) = cx.store.read_fleet(&[]).await?;
    let mut rows = Vec::new();
    for update in updates {
        match update {
            RowUpdate::Host(row) => rows.push(row),
            other => apply_update(cx, other),
        }
    }
    rows.sort_by_key(|(host, ..)| *host);
    let newest = rows.iter().map(|(_, version, _)| *version).max();
    let position = RowVersion(0);
    apply_host_changes(cx, HostChanges { snapshot_version: newest, position, rows });
    cx.state.borrow_mut().hosts_read = true;
    cx.changed.notify_waiters();
    Ok(())
}

/// Polls for changes after `position` and applies them. Returns whether there were any.
async fn poll_fleet(cx: &Rc<Cx>, position: RowVersion, wait: Millis) -> Result<bool, StoreError> {
    let (updates, position) = cx.store.watch_fleet(position, wait).await?;
    let changed = !updates.is_empty();
    updates.into_iter().for_each(|u| apply_update(cx, u));
    cx.state.borrow_mut().hosts.advance_to(position);
    Ok(changed)
}

/// Reads all hosts and key maps and applies them; known hosts without a row are removed. Returns
/// whether there were any maps.
async fn read_fleet(cx: &Rc<Cx>) -> Result<bool, StoreError> {
    // Each key map is in a partition of its own, so the services with keys must be known first.
    let services = loop {
        let config = cx.state.borrow().config.clone();
        if let Some(known) = config {
            break known.config.keyed_services();
        }
        cx.changed.notified().await;
    };
    let (updates, position) = cx.store.read_fleet(&services).await?;
    let (mut rows, mut others) = (Vec::new(), Vec::new());
    for update in updates {
        match update {
            RowUpdate::Host(row) => rows.push(row),
            other => others.push(other),
        }
    }
    rows.sort_by_key(|(host, ..)| *host);
    let newest = rows.iter().map(|(_, version, _)| *version).max();
    apply_host_changes(cx, HostChanges { snapshot_version: newest, position, rows });
    let some = !others.is_empty();
    others.into_iter().for_each(|u| apply_update(cx, u));
    Ok(some)
}

fn apply_update(cx: &Rc<Cx>, update: RowUpdate) {
    match update {
        RowUpdate::Config(version, bytes) => apply_config(cx, version, Bytes::from(bytes)),
        RowUpdate::Evacuation(row) => {
            evacuation::apply(cx, |known| known.update(row).into_iter().collect());
        }
        RowUpdate::Host(row) => {
            let position = cx.state.borrow().hosts.position();
            apply_host_changes(
                cx,
                HostChanges { snapshot_version: None, position, rows: vec![row] },
            );
        }
        RowUpdate::Map(service, version, map) => apply_key_map(cx, &service, version, map),
        RowUpdate::Unreadable(what) => warn!("event=row-ignored row={what:?}"),
    }
    cx.changed.notify_waiters();
    cx.ownership_due.notify_one();
    cx.grants_due.notify_one();
}

/// Applies changes of host rows.
pub fn apply_host_changes(cx: &Rc<Cx>, changes: HostChanges<HostRow>) {
    cx.store.record_era(changes.position);
    let changed = cx.state.borrow_mut().hosts.apply(changes);
    if !changed.is_empty() {
        cx.state.borrow_mut().update_peers(&cx.settings.service);
    }
    for host in changed {
        host_changed(cx, host);
    }
}

fn host_changed(cx: &Rc<Cx>, host: HostAddr) {
    let mut state = cx.state.borrow_mut();
    let row = state.hosts.get(host).cloned();
    state.host_changed(host, &cx.settings, |row| match host == cx.me {
        true => Distance::SameHost,
        false => cx.settings.distance(&row.zone),
    });
    drop(state);
    match row {
        Some(row) => info!("event=host host={host} service={} zone={}", row.service, row.zone),
        None if host == cx.me => {
            info!("event=own-row-removed host={host}");
            if !cx.stopping.get() {
                actix_rt::spawn(register_host(cx.clone()));
            }
        }
        None => {
            info!("event=host-removed host={host}");
            cx.host_connections.remove(host);
        }
    }
}

/// Applies a key map unless a newer one is known.
pub fn apply_key_map(cx: &Cx, service: &ServiceName, version: RowVersion, map: KeyMap) {
    let runs = map.ranges.len();
    cx.store.record_era(version);
    let mut state = cx.state.borrow_mut();
    if *service == cx.settings.service {
        state.ownership.update_map(version, map.clone(), cx.now());
    }
    if state.apply_key_map(service, version, Rc::new(map)) {
        info!("event=key-map service={service} version={version} runs={runs}");
    }
}

/// Applies a configuration document if its version is newer than the current one.
pub fn apply_config(cx: &Cx, row: RowVersion, document: Bytes) {
    let ParsedConfig { config, issues } = match adapter::parse_config(&document) {
        Ok(parsed) => parsed,
        Err(e) => {
            warn!("event=configuration-ignored row={row} error={:?}", e.to_string());
            return;
        }
    };
    let mut state = cx.state.borrow_mut();
    let old = state.config.as_ref().map(|c| c.config.version);
    if old.is_some_and(|old| old >= config.version) {
        return;
    }
    info!(
        "event=configuration version={} before={old:?} routes={} row={row}",
        config.version,
        config.route_count()
    );
    log_config_issues(config.version, &issues);
    let service = config.service(&cx.settings.service);
    let cold_limits = service.and_then(|s| cx.settings.cold_limits(s));
    state.queue.cold_start_mut().set_limits(cold_limits);
    state.config = Some(ActiveConfig::new(row, config, document));
    evacuation::restrict_key_placement(&mut state, &cx.settings);
}

fn log_config_issues(version: ConfigVersion, issues: &[ConfigIssue]) {
    for issue in issues {
        match issue {
            ConfigIssue::Skipped { list, entry, error } => {
                let error = error.to_string();
                warn!(
                    "event=configuration-entry-skipped version={version} list={list} \
                     entry={entry:?} error={error:?}"
                );
            }
            ConfigIssue::UnknownType { route, kind } => warn!(
                "event=configuration-type-unknown version={version} route={route:?} type={kind:?}"
            ),
        }
    }
    metrics::gauge!("papayarill_configuration_issues").set(issues.len() as f64);
}

/// Writes this host's row, by which other hosts discover it, and retries until that succeeds.
pub async fn register_host(cx: Rc<Cx>) {
    let row = HostRow {
        name: cx.settings.host.clone(),
        service: cx.settings.service.clone(),
        zone: cx.settings.zone.clone(),
        process: cx.process,
    };
    loop {
        match cx.store.register_host(cx.me, &row).await {
            Ok(()) => {
                info!("event=host-registered host={}", cx.me);
                return;
            }
            Err(e) => {
                warn!("event=register-failed error={:?}", e.to_string());
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
