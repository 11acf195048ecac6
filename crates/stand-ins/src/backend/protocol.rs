//! What a backend server and its host process say to each other, as JSON and header names.

use serde::{Deserialize, Serialize};

/// The partition of a request.
pub const PARTITION: &str = "papayarill-partition";
/// The fence under which the host process owns the partition.
pub const FENCE: &str = "papayarill-fence";
/// The id of a request that runs at most once.
pub const REQUEST_ID: &str = "papayarill-request-id";
/// The number of one attempt, for cancellation.
pub const ATTEMPT: &str = "papayarill-call";
/// The time left for the request, in milliseconds.
pub const TIME_LEFT_MS: &str = "papayarill-time-left-ms";
/// Why a request was refused before anything ran.
pub const REJECT_REASON: &str = "papayarill-refused";

/// The key of a request in the run log; the path stands in if it is missing.
pub const KEY: &str = "stand-in-key";
/// How long a run takes, in milliseconds.
pub const RUN_MS: &str = "stand-in-run-ms";
/// The size of the answer, in bytes.
pub const RESPONSE_BYTES: &str = "stand-in-answer-bytes";
/// The pause between two pieces of the answer, in milliseconds.
pub const CHUNK_MS: &str = "stand-in-chunk-ms";
/// The fault to show: `crash`, `break-answer`, `lose-answer` or `refuse`.
pub const FAULT: &str = "stand-in-fault";

/// Whether a backend server checks grants and fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FenceChecking {
    /// It refuses requests that no grant in force covers.
    Checked,
    /// It runs whatever it is sent.
    Unchecked,
}

/// How far a backend server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// It just started and is slow.
    Cold,
    /// It works.
    Ready,
    /// It takes no new work.
    Draining,
}

/// What a backend server tells its host process about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The name of the service.
    pub service: String,
    /// Where the backend server listens.
    pub addr: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it accepts at the same time.
    pub connections: u32,
    /// Whether it checks fences.
    pub fences: FenceChecking,
    /// How far it is in its life.
    pub state: Phase,
}

/// Permission to serve one partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// The partition.
    pub partition: u32,
    /// The fence.
    pub fence: u64,
}

/// All that a backend server may serve, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grants {
    /// The whole list; what is missing is revoked.
    pub grants: Vec<Grant>,
    /// How long the list holds, in milliseconds from its arrival.
    pub time_left_ms: u64,
}

/// Asks to stop one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cancel {
    /// The number of the attempt.
    pub call: u64,
}

/// The answer to a question about load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Requests that run, or what the stand-in was told to claim.
    pub in_use: u32,
}

/// What the stand-in does wrong until it is told otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultSettings {
    /// Requests refused as shed, per thousand.
    pub shed_per_mille: u32,
    /// The health that is claimed, whatever is true.
    pub claimed_healthy: Option<bool>,
    /// The slots in use that are claimed, whatever is true.
    pub claimed_in_use: Option<u32>,
    /// Milliseconds added to each run.
    pub slow_ms: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The request ran to its end.
    Finished,
    /// It was cancelled, its deadline passed or its connection broke.
    Cancelled,
    /// The stand-in was told to crash.
    Crashed,
}

/// One run of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The key.
    pub key: String,
    /// The partition, if the request named one.
    pub partition: Option<u32>,
    /// The fence, if the request named one.
    pub fence: Option<u64>,
    /// The id, for requests that run at most once.
    pub request_id: Option<String>,
    /// The number of the attempt, if the request named one.
    pub call: Option<u64>,
    /// When the run started, in milliseconds of `CLOCK_BOOTTIME`.
    pub started_at_ms: u64,
    /// When it ended, on the same clock.
    pub ended_at_ms: Option<u64>,
    /// How it ended.
    pub end: Option<RunOutcome>,
}
