//! A TCP proxy that can disconnect after a number of bytes, freeze or slow down.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use model::HostAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How many bytes the proxy forwards in each direction before it closes the connection.
#[derive(Clone, Copy)]
pub struct ByteLimit {
    pub requests: usize,
    pub responses: usize,
}

impl ByteLimit {
    pub const UNLIMITED: Self = Self { requests: usize::MAX, responses: usize::MAX };
}

/// Maximum number of bytes that are forwarded at once.
pub const CHUNK_BYTES: usize = 16 * 1024;

/// A proxied connection, with the current settings of the proxy.
#[derive(Clone)]
struct ProxiedConnection {
    number: usize,
    /// Connections with a lower number are frozen.
    frozen_below: Rc<Cell<usize>>,
    chunk_delay: Rc<Cell<Duration>>,
}

/// A running proxy.
pub struct Proxy {
    pub addr: HostAddr,
    /// Bytes forwarded as requests and as responses.
    forwarded: Rc<Cell<(usize, usize)>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
    connections: Rc<Cell<usize>>,
    frozen_below: Rc<Cell<usize>>,
    chunk_delay: Rc<Cell<Duration>>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    pub async fn start(to: HostAddr, limit: ByteLimit) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = HostAddr(listener.local_addr().unwrap());
        let forwarded = Rc::new(Cell::new((0, 0)));
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let (count, task_list) = (forwarded.clone(), tasks.clone());
        let frozen_below = Rc::new(Cell::new(0));
        let connections = Rc::new(Cell::new(0));
        let number = connections.clone();
        let chunk_delay = Rc::new(Cell::new(Duration::ZERO));
        let conn = ProxiedConnection {
            number: 0,
            frozen_below: frozen_below.clone(),
            chunk_delay: chunk_delay.clone(),
        };
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((io, _)) = listener.accept().await {
                let conn = ProxiedConnection { number: number.get(), ..conn.clone() };
                number.set(number.get() + 1);
                let out = TcpStream::connect(to.0).await.unwrap();
                let forwarding = forward_both(io, out, limit, count.clone(), conn);
                task_list.borrow_mut().push(tokio::task::spawn_local(forwarding));
            }
        });
        tasks.borrow_mut().push(accepting);
        Self { addr, forwarded, tasks, connections, frozen_below, chunk_delay }
    }

    /// Returns the number of bytes forwarded as requests and as responses.
    pub fn forwarded(&self) -> (usize, usize) {
        self.forwarded.get()
    }

    /// Stops forwarding, but keeps all connections open and accepts new ones.
    pub fn freeze(&self) {
        self.frozen_below.set(usize::MAX);
    }

    /// Stops forwarding on the existing connections, but forwards on new ones.
    pub fn freeze_existing(&self) {
        self.frozen_below.set(self.connections.get());
    }

    /// Forwards at most [`CHUNK_BYTES`] per `delay` in each direction from now on.
    pub fn slow_down(&self, delay: Duration) {
        self.chunk_delay.set(delay);
    }

    /// Closes all connections.
    pub fn stop(&self) {
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

/// Forwards bytes in both directions until either direction ends.
async fn forward_both(
    a: TcpStream,
    b: TcpStream,
    limit: ByteLimit,
    count: Rc<Cell<(usize, usize)>>,
    conn: ProxiedConnection,
) {
    let ((a_rx, a_tx), (b_rx, b_tx)) = (a.into_split(), b.into_split());
    let requests = forward(a_rx, b_tx, limit.requests, &conn, |size| {
        let (requests, responses) = count.get();
        count.set((requests + size, responses));
    });
    let responses = forward(b_rx, a_tx, limit.responses, &conn, |size| {
        let (requests, responses) = count.get();
        count.set((requests, responses + size));
    });
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

/// Forwards bytes until the end of the stream, an error or the limit.
async fn forward(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut left: usize,
    conn: &ProxiedConnection,
    count: impl Fn(usize),
) {
    let mut buf = vec![0; CHUNK_BYTES];
    while left > 0 {
        let wanted = left.min(buf.len());
        let Ok(size @ 1..) = rx.read(&mut buf[..wanted]).await else { return };
        if conn.number < conn.frozen_below.get() {
            std::future::pending::<()>().await;
        }
        if !conn.chunk_delay.get().is_zero() {
            sleep(conn.chunk_delay.get()).await;
        }
        if tx.write_all(&buf[..size]).await.is_err() {
            return;
        }
        count(size);
        left -= size;
    }
}
