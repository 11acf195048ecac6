//! Relays changes in the store from host to host, so that few hosts have to read the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use log::{info, warn};
use mesh::{HostChanges, HostUpdate, KeyMap, UpdateSource};
use model::{HostAddr, Millis, RowVersion, ServiceName};
use tokio::time::{sleep, timeout};

use crate::evacuation;
use crate::rpc;
use crate::state::Cx;
use crate::store_watch::{apply_config, apply_host_changes, apply_key_map};
use crate::wire::{ChangesReply, ChangesRequest, EvacuationsWire, HostUpdateWire};

/// The longest time that a request for changes is held back, whatever it asks for.
const MAX_HOLD: Millis = Millis(2_000);

/// A reply without other changes is worth sending if it reduces the age of the requester's data by
/// this.
const MIN_AGE_GAIN: Millis = Millis(300);

/// Timeout of a request for changes.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// How often a process that reads the store itself checks whether it should ask another host.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Changes in quick succession are passed on together.
const BATCH_DELAY: Duration = Duration::from_millis(30);

/// The largest configuration document, in bytes.
const MAX_CONFIG_BYTES: u64 = 64 << 20;

/// Requests changes from other hosts, unless this process has to read the store itself, until the
/// process ends.
pub async fn pull_changes(cx: Rc<Cx>) {
    let mut previous = None;
    loop {
        let candidates = cx.source_candidates();
        let now = cx.now();
        let (source, age) = {
            let source_selector = &cx.state.borrow().source_selector;
            (source_selector.pick(&candidates, now), source_selector.contact_age(now))
        };
        if previous != Some(source) {
            let hosts = candidates.same_zone.len();
            info!("event=update-source source={source:?} zone_hosts={hosts} age={age:?}");
            previous = Some(source);
        }
        match source {
            UpdateSource::Store => sleep(CHECK_INTERVAL).await,
            UpdateSource::Host(host) => {
                pull_from(&cx, host).await;
                sleep(BATCH_DELAY).await;
            }
        }
    }
}

async fn pull_from(cx: &Rc<Cx>, host: HostAddr) {
    let sent_at = cx.now();
    let (request, known) = {
        let state = cx.state.borrow();
        let request = ChangesRequest {
            config_row: state.config.as_ref().map_or(0, |c| c.row.0),
            position: state.hosts.position().0,
            age_ms: state.source_selector.contact_age(sent_at).map(|age| age.0),
            hold_ms: state.source_selector.poll_wait(sent_at).0,
            suspects: state.suspects.pending_update(sent_at),
        };
        (request, evacuation::to_wire(&state.evacuations))
    };
    let path = rpc::CHANGES_PATH;
    let reply: Option<(ChangesReply, EvacuationsWire)> =
        rpc::call_extended(cx, host, path, &request, &known, REPLY_TIMEOUT).await;
    let now = cx.now();
    let Some((reply, evacuations)) = reply else {
        info!("event=update-source-failed host={host} age={:?}", request.age_ms);
        return cx.state.borrow_mut().source_selector.back_off(host, now);
    };
    cx.merge_suspects(&reply.suspects);
    // Before a configuration, without which no request of a caller is accepted.
    evacuation::merge(cx, evacuations);
    let has_data = reply.age_ms.is_some();
    if let Some(age) = reply.age_ms {
        // The transit time of the request is not counted, so the actual contact was no earlier
        // than this.
        let at = (sent_at + Millis(reply.held_ms)).since(Millis(age));
        cx.state.borrow_mut().source_selector.record_contact(at);
    }
    if let Err(why) = apply_reply(cx, reply) {
        warn!("event=update-source-rejected host={host} why={why:?}");
        return cx.state.borrow_mut().source_selector.back_off(host, now);
    }
    let mut state = cx.state.borrow_mut();
    if !has_data {
        state.source_selector.back_off_starting(host, now);
    } else if state.source_selector.is_stale(now) {
        info!(
            "event=update-source-stale host={host} age={:?}",
            state.source_selector.contact_age(now)
        );
        state.source_selector.back_off(host, now);
    }
    drop(state);
    cx.changed.notify_waiters();
    cx.ownership_due.notify_one();
}

fn apply_reply(cx: &Rc<Cx>, reply: ChangesReply) -> Result<(), String> {
    if let Some((row, compressed)) = reply.config {
        let document =
            mesh::decompress(&compressed, MAX_CONFIG_BYTES).map_err(|e| e.to_string())?;
        apply_config(cx, RowVersion(row), Bytes::from(document));
    }
    for (service, version, bytes) in reply.maps {
        let service = ServiceName::new(&service).map_err(|e| e.to_string())?;
        let map = KeyMap::decode(&bytes).map_err(|e| e.to_string())?;
        apply_key_map(cx, &service, RowVersion(version), map);
    }
    let rows: Result<Vec<_>, _> = reply.hosts.into_iter().map(HostUpdate::try_from).collect();
    let mut rows = rows.map_err(|e| e.to_string())?;
    rows.sort_by_key(|(host, ..)| *host);
    // Applied last, because it advances the position up to which all changes are known.
    apply_host_changes(
        cx,
        HostChanges {
            snapshot_version: reply.snapshot_version.map(RowVersion),
            position: RowVersion(reply.position),
            rows,
        },
    );
    cx.state.borrow_mut().ownership.note_map_read();
    Ok(())
}

/// Replies to another host as soon as there are changes for it, or after the hold time.
pub async fn handle_pull(
    cx: &Rc<Cx>,
    request: &ChangesRequest,
    known: EvacuationsWire,
) -> (ChangesReply, EvacuationsWire) {
    let received_at = cx.now();
    cx.merge_suspects(&request.suspects);
    evacuation::merge(cx, known.clone());
    let hold = Millis(request.hold_ms).min(MAX_HOLD);
    loop {
        let changed = cx.changed.notified();
        let held = cx.now().since(received_at);
        let news = evacuation::has_news_for(cx, &known);
        if held >= hold || news || has_changes(cx, request, held) {
            let evacuations = evacuation::to_wire(&cx.state.borrow().evacuations);
            return (build_reply(cx, request, held), evacuations);
        }
        // A timeout and a notification lead to the same check at the top of the loop.
        let _ = timeout(Duration::from(hold.since(held)), changed).await;
    }
}

fn has_changes(cx: &Cx, request: &ChangesRequest, held: Millis) -> bool {
    let state = cx.state.borrow();
    let row = state.config.as_ref().map_or(0, |c| c.row.0);
    let fresher = match (state.source_selector.contact_age(cx.now()), request.age_ms) {
        (Some(age), Some(known)) => age + MIN_AGE_GAIN <= Millis(known) + held,
        (age, _) => age.is_some(),
    };
    row > request.config_row || state.hosts.position() > RowVersion(request.position) || fresher
}

fn build_reply(cx: &Cx, request: &ChangesRequest, held: Millis) -> ChangesReply {
    let state = cx.state.borrow();
    let position = RowVersion(request.position);
    let HostChanges { snapshot_version, position: known_up_to, rows } =
        state.hosts.changes_since(position);
    let config = state.config.as_ref().filter(|c| c.row.0 > request.config_row);
    let maps = state.maps.iter().filter(|m| snapshot_version.is_some() || m.version > position);
    ChangesReply {
        held_ms: held.0,
        age_ms: state.source_selector.contact_age(cx.now()).map(|age| age.0),
        config: config.map(|c| (c.row.0, c.compressed().to_vec())),
        suspects: state.suspects.pending_update(cx.now()),
        position: known_up_to.0,
        snapshot_version: snapshot_version.map(|version| version.0),
        hosts: rows.into_iter().map(HostUpdateWire::from).collect(),
        maps: maps
            .map(|m| (m.service.as_str().to_owned(), m.version.0, m.bytes().to_vec()))
            .collect(),
    }
}
