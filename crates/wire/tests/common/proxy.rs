//! A byte proxy that can be cut after a number of bytes, or freeze.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use model::HostAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// How many bytes pass in each direction before the connection is closed.
#[derive(Clone, Copy)]
pub struct Allowance {
    pub requests: usize,
    pub answers: usize,
}

impl Allowance {
    pub const ALL: Self = Self { requests: usize::MAX, answers: usize::MAX };
}

/// A running proxy.
pub struct Proxy {
    pub addr: HostAddr,
    passed: Rc<Cell<(usize, usize)>>,
    current: Rc<RefCell<Vec<JoinHandle<()>>>>,
    frozen: Rc<Cell<bool>>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    pub async fn start(to: HostAddr, allowance: Allowance) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let addr = HostAddr(listener.local_addr().unwrap());
        let passed = Rc::new(Cell::new((0, 0)));
        let current = Rc::new(RefCell::new(Vec::new()));
        let (count, tasks) = (passed.clone(), current.clone());
        let frozen = Rc::new(Cell::new(false));
        let stuck = frozen.clone();
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((io, _)) = listener.accept().await {
                let out = TcpStream::connect(to.0).await.unwrap();
                let pass = pass_all(io, out, allowance, count.clone(), stuck.clone());
                tasks.borrow_mut().push(tokio::task::spawn_local(pass));
            }
        });
        current.borrow_mut().push(accepting);
        Self { addr, passed, current, frozen }
    }

    /// Returns the bytes that passed as requests and as answers.
    pub fn passed(&self) -> (usize, usize) {
        self.passed.get()
    }

    /// Passes nothing from now on, but keeps all connections and accepts new ones.
    pub fn freeze(&self) {
        self.frozen.set(true);
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
    frozen: Rc<Cell<bool>>,
) {
    let ((a_rx, a_tx), (b_rx, b_tx)) = (a.into_split(), b.into_split());
    let requests = pass(a_rx, b_tx, left.requests, &frozen, |size| {
        let (requests, answers) = count.get();
        count.set((requests + size, answers));
    });
    let answers = pass(b_rx, a_tx, left.answers, &frozen, |size| {
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
    frozen: &Cell<bool>,
    count: impl Fn(usize),
) {
    let mut buf = vec![0; 64 * 1024];
    while left > 0 {
        let wanted = left.min(buf.len());
        let Ok(size @ 1..) = rx.read(&mut buf[..wanted]).await else { return };
        if frozen.get() {
            std::future::pending::<()>().await;
        }
        if tx.write_all(&buf[..size]).await.is_err() {
            return;
        }
        count(size);
        left -= size;
    }
}
