//! The jobs that the backend server is running.

use model::{Millis, Priority};

/// A job that was sent to the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningJob {
    pub(crate) id: u64,
    pub(crate) priority: Priority,
    pub(crate) kind: JobKind,
    pub(crate) length: Length,
    pub(crate) started_at: Millis,
}

/// Groups jobs that are expected to take about the same time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobKind {
    pub(crate) rule: Option<u32>,
    /// The hash of rule and key; only for jobs of [`crate::Queue::submit_keyed`].
    pub(crate) key: Option<u64>,
}

/// Whether a job is expected to hold its slot for much longer than others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Length {
    Short,
    Long,
    /// The rule has too few samples, and the priority class is one that can wait for more.
    Unknown,
}

/// The running jobs, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Running {
    jobs: Vec<RunningJob>,
}

/// Commands.
impl Running {
    pub(crate) fn add(&mut self, job: RunningJob) {
        let at = self.jobs.partition_point(|j| j.id < job.id);
        self.jobs.insert(at, job);
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<RunningJob> {
        let at = self.jobs.binary_search_by_key(&id, |j| j.id).ok()?;
        Some(self.jobs.remove(at))
    }
}

/// Queries.
impl Running {
    pub(crate) fn count(&self) -> u32 {
        count(self.jobs.iter())
    }

    /// Returns how many jobs are below interactive priority.
    pub(crate) fn below_interactive(&self) -> u32 {
        count(self.jobs.iter().filter(|j| j.priority > Priority::Interactive))
    }

    /// Returns how many jobs were started with unknown length, to sample their rule.
    pub(crate) fn unknown(&self) -> u32 {
        count(self.jobs.iter().filter(|j| j.length == Length::Unknown))
    }

    /// Returns how many jobs are long, as predicted or because they have run past `threshold`.
    pub(crate) fn long(&self, threshold: Millis, now: Millis) -> u32 {
        let is_long =
            |j: &&RunningJob| j.length == Length::Long || now.since(j.started_at) > threshold;
        count(self.jobs.iter().filter(is_long))
    }

    /// Returns whether a job of this key has run past `threshold`.
    pub(crate) fn has_slow_job(&self, key: u64, threshold: Millis, now: Millis) -> bool {
        let mut same_key = self.jobs.iter().filter(|j| j.kind.key == Some(key));
        same_key.any(|j| now.since(j.started_at) > threshold)
    }
}

fn count<'a>(jobs: impl Iterator<Item = &'a RunningJob>) -> u32 {
    u32::try_from(jobs.count()).unwrap_or(u32::MAX)
}
