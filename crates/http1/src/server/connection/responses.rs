//! The responses of a connection: their order, how they are written, and how the connection ends.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use http::Response;
use tokio::io::AsyncWrite;
use tokio::net::tcp::WriteHalf;
use tokio::time::Instant;

use super::streaming::Streaming;
use super::{Connection, CurrentBody, Phase, Purpose};
use crate::server::body::RequestBody;
use crate::server::output::ResponseFormat;
use crate::server::pending::{Pending, State};
use crate::server::response_body::ResponseBody;
use crate::server::{Policy, Unserved};

impl<H, F, G, P> Connection<H, F, G, P>
where
    H: Fn(u64, http::Request<RequestBody>) -> F,
    F: Future<Output = (u64, (Response<ResponseBody>, G))>,
    P: Policy,
{
    /// Asks the caller for the body that it holds back, once all earlier responses are encoded.
    pub(super) fn ask_for_body(&mut self) {
        if let Some(body) = &mut self.body
            && body.expects_continue
            && body.writer.is_awaited()
            && self.pending.len() == 1
        {
            body.expects_continue = false;
            self.output.push_continue();
        }
    }

    /// Moves completed responses to the output, in the order of the requests.
    pub(super) fn encode(&mut self) {
        while self.streaming.is_none()
            && let Some(Pending { state: State::Done(_), .. }) = self.pending.front()
            && let Some(request) = self.pending.pop_front()
            && let State::Done(answer) = request.state
        {
            self.first += 1;
            // A stopping process still answers the requests that were read.
            self.accepts_heads &= !self.policy.is_stopping();
            let is_last = self.pending.is_empty();
            let until_close = request.is_http_10 && answer.body.length().is_none();
            let close = answer.close
                || until_close
                || is_last
                    && (!self.accepts_heads || self.body.as_ref().is_some_and(|b| self.is_lost(b)));
            let format =
                ResponseFormat { is_http_10: request.is_http_10, is_head: request.is_head, close };
            self.pace.answered(answer.head.extensions.get::<Unserved>().is_some(), Instant::now());
            let streamed = self.output.push(format, &answer.head, answer.body);
            self.accepts_heads &= !close;
            if let Some((chunks, framing)) = streamed {
                self.streaming = Some(Streaming { chunks, framing, close, guard: answer.guard });
            } else {
                self.guards.extend(answer.guard.map(|guard| (self.output.end(), guard)));
                if close {
                    self.begin_closing();
                }
            }
            if !close && let Some(body) = self.body.as_mut().filter(|_| is_last) {
                body.answered = true;
            }
        }
        let answered_all = self.pending.is_empty() && self.streaming.is_none();
        if self.phase == Phase::Open && !self.accepts_heads && answered_all {
            self.begin_closing();
        }
    }

    /// Returns whether the rest of a body will not be read to its end after the response.
    fn is_lost(&self, body: &CurrentBody) -> bool {
        let left = body.decoder.bytes_left().unwrap_or(0);
        body.expects_continue
            || left > self.settings.max_discarded_bytes.saturating_sub(self.discarded)
    }

    /// Cancels all requests whose responses are not encoded, and ends the connection after the
    /// output.
    pub(super) fn begin_closing(&mut self) {
        if self.phase != Phase::Open {
            return;
        }
        self.phase = Phase::Closing;
        self.accepts_heads = false;
        self.running.clear();
        self.pending.clear();
        self.streaming = None;
        // A caller that asked for the end sends nothing more.
        self.lingers = !self.caller_closes || !self.input.is_empty() || self.body.is_some();
        self.holds_guards = self.body.is_some();
        self.body = None;
        self.input.clear();
    }

    /// Returns whether anything was written.
    pub(super) fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        writer: &mut WriteHalf<'_>,
    ) -> Poll<io::Result<bool>> {
        let mut progress = false;
        while !self.output.is_empty() {
            match self.output.poll_write(cx, writer)? {
                Poll::Ready(()) => progress = true,
                Poll::Pending => break,
            }
        }
        let written = self.output.written();
        while !self.holds_guards && self.guards.front().is_some_and(|(end, _)| *end <= written) {
            self.guards.pop_front();
        }
        Poll::Ready(Ok(progress))
    }

    /// Closes the sending side once everything is written. Returns whether the connection has ended.
    pub(super) fn poll_closed(&mut self, cx: &mut Context<'_>, writer: &mut WriteHalf<'_>) -> bool {
        if self.phase == Phase::Closing && self.output.is_empty() {
            if self.lost_caller || self.resets || !self.lingers {
                return true;
            }
            // Shutting down a TCP socket takes no time; an error shows when it is read.
            let _ = Pin::new(writer).poll_shutdown(cx);
            self.phase = Phase::Lingering;
        }
        self.phase == Phase::Lingering && !self.wants_input()
    }

    /// Returns what has timed out.
    pub(super) fn poll_timer(&mut self, cx: &mut Context<'_>) -> Option<Purpose> {
        let purpose = self.timer_purpose();
        if purpose != self.purpose {
            self.purpose = purpose;
            let limit = match purpose? {
                Purpose::Pause { .. } => self.pace.pause(),
                Purpose::Head { .. } => self.settings.head_timeout,
                Purpose::Discard | Purpose::Linger => self.settings.discard_timeout,
            };
            self.timer.as_mut().reset(Instant::now() + Duration::from(limit));
        }
        purpose.filter(|_| self.timer.as_mut().poll(cx).is_ready())
    }

    fn timer_purpose(&self) -> Option<Purpose> {
        match (self.phase, &self.body) {
            (Phase::Lingering, _) => Some(Purpose::Linger),
            (Phase::Open, None) if self.pace.is_paused() => {
                Some(Purpose::Pause { refusals: self.pace.refusals() })
            }
            (Phase::Open, Some(body))
                if body.answered && body.writer.is_reader_gone() && self.streaming.is_none() =>
            {
                Some(Purpose::Discard)
            }
            (Phase::Open, None) if self.is_idle() => Some(Purpose::Head { requests: self.first }),
            _ => None,
        }
    }
}
