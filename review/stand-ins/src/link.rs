//! A proxy that stands for a link: it delays bytes, and holds them back while it is cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

pub struct Link {
    /// While this is set, nothing passes, in either direction.
    pub cut: AtomicBool,
}

impl Link {
    /// Forwards connections from `at` to `to`, with a one-way delay.
    pub fn start(at: SocketAddr, to: SocketAddr, delay: Duration) -> Arc<Link> {
        let link = Arc::new(Link { cut: AtomicBool::new(false) });
        let listener = TcpListener::bind(at).expect("the link's address is free");
        let shared = link.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let link = shared.clone();
                thread::spawn(move || link.forward(near, to, delay));
            }
        });
        link
    }

    fn forward(self: Arc<Self>, near: TcpStream, to: SocketAddr, delay: Duration) {
        self.wait_until_healed();
        let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        thread::spawn(move || link.pump(near2, far2, delay));
        self.pump(far, near, delay);
    }

    fn wait_until_healed(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn pump(self: Arc<Self>, mut from: TcpStream, to: TcpStream, delay: Duration) {
        let (tx, rx) = channel();
        let link = self.clone();
        thread::spawn(move || link.deliver(rx, to));
        let mut buf = [0_u8; 65_536];
        loop {
            let n = from.read(&mut buf).unwrap_or(0);
            if tx.send((Instant::now() + delay, buf[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    }

    fn deliver(&self, rx: Receiver<(Instant, Vec<u8>)>, mut to: TcpStream) {
        while let Ok((at, bytes)) = rx.recv() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            self.wait_until_healed();
            if bytes.is_empty() {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
            if to.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}
