//! What the process learns from the store: the configuration, the hosts and the key maps.
//!
//! Few hosts read the store; `news` brings the others what these learn.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use adapter::{HostRow, RowUpdate, StoreError};
use bytes::Bytes;
use futures_util::future::{Either, select};
use log::{info, warn};
use mesh::{Changes, Distance, KeyMap, Source};
use model::{HostAddr, Millis, RowVersion, ServiceName};
use tokio::time::{sleep, timeout};

use crate::dependency::Dependency;
use crate::state::{ConfigRow, Cx, Part};

/// A failed question is asked again after this.
const PAUSE: Duration = Duration::from_millis(100);

/// The same at hosts that read the store only because nobody tells them anything, in
/// milliseconds. There may be many of them.
const FALLBACK_PAUSE_MS: (u64, u64) = (800, 1_600);

/// A process that is told of changes looks this often whether it has to read for itself.
const LOOK: Duration = Duration::from_millis(200);

/// Changes that come one after the other are read together.
const GATHER: Duration = Duration::from_millis(50);

/// After the hint of another host that the configuration changed, the news have this long to
/// bring it before it is read.
const HINT: Duration = Duration::from_millis(150);

/// Follows the configuration until the process ends.
pub async fn config(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-config");
    let mut known: Option<RowVersion> = None;
    loop {
        let before = cx.version();
        if known.is_some() && !cx.reads_store() {
            if timeout(LOOK, behind(&cx)).await.is_err() {
                continue;
            }
            known = None;
        }
        let in_force = cx.state.borrow().config.as_ref().map(|c| c.row);
        let ask = async {
            match known {
                None => cx.store.read_config().await,
                Some(version) => {
                    let from = in_force.map_or(version, |row| row.max(version));
                    cx.store.watch_config(from, dependency.wait()).await
                }
            }
        };
        let (result, hinted) = match select(pin!(ask), pin!(behind(&cx))).await {
            Either::Left((result, _)) => (result, false),
            Either::Right(_) => {
                // The question may hang on a connection that went silent; dropping it closes that.
                (cx.store.read_config().await, true)
            }
        };
        match result {
            Ok((news, version)) => {
                dependency.answered();
                news.into_iter().for_each(|n| learn(&cx, n));
                // An answer from the past would make the next question miss nothing, but a
                // version never goes back.
                known = Some(known.map_or(version, |k| k.max(version)));
                if dependency.doubts(cx.now()) {
                    match cx.store.read_config().await {
                        Ok((news, _)) => news.into_iter().for_each(|n| learn(&cx, n)),
                        Err(e) => dependency.failed(&e),
                    }
                }
                cx.has_read(Part::Config);
                if hinted && cx.version() == before {
                    // The store answered from the past, or the hint was wrong.
                    sleep(PAUSE).await;
                }
            }
            Err(e) => {
                if dependency.lost_history(&e, cx.now()) {
                    known = None;
                } else {
                    pause(&cx).await;
                }
            }
        }
    }
}

/// Waits until another host has a newer configuration that the news did not bring.
async fn behind(cx: &Cx) {
    loop {
        if cx.hinted.get() <= cx.version() {
            cx.newer.notified().await;
            continue;
        }
        sleep(HINT).await;
        let (version, other) = (cx.version(), cx.hinted.get());
        if other > version {
            info!("event=configuration-behind version={version} other={other}");
            return;
        }
    }
}

/// Follows the hosts and key maps until the process ends.
pub async fn fleet(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-fleet");
    let mut history_gone = false;
    loop {
        let position = cx.state.borrow().hosts.position();
        let read = position == RowVersion(0) || history_gone;
        if !read && !cx.reads_store() {
            sleep(LOOK).await;
            continue;
        }
        let result = if read {
            read_fleet(&cx).await
        } else {
            follow_fleet(&cx, position, dependency.wait()).await
        };
        match result {
            Ok(changed) => {
                dependency.answered();
                history_gone = false;
                if dependency.doubts(cx.now())
                    && let Err(e) = read_fleet(&cx).await
                {
                    dependency.failed(&e);
                }
                cx.state.borrow_mut().keeper.map_read();
                cx.has_read(Part::Fleet);
                if changed {
                    sleep(GATHER).await;
                }
            }
            Err(e) => {
                if dependency.lost_history(&e, cx.now()) {
                    history_gone = true;
                } else {
                    pause(&cx).await;
                }
            }
        }
    }
}

/// Waits after a failure. Hosts that usually hear from others wait longer.
async fn pause(cx: &Cx) {
    let near = cx.neighbours();
    let source = cx.state.borrow().relays.source(&near, cx.now());
    let fallback = source != Source::Store || cx.is_fresh();
    if fallback {
        sleep(Duration::from_millis(rand::random_range(FALLBACK_PAUSE_MS.0..FALLBACK_PAUSE_MS.1)))
            .await;
    } else {
        sleep(PAUSE).await;
    }
}

/// Waits for changes after `position` and takes them in. Returns whether there were any.
async fn follow_fleet(cx: &Rc<Cx>, position: RowVersion, wait: Millis) -> Result<bool, StoreError> {
    let (news, position) = cx.store.watch_fleet(position, wait).await?;
    let changed = !news.is_empty();
    news.into_iter().for_each(|n| learn(cx, n));
    cx.state.borrow_mut().hosts.advance(position);
    Ok(changed)
}

/// Reads all hosts and key maps, and takes in the hosts that are there, those that are not, and
/// the maps. Returns whether there were any maps.
async fn read_fleet(cx: &Rc<Cx>) -> Result<bool, StoreError> {
    // Maps are in parts of their own, so the keyed services have to be known first.
    let services = loop {
        let config = cx.state.borrow().config.clone();
        if let Some(known) = config {
            break known.config.keyed_services();
        }
        cx.changed.notified().await;
    };
    let (news, position) = cx.store.read_fleet(&services).await?;
    let (mut rows, mut others) = (Vec::new(), Vec::new());
    for n in news {
        match n {
            RowUpdate::Host(row) => rows.push(row),
            other => others.push(other),
        }
    }
    rows.sort_by_key(|(host, ..)| *host);
    let newest = rows.iter().map(|(_, version, _)| *version).max();
    learn_hosts(cx, Changes { whole: newest, position, rows });
    let some = !others.is_empty();
    others.into_iter().for_each(|n| learn(cx, n));
    Ok(some)
}

fn learn(cx: &Rc<Cx>, news: RowUpdate) {
    match news {
        RowUpdate::Config(version, bytes) => learn_config(cx, version, Bytes::from(bytes)),
        RowUpdate::Host(row) => {
            let position = cx.state.borrow().hosts.position();
            learn_hosts(cx, Changes { whole: None, position, rows: vec![row] });
        }
        RowUpdate::Map(service, version, map) => learn_map(cx, &service, version, map),
        RowUpdate::Unreadable(what) => warn!("event=row-ignored row={what:?}"),
    }
    cx.changed.notify_waiters();
    cx.due.notify_one();
}

/// Takes in what changed about hosts.
pub fn learn_hosts(cx: &Rc<Cx>, changes: Changes<HostRow>) {
    let changed = cx.state.borrow_mut().hosts.apply(changes);
    for host in changed {
        host_changed(cx, host);
    }
}

fn host_changed(cx: &Rc<Cx>, host: HostAddr) {
    let mut state = cx.state.borrow_mut();
    let row = state.hosts.get(host).cloned();
    state.host_changed(host, |row| match host == cx.me {
        true => Distance::Here,
        false => cx.settings.distance(&row.zone),
    });
    drop(state);
    match row {
        Some(row) => info!("event=host host={host} service={} zone={}", row.service, row.zone),
        None if host == cx.me => {
            info!("event=own-row-gone host={host}");
            if !cx.stopping.get() {
                actix_rt::spawn(announce(cx.clone()));
            }
        }
        None => {
            info!("event=host-gone host={host}");
            cx.hops.forget(host);
        }
    }
}

/// Takes in a key map; an older one is ignored.
pub fn learn_map(cx: &Cx, service: &ServiceName, version: RowVersion, map: KeyMap) {
    let runs = map.runs.len();
    let mut state = cx.state.borrow_mut();
    if *service == cx.settings.service {
        state.keeper.learn_map(version, map.clone());
    }
    if state.learn_map(service, version, Rc::new(map)) {
        info!("event=key-map service={service} version={version} runs={runs}");
    }
}

/// Takes in a document of the operator; an older version is ignored.
pub fn learn_config(cx: &Cx, row: RowVersion, document: Bytes) {
    let config = match adapter::parse_config(&document) {
        Ok(config) => config,
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
    state.config = Some(ConfigRow::new(row, config, document));
}
/// Writes the row by which other hosts find this one, until it is written.
pub async fn announce(cx: Rc<Cx>) {
    let row = HostRow {
        name: cx.settings.host.clone(),
        service: cx.settings.service.clone(),
        zone: cx.settings.zone.clone(),
        process: cx.process,
    };
    loop {
        match cx.store.register_host(cx.me, &row).await {
            Ok(()) => {
                info!("event=announced host={}", cx.me);
                return;
            }
            Err(e) => {
                warn!("event=announce-failed error={:?}", e.to_string());
                sleep(PAUSE).await;
            }
        }
    }
}
