//! News of the store that go from host to host.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use mesh::{HostChanges, HostUpdate, KeyMap, Upstream};
use model::{HostAddr, Millis, RowVersion, ServiceName};
use tokio::time::{sleep, timeout};

use crate::follow::{learn_config, learn_hosts, learn_map};
use crate::hop;
use crate::state::Cx;
use crate::wire::{HostNewsWire, NewsAsk, NewsReply};

/// A question of another host waits at most this long, whatever it asks for.
const MOST_HOLD: Millis = Millis(2_000);

/// An answer is worth sending if it makes what the asker knows younger by this.
const YOUNGER: Millis = Millis(300);

/// A question without an answer after this has failed.
const ANSWER: Duration = Duration::from_millis(1_400);

/// A process that asks nobody looks this often whether it should.
const LOOK: Duration = Duration::from_millis(200);

/// News that come one after the other are told together.
const GATHER: Duration = Duration::from_millis(30);

/// The longest document of the operator, in bytes.
const MAX_DOCUMENT: u64 = 64 << 20;

/// Asks other hosts for news while the store is not to be asked, until the process ends.
pub async fn follow(cx: Rc<Cx>) {
    let mut before = None;
    loop {
        let near = cx.neighbours();
        let now = cx.now();
        let (source, age) = {
            let relays = &cx.state.borrow().relays;
            (relays.pick(&near, now), relays.contact_age(now))
        };
        if before != Some(source) {
            let hosts = near.same_zone.len();
            info!("event=news-source source={source:?} zone_hosts={hosts} age={age:?}");
            before = Some(source);
        }
        match source {
            Upstream::Store => sleep(LOOK).await,
            Upstream::Host(host) => {
                ask(&cx, host).await;
                sleep(GATHER).await;
            }
        }
    }
}

async fn ask(cx: &Rc<Cx>, host: HostAddr) {
    let asked_at = cx.now();
    let question = {
        let state = cx.state.borrow();
        NewsAsk {
            config_row: state.config.as_ref().map_or(0, |c| c.row.0),
            position: state.hosts.position().0,
            age_ms: state.relays.contact_age(asked_at).map(|age| age.0),
            hold_ms: state.relays.poll_wait(asked_at).0,
            suspects: state.suspects.pending_update(asked_at),
        }
    };
    let reply: Option<NewsReply> = hop::ask(cx, host, hop::NEWS, &question, ANSWER).await;
    let now = cx.now();
    let Some(reply) = reply else {
        info!("event=news-failed host={host} age={:?}", question.age_ms);
        return cx.state.borrow_mut().relays.back_off(host, now);
    };
    cx.heard_suspects(&reply.suspects);
    if let Some(age) = reply.age_ms {
        // The way here is not counted, so the contact was not before this.
        let at = (asked_at + Millis(reply.held_ms)).since(Millis(age));
        cx.state.borrow_mut().relays.record_contact(at);
    }
    if let Err(why) = take_in(cx, reply) {
        warn!("event=news-refused host={host} why={why:?}");
        return cx.state.borrow_mut().relays.back_off(host, now);
    }
    let mut state = cx.state.borrow_mut();
    if state.relays.is_stale(now) {
        info!("event=news-old host={host} age={:?}", state.relays.contact_age(now));
        state.relays.back_off(host, now);
    }
    drop(state);
    cx.changed.notify_waiters();
    cx.due.notify_one();
}

fn take_in(cx: &Rc<Cx>, reply: NewsReply) -> Result<(), String> {
    if let Some((row, packed)) = reply.config {
        let document = mesh::decompress(&packed, MAX_DOCUMENT).map_err(|e| e.to_string())?;
        learn_config(cx, RowVersion(row), Bytes::from(document));
    }
    for (service, version, bytes) in reply.maps {
        let service = ServiceName::new(&service).map_err(|e| e.to_string())?;
        let map = KeyMap::decode(&bytes).map_err(|e| e.to_string())?;
        learn_map(cx, &service, RowVersion(version), map);
    }
    let rows: Result<Vec<_>, _> = reply.hosts.into_iter().map(HostUpdate::try_from).collect();
    let mut rows = rows.map_err(|e| e.to_string())?;
    rows.sort_by_key(|(host, ..)| *host);
    // Last, as it moves the position up to which everything is known.
    learn_hosts(
        cx,
        HostChanges {
            snapshot_version: reply.whole.map(RowVersion),
            position: RowVersion(reply.position),
            rows,
        },
    );
    cx.state.borrow_mut().keeper.note_map_read();
    Ok(())
}

/// Answers another host once there is something to tell it.
pub async fn answer(cx: &Cx, ask: &NewsAsk) -> NewsReply {
    let came = cx.now();
    cx.heard_suspects(&ask.suspects);
    let hold = Millis(ask.hold_ms).min(MOST_HOLD);
    loop {
        let changed = cx.changed.notified();
        let held = cx.now().since(came);
        if held >= hold || has_news(cx, ask, held) {
            return reply(cx, ask, held);
        }
        // Either way the next look decides.
        let _ = timeout(Duration::from(hold.since(held)), changed).await;
    }
}

fn has_news(cx: &Cx, ask: &NewsAsk, held: Millis) -> bool {
    let state = cx.state.borrow();
    let row = state.config.as_ref().map_or(0, |c| c.row.0);
    let younger = match (state.relays.contact_age(cx.now()), ask.age_ms) {
        (Some(age), Some(known)) => age + YOUNGER <= Millis(known) + held,
        (age, _) => age.is_some(),
    };
    row > ask.config_row || state.hosts.position() > RowVersion(ask.position) || younger
}

fn reply(cx: &Cx, ask: &NewsAsk, held: Millis) -> NewsReply {
    let state = cx.state.borrow();
    let position = RowVersion(ask.position);
    let HostChanges { snapshot_version: whole, position: told, rows } =
        state.hosts.changes_since(position);
    let config = state.config.as_ref().filter(|c| c.row.0 > ask.config_row);
    let maps = state.maps.iter().filter(|m| whole.is_some() || m.version > position);
    NewsReply {
        held_ms: held.0,
        age_ms: state.relays.contact_age(cx.now()).map(|age| age.0),
        config: config.map(|c| (c.row.0, c.packed().to_vec())),
        suspects: state.suspects.pending_update(cx.now()),
        position: told.0,
        whole: whole.map(|version| version.0),
        hosts: rows.into_iter().map(HostNewsWire::from).collect(),
        maps: maps
            .map(|m| (m.service.as_str().to_owned(), m.version.0, m.bytes().to_vec()))
            .collect(),
    }
}
