//! The jobs that wait, in one lane per class and length.

use std::collections::VecDeque;

use model::{Millis, Priority};

use crate::running::{Kind, Length};

const CLASSES: [Priority; 3] = [Priority::Interactive, Priority::Deferrable, Priority::Internal];

const LENGTHS: [Length; 3] = [Length::Short, Length::Long, Length::Unknown];

/// A job that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) id: u64,
    pub(crate) kind: Kind,
    pub(crate) deadline: Millis,
    /// Expected time in its slot.
    pub(crate) expected: Millis,
    /// Counts the waiters of the queue.
    pub(crate) order: u64,
}

/// The waiters of one class and length, in order of arrival.
#[derive(Debug)]
struct Lane {
    priority: Priority,
    length: Length,
    waiters: VecDeque<Waiter>,
    /// The sum of the expected times.
    work: Millis,
}

impl Lane {
    fn new(priority: Priority, length: Length) -> Self {
        Self { priority, length, waiters: VecDeque::new(), work: Millis::ZERO }
    }

    fn first(&self) -> Option<&Waiter> {
        self.waiters.front()
    }

    fn insert(&mut self, waiter: Waiter) {
        self.work += waiter.expected;
        let at = self.waiters.partition_point(|w| w.order < waiter.order);
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

/// All lanes, most urgent class first.
#[derive(Debug)]
pub(crate) struct Waiting {
    lanes: Vec<Lane>,
}

/// Commands.
impl Waiting {
    pub(crate) fn new() -> Self {
        let lanes = |p| LENGTHS.map(|l| Lane::new(p, l));
        Self { lanes: CLASSES.into_iter().flat_map(lanes).collect() }
    }

    /// Adds a waiter at the place that its order gives it.
    pub(crate) fn insert(&mut self, priority: Priority, length: Length, waiter: Waiter) {
        if let Some(lane) = self.lane_mut(priority, length) {
            lane.insert(waiter);
        }
    }

    /// Takes the oldest waiter of a lane.
    pub(crate) fn pop(&mut self, priority: Priority, length: Length) -> Option<Waiter> {
        self.lane_mut(priority, length)?.pop()
    }

    fn lane_mut(&mut self, priority: Priority, length: Length) -> Option<&mut Lane> {
        self.lanes.iter_mut().find(|l| l.priority == priority && l.length == length)
    }

    /// Drops the waiters that `keep` turns down and returns their ids.
    pub(crate) fn retain(&mut self, keep: impl Fn(&Waiter) -> bool) -> Vec<u64> {
        let mut dropped = Vec::new();
        for lane in &mut self.lanes {
            lane.retain(&keep, &mut dropped);
        }
        dropped
    }
}

/// Queries.
impl Waiting {
    pub(crate) fn count(&self) -> usize {
        self.lanes.iter().map(|l| l.waiters.len()).sum()
    }

    /// Returns the lane of the next job to start: the most urgent class first, and within a
    /// class the oldest among those that `may_start`.
    pub(crate) fn next(
        &self,
        may_start: impl Fn(Priority, Length) -> bool,
    ) -> Option<(Priority, Length)> {
        let filled = self.lanes.iter().filter(|l| may_start(l.priority, l.length));
        let first = filled.filter_map(|l| Some((l.priority, l.first()?.order, l.length)));
        first.min_by_key(|f| (f.0, f.1)).map(|f| (f.0, f.2))
    }

    /// Returns whether jobs of this length wait in this class or a more urgent one.
    pub(crate) fn has_ahead(&self, priority: Priority, length: Length) -> bool {
        self.ahead(priority, length).any(|l| l.first().is_some())
    }

    /// Returns the expected time of the jobs that would start before a new one.
    pub(crate) fn work_ahead(&self, priority: Priority, length: Length) -> Millis {
        self.ahead(priority, length).fold(Millis::ZERO, |sum, l| sum + l.work)
    }

    fn ahead(&self, priority: Priority, length: Length) -> impl Iterator<Item = &Lane> {
        self.lanes.iter().filter(move |l| l.priority <= priority && l.length == length)
    }
}
