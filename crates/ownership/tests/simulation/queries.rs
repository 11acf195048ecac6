//! Queries of the simulation's state.

use model::{HostAddr, Millis, Partition};
use ownership::CellRow;

use super::{HostState, START, Simulation, StoreState, addr};

/// Queries.
impl Simulation {
    /// Returns the hosts that serve a partition.
    pub fn serving(&self, partition: Partition) -> Vec<usize> {
        let serves = |i: &usize| {
            let host = &self.hosts[*i];
            host.state != HostState::Down
                && host.node.serves(partition, self.local_time(*i)).is_some()
        };
        (0..self.hosts.len()).filter(serves).collect()
    }

    pub fn all_served(&self) -> bool {
        (0..self.partitions).all(|p| !self.serving(Partition(p)).is_empty())
    }

    pub fn stored(&self) -> &CellRow {
        &self.row.as_ref().expect("a row").row
    }

    pub fn coordinators(&self) -> Vec<usize> {
        let coordinates = |i: &usize| {
            self.hosts[*i].state == HostState::Running && self.hosts[*i].node.is_coordinator()
        };
        (0..self.hosts.len()).filter(coordinates).collect()
    }

    pub(super) fn local_time(&self, index: usize) -> Millis {
        let host = &self.hosts[index];
        self.now + host.clock_offset + Millis(self.now.since(START).0 * host.drift_ms_per_s / 1_000)
    }

    pub(super) fn can_reach(&self, a: usize, b: usize) -> bool {
        let is_link_broken = self.broken_links.contains(&(a.min(b), a.max(b)));
        self.hosts[a].network_group == self.hosts[b].network_group && !is_link_broken
    }

    /// Returns whether a host reaches the table service, which only the first network group does.
    pub(super) fn can_reach_store(&self, index: usize) -> bool {
        self.store != StoreState::Down && self.hosts[index].network_group == 0
    }

    /// Returns how many decisions of a kind were recorded.
    pub fn decision_count(&self, kind: &str) -> usize {
        let prefix = format!("{kind}: ");
        self.log.0.iter().filter(|(_, _, text)| text.starts_with(&prefix)).count()
    }
}
