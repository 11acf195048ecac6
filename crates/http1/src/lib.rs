//! An HTTP/1.1 client that tells whether a request was sent.
//!
//! Backend servers and the store are asked over plain HTTP/1.1. Whether a request may be sent
//! again depends on whether any of it left this process, and a connection on which something
//! unexpected came must never carry another request, so connections are kept here and not by a
//! client library. Dropping a request that is under way closes its connection.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use model::{Clock, Millis};
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why there is no answer.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// No connection could be made, or it was closed before anything was written.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// What happened.
        reason: String,
    },
    /// Something was written and no whole answer came.
    #[snafu(display("sent without a whole answer: {reason}"))]
    Unknown {
        /// What happened.
        reason: String,
    },
}

/// How a client deals with its connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A connection has to be made within this span.
    pub connect_timeout: Millis,
    /// Written bytes have to be confirmed by the other side within this span.
    pub tcp_user_timeout: Millis,
    /// A connection that was idle for longer is not used again, unless the answer before says so.
    pub idle_timeout: Millis,
    /// The longest answer, in bytes.
    pub max_response_bytes: usize,
    /// Probes on an idle connection start after this span.
    pub keepalive_idle: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            // A lost opening packet is sent again after one second.
            connect_timeout: Millis(1_200),
            tcp_user_timeout: Millis(2_000),
            // Less than the shortest idle limit that servers on the platform have.
            idle_timeout: Millis(4_000),
            max_response_bytes: 16 << 20,
            keepalive_idle: Millis(3_000),
        }
    }
}

struct Idle {
    tx: SendRequest<Full<Bytes>>,
    until: Millis,
}

/// A client of one address. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    to: SocketAddr,
    settings: Settings,
    clock: Clock,
    idle: Rc<RefCell<Vec<Idle>>>,
}

impl Client {
    /// Makes a client without connections. It must be used inside a local task set.
    pub fn new(to: SocketAddr, settings: Settings, clock: Clock) -> Self {
        Self { to, settings, clock, idle: Rc::default() }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Tells whether the other side refuses connections, as far as it shows within `limit`.
    pub async fn refuses_connections(&self, limit: Millis) -> bool {
        let made = timeout(Duration::from(limit), TcpStream::connect(self.to)).await;
        made.is_ok_and(|made| made.is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused))
    }

    /// Sends a request and reads the whole answer. Dropping the future closes the connection.
    pub async fn send(&self, mut req: Request<Full<Bytes>>) -> Result<Response<Bytes>, SendError> {
        // A kept connection may turn out closed before anything was written; then the next one
        // is used, and at last a new one.
        loop {
            let (mut tx, kept) = match self.take_idle() {
                Some(tx) => (tx, true),
                None => (self.open().await?, false),
            };
            match tx.try_send_request(req).await {
                Ok(answer) => return self.read(tx, answer).await,
                Err(mut error) => match error.take_message() {
                    Some(unsent) if kept => req = unsent,
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
        answer: Response<hyper::body::Incoming>,
    ) -> Result<Response<Bytes>, SendError> {
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, self.settings.max_response_bytes).collect().await;
        let body = body.map_err(|e| SendError::Unknown { reason: e.to_string() })?.to_bytes();
        self.keep(tx, &head);
        Ok(Response::from_parts(head, body))
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| i.until > now && !i.tx.is_closed());
        let at = idle.iter().rposition(|i| i.tx.is_ready())?;
        Some(idle.remove(at).tx)
    }

    fn keep(&self, tx: SendRequest<Full<Bytes>>, head: &http::response::Parts) {
        if has_token(&head.headers, http::header::CONNECTION, "close") {
            return;
        }
        let stated = keep_alive(&head.headers).map(|s| Millis(s.0 * 2 / 3));
        let span = stated.unwrap_or(self.settings.idle_timeout);
        self.idle.borrow_mut().push(Idle { tx, until: self.clock.now() + span });
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
        let (tx, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(e.to_string()))?;
        actix_rt::spawn(async move {
            // How the connection ends is told to the request that it carries, if any.
            let _ = connection.await;
        });
        Ok(tx)
    }
}

/// Makes the system end a connection whose other side went silent.
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

/// Tells whether a header with a comma-separated list holds `token`.
pub fn has_token(headers: &http::HeaderMap, name: http::HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// Reads the idle limit that an answer states.
fn keep_alive(headers: &http::HeaderMap) -> Option<Millis> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(|s: u64| Millis(s * 1_000))
}
