//! The content of the table service and the object store, with the injected faults.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The largest row that the table service accepts, in bytes.
pub const MAX_ROW_BYTES: usize = 400 * 1_024;

/// The largest object that the object store accepts, in bytes.
pub const MAX_OBJECT_BYTES: usize = 8 * 1_024 * 1_024;

/// The precondition of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// One conditional write of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalPut {
    /// The key of the row.
    pub key: String,
    /// The precondition for the write to take effect.
    pub condition: Condition,
    /// The new content.
    pub value: Bytes,
}

/// Why a write had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The precondition does not hold.
    Conflict,
    /// The content exceeds the size limit.
    TooLarge,
}

/// The injected faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every request fails with status 503 and has no effect.
    pub outage: bool,
    /// The delay of each response, in milliseconds; a write takes effect before the delay.
    pub delay_ms: u64,
    /// Whether the connection is closed in place of the response to a write, after the write took
    /// effect.
    pub lose_write_answers: bool,
    /// The delay after which a write of a single row takes effect, in milliseconds; its connection
    /// is closed at once.
    pub late_write_ms: u64,
}

/// The number of requests received, including failed ones and conflicts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of rows and objects.
    pub reads: u64,
    /// Writes of rows and objects; a transaction counts once.
    pub writes: u64,
}

struct Row {
    key: String,
    version: u64,
    value: Bytes,
}

/// All rows and objects, with the faults and counters.
#[derive(Default)]
pub struct Store {
    rows: Vec<Row>,
    objects: Vec<(String, Bytes)>,
    faults: Faults,
    counters: Counters,
}

/// Queries.
impl Store {
    /// Returns the version and the content of a row.
    pub fn row(&self, key: &str) -> Option<(u64, Bytes)> {
        let index = self.find_row(key).ok()?;
        let row = self.rows.get(index)?;
        Some((row.version, row.value.clone()))
    }

    /// Returns the content of an object.
    pub fn object(&self, key: &str) -> Option<Bytes> {
        let index = self.objects.binary_search_by(|(k, _)| k.as_str().cmp(key)).ok()?;
        self.objects.get(index).map(|(_, value)| value.clone())
    }

    /// Returns the faults in effect.
    pub fn faults(&self) -> Faults {
        self.faults
    }

    /// Returns the counters.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn find_row(&self, key: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| row.key.as_str().cmp(key))
    }

    fn check_condition(&self, put: &ConditionalPut) -> Result<(), WriteError> {
        if put.value.len() > MAX_ROW_BYTES {
            return Err(WriteError::TooLarge);
        }
        let found = self.row(&put.key).map(|(version, _)| version);
        let holds = match put.condition {
            Condition::Absent => found.is_none(),
            Condition::Version(expected) => found == Some(expected),
        };
        if holds { Ok(()) } else { Err(WriteError::Conflict) }
    }
}

/// Commands.
impl Store {
    /// Applies all writes or none, and returns the new versions in the same order.
    pub fn transact(&mut self, puts: &[ConditionalPut]) -> Result<Vec<u64>, WriteError> {
        for put in puts {
            self.check_condition(put)?;
        }
        Ok(puts.iter().map(|put| self.apply_put(put)).collect())
    }

    /// Replaces an object.
    pub fn put_object(&mut self, key: &str, value: Bytes) -> Result<(), WriteError> {
        if value.len() > MAX_OBJECT_BYTES {
            return Err(WriteError::TooLarge);
        }
        match self.objects.binary_search_by(|(k, _)| k.as_str().cmp(key)) {
            Ok(index) => self.objects[index].1 = value,
            Err(index) => self.objects.insert(index, (key.to_owned(), value)),
        }
        Ok(())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Counts a read.
    pub fn count_read(&mut self) {
        self.counters.reads += 1;
    }

    /// Counts a write.
    pub fn count_write(&mut self) {
        self.counters.writes += 1;
    }

    fn apply_put(&mut self, put: &ConditionalPut) -> u64 {
        match self.find_row(&put.key) {
            Ok(index) => {
                let row = &mut self.rows[index];
                row.version += 1;
                row.value = put.value.clone();
                row.version
            }
            Err(index) => {
                let row = Row { key: put.key.clone(), version: 1, value: put.value.clone() };
                self.rows.insert(index, row);
                1
            }
        }
    }
}
