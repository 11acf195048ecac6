//! Valid rows are read back unchanged, and invalid ones are rejected.

use std::net::SocketAddr;

use model::{Epoch, Fence, HostAddr, Incarnation, Partition, Session, WriterTag, ZoneName};
use ownership::{Assignment, CellRow, Grantor, GrantorSet, MemberEntry};
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{MAX_PARTITION, decode_row, encode_row};

const SEED: u64 = 11;

fn session(number: u64) -> Session {
    Session { incarnation: Incarnation(number), number: 1 }
}

fn grantor(number: u64) -> Grantor {
    let addr = HostAddr(SocketAddr::from(([10, 0, 0, 1], 80)));
    let zone = ZoneName::new("khomas-a").expect("a name");
    Grantor { addr, incarnation: Incarnation(number), zone }
}

fn member(number: u64) -> MemberEntry {
    let Grantor { addr, zone, .. } = grantor(number);
    MemberEntry { session: session(number), addr, zone }
}

fn assignment(partition: u32) -> Assignment {
    Assignment {
        partition: Partition(partition),
        fence: Fence(4),
        owner: session(1),
        standby: Some(session(2)),
    }
}

fn row() -> CellRow {
    CellRow {
        writer: WriterTag(u64::MAX),
        epoch: Epoch(9),
        grantors: vec![grantor(3), grantor(1), grantor(2)],
        unsealed: vec![GrantorSet { epoch: Epoch(8), grantors: vec![grantor(1)] }],
        members: (1..=3).map(member).collect(),
        assignments: (0..3).map(assignment).collect(),
    }
}

fn check_invalid(edit: impl FnOnce(&mut CellRow), expected: &str) {
    let mut row = row();
    edit(&mut row);
    let found = encode_row(&row).map_err(|e| e.to_string());
    assert_eq!(found, Err(expected.to_owned()));
}

#[test]
fn each_row_invariant_is_checked() {
    assert!(encode_row(&row()).is_ok());
    check_invalid(|r| r.grantors.clear(), "grantors: found no entry, expected at least one");
    check_invalid(
        |r| r.grantors = (1..=6).map(grantor).collect(),
        "grantors: found 6 entries, expected at most 5",
    );
    check_invalid(
        |r| r.grantors[2] = grantor(3),
        "grantors[2]: found an entry for the second time",
    );
    check_invalid(|r| r.epoch = Epoch(8), "unsealed[0].epoch: found 8, expected less than 8");
    check_invalid(
        |r| r.unsealed.push(r.unsealed[0].clone()),
        "unsealed[1]: found an entry for the second time",
    );
    check_invalid(
        |r| r.unsealed[0].grantors.clear(),
        "unsealed.grantors: found no entry, expected at least one",
    );
    check_invalid(
        |r| r.unsealed = vec![r.unsealed[0].clone(); 65],
        "unsealed: found 65 entries, expected at most 64",
    );
    check_invalid(
        |r| r.members = (1..=33).map(member).collect(),
        "members: found 33 entries, expected at most 32",
    );
    check_invalid(
        |r| r.members.swap(1, 2),
        "members[2]: found an entry that is not above the one before it",
    );
    check_invalid(
        |r| r.members[0].session.number = 0,
        "members[0]: found session number 0, expected at least 1",
    );
    check_invalid(
        |r| r.assignments[1].partition = Partition(0),
        "assignments[1]: found an entry that is not above the one before it",
    );
    check_invalid(
        |r| r.assignments[2].partition = Partition(MAX_PARTITION + 1),
        "assignments[2].partition: found 1048576, expected at most 1048575",
    );
    check_invalid(
        |r| r.assignments[2].fence = Fence(5),
        "assignments[2].fence: found 5, expected an even number",
    );
    check_invalid(
        |r| r.assignments[2].owner.number = 0,
        "assignments[2]: found session number 0, expected at least 1",
    );
    check_invalid(
        |r| r.assignments[2].standby = Some(Session { number: 0, ..session(2) }),
        "assignments[2]: found session number 0, expected at least 1",
    );
}

fn random_row(rng: &mut StdRng) -> CellRow {
    let mut row = row();
    row.writer = WriterTag(rng.random());
    row.members.truncate(rng.random_range(0..=3));
    row.unsealed.truncate(rng.random_range(0..=1));
    row.assignments = (0..rng.random_range(0..40)).map(|n| assignment(n * 7)).collect();
    for assignment in &mut row.assignments {
        assignment.fence = Fence(rng.random_range(0..u64::MAX / 2) * 2);
        assignment.standby = rng.random::<bool>().then(|| session(rng.random()));
    }
    row
}

fn check_property(property: fn(u64) -> bool) {
    let numbers = Gen::from_size_and_seed(64, SEED);
    QuickCheck::new().rng(numbers).tests(500).quickcheck(property);
}

#[test]
fn encoded_rows_decode_unchanged() {
    check_property(|seed| {
        let row = random_row(&mut StdRng::seed_from_u64(seed));
        encode_row(&row).is_ok_and(|json| decode_row(&json) == Ok(row))
    });
}

#[test]
fn corrupted_rows_are_rejected_or_still_valid() {
    check_property(|seed| {
        let rng = &mut StdRng::seed_from_u64(seed);
        let mut json = encode_row(&random_row(rng)).expect("a valid row");
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..json.len());
            json[at] = rng.random();
        }
        json.truncate(rng.random_range(0..json.len() * 2));
        decode_row(&json).map_or(true, |row| encode_row(&row).is_ok())
    });
}

#[test]
fn unknown_fields_and_malformed_values_are_rejected() {
    let json = String::from_utf8(encode_row(&row()).expect("a valid row")).expect("text");
    let check = |from: &str, to: &str| {
        let edited = json.replacen(from, to, 1);
        assert_ne!(edited, json);
        assert!(decode_row(edited.as_bytes()).is_err(), "{edited}");
    };
    check("{\"writer\"", "{\"more\":1,\"writer\"");
    check("\"fence\":4", "\"fence\":4,\"more\":1");
    check("\"fence\":4", "\"fence\":-4");
    check("\"fence\":4", "\"fence\":4.5");
    check("\"fence\":4", "\"fence\":18446744073709551616");
    check("khomas-a", "Khomas A");
    check("10.0.0.1:80", "localhost:80");
}
