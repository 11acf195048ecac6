//! The protocol between a backend server and its host process: header names and JSON messages.

use serde::{Deserialize, Serialize};

/// Header with the partition of a request.
pub const PARTITION: &str = "papayarill-partition";
/// Header with the fencing token under which the host process owns the partition.
pub const FENCE: &str = "papayarill-fence";
/// Header with the id of a request that must run at most once.
pub const REQUEST_ID: &str = "papayarill-request-id";
/// Header with the number of the attempt, by which it can be cancelled.
pub const ATTEMPT: &str = "papayarill-call";
/// Header with the time until the request's deadline, in milliseconds.
pub const TIME_LEFT_MS: &str = "papayarill-time-left-ms";
/// Response header with the reason why a request was rejected before it ran.
pub const REJECT_REASON: &str = "papayarill-refused";

/// Header with the key of a request in the run log; defaults to the path.
pub const KEY: &str = "stand-in-key";
/// Header with the simulated duration of a run, in milliseconds.
pub const RUN_MS: &str = "stand-in-run-ms";
/// Header with the size of the response body, in bytes.
pub const RESPONSE_BYTES: &str = "stand-in-answer-bytes";
/// Header with the pause between two chunks of the response body, in milliseconds.
pub const CHUNK_MS: &str = "stand-in-chunk-ms";
/// Header with the fault to inject: `crash`, `break-answer` (truncate the response body),
/// `lose-answer` (close the connection without a response) or `refuse` (reject as shed).
pub const FAULT: &str = "stand-in-fault";

/// Whether a backend server checks grants and fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceChecking {
    /// It rejects requests that no valid grant covers.
    Checked,
    /// It runs every request, whatever its partition and fence.
    Unchecked,
}

/// The lifecycle phase of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Recently started, and slower than usual.
    Cold,
    /// Accepts requests at full speed.
    Ready,
    /// Rejects new requests.
    Draining,
}

/// The message by which a backend server announces itself to its host process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the service.
    pub service: String,
    /// The address that the backend server listens on.
    pub addr: String,
    /// The most requests that it runs concurrently.
    pub slots: u32,
    /// The most concurrent connections that it accepts.
    pub connections: u32,
    /// Whether it checks grants and fences.
    pub fences: FenceChecking,
    /// Its lifecycle phase.
    pub state: Phase,
}

/// Permission to serve one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The partition.
    pub partition: u32,
    /// The fencing token that requests for the partition must carry.
    pub fence: u64,
}

/// All partitions that a backend server may serve, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// The complete list; a partition that is missing from it is revoked.
    pub grants: Vec<Grant>,
    /// How long the grants are valid, in milliseconds from their arrival.
    pub time_left_ms: u64,
}

/// A request to cancel one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The number of the attempt.
    pub call: u64,
}

/// The response to a load query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The most requests that run concurrently.
    pub slots: u32,
    /// Requests that are running, or the value set by [`FaultSettings::claimed_in_use`].
    pub in_use: u32,
}

/// Faults that stay in effect until they are replaced.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Requests that are rejected as shed, per thousand.
    pub shed_per_mille: u32,
    /// The health to report in place of the real one.
    pub claimed_healthy: Option<bool>,
    /// The number of slots in use to report in place of the real one.
    pub claimed_in_use: Option<u32>,
    /// Extra duration of each run, in milliseconds.
    pub slow_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request ran to completion.
    Finished,
    /// It was cancelled, its deadline passed or its connection was lost.
    Cancelled,
    /// The request injected a crash.
    Crashed,
}

/// One execution of a request, as an entry of the run log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The key of the request.
    pub key: String,
    /// The partition, if the request carried one.
    pub partition: Option<u32>,
    /// The fence, if the request carried one.
    pub fence: Option<u64>,
    /// The request id, if the request must run at most once.
    pub request_id: Option<String>,
    /// The number of the attempt, if the request carried one.
    pub call: Option<u64>,
    /// When the run started, in milliseconds of `CLOCK_BOOTTIME`.
    pub started_at_ms: u64,
    /// When the run ended, on the same clock.
    pub ended_at_ms: Option<u64>,
    /// How the run ended.
    pub end: Option<RunOutcome>,
}
