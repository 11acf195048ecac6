//! A backend server for tests: it speaks the whole protocol with its host process, runs requests
//! that do nothing for as long as they ask, and shows faults on demand.

mod announce;
mod control;
pub mod protocol;
mod requests;
mod state;

use std::any::Any;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use actix_web::dev::{Extensions, ServerHandle};
use actix_web::{App, HttpServer, web};
use bytes::Bytes;
use model::{Clock, Millis};
use snafu::{ResultExt, Snafu};
use tokio::sync::Notify;

pub use self::protocol::{Announcement, FaultSettings, FenceChecking, Phase, Run, RunOutcome};
pub use self::requests::filler_byte;
pub use self::state::{BackendState, RejectReason, RequestInfo, StartedRun};

/// The largest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The exit status of a stand-in that was told to crash.
const CRASH_STATUS: i32 = 86;

/// Seconds that a stop waits for running requests.
const STOP_LIMIT_S: u64 = 30;

/// Why a backend server did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
}

/// How a backend server behaves, with chained setters.
#[derive(Clone)]
pub struct BackendSettings {
    listen: SocketAddr,
    announce: Option<SocketAddr>,
    service: String,
    slots: u32,
    connections: u32,
    fences: FenceChecking,
    cold_time: Millis,
    clock: Clock,
    on_crash: Arc<dyn Fn() + Send + Sync>,
}

impl BackendSettings {
    /// Makes settings for a server of `service` that listens on a free port of loopback.
    pub fn new(service: &str) -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            announce: None,
            service: service.to_owned(),
            slots: 6,
            connections: 110,
            fences: FenceChecking::Checked,
            cold_time: Millis::ZERO,
            clock: Clock::boot(),
            on_crash: Arc::new(|| std::process::exit(CRASH_STATUS)),
        }
    }

    model::setters! {
        /// Where to listen.
        listen: SocketAddr,
        /// The host process to announce the server to.
        announce: Option<SocketAddr>,
        /// Requests that run at the same time; more are refused.
        slots: u32,
        /// Connections that are accepted at the same time.
        connections: u32,
        /// Whether grants and fences are checked.
        fences: FenceChecking,
        /// How long the server is cold, and slow, after its start.
        cold_time: Millis,
        /// The clock of grants and of the run log.
        clock: Clock,
        /// What a crash does; it ends the process by default.
        on_crash: Arc<dyn Fn() + Send + Sync>,
    }
}

/// What all requests of a server share.
pub struct SharedState {
    service: String,
    addr: SocketAddr,
    slots: u32,
    connections: u32,
    fences: FenceChecking,
    clock: Clock,
    on_crash: Arc<dyn Fn() + Send + Sync>,
    filler: Bytes,
    state: Mutex<BackendState>,
    changed: Notify,
}

impl SharedState {
    fn new(settings: &BackendSettings, addr: SocketAddr) -> Self {
        let cold_until = settings.clock.now() + settings.cold_time;
        Self {
            service: settings.service.clone(),
            addr,
            slots: settings.slots,
            connections: settings.connections,
            fences: settings.fences,
            clock: settings.clock.clone(),
            on_crash: settings.on_crash.clone(),
            filler: requests::filler_block(),
            state: Mutex::new(BackendState::new(settings.slots, settings.fences, cold_until)),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drain(&self) {
        self.state().drain();
        self.changed.notify_one();
    }

    fn announcement(&self) -> Announcement {
        Announcement {
            service: self.service.clone(),
            addr: self.addr.to_string(),
            slots: self.slots,
            connections: self.connections,
            fences: self.fences,
            state: self.state().phase(self.clock.now()),
        }
    }
}

/// A running backend server. It runs until it is stopped or its actix system ends.
pub struct Backend {
    shared: Arc<SharedState>,
    server: ServerHandle,
    announcing: Option<actix_rt::task::JoinHandle<()>>,
}

/// Queries.
impl Backend {
    /// Returns where the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns every run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state().runs().to_vec()
    }
}

/// Commands.
impl Backend {
    /// Takes no new work from now on.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Stops announcing and serving; running requests finish.
    pub async fn stop(self) {
        if let Some(announcing) = self.announcing {
            announcing.abort();
        }
        self.server.stop(true).await;
    }
}

/// Starts a backend server in the running actix system.
pub fn start(settings: &BackendSettings) -> Result<Backend, StartError> {
    let listen = ListenSnafu { addr: settings.listen };
    let listener = TcpListener::bind(settings.listen).context(listen)?;
    let addr = listener.local_addr().context(listen)?;
    let shared = Arc::new(SharedState::new(settings, addr));
    let data = web::Data::from(shared.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(control::configure)
            .default_service(web::to(requests::handle))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .max_connections(settings.connections as usize)
        .disable_signals()
        .shutdown_timeout(STOP_LIMIT_S)
        .on_connect(store_socket)
        .listen(listener)
        .context(listen)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let announcing = settings.announce.map(|to| actix_rt::spawn(announce::run(shared.clone(), to)));
    Ok(Backend { shared, server: handle, announcing })
}

/// Keeps a handle to the socket of a connection, so that an answer can be lost on purpose.
fn store_socket(io: &dyn Any, data: &mut Extensions) {
    let Some(io) = io.downcast_ref::<actix_web::rt::net::TcpStream>() else { return };
    match io.as_fd().try_clone_to_owned() {
        Ok(fd) => drop(data.insert(Arc::new(TcpStream::from(fd)))),
        Err(e) => log::warn!("backend: socket cannot be kept: {e}"),
    }
}
