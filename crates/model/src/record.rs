//! The records that an owner keeps of requests that run at most once.

use crate::{Millis, RequestId, derive_common};

derive_common! {
    data
    /// A response that is kept in order to answer repeats of the request.
    pub struct KeptResponse {
        /// The HTTP status.
        pub status: u16,
        /// The HTTP headers that are relevant to the caller.
        pub headers: Vec<(String, Vec<u8>)>,
        /// The complete body.
        pub body: Vec<u8>,
    }
}

derive_common! {
    data
    /// The outcome of a recorded request.
    pub enum RecordOutcome {
        /// The request ran; repeats receive this response.
        Answered(KeptResponse),
        /// The request ran with this HTTP status; the response was too large to keep.
        NotKept {
            /// The HTTP status.
            status: u16,
        },
        /// The request may have run.
        Unknown,
    }
}

derive_common! {
    data
    /// A request record that is handed over from one owner to the next.
    pub struct HandoverRecord {
        /// The request id.
        pub id: RequestId,
        /// The digest of the request, by which the reuse of an id for another request is detected.
        pub digest: u64,
        /// The time since the request was started.
        pub age: Millis,
        /// The outcome of the request.
        pub outcome: RecordOutcome,
    }
}
