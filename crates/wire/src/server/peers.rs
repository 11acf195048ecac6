//! The connections of a server, and which of them has been idle the longest.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// The connections that are not being closed.
#[derive(Default)]
pub(super) struct Peers {
    list: Vec<Rc<Peer>>,
    counter: Rc<Cell<u64>>,
}

/// One connection.
pub(super) struct Peer {
    streams: Cell<usize>,
    /// The value of the server's counter when a stream last started or ended.
    used_at: Cell<u64>,
    counter: Rc<Cell<u64>>,
    evicted: Notify,
}

/// A stream that runs.
pub(super) struct Running(Rc<Peer>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
        self.0.touch();
    }
}

impl Peers {
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Adds a new connection.
    pub(super) fn add(&mut self) -> Rc<Peer> {
        let peer = Rc::new(Peer {
            streams: Cell::new(0),
            used_at: Cell::new(0),
            counter: self.counter.clone(),
            evicted: Notify::new(),
        });
        peer.touch();
        self.list.push(peer.clone());
        peer
    }

    /// Removes a connection that has ended.
    pub(super) fn remove(&mut self, peer: &Rc<Peer>) {
        self.list.retain(|other| !Rc::ptr_eq(other, peer));
    }

    /// Closes the connection without streams that was used least recently, if there is one.
    pub(super) fn evict_idle(&mut self) -> bool {
        let idle = self.list.iter().enumerate().filter(|(_, peer)| peer.streams.get() == 0);
        let oldest = idle.min_by_key(|(_, peer)| peer.used_at.get()).map(|(index, _)| index);
        let Some(index) = oldest else { return false };
        self.list.swap_remove(index).evicted.notify_one();
        true
    }
}

impl Peer {
    /// Counts a stream until the returned value is dropped.
    pub(super) fn start_stream(self: &Rc<Self>) -> Running {
        self.streams.set(self.streams.get() + 1);
        self.touch();
        Running(self.clone())
    }

    /// Waits until the connection has to make room.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    fn touch(&self) {
        self.counter.set(self.counter.get() + 1);
        self.used_at.set(self.counter.get());
    }
}
