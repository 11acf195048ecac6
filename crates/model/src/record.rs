//! What an owner remembers of a request that runs at most once.

use crate::{Millis, RequestId, derive_common};

derive_common! {
    data
    /// An answer that is kept for re-sends.
    pub struct KeptResponse {
        /// The HTTP status.
        pub status: u16,
        /// The HTTP headers that matter to the caller.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The whole body.
        pub body: Vec<u8>,
    }
}

derive_common! {
    data
    /// How a recorded request ended.
    pub enum RecordOutcome {
        /// It ran, and a re-send gets this answer.
        Answered(KeptResponse),
        /// It ran with this HTTP status; the answer was too large to keep.
        NotKept {
            /// The HTTP status.
            status: u16,
        },
        /// It may have run.
        Unknown,
    }
}

derive_common! {
    data
    /// One request record on its way from one owner to the next.
    pub struct HandoverRecord {
        /// The request id.
        pub id: RequestId,
        /// The digest of the request, so that an id cannot be used for another request.
        pub digest: u64,
        /// The time since the request was started.
        pub age: Millis,
        /// How the request ended.
        pub outcome: RecordOutcome,
    }
}
