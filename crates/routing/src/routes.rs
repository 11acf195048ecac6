//! Cache of the routes from partitions to their owners, per cell.
//!
//! A route is only a hint, because the owner checks its ownership itself. A wrong route costs a hop
//! and never causes a wrong run, so the cache only has to be cheap and to detect soon that it is
//! stale.

use model::{CellId, Fence, HostAddr, Millis, Partition, ZoneName, derive_common};
use ownership::{RouteEntry, RouteTable, RoutesVersion};

use crate::retry::RouteChange;

/// The shortest interval between two queries for one cell.
const MIN_QUERY_INTERVAL: Millis = Millis(20);

/// The longest interval between two queries for one cell, reached by backoff while queries return
/// nothing newer.
const MAX_QUERY_INTERVAL: Millis = Millis(320);

/// How long a query may stay unanswered before it counts as lost.
const QUERY_TIMEOUT: Millis = Millis(300);

derive_common! {
    data
    /// A query for newer routes of a cell.
    pub struct RouteQuery {
        /// The version of the cached table.
        pub have: RoutesVersion,
        /// The host to query; `None` if no grantor of the cell is known.
        pub to: Option<HostAddr>,
    }
}

derive_common! {
    value
    /// How a received table compares with the cached one.
    pub enum TableFreshness {
        /// It is newer, and replaced the cached one.
        Newer,
        /// It has the same version.
        Same,
        /// It is older, and was discarded.
        Older,
    }
}

/// Returns whether a partition moved to another owner, or to the same owner under a higher fence.
///
/// Comparing table versions is not enough, because a newer table may differ only in other
/// partitions.
pub fn route_change(before: Option<RouteEntry>, after: Option<RouteEntry>) -> RouteChange {
    match (before, after) {
        (_, None) => RouteChange::Unchanged,
        (None, Some(_)) => RouteChange::Changed,
        (Some(before), Some(after)) if after.fence > before.fence => RouteChange::Changed,
        (Some(before), Some(after)) if after.owner != before.owner => RouteChange::Changed,
        _ => RouteChange::Unchanged,
    }
}

/// The routes of the cells that this ingress sends requests to.
#[derive(Clone, Debug, Default)]
pub struct RouteCache {
    cells: Vec<CellRoutes>,
}

#[derive(Clone, Debug)]
struct CellRoutes {
    cell: CellId,
    version: Option<RoutesVersion>,
    grantors: Vec<HostAddr>,
    members: Vec<(HostAddr, ZoneName)>,
    /// The distinct owners, sorted. Routes refer to them by index.
    owners: Vec<HostAddr>,
    /// Sorted by partition.
    routes: Vec<CompactRoute>,
    /// When the table was last known to be the newest.
    confirmed_at: Millis,
    /// Whether a route of the table proved wrong.
    stale: bool,
    query_sent_at: Option<Millis>,
    next_query_at: Millis,
    query_interval: Millis,
    query_count: usize,
}

/// A route in half the size of a [`RouteEntry`], because an ingress holds the routes of hundreds of
/// cells.
///
/// `owner` is an index into [`CellRoutes::owners`].
#[derive(Clone, Copy, Debug)]
struct CompactRoute {
    fence: Fence,
    partition: Partition,
    owner: u32,
}

impl CellRoutes {
    fn new(cell: CellId) -> Self {
        Self {
            cell,
            version: None,
            grantors: Vec::new(),
            members: Vec::new(),
            owners: Vec::new(),
            routes: Vec::new(),
            confirmed_at: Millis::ZERO,
            stale: false,
            query_sent_at: None,
            next_query_at: Millis::ZERO,
            query_interval: MIN_QUERY_INTERVAL,
            query_count: 0,
        }
    }

    fn replace(&mut self, table: RouteTable) {
        let mut owners: Vec<HostAddr> = table.routes.iter().map(|r| r.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        // The vector was allocated with room for one owner per route.
        owners.shrink_to_fit();
        self.routes = table.routes.iter().map(|r| compact(r, &owners)).collect();
        self.owners = owners;
        self.version = Some(table.version);
        self.grantors = table.grantors;
        self.members = table.members;
        self.stale = false;
    }

    fn route(&self, partition: Partition) -> Option<RouteEntry> {
        let index = self.routes.binary_search_by_key(&partition, |r| r.partition).ok()?;
        let route = self.routes[index];
        let owner = *self.owners.get(usize::try_from(route.owner).ok()?)?;
        Some(RouteEntry { partition, fence: route.fence, owner })
    }

    /// Ends the query in flight and schedules the next one. Queries that return nothing newer back
    /// off exponentially.
    fn finish_query(&mut self, now: Millis, freshness: TableFreshness) {
        self.query_sent_at = None;
        self.query_interval = match freshness {
            TableFreshness::Newer => MIN_QUERY_INTERVAL,
            _ => Millis((self.query_interval.0 * 2).min(MAX_QUERY_INTERVAL.0)),
        };
        self.next_query_at = now + self.query_interval;
    }
}

fn compact(entry: &RouteEntry, owners: &[HostAddr]) -> CompactRoute {
    let owner = owners.binary_search(&entry.owner).unwrap_or(usize::MAX);
    let owner = u32::try_from(owner).unwrap_or(u32::MAX);
    CompactRoute { fence: entry.fence, partition: entry.partition, owner }
}

/// Queries.
impl RouteCache {
    /// Returns the cached route of a partition.
    pub fn route(&self, cell: &CellId, partition: Partition) -> Option<RouteEntry> {
        self.cell(cell)?.route(partition)
    }

    /// Returns the version of the cached table.
    pub fn version(&self, cell: &CellId) -> Option<RoutesVersion> {
        self.cell(cell)?.version
    }

    /// Returns the members of a cell that are not draining, sorted by address.
    pub fn members(&self, cell: &CellId) -> &[(HostAddr, ZoneName)] {
        self.cell(cell).map_or(&[], |c| &c.members)
    }

    /// Returns how long ago the table of a cell was last known to be the newest.
    pub fn age(&self, cell: &CellId, now: Millis) -> Option<Millis> {
        let routes = self.cell(cell)?;
        routes.version.map(|_| now.since(routes.confirmed_at))
    }

    fn cell(&self, cell: &CellId) -> Option<&CellRoutes> {
        self.find(cell).ok().map(|i| &self.cells[i])
    }

    fn find(&self, cell: &CellId) -> Result<usize, usize> {
        self.cells.binary_search_by(|c| c.cell.cmp(cell))
    }
}

/// Commands.
impl RouteCache {
    /// Replaces the cached table if `table` is newer.
    pub fn learn(&mut self, cell: &CellId, table: RouteTable, now: Millis) -> TableFreshness {
        let routes = self.cell_mut(cell);
        let freshness = match routes.version {
            Some(known) if table.version < known => TableFreshness::Older,
            Some(known) if table.version == known => TableFreshness::Same,
            _ => TableFreshness::Newer,
        };
        if freshness == TableFreshness::Newer {
            routes.replace(table);
        }
        if freshness != TableFreshness::Older {
            routes.confirmed_at = now;
        }
        routes.finish_query(now, freshness);
        freshness
    }

    /// Records that the queried host has no newer table.
    pub fn confirm(&mut self, cell: &CellId, now: Millis) {
        let routes = self.cell_mut(cell);
        routes.confirmed_at = now;
        routes.finish_query(now, TableFreshness::Same);
    }

    /// Records that a query got no reply. The next one goes to another grantor.
    pub fn query_failed(&mut self, cell: &CellId, now: Millis) {
        let routes = self.cell_mut(cell);
        routes.finish_query(now, TableFreshness::Same);
    }

    /// Records that a route of the table with this version proved wrong.
    pub fn mark_stale(&mut self, cell: &CellId, version: RoutesVersion) {
        let routes = self.cell_mut(cell);
        if routes.version == Some(version) && !routes.stale {
            routes.stale = true;
            routes.query_interval = MIN_QUERY_INTERVAL;
        }
    }

    /// Returns the query to send now.
    ///
    /// A query is due if the table is missing, is stale, or was last confirmed more than `max_age`
    /// ago, and no other query for the cell is in flight.
    pub fn next_query(
        &mut self,
        cell: &CellId,
        max_age: Millis,
        now: Millis,
    ) -> Option<RouteQuery> {
        let routes = self.cell_mut(cell);
        let expired = now.since(routes.confirmed_at) > max_age;
        let needed = routes.version.is_none() || routes.stale || expired;
        if !needed || now < routes.next_query_at {
            return None;
        }
        if routes.query_sent_at.is_some_and(|at| now.since(at) < QUERY_TIMEOUT) {
            return None;
        }
        let to = routes.grantors.get(routes.query_count % routes.grantors.len().max(1));
        let query = RouteQuery { have: routes.version.unwrap_or_default(), to: to.copied() };
        routes.query_count += 1;
        routes.query_sent_at = Some(now);
        Some(query)
    }

    /// Removes a cell, for example because its service was removed.
    pub fn remove(&mut self, cell: &CellId) {
        if let Ok(index) = self.find(cell) {
            self.cells.remove(index);
        }
    }

    fn cell_mut(&mut self, cell: &CellId) -> &mut CellRoutes {
        let index = match self.find(cell) {
            Ok(index) => index,
            Err(index) => {
                self.cells.insert(index, CellRoutes::new(cell.clone()));
                index
            }
        };
        &mut self.cells[index]
    }
}
