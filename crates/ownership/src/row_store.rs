//! Reads and writes of the cell's row, one operation at a time.

use model::{Millis, RowVersion, WriterTag};

use crate::cx::Cx;
use crate::{CellRow, Command, VersionedRow};

/// How many times per renew interval a failed read or write is retried.
const RETRIES_PER_INTERVAL: u64 = 2;

/// Spreads the writer tags of one process over the whole range of `u64`.
const TAG_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Reading,
    Writing(CellRow),
}

/// The state of this process's operations on the row in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RowStore {
    phase: Phase,
    /// Whether to read the row as soon as no other operation is in progress.
    read_wanted: bool,
    failed_at: Option<Millis>,
    /// When a read last returned a row that was already known.
    unchanged_read_at: Option<Millis>,
    read_at: Option<Millis>,
    write_count: u32,
    last_tag: Option<WriterTag>,
}

impl Default for RowStore {
    fn default() -> Self {
        Self {
            phase: Phase::Idle,
            read_wanted: true,
            failed_at: None,
            unchanged_read_at: None,
            read_at: None,
            write_count: 0,
            last_tag: None,
        }
    }
}

/// Commands.
impl RowStore {
    /// Requests a read of the row.
    pub(crate) fn want_read(&mut self) {
        self.read_wanted = true;
    }

    /// Starts a read if one was requested and can start now.
    pub(crate) fn start_wanted_read(&mut self, cx: &mut Cx<'_>) {
        if self.read_wanted && self.is_ready(cx) {
            self.phase = Phase::Reading;
            self.read_wanted = false;
            self.read_at = Some(cx.now);
            cx.push(Command::ReadRow);
        }
    }

    /// Starts a write. The caller must have checked `is_ready`.
    pub(crate) fn write(
        &mut self,
        expected: Option<RowVersion>,
        mut row: CellRow,
        cx: &mut Cx<'_>,
    ) {
        self.write_count += 1;
        let step = TAG_STEP.wrapping_mul(u64::from(self.write_count));
        row.writer = WriterTag(cx.settings.incarnation.0.wrapping_add(step));
        self.last_tag = Some(row.writer);
        self.phase = Phase::Writing(row.clone());
        cx.push(Command::WriteRow { expected, row });
    }

    /// Completes a write that took effect and returns the written row.
    pub(crate) fn on_written(&mut self, version: RowVersion) -> Option<VersionedRow> {
        self.failed_at = None;
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Writing(row) => Some(VersionedRow { version, row }),
            Phase::Idle | Phase::Reading => None,
        }
    }

    /// Completes an operation that the table service answered.
    pub(crate) fn on_answered(&mut self) {
        self.phase = Phase::Idle;
        self.failed_at = None;
    }

    /// Delays the next operation after a read that returned a known row. Otherwise a write that
    /// conflicts and a read that returns the known row could alternate without a pause.
    pub(crate) fn on_unchanged_read(&mut self, cx: &Cx<'_>) {
        self.unchanged_read_at = Some(cx.now);
    }

    /// Completes a write that failed on a version conflict, and requests a read of the row.
    pub(crate) fn on_write_conflict(&mut self) {
        self.on_answered();
        self.read_wanted = true;
    }

    /// Completes an operation that failed.
    pub(crate) fn on_failed(&mut self, cx: &Cx<'_>) {
        self.read_wanted |= self.phase == Phase::Reading;
        self.phase = Phase::Idle;
        self.failed_at = Some(cx.now);
    }

    /// Completes a write whose outcome is unknown, and requests a read, which will show it.
    pub(crate) fn on_write_unknown(&mut self) {
        self.phase = Phase::Idle;
        self.read_wanted = true;
    }
}

/// Queries.
impl RowStore {
    /// Returns whether an operation can start now.
    pub(crate) fn is_ready(&self, cx: &Cx<'_>) -> bool {
        let pause = Millis(cx.timing().renew_interval.0 / RETRIES_PER_INTERVAL);
        let retry_due =
            cx.is_due(self.failed_at, pause) && cx.is_due(self.unchanged_read_at, pause);
        self.phase == Phase::Idle && retry_due
    }

    /// Returns whether a write can start now.
    pub(crate) fn can_write(&self, cx: &Cx<'_>) -> bool {
        self.is_ready(cx) && !self.read_wanted
    }

    /// Returns whether `row` is the latest write of this process, also if its reply was lost.
    pub(crate) fn wrote(&self, row: &CellRow) -> bool {
        self.last_tag == Some(row.writer)
    }

    /// Returns when the latest read was started.
    pub(crate) fn read_at(&self) -> Option<Millis> {
        self.read_at
    }

    /// Returns whether the latest operation failed.
    pub(crate) fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }
}
