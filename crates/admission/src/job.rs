//! The types that go into a queue and come out of it.

use model::{Millis, NotRunReason, Priority, derive_common};

derive_common! {
    value
    /// A request that needs a slot of the backend server.
    pub struct Job {
        /// Identifies the job within its queue; not reused while the job waits or runs.
        pub id: u64,
        /// The priority class.
        pub priority: Priority,
        /// The rule that the request matched; it groups requests of similar duration.
        pub rule: Option<u32>,
        /// How long the caller still waits for the response.
        pub time_left: Millis,
    }
}

derive_common! {
    value
    /// What the queue decides about a submitted job.
    pub enum Admission {
        /// Send it to the backend server now.
        Start,
        /// It waits; an [`Action`] for it follows, unless it is cancelled.
        Queued,
        /// It was not run and does not wait.
        Refused {
            /// Why it was refused.
            reason: NotRunReason,
            /// How long to wait before another attempt.
            retry_after: Millis,
        },
    }
}

derive_common! {
    value
    /// What the host process must do with a job that waited.
    pub enum Action {
        /// Send it to the backend server now.
        Start(u64),
        /// Respond that it was not run.
        Refuse {
            /// The id of the job.
            id: u64,
            /// Why it was refused.
            reason: NotRunReason,
            /// How long to wait before another attempt.
            retry_after: Millis,
        },
    }
}

derive_common! {
    value
    /// How a started job ended.
    pub enum JobOutcome {
        /// The backend server ran it.
        Ran,
        /// The backend server refused it because of load, before running it.
        Refused,
        /// It failed: no connection, a broken response, or a timeout.
        Failed,
        /// It ended in a way that says nothing about the backend server's load: the caller
        /// disconnected, or it was refused for its fencing token, its deadline or a drain.
        Inconclusive,
    }
}
