//! Parses the heads of requests, and refuses those that other software might read differently.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, request};

use super::decoder::Decoder;
use crate::has_token;

/// The maximum number of header fields.
const MAX_FIELDS: usize = 100;

/// What a header map takes for each field besides its name and value, in bytes.
const FIELD_BYTES: usize = 160;

/// The head of a request and what it says about the connection.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) parts: request::Parts,
    /// What it takes in memory.
    pub(super) bytes: usize,
    /// Decodes the body, if there is one.
    pub(super) body: Option<Decoder>,
    pub(super) keep_alive: bool,
    pub(super) expects_continue: bool,
}

/// Why a head is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeadError {
    /// It is malformed, or the end of the request is ambiguous.
    Malformed,
    /// It is too long or has too many fields.
    TooLong,
}

/// Takes the head of the next request from the input. The first `searched` bytes are known to
/// contain no end of a head.
pub(super) fn take_head(
    input: &mut BytesMut,
    searched: &mut usize,
    max_bytes: usize,
) -> Result<Option<Head>, HeadError> {
    while *searched == 0 && input.starts_with(b"\r\n") {
        input.advance(2);
    }
    if input.is_empty() {
        return Ok(None);
    }
    // Parsing a long head again for each small piece would take quadratic time.
    let from = searched.saturating_sub(3);
    let may_be_complete = *searched == 0 || input[from..].windows(4).any(|w| w == b"\r\n\r\n");
    *searched = input.len();
    let parsed = if may_be_complete { parse(input)? } else { None };
    let (head, length) = match parsed {
        Some((_, length)) if length > max_bytes => return Err(HeadError::TooLong),
        Some(parsed) => parsed,
        None if input.len() >= max_bytes => return Err(HeadError::TooLong),
        None => return Ok(None),
    };
    input.advance(length);
    *searched = 0;
    Ok(Some(head))
}

fn parse(input: &[u8]) -> Result<Option<(Head, usize)>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLong),
        Err(_) => return Err(HeadError::Malformed),
    };
    // `httparse` accepts lines that end without a carriage return.
    let bare = |(i, b): (usize, &u8)| *b == b'\n' && (i == 0 || input[i - 1] != b'\r');
    if input[..length].iter().enumerate().any(bare) {
        return Err(HeadError::Malformed);
    }
    Ok(Some((build(&parsed, &input[..length])?, length)))
}

fn build(parsed: &httparse::Request<'_, '_>, bytes: &[u8]) -> Result<Head, HeadError> {
    let method = parsed.method.and_then(|m| Method::from_bytes(m.as_bytes()).ok());
    let uri = parsed.path.and_then(|p| Uri::try_from(p).ok());
    let (Some(method), Some(uri)) = (method, uri) else { return Err(HeadError::Malformed) };
    // All values share one copy of the head, so that the read buffer is free again.
    let copy = Bytes::copy_from_slice(bytes);
    let mut headers = HeaderMap::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let start = field.value.as_ptr().addr().wrapping_sub(bytes.as_ptr().addr());
        let value = match field.value {
            [] => Bytes::new(),
            value => copy.slice(start..start + value.len()),
        };
        let value = HeaderValue::from_maybe_shared(value);
        let (Ok(name), Ok(value)) = (name, value) else { return Err(HeadError::Malformed) };
        headers.append(name, value);
    }
    let is_http_10 = parsed.version == Some(0);
    let body = body_decoder(&mut headers, is_http_10)?;
    let close = has_token(&headers, CONNECTION, "close");
    let keep_alive = !close && (!is_http_10 || has_token(&headers, CONNECTION, "keep-alive"));
    let expects_continue = !is_http_10 && has_token(&headers, EXPECT, "100-continue");
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = uri;
    parts.version = if is_http_10 { Version::HTTP_10 } else { Version::HTTP_11 };
    parts.headers = headers;
    let bytes = bytes.len() + allocated_bytes(&parts.headers);
    Ok(Head { parts, bytes, body, keep_alive, expects_continue })
}

/// Returns about how much memory a header map takes besides the values.
fn allocated_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, _)| name.as_str().len() + FIELD_BYTES).sum()
}

/// Returns about how much memory the headers of a response take.
pub(crate) fn response_head_bytes(headers: &HeaderMap) -> usize {
    allocated_bytes(headers) + headers.values().map(HeaderValue::len).sum::<usize>()
}

/// Returns how the body ends. Only one of length and transfer coding may tell, and only once, since
/// software that chooses the other one would see another request behind the body.
fn body_decoder(headers: &mut HeaderMap, is_http_10: bool) -> Result<Option<Decoder>, HeadError> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        if is_http_10
            || !is_chunked
            || codings.next().is_some()
            || headers.contains_key(CONTENT_LENGTH)
        {
            return Err(HeadError::Malformed);
        }
        return Ok(Some(Decoder::ChunkSize));
    }
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = lengths.next().cloned() else { return Ok(None) };
    if lengths.any(|other| *other != first) {
        return Err(HeadError::Malformed);
    }
    let digits = first.to_str().ok().filter(|d| d.bytes().all(|b| b.is_ascii_digit()));
    let length: u64 = digits.and_then(|d| d.parse().ok()).ok_or(HeadError::Malformed)?;
    headers.insert(CONTENT_LENGTH, first);
    Ok((length > 0).then_some(Decoder::Length(length)))
}
