//! What an ingress knows of the owners of partitions, cell by cell.
//!
//! A route is a hint: only the owner's own check counts. So a wrong route costs a hop and never
//! a wrong run, and the cache only has to be cheap and to notice soon that it is behind.

use model::{CellId, Fence, HostAddr, Millis, Partition, ZoneName, derive_common};
use ownership::{RouteEntry, RouteTable, RoutesVersion};

use crate::retry::RouteChange;

/// The shortest pause between two questions about one cell.
const QUESTION_PAUSE: Millis = Millis(20);

/// The longest pause between two questions about one cell that brought nothing new.
const MAX_QUESTION_PAUSE: Millis = Millis(320);

/// How long a question may stay unanswered before it counts as lost.
const QUESTION_LIMIT: Millis = Millis(300);

derive_common! {
    data
    /// A question for newer routes.
    pub struct RouteQuery {
        /// The version that is known.
        pub have: RoutesVersion,
        /// Whom to ask; `None` while no grantor of the cell is known.
        pub to: Option<HostAddr>,
    }
}

derive_common! {
    value
    /// What a table was good for.
    pub enum TableFreshness {
        /// It is newer than what was known.
        Newer,
        /// It is what was known already.
        Same,
        /// It is older than what was known, and was not taken over.
        Older,
    }
}

/// Returns whether a partition went to another owner, or to the same one under a higher fence.
///
/// A newer table alone does not tell: it may show a change of other partitions.
pub fn route_change(before: Option<RouteEntry>, after: Option<RouteEntry>) -> RouteChange {
    match (before, after) {
        (_, None) => RouteChange::Unchanged,
        (None, Some(_)) => RouteChange::Changed,
        (Some(before), Some(after)) if after.fence > before.fence => RouteChange::Changed,
        (Some(before), Some(after)) if after.owner != before.owner => RouteChange::Changed,
        _ => RouteChange::Unchanged,
    }
}

/// The routes of the cells that this ingress sends to.
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
    owners: Vec<HostAddr>,
    routes: Vec<CompactRoute>,
    confirmed_at: Millis,
    moved: bool,
    asked_at: Option<Millis>,
    next_question_at: Millis,
    pause: Millis,
    questions: usize,
}

/// Half the size of a [`RouteEntry`]: an ingress holds the routes of hundreds of cells.
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
            moved: false,
            asked_at: None,
            next_question_at: Millis::ZERO,
            pause: QUESTION_PAUSE,
            questions: 0,
        }
    }

    fn replace(&mut self, table: RouteTable) {
        let mut owners: Vec<HostAddr> = table.routes.iter().map(|r| r.owner).collect();
        owners.sort_unstable();
        owners.dedup();
        // The list was made with room for one owner per route.
        owners.shrink_to_fit();
        self.routes = table.routes.iter().map(|r| compact(r, &owners)).collect();
        self.owners = owners;
        self.version = Some(table.version);
        self.grantors = table.grantors;
        self.members = table.members;
        self.moved = false;
    }

    fn route(&self, partition: Partition) -> Option<RouteEntry> {
        let index = self.routes.binary_search_by_key(&partition, |r| r.partition).ok()?;
        let route = self.routes[index];
        let owner = *self.owners.get(usize::try_from(route.owner).ok()?)?;
        Some(RouteEntry { partition, fence: route.fence, owner })
    }

    /// Ends the question in flight. Questions that bring nothing new come ever less often.
    fn end_question(&mut self, now: Millis, learned: TableFreshness) {
        self.asked_at = None;
        self.pause = match learned {
            TableFreshness::Newer => QUESTION_PAUSE,
            _ => Millis((self.pause.0 * 2).min(MAX_QUESTION_PAUSE.0)),
        };
        self.next_question_at = now + self.pause;
    }
}

fn compact(entry: &RouteEntry, owners: &[HostAddr]) -> CompactRoute {
    let owner = owners.binary_search(&entry.owner).unwrap_or(usize::MAX);
    let owner = u32::try_from(owner).unwrap_or(u32::MAX);
    CompactRoute { fence: entry.fence, partition: entry.partition, owner }
}

/// Queries.
impl RouteCache {
    /// Returns the newest known route of a partition.
    pub fn route(&self, cell: &CellId, partition: Partition) -> Option<RouteEntry> {
        self.cell(cell)?.route(partition)
    }

    /// Returns the version of the newest known table.
    pub fn version(&self, cell: &CellId) -> Option<RoutesVersion> {
        self.cell(cell)?.version
    }

    /// Returns the members of a cell that are not draining, sorted by address.
    pub fn members(&self, cell: &CellId) -> &[(HostAddr, ZoneName)] {
        self.cell(cell).map_or(&[], |c| &c.members)
    }

    /// Returns how long ago the table of a cell was known to be the newest.
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
    /// Takes over a table if it is newer than what is known.
    pub fn learn(&mut self, cell: &CellId, table: RouteTable, now: Millis) -> TableFreshness {
        let routes = self.cell_mut(cell);
        let learned = match routes.version {
            Some(known) if table.version < known => TableFreshness::Older,
            Some(known) if table.version == known => TableFreshness::Same,
            _ => TableFreshness::Newer,
        };
        if learned == TableFreshness::Newer {
            routes.replace(table);
        }
        if learned != TableFreshness::Older {
            routes.confirmed_at = now;
        }
        routes.end_question(now, learned);
        learned
    }

    /// Notes that the one who was asked knows nothing newer.
    pub fn confirm(&mut self, cell: &CellId, now: Millis) {
        let routes = self.cell_mut(cell);
        routes.confirmed_at = now;
        routes.end_question(now, TableFreshness::Same);
    }

    /// Notes that a question got no answer, so that the next one goes to another grantor.
    pub fn query_failed(&mut self, cell: &CellId, now: Millis) {
        let routes = self.cell_mut(cell);
        routes.end_question(now, TableFreshness::Same);
    }

    /// Notes that a route of the table with this version proved wrong.
    pub fn mark_stale(&mut self, cell: &CellId, version: RoutesVersion) {
        let routes = self.cell_mut(cell);
        if routes.version == Some(version) && !routes.moved {
            routes.moved = true;
            routes.pause = QUESTION_PAUSE;
        }
    }

    /// Returns the question to send now, if the table is missing, proved wrong or is older than
    /// `max_age`, and no other question about the cell is in flight.
    pub fn next_query(
        &mut self,
        cell: &CellId,
        max_age: Millis,
        now: Millis,
    ) -> Option<RouteQuery> {
        let routes = self.cell_mut(cell);
        let old = now.since(routes.confirmed_at) > max_age;
        let needed = routes.version.is_none() || routes.moved || old;
        if !needed || now < routes.next_question_at {
            return None;
        }
        if routes.asked_at.is_some_and(|at| now.since(at) < QUESTION_LIMIT) {
            return None;
        }
        let to = routes.grantors.get(routes.questions % routes.grantors.len().max(1));
        let question = RouteQuery { have: routes.version.unwrap_or_default(), to: to.copied() };
        routes.questions += 1;
        routes.asked_at = Some(now);
        Some(question)
    }

    /// Forgets a cell, as when its service was removed.
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
