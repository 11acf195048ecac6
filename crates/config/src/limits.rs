//! The limits and defaults of every field. docs/configuration.md documents them for operators.

use std::ops::RangeInclusive;

/// The maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_024 * 1_024;

/// The maximum number of regions.
pub const MAX_REGIONS: usize = 64;

/// The maximum number of availability zones in one region.
pub const MAX_ZONES_PER_REGION: usize = 16;

/// The maximum number of services.
pub const MAX_SERVICES: usize = 4_096;

/// The maximum number of rules of one service.
pub const MAX_RULES_PER_SERVICE: usize = 256;

/// The maximum number of partitions of one service.
pub const MAX_PARTITIONS_PER_SERVICE: u32 = 1_024 * 1_024;

/// The maximum number of partitions in one cell, which keeps the row that stores the cell below the
/// platform's row size limit.
pub const MAX_PARTITIONS_PER_CELL: u32 = 1_024;

/// The maximum length of a path pattern, in bytes.
pub(crate) const MAX_PATH_BYTES: usize = 256;

/// The maximum length of the name of a header or query parameter that holds the key, in bytes.
pub(crate) const MAX_KEY_NAME_BYTES: usize = 64;

/// The maximum number of errors that are reported for one document.
pub(crate) const MAX_REPORTED_ERRORS: usize = 50;

/// The maximum number of findings that are reported for one valid document. The line of each is
/// found by reading the document again.
pub(crate) const MAX_REPORTED_FINDINGS: usize = 200;

/// The range of a number and, if the field is optional, its default.
pub(crate) struct NumberSpec {
    pub(crate) range: RangeInclusive<u64>,
    pub(crate) default: Option<u64>,
}

const fn required(range: RangeInclusive<u64>) -> NumberSpec {
    NumberSpec { range, default: None }
}

const fn optional(range: RangeInclusive<u64>, default: u64) -> NumberSpec {
    NumberSpec { range, default: Some(default) }
}

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MIB: u64 = 1_024 * 1_024;

pub(crate) const PATH_SEGMENT: NumberSpec = required(0..=31);
pub(crate) const PARTITIONS: NumberSpec = optional(1..=MAX_PARTITIONS_PER_SERVICE as u64, 64);
pub(crate) const BACKEND_SERVERS: NumberSpec = required(1..=100_000);
pub(crate) const SLOTS: NumberSpec = required(1..=65_536);
pub(crate) const CONNECTIONS: NumberSpec = required(1..=65_536);
pub(crate) const RESERVED_SLOTS: NumberSpec = optional(0..=65_535, 0);
pub(crate) const MAX_BODY_BYTES: NumberSpec = optional(0..=16 * MIB, MIB);
pub(crate) const RECORD_RETENTION_MS: NumberSpec =
    optional(SECOND_MS..=24 * HOUR_MS, 10 * MINUTE_MS);
pub(crate) const DRAIN_DEADLINE_MS: NumberSpec = optional(SECOND_MS..=HOUR_MS, 30 * SECOND_MS);
pub(crate) const UNFENCED_GRACE_MS: NumberSpec = optional(0..=10 * MINUTE_MS, 2 * SECOND_MS);
pub(crate) const RETRY_PERCENT: NumberSpec = optional(0..=100, 10);
pub(crate) const TIME_LIMIT_MS: NumberSpec = optional(1..=HOUR_MS, 10 * SECOND_MS);
