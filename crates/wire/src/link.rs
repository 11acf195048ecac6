//! One connection to one peer, with the task that opens it, watches it and closes it.

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

use crate::meter::{Metered, Traffic};
use crate::pulse::Pulse;
use crate::settings::{
    ClientSettings, MAX_HEADER_BYTES, SEND_BUFFER_BYTES, STREAM_WINDOW_BYTES, connection_window,
};

/// Where a connection stands.
#[derive(Clone)]
enum State {
    /// It is being opened, or the peer did not answer something in time and is being checked.
    Checking,
    /// The peer answers.
    Up(SendRequest<Bytes>),
    /// It is over.
    Down,
}

/// A connection as its users see it.
pub(crate) struct Link {
    state: watch::Sender<State>,
    streams: std::sync::Arc<Semaphore>,
    max_streams: usize,
    suspect: Notify,
    closing: Notify,
    retired: Cell<bool>,
    answered: Cell<bool>,
    used_at: Cell<Millis>,
    traffic: Rc<Cell<Traffic>>,
}

/// The right to one stream of a connection. Dropping it tells when the connection was last used.
pub(crate) struct Slot {
    link: Rc<Link>,
    settings: Rc<ClientSettings>,
    received_before: u64,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.link.used_at.set(self.settings.clock.now());
    }
}

impl Slot {
    /// Has the peer checked, because it did not answer in time. New streams wait for the result if
    /// nothing at all was received since this one was opened; otherwise a slow request would hold
    /// up the others.
    pub(crate) fn suspect(&self) {
        self.link.suspect.notify_one();
        if self.link.traffic.get().received != self.received_before {
            return;
        }
        self.link.state.send_if_modified(|state| {
            let was_up = matches!(state, State::Up(_));
            if was_up {
                *state = State::Checking;
            }
            was_up
        });
    }

    /// Takes the connection out of use for new streams.
    pub(crate) fn retire(&self) {
        self.link.retire();
    }
}

/// Queries.
impl Link {
    /// Returns whether new streams may use the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired.get() && !matches!(*self.state.borrow(), State::Down)
    }

    /// Returns whether the peer ever answered on this connection.
    pub(crate) fn was_up(&self) -> bool {
        self.answered.get()
    }

    /// Returns whether no stream is open.
    pub(crate) fn is_idle(&self) -> bool {
        self.streams.available_permits() == self.max_streams
    }

    /// Returns when a stream was last opened or closed.
    pub(crate) fn used_at(&self) -> Millis {
        self.used_at.get()
    }
}

/// Commands.
impl Link {
    /// Starts to connect to `to`. Must be called inside a local task set.
    pub(crate) fn open(
        to: HostAddr,
        settings: Rc<ClientSettings>,
        total: Rc<Cell<Traffic>>,
    ) -> Rc<Self> {
        let max_streams = settings.max_streams as usize;
        let link = Rc::new(Self {
            state: watch::Sender::new(State::Checking),
            streams: std::sync::Arc::new(Semaphore::new(max_streams)),
            max_streams,
            suspect: Notify::new(),
            closing: Notify::new(),
            retired: Cell::new(false),
            answered: Cell::new(false),
            used_at: Cell::new(settings.clock.now()),
            traffic: Rc::default(),
        });
        tokio::task::spawn_local(run(link.clone(), to, settings, total));
        link
    }

    /// Takes the connection out of use; it is closed once its streams have ended.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
    }

    /// Closes the connection at once; its streams break.
    pub(crate) fn close(&self) {
        self.retired.set(true);
        self.closing.notify_one();
    }

    /// Waits for a free stream and for the peer to answer. `None` means that there is no
    /// connection, and that nothing was sent.
    pub(crate) async fn ready(
        self: Rc<Self>,
        settings: Rc<ClientSettings>,
    ) -> Option<(Slot, SendRequest<Bytes>)> {
        let permit = self.streams.clone().acquire_owned().await.ok()?;
        self.used_at.set(settings.clock.now());
        let send = self.wait_until_up().await?;
        let received_before = self.traffic.get().received;
        let slot = Slot { link: self, settings, received_before, _permit: permit };
        match send.ready().await {
            Ok(send) => Some((slot, send)),
            Err(e) => {
                debug!("wire: connection takes no more streams: {e}");
                slot.retire();
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
                State::Checking => {}
            }
            state.changed().await.ok()?;
        }
    }
}

/// Opens the connection and keeps it until it is idle, broken or closed.
async fn run(link: Rc<Link>, to: HostAddr, settings: Rc<ClientSettings>, total: Rc<Cell<Traffic>>) {
    let opening = connect(to.0, &settings, link.traffic.clone(), total);
    let opened = tokio::select! {
        () = link.closing.notified() => None,
        opened = timeout(Duration::from(settings.connect_limit), opening) => Some(opened),
    };
    match opened {
        None => debug!("wire: connecting to {to} was given up"),
        Some(Err(_)) => info!("wire: {to} does not answer"),
        Some(Ok(Err(e))) => info!("wire: cannot connect to {to}: {e}"),
        Some(Ok(Ok(Opened { send, conn, pulse }))) => {
            let watching = watch_over(&link, &settings, send, pulse);
            let end = tokio::select! {
                end = conn => end.map_or_else(|e| e.to_string(), |()| "closed by the peer".into()),
                reason = watching => reason.to_owned(),
            };
            debug!("wire: connection to {to} ended: {end}");
        }
    }
    link.state.send_replace(State::Down);
}

/// Why a connection was not opened.
#[derive(Debug, Snafu)]
enum OpenError {
    /// TCP did not connect.
    #[snafu(display("{source}"), context(false))]
    Io {
        /// What the system said.
        source: io::Error,
    },
    /// The HTTP/2 preface was not sent.
    #[snafu(display("{source}"), context(false))]
    Handshake {
        /// What went wrong.
        source: h2::Error,
    },
    /// Another part took the pings of the connection.
    #[snafu(display("the pings of the connection are taken"))]
    PingsTaken,
}

/// A connection on which nothing was received yet.
struct Opened {
    send: SendRequest<Bytes>,
    conn: Connection<Metered, Bytes>,
    pulse: Pulse,
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
    Ok(Opened { send, conn, pulse: Pulse::new(pings, own) })
}

/// Checks the peer at first, after a timeout and while streams are open. Returns why the
/// connection has to end.
async fn watch_over(
    link: &Link,
    settings: &ClientSettings,
    send: SendRequest<Bytes>,
    mut pulse: Pulse,
) -> &'static str {
    if !pulse.answers(settings.connect_limit).await {
        return "the peer never answered";
    }
    link.answered.set(true);
    link.state.send_replace(State::Up(send.clone()));
    loop {
        tokio::select! {
            () = link.closing.notified() => return "closed on demand",
            () = link.suspect.notified() => {}
            () = sleep(settings.ping_interval.into()) => {
                if link.is_idle() {
                    let idle = settings.clock.now().since(link.used_at());
                    if link.retired.get() || idle >= settings.idle_limit {
                        link.retired.set(true);
                        return "idle";
                    }
                    continue;
                }
            }
        }
        if !pulse.answers(settings.ping_limit).await {
            return "the peer stopped answering";
        }
        link.state.send_replace(State::Up(send.clone()));
    }
}
