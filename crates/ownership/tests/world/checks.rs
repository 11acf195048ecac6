//! What must hold after every event.

use model::{Fence, Partition};
use ownership::CellRow;

use super::World;

impl World {
    /// At most one host may serve a partition at any time. A paused host counts: the work that
    /// it let start goes on.
    pub(super) fn check(&mut self) {
        for p in 0..self.partitions {
            let serving = self.serving(Partition(p));
            if serving.len() > 1 {
                self.fail(format!("partition {p} is served by hosts {serving:?}"));
            }
        }
    }

    /// A fence that was served or acknowledged never goes back.
    pub(super) fn note_served(&mut self, partition: Partition, fence: Fence) {
        let highest = self.served[partition.0 as usize];
        if fence <= highest {
            self.fail(format!("partition {partition} goes from fence {highest} to {fence}"));
        }
        self.served[partition.0 as usize] = fence;
        let stored = self.row.as_ref().and_then(|r| r.row.assignment(partition));
        if stored.is_none_or(|a| a.fence.takeover() < fence) {
            self.fail(format!("partition {partition} at fence {fence} is not in the row"));
        }
    }

    pub(super) fn check_write(&mut self, next: &CellRow) {
        let Some(stored) = self.row.clone() else {
            return;
        };
        for former in &stored.row.assignments {
            let new = next.assignment(former.partition);
            let keeps = new == Some(former) || new.is_some_and(|n| n.fence > former.fence);
            if !keeps {
                self.fail(format!("an acknowledged assignment is lost: {former:?}"));
            }
        }
        if next.epoch < stored.row.epoch {
            self.fail("the epoch goes back".to_owned());
        }
    }

    pub(super) fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }
}
