//! The HTTP/1.1 listeners: which connections are accepted, what they may hold, and how they end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use client_memory::{Connection, ConnectionGroup, MemoryAccount};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http1::server::{self, HeldBytes, MemoryFreed, Policy, RequestBody, ResponseBody};
use mesh::{HolderId, HolderKind};
use model::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// How long an idle connection is kept open, and how long the head of a request may take.
const IDLE_TIMEOUT: Millis = Millis(30_000);

/// Clients must acknowledge written bytes within this time.
const TCP_USER_TIMEOUT: Millis = Millis(10_000);

/// Idle connections are probed after this time.
const KEEPALIVE_IDLE: Millis = Millis(20_000);

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a stop waits for responses that are still being sent.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// What a listener serves.
pub struct ListenerOptions {
    /// What its clients are called in the log.
    pub name: &'static str,
    /// Beyond this number, the connection that has been idle longest is closed.
    pub max_connections: usize,
    /// The account of what is held for the clients.
    pub memory: Rc<MemoryAccount>,
    /// Whether connections close after the response in progress.
    pub draining: watch::Receiver<bool>,
}

/// A listener that accepts connections.
pub struct Listener {
    name: &'static str,
    stop: watch::Sender<bool>,
    open: watch::Receiver<usize>,
}

impl Listener {
    /// Serves requests on all connections to `listener` with `handler`.
    pub fn start<F, R>(
        listener: std::net::TcpListener,
        options: ListenerOptions,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(HolderId, Request<RequestBody>) -> R + 'static,
        R: Future<Output = Response<ResponseBody>> + 'static,
    {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let (stop, stopping) = watch::channel(false);
        let (opened, open) = watch::channel(0);
        let name = options.name;
        actix_rt::spawn(accept_connections(listener, options, Rc::new(handler), stopping, opened));
        Ok(Self { name, stop, open })
    }

    /// Accepts no further connections, and waits until the others have ended.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let mut open = self.open.clone();
        let ended = timeout(STOP_TIMEOUT, open.wait_for(|open| *open == 0)).await.is_ok();
        if !ended {
            log::warn!("host: {} connections of {} are cut.", *self.open.borrow(), self.name);
        }
    }
}

async fn accept_connections<F, R>(
    listener: TcpListener,
    options: ListenerOptions,
    handler: Rc<F>,
    mut stopping: watch::Receiver<bool>,
    opened: watch::Sender<usize>,
) where
    F: Fn(HolderId, Request<RequestBody>) -> R + 'static,
    R: Future<Output = Response<ResponseBody>> + 'static,
{
    let ListenerOptions { name, max_connections, memory, draining } = options;
    let group = ConnectionGroup::new(&memory, name, HolderKind::Client, max_connections);
    let opened = Rc::new(opened);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => return,
        };
        let stream = accepted.and_then(|(stream, _)| {
            http1::set_liveness_options(&stream, TCP_USER_TIMEOUT, KEEPALIVE_IDLE)?;
            Ok(stream)
        });
        match stream {
            Ok(stream) => {
                let Some(connection) = group.add().await else { continue };
                let open = OpenGuard::new(&opened);
                let policy = ConnectionPolicy { connection, draining: draining.clone() };
                let served = serve(stream, policy, handler.clone(), stopping.clone());
                memory.spawn(async move {
                    served.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!("host: Accepting a connection of {name} failed: {e}.");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts an open connection until it is dropped.
struct OpenGuard(Rc<watch::Sender<usize>>);

impl OpenGuard {
    fn new(open: &Rc<watch::Sender<usize>>) -> Self {
        open.send_modify(|n| *n += 1);
        Self(open.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

async fn serve<F, R>(
    stream: TcpStream,
    policy: ConnectionPolicy,
    handler: Rc<F>,
    mut stopping: watch::Receiver<bool>,
) where
    F: Fn(HolderId, Request<RequestBody>) -> R,
    R: Future<Output = Response<ResponseBody>>,
{
    let settings = server::Settings { head_timeout: IDLE_TIMEOUT, ..server::Settings::default() };
    let (holder, closed) = (policy.connection.id(), policy.connection.closed());
    let requests = policy.connection.requests();
    let handler = move |req| {
        let request = requests.start();
        let response = handler(holder, req);
        async move { (response.await, request) }
    };
    let close = async {
        // An error means that the listener is gone, so the connection closes as well.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    };
    tokio::select! {
        () = server::serve(stream, settings, handler, policy, close) => {}
        () = closed => {}
    }
}

struct ConnectionPolicy {
    connection: Connection,
    draining: watch::Receiver<bool>,
}

impl Policy for ConnectionPolicy {
    fn may_start_early(&self, _: &http::request::Parts) -> bool {
        false
    }

    fn is_stopping(&self) -> bool {
        *self.draining.borrow()
    }

    fn record_held_bytes(&self, held: HeldBytes) {
        self.connection.record_held(held);
    }

    fn reserve(&self, bytes: usize) -> Result<(), MemoryFreed> {
        self.connection.reserve_input(bytes)
    }

    fn is_memory_short(&self) -> bool {
        self.connection.is_memory_short()
    }
}

/// Returns a response with a text.
pub fn plain_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut res = Response::new(ResponseBody::Full(text.into()));
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}
