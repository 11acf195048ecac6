//! Bodies: sent as fast as the receiver takes them, and delivered whole or as an error.

use std::future::poll_fn;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue};
use log::debug;
use snafu::Snafu;
use tokio::sync::{Semaphore, SemaphorePermit};

/// The body of an answer in pieces. An error ends it, and then the answer is not whole.
pub type Body = LocalBoxStream<'static, Result<Bytes, BodyError>>;

/// Why a body is not whole.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The sender or the connection broke off.
    #[snafu(display("the body broke off after {received} bytes"))]
    Truncated {
        /// Bytes received before.
        received: u64,
    },
    /// The body ended early or went on too long.
    #[snafu(display("found a body of {found} bytes or more, expected {expected}"))]
    LengthMismatch {
        /// Bytes received.
        found: u64,
        /// Bytes announced.
        expected: u64,
    },
}

/// Returns a body that is `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    stream::iter((!bytes.is_empty()).then_some(Ok(bytes))).boxed_local()
}

/// Whether a stream stays open after a piece.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Then {
    /// More follows.
    GoOn,
    /// The piece is the last one.
    End,
}

/// Sends `data` as the receiver makes room for it.
pub(crate) async fn send(
    tx: &mut SendStream<Bytes>,
    mut data: Bytes,
    then: Then,
) -> Result<(), h2::Error> {
    while !data.is_empty() {
        let room = room_for(tx, data.len()).await?;
        let piece = data.split_to(room);
        let last = data.is_empty() && then == Then::End;
        tx.send_data(piece, last)?;
        if last {
            return Ok(());
        }
    }
    match then {
        Then::GoOn => Ok(()),
        Then::End => tx.send_data(Bytes::new(), true),
    }
}

/// Waits until some of `wanted` bytes can be sent, and returns how many.
async fn room_for(tx: &mut SendStream<Bytes>, wanted: usize) -> Result<usize, h2::Error> {
    tx.reserve_capacity(wanted);
    while tx.capacity() == 0 {
        let granted = poll_fn(|cx| tx.poll_capacity(cx)).await;
        granted.unwrap_or_else(|| Err(Reason::STREAM_CLOSED.into()))?;
    }
    Ok(tx.capacity().min(wanted))
}

/// Trailer of an answer that broke off. A reset would drop what still waits to be sent, with it
/// the head of the answer.
const CUT_TRAILER: HeaderName = HeaderName::from_static("papayarill-cut");

/// Sends a body to its end. One that fails, or whose length is not the announced one, ends with a
/// trailer that says so, so that the receiver cannot take it for whole.
pub(crate) async fn send_body(tx: &mut SendStream<Bytes>, body: Body, expected: Option<u64>) {
    let mut body = checked(body, expected);
    loop {
        let piece = tokio::select! {
            biased;
            _ = poll_fn(|cx| tx.poll_reset(cx)) => return,
            piece = body.next() => piece,
        };
        let sent = match piece {
            Some(Ok(data)) => send(tx, data, Then::GoOn).await,
            None => return drop(send(tx, Bytes::new(), Then::End).await),
            Some(Err(e)) => {
                debug!("wire: an answer broke off: {e}");
                return send_cut(tx);
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

fn send_cut(tx: &mut SendStream<Bytes>) {
    let mut trailers = HeaderMap::new();
    trailers.insert(CUT_TRAILER, HeaderValue::from_static("1"));
    if let Err(e) = tx.send_trailers(trailers) {
        debug!("wire: the end of a broken answer was not sent: {e}");
        tx.send_reset(Reason::INTERNAL_ERROR);
    }
}

fn is_cut(trailers: Option<&HeaderMap>) -> bool {
    trailers.is_some_and(|t| t.contains_key(CUT_TRAILER))
}

/// What [`checked`] has seen of a body.
struct Checked {
    body: Body,
    received: u64,
    expected: Option<u64>,
}

/// Ends `body` with an error unless it has the expected length.
pub(crate) fn checked(body: Body, expected: Option<u64>) -> Body {
    let start = Checked { body, received: 0, expected };
    stream::unfold(Some(start), |state| async move { next_checked(state?).await }).boxed_local()
}

type Step<S> = Option<(Result<Bytes, BodyError>, Option<S>)>;

async fn next_checked(mut state: Checked) -> Step<Checked> {
    let piece = state.body.next().await;
    if let Some(Ok(data)) = &piece {
        state.received += data.len() as u64;
    }
    let found = state.received;
    match (piece, state.expected) {
        (Some(Ok(_)), Some(expected)) if found > expected => {
            Some((Err(BodyError::LengthMismatch { found, expected }), None))
        }
        (Some(Ok(data)), _) => Some((Ok(data), Some(state))),
        (Some(Err(e)), _) => Some((Err(e), None)),
        (None, Some(expected)) if found != expected => {
            Some((Err(BodyError::LengthMismatch { found, expected }), None))
        }
        (None, _) => None,
    }
}

/// Memory for what is being received, shared by all streams of a server.
pub(crate) struct Budget<'a> {
    left: &'a Semaphore,
    taken: Option<SemaphorePermit<'a>>,
}

impl<'a> Budget<'a> {
    pub(crate) fn new(left: &'a Semaphore) -> Self {
        Self { left, taken: None }
    }

    /// Takes memory for a piece, which is given back when the budget is dropped.
    fn take(&mut self, size: usize) -> Result<(), ReadError> {
        let size = u32::try_from(size).map_err(|_| ReadError::TooLarge)?;
        let permit = self.left.try_acquire_many(size).map_err(|_| ReadError::NoMemory)?;
        match &mut self.taken {
            Some(taken) => taken.merge(permit),
            None => self.taken = Some(permit),
        }
        Ok(())
    }
}

/// Receives one stream, and gives the sender room only for what was taken out.
pub(crate) struct Inbox<'a> {
    rx: RecvStream,
    buf: BytesMut,
    budget: Option<Budget<'a>>,
}

/// Why a frame could not be received.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The stream was reset or the connection broke.
    Broken(h2::Error),
    /// The stream ended too early.
    Short,
    /// The stream holds more than the limit.
    TooLarge,
    /// The memory for what is being received is used up.
    NoMemory,
}

impl<'a> Inbox<'a> {
    pub(crate) fn new(rx: RecvStream) -> Self {
        Self { rx, buf: BytesMut::new(), budget: None }
    }

    /// Counts what is received against a budget.
    pub(crate) fn within(self, budget: Budget<'a>) -> Self {
        Self { budget: Some(budget), ..self }
    }

    /// Receives a length in four bytes and a frame of that length.
    pub(crate) async fn frame(&mut self, limit: usize) -> Result<Bytes, ReadError> {
        self.fill(size_of::<u32>()).await?;
        let length = usize::try_from(self.buf.get_u32()).unwrap_or(usize::MAX);
        if length > limit {
            return Err(ReadError::TooLarge);
        }
        self.fill(length).await?;
        Ok(self.buf.split_to(length).freeze())
    }

    /// Receives the rest of the stream, with the memory that the stream took from its budget.
    pub(crate) async fn rest(
        mut self,
        limit: usize,
    ) -> Result<(Bytes, Option<Budget<'a>>), ReadError> {
        loop {
            if self.buf.len() > limit {
                return Err(ReadError::TooLarge);
            }
            if self.more().await? == More::End {
                return Ok((self.buf.freeze(), self.budget));
            }
        }
    }

    async fn fill(&mut self, wanted: usize) -> Result<(), ReadError> {
        while self.buf.len() < wanted {
            if self.more().await? == More::End {
                return Err(ReadError::Short);
            }
        }
        Ok(())
    }

    /// Adds the next piece to the buffer.
    async fn more(&mut self) -> Result<More, ReadError> {
        let Some(data) = self.rx.data().await else { return Ok(More::End) };
        let data = data.map_err(ReadError::Broken)?;
        if let Some(budget) = &mut self.budget {
            budget.take(data.len())?;
        }
        self.buf.extend_from_slice(&data);
        release(&mut self.rx, data.len());
        Ok(More::Piece)
    }
}

/// What came next on a stream.
#[derive(PartialEq, Eq)]
enum More {
    Piece,
    End,
}

impl Inbox<'static> {
    /// Turns the rest of the stream into a body; `guard` lives as long as the body.
    pub(crate) fn into_body<G: 'static>(self, guard: G) -> Body {
        let start = Receiving { inbox: self, held: 0, received: 0, _guard: guard };
        stream::unfold(Some(start), |state| async move { next_received(state?).await })
            .boxed_local()
    }
}

fn release(rx: &mut RecvStream, size: usize) {
    // This fails only for a stream that is over, and then there is nothing to make room for.
    let _ = rx.flow_control().release_capacity(size);
}

/// A body that is being received. The sender gets room for a piece when the next one is wanted.
struct Receiving<G> {
    inbox: Inbox<'static>,
    held: usize,
    received: u64,
    _guard: G,
}

async fn next_received<G>(mut state: Receiving<G>) -> Step<Receiving<G>> {
    release(&mut state.inbox.rx, std::mem::take(&mut state.held));
    if !state.inbox.buf.is_empty() {
        let data = state.inbox.buf.split().freeze();
        state.received += data.len() as u64;
        return Some((Ok(data), Some(state)));
    }
    match state.inbox.rx.data().await {
        Some(Ok(data)) => {
            state.held = data.len();
            state.received += data.len() as u64;
            Some((Ok(data), Some(state)))
        }
        Some(Err(_)) => Some((Err(BodyError::Truncated { received: state.received }), None)),
        None => match state.inbox.rx.trailers().await {
            Ok(trailers) if !is_cut(trailers.as_ref()) => None,
            Ok(_) | Err(_) => Some((Err(BodyError::Truncated { received: state.received }), None)),
        },
    }
}
