//! What the tests ask a world.

use model::{HostAddr, Millis, Partition};
use ownership::CellRow;

use super::{START, State, StoreState, World, addr};

/// Queries.
impl World {
    pub fn serving(&self, partition: Partition) -> Vec<usize> {
        let serves = |i: &usize| {
            let host = &self.hosts[*i];
            host.state != State::Down && host.node.serves(partition, self.local_time(*i)).is_some()
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
            self.hosts[*i].state == State::Running && self.hosts[*i].node.is_coordinator()
        };
        (0..self.hosts.len()).filter(coordinates).collect()
    }

    pub(super) fn local_time(&self, index: usize) -> Millis {
        let host = &self.hosts[index];
        self.now + host.offset + Millis(self.now.since(START).0 * host.rate / 1_000)
    }

    pub(super) fn reaches(&self, a: usize, b: usize) -> bool {
        let is_broken = self.broken_links.contains(&(a.min(b), a.max(b)));
        self.hosts[a].group == self.hosts[b].group && !is_broken
    }

    /// Only the first group reaches the store.
    pub(super) fn store_answers(&self, index: usize) -> bool {
        self.store != StoreState::Down && self.hosts[index].group == 0
    }

    pub fn logged(&self, kind: &str) -> usize {
        let prefix = format!("{kind}: ");
        self.log.0.iter().filter(|(_, _, text)| text.starts_with(&prefix)).count()
    }
}
