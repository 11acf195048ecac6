//! The response whose body is read while it is written.

use std::task::{Context, Poll};

use http::{Request, Response};

use super::Connection;
use crate::server::Policy;
use crate::server::body::RequestBody;
use crate::server::output::Framing;
use crate::server::response_body::{BrokenOff, Chunks, ResponseBody};

/// The next part of a body is taken while less than this waits to be written, in bytes.
const MAX_UNWRITTEN_BYTES: usize = 32 << 10;

/// The rest of a response. No other response is encoded before its end.
pub(super) struct Streaming<G> {
    pub(super) chunks: Chunks,
    pub(super) framing: Framing,
    /// Whether the connection closes after it.
    pub(super) close: bool,
    pub(super) guard: Option<G>,
}

impl<H, F, G, P> Connection<H, F, G, P>
where
    H: Fn(u64, Request<RequestBody>) -> F,
    F: Future<Output = (u64, (Response<ResponseBody>, G))>,
    P: Policy,
{
    /// Moves parts of the body to the output. Returns whether there were any.
    pub(super) fn poll_stream(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progress = false;
        while self.output.len() < MAX_UNWRITTEN_BYTES
            && let Some(Streaming { chunks, framing, .. }) = &mut self.streaming
            && let Poll::Ready(next) = chunks.as_mut().poll_next(cx)
        {
            progress = true;
            let ended = next.is_none();
            let intact = match next {
                Some(Ok(chunk)) => self.output.push_chunk(framing, chunk),
                Some(Err(BrokenOff)) => false,
                None => self.output.push_end(framing),
            };
            if !intact {
                // Without its end, the caller sees that the response is cut.
                self.resets = *framing == Framing::UntilClose;
                self.begin_closing();
            } else if ended {
                self.end_stream();
            }
        }
        progress
    }

    fn end_stream(&mut self) {
        let Some(streaming) = self.streaming.take() else { return };
        self.guards.extend(streaming.guard.map(|guard| (self.output.end(), guard)));
        if streaming.close {
            self.begin_closing();
        }
    }
}
