//! The body of a response: complete, or read while it is written.

use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::stream::Stream;
use http_body_util::Full;
use hyper::body::Body;

/// The rest of a body breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// The parts of a body. The connection takes the next one once most of the others are written.
pub type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>;

/// The body of a response.
pub enum ResponseBody {
    /// A complete body.
    Full(Bytes),
    /// A body that is read while it is written. If it breaks off or differs from its length, the
    /// caller sees that the response is cut.
    Stream {
        /// The length, if it is known.
        length: Option<u64>,
        /// The body.
        chunks: Chunks,
    },
}

impl ResponseBody {
    /// Returns the number of bytes that are in memory already.
    pub(super) fn len(&self) -> usize {
        match self {
            Self::Full(bytes) => bytes.len(),
            Self::Stream { .. } => 0,
        }
    }

    /// Returns the length of the whole body, if it is known.
    pub(super) fn length(&self) -> Option<u64> {
        match self {
            Self::Full(bytes) => Some(bytes.len() as u64),
            Self::Stream { length, .. } => *length,
        }
    }
}

impl From<Full<Bytes>> for ResponseBody {
    fn from(mut body: Full<Bytes>) -> Self {
        // It is the only frame.
        match Pin::new(&mut body).poll_frame(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Some(Ok(frame))) => Self::Full(frame.into_data().unwrap_or_default()),
            Poll::Ready(_) | Poll::Pending => Self::Full(Bytes::new()),
        }
    }
}
