//! Bounds of the request records.

use model::{Millis, derive_common};

derive_common! {
    value
    /// Bounds on time and memory.
    pub struct RecordSettings {
        /// How long an id may be re-sent after it was minted.
        pub retention: Millis,
        /// How far the clocks of callers may be ahead of a host's clock.
        pub caller_skew: Millis,
        /// How far the clocks of two hosts may be apart.
        pub host_skew: Millis,
        /// The most records; further ids are refused as not run.
        pub max_records: usize,
        /// The most bytes of kept answers; the oldest answers give way, their records stay.
        pub max_kept_bytes: usize,
        /// The largest answer that is kept, in bytes.
        pub max_kept_response_bytes: usize,
        /// How long records wait for the assignment of their partition.
        pub handover_timeout: Millis,
    }
}

impl Default for RecordSettings {
    fn default() -> Self {
        Self {
            retention: Millis(600_000),
            caller_skew: Millis(1_000),
            host_skew: Millis(250),
            max_records: 150_000,
            max_kept_bytes: 8 << 20,
            max_kept_response_bytes: 64 << 10,
            handover_timeout: Millis(60_000),
        }
    }
}
