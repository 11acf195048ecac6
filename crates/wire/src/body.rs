//! Request and response bodies, sent and received under HTTP/2 flow control.
//!
//! A body is either delivered completely or ends with an error.

use std::future::poll_fn;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::{self, LocalBoxStream};
use h2::{Reason, RecvStream, SendStream};
use http::{HeaderMap, HeaderName, HeaderValue};
use log::debug;
use snafu::Snafu;
use tokio::sync::{Semaphore, SemaphorePermit};

/// A stream of the chunks of a response body. An error ends the stream and means that the body is
/// incomplete.
pub type Body = LocalBoxStream<'static, Result<Bytes, BodyError>>;

/// Why a body is incomplete.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The sender aborted the body, or the connection failed.
    #[snafu(display("the body was truncated after {received} bytes"))]
    Truncated {
        /// Bytes received until then.
        received: u64,
    },
    /// The body is shorter or longer than announced.
    #[snafu(display("received at least {found} bytes of a body, expected {expected}"))]
    LengthMismatch {
        /// Bytes received.
        found: u64,
        /// Announced length in bytes.
        expected: u64,
    },
}

/// Returns a body that consists of `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    stream::iter((!bytes.is_empty()).then_some(Ok(bytes))).boxed_local()
}

/// Whether the END_STREAM flag is set on the last frame of a chunk.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndStream {
    /// More data follows.
    No,
    /// The chunk is the last one.
    Yes,
}

/// Sends `data` as flow control allows.
pub(crate) async fn send(
    tx: &mut SendStream<Bytes>,
    mut data: Bytes,
    end: EndStream,
) -> Result<(), h2::Error> {
    while !data.is_empty() {
        let capacity = reserve_capacity(tx, data.len()).await?;
        let chunk = data.split_to(capacity);
        let last = data.is_empty() && end == EndStream::Yes;
        tx.send_data(chunk, last)?;
        if last {
            return Ok(());
        }
    }
    match end {
        EndStream::No => Ok(()),
        EndStream::Yes => tx.send_data(Bytes::new(), true),
    }
}

/// Waits until at least one of `wanted` bytes can be sent, and returns how many can.
async fn reserve_capacity(tx: &mut SendStream<Bytes>, wanted: usize) -> Result<usize, h2::Error> {
    tx.reserve_capacity(wanted);
    while tx.capacity() == 0 {
        let granted = poll_fn(|cx| tx.poll_capacity(cx)).await;
        granted.unwrap_or_else(|| Err(Reason::STREAM_CLOSED.into()))?;
    }
    Ok(tx.capacity().min(wanted))
}

/// Trailer that marks a truncated response. A stream reset would discard the data that is still
/// buffered, including the response head.
const TRUNCATED_TRAILER: HeaderName = HeaderName::from_static("papayarill-cut");

/// Sends a complete body. If it fails or differs from the announced length, sends a trailer that
/// marks it as truncated, so that the receiver doesn't mistake it for complete.
pub(crate) async fn send_body(tx: &mut SendStream<Bytes>, body: Body, expected: Option<u64>) {
    let mut body = check_length(body, expected);
    loop {
        let chunk = tokio::select! {
            biased;
            _ = poll_fn(|cx| tx.poll_reset(cx)) => return,
            chunk = body.next() => chunk,
        };
        let sent = match chunk {
            Some(Ok(data)) => send(tx, data, EndStream::No).await,
            None => return drop(send(tx, Bytes::new(), EndStream::Yes).await),
            Some(Err(e)) => {
                debug!("wire: response body truncated: {e}");
                return send_truncated(tx);
            }
        };
        if sent.is_err() {
            return;
        }
    }
}

fn send_truncated(tx: &mut SendStream<Bytes>) {
    let mut trailers = HeaderMap::new();
    trailers.insert(TRUNCATED_TRAILER, HeaderValue::from_static("1"));
    if let Err(e) = tx.send_trailers(trailers) {
        debug!("wire: cannot send the trailer of a truncated response: {e}");
        tx.send_reset(Reason::INTERNAL_ERROR);
    }
}

fn is_truncated(trailers: Option<&HeaderMap>) -> bool {
    trailers.is_some_and(|t| t.contains_key(TRUNCATED_TRAILER))
}

/// State of the stream that [`check_length`] returns.
struct LengthCheck {
    body: Body,
    received: u64,
    expected: Option<u64>,
}

/// Returns `body` as a stream that ends with an error if the length differs from `expected`.
pub(crate) fn check_length(body: Body, expected: Option<u64>) -> Body {
    let start = LengthCheck { body, received: 0, expected };
    stream::unfold(Some(start), |state| async move { next_length_checked(state?).await })
        .boxed_local()
}

/// What one step of [`stream::unfold`] returns.
type Step<S> = Option<(Result<Bytes, BodyError>, Option<S>)>;

async fn next_length_checked(mut state: LengthCheck) -> Step<LengthCheck> {
    let chunk = state.body.next().await;
    if let Some(Ok(data)) = &chunk {
        state.received += data.len() as u64;
    }
    let found = state.received;
    match (chunk, state.expected) {
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

/// Memory that a stream reserves for the data that it receives.
///
/// All streams of a server share one semaphore, with a permit per byte. Dropping the reservation
/// releases the memory.
pub(crate) struct MemoryReservation<'a> {
    available: &'a Semaphore,
    reserved: Option<SemaphorePermit<'a>>,
}

impl<'a> MemoryReservation<'a> {
    pub(crate) fn new(available: &'a Semaphore) -> Self {
        Self { available, reserved: None }
    }

    /// Reserves `size` more bytes, until the reservation is dropped.
    fn reserve(&mut self, size: usize) -> Result<(), ReadError> {
        let size = u32::try_from(size).map_err(|_| ReadError::TooLarge)?;
        let permit = self.available.try_acquire_many(size).map_err(|_| ReadError::OutOfMemory)?;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(permit),
            None => self.reserved = Some(permit),
        }
        Ok(())
    }
}

/// Reads frames and bodies from one HTTP/2 stream, and releases flow-control capacity only for data
/// that it has taken from the stream.
pub(crate) struct FrameReader<'a> {
    rx: RecvStream,
    buf: BytesMut,
    memory: Option<MemoryReservation<'a>>,
}

/// Why a frame could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The stream was reset or the connection failed.
    Interrupted(h2::Error),
    /// The stream ended too early.
    UnexpectedEnd,
    /// The frame or body exceeds its size limit.
    TooLarge,
    /// The memory for received data is exhausted.
    OutOfMemory,
}

impl<'a> FrameReader<'a> {
    pub(crate) fn new(rx: RecvStream) -> Self {
        Self { rx, buf: BytesMut::new(), memory: None }
    }

    /// Reserves memory for all received data from `memory`.
    pub(crate) fn with_memory(self, memory: MemoryReservation<'a>) -> Self {
        Self { memory: Some(memory), ..self }
    }

    /// Reads a frame that is prefixed with its length in four bytes.
    pub(crate) async fn read_frame(&mut self, limit: usize) -> Result<Bytes, ReadError> {
        self.fill(size_of::<u32>()).await?;
        let length = usize::try_from(self.buf.get_u32()).unwrap_or(usize::MAX);
        if length > limit {
            return Err(ReadError::TooLarge);
        }
        self.fill(length).await?;
        Ok(self.buf.split_to(length).freeze())
    }

    /// Reads the rest of the stream, and returns it with the memory reserved for it.
    pub(crate) async fn read_to_end(
        mut self,
        limit: usize,
    ) -> Result<(Bytes, Option<MemoryReservation<'a>>), ReadError> {
        loop {
            if self.buf.len() > limit {
                return Err(ReadError::TooLarge);
            }
            if self.read_chunk().await? == ReadStatus::End {
                return Ok((self.buf.freeze(), self.memory));
            }
        }
    }

    /// Reads until the buffer holds `wanted` bytes.
    async fn fill(&mut self, wanted: usize) -> Result<(), ReadError> {
        while self.buf.len() < wanted {
            if self.read_chunk().await? == ReadStatus::End {
                return Err(ReadError::UnexpectedEnd);
            }
        }
        Ok(())
    }

    /// Appends the next chunk to the buffer.
    async fn read_chunk(&mut self) -> Result<ReadStatus, ReadError> {
        let Some(data) = self.rx.data().await else { return Ok(ReadStatus::End) };
        let data = data.map_err(ReadError::Interrupted)?;
        if let Some(memory) = &mut self.memory {
            memory.reserve(data.len())?;
        }
        self.buf.extend_from_slice(&data);
        release(&mut self.rx, data.len());
        Ok(ReadStatus::Chunk)
    }
}

/// What a read from a stream returned.
#[derive(PartialEq, Eq)]
enum ReadStatus {
    Chunk,
    End,
}

impl FrameReader<'static> {
    /// Turns the rest of the stream into a body, which owns `guard`.
    pub(crate) fn into_body<G: 'static>(self, guard: G) -> Body {
        let start = ReceivedBody { reader: self, unreleased: 0, received: 0, _guard: guard };
        stream::unfold(Some(start), |state| async move { next_received(state?).await })
            .boxed_local()
    }
}

fn release(rx: &mut RecvStream, size: usize) {
    // This fails only on a closed stream, which needs no capacity.
    let _ = rx.flow_control().release_capacity(size);
}

/// A body that is being received. The capacity that a chunk took is released when the consumer asks
/// for the next chunk.
struct ReceivedBody<G> {
    reader: FrameReader<'static>,
    unreleased: usize,
    received: u64,
    _guard: G,
}

async fn next_received<G>(mut state: ReceivedBody<G>) -> Step<ReceivedBody<G>> {
    release(&mut state.reader.rx, std::mem::take(&mut state.unreleased));
    if !state.reader.buf.is_empty() {
        let data = state.reader.buf.split().freeze();
        state.received += data.len() as u64;
        return Some((Ok(data), Some(state)));
    }
    match state.reader.rx.data().await {
        Some(Ok(data)) => {
            state.unreleased = data.len();
            state.received += data.len() as u64;
            Some((Ok(data), Some(state)))
        }
        Some(Err(_)) => Some((Err(BodyError::Truncated { received: state.received }), None)),
        None => match state.reader.rx.trailers().await {
            Ok(trailers) if !is_truncated(trailers.as_ref()) => None,
            Ok(_) | Err(_) => Some((Err(BodyError::Truncated { received: state.received }), None)),
        },
    }
}
