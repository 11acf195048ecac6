//! The memory that a process holds of responses, and which holder is closed when it is used up.
//!
//! A holder is a connection for which bytes are held. Closing the one with the highest product of
//! bytes and time without progress frees most for the least harm: callers that read their responses
//! score low, however long these are. Progress counts by its share of the held bytes, so that a
//! caller that reads a byte now and then doesn't pass for one that reads.

use model::Millis;

/// A holder that made no progress for less than this is not closed. Covers round trips between
/// regions and a retransmission.
const MIN_STALL: Millis = Millis(1_000);

/// Nothing new is started once this fraction of the limit is used, so that the responses of running
/// requests find room.
const NEARLY_FULL: f64 = 0.875;

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// A holder to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledHolder {
    /// The holder.
    pub id: HolderId,
    /// The bytes that it holds.
    pub bytes: u64,
    /// The time without progress.
    pub stalled_for: Millis,
}

#[derive(Debug)]
struct Holder {
    id: HolderId,
    bytes: u64,
    /// When it last made progress, weighted by the share of the bytes that the progress concerned.
    progress_at: Millis,
    closable: bool,
}

/// The bytes held of responses, by holder.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    used: u64,
    next: u64,
    holders: Vec<Holder>, // Sorted by id.
}

impl MemoryBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: 0, next: 0, holders: Vec::new() }
    }

    /// Returns the number of bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns whether `bytes` could be held if nothing else were.
    pub fn fits(&self, bytes: u64) -> bool {
        bytes <= self.limit
    }

    /// Returns whether nothing new is to be started.
    pub fn is_nearly_full(&self) -> bool {
        self.used as f64 >= self.limit as f64 * NEARLY_FULL
    }

    /// Adds a holder. One that is not closable is never named by
    /// [`MemoryBudget::holder_to_close`].
    pub fn add_holder(&mut self, closable: bool, now: Millis) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        self.holders.push(Holder { id, bytes: 0, progress_at: now, closable });
        id
    }

    /// Removes a holder. Its bytes count until they are released.
    pub fn remove_holder(&mut self, id: HolderId) {
        self.holders.retain(|h| h.id != id);
    }

    /// Holds `bytes` more, unless that exceeds the limit. Returns whether they are held.
    pub fn reserve(&mut self, id: HolderId, bytes: u64, now: Millis) -> bool {
        let fits = self.used.saturating_add(bytes) <= self.limit;
        if fits {
            self.grow(id, bytes, now);
        }
        fits
    }

    /// Holds `bytes` more that are in memory already, also beyond the limit.
    pub fn grow(&mut self, id: HolderId, bytes: u64, now: Millis) {
        self.used = self.used.saturating_add(bytes);
        if let Some(holder) = self.holder(id) {
            if holder.bytes == 0 {
                holder.progress_at = now;
            }
            holder.bytes = holder.bytes.saturating_add(bytes);
        }
    }

    /// Records that the peer of a holder took `bytes`.
    pub fn progress(&mut self, id: HolderId, bytes: u64, now: Millis) {
        let Some(holder) = self.holder(id).filter(|h| h.bytes > 0) else { return };
        let share = (bytes as f64 / holder.bytes as f64).min(1.0);
        let stalled = now.since(holder.progress_at).0 as f64 * (1.0 - share);
        holder.progress_at = Millis(now.0.saturating_sub(stalled as u64));
    }

    /// Frees bytes of a holder, which may have been removed.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(holder) = self.holder(id) {
            holder.bytes = holder.bytes.saturating_sub(bytes);
        }
    }

    /// Returns the holder to be closed if there is no room for `bytes` more, or nothing new is to be
    /// started.
    pub fn holder_to_close(&self, bytes: u64, now: Millis) -> Option<StalledHolder> {
        if self.used.saturating_add(bytes) <= self.limit && !self.is_nearly_full() {
            return None;
        }
        let stalled = self.holders.iter().filter(|h| h.closable && h.bytes > 0);
        let stalled = stalled.map(|h| StalledHolder {
            id: h.id,
            bytes: h.bytes,
            stalled_for: now.since(h.progress_at),
        });
        let stalled = stalled.filter(|h| h.stalled_for >= MIN_STALL);
        stalled.max_by_key(|h| u128::from(h.bytes) * u128::from(h.stalled_for.0))
    }

    fn holder(&mut self, id: HolderId) -> Option<&mut Holder> {
        let at = self.holders.binary_search_by_key(&id, |h| h.id).ok()?;
        Some(&mut self.holders[at])
    }
}
