//! Crowds of clients on a thread of their own, so that they don't slow down the backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// A small receive buffer, so that what a client doesn't read stays with the process.
const RECEIVE_BYTES: u32 = 4 << 10;

/// A client whose connection was closed comes back after this time.
const RETURN_DELAY: Duration = Duration::from_millis(500);

/// What one client does on one connection, until it is closed.
pub type Behaviour = fn(TcpStream, usize) -> LocalBoxFuture<'static, ()>;

/// A crowd that is there until it is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `clients` clients of `to`.
    pub fn start(to: SocketAddr, clients: usize, behaviour: Behaviour) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                for client in 0..clients {
                    actix_rt::spawn(stay(to, client, behaviour));
                }
                while !stopped.load(Ordering::SeqCst) {
                    sleep(Duration::from_millis(20)).await;
                }
            });
        });
        Self { stop, thread: Some(thread) }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // A panic of the crowd has been printed.
            let _ = thread.join();
        }
    }
}

async fn stay(to: SocketAddr, client: usize, behaviour: Behaviour) {
    loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        if let Ok(stream) = socket.connect(to).await {
            behaviour(stream, client).await;
        }
        sleep(RETURN_DELAY).await;
    }
}

/// Sends nothing.
pub fn silent(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    Box::pin(wait_for_close(stream))
}

/// Reads nothing until the connection is closed.
async fn wait_for_close(stream: TcpStream) {
    // Input that isn't read stays ready, so this completes for errors only.
    let _ = stream.ready(tokio::io::Interest::ERROR).await;
}

/// Sends a text once and a piece again and again, as fast as the connection takes it, and reads
/// nothing.
pub async fn send_without_end(mut stream: TcpStream, first: &[u8], piece: &[u8]) {
    if stream.write_all(first).await.is_err() {
        return;
    }
    while stream.write_all(piece).await.is_ok() {}
}

/// Sends a text and then nothing more, and reads nothing.
pub async fn send_and_stall(mut stream: TcpStream, text: &[u8]) {
    if stream.write_all(text).await.is_ok() {
        wait_for_close(stream).await;
    }
}

/// Sends a piece again and again, as fast as the connection takes it, and reads all responses.
pub async fn send_and_read(stream: TcpStream, piece: &[u8]) {
    let (mut reader, mut writer) = stream.into_split();
    let send = async { while writer.write_all(piece).await.is_ok() {} };
    let read = async {
        let mut buf = vec![0; 64 << 10];
        while reader.read(&mut buf).await.is_ok_and(|n| n > 0) {}
    };
    tokio::select! {
        () = send => {}
        () = read => {}
    }
}

/// Sends a piece again and again at a steady rate, and reads a byte now and then.
pub async fn send_and_read_slowly(mut stream: TcpStream, piece: &[u8], pause: Duration) {
    loop {
        sleep(pause).await;
        if stream.write_all(piece).await.is_err() || stream.read_u8().await.is_err() {
            return;
        }
    }
}
