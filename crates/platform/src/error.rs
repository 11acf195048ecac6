//! Errors of reads from and writes to the platform.

use snafu::Snafu;

/// Why a read failed. A read has no effect, so it is always safe to retry.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReadError {
    /// The platform could not be reached, or its response was cut off.
    #[snafu(display("the platform could not be reached: {message}"))]
    Unreachable {
        /// The error of the transport.
        message: String,
    },
    /// No complete response arrived within the time limit.
    #[snafu(display("the platform did not respond within the time limit"))]
    Timeout,
    /// The platform reported an outage.
    #[snafu(display("the platform is down (status 503)"))]
    Outage,
    /// The platform returned a status that the protocol does not define.
    #[snafu(display("the platform returned the unexpected status {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// The content is not in the expected form.
    #[snafu(display("{key}: {message}"))]
    Malformed {
        /// The key that was read.
        key: String,
        /// What was found, and what was expected.
        message: String,
    },
    /// The configuration version is no longer kept, or never existed.
    #[snafu(display("the platform keeps no configuration of version {version}"))]
    NoSuchConfig {
        /// The requested version.
        version: u64,
    },
}

/// Why a write failed, or is not known to have taken effect.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WriteError {
    /// Another writer was faster. This write had no effect.
    #[snafu(display("another writer was first"))]
    Conflict,
    /// This write had no effect, and cannot take effect later.
    #[snafu(display("not written: {message}"))]
    Failed {
        /// The cause.
        message: String,
    },
    /// This write may have taken effect, or may still do so later. Only a read can show it.
    #[snafu(display("unknown whether the write took effect: {message}"))]
    Unknown {
        /// What was observed.
        message: String,
    },
}

/// Why a row is invalid.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RowError {
    /// The row is not JSON with the expected structure.
    #[snafu(display("{message}"))]
    Syntax {
        /// The error of the parser, with line and column.
        message: String,
    },
    /// A list has too many entries.
    #[snafu(display("{list}: found {found} entries, expected at most {limit}"))]
    TooMany {
        /// The name of the list.
        list: &'static str,
        /// The length of the list.
        found: usize,
        /// The maximum length.
        limit: usize,
    },
    /// A list that must not be empty is empty.
    #[snafu(display("{list}: found no entry, expected at least one"))]
    Empty {
        /// The name of the list.
        list: &'static str,
    },
    /// A list that must be strictly ascending is not.
    #[snafu(display("{list}[{index}]: found an entry that is not above the one before it"))]
    Unsorted {
        /// The name of the list.
        list: &'static str,
        /// The index of the first entry that is out of order.
        index: usize,
    },
    /// A list has a duplicate entry.
    #[snafu(display("{list}[{index}]: found an entry for the second time"))]
    Repeated {
        /// The name of the list.
        list: &'static str,
        /// The index of the second of the two entries.
        index: usize,
    },
    /// A stored fence is odd; only even fences may be stored.
    #[snafu(display("assignments[{index}].fence: found {found}, expected an even number"))]
    OddFence {
        /// The index of the entry.
        index: usize,
        /// The fence.
        found: u64,
    },
    /// A partition number is too large.
    #[snafu(display("assignments[{index}].partition: found {found}, expected at most {limit}"))]
    PartitionRange {
        /// The index of the entry.
        index: usize,
        /// The partition.
        found: u32,
        /// The largest allowed number.
        limit: u32,
    },
    /// A session number is zero.
    #[snafu(display("{list}[{index}]: found session number 0, expected at least 1"))]
    SessionZero {
        /// The name of the list.
        list: &'static str,
        /// The index of the entry.
        index: usize,
    },
    /// An unsealed set of grantors has an epoch that is not older than that of the row.
    #[snafu(display("unsealed[{index}].epoch: found {found}, expected less than {epoch}"))]
    UnsealedEpoch {
        /// The index of the entry.
        index: usize,
        /// The epoch of the set.
        found: u64,
        /// The epoch of the row.
        epoch: u64,
    },
}
