//! Bodies of requests: the memory that those of callers may take, and the transfer of large ones to
//! other hosts, which are asked before anything is sent.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use hyper::body::Body;
use log::info;
use mesh::{TransferDecision, TransferId};
use model::{HostAddr, Millis};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};

use crate::backend::check_runnable;
use crate::rpc;
use crate::state::Cx;
use crate::wire::{AnnounceReply, AnnounceRequest, Forward, ForwardReply, NotRun, Outcome};

/// A body of this size or more is announced before it is sent to another host.
pub const LARGE_BODY_BYTES: usize = 16 << 10;

/// How long a caller is held back while other bodies take the memory.
const MEMORY_WAIT: Duration = Duration::from_millis(200);

/// The memory that the bodies of callers take, which all together may not exceed a limit.
pub struct BodyMemory {
    limit: u64,
    used: Cell<u64>,
    freed: Notify,
}

impl BodyMemory {
    /// Creates an unused memory of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: Cell::new(0), freed: Notify::new() }
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let used = self.used.get().saturating_add(bytes);
        if used <= self.limit {
            self.used.set(used);
        }
        used <= self.limit
    }
}

/// A part of the memory, which is freed on drop.
pub struct MemoryGuard {
    cx: Rc<Cx>,
    bytes: u64,
}

impl MemoryGuard {
    /// Reserves more memory, after a wait if there is none.
    async fn reserve<E>(&mut self, bytes: u64) -> Result<(), BodyError<E>> {
        let memory = &self.cx.body_memory;
        let deadline = Instant::now() + MEMORY_WAIT;
        loop {
            let freed = memory.freed.notified();
            if memory.try_reserve(bytes) {
                self.bytes += bytes;
                return Ok(());
            }
            if timeout_at(deadline, freed).await.is_err() {
                return Err(BodyError::NoMemory);
            }
        }
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        let memory = &self.cx.body_memory;
        memory.used.set(memory.used.get().saturating_sub(self.bytes));
        memory.freed.notify_waiters();
    }
}

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyError<E> {
    /// It exceeds the limit on a single body.
    TooLong,
    /// Other bodies take the memory.
    NoMemory,
    /// The connection broke, or a chunk is malformed.
    Cut(E),
}

/// Reads the body of a caller's request. The memory counts as used until the guard is dropped.
/// The connection discards the rest of a refused body.
pub async fn read<B: Body<Data = Bytes>>(
    cx: &Rc<Cx>,
    headers: &HeaderMap,
    body: B,
    max_bytes: usize,
) -> Result<(Bytes, MemoryGuard), BodyError<B::Error>> {
    let mut guard = MemoryGuard { cx: cx.clone(), bytes: 0 };
    let bytes = read_frames(headers, body, max_bytes, &mut guard).await?;
    Ok((bytes, guard))
}

async fn read_frames<B: Body<Data = Bytes>>(
    headers: &HeaderMap,
    body: B,
    max_bytes: usize,
    guard: &mut MemoryGuard,
) -> Result<Bytes, BodyError<B::Error>> {
    let mut body = pin!(body);
    let announced = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let announced: u64 = announced.unwrap_or(0);
    if announced > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    guard.reserve(announced).await?;
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Cut)?.into_data() else { continue };
        if read.len() + data.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        let missing = ((read.len() + data.len()) as u64).saturating_sub(guard.bytes);
        guard.reserve(missing).await?;
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
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
        match state.bodies.submit(request.bytes, target_end, latest_end, now) {
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
