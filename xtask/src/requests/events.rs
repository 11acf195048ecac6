//! A queue of events in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events that are still to come; events of one time come in the order of their insertion.
pub struct Events<T, E> {
    heap: BinaryHeap<Reverse<(T, u64, E)>>,
    inserted: u64,
}

impl<T: Ord, E: Ord> Events<T, E> {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self { heap: BinaryHeap::new(), inserted: 0 }
    }

    /// Adds an event.
    pub fn push(&mut self, at: T, event: E) {
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, event)));
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(T, E)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
