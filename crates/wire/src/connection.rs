//! One connection to one peer, with the task that opens, monitors and closes it.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::{Builder, Connection, SendRequest};
use log::{debug, info};
use model::{HostAddr, Millis};
use snafu::{OptionExt, Snafu};
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{sleep, timeout};

use crate::liveness::LivenessProbe;
use crate::meter::{Metered, Traffic};
use crate::settings::{
    ClientSettings, MAX_HEADER_BYTES, SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES, connection_window,
};

/// State of a connection.
#[derive(Clone)]
enum State {
    /// The connection is opening, or its peer missed a deadline and is being probed.
    Probing,
    /// The peer is responsive.
    Up(SendRequest<Bytes>),
    /// The connection is closed or could not be opened.
    Down,
}

/// Handle of a connection, shared by its users and its task.
pub(crate) struct PeerConnection {
    state: watch::Sender<State>,
    stream_permits: std::sync::Arc<Semaphore>,
    max_streams: usize,
    probe_requested: Notify,
    close_requested: Notify,
    /// Wakes the monitor of an idle connection when a stream is requested or `retired` is set.
    usage_changed: Notify,
    /// Whether the connection accepts no new streams.
    retired: Cell<bool>,
    /// Whether the peer has ever responded.
    was_up: Cell<bool>,
    last_used: Cell<Millis>,
    traffic: Rc<Cell<Traffic>>,
}

/// Permission to open one stream on a connection. Dropping it updates the last use of the
/// connection.
pub(crate) struct StreamPermit {
    connection: Rc<PeerConnection>,
    settings: Rc<ClientSettings>,
    /// Bytes received on the connection when the permit was issued.
    received_before: u64,
    _permit: OwnedSemaphorePermit,
}

impl Drop for StreamPermit {
    fn drop(&mut self) {
        self.connection.last_used.set(self.settings.clock.now());
    }
}

impl StreamPermit {
    /// Requests a probe of the peer, because it did not respond in time. New streams wait for the
    /// result only if nothing was received since this permit was issued; otherwise one slow request
    /// would delay all others.
    pub(crate) fn request_probe(&self) {
        self.connection.probe_requested.notify_one();
        if self.connection.traffic.get().received != self.received_before {
            return;
        }
        self.connection.state.send_if_modified(|state| {
            let was_up = matches!(state, State::Up(_));
            if was_up {
                *state = State::Probing;
            }
            was_up
        });
    }

    /// Stops the use of the connection for new streams.
    pub(crate) fn retire(&self) {
        self.connection.retire();
    }
}

/// Queries.
impl PeerConnection {
    /// Returns whether the connection accepts new streams.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired.get() && !matches!(*self.state.borrow(), State::Down)
    }

    /// Returns whether the peer has ever responded on this connection.
    pub(crate) fn was_up(&self) -> bool {
        self.was_up.get()
    }

    /// Returns whether no stream is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.stream_permits.available_permits() == self.max_streams
    }

    /// Returns when a stream was last opened or closed.
    pub(crate) fn last_used(&self) -> Millis {
        self.last_used.get()
    }
}

/// Commands.
impl PeerConnection {
    /// Starts to open a connection to `to`. Must be called inside a local task set.
    pub(crate) fn open(
        to: HostAddr,
        settings: Rc<ClientSettings>,
        total: Rc<Cell<Traffic>>,
    ) -> Rc<Self> {
        let max_streams = settings.max_streams as usize;
        let connection = Rc::new(Self {
            state: watch::Sender::new(State::Probing),
            stream_permits: std::sync::Arc::new(Semaphore::new(max_streams)),
            max_streams,
            probe_requested: Notify::new(),
            close_requested: Notify::new(),
            usage_changed: Notify::new(),
            retired: Cell::new(false),
            was_up: Cell::new(false),
            last_used: Cell::new(settings.clock.now()),
            traffic: Rc::default(),
        });
        tokio::task::spawn_local(run(connection.clone(), to, settings, total));
        connection
    }

    /// Accepts no new streams, and closes the connection once its streams have ended.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
        self.usage_changed.notify_one();
    }

    /// Closes the connection immediately, which aborts its streams.
    pub(crate) fn close(&self) {
        self.retired.set(true);
        self.close_requested.notify_one();
    }

    /// Waits until a stream can be opened and the peer is responsive. `None` means that there is no
    /// connection and nothing was sent.
    pub(crate) async fn acquire(
        self: Rc<Self>,
        settings: Rc<ClientSettings>,
    ) -> Option<(StreamPermit, SendRequest<Bytes>)> {
        let permit = self.stream_permits.clone().acquire_owned().await.ok()?;
        self.last_used.set(settings.clock.now());
        self.usage_changed.notify_one();
        let send = self.wait_until_up().await?;
        let received_before = self.traffic.get().received;
        let stream = StreamPermit { connection: self, settings, received_before, _permit: permit };
        match send.ready().await {
            Ok(send) => Some((stream, send)),
            Err(e) => {
                debug!("wire: connection accepts no more streams: {e}");
                stream.retire();
                None
            }
        }
    }

    async fn wait_until_up(&self) -> Option<SendRequest<Bytes>> {
        let mut state = self.state.subscribe();
        loop {
            match &*state.borrow_and_update() {
                State::Up(send) => return Some(send.clone()),
                State::Down => return None,
                State::Probing => {}
            }
            state.changed().await.ok()?;
        }
    }
}

/// Opens the connection and maintains it until it is idle, has failed or is closed.
async fn run(
    connection: Rc<PeerConnection>,
    to: HostAddr,
    settings: Rc<ClientSettings>,
    total: Rc<Cell<Traffic>>,
) {
    let end = tokio::select! {
        () = connection.close_requested.notified() => "closed locally".to_owned(),
        end = open_and_maintain(&connection, to, &settings, total) => end,
    };
    if connection.was_up() {
        debug!("wire: connection to {to} closed: {end}");
    } else {
        info!("wire: cannot connect to {to}: {end}");
    }
    connection.state.send_replace(State::Down);
}

/// Opens and maintains the connection, and returns why it failed or ended.
async fn open_and_maintain(
    connection: &PeerConnection,
    to: HostAddr,
    settings: &ClientSettings,
    total: Rc<Cell<Traffic>>,
) -> String {
    let connecting = connect(to.0, settings, connection.traffic.clone(), total);
    match timeout(Duration::from(settings.connect_timeout), connecting).await {
        Err(_) => "connecting timed out".to_owned(),
        Ok(Err(e)) => e.to_string(),
        Ok(Ok(Opened { send, conn, probe })) => tokio::select! {
            end = conn => end.map_or_else(|e| e.to_string(), |()| "closed by the peer".to_owned()),
            end = monitor(connection, settings, send, probe) => end.to_owned(),
        },
    }
}

/// Why a connection was not opened.
#[derive(Debug, Snafu)]
enum OpenError {
    /// The TCP connection failed.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The HTTP/2 handshake failed.
    #[snafu(display("{source}"), context(false))]
    Handshake {
        /// The HTTP/2 error.
        source: h2::Error,
    },
    /// The ping handle of the connection is already taken.
    #[snafu(display("the ping handle of the connection is already taken"))]
    PingsTaken,
}

/// A new connection whose peer has not responded yet.
struct Opened {
    send: SendRequest<Bytes>,
    conn: Connection<Metered, Bytes>,
    probe: LivenessProbe,
}

async fn connect(
    to: SocketAddr,
    settings: &ClientSettings,
    own: Rc<Cell<Traffic>>,
    total: Rc<Cell<Traffic>>,
) -> Result<Opened, OpenError> {
    let io = TcpStream::connect(to).await?;
    io.set_nodelay(true)?;
    let io = Metered::new(io, own.clone(), total);
    let (send, mut conn) = Builder::new()
        .enable_push(false)
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(connection_window(settings.max_streams))
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_send_buffer_size(SEND_BUFFER_BYTES)
        .handshake(io)
        .await?;
    let pings = conn.ping_pong().context(PingsTakenSnafu)?;
    Ok(Opened { send, conn, probe: LivenessProbe::new(pings, own) })
}

/// Probes the peer initially, on request, and when it is silent while streams are open. Returns why
/// the connection has to be closed.
async fn monitor(
    connection: &PeerConnection,
    settings: &ClientSettings,
    send: SendRequest<Bytes>,
    mut probe: LivenessProbe,
) -> &'static str {
    let mut limit = settings.connect_timeout;
    loop {
        if !probe.is_responsive(limit).await {
            return "the peer does not respond";
        }
        connection.was_up.set(true);
        connection.state.send_replace(State::Up(send.clone()));
        limit = settings.ping_timeout;
        if wait_until_due(connection, settings).await == Due::Close {
            connection.retire();
            return "idle";
        }
    }
}

/// The action that is due on a connection.
#[derive(PartialEq, Eq)]
enum Due {
    /// Probe the peer.
    Probe,
    /// Close the connection, which is no longer needed.
    Close,
}

/// Waits until an action is due. A peer that sends anything while streams are open needs no probe.
async fn wait_until_due(connection: &PeerConnection, settings: &ClientSettings) -> Due {
    loop {
        let received = connection.traffic.get().received;
        let idle = settings.clock.now().since(connection.last_used());
        if connection.is_idle() && (connection.retired.get() || idle >= settings.idle_timeout) {
            return Due::Close;
        }
        // Idle connections are not probed, so that a large number of them costs no CPU time.
        let pause = if connection.is_idle() {
            settings.idle_timeout - idle
        } else {
            settings.ping_interval
        };
        tokio::select! {
            () = connection.probe_requested.notified() => return Due::Probe,
            () = connection.usage_changed.notified(), if connection.is_idle() => continue,
            () = sleep(pause.into()) => {}
        }
        if !connection.is_idle() && connection.traffic.get().received == received {
            return Due::Probe;
        }
    }
}
