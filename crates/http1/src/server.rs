//! An HTTP/1.1 server connection whose requests run concurrently when they are pipelined.
//!
//! A request is read, and its handler started, while earlier requests of the connection are still
//! in progress. Responses are written in the order of the requests. All handlers of a connection are
//! polled in the task that calls [`serve`], and are dropped when the caller closes the connection.
//! A caller that closes only its sending side counts as one that closed the connection.

mod body;
mod connection;
mod decoder;
mod head;
mod output;
mod pace;
mod pending;
mod response_body;

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use http::{Request, Response, request};
use model::Millis;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;

pub use body::{RequestBody, RequestBodyError};
use connection::{Connection, Step};
pub(crate) use head::response_head_bytes;
pub use response_body::{BrokenOff, Chunks, ResponseBody};

/// The system takes no more output than this beyond what it can send. What a caller doesn't read
/// stays with the connection, which counts it.
const MAX_UNSENT_BYTES: u32 = 32 << 10;

/// Limits and timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// The head of the next request must arrive within this time once nothing is in progress.
    pub head_timeout: Millis,
    /// The maximum number of requests in progress.
    pub max_requests: usize,
    /// Nothing more is read while this number of bytes of requests waits to be processed.
    pub max_unread_bytes: usize,
    /// No further request is read or started while this number of bytes of responses waits to be
    /// written.
    pub max_unwritten_bytes: usize,
    /// How much input that nobody reads is discarded before the connection is closed: a connection
    /// that is closed with unread input is reset, and the caller may not see the response.
    pub max_discarded_bytes: u64,
    /// How long such input is discarded after the response.
    pub discard_timeout: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            head_timeout: Millis(15_000),
            max_requests: 16,
            max_unread_bytes: 64 << 10,
            max_unwritten_bytes: 1 << 20,
            max_discarded_bytes: 4 << 20,
            discard_timeout: Millis(3_000),
        }
    }
}

/// The memory that a connection holds for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Bytes of responses that are not written yet.
    pub unwritten: usize,
    /// Bytes of requests that are not processed yet.
    pub unread: usize,
    /// What the connection itself has allocated: buffers, requests in progress without what their
    /// handlers hold, and all of its responses but the bodies that are written as they are.
    pub allocated: usize,
    /// The part of it that waits for the caller: to send the rest of a request, or to read.
    pub awaiting_caller: usize,
}

/// Marks a response, as an extension, whose request nobody has served. A connection with many of
/// them in a row is slowed down.
#[derive(Clone, Copy, Debug)]
pub struct Unserved;

/// Completes when memory may have been freed.
pub type MemoryFreed = Pin<Box<dyn Future<Output = ()>>>;

/// Decisions about a connection that are made outside of it.
pub trait Policy {
    /// Returns whether a request may start before all earlier responses of its connection are
    /// written.
    fn may_start_early(&self, head: &request::Parts) -> bool;

    /// Returns whether connections close after the responses to the requests that they have read.
    fn is_stopping(&self) -> bool {
        false
    }

    /// Receives the memory that the connection holds, whenever it has changed.
    fn record_held_bytes(&self, held: HeldBytes) {
        let _ = held;
    }

    /// Asks for room for `bytes` in addition to what the connection has allocated, before input is
    /// read into them. The next record contains them. If there is no room, nothing is read until
    /// the returned future completes.
    fn reserve(&self, bytes: usize) -> Result<(), MemoryFreed> {
        let _ = bytes;
        Ok(())
    }

    /// Returns whether memory is so short that a connection takes one request at a time.
    fn is_memory_short(&self) -> bool {
        false
    }
}

/// Serves a connection until it ends.
///
/// The handler returns a response and a guard, which is dropped once the response is written or the
/// connection has ended. After `close` has completed, no further request is read besides the first
/// one, and the connection closes after the responses to those that were read.
pub async fn serve<H, R, B, G>(
    mut stream: TcpStream,
    settings: Settings,
    handler: H,
    policy: impl Policy,
    close: impl Future<Output = ()>,
) where
    H: Fn(Request<RequestBody>) -> R,
    R: Future<Output = (Response<B>, G)>,
    B: Into<ResponseBody>,
{
    limit_unsent_bytes(&stream, MAX_UNSENT_BYTES);
    let numbered = |number: u64, request| {
        let response = handler(request);
        async move {
            let (response, guard) = response.await;
            (number, (response.map(Into::into), guard))
        }
    };
    let mut connection = Connection::new(settings, numbered, policy);
    let (mut reader, mut writer) = stream.split();
    let mut close = pin!(close);
    let mut closing = false;
    loop {
        let step = if connection.wants_input() || connection.has_lost_caller() {
            poll_fn(|cx| {
                if !closing && close.as_mut().poll(cx).is_ready() {
                    closing = true;
                    // What the system holds is still sent after the process has ended.
                    limit_unsent_bytes(writer.as_ref(), u32::MAX);
                    connection.close();
                }
                connection.poll(cx, Some(&mut reader), &mut writer)
            })
            .await
        } else {
            // Every interest includes the end of the stream. There is no urgent data, so this one
            // completes for nothing else, even while there is input.
            let mut left = pin!(reader.ready(Interest::PRIORITY));
            poll_fn(|cx| {
                if !closing && close.as_mut().poll(cx).is_ready() {
                    closing = true;
                    // What the system holds is still sent after the process has ended.
                    limit_unsent_bytes(writer.as_ref(), u32::MAX);
                    connection.close();
                }
                if left.as_mut().poll(cx).is_ready() {
                    connection.caller_left();
                    return Poll::Ready(Step::Continue);
                }
                connection.poll(cx, None, &mut writer)
            })
            .await
        };
        if step == Step::End {
            if connection.resets() {
                // Otherwise a response without a length would seem complete.
                let _ = SockRef::from(writer.as_ref()).set_linger(Some(Duration::ZERO));
            }
            return;
        }
    }
}

/// Limits how much output the system takes beyond what it can send.
fn limit_unsent_bytes(stream: &TcpStream, max_bytes: u32) {
    // Without the option, the system only holds more.
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(max_bytes);
}
