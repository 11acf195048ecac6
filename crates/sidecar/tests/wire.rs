//! Messages between hosts of different releases.

use sidecar::wire::{MembersRequest, Outcome, decode, decode_extended, encode, encode_extended};

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

/// Guards against a status of no response that an earlier release passes on, and that becomes
/// another one on its way to the caller.
#[test]
fn a_status_that_is_not_final_leaves_the_outcome_unknown() {
    let headers = vec![("server-seal".to_owned(), b"s".to_vec())];
    let ran = |status| Outcome::Ran { status, headers: headers.clone() };
    let rows = [(0, false), (99, false), (100, false), (101, false), (199, false), (200, true)];
    let rows = rows.into_iter().chain([(421, true), (599, true), (600, false), (65_535, false)]);

    for (status, is_response) in rows {
        let found = ran(status).with_final_status();

        let unknown = matches!(found, Outcome::Unknown { .. });
        assert_eq!((found == ran(status), unknown), (is_response, !is_response), "{status}");
    }
}
