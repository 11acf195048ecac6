//! A log of recent ownership decisions, for the `explain` command.

use std::cell::RefCell;
use std::collections::VecDeque;

use model::{Millis, Partition};
use ownership::Decision;
use serde::Serialize;

/// The maximum number of decisions in the log.
const MAX_DECISIONS: usize = 2_000;

/// A decision with the time at which it was recorded.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedDecision {
    /// The time on this host's boot clock.
    pub at: Millis,
    /// The partition that the decision concerns.
    pub partition: Option<Partition>,
    /// The kind of decision.
    pub kind: &'static str,
    /// The reason for the decision.
    pub reason: String,
}

/// A bounded in-memory log of decisions, newest last.
#[derive(Default)]
pub struct DecisionLog {
    entries: RefCell<VecDeque<RecordedDecision>>,
}

impl DecisionLog {
    /// Writes a decision to the process log, counts it and adds it to this log.
    pub fn record(&self, decision: Decision, now: Millis) {
        let Decision { partition, kind, reason } = decision;
        match partition {
            Some(partition) => log::info!("ownership: {kind}, partition {partition}: {reason}"),
            None => log::info!("ownership: {kind}: {reason}"),
        }
        metrics::counter!("papayarill_decisions_total", "kind" => kind).increment(1);
        let mut entries = self.entries.borrow_mut();
        if entries.len() == MAX_DECISIONS {
            entries.pop_front();
        }
        entries.push_back(RecordedDecision { at: now, partition, kind, reason });
    }

    /// Returns the newest decisions about `partition`, oldest first, at most `limit`.
    pub fn for_partition(&self, partition: Partition, limit: usize) -> Vec<RecordedDecision> {
        let entries = self.entries.borrow();
        let newest = entries.iter().rev().filter(|d| d.partition == Some(partition)).take(limit);
        let mut found: Vec<RecordedDecision> = newest.cloned().collect();
        found.reverse();
        found
    }
}
