//! Byte counters: per connection for liveness checks, and per client for metrics and measurements.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use model::derive_common;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

derive_common! {
    value
    /// Bytes exchanged since the client was created, without the overhead of TCP and IP.
    #[derive(Default)]
    pub struct Traffic {
        /// Bytes sent.
        pub sent: u64,
        /// Bytes received.
        pub received: u64,
    }
}

impl Traffic {
    fn add(counter: &Cell<Self>, sent: usize, received: usize) {
        let mut traffic = counter.get();
        traffic.sent += sent as u64;
        traffic.received += received as u64;
        counter.set(traffic);
    }
}

/// A TCP stream whose bytes are counted, both separately and in a total.
pub(crate) struct Metered {
    io: TcpStream,
    own: Rc<Cell<Traffic>>,
    total: Rc<Cell<Traffic>>,
}

impl Metered {
    /// Counts the bytes of `io` in `own`, which belongs to this connection, and in `total`, which
    /// is shared.
    pub(crate) fn new(io: TcpStream, own: Rc<Cell<Traffic>>, total: Rc<Cell<Traffic>>) -> Self {
        Self { io, own, total }
    }

    fn count(&self, sent: usize, received: usize) {
        Traffic::add(&self.own, sent, received);
        Traffic::add(&self.total, sent, received);
    }
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.count(0, buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.count(sent, 0);
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs))?;
        self.count(sent, 0);
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
