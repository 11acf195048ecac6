//! Starts and stops the components of a host process.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use actix::Actor;
use admission::Queue;
use client_memory::{MemoryAccount, max_descriptors, max_other_connections};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use model::{Clock, HostAddr, Incarnation, Millis, Partition};
use ownership::{Node, NodeSettings};
use papayarill_config::Config;
use platform::PlatformClient;
use snafu::{ResultExt, Snafu};
use tokio::sync::{Notify, mpsc, watch};

use crate::backend::Backend;
use crate::callers::CallersState;
use crate::config_watch::ConfigInForce;
use crate::context::{Cx, HostContext};
use crate::decisions::DecisionLog;
use crate::ingress::Ingress;
use crate::listener::{Listener, ListenerOptions};
use crate::membership::Membership;
use crate::operators::Operators;
use crate::owner::Owner;
use crate::routes::Routes;
use crate::settings::Settings;
use crate::{announce, callers, config_watch, drain, owner, peers, routes};

/// The tick interval of the queue while requests wait in it.
const BUSY_QUEUE_INTERVAL: Duration = Duration::from_millis(Queue::TICK.0);

/// The tick interval of the queue while it is empty.
const IDLE_QUEUE_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which expired request records are removed.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// How long a stop waits for streams from other host processes to finish.
const STREAM_SHUTDOWN_TIMEOUT: Millis = Millis(5_000);

/// Why a host process did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Listening on an address failed.
    #[snafu(display("cannot listen on {addr} for {part}: {source}"))]
    Listen {
        /// The purpose of the listener.
        part: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Starting the server for other host processes failed.
    #[snafu(display("{source}"))]
    Hosts {
        /// The error of the server.
        source: wire::ServeError,
    },
}

/// The addresses on which a host process listens, with the actual ports.
#[derive(Clone, Copy, Debug)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other host processes.
    pub hosts: SocketAddr,
    /// For the backend server.
    pub backend: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl fmt::Display for BoundAddresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, hosts, backend, operators } = self;
        write!(f, "callers={callers} hosts={hosts} backend={backend} operators={operators}")
    }
}

/// A host process that runs on this thread.
pub struct RunningHost {
    /// The addresses it listens on.
    pub addresses: BoundAddresses,
    cx: Cx,
    hosts: Rc<wire::Server>,
    listeners: [Listener; 3],
}

struct Listeners {
    hosts: TcpListener,
    http: HttpListeners,
    addresses: BoundAddresses,
}

struct HttpListeners {
    callers: TcpListener,
    backend: TcpListener,
    operators: TcpListener,
}

fn bind(part: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { part, addr })?;
    let bound = listener.local_addr().context(ListenSnafu { part, addr })?;
    Ok((listener, bound))
}

fn bind_all(settings: &Settings) -> Result<Listeners, StartError> {
    let listen = settings.listen;
    let (callers, callers_addr) = bind("callers", listen.callers)?;
    let (hosts, hosts_addr) = bind("host processes", listen.hosts)?;
    let (backend, backend_addr) = bind("the backend server", listen.backend)?;
    let (operators, operators_addr) = bind("operators", listen.operators)?;
    let addresses = BoundAddresses {
        callers: callers_addr,
        hosts: hosts_addr,
        backend: backend_addr,
        operators: operators_addr,
    };
    let http = HttpListeners { callers, backend, operators };
    Ok(Listeners { hosts, http, addresses })
}

/// Starts a host process on this thread, which must run an actix system.
///
/// The listeners are open when this returns. The host joins its cell once it has a configuration
/// that contains its service.
pub async fn start(settings: Settings) -> Result<RunningHost, StartError> {
    let listeners = bind_all(&settings)?;
    let addresses = listeners.addresses;
    let (events, events_rx) = mpsc::unbounded_channel();
    let cx = new_context(settings, HostAddr(addresses.hosts), events);
    let membership = Membership::new(cx.clone()).launch(events_rx);
    let hosts =
        wire::serve(listeners.hosts, peers::handlers(&cx, &membership)).context(HostsSnafu)?;
    let hosts = Rc::new(hosts);
    let listeners = start_listeners(&cx, &hosts, listeners.http, addresses)?;
    actix_rt::spawn(cx.memory.clone().close_stalled_holders());
    actix_rt::spawn(routes::refresh_tables(cx.clone()));
    actix_rt::spawn(config_watch::poll(cx.clone()));
    actix_rt::spawn(housekeeping(cx.clone()));
    log::info!("host: Started, {addresses}.");
    Ok(RunningHost { addresses, cx, hosts, listeners })
}

fn new_context(
    settings: Settings,
    addr: HostAddr,
    events: mpsc::UnboundedSender<ownership::Event>,
) -> Cx {
    let incarnation = Incarnation(rand::random());
    let no_partitions = (Partition(0), Partition(0));
    let node = Node::new(node_settings(&settings, addr, incarnation, no_partitions));
    let platform = PlatformClient::new(settings.platform, settings.platform_time_limit);
    Rc::new(HostContext {
        boot_clock: Clock::boot(),
        wall_clock: Clock::wall(),
        addr,
        incarnation,
        node: RefCell::new(node),
        joined: Cell::new(false),
        config: ConfigInForce::new(),
        owner: Owner::new(),
        backend: Backend::new(),
        routes: Routes::new(),
        client: wire::Client::new(wire::ClientSettings::default()),
        platform,
        memory: MemoryAccount::new(settings.limits.held_bytes(), Clock::boot()),
        decisions: DecisionLog::default(),
        events,
        draining: Cell::new(false),
        drain_requested: Notify::new(),
        drained: Notify::new(),
        draining_updates: watch::Sender::new(false),
        config_updates: watch::Sender::new(Arc::new(Config::default())),
        settings,
    })
}

fn node_settings(
    settings: &Settings,
    addr: HostAddr,
    incarnation: Incarnation,
    partitions: (Partition, Partition),
) -> NodeSettings {
    NodeSettings {
        cell: settings.cell.clone(),
        addr,
        incarnation,
        zone: settings.zone.clone(),
        partitions,
        timing: settings.timing,
    }
}

/// Creates the node and joins the cell once the configuration contains this host's service. The
/// configuration is needed to know which partitions the cell has.
pub(crate) fn join_when_configured(cx: &Cx) {
    if cx.joined.get() {
        return;
    }
    let Some(service) = cx.own_service() else {
        log::warn!("host: Service {} is not in the configuration.", cx.settings.cell.service);
        return;
    };
    let partitions = service.cell_partitions(cx.settings.cell.index);
    let mut settings = node_settings(&cx.settings, cx.addr, cx.incarnation, partitions);
    settings.timing.unfenced_grace = service.unfenced_grace;
    cx.node.replace(Node::new(settings));
    cx.joined.set(true);
    log::info!("host: Joins the cell {}.", cx.settings.cell);
}

fn start_listeners(
    cx: &Cx,
    hosts: &Rc<wire::Server>,
    listeners: HttpListeners,
    addresses: BoundAddresses,
) -> Result<[Listener; 3], StartError> {
    let options = |name, max_connections| ListenerOptions {
        name,
        max_connections,
        memory: cx.memory.clone(),
        draining: cx.draining_updates.subscribe(),
    };
    let max_others = max_other_connections(max_descriptors());
    let state = Rc::new(CallersState {
        config: cx.config_updates.subscribe(),
        ingress: Ingress::new(cx.clone()).start(),
        wall_clock: cx.wall_clock.clone(),
        memory: cx.memory.clone(),
    });
    let callers = options("callers", cx.settings.limits.max_caller_connections());
    let callers = Listener::start(listeners.callers, callers, move |holder, req| {
        let state = state.clone();
        async move { callers::handle(&state, holder, req).await }
    });
    let announcing = cx.clone();
    let backend = options("the backend server", max_others);
    let backend = Listener::start(listeners.backend, backend, move |holder, req| {
        let cx = announcing.clone();
        async move { announce::handle(&cx, holder, req).await }
    });
    let handlers =
        Rc::new(Operators { cx: cx.clone(), hosts: hosts.clone(), metrics: metrics_handle() });
    let operators = options("operators", max_others);
    let operators = Listener::start(listeners.operators, operators, move |holder, req| {
        let handlers = handlers.clone();
        async move { handlers.handle(holder, req).await }
    });
    Ok([
        callers.context(ListenSnafu { part: "callers", addr: addresses.callers })?,
        backend.context(ListenSnafu { part: "the backend server", addr: addresses.backend })?,
        operators.context(ListenSnafu { part: "operators", addr: addresses.operators })?,
    ])
}

/// Returns the metrics of this OS process, shared by all hosts that run in it.
fn metrics_handle() -> Arc<PrometheusHandle> {
    static HANDLE: OnceLock<Arc<PrometheusHandle>> = OnceLock::new();
    let handle = HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // The program that embeds this library may have installed another recorder.
        let _ = metrics::set_global_recorder(recorder);
        Arc::new(handle)
    });
    handle.clone()
}

/// Ticks the queue, removes expired request records and summarizes metrics. Runs until the process
/// ends.
async fn housekeeping(cx: Cx) {
    let mut expired_at = cx.now();
    loop {
        let busy = cx.owner.waiting() > 0;
        tokio::time::sleep(if busy { BUSY_QUEUE_INTERVAL } else { IDLE_QUEUE_INTERVAL }).await;
        owner::tick(&cx);
        if cx.now().since(expired_at) >= EXPIRY_INTERVAL {
            expired_at = cx.now();
            owner::expire_records(&cx);
            // Without it, the recorder keeps each sample until the metrics are read.
            metrics_handle().run_upkeep();
        }
    }
}

/// A handle to start draining a running host process.
pub struct DrainHandle {
    cx: Cx,
}

impl DrainHandle {
    /// Starts draining. Further calls have no effect.
    pub fn begin(&self) {
        drain::begin(&self.cx);
    }
}

impl RunningHost {
    /// Returns a handle to start draining this host process.
    pub fn drain_handle(&self) -> DrainHandle {
        DrainHandle { cx: self.cx.clone() }
    }

    /// Waits until the host is asked to drain and has drained, then stops it.
    pub async fn stopped(self) {
        self.cx.drain_requested.notified().await;
        drain::wait_until_drained(&self.cx).await;
        for listener in &self.listeners {
            listener.stop().await;
        }
        let remaining = self.hosts.stop(STREAM_SHUTDOWN_TIMEOUT).await;
        log::info!("host: Stopped with {remaining} connections from other hosts still open.");
    }
}
