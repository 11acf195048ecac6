//! State that the tasks of the process share. All of them run on one thread.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use adapter::HostRow;
use bytes::Bytes;
use log::info;
use mesh::{
    BodyAdmission, ClassLoad, ColdStart, Config, CrashSuspects, DepartureLog, Distance,
    Evacuations, GrantDelivery, HolderKind, HostDirectory, KeyMap, KeyOwnership, KeyRequestCounts,
    LoadBalancer, LoadReport, OwnershipTiming, PeerHost, QueueLimits, RenewalWriterSelector,
    RequestQueue, ResponseLink, RetryBudget, Service, SuspectUpdate, TransferId,
    UpdateSourceCandidates, UpdateSourceSelector, Witness,
};
use model::{Clock, HostAddr, Millis, RegionName, RowVersion, ServiceName, ZoneName};
use tokio::sync::{Notify, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::renewals::Renewals;
use crate::rpc::HostConnections;
use crate::settings::{Limits, Settings};
use crate::wire::Forward;
use client_memory::{ConnectionGroup, MemoryAccount, max_descriptors};

/// The mutable state of the process.
pub struct State {
    /// The configuration in force.
    pub config: Option<ActiveConfig>,
    /// The zones that the operator has evacuated.
    pub evacuations: Evacuations,
    /// All known hosts.
    pub hosts: HostDirectory<HostRow>,
    /// Selects where this process reads changes in the store from: the store or another host.
    pub source_selector: UpdateSourceSelector,
    /// The load balancer over the hosts of each service, sorted by service.
    pub load_balancers: Vec<(ServiceName, LoadBalancer)>,
    /// Whether the hosts were read from the store at the start, so that others can be asked.
    pub hosts_read: bool,
    /// When this process itself last read the store.
    pub reads: LastReads,
    /// The key maps, sorted by service.
    pub maps: Vec<MapRow>,
    /// The retry budget of each service, sorted by service.
    pub retry_budgets: Vec<(ServiceName, RetryBudget)>,
    /// The request queue of this host's backend server.
    pub queue: RequestQueue,
    /// Requests waiting in the queue.
    pub waiters: Vec<(mesh::JobId, oneshot::Sender<WaitOutcome>)>,
    /// The link of this host as the responses to other hosts take it.
    pub response_link: ResponseLink,
    /// The large bodies that other hosts send to this one.
    pub bodies: BodyAdmission,
    /// Other hosts that wait until they may send a body.
    pub body_waiters: Vec<(TransferId, oneshot::Sender<bool>)>,
    /// The request rate per key of this host's backend server.
    pub key_requests: KeyRequestCounts,
    /// Key ownership of this host's backend server.
    pub ownership: KeyOwnership,
    /// The renewals of leases that this host writes.
    pub renewals: Renewals,
    /// Selects the host that writes the renewals of this one.
    pub renewal_writers: RenewalWriterSelector,
    /// Requests suspected of crashing backend servers.
    pub suspects: CrashSuspects,
    /// This process's replies as a witness of other hosts' leases.
    pub witness: Witness,
    /// Whether the backend server has announced that it leaves.
    pub departures: DepartureLog,
    /// When the backend server deregistered; it sends no heartbeats after that.
    pub deregistered_at: Option<Millis>,
    /// When a connection attempt to the backend server last failed; cleared by its next heartbeat.
    pub connect_failed_at: Option<Millis>,
    /// Hosts that can't be reached, each with the time of its first failed attempt, sorted by host.
    pub unreachable: Vec<(HostAddr, Millis)>,
}

/// The key map of a service.
pub struct MapRow {
    /// The service.
    pub service: ServiceName,
    /// The version of the row.
    pub version: RowVersion,
    /// The decoded map.
    pub map: Rc<KeyMap>,
    bytes: OnceCell<Bytes>,
}

impl MapRow {
    /// Returns the encoded map that is sent to other hosts.
    pub fn bytes(&self) -> &Bytes {
        self.bytes.get_or_init(|| Bytes::from(self.map.encode()))
    }
}

/// The configuration in force.
#[derive(Clone)]
pub struct ActiveConfig {
    /// The version of its row in the store.
    pub row: RowVersion,
    /// The parsed configuration.
    pub config: Rc<Config>,
    document: Bytes,
    compressed: Rc<OnceCell<Bytes>>,
}

impl ActiveConfig {
    /// Creates the configuration from a document and its parsed form.
    pub fn new(row: RowVersion, config: Config, document: Bytes) -> Self {
        Self { row, config: Rc::new(config), document, compressed: Rc::default() }
    }

    /// Returns the compressed document that is sent to other hosts.
    pub fn compressed(&self) -> &Bytes {
        self.compressed.get_or_init(|| Bytes::from(mesh::compress(&self.document)))
    }
}

/// The parts of the store that a process reads to know all changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePart {
    /// The configuration.
    Config,
    /// The hosts and key maps.
    Fleet,
}

/// When each part of the store was last read.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastReads {
    config: Option<Millis>,
    fleet: Option<Millis>,
}

/// What happens to a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// It starts.
    Start,
    /// It can no longer finish in time.
    Expired,
    /// The zone of this host is evacuated.
    Evacuated,
}

/// The context that all tasks share.
pub struct Cx {
    /// The settings.
    pub settings: Settings,
    /// The address of this host.
    pub me: HostAddr,
    /// Time since boot.
    pub clock: Clock,
    /// The mutable state.
    pub state: RefCell<State>,
    /// Connections to the backend server.
    pub backend: http1::Client,
    /// Connections to the backend server for calls that grant keys, to one incarnation only.
    pub grant_client: http1::Client,
    /// The account of the memory that is held for callers and other hosts.
    pub memory: Rc<MemoryAccount>,
    /// The connections that were accepted.
    pub accepted: Connections,
    /// Connections to other hosts.
    pub host_connections: HostConnections,
    /// The client of the store.
    pub store: adapter::StoreClient,
    /// A random number drawn at the start of the process; tells restarts apart.
    pub process: u64,
    /// Notified when a map, a grant, the configuration or a host changed.
    pub changed: Notify,
    /// Notified when another host has a newer configuration.
    pub newer_config: Notify,
    /// The highest configuration version that another host reported.
    pub peer_config_version: Cell<u64>,
    /// Notified when key ownership may have a write or a witness request due.
    pub ownership_due: Notify,
    /// Notified when renewals were added to the batch.
    pub renewals_due: Notify,
    /// Notified when a departure may have to be written to the store.
    pub departure_due: Notify,
    /// Notified when calls that grant keys may be due.
    pub grants_due: Notify,
    /// The keys of the rows among the leases that can't be read.
    pub unreadable_leases: RefCell<Vec<String>>,
    /// Tells connections to close after the response in progress.
    pub close_connections: Notify,
    /// Set once the process is told to stop.
    pub stopping: Cell<bool>,
    /// Set once a stopping process accepts no more requests.
    pub rejecting: Cell<bool>,
    /// Requests of callers that are in flight.
    pub in_flight: Cell<usize>,
    /// Connections that may still have to write a response, once connections close.
    pub writing: Rc<Cell<usize>>,
}

/// The connections to each address of the process.
pub struct Connections {
    /// Of callers.
    pub callers: ConnectionGroup,
    /// Of other hosts.
    pub hosts: ConnectionGroup,
    /// Of readiness checks.
    pub ready: ConnectionGroup,
    /// Of the backend server on this host.
    pub backend: ConnectionGroup,
    /// Of readers of the metrics.
    pub metrics: ConnectionGroup,
}

impl Connections {
    fn new(limits: &Limits, memory: &Rc<MemoryAccount>) -> Self {
        let descriptors = max_descriptors();
        let group = |name, kind, max| ConnectionGroup::new(memory, name, kind, max);
        let max_others = Limits::max_other_connections(descriptors);
        let other = |name| group(name, HolderKind::Client, max_others);
        let max_callers = limits.max_caller_connections(descriptors);
        let max_hosts = limits.max_host_connections(descriptors);
        Self {
            callers: group("callers", HolderKind::Client, max_callers),
            hosts: group("hosts", HolderKind::Host, max_hosts),
            ready: other("ready"),
            backend: other("backend"),
            metrics: other("metrics"),
        }
    }
}

/// Counts a connection that may still have to write a response, until it is dropped.
pub struct WritingGuard(Rc<Cell<usize>>);

impl WritingGuard {
    /// Counts a connection in `count`.
    pub fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for WritingGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl Cx {
    /// Creates the context of a process that knows no configuration and no hosts yet.
    pub fn new(settings: Settings) -> Rc<Self> {
        let clock = Clock::boot();
        let now = clock.now();
        let me = HostAddr(settings.listen.hosts);
        let process: u64 = rand::random();
        let timing = OwnershipTiming::default();
        let timing = timing.grant_duration(timing.grant_duration.min(Millis(settings.hold_max_ms)));
        let mut queue = RequestQueue::new(QueueLimits::default());
        queue.set_cold_start(ColdStart::new(now));
        let state = State {
            config: None,
            evacuations: Evacuations::default(),
            hosts: HostDirectory::default(),
            source_selector: UpdateSourceSelector::new(me, now),
            hosts_read: false,
            reads: LastReads::default(),
            load_balancers: Vec::new(),
            maps: Vec::new(),
            retry_budgets: Vec::new(),
            queue,
            waiters: Vec::new(),
            response_link: ResponseLink::new(settings.limits.link_bytes_per_ms()),
            bodies: BodyAdmission::new(settings.limits.bodies()),
            body_waiters: Vec::new(),
            key_requests: KeyRequestCounts::default(),
            ownership: KeyOwnership::new(me, process, timing, now),
            renewals: Renewals::default(),
            renewal_writers: RenewalWriterSelector::default(),
            suspects: CrashSuspects::default(),
            witness: Witness::default(),
            departures: DepartureLog::default(),
            deregistered_at: None,
            connect_failed_at: None,
            unreachable: Vec::new(),
        };
        let client_settings = http1::Settings {
            max_response_bytes: settings.limits.max_response_bytes(),
            may_reuse: adapter::allows_reuse,
            ..http1::Settings::default()
        };
        let backend = http1::Client::new(settings.backend_server, client_settings, clock.clone());
        let grant_client =
            http1::Client::new(settings.backend_server, http1::Settings::default(), clock.clone());
        let memory = MemoryAccount::new(settings.limits.held_bytes(), clock.clone());
        let accepted = Connections::new(&settings.limits, &memory);
        Rc::new(Self {
            me,
            state: RefCell::new(state),
            backend,
            grant_client,
            memory,
            accepted,
            host_connections: HostConnections::default(),
            store: adapter::StoreClient::new(settings.store, clock.clone()),
            process,
            changed: Notify::new(),
            newer_config: Notify::new(),
            peer_config_version: Cell::new(0),
            ownership_due: Notify::new(),
            renewals_due: Notify::new(),
            departure_due: Notify::new(),
            grants_due: Notify::new(),
            unreadable_leases: RefCell::default(),
            close_connections: Notify::new(),
            stopping: Cell::new(false),
            rejecting: Cell::new(false),
            in_flight: Cell::new(0),
            writing: Rc::default(),
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

    /// Returns whether the backend server of this host owns keys.
    pub fn owns_keys(&self) -> bool {
        self.own_service().is_some_and(|s| s.keyed)
    }

    /// Returns how grants reach the backend server of this host.
    pub fn grant_delivery(&self) -> GrantDelivery {
        self.own_service().map_or(GrantDelivery::HeartbeatReply, |s| s.grant_delivery)
    }

    /// Returns how many connections the backend server of this host accepts.
    pub fn connections(&self) -> usize {
        self.own_service().map_or(usize::MAX, |s| s.max_connections)
    }

    fn own_service(&self) -> Option<Service> {
        let state = self.state.borrow();
        state.config.as_ref()?.config.service(&self.settings.service).cloned()
    }

    /// Returns the hosts of this region that may be chosen as update source.
    pub fn source_candidates(&self) -> UpdateSourceCandidates {
        let state = self.state.borrow();
        let own = &self.settings.zone;
        let mut same_zone = Vec::new();
        let mut earlier_zones = Vec::new();
        for (host, row) in state.hosts.iter() {
            if row.zone == *own {
                same_zone.push(host);
            } else if row.zone < *own && self.settings.distance(&row.zone) == Distance::SameRegion {
                earlier_zones.push((&row.zone, host));
            }
        }
        earlier_zones.sort();
        UpdateSourceCandidates {
            same_zone,
            earlier_zones: earlier_zones.into_iter().map(|(_, host)| host).collect(),
        }
    }

    /// Returns whether this process has to read the store itself.
    pub fn reads_store(&self) -> bool {
        let candidates = self.source_candidates();
        self.state.borrow().source_selector.should_read_store(&candidates, self.now())
    }

    /// Records that this process read a part of the store.
    pub fn record_read(&self, part: StorePart) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        match part {
            StorePart::Config => state.reads.config = Some(now),
            StorePart::Fleet => state.reads.fleet = Some(now),
        }
        // All data is only as recent as the part that was read less recently.
        if let LastReads { config: Some(config), fleet: Some(fleet) } = state.reads {
            state.source_selector.record_contact(config.min(fleet));
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records the configuration version that another host reported.
    pub fn observe_config_version(&self, version: u64) {
        if version > self.version() {
            self.peer_config_version.set(self.peer_config_version.get().max(version));
            self.newer_config.notify_one();
        }
    }

    /// Merges what another host reports about requests that crash backend servers.
    pub fn merge_suspects(&self, update: &SuspectUpdate) {
        let now = self.now();
        let new = self.state.borrow_mut().suspects.apply_peer_update(update, now);
        if new {
            info!(
                "event=suspects-received suspects={:x?} refused={:x?}",
                update.suspects, update.quarantined
            );
        }
    }

    /// Returns how many distinct requests are quarantined because they crash backend servers.
    pub fn quarantined_count(&self) -> usize {
        self.state.borrow().suspects.quarantined_count(self.now())
    }

    /// Returns what is reported to other hosts about requests that crash backend servers.
    pub fn suspect_update(&self) -> SuspectUpdate {
        self.state.borrow().suspects.pending_update(self.now())
    }

    /// Returns the load of the backend server, as reported to other hosts.
    pub fn load_report(&self) -> LoadReport {
        let state = self.state.borrow();
        let queue = &state.queue;
        let saturating_u16 = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        LoadReport {
            running: saturating_u16(queue.running()),
            waiting: saturating_u16(queue.waiting()),
            slots: saturating_u16(queue.usable_slots(self.now())),
            mean_run_ms: u32::try_from(queue.mean_run_time().0).unwrap_or(u32::MAX),
            accepting: state.deregistered_at.is_none()
                && state.ownership.backend_serving()
                && !state.evacuations.is_evacuated(&self.settings.zone)
                && !self.stopping.get(),
            body_wait_ms: u32::try_from(state.bodies.expected_wait().0).unwrap_or(u32::MAX),
            link_bytes_per_ms: self.settings.limits.bodies().bytes_per_ms as u32,
        }
    }

    /// Returns what this host tells about requests of a class.
    pub fn class_load(&self, class: u64) -> ClassLoad {
        let state = self.state.borrow();
        let saturating_u32 = |m: Millis| u32::try_from(m.0).unwrap_or(u32::MAX);
        ClassLoad {
            run_ms: state.queue.class_run_time(class).map_or(0, saturating_u32),
            delivery_ms: saturating_u32(state.response_link.expected_delivery(class, self.now())),
        }
    }

    /// Records what a host told about requests like `forward`.
    pub fn record_class_load(&self, host: HostAddr, forward: &Forward, load: ClassLoad) {
        let mut state = self.state.borrow_mut();
        let Ok(service) = ServiceName::new(&forward.service) else { return };
        state.load_balancer(&service).class_reported(host, forward.class, load);
    }

    /// Starts queued requests while slots are free, and fails those that can no longer finish in
    /// time.
    pub fn start_queued(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let (started, late) = state.queue.dispatch(now);
        let decided = started.into_iter().map(|id| (id, WaitOutcome::Start));
        for (job_id, outcome) in
            decided.chain(late.into_iter().map(|id| (id, WaitOutcome::Expired)))
        {
            let Some(at) = state.waiters.iter().position(|(id, _)| *id == job_id) else { continue };
            let (_, tx) = state.waiters.swap_remove(at);
            // A request that was cancelled has dropped its `QueueGuard` or is about to.
            let _ = tx.send(outcome);
        }
    }
}

/// Returns the id of the group of hosts that may be lost together with those of a zone.
pub fn failure_domain(zone: &ZoneName) -> u64 {
    xxh3_64(zone.as_str().as_bytes())
}

impl State {
    /// Updates the hosts from which witnesses of this host's lease are chosen.
    pub fn update_peers(&mut self, service: &ServiceName) {
        let of_service = self.hosts.iter().filter(|(_, row)| row.service == *service);
        let peers = of_service.map(|(host, row)| PeerHost {
            host,
            process: row.process,
            failure_domain: failure_domain(&row.zone),
        });
        let peers = peers.collect();
        self.ownership.set_peers(peers);
    }

    /// Updates the load balancers of all services after a host row changed.
    pub fn host_changed(
        &mut self,
        host: HostAddr,
        settings: &Settings,
        distance: impl Fn(&HostRow) -> Distance,
    ) {
        let row = self.hosts.get(host).cloned();
        let service = row.as_ref().map(|r| &r.service);
        let others = self.load_balancers.iter_mut().filter(|(s, _)| Some(s) != service);
        others.for_each(|(_, balancer)| balancer.remove(host));
        if let Some(row) = row {
            // Settings from before a zone was added don't tell its region. It counts as one of its
            // own, to which no restricted request is sent.
            let known = settings.regions.get(&row.zone).cloned();
            let Some(region) = known.or_else(|| RegionName::new(row.zone.as_str()).ok()) else {
                return;
            };
            let balancer = load_balancer_mut(&mut self.load_balancers, &row.service);
            balancer.add(host, distance(&row), region);
        }
    }

    /// Stores a key map. Returns false if it is not newer than the known one.
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

    /// Returns the load balancer of a service.
    pub fn load_balancer(&mut self, service: &ServiceName) -> &mut LoadBalancer {
        load_balancer_mut(&mut self.load_balancers, service)
    }

    /// Returns the retry budget of a service, creating it if needed.
    pub fn retry_budget(&mut self, service: &ServiceName, settings: &Settings) -> &mut RetryBudget {
        let at = match self.retry_budgets.binary_search_by(|(s, _)| s.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let budget = RetryBudget::new(settings.retry_budget());
                self.retry_budgets.insert(at, (service.clone(), budget));
                at
            }
        };
        &mut self.retry_budgets[at].1
    }
}

fn load_balancer_mut<'a>(
    all: &'a mut Vec<(ServiceName, LoadBalancer)>,
    service: &ServiceName,
) -> &'a mut LoadBalancer {
    let at = match all.binary_search_by(|(s, _)| s.cmp(service)) {
        Ok(at) => at,
        Err(at) => {
            all.insert(at, (service.clone(), LoadBalancer::default()));
            at
        }
    };
    &mut all[at].1
}
