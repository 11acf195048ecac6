//! TCP connections that report EOF as an error, so that a truncated response is an error, and that
//! pass only final responses on.
//!
//! For an idle connection, awc's pool treats an error like EOF, so a connection that the server
//! closes between two responses is dropped as usual.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector};
use awc::http::Uri;
use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::status_line::StatusLineCheck;

/// The number of bytes that are read at once until the status is known.
const HEAD_READ_BYTES: usize = 4_096;

/// Returns a connector that opens TCP connections.
pub(crate) fn connector() -> impl Service<
    ConnectInfo<Uri>,
    Response = Connection<Uri, StrictEofStream>,
    Error = ConnectError,
    Future = impl Future<Output = Result<Connection<Uri, StrictEofStream>, ConnectError>> + 'static,
> + Clone
+ 'static {
    Connector::default().service().map(|conn: Connection<Uri, TcpStream>| {
        let (io, uri) = conn.into_parts();
        // Head and body are sent in two writes. With Nagle's algorithm, the second would wait until
        // the server has acknowledged the first, which delayed ACKs postpone by about 40 ms.
        if let Err(e) = io.set_nodelay(true) {
            log::debug!("http: cannot set TCP_NODELAY: {e}");
        }
        Connection::new(uri, StrictEofStream::new(io))
    })
}

/// A TCP connection that reports EOF and bytes that are not a response as errors.
#[derive(Debug)]
pub(crate) struct StrictEofStream {
    io: TcpStream,
    check: StatusLineCheck,
    /// Bytes that have passed the check and are not read yet.
    checked: BytesMut,
}

impl StrictEofStream {
    fn new(io: TcpStream) -> Self {
        Self { io, check: StatusLineCheck::new(), checked: BytesMut::new() }
    }

    /// Reads from the socket. EOF is an error.
    fn poll_socket(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for StrictEofStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.checked.is_empty() {
            if self.check.is_done() {
                return self.poll_socket(cx, buf);
            }
            let mut bytes = [0; HEAD_READ_BYTES];
            let mut received = ReadBuf::new(&mut bytes);
            ready!(self.poll_socket(cx, &mut received))?;
            let checked = self.check.receive(received.filled());
            self.checked = checked.map_err(|_| io::Error::from(crate::NOT_A_RESPONSE))?;
        }
        let count = self.checked.len().min(buf.remaining());
        buf.put_slice(&self.checked.split_to(count));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictEofStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check.record_sent();
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check.record_sent();
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
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

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.io, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.io, cx)
    }
}
