//! Limits and defaults of every field. docs/configuration.md repeats them for operators.

use std::ops::RangeInclusive;

/// The longest document that is read, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1_024 * 1_024;

/// The most regions.
pub const MAX_REGIONS: usize = 64;

/// The most availability zones of one region.
pub const MAX_ZONES_PER_REGION: usize = 16;

/// The most services.
pub const MAX_SERVICES: usize = 4_096;

/// The most rules of one service.
pub const MAX_RULES_PER_SERVICE: usize = 256;

/// The most partitions of one service.
pub const MAX_PARTITIONS_PER_SERVICE: u32 = 1_024 * 1_024;

/// The most partitions of one cell, so that its row stays below the platform's limit on rows.
pub const MAX_PARTITIONS_PER_CELL: u32 = 1_024;

/// The longest path pattern, in bytes.
pub(crate) const MAX_PATH_BYTES: usize = 256;

/// The longest name of a header or query parameter that holds the key, in bytes.
pub(crate) const MAX_KEY_NAME_BYTES: usize = 64;

/// The most faults that are reported at once.
pub(crate) const MAX_FAULTS: usize = 50;

/// A number with its limits and, if it may be left out, its default.
pub(crate) struct Number {
    pub(crate) range: RangeInclusive<u64>,
    pub(crate) default: Option<u64>,
}

const fn required(range: RangeInclusive<u64>) -> Number {
    Number { range, default: None }
}

const fn optional(range: RangeInclusive<u64>, default: u64) -> Number {
    Number { range, default: Some(default) }
}

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const MIB: u64 = 1_024 * 1_024;

pub(crate) const PATH_SEGMENT: Number = required(0..=31);
pub(crate) const PARTITIONS: Number = optional(1..=MAX_PARTITIONS_PER_SERVICE as u64, 64);
pub(crate) const BACKEND_SERVERS: Number = required(1..=100_000);
pub(crate) const SLOTS: Number = required(1..=65_536);
pub(crate) const CONNECTIONS: Number = required(1..=65_536);
pub(crate) const RESERVED_SLOTS: Number = optional(0..=65_535, 0);
pub(crate) const MAX_BODY_BYTES: Number = optional(0..=16 * MIB, MIB);
pub(crate) const RECORD_RETENTION_MS: Number = optional(SECOND_MS..=24 * HOUR_MS, 10 * MINUTE_MS);
pub(crate) const DRAIN_DEADLINE_MS: Number = optional(SECOND_MS..=HOUR_MS, 30 * SECOND_MS);
pub(crate) const UNFENCED_GRACE_MS: Number = optional(0..=10 * MINUTE_MS, 2 * SECOND_MS);
pub(crate) const RETRY_PERCENT: Number = optional(0..=100, 10);
pub(crate) const TIME_LIMIT_MS: Number = optional(1..=HOUR_MS, 10 * SECOND_MS);
