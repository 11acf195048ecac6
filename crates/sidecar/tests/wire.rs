//! Messages between hosts of different releases.

use sidecar::wire::{
    EvacuationWire, EvacuationsWire, MembersRequest, NotRun, Outcome, decode, decode_extended,
    encode, encode_extended,
};

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

/// The reasons for which a request does not run, as the previous release knows them.
#[derive(Debug, PartialEq, bincode::Decode)]
enum PreviousNotRun {
    Unreachable,
    NoBackend,
    Leaving,
    TurnedAway,
    NoRoom,
    NotOwner,
    Moving,
    NotGranted,
    Late,
    Crashes,
    Malformed,
}

/// Guards against a refusal that a host of the previous release takes for an unknown outcome, because
/// it can't decode the reason.
#[test]
fn the_reasons_told_to_other_hosts_are_known_to_the_previous_release() {
    use PreviousNotRun as Previous;
    let rows = [
        (NotRun::Unreachable, Previous::Unreachable),
        (NotRun::NoBackend, Previous::NoBackend),
        (NotRun::Leaving, Previous::Leaving),
        (NotRun::TurnedAway, Previous::TurnedAway),
        (NotRun::NoRoom, Previous::NoRoom),
        (NotRun::NotOwner, Previous::NotOwner),
        (NotRun::Moving, Previous::Moving),
        (NotRun::NotGranted, Previous::NotGranted),
        (NotRun::Late, Previous::Late),
        (NotRun::Crashes, Previous::Crashes),
        (NotRun::Malformed, Previous::Malformed),
        (NotRun::Evacuated, Previous::Leaving),
        (NotRun::OutsideRegions, Previous::Leaving),
    ];
    for (why, expected) in rows {
        let Outcome::NotRun { why: told, after_ms } =
            (Outcome::NotRun { why, after_ms: 7 }).for_other_hosts()
        else {
            panic!("{why:?} became another outcome");
        };
        let (decoded, _) = decode::<PreviousNotRun>(encode(&told, &[])).unwrap();
        assert_eq!((decoded, after_ms), (expected, 7), "{why:?}");
    }
}

/// Guards against a host of the previous release that is taken for one that knows of no evacuation, and
/// would be told of them again and again.
#[test]
fn a_message_without_evacuations_differs_from_one_with_none() {
    let head = MembersRequest { service: "orders".into() };
    let known = EvacuationWire { zone: "a".into(), version: 9, active: true };
    let rows: [(bytes::Bytes, EvacuationsWire); 3] = [
        (encode(&head, &[]), None),
        (encode_extended(&head, &Some(Vec::<EvacuationWire>::new()), &[]), Some(Vec::new())),
        (encode_extended(&head, &Some(vec![known.clone()]), &[]), Some(vec![known])),
    ];
    for (message, expected) in rows {
        let (_, found, _) = decode_extended::<MembersRequest, EvacuationsWire>(message).unwrap();
        assert_eq!(found, expected);
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
