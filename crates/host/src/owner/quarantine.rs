//! Detects requests that crash backend servers and shares them with the other members of the cell.

use admission::{QuarantineLimits, QuarantineState};
use futures_util::future::join_all;
use model::{HostAddr, Millis};
use wire::Call;

use super::report;
use crate::context::Cx;

/// Timeout for notifying another host process of a suspect or a quarantine.
const NOTIFY_TIMEOUT: Millis = Millis(300);

/// Reports the loss of the backend server immediately instead of waiting for the lease to expire,
/// and shares the requests in flight as crash suspects.
///
/// Returns when the other members know the suspects. The callers of the requests in flight must
/// not get a response before that, because they may retry the same requests immediately.
pub async fn handle_backend_loss(cx: &Cx) {
    log::warn!("backend: The backend server is down.");
    metrics::counter!("papayarill_backend_losses_total").increment(1);
    let suspects: Vec<u64> = cx.owner.in_flight.borrow().iter().map(|i| i.digest).collect();
    cx.feed(ownership::Event::Reported(report(cx)));
    report_crash(cx, &suspects).await;
}

async fn report_crash(cx: &Cx, in_flight: &[u64]) {
    let report = cx.owner.quarantine.borrow_mut().record_crash(in_flight, cx.now());
    let service = &cx.settings.cell.service;
    if !report.suspects.is_empty() {
        log::warn!("quarantine: {} requests are crash suspects.", report.suspects.len());
        let digests = report.suspects;
        notify_cell(cx, &Call::Suspects { service: service.clone(), digests }).await;
    }
    for digest in report.quarantined {
        log::warn!("quarantine: Request {digest:x} crashed backend servers twice.");
        metrics::counter!("papayarill_quarantines_total").increment(1);
        let time_left = QuarantineLimits::default().quarantine_ttl;
        notify_cell(cx, &Call::Quarantine { service: service.clone(), digest, time_left }).await;
    }
}

/// Sends a quarantine call to all other members of the cell.
async fn notify_cell(cx: &Cx, call: &Call) {
    let members = cx.node.borrow().routes().members.clone();
    let others = members.into_iter().filter(|(addr, _)| *addr != cx.addr);
    join_all(others.map(|(addr, _)| notify_member(cx, addr, call.clone()))).await;
}

async fn notify_member(cx: &Cx, addr: HostAddr, call: Call) {
    if let Err(error) = cx.client.call(addr, call, NOTIFY_TIMEOUT).await {
        log::warn!("quarantine: Cannot notify {addr}: {error}.");
    }
}

/// Adds the requests that were in flight when another member's backend server crashed.
pub fn add_suspects(cx: &Cx, digests: &[u64]) {
    cx.owner.quarantine.borrow_mut().add_suspects(digests, cx.now());
}

/// Applies another member's quarantine of a request; a `time_left` of zero clears the request.
pub fn apply_peer_quarantine(cx: &Cx, digest: u64, time_left: Millis) {
    log::warn!("quarantine: A peer reported request {digest:x}, {time_left} ms left.");
    cx.owner.quarantine.borrow_mut().apply_peer_update(digest, time_left, cx.now());
}

/// Records that a request ran to its end, and clears it on all members if it was a suspect.
pub(super) fn record_completion(cx: &Cx, digest: u64) {
    if cx.owner.quarantine.borrow_mut().record_completion(digest) {
        notify_cleared(cx, digest);
    }
}

fn notify_cleared(cx: &Cx, digest: u64) {
    let service = cx.settings.cell.service.clone();
    let cx = cx.clone();
    actix_rt::spawn(async move {
        notify_cell(&cx, &Call::Quarantine { service, digest, time_left: Millis::ZERO }).await;
    });
}

/// Lifts the quarantine of a request on all members of the cell.
pub fn lift_quarantine(cx: &Cx, digest: u64) {
    log::info!("quarantine: An operator lifted the quarantine of request {digest:x}.");
    cx.owner.quarantine.borrow_mut().lift(digest);
    notify_cleared(cx, digest);
}

/// Returns the digests of the quarantined requests.
pub fn quarantined(cx: &Cx) -> Vec<u64> {
    let listed = cx.owner.quarantine.borrow().list(cx.now());
    let refused = listed.into_iter().filter(|q| q.state == QuarantineState::Quarantined);
    refused.map(|q| q.digest).collect()
}
