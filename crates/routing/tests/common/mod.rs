//! Fixtures that several tests share.
#![allow(dead_code)]

use model::{KeptAnswer, Millis, Priority, RecordEnd, RequestId, ServiceName};
use papayarill_config::{KeySource, Method, PathPattern, Repeat, Rule, Service};
use routing::records::{RecordSettings, RunResult};

/// A service with keys from `keys` and these rules.
pub fn service(keys: KeySource, rules: Vec<Rule>) -> Service {
    Service {
        name: ServiceName::new("dispatch").unwrap(),
        keys,
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

/// A rule that makes requests repeatable, deferrable and limited to one second.
pub fn rule(methods: Vec<Method>, path: &str) -> Rule {
    Rule {
        methods,
        path: PathPattern(path.to_owned()),
        repeat: Repeat::Repeatable,
        priority: Priority::Deferrable,
        time_limit: Millis(1_000),
    }
}

/// An id that was minted at `minted_at`; `random` tells ids of one millisecond apart.
pub fn id_at(minted_at: u64, random: u64) -> RequestId {
    let bits = u128::from(minted_at) << 80 | 7 << 76 | 2 << 62 | u128::from(random & 0xffff_ffff);
    RequestId::try_from(uuid::Uuid::from_u128(bits)).unwrap()
}

/// Small bounds, so that tests reach them.
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

/// An answer of `length` bytes.
pub fn answer(length: usize) -> KeptAnswer {
    KeptAnswer { status: 201, headers: Vec::new(), body: vec![7; length] }
}

/// The end of a run with an answer of `length` bytes.
pub fn answered(length: usize) -> RunResult {
    RunResult::Recorded(RecordEnd::Answered(answer(length)))
}
