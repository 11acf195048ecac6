//! Decodes the bodies of requests: a known length, or chunks.

use bytes::{Buf, BytesMut};

/// The longest line with a chunk size or a trailer, in bytes.
const MAX_LINE_BYTES: usize = 1 << 10;

/// The most bytes that all trailers of a body may take.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// More digits of a chunk size would exceed 64 bits.
const MAX_SIZE_DIGITS: usize = 16;

/// The position in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decoder {
    /// A body with a known number of bytes left.
    Length(u64),
    /// Before the line with the size of a chunk.
    ChunkSize,
    /// In a chunk with this number of bytes left.
    Chunk(u64),
    /// Before the line end after a chunk.
    ChunkEnd,
    /// In the trailers, of which this number of bytes were read.
    Trailers(usize),
}

/// The next part of a body.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Decoded {
    /// Some bytes of it.
    Data(BytesMut),
    /// More input is needed.
    Incomplete,
    /// Its end.
    End,
}

/// A malformed chunk or trailer.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Malformed;

impl Decoder {
    /// Takes the next part of the body from the input.
    pub(super) fn decode(&mut self, input: &mut BytesMut) -> Result<Decoded, Malformed> {
        loop {
            match self {
                Self::Length(0) => return Ok(Decoded::End),
                Self::Length(left) | Self::Chunk(left) if *left > 0 => {
                    if input.is_empty() {
                        return Ok(Decoded::Incomplete);
                    }
                    let n = usize::try_from(*left).unwrap_or(usize::MAX).min(input.len());
                    *left -= n as u64;
                    return Ok(Decoded::Data(input.split_to(n)));
                }
                Self::Length(_) | Self::Chunk(_) => *self = Self::ChunkEnd,
                Self::ChunkEnd => {
                    if !b"\r\n".starts_with(&input[..input.len().min(2)]) {
                        return Err(Malformed);
                    }
                    if input.len() < 2 {
                        return Ok(Decoded::Incomplete);
                    }
                    input.advance(2);
                    *self = Self::ChunkSize;
                }
                Self::ChunkSize => {
                    let Some(line) = take_line(input)? else { return Ok(Decoded::Incomplete) };
                    *self = match chunk_size(&line)? {
                        0 => Self::Trailers(0),
                        size => Self::Chunk(size),
                    };
                }
                Self::Trailers(read) => {
                    let Some(line) = take_line(input)? else { return Ok(Decoded::Incomplete) };
                    *read += line.len();
                    if line.is_empty() {
                        return Ok(Decoded::End);
                    }
                    if *read > MAX_TRAILER_BYTES || !line.contains(&b':') {
                        return Err(Malformed);
                    }
                }
            }
        }
    }

    /// Returns the number of bytes left, if it is known.
    pub(super) fn bytes_left(&self) -> Option<u64> {
        match self {
            Self::Length(left) => Some(*left),
            _ => None,
        }
    }
}

/// Takes a line without its end from the input. Control characters are rejected: software that
/// ends lines in other ways would see other chunks.
fn take_line(input: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let searched = &input[..input.len().min(MAX_LINE_BYTES)];
    let is_control = |b: &u8| b.is_ascii_control() && *b != b'\t';
    let Some(end) = searched.iter().position(is_control) else {
        return if searched.len() < MAX_LINE_BYTES { Ok(None) } else { Err(Malformed) };
    };
    if input[end] != b'\r' || input.get(end + 1).is_some_and(|b| *b != b'\n') {
        return Err(Malformed);
    }
    if end + 1 == input.len() {
        return Ok(None);
    }
    let line = input.split_to(end);
    input.advance(2);
    Ok(Some(line))
}

/// Parses the size of a chunk. Extensions are ignored.
fn chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let end = line.iter().position(|b| *b == b';').unwrap_or(line.len());
    let (size, extensions) = line.split_at(end);
    let size = if extensions.is_empty() { size } else { size.trim_ascii_end() };
    if size.is_empty() || size.len() > MAX_SIZE_DIGITS {
        return Err(Malformed);
    }
    size.iter().try_fold(0_u64, |sum, digit| {
        let digit = char::from(*digit).to_digit(16).ok_or(Malformed)?;
        Ok(sum << 4 | u64::from(digit))
    })
}
