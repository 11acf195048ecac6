//! What the parts of the process share. It runs on one thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use adapter::HostRow;
use bytes::Bytes;
use log::info;
use mesh::{
    Budget, Config, Demand, Directory, Distance, Keeper, KeeperTimes, KeyMap, LoadReport,
    Neighbours, Peers, Queue, QueueLimits, Relays, Service, SuspectNews, Suspects, Witness,
};
use model::{Clock, HostAddr, Millis, RowVersion, ServiceName};
use tokio::sync::{Notify, oneshot};

use crate::rpc::HostConnections;
use crate::settings::Settings;

/// What one process knows.
pub struct State {
    /// The configuration in force.
    pub config: Option<ActiveConfig>,
    /// All hosts.
    pub hosts: Directory<HostRow>,
    /// Whom this process asks what changes in the store.
    pub relays: Relays,
    /// The hosts of each service, sorted by service.
    pub peers: Vec<(ServiceName, Peers)>,
    /// When this process itself read the store.
    pub reads: LastReads,
    /// The key maps, sorted by service.
    pub maps: Vec<MapRow>,
    /// The budget of repeats of each service, sorted by service.
    pub budgets: Vec<(ServiceName, Budget)>,
    /// The queue of the own backend server.
    pub queue: Queue,
    /// Who waits in the queue.
    pub waiters: Vec<(mesh::Ticket, oneshot::Sender<WaitOutcome>)>,
    /// How often the own keys are asked for.
    pub demand: Demand,
    /// The keys of the own backend server.
    pub keeper: Keeper,
    /// Requests that crash backend servers.
    pub suspects: Suspects,
    /// What this process said of other hosts' leases.
    pub witness: Witness,
    /// When the backend server said that it leaves without further heartbeats.
    pub draining_since: Option<Millis>,
    /// No connection to the backend server could be made at this time.
    pub connect_failed_at: Option<Millis>,
    /// The time of the last failed connection attempt to each host, sorted.
    pub unreachable: Vec<(HostAddr, Millis)>,
}

/// The key map of a service.
pub struct MapRow {
    /// The service.
    pub service: ServiceName,
    /// The version of the row.
    pub version: RowVersion,
    /// The map.
    pub map: Rc<KeyMap>,
    bytes: OnceCell<Bytes>,
}

impl MapRow {
    /// Returns the map as other hosts are told it.
    pub fn bytes(&self) -> &Bytes {
        self.bytes.get_or_init(|| Bytes::from(self.map.encode()))
    }
}

/// The configuration in force.
#[derive(Clone)]
pub struct ActiveConfig {
    /// The version of the row.
    pub row: RowVersion,
    /// What it says.
    pub config: Rc<Config>,
    document: Bytes,
    packed: Rc<OnceCell<Bytes>>,
}

impl ActiveConfig {
    /// Makes the row of a document that was read.
    pub fn new(row: RowVersion, config: Config, document: Bytes) -> Self {
        Self { row, config: Rc::new(config), document, packed: Rc::default() }
    }

    /// Returns the document as other hosts are told it.
    pub fn packed(&self) -> &Bytes {
        self.packed.get_or_init(|| Bytes::from(mesh::pack(&self.document)))
    }
}

/// What a process reads of the store to know all news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePart {
    /// The configuration.
    Config,
    /// The hosts and key maps.
    Fleet,
}

/// When each part of the store was read last.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastReads {
    config: Option<Millis>,
    fleet: Option<Millis>,
}

/// Whether a waiting request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It starts.
    Start,
    /// It can't end in time any more.
    Expired,
}

/// What all parts hold on to.
pub struct Cx {
    /// The settings.
    pub settings: Settings,
    /// The own address.
    pub me: HostAddr,
    /// Time since boot.
    pub clock: Clock,
    /// What is known.
    pub state: RefCell<State>,
    /// Connections to the backend server.
    pub backend: http1::Client,
    /// Connections to other hosts.
    pub host_connections: HostConnections,
    /// The store.
    pub store: adapter::StoreClient,
    /// Drawn at the start of the process.
    pub process: u64,
    /// Tells that a map, a grant, the configuration or a host changed.
    pub changed: Notify,
    /// Tells that another host has a newer configuration.
    pub newer_config: Notify,
    /// The highest version of the configuration that another host has.
    pub peer_config_version: Cell<u64>,
    /// Tells the keeper's loop that something may be due.
    pub keeper_due: Notify,
    /// Tells connections to close after the answer under way.
    pub close_connections: Notify,
    /// Set once the process is told to stop.
    pub stopping: Cell<bool>,
    /// Set once a process that stops takes no more requests.
    pub rejecting: Cell<bool>,
    /// Requests of callers and other hosts that are under way.
    pub in_flight: Cell<usize>,
}

impl Cx {
    /// Makes the shared part of a process that knows nothing yet.
    pub fn new(settings: Settings) -> Rc<Self> {
        let clock = Clock::boot();
        let now = clock.now();
        let me = HostAddr(settings.listen.hosts);
        let process: u64 = rand::random();
        let times = KeeperTimes::default();
        let times = times.hold(times.hold.min(Millis(settings.hold_max_ms)));
        let state = State {
            config: None,
            hosts: Directory::default(),
            relays: Relays::new(me),
            reads: LastReads::default(),
            peers: Vec::new(),
            maps: Vec::new(),
            budgets: Vec::new(),
            queue: Queue::new(QueueLimits::default()),
            waiters: Vec::new(),
            demand: Demand::default(),
            keeper: Keeper::new(me, process, times, now),
            suspects: Suspects::default(),
            witness: Witness::default(),
            draining_since: None,
            connect_failed_at: None,
            unreachable: Vec::new(),
        };
        let backend =
            http1::Client::new(settings.backend_server, http1::Settings::default(), clock.clone());
        Rc::new(Self {
            me,
            state: RefCell::new(state),
            backend,
            host_connections: HostConnections::default(),
            store: adapter::StoreClient::new(settings.store, clock.clone()),
            process,
            changed: Notify::new(),
            newer_config: Notify::new(),
            peer_config_version: Cell::new(0),
            keeper_due: Notify::new(),
            close_connections: Notify::new(),
            stopping: Cell::new(false),
            rejecting: Cell::new(false),
            in_flight: Cell::new(0),
            settings,
            clock,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the version of the configuration in force, or 0.
    pub fn version(&self) -> u64 {
        self.state.borrow().config.as_ref().map_or(0, |c| c.config.version.0)
    }

    /// Tells whether the backend server of this host owns keys.
    pub fn owns_keys(&self) -> bool {
        self.own_service().is_some_and(|s| s.keyed)
    }

    /// Returns how many connections the backend server of this host accepts.
    pub fn connections(&self) -> usize {
        self.own_service().map_or(usize::MAX, |s| s.max_connections)
    }

    fn own_service(&self) -> Option<Service> {
        let state = self.state.borrow();
        state.config.as_ref()?.config.service(&self.settings.service).cloned()
    }

    /// Returns the hosts of the own region that matter for where news come from.
    pub fn neighbours(&self) -> Neighbours {
        let state = self.state.borrow();
        let own = &self.settings.zone;
        let mut zone = Vec::new();
        let mut before = Vec::new();
        for (host, row) in state.hosts.iter() {
            if row.zone == *own {
                zone.push(host);
            } else if row.zone < *own && self.settings.distance(&row.zone) == Distance::Region {
                before.push((&row.zone, host));
            }
        }
        before.sort();
        Neighbours { zone, before: before.into_iter().map(|(_, host)| host).collect() }
    }

    /// Tells whether this process has to read the store for itself.
    pub fn reads_store(&self) -> bool {
        let near = self.neighbours();
        self.state.borrow().relays.reads_store(&near, self.now())
    }

    /// Tells whether it was heard lately what the store holds, directly or through others.
    pub fn is_fresh(&self) -> bool {
        !self.state.borrow().relays.is_old(self.now())
    }

    /// Takes in that this process read a part of the store.
    pub fn record_read(&self, part: StorePart) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match part {
            StorePart::Config => state.reads.config = Some(now),
            StorePart::Fleet => state.reads.fleet = Some(now),
        }
        // All that is known is as old as the part that was read first.
        if let LastReads { config: Some(config), fleet: Some(fleet) } = state.reads {
            state.relays.contact(config.min(fleet));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Takes in the version of the configuration that another host has.
    pub fn observe_config_version(&self, version: u64) {
        if version > self.version() {
            self.peer_config_version.set(self.peer_config_version.get().max(version));
            self.newer_config.notify_one();
        }
    }

    /// Takes in what another host says about requests that crash backend servers.
    pub fn merge_suspects(&self, news: &SuspectNews) {
        let now = self.now();
        let new = self.state.borrow_mut().suspects.told(news, now);
        if new {
            info!("event=suspects-heard suspects={:x?} refused={:x?}", news.suspects, news.refused);
        }
    }

    /// Returns how many kinds of request are refused because they crash backend servers.
    pub fn refused_request_count(&self) -> usize {
        self.state.borrow().suspects.refused_count(self.now())
    }

    /// Returns what other hosts are told about requests that crash backend servers.
    pub fn suspect_news(&self) -> SuspectNews {
        self.state.borrow().suspects.news(self.now())
    }

    /// Returns what other hosts are told about the load of the backend server.
    pub fn load_report(&self) -> LoadReport {
        let state = self.state.borrow();
        let queue = &state.queue;
        let small = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            running: small(queue.running()),
            waiting: small(queue.waiting()),
            slots: small(queue.slots()),
            run_ms: u32::try_from(queue.mean_run().0).unwrap_or(u32::MAX),
            open: state.draining_since.is_none() && state.keeper.serving() && !self.stopping.get(),
        }
    }

    /// Starts waiting requests while slots are free.
    pub fn start_queued(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let (started, late) = state.queue.next(now);
        let decided = started.into_iter().map(|t| (t, WaitOutcome::Start));
        for (ticket, start) in decided.chain(late.into_iter().map(|t| (t, WaitOutcome::Expired))) {
            let Some(at) = state.waiters.iter().position(|(t, _)| *t == ticket) else { continue };
            let (_, tx) = state.waiters.swap_remove(at);
            // A waiter that left has dropped its ticket or will do so at once.
            let _ = tx.send(start);
        }
    }
}

impl State {
    /// Follows a change of the row of a host.
    pub fn host_changed(&mut self, host: HostAddr, distance: impl Fn(&HostRow) -> Distance) {
        let row = self.hosts.get(host).cloned();
        let service = row.as_ref().map(|r| &r.service);
        let others = self.peers.iter_mut().filter(|(s, _)| Some(s) != service);
        others.for_each(|(_, peers)| peers.remove(host));
        if let Some(row) = row {
            peers_mut(&mut self.peers, &row.service).add(host, distance(&row));
        }
    }

    /// Takes in a key map. Returns false if it is not newer than the known one.
    pub fn apply_key_map(
        &mut self,
        service: &ServiceName,
        version: RowVersion,
        map: Rc<KeyMap>,
    ) -> bool {
        let at = self.maps.binary_search_by(|m| m.service.cmp(service));
        let row = MapRow { service: service.clone(), version, map, bytes: OnceCell::new() };
        match at {
            Ok(i) if self.maps[i].version >= version => return false,
            Ok(i) => self.maps[i] = row,
            Err(i) => self.maps.insert(i, row),
        }
        true
    }

    /// Returns the version of the key map of a service.
    pub fn map_version(&self, service: &ServiceName) -> Option<RowVersion> {
        let at = self.maps.binary_search_by(|m| m.service.cmp(service)).ok()?;
        Some(self.maps[at].version)
    }

    /// Returns the key map of a service.
    pub fn map(&self, service: &ServiceName) -> Option<&Rc<KeyMap>> {
        let at = self.maps.binary_search_by(|m| m.service.cmp(service)).ok()?;
        Some(&self.maps[at].map)
    }

    /// Returns the hosts of a service.
    pub fn peers(&mut self, service: &ServiceName) -> &mut Peers {
        peers_mut(&mut self.peers, service)
    }

    /// Returns the budget of a service.
    pub fn budget(&mut self, service: &ServiceName, settings: &Settings) -> &mut Budget {
        let at = match self.budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let budget = Budget::new(settings.budget());
                self.budgets.insert(at, (service.clone(), budget));
                at
            }
        };
        &mut self.budgets[at].1
    }
}

fn peers_mut<'a>(all: &'a mut Vec<(ServiceName, Peers)>, service: &ServiceName) -> &'a mut Peers {
    let at = match all.binary_search_by(|(s, _)| s.cmp(service)) {
        Ok(at) => at,
        Err(at) => {
            all.insert(at, (service.clone(), Peers::default()));
            at
        }
    };
    &mut all[at].1
}
