//! Settings of the request records.

use model::{Millis, derive_common};

derive_common! {
    value
    /// Limits on time and memory.
    pub struct RecordSettings {
        /// How long after an id was minted it may be retried.
        pub retention: Millis,
        /// How far a caller's clock may be ahead of a host's clock.
        pub caller_skew: Millis,
        /// How far the clocks of two hosts may be apart.
        pub host_skew: Millis,
        /// The maximum number of records. Beyond it, new ids are refused as not run.
        pub max_records: usize,
        /// The maximum total size of kept responses, in bytes. Beyond it, the oldest responses are
        /// evicted and their records stay.
        pub max_kept_bytes: usize,
        /// The maximum size of a single kept response, in bytes.
        pub max_kept_response_bytes: usize,
        /// How long received records are kept until their partition is assigned to this host.
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
