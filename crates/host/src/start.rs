//! Starts and stops the parts of a host process.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use actix::Actor;
use actix_web::dev::ServerHandle;
use admission::Queue;
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
use crate::decisions::DecisionLog;
use crate::ingress::Ingress;
use crate::membership::Membership;
use crate::operators::Operators;
use crate::owner::Owner;
use crate::routes::Routes;
use crate::settings::Settings;
use crate::shared::{Cx, Shared};
use crate::{announce, callers, config_watch, drain, operators, owner, peers, routes};

/// The pause between two looks at a queue in which requests wait.
const QUEUE_INTERVAL: Duration = Duration::from_millis(Queue::TICK.0);

/// The pause between two looks at an empty queue.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The pause between two looks at the request records.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// How long streams of other host processes may take to finish at a stop.
const STREAM_TIME_LIMIT: Millis = Millis(5_000);

/// Why a host process did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr} for {part}: {source}"))]
    Listen {
        /// What the listener is for.
        part: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The listener for host processes cannot be used.
    #[snafu(display("{source}"))]
    Hosts {
        /// Why.
        source: wire::ServeError,
    },
}

/// Where a host process listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other host processes.
    pub hosts: SocketAddr,
    /// For the backend server.
    pub backend: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, hosts, backend, operators } = self;
        write!(f, "callers={callers} hosts={hosts} backend={backend} operators={operators}")
    }
}

/// A host process that runs on this thread.
pub struct Running {
    /// Where it listens.
    pub addresses: Addresses,
    cx: Cx,
    hosts: Rc<wire::Server>,
    servers: Vec<ServerHandle>,
}

struct Listeners {
    hosts: TcpListener,
    http: HttpListeners,
    addresses: Addresses,
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
    let addresses = Addresses {
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
/// The listeners are open when this returns. The host joins its cell as soon as it has read a
/// configuration that names its service.
pub async fn start(settings: Settings) -> Result<Running, StartError> {
    let listeners = bind_all(&settings)?;
    let addresses = listeners.addresses;
    let (events, events_rx) = mpsc::unbounded_channel();
    let cx = shared(settings, HostAddr(addresses.hosts), events);
    let membership = Membership::new(cx.clone()).launch(events_rx);
    let hosts =
        wire::serve(listeners.hosts, peers::handlers(&cx, &membership)).context(HostsSnafu)?;
    let hosts = Rc::new(hosts);
    let servers = start_servers(&cx, &hosts, listeners.http, addresses)?;
    actix_rt::spawn(routes::keep_fresh(cx.clone()));
    actix_rt::spawn(config_watch::poll(cx.clone()));
    actix_rt::spawn(housekeeping(cx.clone()));
    log::info!("host: Started, {addresses}.");
    Ok(Running { addresses, cx, hosts, servers })
}

fn shared(
    settings: Settings,
    addr: HostAddr,
    events: mpsc::UnboundedSender<ownership::Event>,
) -> Cx {
    let incarnation = Incarnation(rand::random());
    let nothing = (Partition(0), Partition(0));
    let node = Node::new(node_settings(&settings, addr, incarnation, nothing));
    let platform = PlatformClient::new(settings.platform, settings.platform_time_limit);
    Rc::new(Shared {
        clock: Clock::boot(),
        wall: Clock::wall(),
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
        decisions: DecisionLog::default(),
        events,
        draining: Cell::new(false),
        drain_asked: Notify::new(),
        drained: Notify::new(),
        leaving: watch::Sender::new(false),
        published: watch::Sender::new(Arc::new(Config::default())),
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

/// Makes the node as soon as the configuration names this host's service, because only the
/// configuration tells which partitions the cell holds.
pub(crate) fn join_when_configured(cx: &Cx) {
    if cx.joined.get() {
        return;
    }
    let Some(service) = cx.own_service() else {
        log::warn!("host: The configuration has no service {}.", cx.settings.cell.service);
        return;
    };
    let partitions = service.cell_partitions(cx.settings.cell.index);
    let mut settings = node_settings(&cx.settings, cx.addr, cx.incarnation, partitions);
    settings.timing.unfenced_grace = service.unfenced_grace;
    cx.node.replace(Node::new(settings));
    cx.joined.set(true);
    log::info!("host: Joins the cell {}.", cx.settings.cell);
}

fn start_servers(
    cx: &Cx,
    hosts: &Rc<wire::Server>,
    listeners: HttpListeners,
    addresses: Addresses,
) -> Result<Vec<ServerHandle>, StartError> {
    let state = CallersState {
        config: cx.published.subscribe(),
        ingress: Ingress::new(cx.clone()).start(),
        wall: cx.wall.clone(),
        leaving: cx.leaving.subscribe(),
    };
    let operators = Operators { cx: cx.clone(), hosts: hosts.clone() }.start();
    let servers = [
        callers::listen(listeners.callers, state)
            .context(ListenSnafu { part: "callers", addr: addresses.callers })?,
        announce::listen(listeners.backend, cx)
            .context(ListenSnafu { part: "the backend server", addr: addresses.backend })?,
        operators::listen(listeners.operators, operators, metrics_handle())
            .context(ListenSnafu { part: "operators", addr: addresses.operators })?,
    ];
    Ok(servers
        .into_iter()
        .map(|server| {
            let handle = server.handle();
            actix_rt::spawn(server);
            handle
        })
        .collect())
}

/// Returns the process's metrics. Several host processes in one process share them.
fn metrics_handle() -> Arc<PrometheusHandle> {
    static HANDLE: OnceLock<Arc<PrometheusHandle>> = OnceLock::new();
    let handle = HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder may have been installed by the program that embeds this library.
        let _ = metrics::set_global_recorder(recorder);
        Arc::new(handle)
    });
    handle.clone()
}

/// Lets time pass for the queue and the records.
async fn housekeeping(cx: Cx) {
    let mut expired_at = cx.now();
    loop {
        let busy = cx.owner.waiting() > 0;
        tokio::time::sleep(if busy { QUEUE_INTERVAL } else { IDLE_INTERVAL }).await;
        owner::tick(&cx);
        if cx.now().since(expired_at) >= EXPIRY_INTERVAL {
            expired_at = cx.now();
            owner::expire_records(&cx);
        }
    }
}

/// Asks a running host process to leave its cell.
pub struct Drainer {
    cx: Cx,
}

impl Drainer {
    /// Asks the host process to leave. Further calls change nothing.
    pub fn begin(&self) {
        drain::begin(&self.cx);
    }
}

impl Running {
    /// Returns what asks this host process to leave its cell.
    pub fn drainer(&self) -> Drainer {
        Drainer { cx: self.cx.clone() }
    }

    /// Waits until the host was asked to leave and has nothing left to do, then stops it.
    pub async fn stopped(self) {
        self.cx.drain_asked.notified().await;
        drain::finished(&self.cx).await;
        for server in &self.servers {
            server.stop(true).await;
        }
        let left = self.hosts.stop(STREAM_TIME_LIMIT).await;
        log::info!("host: Stopped, {left} connections of other host processes were left.");
    }
}
