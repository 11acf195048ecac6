//! Bodies of requests: those of callers, and the transfer of large ones to other hosts, which are
//! asked before anything is sent.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http1::BodyError;
use http1::server::RequestBody;
use log::info;
use mesh::{HolderId, Purpose, TransferDecision, TransferId};
use model::{HostAddr, Millis};
use tokio::sync::oneshot;

use crate::backend::check_runnable;
use crate::rpc;
use crate::state::Cx;
use crate::wire::{AnnounceReply, AnnounceRequest, Forward, ForwardReply, NotRun, Outcome};
use client_memory::Charge;

/// A body of this size or more is announced before it is sent to another host.
pub const LARGE_BODY_BYTES: usize = 16 << 10;

/// How long a caller is held back while other bodies take the memory.
const MEMORY_WAIT: Duration = Duration::from_millis(200);

/// Reads the body of a caller's request. The memory counts as used until the charge is dropped.
/// The connection discards the rest of a refused body.
pub async fn read(
    cx: &Rc<Cx>,
    holder: HolderId,
    body: RequestBody,
    max_bytes: usize,
) -> Result<(Bytes, Charge), BodyError> {
    let mut room = cx.memory.request(holder, Purpose::Body, MEMORY_WAIT);
    let read = http1::read_body_with_room(body, max_bytes, &mut room).await?;
    Ok((read, room.arrived()))
}

/// Asks a host whether a large body may be sent to it. Nothing was sent if it may not.
pub async fn announce(
    cx: &Cx,
    host: HostAddr,
    forward: &Forward,
    bytes: usize,
) -> Result<TransferId, ForwardReply> {
    let request = AnnounceRequest {
        service: forward.service.clone(),
        key: forward.key,
        bytes: bytes as u64,
        target_ms: forward.target_ms,
        limit_ms: forward.limit_ms,
    };
    let limit = Duration::from_millis(u64::from(forward.limit_ms));
    let not_run = |why, after_ms| Outcome::NotRun { why, after_ms };
    let sent_at = cx.now();
    let reply = rpc::call(cx, host, rpc::ANNOUNCE_PATH, &request, limit).await;
    let Some(AnnounceReply { decision, report }) = reply else {
        let late = cx.now().since(sent_at) >= Millis::from(limit);
        let why = if late { NotRun::Late } else { NotRun::Unreachable };
        return Err(ForwardReply { outcome: not_run(why, 0), ..ForwardReply::default() });
    };
    decision.map(TransferId).map_err(|(why, after_ms)| {
        let outcome = not_run(why, after_ms);
        ForwardReply { outcome, report, ..ForwardReply::default() }
    })
}

/// Gives the place of a transfer to others once it is dropped.
pub struct TransferGuard<'a> {
    cx: &'a Cx,
    id: Option<TransferId>,
}

impl<'a> TransferGuard<'a> {
    /// Guards a transfer.
    pub fn new(cx: &'a Cx, id: TransferId) -> Self {
        Self { cx, id: Some(id) }
    }

    /// Returns the size of the body, or 0 if it was not admitted.
    pub fn admitted_bytes(&self) -> usize {
        let bytes = self.id.and_then(|id| self.cx.state.borrow().bodies.admitted_bytes(id));
        bytes.and_then(|b| usize::try_from(b).ok()).unwrap_or(0)
    }

    /// Records that the body arrived.
    pub fn arrived(mut self) {
        if let Some(id) = self.id.take() {
            self.cx.state.borrow_mut().bodies.arrived(id, self.cx.now());
            start_waiting(self.cx);
        }
    }

    /// Leaves the place to the sender, who was told to start.
    fn keep(mut self) -> TransferId {
        self.id.take().unwrap_or(TransferId(0))
    }
}

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            let mut state = self.cx.state.borrow_mut();
            state.bodies.cancel(id);
            state.body_waiters.retain(|(waiting, _)| *waiting != id);
            drop(state);
            start_waiting(self.cx);
        }
    }
}

/// Tells hosts to send the bodies that fit on the link, and refuses those that would be late.
pub fn start_waiting(cx: &Cx) {
    let mut state = cx.state.borrow_mut();
    let (started, late) = state.bodies.start_waiting(cx.now());
    let decided = started.into_iter().map(|id| (id, true));
    for (id, start) in decided.chain(late.into_iter().map(|id| (id, false))) {
        let Some(at) = state.body_waiters.iter().position(|(w, _)| *w == id) else { continue };
        // A host that no longer waits has closed its stream.
        let _ = state.body_waiters.swap_remove(at).1.send(start);
    }
}

/// Handles the announcement of a body by another host.
pub async fn handle_announcement(cx: &Rc<Cx>, request: AnnounceRequest) -> AnnounceReply {
    let decision = decide(cx, &request).await;
    if let Err((why, after_ms)) = decision {
        info!("event=body-refused bytes={} why={why:?} after_ms={after_ms}", request.bytes);
    }
    AnnounceReply { decision, report: cx.load_report() }
}

async fn decide(cx: &Rc<Cx>, request: &AnnounceRequest) -> Result<u64, (NotRun, u32)> {
    let refusal = |after: Millis| (NotRun::NoRoom, u32::try_from(after.0).unwrap_or(u32::MAX));
    if request.service != cx.settings.service.as_str() {
        return Err((NotRun::NotOwner, 0));
    }
    let now = cx.now();
    let waiting = {
        let mut state = cx.state.borrow_mut();
        check_runnable(&state, cx, request.key).map_err(|why| (why.for_other_hosts(), 0))?;
        let deadline = now + Millis(u64::from(request.limit_ms));
        let run = state.queue.mean_run_time();
        let latest_end = deadline.since(Millis(run.0 / 2));
        let target_end = (now + Millis(u64::from(request.target_ms))).since(run);
        let wait = state.queue.expected_wait(now);
        if now + wait > latest_end {
            return Err(refusal(wait));
        }
        // Shorter ones aren't announced, and would have no bound on their number.
        let bytes = request.bytes.max(LARGE_BODY_BYTES as u64);
        match state.bodies.submit(bytes, target_end, latest_end, now) {
            TransferDecision::Start(id) => return Ok(id.0),
            TransferDecision::Refused(after) => return Err(refusal(after)),
            TransferDecision::Wait(id) => {
                let (tx, rx) = oneshot::channel();
                state.body_waiters.push((id, tx));
                (id, rx)
            }
        }
    };
    let (id, rx) = waiting;
    let guard = TransferGuard::new(cx, id);
    match rx.await {
        Ok(true) => Ok(guard.keep().0),
        Ok(false) | Err(_) => {
            let wait = cx.state.borrow().bodies.expected_wait();
            Err(refusal(wait))
        }
    }
}
