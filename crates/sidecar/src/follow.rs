//! What the process learns from the store, and what it writes there.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use adapter::{HostRow, News, StoreError};
use futures_util::future::{Either, select};
use log::{info, warn};
use mesh::Written;
use model::{HostAddr, Millis, RowVersion};
use tokio::time::{sleep, timeout};

use crate::hop;
use crate::state::Cx;

/// How long one question for changes of the configuration waits, in milliseconds: a random span
/// between these. A connection that went silent with the store shows a second after it, on one of
/// many hosts soon, and the others hear from that one.
const CONFIG_WAIT_MS: (u64, u64) = (4_000, 12_000);

/// The same for changes of the fleet, of which a host also hears when it is turned away.
const FLEET_WAIT_MS: (u64, u64) = (8_000, 20_000);

/// After a lost history, rows are read again until this much later: answers may come from some
/// seconds ago and would hide what the lost history told.
const DOUBT: Millis = Millis(10_000);

/// Waits are this short while there is doubt, in milliseconds.
const DOUBT_WAIT_MS: (u64, u64) = (1_000, 2_000);

/// A failed question is asked again after this.
const PAUSE: Duration = Duration::from_millis(250);

/// The keeper is asked this often whether it has questions to witnesses.
const ASK: Duration = Duration::from_millis(250);

/// The keeper looks for what is due at least this often.
const LOOK: Duration = Duration::from_millis(250);

/// Tells once that a dependency is lost and once that it is back.
struct Dependency {
    name: &'static str,
    lost: bool,
    doubt_until: Millis,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self { name, lost: false, doubt_until: Millis::ZERO }
    }

    /// Draws how long a question waits. While the store fails, short ones show soonest that it is
    /// back.
    fn wait(&self, now: Millis, usual: (u64, u64)) -> Millis {
        let (least, most) = if self.doubts(now) { DOUBT_WAIT_MS } else { usual };
        if self.lost { Millis::ZERO } else { Millis(rand::random_range(least..most)) }
    }

    fn doubts(&self, now: Millis) -> bool {
        now < self.doubt_until
    }

    /// Tells where to go on after an error: from the start if the history is gone.
    fn resume_from(
        &mut self,
        error: &StoreError,
        known: Option<RowVersion>,
        now: Millis,
    ) -> Option<RowVersion> {
        if matches!(error, StoreError::HistoryGone) {
            info!("event=history-gone name={} version={known:?}", self.name);
            self.doubt_until = now + DOUBT;
            return None;
        }
        self.failed(error);
        known
    }

    fn failed(&mut self, error: &StoreError) {
        if !self.lost {
            warn!("event=dependency-lost name={} error={:?}", self.name, error.to_string());
        }
        self.lost = true;
    }

    fn answered(&mut self) {
        if self.lost {
            info!("event=dependency-regained name={}", self.name);
        }
        self.lost = false;
    }
}

/// Follows the configuration until the process ends.
pub async fn config(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-config");
    let mut known: Option<RowVersion> = None;
    loop {
        let before = cx.version();
        let wait = dependency.wait(cx.now(), CONFIG_WAIT_MS);
        let ask = async {
            match known {
                None => cx.store.config().await,
                Some(version) => cx.store.follow_config(version, wait).await,
            }
        };
        let (result, hinted) = match select(pin!(ask), pin!(cx.newer.notified())).await {
            Either::Left((result, _)) => (result, false),
            Either::Right(_) => {
                // The question may hang on a connection that went silent; dropping it closes that.
                info!("event=configuration-behind version={before}");
                (cx.store.config().await, true)
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
                    match cx.store.config().await {
                        Ok((news, _)) => news.into_iter().for_each(|n| learn(&cx, n)),
                        Err(e) => dependency.failed(&e),
                    }
                }
                if hinted && cx.version() == before {
                    // The store answered from the past, or the hint was wrong.
                    sleep(PAUSE).await;
                }
            }
            Err(e) => {
                known = dependency.resume_from(&e, known, cx.now());
                sleep(PAUSE).await;
            }
        }
    }
}

/// Follows the hosts and key maps until the process ends.
pub async fn fleet(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-fleet");
    let mut known: Option<RowVersion> = None;
    loop {
        let wait = dependency.wait(cx.now(), FLEET_WAIT_MS);
        let ask = async {
            match known {
                None => read_fleet(&cx).await,
                Some(version) => cx.store.follow_fleet(version, wait).await,
            }
        };
        let result = match (select(pin!(ask), pin!(cx.turned_away.notified())).await, known) {
            (Either::Left((result, _)), _) => result,
            // Not dropped again: hosts may turn this one away all the time until it is up to date.
            (Either::Right(_), None) => read_fleet(&cx).await,
            (Either::Right(_), Some(version)) => {
                sleep(PAUSE).await;
                cx.store.follow_fleet(version, Millis::ZERO).await
            }
        };
        match result {
            Ok((news, version)) => {
                dependency.answered();
                news.into_iter().for_each(|n| learn(&cx, n));
                known = Some(known.map_or(version, |k| k.max(version)));
                if dependency.doubts(cx.now()) {
                    match read_fleet(&cx).await {
                        Ok((news, _)) => news.into_iter().for_each(|n| learn(&cx, n)),
                        Err(e) => dependency.failed(&e),
                    }
                }
                cx.state.borrow_mut().keeper.map_read();
            }
            Err(e) => {
                known = dependency.resume_from(&e, known, cx.now());
                sleep(PAUSE).await;
            }
        }
    }
}

async fn read_fleet(cx: &Rc<Cx>) -> Result<(Vec<News>, RowVersion), StoreError> {
    // Maps are in parts of their own, so the keyed services have to be known first.
    let services = loop {
        let config = cx.state.borrow().config.clone();
        if let Some((_, config)) = config {
            break config.keyed_services();
        }
        cx.changed.notified().await;
    };
    cx.store.fleet(&services).await
}

fn learn(cx: &Rc<Cx>, news: News) {
    match news {
        News::Config(version, bytes) => learn_config(cx, version, &bytes),
        News::Host(host, Some(row)) => {
            if host != cx.me && !cx.state.borrow().knows_host(host, &row) {
                info!("event=host host={host} service={} zone={}", row.service, row.zone);
            }
            let distance =
                if host == cx.me { mesh::Distance::Here } else { cx.settings.distance(&row.zone) };
            cx.state.borrow_mut().learn_host(host, row, distance);
        }
        News::Host(host, None) if host == cx.me => {
            info!("event=own-row-gone host={host}");
            if !cx.stopping.get() {
                actix_rt::spawn(announce(cx.clone()));
            }
        }
        News::Host(host, None) => {
            info!("event=host-gone host={host}");
            cx.state.borrow_mut().forget_host(host);
            cx.hops.forget(host);
        }
        News::Map(service, version, map) => {
            if !cx.state.borrow().knows_map(&service, version) {
                info!("event=key-map service={service} version={version} runs={}", map.runs.len());
            }
            let mut state = cx.state.borrow_mut();
            if service == cx.settings.service {
                state.keeper.learn_map(version, map.clone());
            }
            state.learn_map(&service, version, Rc::new(map));
        }
        News::Unreadable(what) => warn!("event=row-ignored row={what:?}"),
    }
    cx.changed.notify_waiters();
    cx.due.notify_one();
}

fn learn_config(cx: &Cx, row: RowVersion, bytes: &[u8]) {
    let config = match adapter::read_config(bytes) {
        Ok(config) => config,
        Err(e) => {
            warn!("event=configuration-ignored row={row} error={:?}", e.to_string());
            return;
        }
    };
    let mut state = cx.state.borrow_mut();
    let old = state.config.as_ref().map(|(_, c)| c.version);
    if old.is_some_and(|old| old >= config.version) {
        return;
    }
    info!(
        "event=configuration version={} before={old:?} routes={} row={row}",
        config.version,
        config.route_count()
    );
    state.config = Some((row, Rc::new(config)));
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
        match cx.store.announce(cx.me, &row).await {
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

/// Asks witnesses whatever the keeper wants to know, apart from its calls to the store.
pub async fn ask_witnesses(cx: Rc<Cx>) {
    loop {
        sleep(ASK).await;
        let now = cx.now();
        let asks = cx.state.borrow_mut().keeper.asks(now);
        for (host, ask) in asks {
            let cx = cx.clone();
            actix_rt::spawn(async move {
                let Some(word) = hop::ask(&cx, host, &ask).await else { return };
                let question = ask.question;
                let holder = ask.holder;
                info!(
                    "event=told witness={host} question={question:?} holder={holder} word={word:?}"
                );
                cx.state.borrow_mut().keeper.told(&ask, word, now, cx.now());
                cx.due.notify_one();
            });
        }
    }
}

/// Keeps the lease and the keys of this host, if its service has keys, until the process ends.
pub async fn keep(cx: Rc<Cx>) {
    let mut dependency = Dependency::new("store-keys");
    loop {
        // Either way the next look decides.
        let _ = timeout(LOOK, cx.due.notified()).await;
        if !cx.owns_keys() {
            continue;
        }
        let service = cx.settings.service.clone();
        let now = cx.now();
        if cx.state.borrow().keeper.wants_watch(now) {
            match cx.store.leases(&service).await {
                Ok(rows) => {
                    dependency.answered();
                    cx.state.borrow_mut().keeper.learn_leases(rows, cx.now());
                }
                Err(e) => {
                    dependency.failed(&e);
                    sleep(PAUSE).await;
                }
            }
        }
        write_due(&cx, &mut dependency).await;
    }
}

async fn write_due(cx: &Rc<Cx>, dependency: &mut Dependency) {
    let todo = {
        let mut state = cx.state.borrow_mut();
        let now = cx.now();
        let state = &mut *state;
        state.demand.fade(now);
        let run_s = state.queue.mean_run().0 as f64 / 1_000.0;
        let load = (state.demand.per_second() * run_s * 100.0) as u32;
        let room = state.queue.slots() as u32 * 100;
        state.keeper.learn_load(load, room);
        let lost: Vec<HostAddr> = state.unreachable.iter().map(|(host, _)| *host).collect();
        let shed = state.keeper.shed(&state.demand, &lost, now);
        if shed > 0 {
            info!("event=shed pieces={shed} load={load} room={room}");
        }
        state.keeper.todo(now)
    };
    let Some(todo) = todo else { return };
    let (written, error) = cx.store.write(&cx.settings.service, &todo).await;
    match &error {
        Some(e) => dependency.failed(e),
        None => dependency.answered(),
    }
    let why = todo.why;
    match &written {
        Written::Done(version) if why == "renew" => log::debug!("event=renewed version={version}"),
        Written::Done(version) => info!("event=row-written why={why} version={version}"),
        Written::Conflict(_) => info!("event=row-conflict why={why} expected={:?}", todo.expect),
        Written::NotMade => info!("event=row-refused why={why} error={error:?}"),
        Written::Unknown => info!("event=row-unknown why={why} error={error:?}"),
    }
    let mut state = cx.state.borrow_mut();
    let had = state.keeper.lease_until();
    state.keeper.written(written, cx.now());
    match (had, state.keeper.lease_until()) {
        (None, Some(until)) => info!("event=lease-gained until={until}"),
        (Some(until), None) => warn!("event=lease-lost until={until}"),
        _ => {}
    }
    if let Some((version, map)) = state.keeper.map().cloned() {
        state.learn_map(&cx.settings.service, version, Rc::new(map));
    }
    drop(state);
    cx.changed.notify_waiters();
}
