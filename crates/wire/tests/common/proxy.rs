//! A byte proxy that can be cut after a number of bytes, or freeze.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use model::HostAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How many bytes pass in each direction before the connection is closed.
#[derive(Clone, Copy)]
pub struct Allowance {
    pub requests: usize,
    pub answers: usize,
}

impl Allowance {
    pub const ALL: Self = Self { requests: usize::MAX, answers: usize::MAX };
}

/// The most bytes that pass at a time.
pub const PIECE_BYTES: usize = 16 * 1024;

/// How the proxy treats bytes right now.
#[derive(Clone)]
struct LinkState {
    number: usize,
    frozen_below: Rc<Cell<usize>>,
    pace: Rc<Cell<Duration>>,
}

/// A running proxy.
pub struct Proxy {
    pub addr: HostAddr,
    passed: Rc<Cell<(usize, usize)>>,
    current: Rc<RefCell<Vec<JoinHandle<()>>>>,
    connections: Rc<Cell<usize>>,
    frozen_below: Rc<Cell<usize>>,
    pace: Rc<Cell<Duration>>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    pub async fn start(to: HostAddr, allowance: Allowance) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = HostAddr(listener.local_addr().unwrap());
        let passed = Rc::new(Cell::new((0, 0)));
        let current = Rc::new(RefCell::new(Vec::new()));
        let (count, tasks) = (passed.clone(), current.clone());
        let frozen_below = Rc::new(Cell::new(0));
        let connections = Rc::new(Cell::new(0));
        let number = connections.clone();
        let pace = Rc::new(Cell::new(Duration::ZERO));
        let link = LinkState { number: 0, frozen_below: frozen_below.clone(), pace: pace.clone() };
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((io, _)) = listener.accept().await {
                let link = LinkState { number: number.get(), ..link.clone() };
                number.set(number.get() + 1);
                let out = TcpStream::connect(to.0).await.unwrap();
                let pass = pass_all(io, out, allowance, count.clone(), link);
                tasks.borrow_mut().push(tokio::task::spawn_local(pass));
            }
        });
        current.borrow_mut().push(accepting);
        Self { addr, passed, current, connections, frozen_below, pace }
    }

    /// Returns the bytes that passed as requests and as answers.
    pub fn passed(&self) -> (usize, usize) {
        self.passed.get()
    }

    /// Passes nothing from now on, but keeps all connections and accepts new ones.
    pub fn freeze(&self) {
        self.frozen_below.set(usize::MAX);
    }

    /// Passes nothing more over the connections that there are, but goes on with new ones.
    pub fn freeze_existing(&self) {
        self.frozen_below.set(self.connections.get());
    }

    /// Passes one piece of [`PIECE_BYTES`] per `pause` in each direction from now on.
    pub fn slow_down(&self, pause: Duration) {
        self.pace.set(pause);
    }

    /// Breaks everything off.
    pub fn stop(&self) {
        for task in self.current.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

async fn pass_all(
    a: TcpStream,
    b: TcpStream,
    left: Allowance,
    count: Rc<Cell<(usize, usize)>>,
    link: LinkState,
) {
    let ((a_rx, a_tx), (b_rx, b_tx)) = (a.into_split(), b.into_split());
    let requests = pass(a_rx, b_tx, left.requests, &link, |size| {
        let (requests, answers) = count.get();
        count.set((requests + size, answers));
    });
    let answers = pass(b_rx, a_tx, left.answers, &link, |size| {
        let (requests, answers) = count.get();
        count.set((requests, answers + size));
    });
    tokio::select! {
        () = requests => {}
        () = answers => {}
    }
}

/// Passes bytes until the end, an error or the allowance is reached.
async fn pass(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    mut left: usize,
    link: &LinkState,
    count: impl Fn(usize),
) {
    let mut buf = vec![0; PIECE_BYTES];
    while left > 0 {
        let wanted = left.min(buf.len());
        let Ok(size @ 1..) = rx.read(&mut buf[..wanted]).await else { return };
        if link.number < link.frozen_below.get() {
            std::future::pending::<()>().await;
        }
        if !link.pace.get().is_zero() {
            sleep(link.pace.get()).await;
        }
        if tx.write_all(&buf[..size]).await.is_err() {
            return;
        }
        count(size);
        left -= size;
    }
}
