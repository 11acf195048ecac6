//! The waiting jobs, in one FIFO queue per priority class and length.

use std::collections::VecDeque;

use model::{Millis, Priority};

use crate::running::{JobKind, Length};

const PRIORITIES: [Priority; 3] = [Priority::Interactive, Priority::Deferrable, Priority::Internal];

const LENGTHS: [Length; 3] = [Length::Short, Length::Long, Length::Unknown];

/// A job that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) id: u64,
    pub(crate) kind: JobKind,
    pub(crate) deadline: Millis,
    /// The expected time in a slot.
    pub(crate) expected: Millis,
    /// The arrival number within the whole queue.
    pub(crate) sequence: u64,
}

/// The waiters of one priority class and length, in order of arrival.
#[derive(Debug)]
struct SubQueue {
    priority: Priority,
    length: Length,
    waiters: VecDeque<Waiter>,
    /// The sum of the waiters' expected times.
    work: Millis,
}

impl SubQueue {
    fn new(priority: Priority, length: Length) -> Self {
        Self { priority, length, waiters: VecDeque::new(), work: Millis::ZERO }
    }

    fn first(&self) -> Option<&Waiter> {
        self.waiters.front()
    }

    fn insert(&mut self, waiter: Waiter) {
        self.work += waiter.expected;
        let at = self.waiters.partition_point(|w| w.sequence < waiter.sequence);
        self.waiters.insert(at, waiter);
    }

    fn pop(&mut self) -> Option<Waiter> {
        let waiter = self.waiters.pop_front()?;
        self.work = self.work - waiter.expected;
        Some(waiter)
    }

    fn retain(&mut self, keep: impl Fn(&Waiter) -> bool, dropped: &mut Vec<u64>) {
        let work = &mut self.work;
        self.waiters.retain(|w| {
            let kept = keep(w);
            if !kept {
                *work = *work - w.expected;
                dropped.push(w.id);
            }
            kept
        });
    }
}

/// All waiting jobs, highest priority class first.
#[derive(Debug)]
pub(crate) struct Waiting {
    sub_queues: Vec<SubQueue>,
}

/// Commands.
impl Waiting {
    pub(crate) fn new() -> Self {
        let sub_queues = |p| LENGTHS.map(|l| SubQueue::new(p, l));
        Self { sub_queues: PRIORITIES.into_iter().flat_map(sub_queues).collect() }
    }

    /// Adds a waiter at the position that its sequence number gives it.
    pub(crate) fn insert(&mut self, priority: Priority, length: Length, waiter: Waiter) {
        if let Some(sub_queue) = self.sub_queue_mut(priority, length) {
            sub_queue.insert(waiter);
        }
    }

    /// Removes and returns the oldest waiter of a sub-queue.
    pub(crate) fn pop(&mut self, priority: Priority, length: Length) -> Option<Waiter> {
        self.sub_queue_mut(priority, length)?.pop()
    }

    fn sub_queue_mut(&mut self, priority: Priority, length: Length) -> Option<&mut SubQueue> {
        self.sub_queues.iter_mut().find(|q| q.priority == priority && q.length == length)
    }

    /// Removes the waiters for which `keep` returns false and returns their ids.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Waiter) -> bool) -> Vec<u64> {
        let mut dropped = Vec::new();
        for sub_queue in &mut self.sub_queues {
            sub_queue.retain(&keep, &mut dropped);
        }
        dropped
    }
}

/// Queries.
impl Waiting {
    pub(crate) fn count(&self) -> usize {
        self.sub_queues.iter().map(|q| q.waiters.len()).sum()
    }

    /// Returns the sub-queue of the next job to start: highest priority class first, and within a
    /// class the oldest job whose length `may_start` allows.
    pub(crate) fn next(
        &self,
        may_start: impl Fn(Priority, Length) -> bool,
    ) -> Option<(Priority, Length)> {
        let startable = self.sub_queues.iter().filter(|q| may_start(q.priority, q.length));
        let first = startable.filter_map(|q| Some((q.priority, q.first()?.sequence, q.length)));
        first.min_by_key(|f| (f.0, f.1)).map(|f| (f.0, f.2))
    }

    /// Returns whether jobs of this length wait in this priority class or a higher one.
    pub(crate) fn has_ahead(&self, priority: Priority, length: Length) -> bool {
        self.ahead(priority, length).any(|q| q.first().is_some())
    }

    /// Returns the total expected time of the waiting jobs that would start before a new one.
    pub(crate) fn work_ahead(&self, priority: Priority, length: Length) -> Millis {
        self.ahead(priority, length).fold(Millis::ZERO, |sum, q| sum + q.work)
    }

    fn ahead(&self, priority: Priority, length: Length) -> impl Iterator<Item = &SubQueue> {
        self.sub_queues.iter().filter(move |q| q.priority <= priority && q.length == length)
    }
}
