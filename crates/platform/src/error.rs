//! What can go wrong between this process and the platform.

use snafu::Snafu;

/// Why a read gave nothing. A read has no effect, so it may always be repeated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The platform could not be reached, or its answer broke off.
    #[snafu(display("the platform could not be reached: {message}"))]
    Unreachable {
        /// What the transport said.
        message: String,
    },
    /// No whole answer came within the time limit.
    #[snafu(display("the platform did not answer within the time limit"))]
    Timeout,
    /// The platform says that it is down.
    #[snafu(display("the platform is down (status 503)"))]
    Outage,
    /// The platform answered with a status that the protocol does not know.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The answer is not what was once written.
    #[snafu(display("{key}: {message}"))]
    Malformed {
        /// The key that was read.
        key: String,
        /// What was found and what was expected.
        message: String,
    },
    /// The configuration of that version is not kept any more, or never was.
    #[snafu(display("the platform keeps no configuration of version {version}"))]
    NoSuchConfig {
        /// The version that was asked for.
        version: u64,
    },
}

/// Why a write is not known to have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// Another writer was first. This write had no effect.
    #[snafu(display("another writer was first"))]
    Conflict,
    /// This write had no effect and can have none later.
    #[snafu(display("not written: {message}"))]
    Failed {
        /// Why.
        message: String,
    },
    /// This write may have taken effect, or may do so later. Only a read can tell.
    #[snafu(display("it is not known whether the write took effect: {message}"))]
    Unknown {
        /// What was seen.
        message: String,
    },
}

/// Why the content of a row makes no sense.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RowError {
    /// The row is not JSON of the expected shape.
    #[snafu(display("{message}"))]
    Syntax {
        /// What the parser found, with line and column.
        message: String,
    },
    /// A list is longer than allowed.
    #[snafu(display("{list}: found {found} entries, expected at most {limit}"))]
    TooMany {
        /// The list.
        list: &'static str,
        /// Its length.
        found: usize,
        /// The longest that is allowed.
        limit: usize,
    },
    /// A list that has to hold something is empty.
    #[snafu(display("{list}: found no entry, expected at least one"))]
    Empty {
        /// The list.
        list: &'static str,
    },
    /// A list is not sorted, or holds the same thing twice.
    #[snafu(display("{list}[{index}]: found an entry that is not above the one before it"))]
    Unsorted {
        /// The list.
        list: &'static str,
        /// The first entry out of order.
        index: usize,
    },
    /// A list holds the same thing twice.
    #[snafu(display("{list}[{index}]: found an entry for the second time"))]
    Repeated {
        /// The list.
        list: &'static str,
        /// The second of the two entries.
        index: usize,
    },
    /// A stored fence is odd.
    #[snafu(display("assignments[{index}].fence: found {found}, expected an even number"))]
    OddFence {
        /// The entry.
        index: usize,
        /// The fence.
        found: u64,
    },
    /// A partition number is too large.
    #[snafu(display("assignments[{index}].partition: found {found}, expected at most {limit}"))]
    PartitionRange {
        /// The entry.
        index: usize,
        /// The partition.
        found: u32,
        /// The largest that is allowed.
        limit: u32,
    },
    /// A session number is zero.
    #[snafu(display("{list}[{index}]: found session number 0, expected at least 1"))]
    SessionZero {
        /// The list.
        list: &'static str,
        /// The entry.
        index: usize,
    },
    /// An older set of grantors is not older.
    #[snafu(display("unsealed[{index}].epoch: found {found}, expected less than {epoch}"))]
    UnsealedEpoch {
        /// The entry.
        index: usize,
        /// Its epoch.
        found: u64,
        /// The epoch of the row.
        epoch: u64,
    },
}
