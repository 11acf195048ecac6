//! Requests that crash backend servers.
//!
//! Any request that was in flight when a backend server crashed may have caused the crash and is a
//! suspect. Until it completes once, it runs with no other suspect beside it, so that a second
//! crash identifies the request that caused it. After its second crash it is quarantined: refused
//! until the quarantine expires.
//!
//! One such request crashes at most two backend servers of a cell, provided that each member
//! informs the others of new suspects *before* it responds to the caller of the first attempt. The
//! member that receives the next attempt then knows the suspect.

use model::{Millis, derive_common};

derive_common! {
    value
    /// Whether a request may start.
    pub enum StartDecision {
        /// It may start: it is not a suspect.
        Unrestricted,
        /// It is a suspect and may start, because no other suspect runs. Its end must be reported
        /// with [`Quarantine::record_completion`], [`Quarantine::record_not_run`] or
        /// [`Quarantine::record_crash`].
        SoleSuspect,
        /// It is a suspect and another suspect runs; ask again when that one has ended.
        Wait,
        /// It is quarantined.
        Refused {
            /// The time until the quarantine expires.
            time_left: Millis,
        },
    }
}

derive_common! {
    value
    /// Why a request is in the quarantine.
    pub enum QuarantineState {
        /// It was in flight at one crash.
        Suspect,
        /// It was in flight at two crashes, or another member reported it as quarantined.
        Quarantined,
    }
}

derive_common! {
    value
    /// The status of one request.
    pub struct QuarantineStatus {
        /// The digest of the request.
        pub digest: u64,
        /// Whether it is a suspect or quarantined.
        pub state: QuarantineState,
        /// The time until the entry expires.
        pub time_left: Millis,
    }
}

derive_common! {
    data
    /// The new findings of a crash; the other members of the cell must be informed of them.
    #[derive(Default)]
    pub struct CrashReport {
        /// Requests that are suspects from now on, sorted.
        pub suspects: Vec<u64>,
        /// Requests that are quarantined from now on, sorted.
        pub quarantined: Vec<u64>,
    }
}

/// How long entries are kept, and how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// How long a request stays a suspect if it does not run again.
    pub suspect_ttl: Millis,
    /// How long a quarantine lasts.
    pub quarantine_ttl: Millis,
    /// The maximum number of entries; suspects are evicted before quarantined requests.
    pub max_entries: usize,
}

impl Default for QuarantineLimits {
    fn default() -> Self {
        Self { suspect_ttl: Millis(300_000), quarantine_ttl: Millis(600_000), max_entries: 1_024 }
    }
}

#[derive(Debug)]
struct Entry {
    digest: u64,
    state: QuarantineState,
    expires_at: Millis,
}

impl Entry {
    fn status(&self, now: Millis) -> QuarantineStatus {
        let time_left = self.expires_at.since(now);
        QuarantineStatus { digest: self.digest, state: self.state, time_left }
    }
}

/// The suspects and the quarantined requests that one member of a cell knows of, for one service.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    entries: Vec<Entry>, // Sorted by digest.
    running_suspect: Option<u64>,
}

/// Commands.
impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, entries: Vec::new(), running_suspect: None }
    }

    /// Returns whether a request may start now. If it is a suspect that may start, no other suspect
    /// may until its end is recorded.
    pub fn may_start(&mut self, digest: u64, now: Millis) -> StartDecision {
        self.remove_expired(now);
        let Some(entry) = self.entry(digest) else { return StartDecision::Unrestricted };
        if entry.state == QuarantineState::Quarantined {
            return StartDecision::Refused { time_left: entry.expires_at.since(now) };
        }
        if self.running_suspect.is_some() {
            return StartDecision::Wait;
        }
        self.running_suspect = Some(digest);
        StartDecision::SoleSuspect
    }

    /// Records that the backend server crashed while it ran these requests.
    pub fn record_crash(&mut self, in_flight: &[u64], now: Millis) -> CrashReport {
        self.remove_expired(now);
        self.running_suspect = None;
        let mut sorted = in_flight.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        let mut report = CrashReport::default();
        for digest in sorted {
            match self.escalate(digest, now) {
                QuarantineState::Suspect => report.suspects.push(digest),
                QuarantineState::Quarantined => report.quarantined.push(digest),
            }
        }
        report
    }

    /// Records that a request completed, which removes it if it is a suspect. Returns whether it
    /// was one; the other members must then be sent a time left of zero for it.
    pub fn record_completion(&mut self, digest: u64) -> bool {
        self.record_not_run(digest);
        let Ok(i) = self.find(digest) else { return false };
        let was_suspect = self.entries[i].state == QuarantineState::Suspect;
        if was_suspect {
            self.entries.remove(i);
        }
        was_suspect
    }

    /// Records that a request that might start was not run after all; its state does not change.
    pub fn record_not_run(&mut self, digest: u64) {
        if self.running_suspect == Some(digest) {
            self.running_suspect = None;
        }
    }

    /// Adds suspects, such as those that another member reported. Existing entries do not change.
    pub fn add_suspects(&mut self, digests: &[u64], now: Millis) {
        let expires_at = now + self.limits.suspect_ttl;
        for &digest in digests {
            if self.find(digest).is_err() {
                self.insert(Entry { digest, state: QuarantineState::Suspect, expires_at });
            }
        }
    }

    /// Quarantines a request because another member did; a time left of zero removes the entry.
    pub fn apply_peer_update(&mut self, digest: u64, time_left: Millis, now: Millis) {
        if time_left == Millis::ZERO {
            self.lift(digest);
            return;
        }
        let expires_at = now + time_left.min(self.limits.quarantine_ttl);
        self.insert(Entry { digest, state: QuarantineState::Quarantined, expires_at });
    }

    /// Removes the entry of a request, for example on an operator's command.
    pub fn lift(&mut self, digest: u64) {
        if let Ok(i) = self.find(digest) {
            self.entries.remove(i);
        }
    }

    fn escalate(&mut self, digest: u64, now: Millis) -> QuarantineState {
        let (state, ttl) = match self.entry(digest) {
            None => (QuarantineState::Suspect, self.limits.suspect_ttl),
            Some(_) => (QuarantineState::Quarantined, self.limits.quarantine_ttl),
        };
        self.insert(Entry { digest, state, expires_at: now + ttl });
        state
    }

    fn insert(&mut self, entry: Entry) {
        self.lift(entry.digest);
        if self.entries.len() >= self.limits.max_entries.max(1) {
            self.evict_one();
        }
        let at = self.entries.partition_point(|e| e.digest < entry.digest);
        self.entries.insert(at, entry);
    }

    fn evict_one(&mut self) {
        let eviction_order = |i: &usize| (self.entries[*i].state, self.entries[*i].expires_at);
        if let Some(evicted) = (0..self.entries.len()).min_by_key(eviction_order) {
            self.entries.remove(evicted);
        }
    }

    fn remove_expired(&mut self, now: Millis) {
        self.entries.retain(|e| e.expires_at > now);
    }
}

/// Queries.
impl Quarantine {
    /// Returns the status of one request, if it is a suspect or quarantined.
    pub fn status(&self, digest: u64, now: Millis) -> Option<QuarantineStatus> {
        let entry = self.entry(digest).filter(|e| e.expires_at > now)?;
        Some(entry.status(now))
    }

    /// Returns the status of all suspects and quarantined requests, sorted by digest.
    pub fn list(&self, now: Millis) -> Vec<QuarantineStatus> {
        let held = self.entries.iter().filter(|e| e.expires_at > now);
        held.map(|e| e.status(now)).collect()
    }

    fn entry(&self, digest: u64) -> Option<&Entry> {
        self.find(digest).ok().map(|i| &self.entries[i])
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&digest, |e| e.digest)
    }
}
