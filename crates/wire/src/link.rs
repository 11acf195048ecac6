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
    changed: Notify,
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
            changed: Notify::new(),
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
        self.changed.notify_one();
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
        self.changed.notify_one();
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
    let end = tokio::select! {
        () = link.closing.notified() => "closed on demand".to_owned(),
        end = open_and_keep(&link, to, &settings, total) => end,
    };
    if link.was_up() {
        debug!("wire: connection to {to} ended: {end}");
    } else {
        info!("wire: cannot connect to {to}: {end}");
    }
    link.state.send_replace(State::Down);
}

/// Returns why there is no connection, or no more.
async fn open_and_keep(
    link: &Link,
    to: HostAddr,
    settings: &ClientSettings,
    total: Rc<Cell<Traffic>>,
) -> String {
    let connecting = connect(to.0, settings, link.traffic.clone(), total);
    match timeout(Duration::from(settings.connect_timeout), connecting).await {
        Err(_) => "no answer in time".to_owned(),
        Ok(Err(e)) => e.to_string(),
        Ok(Ok(Opened { send, conn, pulse })) => tokio::select! {
            end = conn => end.map_or_else(|e| e.to_string(), |()| "closed by the peer".to_owned()),
            end = watch_over(link, settings, send, pulse) => end.to_owned(),
        },
    }
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
    let mut limit = settings.connect_timeout;
    loop {
        if !pulse.answers(limit).await {
            return "the peer does not answer";
        }
        link.answered.set(true);
        link.state.send_replace(State::Up(send.clone()));
        limit = settings.ping_timeout;
        if wait_for_check(link, settings).await == Next::Close {
            link.retire();
            return "idle";
        }
    }
}

/// What is due on a connection.
#[derive(PartialEq, Eq)]
enum Next {
    /// The peer has to be checked.
    Check,
    /// Nobody needs the connection any more.
    Close,
}

/// Waits until something is due. A peer that sends anything while streams are open needs no check.
async fn wait_for_check(link: &Link, settings: &ClientSettings) -> Next {
    loop {
        let received = link.traffic.get().received;
        let idle = settings.clock.now().since(link.used_at());
        if link.is_idle() && (link.retired.get() || idle >= settings.idle_timeout) {
            return Next::Close;
        }
        // An unused connection is left alone, so that many of them cost no time.
        let pause =
            if link.is_idle() { settings.idle_timeout - idle } else { settings.ping_interval };
        tokio::select! {
            () = link.suspect.notified() => return Next::Check,
            () = link.changed.notified(), if link.is_idle() => continue,
            () = sleep(pause.into()) => {}
        }
        if !link.is_idle() && link.traffic.get().received == received {
            return Next::Check;
        }
    }
}
