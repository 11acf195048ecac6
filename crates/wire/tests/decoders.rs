//! Frames: every value comes back as it was, and no bytes do harm.

mod common;

use std::fmt::Debug;

use bincode::config;
use bytes::Bytes;
use common::values::{Draw, MESSAGE_KINDS};
use common::{LONG, head};
use model::CellId;
use quickcheck::{QuickCheck, TestResult};
use wire::codec::{
    CodecError, MAX_CALL_BYTES, MAX_HEAD_BYTES, WIRE_VERSION, decode_call, decode_forward_head,
    decode_outcome, decode_reply, encode_call, encode_forward_head, encode_outcome, encode_reply,
};
use wire::{Call, Reply};

const VALUES: u64 = 2_000;

/// A length that no memory holds, as bincode writes it.
const HUGE: [u8; 9] = [253, 255, 255, 255, 255, 255, 255, 255, 127];

/// A length that a machine could reserve, but that no frame justifies.
const LARGE: [u8; 5] = [252, 0, 0, 0, 128];

/// Draws frames of all kinds.
fn frames(seed: u64) -> [Bytes; 4] {
    let mut draw = Draw::new(seed);
    [
        encode_call(draw.call()).unwrap(),
        encode_reply(draw.reply()).unwrap(),
        encode_forward_head(draw.forward_head()).unwrap(),
        encode_outcome(draw.outcome()).unwrap(),
    ]
}

/// Feeds bytes to every decoder and returns how many took them. What one takes it must also give
/// back in a form that decodes to the same value.
fn feed(bytes: &[u8]) -> usize {
    fn same<T: Clone + Debug + PartialEq>(
        value: T,
        encode: impl Fn(T) -> Result<Bytes, CodecError>,
        decode: impl Fn(&[u8]) -> Result<T, CodecError>,
    ) {
        let again = decode(&encode(value.clone()).unwrap()).unwrap();
        assert_eq!(again, value);
    }
    let mut taken = 0;
    if let Ok(value) = decode_call(bytes) {
        same(value, encode_call, decode_call);
        taken += 1;
    }
    if let Ok(value) = decode_reply(bytes) {
        same(value, encode_reply, decode_reply);
        taken += 1;
    }
    if let Ok(value) = decode_forward_head(bytes) {
        same(value, encode_forward_head, decode_forward_head);
        taken += 1;
    }
    if let Ok(value) = decode_outcome(bytes) {
        same(value, encode_outcome, decode_outcome);
        taken += 1;
    }
    taken
}

#[test]
fn every_value_comes_back_as_it_was() {
    for seed in 0..VALUES {
        let mut draw = Draw::new(seed);
        let (call, reply) = (draw.call(), draw.reply());
        let (head, outcome) = (draw.forward_head(), draw.outcome());

        assert_eq!(decode_call(&encode_call(call.clone()).unwrap()).unwrap(), call);
        assert_eq!(decode_reply(&encode_reply(reply.clone()).unwrap()).unwrap(), reply);
        let frame = encode_forward_head(head.clone()).unwrap();
        assert_eq!(decode_forward_head(&frame).unwrap(), head);
        let frame = encode_outcome(outcome.clone()).unwrap();
        assert_eq!(decode_outcome(&frame).unwrap(), outcome);
    }
}

#[test]
fn every_message_comes_back_as_it_was() {
    let mut draw = Draw::new(1);
    for kind in (0..MESSAGE_KINDS).cycle().take(50 * MESSAGE_KINDS) {
        let messages = Reply::Messages(vec![draw.message(kind)]);
        let frame = encode_reply(messages.clone()).unwrap();
        assert_eq!(decode_reply(&frame).unwrap(), messages);
    }
}

#[test]
fn a_frame_cut_short_or_continued_is_an_error() {
    let takes: [fn(&[u8]) -> bool; 4] = [
        |bytes| decode_call(bytes).is_ok(),
        |bytes| decode_reply(bytes).is_ok(),
        |bytes| decode_forward_head(bytes).is_ok(),
        |bytes| decode_outcome(bytes).is_ok(),
    ];
    for seed in 0..200 {
        for (frame, takes) in frames(seed).iter().zip(takes) {
            assert!(takes(frame));
            assert!((0..frame.len()).all(|end| !takes(&frame[..end])));
            assert!(!takes(&[&frame[..], &[0]].concat()));
        }
    }
}

#[test]
fn flipped_bits_and_random_bytes_do_no_harm() {
    let mut draw = Draw::new(2);
    for seed in 0..1_000 {
        for frame in frames(seed) {
            let mut flipped = frame.to_vec();
            for _ in 0..=draw.below(3) {
                let at = draw.below(flipped.len());
                flipped[at] ^= 1 << draw.below(8);
                feed(&flipped);
            }
            let length = draw.below(200);
            let mut random = draw.bytes(length);
            feed(&random);
            random.insert(0, WIRE_VERSION);
            feed(&random);
        }
    }
}

#[test]
fn any_bytes_behind_the_version_do_no_harm() {
    fn property(payload: Vec<u8>) -> TestResult {
        let frame = [&[WIRE_VERSION][..], &payload].concat();
        TestResult::from_bool(feed(&frame) <= 4)
    }
    QuickCheck::new().tests(2_000).quickcheck(property as fn(Vec<u8>) -> TestResult);
}

#[test]
fn other_versions_and_oversized_frames_are_refused_unread() {
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
fn names_and_ids_are_checked_when_they_come_in() {
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

/// Returns the most memory that the process ever had in its address space, in KiB.
fn address_space_peak() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmPeak")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// More than the tests of this file take together, in KiB.
const BOUND_KIB: u64 = 1024 * 1024;

#[test]
fn claimed_lengths_take_no_memory() {
    let before = address_space_peak();
    for seed in 0..100 {
        for frame in frames(seed) {
            for at in 1..frame.len() {
                feed(&[&frame[..at], &HUGE, &frame[at + 1..]].concat());
                feed(&[&frame[..at], &LARGE, &frame[at + 1..]].concat());
            }
        }
    }
    let bounded = address_space_peak() - before;

    // Without a limit the decoder reserves what the frame claims, and the check must notice.
    let claim = [&LARGE[..], b"x"].concat();
    let unbounded = bincode::decode_from_slice::<Vec<u8>, _>(&claim, config::standard());
    let grown = address_space_peak() - before;

    assert!(bounded < BOUND_KIB, "{bounded} KiB");
    assert!(unbounded.is_err());
    assert!(grown > BOUND_KIB, "{grown} KiB");
}
