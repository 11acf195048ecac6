//! Encodes and decodes frames. A frame is a version byte followed by exactly one bincode value.
//!
//! The size of a frame limits what the decoder may allocate, so a short frame that claims to
//! contain a long list is rejected before memory is allocated for it.

use bincode::config::{self, Config};
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use bytes::Bytes;
use model::Outcome;
use snafu::{ResultExt, Snafu, ensure};

use crate::wire_types::{ValueError, WireCall, WireField, WireForwardHead, WireOutcome, WireReply};
use crate::{Call, ForwardHead, Reply, ResponseHead};

/// Version of the encoding. Frames of any other version are rejected.
pub const WIRE_VERSION: u8 = 1;

/// Maximum size of the frame of a call or a reply, in bytes.
pub const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of the frame of a request or response head, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Frames up to this size in bytes get the lowest allocation limit.
const SMALL_FRAME_BYTES: usize = 4 * 1024;

/// Frames up to this size in bytes get the middle allocation limit.
const MEDIUM_FRAME_BYTES: usize = 128 * 1024;

/// Bytes that a decoder may allocate per byte of the largest frame in a size class. A decoded list
/// entry takes up to 8 times its encoded size (a partition report takes 2 bytes encoded and 16
/// decoded); the rest is headroom for nested lists.
const MAX_EXPANSION: usize = 16;

/// Why a value could not be encoded or a frame could not be decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The frame is too large.
    #[snafu(display("frame of {found} bytes, expected at most {limit}"))]
    TooLarge {
        /// Size of the frame in bytes.
        found: usize,
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The frame is empty.
    #[snafu(display("empty frame, expected a version byte"))]
    Empty,
    /// The frame has an unsupported version.
    #[snafu(display("unsupported frame version {found}, expected {WIRE_VERSION}"))]
    Version {
        /// The version byte.
        found: u8,
    },
    /// The payload is not a valid encoding.
    #[snafu(display("cannot decode the frame: {source}"))]
    Undecodable {
        /// The decoder error.
        source: DecodeError,
    },
    /// The value is followed by more bytes.
    #[snafu(display("{found} trailing bytes after the value"))]
    Trailing {
        /// Number of trailing bytes.
        found: usize,
    },
    /// A decoded value is invalid for its type.
    #[snafu(display("{source}"))]
    Value {
        /// The validation error.
        source: ValueError,
    },
    /// The value could not be encoded.
    #[snafu(display("cannot encode the value: {source}"))]
    Unencodable {
        /// The encoder error.
        source: EncodeError,
    },
}

macro_rules! codec {
    ($encode:ident, $decode:ident, $domain:ty, $wire:ty, $limit:expr, $what:literal) => {
        #[doc = concat!("Encodes ", $what, ". Fails if the frame would exceed its maximum size.")]
        pub fn $encode(value: $domain) -> Result<Bytes, CodecError> {
            encode::<$domain, $wire>(value, $limit)
        }

        #[doc = concat!("Decodes ", $what, ". Fails unless `frame` is a valid frame of this kind.")]
        pub fn $decode(frame: &[u8]) -> Result<$domain, CodecError> {
            decode::<$domain, $wire>(frame, $limit)
        }
    };
}

codec!(encode_call, decode_call, Call, WireCall, MAX_CALL_BYTES, "a call");
codec!(encode_reply, decode_reply, Reply, WireReply, MAX_CALL_BYTES, "a reply");
codec!(
    encode_forward_head,
    decode_forward_head,
    ForwardHead,
    WireForwardHead,
    MAX_HEAD_BYTES,
    "the head of a request"
);
codec!(
    encode_outcome,
    decode_outcome,
    Outcome<ResponseHead>,
    WireOutcome,
    MAX_HEAD_BYTES,
    "the outcome of a request"
);

fn encode<D: WireField<W>, W: Encode>(value: D, limit: usize) -> Result<Bytes, CodecError> {
    let frame = bincode::encode_to_vec((WIRE_VERSION, value.to_wire()), config::standard())
        .context(UnencodableSnafu)?;
    ensure!(frame.len() <= limit, TooLargeSnafu { found: frame.len(), limit });
    Ok(frame.into())
}

fn decode<D: WireField<W>, W: Decode<()>>(frame: &[u8], limit: usize) -> Result<D, CodecError> {
    ensure!(frame.len() <= limit, TooLargeSnafu { found: frame.len(), limit });
    let (&found, payload) = frame.split_first().ok_or(CodecError::Empty)?;
    ensure!(found == WIRE_VERSION, VersionSnafu { found });
    let (wire, used) = decode_bounded::<W>(payload).context(UndecodableSnafu)?;
    ensure!(used == payload.len(), TrailingSnafu { found: payload.len() - used });
    D::from_wire(wire).context(ValueSnafu)
}

/// Decodes with the allocation limit of the payload's size class.
fn decode_bounded<W: Decode<()>>(payload: &[u8]) -> Result<(W, usize), DecodeError> {
    let standard = config::standard();
    if payload.len() <= SMALL_FRAME_BYTES {
        return decode_with(
            payload,
            standard.with_limit::<{ SMALL_FRAME_BYTES * MAX_EXPANSION }>(),
        );
    }
    if payload.len() <= MEDIUM_FRAME_BYTES {
        return decode_with(
            payload,
            standard.with_limit::<{ MEDIUM_FRAME_BYTES * MAX_EXPANSION }>(),
        );
    }
    decode_with(payload, standard.with_limit::<{ MAX_CALL_BYTES * MAX_EXPANSION }>())
}

fn decode_with<W: Decode<()>, C: Config>(
    payload: &[u8],
    cfg: C,
) -> Result<(W, usize), DecodeError> {
    bincode::decode_from_slice(payload, cfg)
}
