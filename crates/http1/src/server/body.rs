//! The body of a request: the connection stores what it decodes, and the handler takes it out.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::Instant;

/// Why the body of a request could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum RequestBodyError {
    /// A chunk or a trailer is malformed.
    #[snafu(display("a chunk or a trailer is malformed"))]
    Malformed,
    /// The connection ended before the body.
    #[snafu(display("the connection ended before the body"))]
    Cut,
}

/// What a connection and the handler of a request share of its body.
#[derive(Debug, Default)]
pub(super) struct BodyState {
    unread: BytesMut,
    ended: bool,
    error: Option<RequestBodyError>,
    reader_gone: bool,
    awaited: bool,
    reader: Option<Waker>,
    connection: Option<Waker>,
}

/// The side of the connection. Dropping it before the end of the body cuts the body.
#[derive(Debug)]
pub(super) struct BodyWriter(Rc<RefCell<BodyState>>);

impl BodyWriter {
    /// Appends decoded bytes, or drops them if nobody reads them. They are a part of a buffer of
    /// `allocated` bytes, from which few are copied, since it would stay allocated with them.
    pub(super) fn push(&self, data: BytesMut, allocated: usize) {
        let mut state = self.0.borrow_mut();
        if state.reader_gone {
            return;
        }
        match state.unread.is_empty() && data.len() >= allocated / 2 {
            true => state.unread = data,
            false => state.unread.extend_from_slice(&data),
        }
        wake(state.reader.take());
    }

    /// Marks the body as complete.
    pub(super) fn end(&self) {
        let mut state = self.0.borrow_mut();
        state.ended = true;
        wake(state.reader.take());
    }

    /// Reports an error to the reader.
    pub(super) fn fail(&self, error: RequestBodyError) {
        let mut state = self.0.borrow_mut();
        state.error = Some(error);
        wake(state.reader.take());
    }

    /// Returns the state, to count the unread bytes.
    pub(super) fn state(&self) -> Rc<RefCell<BodyState>> {
        self.0.clone()
    }

    /// Returns whether the handler has dropped the body.
    pub(super) fn is_reader_gone(&self) -> bool {
        self.0.borrow().reader_gone
    }

    /// Returns whether the handler waits for the body.
    pub(super) fn is_awaited(&self) -> bool {
        self.0.borrow().awaited
    }

    /// Wakes the connection when the handler takes bytes, waits for bytes or drops the body.
    /// The connection passes `None` while it polls its handlers, which needs no wake-up.
    pub(super) fn set_connection_waker(&self, waker: Option<Waker>) {
        self.0.borrow_mut().connection = waker;
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        if !self.0.borrow().ended {
            self.fail(RequestBodyError::Cut);
        }
    }
}

impl BodyState {
    /// Returns the number of bytes that the handler has not taken.
    pub(super) fn unread_bytes(&self) -> usize {
        self.unread.len()
    }

    /// Returns what they take in memory.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.unread.capacity()
    }
}

fn wake(waker: Option<Waker>) {
    if let Some(waker) = waker {
        waker.wake();
    }
}

/// The body of a request. Dropping it discards the rest.
#[derive(Debug)]
pub struct RequestBody {
    state: Option<Rc<RefCell<BodyState>>>,
    length: Option<u64>,
    received_at: Instant,
}

impl RequestBody {
    /// Creates an empty body.
    pub(super) fn empty(received_at: Instant) -> Self {
        Self { state: None, length: Some(0), received_at }
    }

    /// Creates a body of the given length, if known, and its writer.
    pub(super) fn new(length: Option<u64>, received_at: Instant) -> (Self, BodyWriter) {
        let state = Rc::<RefCell<BodyState>>::default();
        (Self { state: Some(state.clone()), length, received_at }, BodyWriter(state))
    }

    /// Returns how long ago the head of the request was received.
    pub fn age(&self) -> Duration {
        self.received_at.elapsed()
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = RequestBodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RequestBodyError>>> {
        let Some(shared) = self.state.clone() else { return Poll::Ready(None) };
        let mut state = shared.borrow_mut();
        if !state.unread.is_empty() {
            let data = state.unread.split().freeze();
            self.length = self.length.map(|l| l.saturating_sub(data.len() as u64));
            wake(state.connection.take());
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if let Some(error) = state.error {
            return Poll::Ready(Some(Err(error)));
        }
        if state.ended {
            return Poll::Ready(None);
        }
        state.reader = Some(cx.waker().clone());
        if !std::mem::replace(&mut state.awaited, true) {
            wake(state.connection.take());
        }
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.state.as_ref().is_none_or(|s| {
            let state = s.borrow();
            state.ended && state.unread.is_empty()
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let Some(state) = &self.state {
            let mut state = state.borrow_mut();
            state.reader_gone = true;
            state.unread = BytesMut::new();
            wake(state.connection.take());
        }
    }
}
