//! The server: accepts connections from other hosts and runs the handlers.

mod connection_table;
mod stream;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use h2::server::{Builder, Connection};
use log::{debug, info, warn};
use model::{HostAddr, Millis, Outcome};
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

use self::connection_table::{ConnectionEntry, ConnectionTable};
use crate::liveness::LivenessProbe;
use crate::meter::Metered;
use crate::settings::{
    BlockedPeers, MAX_HEADER_BYTES, SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES, ServerSettings,
    connection_window,
};
use crate::{Body, Call, ForwardHead, Reply, ResponseHead};

/// Delay before accepting again after an error, such as running out of file descriptors.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// Handles a call and returns its reply.
pub type OnCall = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Reply>>;

/// Handles a forwarded request.
pub type OnForward =
    Rc<dyn Fn(ForwardHead, Bytes) -> LocalBoxFuture<'static, Outcome<(ResponseHead, Body)>>>;

/// The handlers of a server. A handler's future is dropped if the client resets its stream or
/// disconnects.
#[derive(Clone)]
pub struct Handlers {
    /// Handles a call and returns its reply.
    pub on_call: OnCall,
    /// Handles a forwarded request. The body is complete and has the announced length.
    pub on_forward: OnForward,
}

/// Why a server did not start.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The listening socket could not be set up.
    #[snafu(display("cannot set up the listening socket: {source}"))]
    Listener {
        /// The error of the operating system.
        source: io::Error,
    },
}

/// Lifecycle of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Accepts and serves connections.
    Serving,
    /// Drops all connections, including new ones, until the simulated network partition ends.
    Blocked,
    /// Finishes active streams, and accepts no new connections.
    Stopping,
    /// Drops all connections.
    Stopped,
}

/// State shared by all connections of a server.
struct Context {
    handlers: Handlers,
    settings: ServerSettings,
    /// One permit per byte of memory for received requests.
    buffer_memory: Semaphore,
    table: RefCell<ConnectionTable>,
    connections: watch::Sender<usize>,
}

/// A running server. Dropping it closes its connections immediately.
pub struct Server {
    addr: HostAddr,
    phase: watch::Sender<Phase>,
    connections: watch::Receiver<usize>,
    stopping: Cell<bool>,
}

/// Starts a server with the default settings. Must be called inside a local task set.
pub fn serve(listener: std::net::TcpListener, handlers: Handlers) -> Result<Server, ServeError> {
    serve_with(listener, handlers, ServerSettings::default())
}

/// Starts a server. Must be called inside a local task set.
pub fn serve_with(
    listener: std::net::TcpListener,
    handlers: Handlers,
    settings: ServerSettings,
) -> Result<Server, ServeError> {
    listener.set_nonblocking(true).context(ListenerSnafu)?;
    let listener = TcpListener::from_std(listener).context(ListenerSnafu)?;
    let addr = listener.local_addr().context(ListenerSnafu)?;
    let (phase, phase_rx) = watch::channel(Phase::Serving);
    let (connections, connections_rx) = watch::channel(0);
    let buffer_memory = Semaphore::new(settings.max_buffered_bytes.min(Semaphore::MAX_PERMITS));
    let table = RefCell::default();
    let cx = Rc::new(Context { handlers, settings, buffer_memory, table, connections });
    tokio::task::spawn_local(accept(cx, listener, phase_rx));
    let stopping = Cell::new(false);
    Ok(Server { addr: HostAddr(addr), phase, connections: connections_rx, stopping })
}

/// Queries.
impl Server {
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> HostAddr {
        self.addr
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        *self.connections.borrow()
    }
}

/// Commands.
impl Server {
    /// Makes the server unreachable or reachable again, to simulate a network partition in tests.
    pub fn block_peers(&self, blocked: BlockedPeers) {
        let phase = match blocked {
            BlockedPeers::All => Phase::Blocked,
            BlockedPeers::None | BlockedPeers::Peers(_) => Phase::Serving,
        };
        if !self.stopping.get() {
            self.phase.send_replace(phase);
        }
    }

    /// Stops accepting connections, waits up to `limit` for active streams to finish, then closes
    /// the remaining connections. Returns how many connections remained.
    pub async fn stop(&self, limit: Millis) -> usize {
        self.stopping.set(true);
        self.phase.send_replace(Phase::Stopping);
        let mut connections = self.connections.clone();
        let drained = connections.wait_for(|count| *count == 0);
        let finished = timeout(Duration::from(limit), drained).await.is_ok();
        let remaining = if finished { 0 } else { self.connections() };
        self.phase.send_replace(Phase::Stopped);
        remaining
    }
}

async fn accept(cx: Rc<Context>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = phase.changed() => match changed.map(|()| *phase.borrow()) {
                Ok(Phase::Serving | Phase::Blocked) => continue,
                Ok(Phase::Stopping | Phase::Stopped) | Err(_) => return,
            },
        };
        match accepted {
            Ok((io, peer)) if *phase.borrow() == Phase::Serving => admit(&cx, io, peer, &phase),
            Ok(_) => {}
            Err(e) => {
                warn!("wire: cannot accept a connection: {e}");
                sleep(ACCEPT_RETRY_DELAY.into()).await;
            }
        }
    }
}

/// Starts to serve a connection. At the limit of connections, evicts the least recently used idle
/// one; if none is idle, closes the new one.
fn admit(cx: &Rc<Context>, io: TcpStream, addr: SocketAddr, phase: &watch::Receiver<Phase>) {
    let full = cx.table.borrow().len() >= cx.settings.max_connections;
    if full && !cx.table.borrow_mut().evict_idle() {
        info!("wire: rejected a connection from {addr}: too many connections");
        return;
    }
    let entry = cx.table.borrow_mut().add();
    cx.connections.send_modify(|count| *count += 1);
    let (cx, phase) = (cx.clone(), phase.clone());
    tokio::task::spawn_local(async move {
        let end = run_connection(&cx, &entry, io, phase).await;
        debug!("wire: connection from {addr} ended: {end}");
        cx.table.borrow_mut().remove(&entry);
        cx.connections.send_modify(|count| *count -= 1);
    });
}

/// Serves one connection until it ends, and returns the reason.
async fn run_connection(
    cx: &Rc<Context>,
    entry: &Rc<ConnectionEntry>,
    io: TcpStream,
    phase: watch::Receiver<Phase>,
) -> String {
    if let Err(e) = io.set_nodelay(true) {
        return e.to_string();
    }
    let traffic = Rc::default();
    let io = Metered::new(io, Rc::clone(&traffic), Rc::default());
    let opening = timeout(cx.settings.read_timeout.into(), handshake(cx, io));
    let mut conn = match opening.await {
        Ok(Ok(conn)) => conn,
        Ok(Err(e)) => return e.to_string(),
        Err(_) => return "handshake timed out".to_owned(),
    };
    let Some(pings) = conn.ping_pong() else { return "ping handle is already taken".to_owned() };
    let (interval, limit) = (cx.settings.ping_interval, cx.settings.ping_timeout);
    tokio::select! {
        end = serve_streams(cx, entry, conn, phase) => end,
        () = LivenessProbe::new(pings, traffic).wait_until_unresponsive(interval, limit) => {
            "the peer stopped responding".to_owned()
        }
    }
}

/// Spawns a task for each stream until the connection ends, and returns the reason.
async fn serve_streams(
    cx: &Rc<Context>,
    entry: &Rc<ConnectionEntry>,
    mut conn: Connection<Metered, Bytes>,
    mut phase: watch::Receiver<Phase>,
) -> String {
    phase.mark_changed();
    loop {
        tokio::select! {
            stream = conn.accept() => match stream {
                Some(Ok((req, tx))) => {
                    let active = entry.start_stream();
                    tokio::task::spawn_local(stream::serve(cx.clone(), active, req, tx));
                }
                Some(Err(e)) => return e.to_string(),
                None => return "closed".to_owned(),
            },
            changed = phase.changed() => match changed.map(|()| *phase.borrow()) {
                Ok(Phase::Serving) => {}
                Ok(Phase::Stopping) => conn.graceful_shutdown(),
                Ok(Phase::Blocked | Phase::Stopped) | Err(_) => return "aborted locally".to_owned(),
            },
            () = entry.evicted() => conn.graceful_shutdown(),
        }
    }
}

async fn handshake(cx: &Context, io: Metered) -> Result<Connection<Metered, Bytes>, h2::Error> {
    Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(connection_window(cx.settings.max_streams))
        .max_concurrent_streams(cx.settings.max_streams)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .handshake(io)
        .await
}
