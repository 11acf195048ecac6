//! News of the store that go from host to host.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use mesh::{Changes, HostNews, KeyMap, Source};
use model::{HostAddr, Millis, RowVersion, ServiceName};
use tokio::time::{sleep, timeout};

use crate::rpc;
use crate::state::Cx;
use crate::store_watch::{apply_config, apply_host_changes, apply_key_map};
use crate::wire::{ChangesReply, ChangesRequest, HostNewsWire};

/// A question of another host waits at most this long, whatever it asks for.
const MAX_HOLD: Millis = Millis(2_000);

/// An answer is worth sending if it makes what the asker knows younger by this.
const MIN_AGE_GAIN: Millis = Millis(300);

/// A question without an answer after this has failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// A process that asks nobody looks this often whether it should.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// News that come one after the other are told together.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// The longest document of the operator, in bytes.
const MAX_CONFIG_BYTES: u64 = 64 << 20;

/// Asks other hosts for news while the store is not to be asked, until the process ends.
pub async fn pull_changes(cx: Rc<Cx>) {
    let mut before = None;
    loop {
        let near = cx.neighbours();
        let now = cx.now();
        let (source, age) = {
            let relays = &cx.state.borrow().relays;
            (relays.source(&near, now), relays.age(now))
        };
        if before != Some(source) {
            let hosts = near.zone.len();
            info!("event=news-source source={source:?} zone_hosts={hosts} age={age:?}");
            before = Some(source);
        }
        match source {
            Source::Store => sleep(CHECK_INTERVAL).await,
            Source::Host(host) => {
                pull_from(&cx, host).await;
                sleep(BATCH_DELAY).await;
            }
        }
    }
}

async fn pull_from(cx: &Rc<Cx>, host: HostAddr) {
    let asked_at = cx.now();
    let question = {
        let state = cx.state.borrow();
        ChangesRequest {
            config_row: state.config.as_ref().map_or(0, |c| c.row.0),
            position: state.hosts.position().0,
            age_ms: state.relays.age(asked_at).map(|age| age.0),
            hold_ms: state.relays.hold(asked_at).0,
            suspects: state.suspects.news(asked_at),
        }
    };
    let build_reply: Option<ChangesReply> =
        rpc::call(cx, host, rpc::NEWS_PATH, &question, REPLY_TIMEOUT).await;
    let now = cx.now();
    let Some(build_reply) = build_reply else {
        info!("event=news-failed host={host} age={:?}", question.age_ms);
        return cx.state.borrow_mut().relays.pass_over(host, now);
    };
    cx.merge_suspects(&build_reply.suspects);
    if let Some(age) = build_reply.age_ms {
        // The way here is not counted, so the contact was not before this.
        let at = (asked_at + Millis(build_reply.held_ms)).since(Millis(age));
        cx.state.borrow_mut().relays.contact(at);
    }
    if let Err(why) = apply_reply(cx, build_reply) {
        warn!("event=news-refused host={host} why={why:?}");
        return cx.state.borrow_mut().relays.pass_over(host, now);
    }
    let mut state = cx.state.borrow_mut();
    if state.relays.is_old(now) {
        info!("event=news-old host={host} age={:?}", state.relays.age(now));
        state.relays.pass_over(host, now);
    }
    drop(state);
    cx.changed.notify_waiters();
    cx.keeper_due.notify_one();
}

fn apply_reply(cx: &Rc<Cx>, build_reply: ChangesReply) -> Result<(), String> {
    if let Some((row, packed)) = build_reply.config {
        let document = mesh::unpack(&packed, MAX_CONFIG_BYTES).map_err(|e| e.to_string())?;
        apply_config(cx, RowVersion(row), Bytes::from(document));
    }
    for (service, version, bytes) in build_reply.maps {
        let service = ServiceName::new(&service).map_err(|e| e.to_string())?;
        let map = KeyMap::decode(&bytes).map_err(|e| e.to_string())?;
        apply_key_map(cx, &service, RowVersion(version), map);
    }
    let rows: Result<Vec<_>, _> = build_reply.hosts.into_iter().map(HostNews::try_from).collect();
    let mut rows = rows.map_err(|e| e.to_string())?;
    rows.sort_by_key(|(host, ..)| *host);
    // Last, as it moves the position up to which everything is known.
    apply_host_changes(
        cx,
        Changes {
            whole: build_reply.whole.map(RowVersion),
            position: RowVersion(build_reply.position),
            rows,
        },
    );
    cx.state.borrow_mut().keeper.map_read();
    Ok(())
}

/// Answers another host once there is something to tell it.
pub async fn handle_pull(cx: &Cx, pull_from: &ChangesRequest) -> ChangesReply {
    let received_at = cx.now();
    cx.merge_suspects(&pull_from.suspects);
    let hold = Millis(pull_from.hold_ms).min(MAX_HOLD);
    loop {
        let changed = cx.changed.notified();
        let held = cx.now().since(received_at);
        if held >= hold || has_changes(cx, pull_from, held) {
            return build_reply(cx, pull_from, held);
        }
        // Either way the next look decides.
        let _ = timeout(Duration::from(hold.since(held)), changed).await;
    }
}

fn has_changes(cx: &Cx, pull_from: &ChangesRequest, held: Millis) -> bool {
    let state = cx.state.borrow();
    let row = state.config.as_ref().map_or(0, |c| c.row.0);
    let younger = match (state.relays.age(cx.now()), pull_from.age_ms) {
        (Some(age), Some(known)) => age + MIN_AGE_GAIN <= Millis(known) + held,
        (age, _) => age.is_some(),
    };
    row > pull_from.config_row || state.hosts.position() > RowVersion(pull_from.position) || younger
}

fn build_reply(cx: &Cx, pull_from: &ChangesRequest, held: Millis) -> ChangesReply {
    let state = cx.state.borrow();
    let position = RowVersion(pull_from.position);
    let Changes { whole, position: known_up_to, rows } = state.hosts.after(position);
    let config = state.config.as_ref().filter(|c| c.row.0 > pull_from.config_row);
    let maps = state.maps.iter().filter(|m| whole.is_some() || m.version > position);
    ChangesReply {
        held_ms: held.0,
        age_ms: state.relays.age(cx.now()).map(|age| age.0),
        config: config.map(|c| (c.row.0, c.packed().to_vec())),
        suspects: state.suspects.news(cx.now()),
        position: known_up_to.0,
        whole: whole.map(|version| version.0),
        hosts: rows.into_iter().map(HostNewsWire::from).collect(),
        maps: maps
            .map(|m| (m.service.as_str().to_owned(), m.version.0, m.bytes().to_vec()))
            .collect(),
    }
}
