//! How the client classifies the responses of the platform and the lack of one.

mod fixtures;

use std::net::SocketAddr;

use actix_rt::System;
use awc::error::SendRequestError;
use fixtures::{
    SHORT_TIMEOUT, SLOW_MS, cell, closed_port, counters, patient_client, respond_in_turn,
    respond_with, row, set_faults, start_stand_in,
};
use model::{ConfigVersion, RowVersion, WriterTag};
use platform::{PlatformClient, ReadError, WriteError};
use stand_ins::platform::Faults;

const NO_FAULT: Faults =
    Faults { outage: false, delay_ms: 0, lose_write_answers: false, late_write_ms: 0 };
const OUTAGE: Faults = Faults { outage: true, ..NO_FAULT };
const SLOW: Faults = Faults { delay_ms: SLOW_MS, ..NO_FAULT };
const LOST_RESPONSES: Faults = Faults { lose_write_answers: true, ..NO_FAULT };

fn read_kind<T>(result: Result<T, ReadError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(ReadError::Unreachable { .. }) => "unreachable",
        Err(ReadError::Timeout) => "timeout",
        Err(ReadError::Outage) => "outage",
        Err(ReadError::Status { .. }) => "status",
        Err(ReadError::Malformed { .. }) => "malformed",
        Err(ReadError::NoSuchConfig { .. }) => "no such config",
    }
}

fn write_kind<T>(result: Result<T, WriteError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(WriteError::Conflict) => "conflict",
        Err(WriteError::Failed { .. }) => "failed",
        Err(WriteError::Unknown { .. }) => "unknown",
    }
}

/// A fault of the platform, and the result that each call must have under it.
struct Case {
    name: &'static str,
    faults: Faults,
    read_row: &'static str,
    write_row: &'static str,
    /// Whether the row exists afterwards.
    row_written: bool,
    read_config: &'static str,
    apply_config: &'static str,
    /// Whether the configuration is the newest one afterwards.
    config_written: bool,
}

const CASES: [Case; 4] = [
    Case {
        name: "no fault",
        faults: NO_FAULT,
        read_row: "ok",
        write_row: "ok",
        row_written: true,
        read_config: "ok",
        apply_config: "ok",
        config_written: true,
    },
    Case {
        name: "outage",
        faults: OUTAGE,
        read_row: "outage",
        write_row: "failed",
        row_written: false,
        read_config: "outage",
        apply_config: "failed",
        config_written: false,
    },
    Case {
        name: "slow past the time limit",
        faults: SLOW,
        read_row: "timeout",
        write_row: "unknown",
        row_written: true,
        read_config: "timeout",
        // The head cannot be read, so nothing is written.
        apply_config: "failed",
        config_written: false,
    },
    Case {
        name: "response lost after the write took effect",
        faults: LOST_RESPONSES,
        read_row: "ok",
        write_row: "unknown",
        row_written: true,
        read_config: "ok",
        // The head is read again, and the writer's tag in it shows that the write took effect.
        apply_config: "ok",
        config_written: true,
    },
];

async fn check(case: &Case) {
    let addr = start_stand_in();
    let first = patient_client(addr).apply_config(None, "first", WriterTag(1)).await;
    assert_eq!(first.ok(), Some(ConfigVersion(1)));
    set_faults(addr, case.faults).await;

    let time_limit = if case.faults.delay_ms > 0 { SHORT_TIMEOUT } else { fixtures::LONG_TIMEOUT };
    let platform = PlatformClient::new(addr, time_limit);
    let name = case.name;
    let version = Some(ConfigVersion(1));
    assert_eq!(read_kind(platform.read_row(&cell()).await), case.read_row, "{name}");
    assert_eq!(read_kind(platform.read_config(ConfigVersion(1)).await), case.read_config, "{name}");
    let written = platform.write_row(&cell(), None, &row(5, 3, 4)).await;
    assert_eq!(write_kind(written), case.write_row, "{name}");
    let applied = platform.apply_config(version, "second", WriterTag(2)).await;
    assert_eq!(write_kind(applied), case.apply_config, "{name}");

    set_faults(addr, NO_FAULT).await;
    let found = patient_client(addr).read_row(&cell()).await.expect("a response");
    assert_eq!(found.is_some(), case.row_written, "{name}");
    let head = patient_client(addr).read_head().await.expect("a response");
    assert_eq!(head == Some(ConfigVersion(2)), case.config_written, "{name}");
}

#[test]
fn injected_faults_map_to_distinct_errors() {
    System::new().block_on(async {
        for case in &CASES {
            check(case).await;
        }
    });
}

/// Responses on a raw socket, with the results that a read and a write of a row must have.
const RAW_RESPONSES: [(&str, &[u8], &str, &str); 14] = [
    ("nothing", b"", "unreachable", "unknown"),
    ("nonsense", b"\x00\xff\x16\x03\x01 hello\r\n\r\n", "unreachable", "unknown"),
    ("half a head", b"HTTP/1.1 200 OK\r\netag: \"1", "unreachable", "unknown"),
    (
        "half a body",
        b"HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 9\r\n\r\n{",
        "unreachable",
        "unknown",
    ),
    ("no version", b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "malformed", "unknown"),
    (
        "a version that is no number",
        b"HTTP/1.1 200 OK\r\netag: \"one\"\r\ncontent-length: 0\r\n\r\n",
        "malformed",
        "unknown",
    ),
    (
        "a weak version",
        b"HTTP/1.1 200 OK\r\netag: W/\"1\"\r\ncontent-length: 0\r\n\r\n",
        "malformed",
        "unknown",
    ),
    (
        "a body that is no JSON",
        b"HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 1\r\n\r\n{",
        "malformed",
        "ok",
    ),
    ("a client error", b"HTTP/1.1 400 Bad\r\ncontent-length: 0\r\n\r\n", "status", "unknown"),
    ("a server error", b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n", "status", "unknown"),
    ("a gateway error", b"HTTP/1.1 502 Bad\r\ncontent-length: 0\r\n\r\n", "status", "unknown"),
    (
        "a redirection",
        b"HTTP/1.1 307 Go\r\nlocation: /elsewhere\r\ncontent-length: 0\r\n\r\n",
        "status",
        "unknown",
    ),
    ("a conflict", b"HTTP/1.1 412 No\r\ncontent-length: 0\r\n\r\n", "status", "conflict"),
    ("too large", b"HTTP/1.1 413 No\r\ncontent-length: 0\r\n\r\n", "status", "failed"),
];

#[test]
fn raw_responses_map_to_distinct_errors() {
    System::new().block_on(async {
        for (name, bytes, read, write) in RAW_RESPONSES {
            // Each call has its own client, since the server closes the connection after each
            // response.
            let addr = respond_with(bytes);
            assert_eq!(read_kind(patient_client(addr).read_row(&cell()).await), read, "{name}");
            let written = patient_client(addr).write_row(&cell(), None, &row(5, 3, 4)).await;
            assert_eq!(write_kind(written), write, "{name}");
        }
    });
}

#[test]
fn oversized_and_unterminated_responses_are_errors() {
    let check = |head: &str, body: &[u8]| {
        let bytes = [b"HTTP/1.1 200 OK\r\netag: \"1\"\r\n", head.as_bytes(), body].concat();
        let found = System::new().block_on(patient_client(respond_with(&bytes)).read_row(&cell()));
        assert_eq!(read_kind(found), "unreachable", "{head}");
    };
    let long = vec![b' '; 9 * 1_024 * 1_024];
    check("content-length: 9437184\r\n\r\n", &long);
    check("transfer-encoding: chunked\r\n\r\n", b"2\r\n{}\r\n");
    check("connection: close\r\n\r\n", b"{}");
}

/// awc reports a body that was cut off as complete, with a stated length as well as with chunked
/// encoding. A client that relied on it would read half a row.
#[test]
fn awc_reports_a_truncated_body_as_complete() {
    let check = |head: &str, body: &str| {
        let bytes = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
        let url = format!("http://{}/", respond_with(bytes.as_bytes()));
        let found = System::new().block_on(async {
            awc::Client::default().get(url).send().await.expect("a head").body().await
        });
        assert_eq!(found.expect("half a body"), "half", "{head}");
    };
    check("content-length: 9", "half");
    check("transfer-encoding: chunked", "9\r\nhalf");
}

#[test]
fn closed_port_means_that_nothing_was_sent() {
    System::new().block_on(async {
        let platform = patient_client(closed_port());
        assert_eq!(read_kind(platform.read_row(&cell()).await), "unreachable");
        let written = platform.write_row(&cell(), None, &row(5, 3, 4)).await;
        assert_eq!(write_kind(written), "failed");
    });
}

/// awc reports a lost response as a connect error. A client that took every connect error for
/// "nothing was sent" would report this write as failed although it took effect.
#[test]
fn awc_connect_error_does_not_mean_that_nothing_was_sent() {
    System::new().block_on(async {
        let addr = start_stand_in();
        set_faults(addr, LOST_RESPONSES).await;
        let req = awc::Client::default().put(format!("http://{addr}/table/k"));
        let sent = req.insert_header(("if-none-match", "*")).send_body("v").await;
        assert!(matches!(sent, Err(SendRequestError::Connect(_))));
        let url = format!("http://{addr}/table/k");
        let found = awc::Client::default().get(url).send().await.expect("a response");
        assert!(found.status().is_success());
    });
}

#[test]
fn rows_are_read_as_they_were_written() {
    System::new().block_on(async {
        let platform = patient_client(start_stand_in());
        assert!(matches!(platform.read_row(&cell()).await, Ok(None)));
        let first = row(1, 32, 1_024);
        let version = platform.write_row(&cell(), None, &first).await.expect("written");
        let found = platform.read_row(&cell()).await.expect("a response").expect("a row");
        assert_eq!((found.version, found.row), (version, first));
    });
}

#[test]
fn write_with_stale_version_conflicts() {
    System::new().block_on(async {
        let platform = patient_client(start_stand_in());
        let first = platform.write_row(&cell(), None, &row(1, 3, 4)).await.expect("written");
        let second = platform.write_row(&cell(), Some(first), &row(2, 3, 4)).await;
        let second = second.expect("written");
        for expected in [None, Some(first), Some(RowVersion(second.0 + 1))] {
            let late = platform.write_row(&cell(), expected, &row(3, 3, 4)).await;
            assert_eq!(write_kind(late), "conflict", "{expected:?}");
        }
        let found = platform.read_row(&cell()).await.expect("a response").expect("a row");
        assert_eq!((found.version, found.row.writer), (second, WriterTag(2)));
    });
}

/// A read that does not show the write yet does not prove that the write will have no effect.
#[test]
fn write_of_unknown_outcome_may_take_effect_after_a_read() {
    System::new().block_on(async {
        let addr = start_stand_in();
        let platform = patient_client(addr);
        set_faults(addr, Faults { late_write_ms: 300, ..NO_FAULT }).await;
        let written = platform.write_row(&cell(), None, &row(7, 3, 4)).await;
        assert_eq!(write_kind(written), "unknown");
        set_faults(addr, NO_FAULT).await;
        let found = loop {
            if let Some(found) = platform.read_row(&cell()).await.expect("a response") {
                break found;
            }
        };
        assert_eq!(found.row.writer, WriterTag(7));
    });
}

#[test]
fn oversized_or_invalid_rows_are_not_written() {
    let mut odd = row(1, 3, 4);
    odd.assignments[2].fence = odd.assignments[2].fence.takeover();
    let mut unsorted = row(1, 3, 4);
    unsorted.members.swap(0, 1);
    System::new().block_on(async {
        let addr = start_stand_in();
        let platform = patient_client(addr);
        let check = async |row, writes| {
            let written = platform.write_row(&cell(), None, &row).await;
            assert_eq!(write_kind(written), "failed");
            assert_eq!(counters(addr).await.writes, writes);
        };
        check(odd, 0).await;
        check(unsorted, 0).await;
        check(row(1, 33, 4), 0).await;
        check(row(1, 32, 20_000), 1).await;
        assert!(matches!(platform.read_row(&cell()).await, Ok(None)));
    });
}

async fn apply(addr: SocketAddr, based_on: u64, yaml: &str, writer: u64) -> &'static str {
    let based_on = (based_on > 0).then_some(ConfigVersion(based_on));
    write_kind(patient_client(addr).apply_config(based_on, yaml, WriterTag(writer)).await)
}

#[test]
fn one_of_two_concurrent_operators_wins() {
    System::new().block_on(async {
        let addr = start_stand_in();
        assert_eq!(apply(addr, 0, "first", 1).await, "ok");
        let (a, b) =
            futures_util::future::join(apply(addr, 1, "a", 2), apply(addr, 1, "b", 3)).await;
        let mut results = [a, b];
        results.sort_unstable();
        assert_eq!(results, ["conflict", "ok"]);
        let winner = if a == "ok" { "a" } else { "b" };
        let found = patient_client(addr).read_config(ConfigVersion(2)).await.expect("a document");
        assert_eq!(found, winner);
        assert_eq!(apply(addr, 1, "late", 4).await, "conflict");
        assert_eq!(apply(addr, 3, "early", 5).await, "conflict");
    });
}

#[test]
fn one_of_two_concurrent_operators_wins_despite_lost_responses() {
    System::new().block_on(async {
        let addr = start_stand_in();
        set_faults(addr, LOST_RESPONSES).await;
        let (a, b) =
            futures_util::future::join(apply(addr, 0, "a", 2), apply(addr, 0, "b", 3)).await;
        let mut results = [a, b];
        results.sort_unstable();
        assert_eq!(results, ["conflict", "ok"]);
    });
}

/// After an attempt of unknown outcome, a conflict or a failure of the next attempt does not show
/// whether the first one took effect; only the entry in the head does.
#[test]
fn unknown_head_write_is_resolved_by_reading_the_head() {
    const LOST: (&str, &str) = ("", "");
    let check = |second: &str, head: (&str, &str), expected: &str| {
        let response = |(status, body): (&str, &str)| {
            match status {
            "" => Vec::new(),
            _ => format!(
                "HTTP/1.1 {status}\r\netag: \"1\"\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
                body.len(),
            )
            .into_bytes(),
        }
        };
        let absent = ("404 None", "");
        let down = ("503 Down", "");
        let turns = [absent, ("200 OK", ""), LOST, absent, (second, ""), head, down];
        let addr = respond_in_turn(turns.map(response).to_vec());
        let applied = System::new().block_on(apply(addr, 0, "doc", 7));
        assert_eq!(applied, expected, "{second} {head:?}");
    };
    for second in ["412 No", "503 Down", "413 Large"] {
        check(second, ("200 OK", "{\"entries\": [[1, 7]]}"), "ok");
        check(second, ("200 OK", "{\"entries\": [[2, 9], [1, 7]]}"), "ok");
        check(second, ("200 OK", "{\"entries\": [[1, 9]]}"), "conflict");
        check(second, ("503 Down", ""), "unknown");
        check(second, ("200 OK", "{\"entries\": [[40, 9]]}"), "unknown");
        check(second, ("200 OK", "{\"entries\": [[1, 7], [2, 9]]}"), "unknown");
    }
}

#[test]
fn only_recent_documents_are_found() {
    System::new().block_on(async {
        let addr = start_stand_in();
        assert!(matches!(patient_client(addr).read_head().await, Ok(None)));
        for version in 1..=17 {
            assert_eq!(apply(addr, version - 1, &format!("doc {version}"), version).await, "ok");
        }
        let check = async |version, expected| {
            let found = patient_client(addr).read_config(ConfigVersion(version)).await;
            assert_eq!(found.ok().as_deref(), expected, "{version}");
        };
        check(1, None).await;
        check(2, Some("doc 2")).await;
        check(17, Some("doc 17")).await;
        check(18, None).await;
    });
}
