//! The state of a connection: the requests in progress, and what is read and written for them.

mod responses;
mod streaming;

use std::collections::VecDeque;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker, ready};

use bytes::BytesMut;
use futures_util::stream::{FuturesUnordered, Stream};
use http::{Request, Response};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, Sleep, sleep_until};

use super::body::{BodyWriter, RequestBody, RequestBodyError};
use super::decoder::{Decoded, Decoder};
use super::head::{Head, take_head};
use super::output::Output;
use super::pace::Pace;
use super::pending::{Answer, Pending, State};
use super::response_body::ResponseBody;
use super::{HeldBytes, MemoryFreed, Policy, Settings};
use streaming::Streaming;

/// The free space for a read, in bytes. Most requests are shorter.
const MIN_READ_BYTES: usize = 4 << 10;

/// The buffer for a head that is longer, in bytes: above the usual limit of 16 KiB. One that exceeds
/// this gets a buffer for the longest head at once, since buffers that grow step by step leave holes
/// between those of other connections.
const LONG_HEAD_BYTES: usize = 24 << 10;

/// The free space for a read of a body of unknown length, in bytes.
const CHUNKED_READ_BYTES: usize = 16 << 10;

/// What follows when a poll of a connection is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The connection is polled again, and may need input now or no longer.
    Continue,
    /// The connection has ended.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    /// The last response is being written.
    Closing,
    /// Everything is written and the sending side closed; input is discarded until the caller closes
    /// its side.
    Lingering,
}

/// What the timer limits. Another number of requests or refusals restarts it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Pause { refusals: u32 },
    Head { requests: u64 },
    Discard,
    Linger,
}

/// The body that is being read. It belongs to the request that was read last.
struct CurrentBody {
    decoder: Decoder,
    writer: BodyWriter,
    expects_continue: bool,
    /// Whether the response to its request is encoded.
    answered: bool,
}

/// A connection with handlers `H`, their futures `F`, which return the number of their request, and
/// their guards `G`.
pub(super) struct Connection<H, F, G, P: Policy> {
    settings: Settings,
    handler: H,
    policy: P,
    phase: Phase,
    lost_caller: bool,
    input: BytesMut,
    /// What the buffer of `input` takes in memory.
    input_allocated: usize,
    /// Set while there is no room for more input.
    memory_freed: Option<MemoryFreed>,
    /// The number of bytes of `input` that are known to contain no end of a head.
    searched: usize,
    /// Whether further requests are read.
    accepts_heads: bool,
    closes_after_next: bool,
    caller_closes: bool,
    body: Option<CurrentBody>,
    /// The number of bytes of the current body, or after the last request, that were discarded.
    discarded: u64,
    pending: VecDeque<Pending<G>>,
    /// The number of the first pending request.
    first: u64,
    /// Boxed, because the collection itself takes as much memory as one future.
    running: FuturesUnordered<Pin<Box<F>>>,
    output: Output,
    streaming: Option<Streaming<G>>,
    /// Whether the connection is reset at its end, which would mark the end of a response.
    resets: bool,
    /// The guards of encoded responses, and the position in the output where these end.
    guards: VecDeque<(u64, G)>,
    pace: Pace,
    holds_guards: bool,
    lingers: bool,
    timer: Pin<Box<Sleep>>,
    purpose: Option<Purpose>,
    held: HeldBytes,
}

impl<H, F, G, P: Policy> Drop for Connection<H, F, G, P> {
    fn drop(&mut self) {
        if self.held != HeldBytes::default() {
            self.policy.record_held_bytes(HeldBytes::default());
        }
    }
}

impl<H, F, G, P> Connection<H, F, G, P>
where
    H: Fn(u64, Request<RequestBody>) -> F,
    F: Future<Output = (u64, (Response<ResponseBody>, G))>,
    P: Policy,
{
    pub(super) fn new(settings: Settings, handler: H, policy: P) -> Self {
        Self {
            settings,
            handler,
            policy,
            phase: Phase::Open,
            lost_caller: false,
            input: BytesMut::new(),
            input_allocated: 0,
            memory_freed: None,
            searched: 0,
            accepts_heads: true,
            closes_after_next: false,
            caller_closes: false,
            body: None,
            discarded: 0,
            pending: VecDeque::new(),
            first: 0,
            running: FuturesUnordered::new(),
            output: Output::default(),
            streaming: None,
            resets: false,
            guards: VecDeque::new(),
            pace: Pace::default(),
            holds_guards: false,
            lingers: false,
            timer: Box::pin(sleep_until(Instant::now())),
            purpose: None,
            held: HeldBytes::default(),
        }
    }

    /// Reads no further requests, and closes the connection after the pending responses. If nothing
    /// was read yet, the first request is still answered.
    pub(super) fn close(&mut self) {
        self.closes_after_next = true;
        self.accepts_heads &= self.first == 0 && self.pending.is_empty();
    }

    /// Cancels all requests. Responses that are encoded are still written.
    pub(super) fn caller_left(&mut self) {
        self.lost_caller = true;
        self.begin_closing();
    }

    /// Returns whether the caller has closed the connection or its sending side.
    pub(super) fn has_lost_caller(&self) -> bool {
        self.lost_caller
    }

    /// Returns whether the connection is to be reset.
    pub(super) fn resets(&self) -> bool {
        self.resets
    }

    /// Returns whether more is to be read from the socket.
    pub(super) fn wants_input(&self) -> bool {
        if self.lost_caller || self.memory_freed.is_some() {
            return false;
        }
        match (self.phase, &self.body) {
            (Phase::Closing | Phase::Lingering, _) => {
                self.discarded <= self.settings.max_discarded_bytes
            }
            (Phase::Open, Some(body)) => {
                body.writer.is_reader_gone() || self.unread_bytes() < self.settings.max_unread_bytes
            }
            // What was read before may contain the next head.
            (Phase::Open, None) => self.can_take_head() && self.searched == self.input.len(),
        }
    }

    /// Makes all possible progress. Input is read from `reader`, if there is one.
    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
        mut reader: Option<&mut ReadHalf<'_>>,
        writer: &mut WriteHalf<'_>,
    ) -> Poll<Step> {
        self.set_body_waker(None);
        if let Some(freed) = &mut self.memory_freed
            && freed.as_mut().poll(cx).is_ready()
        {
            self.memory_freed = None;
        }
        let mut socket_empty = false;
        loop {
            let mut progress = false;
            if let Some(reader) = reader.as_deref_mut()
                && !socket_empty
                && self.wants_input()
            {
                match self.poll_read(cx, reader) {
                    Poll::Ready(Ok(0)) => self.caller_left(),
                    Poll::Ready(Ok(_)) => {
                        // Replaces what was reserved for this read.
                        self.record_held_bytes();
                        progress = true;
                    }
                    Poll::Ready(Err(_)) => return Poll::Ready(Step::End),
                    Poll::Pending => socket_empty = true,
                }
            }
            progress |= self.parse();
            self.start_handlers();
            progress |= self.poll_handlers(cx);
            self.ask_for_body();
            self.encode();
            progress |= self.poll_stream(cx);
            match self.poll_write(cx, writer) {
                Poll::Ready(Ok(wrote)) => progress |= wrote,
                Poll::Ready(Err(_)) => return Poll::Ready(Step::End),
                Poll::Pending => {}
            }
            if self.poll_closed(cx, writer) {
                return Poll::Ready(Step::End);
            }
            if !progress {
                break;
            }
        }
        if let Some(expired) = self.poll_timer(cx) {
            match expired {
                Purpose::Pause { .. } => self.pace.resume(),
                Purpose::Discard => {
                    self.begin_closing();
                    self.lingers = false;
                }
                Purpose::Head { .. } | Purpose::Linger => return Poll::Ready(Step::End),
            }
            return Poll::Ready(Step::Continue);
        }
        if self.input.is_empty() {
            // An idle connection holds no buffer.
            self.input = BytesMut::new();
            self.input_allocated = 0;
        }
        self.record_held_bytes();
        self.set_body_waker(Some(cx.waker()));
        if !self.lost_caller && self.wants_input() != reader.is_some() {
            return Poll::Ready(Step::Continue);
        }
        Poll::Pending
    }

    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        reader: &mut ReadHalf<'_>,
    ) -> Poll<io::Result<usize>> {
        // Memory is allocated only once there is something to read.
        ready!(reader.as_ref().poll_read_ready(cx))?;
        let expected = match &self.body {
            Some(body) => body.decoder.bytes_left().map_or(CHUNKED_READ_BYTES, |left| {
                usize::try_from(left).unwrap_or(usize::MAX).min(self.settings.max_unread_bytes)
            }),
            None if self.input.len() < MIN_READ_BYTES / 2 => 0,
            None if self.input.len() < LONG_HEAD_BYTES / 2 => LONG_HEAD_BYTES - self.input.len(),
            None => self.settings.max_head_bytes.saturating_sub(self.input.len()),
        };
        let expected = expected.max(MIN_READ_BYTES);
        if self.input.capacity() - self.input.len() < MIN_READ_BYTES / 2 {
            // A buffer that grows is copied, and its size may double.
            let enlarged = (self.input.len() + expected).max(2 * self.input.capacity());
            if let Err(mut freed) = self.policy.reserve(enlarged) {
                match freed.as_mut().poll(cx) {
                    Poll::Pending => self.memory_freed = Some(freed),
                    Poll::Ready(()) => cx.waker().wake_by_ref(),
                }
                return Poll::Pending;
            }
            self.input.reserve(expected);
            self.input_allocated = self.input_allocated.max(self.input.capacity());
        }
        let n = ready!(pin!(reader.read_buf(&mut self.input)).poll(cx))?;
        if self.phase != Phase::Open {
            self.discarded += n as u64;
            self.input.clear();
        }
        Poll::Ready(Ok(n))
    }

    /// Returns whether all requests are answered.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty() && self.streaming.is_none()
    }

    fn can_take_head(&self) -> bool {
        self.accepts_heads
            && !self.pace.is_paused()
            && (self.is_idle() || !self.pace.is_slow() && !self.policy.is_memory_short())
            && self.pending.len() < self.settings.max_requests
            && self.pending.iter().map(Pending::unread_bytes).sum::<usize>()
                < self.settings.max_unread_bytes
            && self.unwritten_bytes() < self.settings.max_unwritten_bytes
    }

    /// Returns whether any input was processed.
    fn parse(&mut self) -> bool {
        let mut progress = false;
        while self.phase == Phase::Open {
            if self.body.is_some() {
                if !self.decode_body() {
                    break;
                }
            } else if self.input.is_empty() || !self.can_take_head() {
                break;
            } else {
                let max_bytes = self.settings.max_head_bytes;
                // Input may be wanted once all of it was searched.
                let wanted_input = self.wants_input();
                match take_head(&mut self.input, &mut self.searched, max_bytes) {
                    Ok(Some(head)) => self.accept(head),
                    Ok(None) => return progress || !wanted_input && self.wants_input(),
                    Err(error) => {
                        self.accepts_heads = false;
                        self.pending.push_back(Pending::refused(error));
                    }
                }
            }
            progress = true;
        }
        progress
    }

    fn accept(&mut self, head: Head) {
        let now = Instant::now();
        let body = match head.body {
            None => RequestBody::empty(now),
            Some(decoder) => {
                let (body, writer) = RequestBody::new(decoder.bytes_left(), now);
                let expects_continue = head.expects_continue;
                self.body =
                    Some(CurrentBody { decoder, writer, expects_continue, answered: false });
                body
            }
        };
        self.pace.head_arrived(now);
        self.accepts_heads = head.keep_alive && !self.closes_after_next;
        self.caller_closes = !head.keep_alive;
        self.discarded = 0;
        let state = self.body.as_ref().map(|b| b.writer.state());
        self.pending.push_back(Pending::new(head.parts, head.bytes, body, state));
    }

    /// Returns whether any input was processed.
    fn decode_body(&mut self) -> bool {
        let Some(body) = &mut self.body else { return false };
        match body.decoder.decode(&mut self.input) {
            Ok(Decoded::Incomplete) => return false,
            Ok(Decoded::Data(data)) => {
                body.expects_continue = false;
                if body.writer.is_reader_gone() {
                    self.discarded += data.len() as u64;
                }
                body.writer.push(data, self.input_allocated);
                if self.discarded > self.settings.max_discarded_bytes {
                    self.accepts_heads = false;
                    self.body = None;
                }
            }
            Ok(Decoded::End) => {
                body.writer.end();
                self.body = None;
            }
            Err(_) => {
                body.writer.fail(RequestBodyError::Malformed);
                self.accepts_heads = false;
                self.body = None;
            }
        }
        true
    }

    /// Starts the requests that need not wait for earlier responses.
    fn start_handlers(&mut self) {
        for i in 0..self.pending.len() {
            let is_next = i == 0 && self.output.is_empty() && self.streaming.is_none();
            let State::Waiting(head, _) = &self.pending[i].state else { continue };
            if !is_next {
                if self.unwritten_bytes() >= self.settings.max_unwritten_bytes {
                    return;
                }
                if self.pending[i].must_wait || !self.policy.may_start_early(head) {
                    self.pending[i].must_wait = true;
                    continue;
                }
            }
            if let Some(started) = self.pending[i].start() {
                self.running.push(Box::pin((self.handler)(self.first + i as u64, started)));
            }
        }
    }

    /// Returns whether any handler completed.
    fn poll_handlers(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while let Poll::Ready(Some((number, (response, guard)))) =
            Pin::new(&mut self.running).poll_next(cx)
        {
            let index = usize::try_from(number - self.first).unwrap_or(usize::MAX);
            if let Some(request) = self.pending.get_mut(index) {
                request.state = State::Done(Answer::new(response, guard));
            }
            progress = true;
        }
        progress
    }

    fn set_body_waker(&self, waker: Option<&Waker>) {
        if let Some(body) = &self.body {
            body.writer.set_connection_waker(waker.cloned());
        }
    }

    fn unwritten_bytes(&self) -> usize {
        self.output.len() + self.pending.iter().map(Pending::unwritten_bytes).sum::<usize>()
    }

    fn unread_bytes(&self) -> usize {
        let answered = self.body.as_ref().filter(|b| b.answered);
        let answered = answered.map_or(0, |b| b.writer.state().borrow().unread_bytes());
        let pending: usize = self.pending.iter().map(Pending::unread_bytes).sum();
        self.input.len() + pending + answered
    }

    /// Returns what the connection has allocated for its caller.
    fn allocated_bytes(&self) -> usize {
        let pending: usize = self.pending.iter().map(Pending::allocated_bytes).sum();
        let answered = self.body.as_ref().filter(|b| b.answered);
        let answered = answered.map_or(0, |b| b.writer.state().borrow().allocated_bytes());
        let handlers = self.running.len() * size_of::<F>();
        self.input_allocated + pending + answered + handlers + self.output.allocated_bytes()
    }

    /// Input counts also while nothing is read: the caller has sent more than is served at a time.
    fn bytes_awaiting_caller(&self) -> usize {
        let body = self.body.as_ref().filter(|_| self.wants_input());
        let unread = body.map_or(0, |b| b.writer.state().borrow().allocated_bytes());
        self.output.allocated_bytes() + self.input_allocated + unread
    }

    fn record_held_bytes(&mut self) {
        let held = HeldBytes {
            unwritten: self.unwritten_bytes(),
            unread: self.unread_bytes(),
            allocated: self.allocated_bytes(),
            awaiting_caller: self.bytes_awaiting_caller(),
        };
        if held != self.held {
            self.held = held;
            self.policy.record_held_bytes(held);
        }
    }
}
