//! The memory that a process holds for its clients, and which holder is closed when it is used up.
//!
//! A holder is a connection for which bytes are held. Bytes are assigned to it while they wait for
//! its client: to send the rest of a request, or to read a response. Bytes of a request that waits
//! for its turn or runs, or of a response that is being read from a backend server, count as used but
//! are assigned to nobody. Closing the holder with the highest product of bytes and time without
//! progress frees most for the least harm: clients that read their responses and send their requests
//! score low, however long these are. Progress counts by its share of the assigned bytes, so that a
//! client that reads a byte now and then doesn't pass for one that reads.
//!
//! What has not begun finds no room first: bodies of requests, then requests, and only then the
//! responses to requests that run already.

use std::cmp::Reverse;

use model::{Millis, derive_common};

/// Holders are closed until no more than this fraction of the limit is used. Others that don't read
/// would soon take a smaller gain, before an ordinary request finds room.
const LOW_WATER: f64 = 0.75;

derive_common! {
    value
    /// What bytes are held for.
    pub enum Purpose {
        /// The body of a request.
        Body,
        /// A request without its body, or a connection.
        Request,
        /// The response to a request that runs.
        Response,
        /// Heartbeats, calls of other hosts about the state of the fleet, and the input that shows what
        /// a client wants.
        Control,
    }
}

impl Purpose {
    /// The fraction of the limit up to which bytes are taken in for this purpose.
    fn share(self) -> f64 {
        match self {
            Self::Body => 0.875,
            Self::Request => 0.9375,
            Self::Response | Self::Control => 1.0,
        }
    }
}

derive_common! {
    value
    /// What a holder is.
    pub enum HolderKind {
        /// The connection of a caller or of another client that sends requests of its own.
        Client,
        /// The connection of another host, which carries requests of many callers.
        Host,
    }
}

impl HolderKind {
    /// A holder that made no progress for less than this is not closed.
    fn min_stall(self) -> Millis {
        match self {
            // Covers round trips between regions and a retransmission.
            Self::Client => Millis(1_000),
            // A host that has no room for a response gives up after 2.5 s.
            Self::Host => Millis(5_000),
        }
    }
}

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// A holder to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalledHolder {
    /// The holder.
    pub id: HolderId,
    /// The bytes that are assigned to it.
    pub bytes: u64,
    /// The time without progress.
    pub stalled_for: Millis,
}

#[derive(Debug)]
struct Holder {
    id: HolderId,
    kind: HolderKind,
    bytes: u64,
    /// When it last made progress, weighted by the share of the bytes that the progress concerned.
    progress_at: Millis,
}

impl Holder {
    fn stalled_for(&self, now: Millis) -> Millis {
        now.since(self.progress_at)
    }

    /// Reduces the time without progress to a fraction.
    fn scale_stall(&mut self, fraction: f64, now: Millis) {
        let stalled = self.stalled_for(now).0 as f64 * fraction;
        self.progress_at = now.since(Millis(stalled as u64));
    }
}

/// The bytes held by a process, by holder.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    used: u64,
    /// The part of the used bytes that is assigned to removed holders and about to be freed.
    leaving: u64,
    next: u64,
    holders: Vec<Holder>, // Sorted by id.
}

/// Queries.
impl MemoryBudget {
    /// Returns the number of bytes held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns whether `bytes` could be held for `purpose` if nothing else were held.
    pub fn fits(&self, purpose: Purpose, bytes: u64) -> bool {
        bytes <= self.limit_for(purpose)
    }

    /// Returns whether there is room for `bytes` more now.
    pub fn has_room(&self, purpose: Purpose, bytes: u64) -> bool {
        self.used.saturating_add(bytes) <= self.limit_for(purpose)
    }

    /// Returns whether no further request is to be started.
    pub fn is_nearly_full(&self) -> bool {
        self.used >= self.limit_for(Purpose::Request)
    }

    /// Returns the holders to be closed if there is no room for `bytes` more, or no further request is
    /// to be started; the first one first.
    pub fn holders_to_close(
        &self,
        purpose: Purpose,
        bytes: u64,
        now: Millis,
    ) -> Vec<StalledHolder> {
        // What is about to be freed needs no other holder to be closed.
        let mut used = self.used.saturating_sub(self.leaving);
        let limit = self.limit_for(purpose);
        if used.saturating_add(bytes) <= limit && used < self.limit_for(Purpose::Request) {
            return Vec::new();
        }
        let stalled = self.holders.iter().filter(|h| h.bytes > 0);
        let stalled = stalled.filter(|h| h.stalled_for(now) >= h.kind.min_stall());
        let stalled = stalled.map(|h| StalledHolder {
            id: h.id,
            bytes: h.bytes,
            stalled_for: h.stalled_for(now),
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_by_key(|h| Reverse(u128::from(h.bytes) * u128::from(h.stalled_for.0)));
        let enough = limit.saturating_sub(bytes).min((self.limit as f64 * LOW_WATER) as u64);
        let needed = stalled.iter().take_while(|h| {
            let is_needed = used > enough;
            used = used.saturating_sub(h.bytes);
            is_needed
        });
        let count = needed.count();
        stalled.truncate(count);
        stalled
    }

    fn limit_for(&self, purpose: Purpose) -> u64 {
        (self.limit as f64 * purpose.share()) as u64
    }
}

/// Commands.
impl MemoryBudget {
    /// Creates an unused budget of `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: 0, leaving: 0, next: 0, holders: Vec::new() }
    }

    /// Adds a holder.
    pub fn add_holder(&mut self, kind: HolderKind, now: Millis) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        self.holders.push(Holder { id, kind, bytes: 0, progress_at: now });
        id
    }

    /// Removes a holder. Its bytes count as used until they are freed.
    pub fn remove_holder(&mut self, id: HolderId) {
        if let Ok(at) = self.position(id) {
            self.leaving += self.holders.remove(at).bytes;
        }
    }

    /// Uses `bytes` more, unless that exceeds the limit for `purpose`. Returns whether they are used.
    pub fn try_use(&mut self, purpose: Purpose, bytes: u64) -> bool {
        let has_room = self.has_room(purpose, bytes);
        if has_room {
            self.use_anyway(bytes);
        }
        has_room
    }

    /// Uses `bytes` that are in memory already, also beyond the limit.
    pub fn use_anyway(&mut self, bytes: u64) {
        self.used = self.used.saturating_add(bytes);
    }

    /// Frees bytes that are not assigned to a holder.
    pub fn free(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Assigns used bytes to a holder. They have not waited for any time.
    pub fn assign(&mut self, id: HolderId, bytes: u64, now: Millis) {
        let Ok(at) = self.position(id) else {
            self.leaving = self.leaving.saturating_add(bytes);
            return;
        };
        let holder = &mut self.holders[at];
        let before = holder.bytes;
        holder.bytes = before.saturating_add(bytes);
        if bytes > 0 {
            holder.scale_stall(before as f64 / holder.bytes as f64, now);
        }
    }

    /// Takes bytes away from a holder, which may have been removed. They stay used.
    pub fn unassign(&mut self, id: HolderId, bytes: u64) {
        match self.position(id) {
            Ok(at) => {
                let holder = &mut self.holders[at];
                holder.bytes = holder.bytes.saturating_sub(bytes);
            }
            Err(_) => self.leaving = self.leaving.saturating_sub(bytes),
        }
    }

    /// Records that the client of a holder took or sent `bytes`.
    pub fn progress(&mut self, id: HolderId, bytes: u64, now: Millis) {
        let Ok(at) = self.position(id) else { return };
        let holder = &mut self.holders[at];
        if holder.bytes > 0 {
            let share = (bytes as f64 / holder.bytes as f64).min(1.0);
            holder.scale_stall(1.0 - share, now);
        }
    }

    fn position(&self, id: HolderId) -> Result<usize, usize> {
        self.holders.binary_search_by_key(&id, |h| h.id)
    }
}
