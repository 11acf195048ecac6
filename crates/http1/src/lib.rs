//! An HTTP/1.1 client that reports whether a failed request was sent.
//!
//! Backend servers and the store are accessed over plain HTTP/1.1. Whether a request may be retried
//! depends on whether any part of it left this process, and a connection that received unexpected
//! data must never be reused. This crate therefore pools connections itself instead of relying on a
//! client library. Dropping a request in flight closes its connection.
//!
//! The module [`server`] serves connections of callers that pipeline requests.

pub mod server;

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use model::{Clock, Millis, is_final_status};
use snafu::{Snafu, ensure};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

/// The interim responses that may precede a final one. Any other response below 200 is no response,
/// and a server that sends one may not send a final response at all.
const INTERIM: [StatusCode; 2] = [StatusCode::CONTINUE, StatusCode::EARLY_HINTS];

/// What a connection buffers of a response that is not read yet, which is also the longest head of a
/// response, in bytes.
pub const MAX_BUFFER_BYTES: usize = 128 << 10;

/// Why a request got no response.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be established, or it was closed before anything was written.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// The cause.
        reason: String,
    },
    /// Some of the request was written, but no complete response was received.
    #[snafu(display("sent, but received no complete response: {reason}"))]
    Unknown {
        /// The cause.
        reason: String,
    },
}

/// Why a body could not be read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is longer than allowed.
    #[snafu(display("the body is longer than {max_bytes} bytes"))]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// There was no memory for it in time.
    #[snafu(display("no memory for the body"))]
    NoRoom,
    /// It broke off.
    #[snafu(display("the body broke off: {reason}"))]
    Incomplete {
        /// The cause.
        reason: String,
    },
}

/// Memory for a message, which is asked for before the message is read.
pub trait BodyRoom {
    /// Waits for room for `bytes` more. Returns false if there is none in time.
    fn reserve(&mut self, bytes: usize) -> impl Future<Output = bool>;

    /// Records that some of them have arrived.
    fn received(&mut self, bytes: usize) {
        let _ = bytes;
    }
}

/// Room without a limit.
struct Unlimited;

impl BodyRoom for Unlimited {
    async fn reserve(&mut self, _bytes: usize) -> bool {
        true
    }
}

/// Timeouts and limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for establishing a connection.
    pub connect_timeout: Millis,
    /// Timeout for the acknowledgement of sent data (`TCP_USER_TIMEOUT`).
    pub tcp_user_timeout: Millis,
    /// A connection that was idle for longer is not reused, unless the last response stated another
    /// timeout in its `Keep-Alive` header.
    pub idle_timeout: Millis,
    /// Maximum size of a response body in bytes.
    pub max_response_bytes: usize,
    /// TCP keepalive probes on an idle connection start after this time.
    pub keepalive_idle: Millis,
    /// Whether the connection may carry another request after a response with this head.
    pub may_reuse: fn(&http::response::Parts) -> bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A lost SYN packet is retransmitted after one second.
            connect_timeout: Millis(1_200),
            tcp_user_timeout: Millis(2_000),
            // Shorter than the lowest idle timeout of the servers on the platform.
            idle_timeout: Millis(4_000),
            max_response_bytes: 16 << 20,
            keepalive_idle: Millis(3_000),
            may_reuse: |_| true,
        }
    }
}

/// An idle connection, which may be reused until `expires_at`.
struct IdleConnection {
    tx: SendRequest<Full<Bytes>>,
    expires_at: Millis,
}

/// A client for one server address. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    to: SocketAddr,
    settings: Settings,
    clock: Clock,
    idle: Rc<RefCell<Vec<IdleConnection>>>,
}

impl Client {
    /// Creates a client. Connections are opened on demand. Must be used inside a local task set.
    pub fn new(to: SocketAddr, settings: Settings, clock: Clock) -> Self {
        Self { to, settings, clock, idle: Rc::default() }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Returns whether an idle connection is open.
    pub fn has_open_connection(&self) -> bool {
        self.idle.borrow().iter().any(|i| !i.tx.is_closed())
    }

    /// Returns whether the server refuses a new connection within `limit`.
    pub async fn refuses_connections(&self, limit: Millis) -> bool {
        let result = timeout(Duration::from(limit), TcpStream::connect(self.to)).await;
        result.is_ok_and(|connected| {
            connected.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
        })
    }

    /// Sends a request and reads the complete response. Dropping the future closes the connection.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Bytes>, SendError> {
        self.send_if(req, || true).await
    }

    /// Like [`Client::send`], but opens a new connection only if `may_open` allows it at that time.
    pub async fn send_if(
        &self,
        req: Request<Full<Bytes>>,
        may_open: impl Fn() -> bool,
    ) -> Result<Response<Bytes>, SendError> {
        self.exchange(req, may_open, &mut Unlimited).await
    }

    /// Like [`Client::send`], but reads the body of the response only as far as there is room for
    /// it. The server can't send more meanwhile.
    pub async fn send_with_room(
        &self,
        req: Request<Full<Bytes>>,
        room: &mut impl BodyRoom,
    ) -> Result<Response<Bytes>, SendError> {
        self.exchange(req, || true, room).await
    }

    async fn exchange(
        &self,
        mut req: Request<Full<Bytes>>,
        may_open: impl Fn() -> bool,
        room: &mut impl BodyRoom,
    ) -> Result<Response<Bytes>, SendError> {
        // An idle connection may turn out to be closed before anything is written. The request is
        // then retried on the next idle connection, and finally on a new one.
        loop {
            let (mut tx, reused) = match self.take_idle() {
                Some(tx) => (tx, true),
                None if !may_open() => {
                    let reason = "no connection is open, and none may be opened".to_owned();
                    return NotSentSnafu { reason }.fail();
                }
                None => (self.open().await?, false),
            };
            let unexpected = Arc::new(Notify::new());
            let notify = unexpected.clone();
            hyper::ext::on_informational(&mut req, move |response| {
                if !INTERIM.contains(&response.status()) {
                    notify.notify_one();
                }
            });
            let result = tokio::select! {
                biased;
                () = unexpected.notified() => {
                    let reason = "unexpected interim response".to_owned();
                    return UnknownSnafu { reason }.fail();
                }
                result = tx.try_send_request(req) => result,
            };
            match result {
                Ok(response) => return self.read(tx, response, room).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if reused => req = unsent,
                    Some(_) => {
                        let reason = error.into_error().to_string();
                        return NotSentSnafu { reason }.fail();
                    }
                    None => {
                        let reason = error.into_error().to_string();
                        return UnknownSnafu { reason }.fail();
                    }
                },
            }
        }
    }

    async fn read(
        &self,
        tx: SendRequest<Full<Bytes>>,
        response: Response<hyper::body::Incoming>,
        room: &mut impl BodyRoom,
    ) -> Result<Response<Bytes>, SendError> {
        let (head, body) = response.into_parts();
        if !is_final_status(head.status.as_u16()) {
            let reason = format!("status {} is not one of a response", head.status.as_u16());
            return UnknownSnafu { reason }.fail();
        }
        let has_room = room.reserve(server::response_head_bytes(&head.headers)).await;
        let body = match has_room {
            true => read_body_with_room(body, self.settings.max_response_bytes, room).await,
            false => NoRoomSnafu.fail(),
        };
        let body = body.map_err(|e| SendError::Unknown { reason: e.to_string() })?;
        self.keep_idle(tx, &head);
        Ok(Response::from_parts(head, body))
    }

    /// Removes and returns the most recently used idle connection that is usable.
    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| i.expires_at > now && !i.tx.is_closed());
        let index = idle.iter().rposition(|i| i.tx.is_ready())?;
        Some(idle.remove(index).tx)
    }

    /// Adds the connection to the idle ones, unless the response or the settings close it.
    fn keep_idle(&self, tx: SendRequest<Full<Bytes>>, head: &http::response::Parts) {
        if !(self.settings.may_reuse)(head)
            || has_token(&head.headers, http::header::CONNECTION, "close")
        {
            return;
        }
        let announced = keep_alive_timeout(&head.headers).map(|s| Millis(s.0 * 2 / 3));
        let idle_timeout = announced.unwrap_or(self.settings.idle_timeout);
        self.idle
            .borrow_mut()
            .push(IdleConnection { tx, expires_at: self.clock.now() + idle_timeout });
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let not_sent = |reason: String| SendError::NotSent { reason };
        let limit = Duration::from(self.settings.connect_timeout);
        let stream = match timeout(limit, TcpStream::connect(self.to)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(not_sent(e.to_string())),
            Err(_) => return Err(not_sent(format!("no connection within {limit:?}"))),
        };
        set_liveness_options(&stream, self.settings.tcp_user_timeout, self.settings.keepalive_idle)
            .map_err(|e| not_sent(e.to_string()))?;
        let (tx, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        actix_rt::spawn(async move {
            // An error of the connection is reported by the request in flight, if any.
            let _ = connection.await;
        });
        Ok(tx)
    }
}

/// Reads a body of at most `max_bytes` into one buffer. The frames are copied: each is a part of the
/// buffer that the connection read it into, which stays allocated as long as the frame, so that a
/// body in small pieces would take many times its length.
pub async fn read_body<B>(body: B, max_bytes: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    read_body_with_room(body, max_bytes, &mut Unlimited).await
}

/// Like [`read_body`], but reads only as far as there is room. A body of known length is read once
/// there is room for all of it, so that bodies in progress don't wait for each other.
pub async fn read_body_with_room<B>(
    body: B,
    max_bytes: usize,
    room: &mut impl BodyRoom,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let mut body = std::pin::pin!(body);
    let mut reserved = 0;
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        ensure!(length <= max_bytes, TooLongSnafu { max_bytes });
        ensure!(length == 0 || room.reserve(length).await, NoRoomSnafu);
        reserved = length;
    }
    let mut read = BytesMut::with_capacity(reserved);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Incomplete { reason: e.to_string() })?;
        let Ok(data) = frame.into_data() else { continue };
        if data.len() > max_bytes - read.len() {
            return TooLongSnafu { max_bytes }.fail();
        }
        let length = read.len() + data.len();
        if length > reserved {
            // The buffer doubles, so that it isn't copied for each frame.
            let enlarged = length.max(reserved * 2).min(max_bytes);
            ensure!(room.reserve(enlarged - reserved).await, NoRoomSnafu);
            reserved = enlarged;
            read.reserve(reserved - read.len());
        }
        read.extend_from_slice(&data);
        room.received(data.len());
    }
    Ok(read.freeze())
}

/// Configures the socket so that the operating system closes the connection if the peer becomes
/// unresponsive: sets `TCP_USER_TIMEOUT` and TCP keepalive. Also sets `TCP_NODELAY`.
pub fn set_liveness_options(
    stream: &TcpStream,
    tcp_user_timeout: Millis,
    keepalive_idle: Millis,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from(tcp_user_timeout)))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(Duration::from(keepalive_idle))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Returns whether a header with a comma-separated list contains `token`.
pub fn has_token(headers: &http::HeaderMap, name: http::HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// Returns the idle timeout that the `Keep-Alive` header announces.
fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|param| param.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(|s: u64| Millis(s * 1_000))
}
