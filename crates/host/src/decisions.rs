//! The last decisions of this host process, kept for `explain`, logged and counted.

use std::cell::RefCell;
use std::collections::VecDeque;

use model::{Millis, Partition};
use ownership::Decision;
use serde::Serialize;

/// How many decisions are kept.
const MAX_DECISIONS: usize = 2_000;

/// A decision with the time at which it was made.
#[derive(Clone, Debug, Serialize)]
pub struct RecordedDecision {
    /// When, on this host's boot clock.
    pub at: Millis,
    /// The partition that it is about.
    pub partition: Option<Partition>,
    /// What was decided.
    pub kind: &'static str,
    /// Why.
    pub reason: String,
}

/// A bounded log of decisions, newest last.
#[derive(Default)]
pub struct DecisionLog {
    entries: RefCell<VecDeque<RecordedDecision>>,
}

impl DecisionLog {
    /// Logs, counts and keeps one decision.
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
