//! The server side: accepts connections of other host processes and runs the handlers.

mod peers;
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

use self::peers::{Peer, Peers};
use crate::meter::Metered;
use crate::pulse::Pulse;
use crate::settings::{
    BlockedPeers, MAX_HEADER_BYTES, SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES, ServerSettings,
    connection_window,
};
use crate::{Body, Call, ForwardHead, Reply, ResponseHead};

/// The pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Answers a call.
pub type OnCall = Rc<dyn Fn(Call) -> LocalBoxFuture<'static, Reply>>;

/// Runs a forwarded request.
pub type OnForward =
    Rc<dyn Fn(ForwardHead, Bytes) -> LocalBoxFuture<'static, Outcome<(ResponseHead, Body)>>>;

/// What a server does with what it receives. A future is dropped when its peer goes away.
#[derive(Clone)]
pub struct Handlers {
    /// Answers a call.
    pub on_call: OnCall,
    /// Runs a forwarded request; the body is whole and has the announced length.
    pub on_forward: OnForward,
}

/// Why a server did not start.
#[derive(Debug, Snafu)]
pub enum ServeError {
    /// The listener cannot be used.
    #[snafu(display("the listener cannot be used: {source}"))]
    Listener {
        /// What the system said.
        source: io::Error,
    },
}

/// Whether connections are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// They are.
    Serving,
    /// They break, and new ones as well, until the test ends the cut.
    Blocked,
    /// Running streams finish; no new connection is accepted.
    Stopping,
    /// All break.
    Stopped,
}

/// What all connections of a server share.
struct Context {
    handlers: Handlers,
    settings: ServerSettings,
    buffered: Semaphore,
    peers: RefCell<Peers>,
    connections: watch::Sender<usize>,
}

/// A running server. Dropping it breaks its connections.
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
    let buffered = Semaphore::new(settings.max_buffered_bytes.min(Semaphore::MAX_PERMITS));
    let peers = RefCell::default();
    let cx = Rc::new(Context { handlers, settings, buffered, peers, connections });
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
    /// Makes the server unreachable or reachable again, for tests of partitions.
    pub fn block_peers(&self, blocked: BlockedPeers) {
        let phase = match blocked {
            BlockedPeers::All => Phase::Blocked,
            BlockedPeers::None | BlockedPeers::Peers(_) => Phase::Serving,
        };
        if !self.stopping.get() {
            self.phase.send_replace(phase);
        }
    }

    /// Stops accepting, lets running streams finish for at most `limit`, then breaks the rest.
    /// Returns how many connections were broken.
    pub async fn stop(&self, limit: Millis) -> usize {
        self.stopping.set(true);
        self.phase.send_replace(Phase::Stopping);
        let mut connections = self.connections.clone();
        let done = connections.wait_for(|count| *count == 0);
        let finished = timeout(Duration::from(limit), done).await.is_ok();
        let left = if finished { 0 } else { self.connections() };
        self.phase.send_replace(Phase::Stopped);
        left
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
                sleep(ACCEPT_PAUSE.into()).await;
            }
        }
    }
}

/// Starts to serve a connection. If there are too many, the one that was idle the longest makes
/// room; if none is idle, the new one is closed.
fn admit(cx: &Rc<Context>, io: TcpStream, addr: SocketAddr, phase: &watch::Receiver<Phase>) {
    let full = cx.peers.borrow().len() >= cx.settings.max_connections;
    if full && !cx.peers.borrow_mut().evict_idle() {
        info!("wire: connection of {addr} refused, as there are too many");
        return;
    }
    let peer = cx.peers.borrow_mut().add();
    cx.connections.send_modify(|count| *count += 1);
    let (cx, phase) = (cx.clone(), phase.clone());
    tokio::task::spawn_local(async move {
        let end = run_connection(&cx, &peer, io, phase).await;
        debug!("wire: connection of {addr} ended: {end}");
        cx.peers.borrow_mut().remove(&peer);
        cx.connections.send_modify(|count| *count -= 1);
    });
}

/// Serves one connection and returns why it ended.
async fn run_connection(
    cx: &Rc<Context>,
    peer: &Rc<Peer>,
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
        Err(_) => return "no handshake in time".to_owned(),
    };
    let Some(pings) = conn.ping_pong() else { return "pings are in use".to_owned() };
    let (interval, limit) = (cx.settings.ping_interval, cx.settings.ping_timeout);
    tokio::select! {
        end = serve_streams(cx, peer, conn, phase) => end,
        () = Pulse::new(pings, traffic).until_silent(interval, limit) => {
            "the peer stopped answering".to_owned()
        }
    }
}

/// Starts a task for each stream until the connection has to end.
async fn serve_streams(
    cx: &Rc<Context>,
    peer: &Rc<Peer>,
    mut conn: Connection<Metered, Bytes>,
    mut phase: watch::Receiver<Phase>,
) -> String {
    phase.mark_changed();
    loop {
        tokio::select! {
            stream = conn.accept() => match stream {
                Some(Ok((req, tx))) => {
                    let running = peer.start_stream();
                    tokio::task::spawn_local(stream::run(cx.clone(), running, req, tx));
                }
                Some(Err(e)) => return e.to_string(),
                None => return "closed".to_owned(),
            },
            changed = phase.changed() => match changed.map(|()| *phase.borrow()) {
                Ok(Phase::Serving) => {}
                Ok(Phase::Stopping) => conn.graceful_shutdown(),
                Ok(Phase::Blocked | Phase::Stopped) | Err(_) => return "broken off".to_owned(),
            },
            () = peer.evicted() => conn.graceful_shutdown(),
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
