//! A backend server for tests. It implements the whole protocol with its host process, simulates
//! work by sleeping for the time that a request asks for, and injects faults on request.

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

/// The largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// The exit status after an injected crash.
const CRASH_EXIT_STATUS: i32 = 86;

/// How long a graceful stop waits for running requests, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 30;

/// Why a backend server did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The listening socket cannot be opened.
    #[snafu(display("cannot listen on {addr}: {source}"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Settings of a backend server, with chained setters.
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
    /// Returns the default settings for a server of `service`, which listens on a free loopback
    /// port.
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
            on_crash: Arc::new(|| std::process::exit(CRASH_EXIT_STATUS)),
        }
    }

    model::setters! {
        /// The address to listen on.
        listen: SocketAddr,
        /// The address at which the host process accepts announcements, if the server announces
        /// itself.
        announce: Option<SocketAddr>,
        /// The most requests that run concurrently; further ones are rejected.
        slots: u32,
        /// The most concurrent connections.
        connections: u32,
        /// Whether grants and fences are checked.
        fences: FenceChecking,
        /// How long the server stays cold, and therefore slow, after its start.
        cold_time: Millis,
        /// The clock for the expiry of grants and the times in the run log.
        clock: Clock,
        /// Called for an injected crash; exits the process by default.
        on_crash: Arc<dyn Fn() + Send + Sync>,
    }
}

/// State shared by all requests of a server.
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

/// Handle to a running backend server, which serves until it is stopped or its actix system ends.
pub struct Backend {
    shared: Arc<SharedState>,
    server: ServerHandle,
    announce_task: Option<actix_rt::task::JoinHandle<()>>,
}

/// Queries.
impl Backend {
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Returns the log of all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.state().runs().to_vec()
    }
}

/// Commands.
impl Backend {
    /// Starts draining: new requests are rejected.
    pub fn drain(&self) {
        self.shared.drain();
    }

    /// Stops announcing, then stops the server once running requests have finished.
    pub async fn stop(self) {
        if let Some(task) = self.announce_task {
            task.abort();
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
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .on_connect(store_socket)
        .listen(listener)
        .context(listen)?
        .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    let announce_task =
        settings.announce.map(|to| actix_rt::spawn(announce::run(shared.clone(), to)));
    Ok(Backend { shared, server: handle, announce_task })
}

/// Stores a handle to the socket of a connection, so that a fault can close it without a
/// response.
fn store_socket(io: &dyn Any, data: &mut Extensions) {
    let Some(io) = io.downcast_ref::<actix_web::rt::net::TcpStream>() else { return };
    match io.as_fd().try_clone_to_owned() {
        Ok(fd) => drop(data.insert(Arc::new(TcpStream::from(fd)))),
        Err(e) => log::warn!("backend: cannot duplicate the socket handle: {e}"),
    }
}
