//! How the partitions of a service are distributed over its cells.

use model::{CellId, Partition};

use crate::Service;

/// The maximum number of backend servers in one cell.
pub const MAX_HOSTS_PER_CELL: u32 = 32;

/// Queries about the cells of a service.
impl Service {
    /// Returns the number of cells, which is at least 1.
    pub fn cell_count(&self) -> u32 {
        let wanted = self.backend_servers.div_ceil(MAX_HOSTS_PER_CELL);
        // A cell without partitions would own nothing.
        wanted.clamp(1, self.partitions.max(1))
    }

    /// Returns the cell that `partition` belongs to.
    pub fn cell_of(&self, partition: Partition) -> CellId {
        let cells = u64::from(self.cell_count());
        let partitions = u64::from(self.partitions.max(1));
        // The last cell whose first partition is not greater than `partition`.
        let index = ((u64::from(partition.0) + 1) * cells - 1) / partitions;
        let index = u32::try_from(index.min(cells - 1)).unwrap_or(0);
        CellId { service: self.name.clone(), index }
    }

    /// Returns the half-open range of partitions of the cell with this index.
    pub fn cell_partitions(&self, index: u32) -> (Partition, Partition) {
        (self.first_partition(index), self.first_partition(index.saturating_add(1)))
    }

    /// Returns `index * partitions / cells`, so that the sizes of two cells differ by at most one.
    fn first_partition(&self, index: u32) -> Partition {
        let index = index.min(self.cell_count());
        let first = u64::from(index) * u64::from(self.partitions) / u64::from(self.cell_count());
        Partition(u32::try_from(first).unwrap_or(u32::MAX))
    }
}
