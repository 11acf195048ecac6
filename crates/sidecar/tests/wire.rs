//! Messages between hosts of different releases.

use sidecar::wire::{MembersRequest, decode, decode_extended, encode, encode_extended};

type Extension = (u32, String);

/// Guards against a fleet whose hosts reject each other's messages while it is upgraded host by
/// host.
#[test]
fn messages_of_an_earlier_and_a_later_release_are_understood() {
    let head = MembersRequest { service: "orders".into() };
    let extension: Extension = (7, "added later".into());
    let rows: [(&str, bytes::Bytes, Extension); 2] = [
        ("from an earlier release", encode(&head, b"body"), Extension::default()),
        ("from this release", encode_extended(&head, &extension, b"body"), extension),
    ];

    for (name, message, expected) in rows {
        let earlier = decode::<MembersRequest>(message.clone());
        let later = decode_extended::<MembersRequest, Extension>(message);

        let (found, body) = earlier.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!((found, &body[..]), (head.clone(), &b"body"[..]), "{name}, earlier release");
        let (found, extension, body) = later.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!((found, &body[..]), (head.clone(), &b"body"[..]), "{name}, this release");
        assert_eq!(extension, expected, "{name}");
    }
}
