//! What goes into a queue and what comes out.

use model::{Millis, NotRunReason, Priority, derive_common};

derive_common! {
    value
    /// A request that waits for a slot of the backend server.
    pub struct Job {
        /// Identifies the job within its queue; never used twice while the job is known.
        pub id: u64,
        /// The class.
        pub priority: Priority,
        /// The rule that the request matched, which groups requests of similar length.
        pub rule: Option<u32>,
        /// How long the caller still waits for the answer.
        pub time_left: Millis,
    }
}

derive_common! {
    value
    /// What becomes of an offered job.
    pub enum Admission {
        /// Send it to the backend server now.
        Start,
        /// It waits; an [`Action`] follows.
        Queued,
        /// It was not run and is not in the queue.
        Refused {
            /// Why.
            reason: NotRunReason,
            /// After this time another attempt has a chance.
            retry_after: Millis,
        },
    }
}

derive_common! {
    value
    /// What the host process has to do with a job that waited.
    pub enum Action {
        /// Send it to the backend server now.
        Start(u64),
        /// Answer that it was not run.
        Refuse {
            /// The job.
            id: u64,
            /// Why.
            reason: NotRunReason,
            /// After this time another attempt has a chance.
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
        /// The backend server refused it for its load, before running it.
        Refused,
        /// It failed: no connection, a broken answer, a timeout.
        Failed,
        /// It ended in a way that tells nothing of the backend server's load: the caller went
        /// away, or it was refused for its fence, its deadline or a drain.
        Inconclusive,
    }
}
