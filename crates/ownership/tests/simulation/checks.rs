//! The invariants that are checked after every event.

use model::{Fence, Partition};
use ownership::CellRow;

use super::Simulation;

impl Simulation {
    /// Checks that at most one host serves each partition. A paused host counts, because requests
    /// that it started keep running.
    pub(super) fn check_single_owner(&mut self) {
        for p in 0..self.partitions {
            let serving = self.serving(Partition(p));
            if serving.len() > 1 {
                self.fail(format!("partition {p} is served by hosts {serving:?}"));
            }
        }
    }

    /// Checks that the fence of a partition only grows, and that the row covers it.
    pub(super) fn check_served_fence(&mut self, partition: Partition, fence: Fence) {
        let highest = self.highest_served[partition.0 as usize];
        if fence <= highest {
            self.fail(format!("the fence of partition {partition} goes from {highest} to {fence}"));
        }
        self.highest_served[partition.0 as usize] = fence;
        let stored = self.row.as_ref().and_then(|r| r.row.assignment(partition));
        if stored.is_none_or(|a| a.fence.takeover() < fence) {
            self.fail(format!("partition {partition} at fence {fence} is not in the row"));
        }
    }

    /// Checks that a write of the row keeps or supersedes every acknowledged assignment.
    pub(super) fn check_write(&mut self, next: &CellRow) {
        let Some(stored) = self.row.clone() else {
            return;
        };
        for previous in &stored.row.assignments {
            let new = next.assignment(previous.partition);
            let keeps = new == Some(previous) || new.is_some_and(|n| n.fence > previous.fence);
            if !keeps {
                self.fail(format!("an acknowledged assignment is lost: {previous:?}"));
            }
        }
        if next.epoch < stored.row.epoch {
            self.fail("the epoch decreases".to_owned());
        }
    }

    pub(super) fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
