//! The bytes that a connection has to write: heads and bodies of responses in the order of their
//! requests.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::SystemTime;

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, TRANSFER_ENCODING};
use http::{StatusCode, response};
use tokio::io::AsyncWrite;
use tokio::net::tcp::WriteHalf;

use super::response_body::{Chunks, ResponseBody};

/// A body up to this size is copied behind its head, so that both take one buffer.
const MAX_COPIED_BYTES: usize = 2 << 10;

/// Most heads of responses are shorter.
const TYPICAL_HEAD_BYTES: usize = 512;

/// What a segment takes in memory besides its bytes.
const SEGMENT_BYTES: usize = 96;

/// The maximum number of buffers for one system call.
const MAX_SLICES: usize = 32;

/// What determines how a response is written, besides the response.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseFormat {
    pub(super) is_http_10: bool,
    /// The response has no body, because the request has the method HEAD.
    pub(super) is_head: bool,
    /// The connection closes after the response.
    pub(super) close: bool,
}

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length. This number of bytes is left.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The bytes to be written.
#[derive(Debug, Default)]
pub(super) struct Output {
    /// Each with what it takes in memory besides the body of a response.
    segments: VecDeque<(Bytes, usize)>,
    /// The last segment, to which more can be appended.
    tail: BytesMut,
    unwritten: usize,
    /// What all segments but the last one take in memory.
    allocated: usize,
    /// The number of bytes that were ever written.
    written: u64,
}

impl Output {
    /// Returns the number of bytes to be written.
    pub(super) fn len(&self) -> usize {
        self.unwritten
    }

    /// Returns what it takes in memory, without the bodies that are written as they are.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.allocated + self.tail.capacity()
    }

    /// Returns whether everything was written.
    pub(super) fn is_empty(&self) -> bool {
        self.unwritten == 0
    }

    /// Returns the number of bytes that were ever written.
    pub(super) fn written(&self) -> u64 {
        self.written
    }

    /// Returns the value of [`Output::written`] once everything so far is written.
    pub(super) fn end(&self) -> u64 {
        self.written + self.unwritten as u64
    }

    /// Appends the interim response that asks for the body of a request.
    pub(super) fn push_continue(&mut self) {
        self.append(b"HTTP/1.1 100 Continue\r\n\r\n");
    }

    /// Appends a response. Returns the body if that is read while it is written.
    pub(super) fn push(
        &mut self,
        format: ResponseFormat,
        head: &response::Parts,
        body: ResponseBody,
    ) -> Option<(Chunks, Framing)> {
        self.tail.reserve(TYPICAL_HEAD_BYTES);
        self.append(if format.is_http_10 { b"HTTP/1.0 " } else { b"HTTP/1.1 " });
        self.append(head.status.as_str().as_bytes());
        self.append(b" ");
        self.append(head.status.canonical_reason().unwrap_or("").as_bytes());
        self.append(b"\r\n");
        for (name, value) in &head.headers {
            if ![CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING].contains(name) {
                self.push_field(name.as_str(), value.as_bytes());
            }
        }
        let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        // Without a body, the length is that of the response to a GET request.
        let announced = head.headers.get(CONTENT_LENGTH);
        let omits_body = format.is_head || head.status == StatusCode::NOT_MODIFIED;
        let length = body.length();
        let has_length = length.is_some_and(|n| n > 0);
        if let Some(length) = announced.filter(|_| omits_body && !has_length) {
            self.push_field("content-length", length.as_bytes());
        } else if !(has_no_body || format.is_head && !has_length) {
            match length {
                Some(n) => self.push_field("content-length", n.to_string().as_bytes()),
                None if format.is_http_10 => {}
                None => self.push_field("transfer-encoding", b"chunked"),
            }
        }
        if format.close {
            self.push_field("connection", b"close");
        } else if format.is_http_10 {
            self.push_field("connection", b"keep-alive");
        }
        if !head.headers.contains_key(DATE) {
            with_date(|date| self.push_field("date", date.as_bytes()));
        }
        self.append(b"\r\n");
        match body {
            _ if format.is_head || has_no_body => None,
            ResponseBody::Full(body) => {
                self.push_body(body, 0);
                None
            }
            ResponseBody::Stream { length, chunks } => {
                let unknown =
                    if format.is_http_10 { Framing::UntilClose } else { Framing::Chunked };
                Some((chunks, length.map_or(unknown, Framing::Length)))
            }
        }
    }

    /// Appends a part of a body. Returns `false` if the body has become longer than announced.
    pub(super) fn push_chunk(&mut self, framing: &mut Framing, chunk: Bytes) -> bool {
        let allocated = chunk.len();
        match framing {
            Framing::Length(left) => {
                let Some(rest) = left.checked_sub(allocated as u64) else { return false };
                *left = rest;
                self.push_body(chunk, allocated);
            }
            // An empty chunk is the last one.
            Framing::Chunked if chunk.is_empty() => {}
            Framing::Chunked => {
                self.append(format!("{allocated:x}\r\n").as_bytes());
                self.push_body(chunk, allocated);
                self.append(b"\r\n");
            }
            Framing::UntilClose => self.push_body(chunk, allocated),
        }
        true
    }

    /// Appends the end of a body. Returns `false` if the body is shorter than announced.
    pub(super) fn push_end(&mut self, framing: &Framing) -> bool {
        match framing {
            Framing::Length(left) => return *left == 0,
            Framing::Chunked => self.append(b"0\r\n\r\n"),
            Framing::UntilClose => {}
        }
        true
    }

    fn push_field(&mut self, name: &str, value: &[u8]) {
        self.append(name.as_bytes());
        self.append(b": ");
        self.append(value);
        self.append(b"\r\n");
    }

    /// Appends bytes of a body that count as `allocated` unless they are copied.
    fn push_body(&mut self, body: Bytes, allocated: usize) {
        if body.len() <= MAX_COPIED_BYTES {
            self.append(&body);
            return;
        }
        self.finish_tail();
        self.unwritten += body.len();
        self.push_segment(body, allocated);
    }

    fn append(&mut self, bytes: &[u8]) {
        self.tail.extend_from_slice(bytes);
        self.unwritten += bytes.len();
    }

    fn finish_tail(&mut self) {
        if !self.tail.is_empty() {
            let tail = std::mem::take(&mut self.tail);
            let allocated = tail.capacity();
            self.push_segment(tail.freeze(), allocated);
        }
    }

    fn push_segment(&mut self, segment: Bytes, allocated: usize) {
        let allocated = allocated + SEGMENT_BYTES;
        self.allocated += allocated;
        self.segments.push_back((segment, allocated));
    }

    /// Writes as much as the socket takes.
    pub(super) fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        socket: &mut WriteHalf<'_>,
    ) -> Poll<io::Result<()>> {
        self.finish_tail();
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let count = self.segments.len().min(MAX_SLICES);
        for (slice, (segment, _)) in slices.iter_mut().zip(&self.segments) {
            *slice = IoSlice::new(segment);
        }
        let n = ready!(Pin::new(socket).poll_write_vectored(cx, &slices[..count]))?;
        if n == 0 {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        self.unwritten -= n;
        self.written += n as u64;
        let mut left = n;
        while let Some((first, allocated)) = self.segments.front_mut() {
            if left < first.len() {
                first.advance(left);
                break;
            }
            left -= first.len();
            self.allocated -= *allocated;
            self.segments.pop_front();
        }
        Poll::Ready(Ok(()))
    }
}

/// Calls `f` with the current date, which is formatted once per second.
fn with_date(f: impl FnOnce(&str)) {
    thread_local! {
        static DATE: RefCell<(u64, String)> = const { RefCell::new((0, String::new())) };
    }
    let now = SystemTime::now();
    let second = now.duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_secs());
    DATE.with_borrow_mut(|(formatted_at, date)| {
        if *formatted_at != second {
            *formatted_at = second;
            *date = httpdate::fmt_http_date(now);
        }
        f(date);
    });
}
