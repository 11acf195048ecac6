//! Frames: a version byte, then one bincode value and nothing behind it.
//!
//! What a frame may make the decoder allocate is bounded by the frame's own size, so a short
//! frame that claims a long list is refused before memory is taken for it.

use bincode::config::{self, Config};
use bincode::error::{DecodeError, EncodeError};
use bincode::{Decode, Encode};
use bytes::Bytes;
use model::Outcome;
use snafu::{ResultExt, Snafu, ensure};

use crate::twin::{Field, ValueError, WireCall, WireForwardHead, WireOutcome, WireReply};
use crate::{Call, ForwardHead, Reply, ResponseHead};

/// The version of the encoding; a peer that speaks another one is refused.
pub const WIRE_VERSION: u8 = 1;

/// The largest frame of a call or a reply, in bytes.
pub const MAX_CALL_BYTES: usize = 4 * 1024 * 1024;

/// The largest frame of the head of a request or an answer, in bytes.
pub const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Frames up to this size get the smallest allocation limit, in bytes.
const SMALL_FRAME_BYTES: usize = 4 * 1024;

/// Frames up to this size get the middle allocation limit, in bytes.
const MEDIUM_FRAME_BYTES: usize = 128 * 1024;

/// Memory that a decoder may take per byte of the largest frame of a size class. A decoded list
/// entry takes up to 8 times its encoded size (a partition report: 2 bytes, decoded 16); the rest
/// is headroom for nested lists.
const GROWTH: usize = 16;

/// Why bytes are no frame, or a value fits in none.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The frame is too large.
    #[snafu(display("found a frame of {found} bytes, expected at most {limit}"))]
    TooLarge {
        /// Size of the frame in bytes.
        found: usize,
        /// The largest size in bytes.
        limit: usize,
    },
    /// The frame is empty.
    #[snafu(display("found an empty frame, expected a version byte"))]
    Empty,
    /// The frame is of another version.
    #[snafu(display("found version {found}, expected {WIRE_VERSION}"))]
    Version {
        /// The version byte.
        found: u8,
    },
    /// The bytes are not an encoded value.
    #[snafu(display("found bytes that do not decode: {source}"))]
    Undecodable {
        /// Where decoding stopped.
        source: DecodeError,
    },
    /// Bytes follow the value.
    #[snafu(display("found {found} bytes behind the value, expected none"))]
    Trailing {
        /// How many bytes follow.
        found: usize,
    },
    /// A decoded value breaks a rule of its type.
    #[snafu(display("{source}"))]
    Value {
        /// The rule.
        source: ValueError,
    },
    /// The value could not be encoded.
    #[snafu(display("could not encode: {source}"))]
    Unencodable {
        /// What stopped the encoder.
        source: EncodeError,
    },
}

macro_rules! codec {
    ($encode:ident, $decode:ident, $domain:ty, $wire:ty, $limit:expr, $what:literal) => {
        #[doc = concat!("Encodes ", $what, ". Fails if the frame would be too large.")]
        pub fn $encode(value: $domain) -> Result<Bytes, CodecError> {
            encode::<$domain, $wire>(value, $limit)
        }

        #[doc = concat!("Decodes ", $what, ". Fails on bytes that are no such frame.")]
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
    "what became of a request"
);

fn encode<D: Field<W>, W: Encode>(value: D, limit: usize) -> Result<Bytes, CodecError> {
    let frame = bincode::encode_to_vec((WIRE_VERSION, value.to_wire()), config::standard())
        .context(UnencodableSnafu)?;
    ensure!(frame.len() <= limit, TooLargeSnafu { found: frame.len(), limit });
    Ok(frame.into())
}

fn decode<D: Field<W>, W: Decode<()>>(frame: &[u8], limit: usize) -> Result<D, CodecError> {
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
        return decode_with(payload, standard.with_limit::<{ SMALL_FRAME_BYTES * GROWTH }>());
    }
    if payload.len() <= MEDIUM_FRAME_BYTES {
        return decode_with(payload, standard.with_limit::<{ MEDIUM_FRAME_BYTES * GROWTH }>());
    }
    decode_with(payload, standard.with_limit::<{ MAX_CALL_BYTES * GROWTH }>())
}

fn decode_with<W: Decode<()>, C: Config>(
    payload: &[u8],
    cfg: C,
) -> Result<(W, usize), DecodeError> {
    bincode::decode_from_slice(payload, cfg)
}
