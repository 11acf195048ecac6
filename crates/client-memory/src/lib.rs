//! The memory that the process holds for its clients, and their connections. The decisions are made
//! by [`MemoryBudget`] and [`ConnectionLimit`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http1::BodyRoom;
use http1::server::{HeldBytes, MemoryFreed};
use log::warn;
use mesh::{ConnectionLimit, HolderId, HolderKind, MemoryBudget, Purpose};
use model::{Clock, Millis};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout_at};

/// How often holders are checked for progress while memory is short.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What a connection takes besides its task, input, requests and responses, in bytes: a socket that
/// is registered for events, timers, and its entries in tables.
const CLIENT_CONNECTION_BYTES: u64 = 2 << 10;

/// The same for a connection of another host, which has buffers for HTTP/2 frames.
const HOST_CONNECTION_BYTES: u64 = 32 << 10;

/// The fraction of the descriptors that connections to an address with few clients may take, and the
/// bounds on their number. They send a request a second.
const OTHER_DESCRIPTOR_SHARE: f64 = 1.0 / 32.0;
const OTHER_CONNECTIONS: (usize, usize) = (4, 32);

/// Returns how many descriptors the process may have, if these are limited.
pub fn max_descriptors() -> Option<u64> {
    rustix::process::getrlimit(rustix::process::Resource::Nofile).current
}

/// Returns the maximum number of connections to an address other than those for callers and hosts.
pub fn max_other_connections(descriptors: Option<u64>) -> usize {
    let (min, max) = OTHER_CONNECTIONS;
    let share = descriptors.map(|n| (n as f64 * OTHER_DESCRIPTOR_SHARE) as usize);
    share.unwrap_or(max).clamp(min, max)
}

/// All copies of a usual head together are shorter.
const LONG_REQUEST_BYTES: u64 = 16 << 10;

/// A buffer of this size or more takes pages of its own, which return to the system with it.
const LARGE_BUFFER_BYTES: u64 = 1 << 20;

/// Returns what `bytes` count: smaller buffers leave holes between each other that the allocator
/// can't always use.
fn with_overhead(bytes: u64) -> u64 {
    if bytes >= LARGE_BUFFER_BYTES { bytes } else { bytes + bytes / 2 }
}

/// The part of the state that is released together with bytes, which are `Send`.
struct Shared {
    budget: Mutex<MemoryBudget>,
    /// The part of the used bytes that responses take, for the metrics.
    response_bytes: AtomicU64,
    /// Wakes all that wait for room.
    freed: Notify,
    /// Wakes one connection that waits for room for input.
    input_freed: Notify,
}

impl Shared {
    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        // All accesses are short and on one thread.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_freed(&self) {
        self.freed.notify_waiters();
        self.input_freed.notify_one();
    }
}

/// How to close a connection.
struct CloseHandle {
    id: HolderId,
    closed: Rc<Notify>,
    limit: Rc<RefCell<ConnectionLimit>>,
}

/// The account of the memory that the process holds for its clients.
pub struct MemoryAccount {
    shared: Arc<Shared>,
    close: RefCell<Vec<CloseHandle>>, // Sorted by holder.
    short: Notify,
    clock: Clock,
}

impl MemoryAccount {
    /// Creates an unused account.
    pub fn new(max_bytes: u64, clock: Clock) -> Rc<Self> {
        let budget = Mutex::new(MemoryBudget::new(max_bytes));
        let (freed, input_freed) = (Notify::new(), Notify::new());
        Rc::new(Self {
            shared: Arc::new(Shared {
                budget,
                response_bytes: AtomicU64::new(0),
                freed,
                input_freed,
            }),
            close: RefCell::default(),
            short: Notify::new(),
            clock,
        })
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> u64 {
        self.shared.budget().used()
    }

    /// Returns the part of them that responses take.
    pub fn response_bytes(&self) -> u64 {
        self.shared.response_bytes.load(Ordering::Relaxed)
    }

    /// Reserves memory for a request, after closing holders if there is too little. Returns `None` if
    /// the request must not start. A long one needs the room of a body, so that such requests leave
    /// some for ordinary ones.
    pub fn admit_request(self: &Rc<Self>, bytes: u64) -> Option<Charge> {
        let is_long = bytes >= LONG_REQUEST_BYTES;
        self.admit(if is_long { Purpose::Body } else { Purpose::Request }, bytes)
    }

    /// Reserves memory for what may arrive of a reply before there is room for the rest. Returns
    /// `None` if its request must not be sent.
    pub fn admit_reply(self: &Rc<Self>, bytes: u64) -> Option<Charge> {
        self.admit(Purpose::Request, bytes)
    }

    fn admit(self: &Rc<Self>, purpose: Purpose, bytes: u64) -> Option<Charge> {
        let bytes = with_overhead(bytes);
        let mut charge = self.charge(purpose);
        let admitted = self.make_room(purpose, bytes) && charge.try_grow(bytes, self.clock.now());
        if !admitted {
            metrics::counter!("papayarill_refused_requests", "why" => "memory").increment(1);
        }
        admitted.then_some(charge)
    }

    /// Creates an empty reservation for the response to a request of `holder`. There may be a wait for
    /// room as long as `max_wait`.
    pub fn response(self: &Rc<Self>, holder: HolderId, max_wait: Duration) -> Reservation {
        let charge = self.charge(Purpose::Response);
        Reservation { memory: self.clone(), charge, holder, max_wait }
    }

    /// Creates an empty reservation for bytes that the client of `holder` is to send.
    pub fn request(
        self: &Rc<Self>,
        holder: HolderId,
        purpose: Purpose,
        max_wait: Duration,
    ) -> Reservation {
        let mut charge = self.charge(purpose);
        charge.holder = Some(holder);
        Reservation { memory: self.clone(), charge, holder, max_wait }
    }

    /// Counts bytes that are in memory already until the client of `holder` has taken them.
    pub fn hold(&self, holder: HolderId, bytes: Bytes) -> Bytes {
        let mut charge = self.charge(Purpose::Response);
        charge.grow_anyway(with_overhead(bytes.len() as u64));
        charge.assign(holder, self.clock.now());
        charge.attach(bytes)
    }

    /// Counts buffers of `bytes` until the charge is dropped, which are full while the client of
    /// `holder` doesn't read.
    pub fn hold_buffers(&self, holder: HolderId, bytes: u64) -> Charge {
        let mut charge = self.charge(Purpose::Response);
        charge.grow_anyway(with_overhead(bytes));
        charge.assign(holder, self.clock.now());
        charge
    }

    /// Closes holders without progress while memory is short, until the process ends.
    pub async fn close_stalled_holders(self: Rc<Self>) {
        loop {
            self.short.notified().await;
            while !self.make_room(Purpose::Request, 0) {
                sleep(CHECK_INTERVAL).await;
                self.shared.input_freed.notify_one();
            }
            // A connection that was woken and reads nothing wakes no other one.
            self.shared.input_freed.notify_waiters();
        }
    }

    /// Runs the task that serves a connection, and counts what the task takes.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut charge = self.charge(Purpose::Control);
        charge.grow_anyway(with_overhead(size_of_val(&task) as u64));
        actix_rt::spawn(async move {
            task.await;
            drop(charge);
        });
    }

    fn charge(&self, purpose: Purpose) -> Charge {
        Charge { shared: self.shared.clone(), purpose, holder: None, bytes: 0 }
    }

    /// Closes holders if there is no room for `bytes`. Returns whether there is room already.
    fn make_room(&self, purpose: Purpose, bytes: u64) -> bool {
        let now = self.clock.now();
        let to_close = self.shared.budget().holders_to_close(purpose, bytes, now);
        for stalled in to_close {
            warn!(
                "event=connection-closed why=memory held_bytes={} stalled_ms={} used_bytes={}",
                stalled.bytes,
                stalled.stalled_for,
                self.used()
            );
            metrics::counter!("papayarill_closed_connections", "why" => "memory").increment(1);
            self.close(stalled.id);
        }
        let budget = self.shared.budget();
        let has_room = budget.has_room(purpose, bytes) && !budget.is_nearly_full();
        if !has_room {
            self.short.notify_one();
        }
        has_room
    }

    fn close(&self, id: HolderId) {
        // It must not be named again before its task has ended.
        self.shared.budget().remove_holder(id);
        let mut all = self.close.borrow_mut();
        if let Ok(at) = all.binary_search_by_key(&id, |c| c.id) {
            let CloseHandle { closed, limit, .. } = all.remove(at);
            limit.borrow_mut().remove(id);
            closed.notify_one();
        }
    }
}

/// The connections to one address of the process.
pub struct ConnectionGroup {
    memory: Rc<MemoryAccount>,
    name: &'static str,
    kind: HolderKind,
    limit: Rc<RefCell<ConnectionLimit>>,
}

impl ConnectionGroup {
    /// Creates a group of at most `max_connections`.
    pub fn new(
        memory: &Rc<MemoryAccount>,
        name: &'static str,
        kind: HolderKind,
        max_connections: usize,
    ) -> Self {
        let limit = Rc::new(RefCell::new(ConnectionLimit::new(max_connections)));
        Self { memory: memory.clone(), name, kind, limit }
    }

    /// Returns the name of the address in the settings.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Adds a connection, for which the one that has been idle longest may be closed. Returns `None`
    /// if it must not be served.
    pub async fn add(&self) -> Option<Connection> {
        let memory = &self.memory;
        let now = memory.clock.now();
        let bytes = match self.kind {
            HolderKind::Client => CLIENT_CONNECTION_BYTES,
            HolderKind::Host => HOST_CONNECTION_BYTES,
        };
        let mut fixed = memory.charge(Purpose::Control);
        let has_memory = memory.make_room(Purpose::Control, bytes)
            || memory.shared.budget().has_room(Purpose::Control, bytes);
        if !has_memory || !self.limit.borrow().has_room() {
            let why = if has_memory { "too-many-connections" } else { "memory" };
            let longest_idle = self.limit.borrow().longest_idle();
            let idle_ms = longest_idle.map(|(_, since)| now.since(since).0);
            warn!("event=connection-closed why={why} listener={} idle_ms={idle_ms:?}", self.name);
            let label = if has_memory { "descriptors" } else { "memory" };
            metrics::counter!("papayarill_closed_connections", "why" => label).increment(1);
            memory.close(longest_idle?.0);
            // Its task ends first, so that a burst of connections takes no further descriptors.
            yield_now().await;
        }
        fixed.grow_anyway(bytes);
        let id = memory.shared.budget().add_holder(self.kind, now);
        let closed = Rc::new(Notify::new());
        let limit = self.limit.clone();
        limit.borrow_mut().add(id, now);
        memory.close.borrow_mut().push(CloseHandle { id, closed: closed.clone(), limit });
        let (held, charged) = (Cell::default(), Cell::default());
        let limit = self.limit.clone();
        Some(Connection { memory: memory.clone(), id, closed, limit, held, charged, _fixed: fixed })
    }
}

/// A connection of a client or of another host.
pub struct Connection {
    memory: Rc<MemoryAccount>,
    id: HolderId,
    closed: Rc<Notify>,
    limit: Rc<RefCell<ConnectionLimit>>,
    held: Cell<HeldBytes>,
    /// The bytes that count as used for it, besides the fixed ones and those of its requests.
    charged: Cell<u64>,
    _fixed: Charge,
}

impl Connection {
    /// Returns the id of the holder.
    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Completes when the connection is to be closed.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let closed = self.closed.clone();
        async move { closed.notified().await }
    }

    /// Returns a counter of the requests of the connection.
    pub fn requests(&self) -> RequestCounter {
        let clock = self.memory.clock.clone();
        RequestCounter { limit: self.limit.clone(), id: self.id, clock }
    }

    /// Returns whether memory is so short that the connection should take one request at a time.
    pub fn is_memory_short(&self) -> bool {
        self.memory.shared.budget().is_nearly_full()
    }

    /// Records what the connection holds. Bodies of responses are counted by their reservations.
    pub fn record_held(&self, held: HeldBytes) {
        let before = self.held.replace(held);
        let now = self.memory.clock.now();
        let mut budget = self.memory.shared.budget();
        let written = before.unwritten.saturating_sub(held.unwritten) as u64;
        budget.progress(self.id, with_overhead(written), now);
        let counted = |bytes: usize| with_overhead(bytes as u64);
        let (waited, waits) = (counted(before.awaiting_caller), counted(held.awaiting_caller));
        budget.assign(self.id, waits.saturating_sub(waited), now);
        budget.unassign(self.id, waited.saturating_sub(waits));
        let allocated = counted(held.allocated);
        let charged = self.charged.replace(allocated);
        budget.use_anyway(allocated.saturating_sub(charged));
        budget.free(charged.saturating_sub(allocated));
        drop(budget);
        if allocated < charged {
            self.memory.shared.notify_freed();
        }
    }

    /// Reserves memory for input until the next record.
    pub fn reserve_input(&self, bytes: usize) -> Result<(), MemoryFreed> {
        let bytes = with_overhead(bytes as u64);
        let memory = &self.memory;
        memory.make_room(Purpose::Control, bytes);
        if memory.shared.budget().try_use(Purpose::Control, bytes) {
            self.charged.set(self.charged.get() + bytes);
            // There may be room for another one that waits.
            memory.shared.input_freed.notify_one();
            return Ok(());
        }
        let shared = memory.shared.clone();
        Err(Box::pin(async move { shared.input_freed.notified().await }))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.record_held(HeldBytes::default());
        self.memory.close(self.id);
    }
}

/// Counts the requests of a connection.
#[derive(Clone)]
pub struct RequestCounter {
    limit: Rc<RefCell<ConnectionLimit>>,
    id: HolderId,
    clock: Clock,
}

impl RequestCounter {
    /// Counts a request until the guard is dropped.
    pub fn start(&self) -> RequestGuard {
        self.limit.borrow_mut().request_started(self.id);
        RequestGuard(self.clone())
    }
}

/// Counts a request of a connection until its response is written.
pub struct RequestGuard(RequestCounter);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let RequestCounter { limit, id, clock } = &self.0;
        limit.borrow_mut().request_ended(*id, clock.now());
    }
}

/// Bytes that count until this is dropped.
pub struct Charge {
    shared: Arc<Shared>,
    purpose: Purpose,
    /// The connection whose client they wait for, if they do.
    holder: Option<HolderId>,
    bytes: u64,
}

impl Charge {
    fn try_grow(&mut self, bytes: u64, now: Millis) -> bool {
        let has_room = self.shared.budget().try_use(self.purpose, bytes);
        if has_room {
            self.add(bytes);
            if let Some(holder) = self.holder {
                self.shared.budget().assign(holder, bytes, now);
            }
        }
        has_room
    }

    fn grow_anyway(&mut self, bytes: u64) {
        self.shared.budget().use_anyway(bytes);
        self.add(bytes);
    }

    fn add(&mut self, bytes: u64) {
        self.bytes += bytes;
        if self.purpose == Purpose::Response {
            self.shared.response_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// The bytes wait for the client of `holder` from now on.
    fn assign(&mut self, holder: HolderId, now: Millis) {
        self.unassign();
        self.holder = Some(holder);
        self.shared.budget().assign(holder, self.bytes, now);
    }

    /// The bytes no longer wait for a client.
    fn unassign(&mut self) {
        if let Some(holder) = self.holder.take() {
            self.shared.budget().unassign(holder, self.bytes);
        }
    }

    fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ChargedBytes { bytes, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.unassign();
        self.shared.budget().free(self.bytes);
        if self.purpose == Purpose::Response {
            self.shared.response_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        }
        self.shared.notify_freed();
    }
}

/// Bytes that count until all parts of them are dropped.
struct ChargedBytes {
    bytes: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The room that is reserved for a body while it is read.
pub struct Reservation {
    memory: Rc<MemoryAccount>,
    charge: Charge,
    holder: HolderId,
    max_wait: Duration,
}

impl Reservation {
    /// Returns the response that was read, which waits for the client from now on. Its bytes count
    /// until all parts of it are dropped.
    pub fn attach(mut self, bytes: Bytes) -> Bytes {
        self.charge.assign(self.holder, self.memory.clock.now());
        self.charge.attach(bytes)
    }

    /// Returns the charge for a body that has arrived and no longer waits for the client.
    pub fn arrived(mut self) -> Charge {
        self.charge.unassign();
        self.charge
    }
}

impl BodyRoom for Reservation {
    async fn reserve(&mut self, bytes: usize) -> bool {
        let bytes = with_overhead(bytes as u64);
        let deadline = Instant::now() + self.max_wait;
        loop {
            let shared = self.charge.shared.clone();
            let freed = shared.freed.notified();
            if self.charge.try_grow(bytes, self.memory.clock.now()) {
                return true;
            }
            if !shared.budget().fits(self.charge.purpose, bytes) || Instant::now() >= deadline {
                return false;
            }
            self.memory.make_room(self.charge.purpose, bytes);
            // A timeout and a notification lead to the same check at the top of the loop.
            let _ = timeout_at(deadline.min(Instant::now() + CHECK_INTERVAL), freed).await;
        }
    }

    fn received(&mut self, bytes: usize) {
        if let Some(holder) = self.charge.holder {
            let bytes = with_overhead(bytes as u64);
            self.charge.shared.budget().progress(holder, bytes, self.memory.clock.now());
        }
    }
}
