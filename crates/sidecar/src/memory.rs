//! The holders of the bytes of responses: connections of callers and of other hosts. The decisions
//! are made by [`MemoryBudget`] and [`ConnectionLimit`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http1::ResponseRoom;
use http1::server::HeldBytes;
use log::warn;
use mesh::{ConnectionLimit, HolderId, MemoryBudget};
use model::{Clock, Millis};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a response is not read for lack of room. A backend server aborts a response that stays
/// unread for some seconds.
const ROOM_WAIT: Duration = Duration::from_millis(2_500);

/// How often holders are checked for progress during that time.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The part of the state that is released together with bytes, which are `Send`.
struct Shared {
    budget: Mutex<MemoryBudget>,
    freed: Notify,
}

impl Shared {
    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        // All accesses are short and on one thread.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory that the process holds of responses.
pub struct ResponseMemory {
    shared: Arc<Shared>,
    limit: RefCell<ConnectionLimit>,
    /// How to close the connections of callers, sorted by holder.
    close: RefCell<Vec<(HolderId, Rc<Notify>)>>,
    clock: Clock,
}

impl ResponseMemory {
    /// Creates an unused memory.
    pub fn new(max_bytes: u64, max_connections: usize, clock: Clock) -> Rc<Self> {
        let budget = Mutex::new(MemoryBudget::new(max_bytes));
        Rc::new(Self {
            shared: Arc::new(Shared { budget, freed: Notify::new() }),
            limit: RefCell::new(ConnectionLimit::new(max_connections)),
            close: RefCell::default(),
            clock,
        })
    }

    /// Adds a connection of a caller, for which the one that has been idle longest may be closed.
    /// Returns `None` if none is idle.
    pub fn add_caller(self: &Rc<Self>) -> Option<CallerConnection> {
        let now = self.clock.now();
        if !self.limit.borrow().has_room() {
            let longest_idle = self.limit.borrow().longest_idle();
            let idle_ms = longest_idle.map(|(_, since)| now.since(since).0);
            warn!("event=connection-closed why=too-many-connections idle_ms={idle_ms:?}");
            metrics::counter!("papayarill_closed_connections", "why" => "descriptors").increment(1);
            self.close(longest_idle?.0);
        }
        let id = self.shared.budget().add_holder(true, now);
        let closed = Rc::new(Notify::new());
        self.close.borrow_mut().push((id, closed.clone()));
        self.limit.borrow_mut().add(id, now);
        let memory = self.clone();
        Some(CallerConnection { memory, id, closed, held: Cell::default() })
    }

    /// Adds a connection of another host, which is not closed: its bytes are freed when that host
    /// has read them or has given up.
    pub fn add_host(self: &Rc<Self>) -> HostHolder {
        let id = self.shared.budget().add_holder(false, self.clock.now());
        HostHolder { memory: self.clone(), id }
    }

    /// Returns whether a request may start, after closing a holder if memory is short.
    pub fn admits_request(&self) -> bool {
        self.close_stalled(0);
        let nearly_full = self.shared.budget().is_nearly_full();
        if nearly_full {
            metrics::counter!("papayarill_refused_requests", "why" => "memory").increment(1);
        }
        !nearly_full
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> u64 {
        self.shared.budget().used()
    }

    /// Creates an empty reservation for a response that goes to `holder`.
    pub fn reservation(self: &Rc<Self>, holder: HolderId) -> ResponseReservation {
        let held = Held { shared: self.shared.clone(), holder, bytes: 0 };
        ResponseReservation { memory: self.clone(), held }
    }

    /// Counts bytes that are in memory already until all parts of the result are dropped.
    pub fn hold(&self, holder: HolderId, bytes: Bytes) -> Bytes {
        let length = bytes.len() as u64;
        self.shared.budget().grow(holder, length, self.clock.now());
        Held { shared: self.shared.clone(), holder, bytes: length }.attach(bytes)
    }

    /// Closes the connection that the budget names if there is no room for `bytes`.
    fn close_stalled(&self, bytes: u64) {
        let stalled = self.shared.budget().holder_to_close(bytes, self.clock.now());
        let Some(stalled) = stalled else { return };
        warn!(
            "event=connection-closed why=memory held_bytes={} stalled_ms={} used_bytes={}",
            stalled.bytes,
            stalled.stalled_for,
            self.used()
        );
        metrics::counter!("papayarill_closed_connections", "why" => "memory").increment(1);
        self.close(stalled.id);
    }

    fn close(&self, id: HolderId) {
        // It must not be named again before its task has ended.
        self.shared.budget().remove_holder(id);
        self.limit.borrow_mut().remove(id);
        let mut all = self.close.borrow_mut();
        if let Ok(at) = all.binary_search_by_key(&id, |(id, _)| *id) {
            all.remove(at).1.notify_one();
        }
    }
}

/// A connection of a caller.
pub struct CallerConnection {
    memory: Rc<ResponseMemory>,
    id: HolderId,
    closed: Rc<Notify>,
    held: Cell<HeldBytes>,
}

impl CallerConnection {
    /// Returns the id of the holder.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Completes when the connection is to be closed.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let closed = self.closed.clone();
        async move { closed.notified().await }
    }

    /// Records what the connection holds. Responses are counted by their reservations; written bytes
    /// are progress.
    pub fn record_held(&self, held: HeldBytes) {
        let before = self.held.replace(held);
        let now = self.memory.clock.now();
        let mut budget = self.memory.shared.budget();
        budget.progress(self.id, before.unwritten.saturating_sub(held.unwritten) as u64, now);
        budget.grow(self.id, held.unread.saturating_sub(before.unread) as u64, now);
        budget.release(self.id, before.unread.saturating_sub(held.unread) as u64);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.memory.close(self.id);
    }
}

/// Counts a request of a connection until its response is written.
pub struct RequestGuard {
    memory: Rc<ResponseMemory>,
    id: HolderId,
}

impl RequestGuard {
    /// Counts a request.
    pub fn new(memory: &Rc<ResponseMemory>, id: HolderId) -> Self {
        memory.limit.borrow_mut().request_started(id);
        Self { memory: memory.clone(), id }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.memory.limit.borrow_mut().request_ended(self.id, self.memory.clock.now());
    }
}

/// A connection of another host.
pub struct HostHolder {
    memory: Rc<ResponseMemory>,
    id: HolderId,
}

impl HostHolder {
    /// Returns the id of the holder.
    pub fn id(&self) -> HolderId {
        self.id
    }
}

impl Drop for HostHolder {
    fn drop(&mut self) {
        self.memory.shared.budget().remove_holder(self.id);
    }
}

/// Bytes that count until this is dropped.
struct Held {
    shared: Arc<Shared>,
    holder: HolderId,
    bytes: u64,
}

impl Held {
    fn try_grow(&mut self, bytes: u64, now: Millis) -> bool {
        let reserved = self.shared.budget().reserve(self.holder, bytes, now);
        if reserved {
            self.bytes += bytes;
        }
        reserved
    }

    fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldResponse { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shared.budget().release(self.holder, self.bytes);
        self.shared.freed.notify_waiters();
    }
}

/// A response whose bytes count until it is dropped.
struct HeldResponse {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for HeldResponse {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The room that is reserved for a response while it is read.
pub struct ResponseReservation {
    memory: Rc<ResponseMemory>,
    held: Held,
}

impl ResponseReservation {
    /// Returns the response that was read. Its bytes count until all parts of it are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        self.held.attach(bytes)
    }
}

impl ResponseRoom for ResponseReservation {
    async fn reserve(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let deadline = Instant::now() + ROOM_WAIT;
        loop {
            let shared = self.held.shared.clone();
            let freed = shared.freed.notified();
            if self.held.try_grow(bytes, self.memory.clock.now()) {
                return true;
            }
            if !shared.budget().fits(bytes) || Instant::now() >= deadline {
                return false;
            }
            self.memory.close_stalled(bytes);
            // A timeout and a notification lead to the same check at the top of the loop.
            let _ = timeout_at(deadline.min(Instant::now() + CHECK_INTERVAL), freed).await;
        }
    }
}
