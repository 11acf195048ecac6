//! The ingress's routing state: route tables of all cells, load balancers and retry budgets.
//!
//! The route table of this host's own cell arrives through the ownership protocol. Tables of other
//! cells are requested from the grantors of that cell or, while none is known, from the grantors
//! of this cell, which read the other cell's row from the platform. A change of owners therefore
//! costs the platform one read per requesting cell, not one per host.

use std::cell::RefCell;
use std::time::Duration;

use model::{CellId, HostAddr, Millis, NotRunReason, Outcome, Partition, ServiceName, ZoneName};
use ownership::{RouteEntry, RouteTable, RoutesVersion};
use papayarill_config::Config;
use routing::balance::{self, BalanceSettings, Balancer, Distance, Observation};
use routing::retry::{RetryBudget, RouteChange};
use routing::routes::{RouteCache, RouteQuery};
use tokio::sync::Notify;
use wire::{Call, Reply};

use crate::context::Cx;
use crate::owner::OwnerOutcome;

/// The age at which the route table of another cell is refreshed while it is in use.
const MAX_TABLE_AGE: Millis = Millis(2_000);

/// The interval at which a waiting request checks whether a table must be queried.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a query for routes.
const QUERY_TIMEOUT: Millis = Millis(300);

/// How long the table of a cell is refreshed after its last use.
const TABLE_IDLE_TIMEOUT: Millis = Millis(30_000);

/// The routes known to this host, with the load balancer and retry budget of each service.
pub struct Routes {
    cache: RefCell<RouteCache>,
    in_use: RefCell<Vec<(CellId, Millis)>>,
    balancers: RefCell<Vec<ServiceBalancer>>,
    retry_budgets: RefCell<Vec<(ServiceName, RetryBudget)>>,
    table_changed: Notify,
}

/// The load balancer of a service, with its current members.
struct ServiceBalancer {
    service: ServiceName,
    balancer: Balancer,
    members: Vec<(HostAddr, Distance)>,
}

impl Routes {
    /// Creates an empty set of routes.
    pub fn new() -> Self {
        Self {
            cache: RefCell::new(RouteCache::default()),
            in_use: RefCell::new(Vec::new()),
            balancers: RefCell::new(Vec::new()),
            retry_budgets: RefCell::new(Vec::new()),
            table_changed: Notify::new(),
        }
    }

    /// Calls `f` with the retry budget of a service.
    pub fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        cx: &Cx,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let index = match retry_budgets.binary_search_by(|(name, _)| name.cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let percent = cx.service(service).map_or(0, |s| s.retry_percent);
                retry_budgets.insert(index, (service.clone(), RetryBudget::new(percent)));
                index
            }
        };
        f(&mut retry_budgets[index].1)
    }

    /// Applies the retry percentages of a new configuration.
    pub fn apply_config(&self, config: &Config) {
        for (name, budget) in self.retry_budgets.borrow_mut().iter_mut() {
            if let Some(service) = config.service(name.as_str()) {
                budget.set_retry_percent(service.retry_percent);
            }
        }
    }

    fn mark_used(&self, cell: &CellId, now: Millis) {
        let mut in_use = self.in_use.borrow_mut();
        match in_use.binary_search_by(|(known, _)| known.cmp(cell)) {
            Ok(index) => in_use[index].1 = now,
            Err(index) => in_use.insert(index, (cell.clone(), now)),
        }
    }
}

impl Default for Routes {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the newest known route of a partition.
pub fn known_route(cx: &Cx, cell: &CellId, partition: Partition) -> Option<RouteEntry> {
    if *cell == cx.settings.cell {
        let node = cx.node.borrow();
        let routes = &node.routes().routes;
        let index = routes.binary_search_by_key(&partition, |r| r.partition).ok()?;
        return routes.get(index).copied();
    }
    cx.routes.mark_used(cell, cx.now());
    cx.routes.cache.borrow().route(cell, partition)
}

/// Returns the version of the newest known table of a cell.
pub fn table_version(cx: &Cx, cell: &CellId) -> Option<RoutesVersion> {
    if *cell == cx.settings.cell {
        return Some(cx.node.borrow().routes().version);
    }
    cx.routes.cache.borrow().version(cell)
}

/// The route of a partition that an attempt was based on.
#[derive(Clone, Copy, Debug)]
pub struct KnownRoute {
    /// The route, if there was one.
    pub route: Option<RouteEntry>,
    /// The version of the table that contained it.
    pub version: Option<RoutesVersion>,
}

/// Waits for at most `at_most` until the route of the partition differs from `before`.
pub async fn await_route_change(
    cx: &Cx,
    cell: &CellId,
    partition: Partition,
    before: KnownRoute,
    at_most: Millis,
) -> RouteChange {
    let deadline = cx.now() + at_most;
    if let Some(version) = before.version {
        cx.routes.cache.borrow_mut().mark_stale(cell, version);
    }
    loop {
        let route = routing::routes::route_change(before.route, known_route(cx, cell, partition));
        if route == RouteChange::Changed || cx.now() >= deadline {
            return route;
        }
        refresh_table(cx, cell);
        // The table of the own cell changes without a query and without this notification, so the
        // wait is always bounded.
        let table_changed = cx.routes.table_changed.notified();
        let _ = tokio::time::timeout(QUERY_INTERVAL, table_changed).await;
    }
}

/// Queries a newer table of another cell in the background, if a query is due.
fn refresh_table(cx: &Cx, cell: &CellId) {
    if *cell == cx.settings.cell {
        return;
    }
    let query = cx.routes.cache.borrow_mut().next_query(cell, MAX_TABLE_AGE, cx.now());
    let Some(query) = query else {
        return;
    };
    let cx = cx.clone();
    let cell = cell.clone();
    actix_rt::spawn(async move {
        let reply = query_table(&cx, &cell, &query).await;
        let now = cx.now();
        let mut cache = cx.routes.cache.borrow_mut();
        match reply {
            Some(Some(table)) => {
                log::info!("routing: Received routes {:?} of {cell}.", table.version);
                cache.learn(&cell, table, now);
            }
            Some(None) => cache.confirm(&cell, now),
            None => cache.query_failed(&cell, now),
        }
        cx.routes.table_changed.notify_waiters();
    });
}

/// Returns `None` if no host replied, and `Some(None)` if no newer table is known.
async fn query_table(cx: &Cx, cell: &CellId, query: &RouteQuery) -> Option<Option<RouteTable>> {
    metrics::counter!("papayarill_route_questions_total").increment(1);
    if let Some(to) = query.to
        && let Some(reply) = query_host(cx, to, cell, query.have).await
    {
        return Some(reply);
    }
    for to in own_cell_grantors(cx) {
        if let Some(reply) = query_host(cx, to, cell, query.have).await {
            return Some(reply);
        }
    }
    query_cell_grantors(cx, cell, query.have).await
}

async fn query_host(
    cx: &Cx,
    to: HostAddr,
    cell: &CellId,
    have: RoutesVersion,
) -> Option<Option<RouteTable>> {
    let call = Call::Routes { cell: cell.clone(), have };
    match cx.client.call(to, call, QUERY_TIMEOUT).await {
        Ok(Reply::Routes(table)) => Some(table),
        _ => None,
    }
}

/// Returns the grantors of this cell, or none if this host is one of them and has to read the row
/// itself.
fn own_cell_grantors(cx: &Cx) -> Vec<HostAddr> {
    let grantors = cx.node.borrow().routes().grantors.clone();
    if grantors.contains(&cx.addr) { Vec::new() } else { grantors }
}

/// Reads the row of a cell from the platform and queries the grantors named there.
async fn query_cell_grantors(
    cx: &Cx,
    cell: &CellId,
    have: RoutesVersion,
) -> Option<Option<RouteTable>> {
    metrics::counter!("papayarill_store_reads_total").increment(1);
    let row = match cx.platform.read_row(cell).await {
        Ok(row) => row?,
        Err(error) => {
            log::warn!("platform: Cannot read the row of {cell}: {error}.");
            return None;
        }
    };
    for grantor in &row.row.grantors {
        if let Some(reply) = query_host(cx, grantor.addr, cell, have).await {
            return Some(reply);
        }
    }
    None
}

/// Returns the route table of a cell, for another host, if it is newer than `have`.
pub async fn table_newer_than(cx: &Cx, cell: &CellId, have: RoutesVersion) -> Option<RouteTable> {
    if *cell == cx.settings.cell {
        let node = cx.node.borrow();
        let table = node.routes();
        return (table.version > have).then(|| table.clone());
    }
    // Only grantors are queried about other cells, and they read the row themselves, so queries
    // cannot loop.
    query_cell_grantors(cx, cell, have).await.flatten()
}

/// Refreshes the tables of the cells in use. Runs until the process ends.
pub async fn refresh_tables(cx: Cx) {
    loop {
        tokio::time::sleep(QUERY_INTERVAL * 5).await;
        let now = cx.now();
        let cells = {
            let mut in_use = cx.routes.in_use.borrow_mut();
            in_use.retain(|(_, used_at)| now.since(*used_at) < TABLE_IDLE_TIMEOUT);
            in_use.iter().map(|(cell, _)| cell.clone()).collect::<Vec<_>>()
        };
        for cell in cells {
            refresh_table(&cx, &cell);
        }
    }
}

/// Chooses a backend server for a request without a partition. Waits for at most `at_most` while
/// none is known.
pub async fn await_server(cx: &Cx, service: &ServiceName, at_most: Millis) -> Option<HostAddr> {
    let deadline = cx.now() + at_most;
    loop {
        let chosen = choose_server(cx, service);
        if chosen.is_some() || cx.now() >= deadline {
            return chosen;
        }
        let table_changed = cx.routes.table_changed.notified();
        let _ = tokio::time::timeout(QUERY_INTERVAL, table_changed).await;
    }
}

fn choose_server(cx: &Cx, service: &ServiceName) -> Option<HostAddr> {
    update_balancer(cx, service);
    let balancers = cx.routes.balancers.borrow();
    let index = balancers.binary_search_by(|b| b.service.cmp(service)).ok()?;
    let random = [rand::random(), rand::random()];
    balancers[index].balancer.choose(random, cx.now()).map(|choice| choice.server)
}

/// Updates the load balancer of a service if the members of its cells have changed.
fn update_balancer(cx: &Cx, service: &ServiceName) {
    let config = cx.config.current();
    let Some(found) = config.service(service.as_str()) else {
        return;
    };
    let mut members = Vec::new();
    for index in 0..found.cell_count() {
        let cell = CellId { service: service.clone(), index };
        members.extend(cell_members(cx, &cell));
    }
    let own_zone = &cx.settings.zone;
    let members: Vec<(HostAddr, Distance)> = members
        .iter()
        .map(|(addr, zone)| (*addr, balance::distance(&config, own_zone, zone)))
        .collect();
    with_balancer(cx, service, |b| {
        if b.members != members {
            b.balancer.set_slots(found.slots);
            b.balancer.set_members(&members);
            b.members = members;
        }
    });
}

fn cell_members(cx: &Cx, cell: &CellId) -> Vec<(HostAddr, ZoneName)> {
    if *cell == cx.settings.cell {
        return cx.node.borrow().routes().members.clone();
    }
    cx.routes.mark_used(cell, cx.now());
    refresh_table(cx, cell);
    cx.routes.cache.borrow().members(cell).to_vec()
}

fn with_balancer(cx: &Cx, service: &ServiceName, f: impl FnOnce(&mut ServiceBalancer)) {
    let mut balancers = cx.routes.balancers.borrow_mut();
    let index = match balancers.binary_search_by(|b| b.service.cmp(service)) {
        Ok(index) => index,
        Err(index) => {
            let balancer = Balancer::new(cx.addr, BalanceSettings::default());
            let members = Vec::new();
            let entry = ServiceBalancer { service: service.clone(), balancer, members };
            balancers.insert(index, entry);
            index
        }
    };
    f(&mut balancers[index]);
}

/// Records in the load balancer that a request is being sent to a server.
pub fn request_started(cx: &Cx, service: &ServiceName, server: HostAddr) {
    with_balancer(cx, service, |b| b.balancer.started(server));
}

/// Records the outcome of a request in the load balancer.
pub fn request_finished(
    cx: &Cx,
    service: &ServiceName,
    server: HostAddr,
    started_at: Millis,
    outcome: &OwnerOutcome,
) {
    let now = cx.now();
    let observation = match outcome {
        Outcome::Ran((head, _)) if head.status < 500 => {
            Observation::Answered { latency: now.since(started_at) }
        }
        Outcome::NotRun(NotRunReason::Abandoned) => Observation::Abandoned,
        _ => Observation::Refused,
    };
    with_balancer(cx, service, |b| b.balancer.finished(server, observation, now));
}

/// Returns the distance to a member of a cell; [`Distance::OtherRegion`] if the member is not known.
pub fn distance(cx: &Cx, cell: &CellId, server: HostAddr) -> Distance {
    let zone = member_zone(cx, cell, server);
    zone.map_or(Distance::OtherRegion, |z| {
        balance::distance(&cx.config.current(), &cx.settings.zone, &z)
    })
}

fn member_zone(cx: &Cx, cell: &CellId, server: HostAddr) -> Option<ZoneName> {
    let find = |members: &[(HostAddr, ZoneName)]| {
        let index = members.binary_search_by_key(&server, |(addr, _)| *addr).ok()?;
        Some(members[index].1.clone())
    };
    if *cell == cx.settings.cell {
        return find(&cx.node.borrow().routes().members);
    }
    find(cx.routes.cache.borrow().members(cell))
}
