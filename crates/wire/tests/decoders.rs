//! Every value round-trips through its frame, and the decoders handle arbitrary bytes safely.

mod common;

use std::fmt::Debug;

use bincode::config;
use bytes::Bytes;
use common::values::{Generator, MESSAGE_KINDS};
use common::{LONG, head};
use model::CellId;
use quickcheck::{QuickCheck, TestResult};
use wire::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, WIRE_VERSION, decode_call, decode_forward_head,
    decode_outcome, decode_reply, encode_call, encode_forward_head, encode_outcome, encode_reply,
};
use wire::{Call, Reply};

const SEEDS: u64 = 2_000;

/// The bincode encoding of a length that exceeds any memory.
const IMPOSSIBLE_LENGTH: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 127];

/// The bincode encoding of a length that could be allocated, but that exceeds any frame.
const EXCESSIVE_LENGTH: [u8; 5] = [252, 0, 0, 0, 128];

/// Generates one frame of each kind.
fn frames(seed: u64) -> [Bytes; 4] {
    let mut generator = Generator::new(seed);
    [
        encode_call(generator.call()).unwrap(),
        encode_reply(generator.reply()).unwrap(),
        encode_forward_head(generator.forward_head()).unwrap(),
        encode_outcome(generator.outcome()).unwrap(),
    ]
}

/// Passes `bytes` to every decoder and returns how many accept them. Checks that every accepted
/// value round-trips through the encoder.
fn decode_all(bytes: &[u8]) -> usize {
    fn check_round_trip<T: Clone + Debug + PartialEq>(
        value: T,
        encode: impl Fn(T) -> Result<Bytes, CodecError>,
        decode: impl Fn(&[u8]) -> Result<T, CodecError>,
    ) {
        let again = decode(&encode(value.clone()).unwrap()).unwrap();
        assert_eq!(again, value);
    }
    let mut accepted = 0;
    if let Ok(value) = decode_call(bytes) {
        check_round_trip(value, encode_call, decode_call);
        accepted += 1;
    }
    if let Ok(value) = decode_reply(bytes) {
        check_round_trip(value, encode_reply, decode_reply);
        accepted += 1;
    }
    if let Ok(value) = decode_forward_head(bytes) {
        check_round_trip(value, encode_forward_head, decode_forward_head);
        accepted += 1;
    }
    if let Ok(value) = decode_outcome(bytes) {
        check_round_trip(value, encode_outcome, decode_outcome);
        accepted += 1;
    }
    accepted
}

#[test]
fn every_value_round_trips() {
    for seed in 0..SEEDS {
        let mut generator = Generator::new(seed);
        let (call, reply) = (generator.call(), generator.reply());
        let (head, outcome) = (generator.forward_head(), generator.outcome());

        assert_eq!(decode_call(&encode_call(call.clone()).unwrap()).unwrap(), call);
        assert_eq!(decode_reply(&encode_reply(reply.clone()).unwrap()).unwrap(), reply);
        let frame = encode_forward_head(head.clone()).unwrap();
        assert_eq!(decode_forward_head(&frame).unwrap(), head);
        let frame = encode_outcome(outcome.clone()).unwrap();
        assert_eq!(decode_outcome(&frame).unwrap(), outcome);
    }
}

#[test]
fn every_ownership_message_round_trips() {
    let mut generator = Generator::new(1);
    for kind in (0..MESSAGE_KINDS).cycle().take(50 * MESSAGE_KINDS) {
        let messages = Reply::Messages(vec![generator.message(kind)]);
        let frame = encode_reply(messages.clone()).unwrap();
        assert_eq!(decode_reply(&frame).unwrap(), messages);
    }
}

#[test]
fn a_truncated_or_extended_frame_is_an_error() {
    let accepts: [fn(&[u8]) -> bool; 4] = [
        |bytes| decode_call(bytes).is_ok(),
        |bytes| decode_reply(bytes).is_ok(),
        |bytes| decode_forward_head(bytes).is_ok(),
        |bytes| decode_outcome(bytes).is_ok(),
    ];
    for seed in 0..200 {
        for (frame, accepts) in frames(seed).iter().zip(accepts) {
            assert!(accepts(frame));
            assert!((0..frame.len()).all(|end| !accepts(&frame[..end])));
            assert!(!accepts(&[&frame[..], &[0]].concat()));
        }
    }
}

#[test]
fn decoders_survive_flipped_bits_and_random_bytes() {
    let mut generator = Generator::new(2);
    for seed in 0..1_000 {
        for frame in frames(seed) {
            let mut flipped = frame.to_vec();
            for _ in 0..=generator.below(3) {
                let at = generator.below(flipped.len());
                flipped[at] ^= 1 << generator.below(8);
                decode_all(&flipped);
            }
            let length = generator.below(200);
            let mut random = generator.bytes(length);
            decode_all(&random);
            random.insert(0, WIRE_VERSION);
            decode_all(&random);
        }
    }
}

#[test]
fn decoders_survive_arbitrary_payloads() {
    fn property(payload: Vec<u8>) -> TestResult {
        let frame = [&[WIRE_VERSION][..], &payload].concat();
        TestResult::from_bool(decode_all(&frame) <= 4)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

#[test]
fn unsupported_versions_and_oversized_frames_are_rejected() {
    let frame = encode_call(Call::Config { at_least: model::ConfigVersion(1) }).unwrap();
    let mut other = frame.to_vec();
    other[0] = WIRE_VERSION + 1;

    assert!(matches!(decode_call(&other), Err(CodecError::Version { found: 2 })));
    assert!(matches!(decode_call(&[]), Err(CodecError::Empty)));
    let oversized = vec![WIRE_VERSION; MAX_CALL_BYTES + 1];
    assert!(matches!(decode_call(&oversized), Err(CodecError::TooLarge { .. })));
    let oversized = vec![WIRE_VERSION; MAX_HEAD_BYTES + 1];
    assert!(matches!(decode_outcome(&oversized), Err(CodecError::TooLarge { .. })));
    let trailing = [&frame[..], &[0]].concat();
    assert!(matches!(decode_call(&trailing), Err(CodecError::Trailing { found: 1 })));
}

#[test]
fn received_names_and_ids_are_validated() {
    let check = |name: &[u8], expected_ok: bool| {
        let cell = CellId { service: head(LONG).service, index: 3 };
        let call = Call::Routes { cell, have: ownership::RoutesVersion::default() };
        let mut frame = encode_call(call).unwrap().to_vec();
        let at = frame.windows(14).position(|w| w == b"alert-dispatch").unwrap();
        frame[at..at + 14].copy_from_slice(name);
        assert_eq!(decode_call(&frame).is_ok(), expected_ok, "{name:?}");
    };

    check(b"alert-dispatch", true);
    check(b"alert dispatch", false);
    check(b"Alert-dispatch", false);
    check(b"alert-dispatc\xff", false);

    let frame = encode_forward_head(head(LONG)).unwrap();
    let id = 0x0189_0a5d_ac96_774b_bcce_b302_099a_8057_u128.to_le_bytes();
    let at = frame.windows(16).position(|w| w == id).unwrap();
    let mut other = frame.to_vec();
    other[at + 9] = 0x47;
    assert!(matches!(decode_forward_head(&other), Err(CodecError::Value { .. })));
}

/// Returns the peak size of the process's address space in KiB.
fn peak_address_space() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmPeak")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// More memory than all tests of this file use together, in KiB.
const MAX_GROWTH_KIB: u64 = 1024 * 1024;

#[test]
fn claimed_lengths_do_not_cause_allocations() {
    let before = peak_address_space();
    for seed in 0..100 {
        for frame in frames(seed) {
            for at in 1..frame.len() {
                decode_all(&[&frame[..at], &IMPOSSIBLE_LENGTH, &frame[at + 1..]].concat());
                decode_all(&[&frame[..at], &EXCESSIVE_LENGTH, &frame[at + 1..]].concat());
            }
        }
    }
    let bounded = peak_address_space() - before;

    // Without a limit, the decoder allocates the claimed length, which the check must detect.
    let claim = [&EXCESSIVE_LENGTH[..], b"x"].concat();
    let unbounded = bincode::decode_from_slice::<Vec<u8>, _>(&claim, config::standard());
    let grown = peak_address_space() - before;

    assert!(bounded < MAX_GROWTH_KIB, "{bounded} KiB");
    assert!(unbounded.is_err());
    assert!(grown > MAX_GROWTH_KIB, "{grown} KiB");
}
