//! A queue of events ordered by time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The pending events; events with the same time are in insertion order.
pub struct EventQueue<T, E> {
    heap: BinaryHeap<Reverse<(T, u64, E)>>,
    last_sequence: u64,
}

impl<T: Ord, E: Ord> EventQueue<T, E> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0 }
    }

    /// Schedules an event.
    pub fn push(&mut self, at: T, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(T, E)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
