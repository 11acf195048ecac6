//! The open connections of a server, with the time of their last use for eviction.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// The connections that are neither closed nor evicted.
#[derive(Default)]
pub(super) struct ConnectionTable {
    entries: Vec<Rc<ConnectionEntry>>,
    clock: Rc<Cell<u64>>,
}

/// One connection.
pub(super) struct ConnectionEntry {
    active_streams: Cell<usize>,
    /// Logical time at which a stream last started or ended.
    last_used: Cell<u64>,
    /// Logical clock of the server, which advances with every start and end of a stream.
    clock: Rc<Cell<u64>>,
    evicted: Notify,
}

/// Counts as an active stream of its connection until it is dropped.
pub(super) struct ActiveStream(Rc<ConnectionEntry>);

impl Drop for ActiveStream {
    fn drop(&mut self) {
        self.0.active_streams.set(self.0.active_streams.get() - 1);
        self.0.touch();
    }
}

impl ConnectionTable {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Adds a new connection.
    pub(super) fn add(&mut self) -> Rc<ConnectionEntry> {
        let entry = Rc::new(ConnectionEntry {
            active_streams: Cell::new(0),
            last_used: Cell::new(0),
            clock: self.clock.clone(),
            evicted: Notify::new(),
        });
        entry.touch();
        self.entries.push(entry.clone());
        entry
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, entry: &Rc<ConnectionEntry>) {
        self.entries.retain(|other| !Rc::ptr_eq(other, entry));
    }

    /// Evicts the least recently used connection without active streams. Returns whether there was
    /// one.
    pub(super) fn evict_idle(&mut self) -> bool {
        let idle =
            self.entries.iter().enumerate().filter(|(_, entry)| entry.active_streams.get() == 0);
        let oldest = idle.min_by_key(|(_, entry)| entry.last_used.get()).map(|(index, _)| index);
        let Some(index) = oldest else { return false };
        self.entries.swap_remove(index).evicted.notify_one();
        true
    }
}

impl ConnectionEntry {
    /// Counts a stream as active until the returned guard is dropped.
    pub(super) fn start_stream(self: &Rc<Self>) -> ActiveStream {
        self.active_streams.set(self.active_streams.get() + 1);
        self.touch();
        ActiveStream(self.clone())
    }

    /// Waits until the connection is evicted.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    fn touch(&self) {
        self.clock.set(self.clock.get() + 1);
        self.last_used.set(self.clock.get());
    }
}
