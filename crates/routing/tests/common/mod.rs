//! Fixtures shared by the integration tests.
#![allow(dead_code)]

use model::{KeptResponse, Millis, Priority, RecordOutcome, RequestId, ServiceName};
use papayarill_config::{KeySource, Method, PathPattern, RetrySafety, Rule, Service};
use routing::records::{RecordSettings, RunResult};

/// Returns a service with this key source and these rules.
pub fn service(key_source: KeySource, rules: Vec<Rule>) -> Service {
    Service {
        name: ServiceName::new("dispatch").unwrap(),
        key_source,
        partitions: 16,
        backend_servers: 6,
        slots: 6,
        connections: 110,
        reserved_slots: 2,
        max_body_bytes: 1 << 20,
        record_retention: Millis(60_000),
        drain_deadline: Millis(10_000),
        unfenced_grace: Millis(0),
        retry_percent: 10,
        rules,
    }
}

/// Returns a rule for repeatable, deferrable requests with a time limit of one second.
pub fn rule(methods: Vec<Method>, path: &str) -> Rule {
    Rule {
        methods,
        path: PathPattern(path.to_owned()),
        retry_safety: RetrySafety::Idempotent,
        priority: Priority::Deferrable,
        time_limit: Millis(1_000),
    }
}

/// Returns an id minted at `minted_at`. `random` distinguishes ids of the same millisecond.
pub fn id_at(minted_at: u64, random: u64) -> RequestId {
    let bits = u128::from(minted_at) << 80 | 7 << 76 | 2 << 62 | u128::from(random & 0xffff_ffff);
    RequestId::try_from(uuid::Uuid::from_u128(bits)).unwrap()
}

/// Returns settings with limits that are small enough for tests to reach.
pub fn settings() -> RecordSettings {
    RecordSettings {
        retention: Millis(60_000),
        caller_skew: Millis(1_000),
        host_skew: Millis(200),
        max_records: 1_000,
        max_kept_bytes: 4_000,
        max_kept_response_bytes: 2_000,
        handover_timeout: Millis(5_000),
    }
}

/// Returns a response with a body of `length` bytes.
pub fn response(length: usize) -> KeptResponse {
    KeptResponse { status: 201, headers: Vec::new(), body: vec![7; length] }
}

/// Returns the result of a run with a response body of `length` bytes.
pub fn ran(length: usize) -> RunResult {
    RunResult::Recorded(RecordOutcome::Answered(response(length)))
}
