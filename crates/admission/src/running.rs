//! The jobs that the backend server runs now.

use model::{Millis, Priority};

/// A job that was sent to the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) id: u64,
    pub(crate) priority: Priority,
    pub(crate) kind: Kind,
    pub(crate) length: Length,
    pub(crate) started_at: Millis,
}

/// What tells which earlier jobs a job is like.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) rule: Option<u32>,
    pub(crate) key: Option<u64>,
}

/// Whether a job is expected to hold its slot for much longer than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Length {
    Short,
    Long,
    /// The rule is new and the class can wait until it is known.
    Unknown,
}

/// The running jobs, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Running {
    runs: Vec<Run>,
}

/// Commands.
impl Running {
    pub(crate) fn add(&mut self, run: Run) {
        let at = self.runs.partition_point(|r| r.id < run.id);
        self.runs.insert(at, run);
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<Run> {
        let at = self.runs.binary_search_by_key(&id, |r| r.id).ok()?;
        Some(self.runs.remove(at))
    }
}

/// Queries.
impl Running {
    pub(crate) fn count(&self) -> u32 {
        count(self.runs.iter())
    }

    /// Returns how many jobs are below the interactive class.
    pub(crate) fn lower(&self) -> u32 {
        count(self.runs.iter().filter(|r| r.priority > Priority::Interactive))
    }

    /// Returns how many jobs were started to learn about their rule.
    pub(crate) fn unknown(&self) -> u32 {
        count(self.runs.iter().filter(|r| r.length == Length::Unknown))
    }

    /// Returns how many jobs are long, by prediction or because they have run past `bound`.
    pub(crate) fn long(&self, bound: Millis, now: Millis) -> u32 {
        let is_long = |r: &&Run| r.length == Length::Long || now.since(r.started_at) > bound;
        count(self.runs.iter().filter(is_long))
    }

    /// Returns whether a job of this key has run past `bound`.
    pub(crate) fn is_slow(&self, key: u64, bound: Millis, now: Millis) -> bool {
        let mut alike = self.runs.iter().filter(|r| r.kind.key == Some(key));
        alike.any(|r| now.since(r.started_at) > bound)
    }
}

fn count<'a>(runs: impl Iterator<Item = &'a Run>) -> u32 {
    u32::try_from(runs.count()).unwrap_or(u32::MAX)
}
