//! The parts of a request target, `/service/path?query`.
//!
//! Rules and keys must see the same path as the backend server, so a path that servers may
//! interpret differently is rejected: it has no segments.

use model::partition_of;
use model::{Partition, RequestId};

/// The parts of a request target, still percent-encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target<'a> {
    /// The first segment of the path, which names the service.
    pub service: &'a str,
    /// The path after the service name, without the slash between them.
    pub path: &'a str,
    /// The query without its question mark; empty if there is none.
    pub query: &'a str,
}

impl<'a> Target<'a> {
    /// Splits `target`, which must have origin form: `/service/path?query`.
    pub fn new(target: &'a str) -> Self {
        let (whole_path, query) = target.split_once('?').unwrap_or((target, ""));
        let whole_path = whole_path.strip_prefix('/').unwrap_or(whole_path);
        let (service, path) = whole_path.split_once('/').unwrap_or((whole_path, ""));
        Self { service, path, query }
    }

    /// Returns the decoded path segments after the service name.
    ///
    /// Returns `None` for a path that servers interpret differently: one with dot segments, empty
    /// segments before the last, an encoded slash, a backslash or a malformed escape.
    pub fn segments(&self) -> Option<Vec<String>> {
        if self.path.is_empty() {
            return Some(Vec::new());
        }
        let raw: Vec<&str> = self.path.split('/').collect();
        let inner = &raw[..raw.len() - 1];
        if inner.iter().any(|s| s.is_empty()) {
            return None;
        }
        raw.into_iter().map(decode_segment).collect()
    }
}

fn decode_segment(raw: &str) -> Option<String> {
    let text = percent_decode(raw)?;
    let ambiguous = text == "." || text == ".." || text.contains(['/', '\\']);
    (!ambiguous).then_some(text)
}

/// Decodes percent-encoding. Returns `None` for a malformed escape or text that is not UTF-8.
pub fn percent_decode(raw: &str) -> Option<String> {
    let mut bytes = raw.bytes();
    let mut decoded = Vec::with_capacity(raw.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let high = hex_digit(bytes.next()?)?;
        let low = hex_digit(bytes.next()?)?;
        decoded.push(high << 4 | low);
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    let digit = char::from(byte).to_digit(16)?;
    u8::try_from(digit).ok()
}

/// Returns which of `count` partitions a request id belongs to, in a service without keys.
pub fn partition_of_id(id: RequestId, count: u32) -> Partition {
    partition_of(&id.to_string(), count)
}
