//! What the parts of the process share. It runs on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use adapter::HostRow;
use mesh::{
    Budget, Config, Demand, Distance, Keeper, KeeperTimes, KeyMap, LoadReport, Peers, Queue,
    QueueLimits, Service, Witness,
};
use model::{Clock, HostAddr, Millis, RowVersion, ServiceName};
use tokio::sync::{Notify, oneshot};

use crate::hop::Hops;
use crate::settings::Settings;

/// What one process knows.
pub struct State {
    /// The configuration in force with the version of its row.
    pub config: Option<(RowVersion, Rc<Config>)>,
    /// All hosts, sorted by address.
    pub hosts: Vec<(HostAddr, HostRow)>,
    /// The hosts of each service, sorted by service.
    pub peers: Vec<(ServiceName, Peers)>,
    /// The key maps, sorted by service.
    pub maps: Vec<(ServiceName, RowVersion, Rc<KeyMap>)>,
    /// The budget of repeats of each service, sorted by service.
    pub budgets: Vec<(ServiceName, Budget)>,
    /// The queue of the own backend server.
    pub queue: Queue,
    /// Who waits in the queue.
    pub waiters: Vec<(mesh::Ticket, oneshot::Sender<Start>)>,
    /// How often the own keys are asked for.
    pub demand: Demand,
    /// The keys of the own backend server.
    pub keeper: Keeper,
    /// What this process said of other hosts' leases.
    pub witness: Witness,
    /// When the backend server said that it leaves without further heartbeats.
    pub left: Option<Millis>,
    /// No connection to the backend server could be made at this time.
    pub refused: Option<Millis>,
    /// The time of the last failed connection attempt to each host, sorted.
    pub unreachable: Vec<(HostAddr, Millis)>,
}

/// Whether a waiting request starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It starts.
    Now,
    /// It can't end in time any more.
    Late,
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
    pub hops: Hops,
    /// The store.
    pub store: adapter::Store,
    /// Drawn at the start of the process.
    pub process: u64,
    /// Tells that a map, a grant, the configuration or a host changed.
    pub changed: Notify,
    /// Tells that another host has a newer configuration.
    pub newer: Notify,
    /// Tells that a host does not own the keys that it is thought to own.
    pub turned_away: Notify,
    /// Tells the keeper's loop that something may be due.
    pub due: Notify,
    /// Tells connections to close after the answer under way.
    pub stop: Notify,
    /// Set once the process is told to stop.
    pub stopping: Cell<bool>,
    /// Set once a process that stops takes no more requests.
    pub closed: Cell<bool>,
    /// Requests of callers and other hosts that are under way.
    pub under_way: Cell<usize>,
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
            hosts: Vec::new(),
            peers: Vec::new(),
            maps: Vec::new(),
            budgets: Vec::new(),
            queue: Queue::new(QueueLimits::default()),
            waiters: Vec::new(),
            demand: Demand::default(),
            keeper: Keeper::new(me, process, times, now),
            witness: Witness::default(),
            left: None,
            refused: None,
            unreachable: Vec::new(),
        };
        let backend =
            http1::Client::new(settings.backend_server, http1::Settings::default(), clock.clone());
        Rc::new(Self {
            me,
            state: RefCell::new(state),
            backend,
            hops: Hops::default(),
            store: adapter::Store::new(settings.store, clock.clone()),
            process,
            changed: Notify::new(),
            newer: Notify::new(),
            turned_away: Notify::new(),
            due: Notify::new(),
            stop: Notify::new(),
            stopping: Cell::new(false),
            closed: Cell::new(false),
            under_way: Cell::new(0),
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
        self.state.borrow().config.as_ref().map_or(0, |(_, c)| c.version.0)
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
        let (_, config) = state.config.as_ref()?;
        config.service(&self.settings.service).cloned()
    }

    /// Takes in the version of the configuration that another host has.
    pub fn heard_version(&self, version: u64) {
        if version > self.version() {
            self.newer.notify_one();
        }
    }

    /// Returns what other hosts are told about the load of the backend server.
    pub fn report(&self) -> LoadReport {
        let state = self.state.borrow();
        let queue = &state.queue;
        let small = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            running: small(queue.running()),
            waiting: small(queue.waiting()),
            slots: small(queue.slots()),
            run_ms: u32::try_from(queue.mean_run().0).unwrap_or(u32::MAX),
            open: state.left.is_none() && state.keeper.serving() && !self.stopping.get(),
        }
    }

    /// Starts waiting requests while slots are free.
    pub fn start_waiting(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let (started, late) = state.queue.next(now);
        let told = started.into_iter().map(|t| (t, Start::Now));
        for (ticket, start) in told.chain(late.into_iter().map(|t| (t, Start::Late))) {
            let Some(at) = state.waiters.iter().position(|(t, _)| *t == ticket) else { continue };
            let (_, tx) = state.waiters.swap_remove(at);
            // A waiter that left has dropped its ticket or will do so at once.
            let _ = tx.send(start);
        }
    }
}

impl State {
    /// Takes in what a host says of itself.
    pub fn learn_host(&mut self, host: HostAddr, row: HostRow, distance: Distance) {
        self.forget_host_unless(host, &row.service);
        peers_mut(&mut self.peers, &row.service).add(host, distance);
        match self.hosts.binary_search_by_key(&host, |(h, _)| *h) {
            Ok(i) => self.hosts[i].1 = row,
            Err(i) => self.hosts.insert(i, (host, row)),
        }
    }

    /// Forgets a host.
    pub fn forget_host(&mut self, host: HostAddr) {
        if let Ok(i) = self.hosts.binary_search_by_key(&host, |(h, _)| *h) {
            let (_, row) = self.hosts.remove(i);
            peers_mut(&mut self.peers, &row.service).remove(host);
        }
    }

    fn forget_host_unless(&mut self, host: HostAddr, service: &ServiceName) {
        let Ok(i) = self.hosts.binary_search_by_key(&host, |(h, _)| *h) else { return };
        if self.hosts[i].1.service != *service {
            self.forget_host(host);
        }
    }

    /// Takes in a key map; an older one is ignored.
    pub fn learn_map(&mut self, service: &ServiceName, version: RowVersion, map: Rc<KeyMap>) {
        match self.maps.binary_search_by(|(s, ..)| s.cmp(service)) {
            Ok(i) if self.maps[i].1 >= version => {}
            Ok(i) => self.maps[i] = (service.clone(), version, map),
            Err(i) => self.maps.insert(i, (service.clone(), version, map)),
        }
    }

    /// Tells whether a host's row is known as it is.
    pub fn knows_host(&self, host: HostAddr, row: &HostRow) -> bool {
        let at = self.hosts.binary_search_by_key(&host, |(h, _)| *h);
        at.is_ok_and(|i| self.hosts[i].1 == *row)
    }

    /// Tells whether this version of a key map or a newer one is known.
    pub fn knows_map(&self, service: &ServiceName, version: RowVersion) -> bool {
        let at = self.maps.binary_search_by(|(s, ..)| s.cmp(service));
        at.is_ok_and(|i| self.maps[i].1 >= version)
    }

    /// Returns the key map of a service.
    pub fn map(&self, service: &ServiceName) -> Option<&Rc<KeyMap>> {
        let at = self.maps.binary_search_by(|(s, ..)| s.cmp(service)).ok()?;
        Some(&self.maps[at].2)
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
