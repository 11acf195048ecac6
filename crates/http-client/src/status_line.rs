//! Checks the status lines of responses before awc parses them, and removes interim responses.
//!
//! awc accepts any status from 100 to 999 and takes an interim response for the final one. The final
//! one would then be the response to the next request on the connection.

use bytes::{Buf, BytesMut};
use model::is_final_status;

/// The interim responses that may precede a final one. Any other response below 200 is no response.
const INTERIM: [u16; 2] = [100, 103];

/// The length of a status line up to the byte behind the status, as in `HTTP/1.1 200 `.
const STATUS_LINE_BYTES: usize = 13;

/// The maximum size of the head of an interim response, in bytes.
const MAX_INTERIM_BYTES: usize = 16 * 1_024;

/// The bytes are not a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NotAResponse;

/// The part of the responses on a connection that is received next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// The status line.
    StatusLine,
    /// The headers of an interim response.
    Interim,
    /// The rest of a final response.
    Final,
}

/// The check of the responses on one connection.
#[derive(Debug)]
pub(crate) struct StatusLineCheck {
    position: Position,
    held: BytesMut,
}

impl StatusLineCheck {
    pub(crate) fn new() -> Self {
        Self { position: Position::StatusLine, held: BytesMut::new() }
    }

    /// Returns whether further bytes need no check until the next request.
    pub(crate) fn is_done(&self) -> bool {
        self.position == Position::Final
    }

    /// Records that a part of a request is sent. The bytes received next start a response.
    pub(crate) fn record_sent(&mut self) {
        if self.position == Position::Final {
            self.position = Position::StatusLine;
        }
    }

    /// Checks received bytes. Returns those that may be passed on.
    pub(crate) fn receive(&mut self, bytes: &[u8]) -> Result<BytesMut, NotAResponse> {
        self.held.extend_from_slice(bytes);
        loop {
            match self.position {
                Position::Final => return Ok(self.held.split()),
                Position::StatusLine => match parse_status(&self.held)? {
                    None => return Ok(BytesMut::new()),
                    Some(status) if INTERIM.contains(&status) => self.position = Position::Interim,
                    Some(status) if is_final_status(status) => self.position = Position::Final,
                    Some(_) => return Err(NotAResponse),
                },
                Position::Interim => match head_length(&self.held) {
                    Some(length) => {
                        self.held.advance(length);
                        self.position = Position::StatusLine;
                    }
                    None if self.held.len() > MAX_INTERIM_BYTES => return Err(NotAResponse),
                    None => return Ok(BytesMut::new()),
                },
            }
        }
    }
}

/// Returns the status, or `None` if the bytes are the start of a status line but end before it.
fn parse_status(bytes: &[u8]) -> Result<Option<u16>, NotAResponse> {
    let start = &bytes[..bytes.len().min(STATUS_LINE_BYTES)];
    let fits = start.iter().enumerate().all(|(index, byte)| match index {
        0..7 => *byte == b"HTTP/1."[index],
        7 => matches!(byte, b'0' | b'1'),
        8 => *byte == b' ',
        9..12 => byte.is_ascii_digit(),
        _ => matches!(byte, b' ' | b'\r' | b'\n'),
    });
    if !fits {
        return Err(NotAResponse);
    }
    if start.len() < STATUS_LINE_BYTES {
        return Ok(None);
    }
    Ok(Some(start[9..12].iter().fold(0, |status, digit| status * 10 + u16::from(digit - b'0'))))
}

/// Returns the length of the head including the empty line that ends it.
fn head_length(bytes: &[u8]) -> Option<usize> {
    let ends = |end: &[u8]| bytes.windows(end.len()).position(|w| w == end).map(|i| i + end.len());
    let (first, second) = (ends(b"\n\r\n"), ends(b"\n\n"));
    first.into_iter().chain(second).min()
}
