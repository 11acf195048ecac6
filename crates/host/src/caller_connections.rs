//! The connections of callers: which are accepted, what they may hold, and how they end.

use std::rc::Rc;
use std::time::Duration;

use client_memory::{Connection, ConnectionGroup};
use http1::server::{self, HeldBytes, MemoryFreed, Policy};
use mesh::HolderKind;
use model::Millis;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::callers::{CallersState, handle};

/// How long an idle connection is kept open, and how long the head of a request may take.
const IDLE_TIMEOUT: Millis = Millis(30_000);

/// Callers must acknowledge written bytes within this time.
const TCP_USER_TIMEOUT: Millis = Millis(10_000);

/// Idle connections are probed after this time.
const KEEPALIVE_IDLE: Millis = Millis(20_000);

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a stop waits for responses that are still being sent.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// The listener for callers.
pub struct CallerConnections {
    stop: watch::Sender<bool>,
    open: watch::Receiver<usize>,
}

impl CallerConnections {
    /// Serves the callers that connect to `listener`.
    pub fn listen(
        listener: std::net::TcpListener,
        max_connections: usize,
        state: CallersState,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let memory = &state.memory;
        let group = ConnectionGroup::new(memory, "callers", HolderKind::Client, max_connections);
        let (stop, stopping) = watch::channel(false);
        let (opened, open) = watch::channel(0);
        actix_rt::spawn(state.memory.clone().close_stalled_holders());
        actix_rt::spawn(accept_connections(listener, group, Rc::new(state), stopping, opened));
        Ok(Self { stop, open })
    }

    /// Accepts no further connections, and waits until the others have ended.
    pub async fn stop(&self) {
        self.stop.send_replace(true);
        let mut open = self.open.clone();
        let ended = timeout(STOP_TIMEOUT, open.wait_for(|open| *open == 0)).await.is_ok();
        if !ended {
            log::warn!("ingress: {} connections of callers are cut.", *self.open.borrow());
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    group: ConnectionGroup,
    state: Rc<CallersState>,
    mut stopping: watch::Receiver<bool>,
    opened: watch::Sender<usize>,
) {
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
                let served = serve(stream, connection, state.clone(), stopping.clone());
                state.memory.spawn(async move {
                    served.await;
                    drop(open);
                });
            }
            Err(e) => {
                log::warn!("ingress: Accepting a connection failed: {e}.");
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

async fn serve(
    stream: TcpStream,
    connection: Connection,
    state: Rc<CallersState>,
    mut stopping: watch::Receiver<bool>,
) {
    let settings = server::Settings { head_timeout: IDLE_TIMEOUT, ..server::Settings::default() };
    let (holder, closed, requests) = (connection.id(), connection.closed(), connection.requests());
    let policy = CallerPolicy { connection, draining: state.draining.clone() };
    let handler = move |req| {
        let request = requests.start();
        let state = state.clone();
        async move { (handle(&state, holder, req).await, request) }
    };
    let close = async {
        // The sender lives as long as the process, as far as callers are concerned.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    };
    tokio::select! {
        () = server::serve(stream, settings, handler, policy, close) => {}
        () = closed => {}
    }
}

struct CallerPolicy {
    connection: Connection,
    draining: watch::Receiver<bool>,
}

impl Policy for CallerPolicy {
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
