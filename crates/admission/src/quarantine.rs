//! Requests that crash backend servers.
//!
//! Any request that was in flight when a backend server crashed may have caused it. Until it
//! completes once, it runs with no other suspect at its side, so that a second crash tells which
//! one it was. At its second crash it is quarantined: refused until the quarantine ends.
//!
//! At most two backend servers of a cell are lost to one such request if each member tells the
//! others of new suspects *before* the caller of the first attempt is answered; the next attempt
//! then meets a member that knows.

use model::{Millis, derive_common};

derive_common! {
    value
    /// Whether a request may be started.
    pub enum StartDecision {
        /// It is not suspected of anything.
        Unrestricted,
        /// It is a suspect and runs now, without another suspect. The caller must report
        /// [`Quarantine::record_completion`], [`Quarantine::record_not_run`] or [`Quarantine::record_crash`].
        SoleSuspect,
        /// Another suspect runs; ask again when it has ended.
        Wait,
        /// It is quarantined.
        Refused {
            /// How long the quarantine still runs.
            time_left: Millis,
        },
    }
}

derive_common! {
    value
    /// What is held against a request.
    pub enum QuarantineState {
        /// It was in flight at one crash.
        Suspect,
        /// It was in flight at two crashes, or an operator or a peer says so.
        Quarantined,
    }
}

derive_common! {
    value
    /// One request, for the status page.
    pub struct QuarantineStatus {
        /// The digest of the request.
        pub digest: u64,
        /// What is held against it.
        pub state: QuarantineState,
        /// When it is forgotten, as a span.
        pub time_left: Millis,
    }
}

derive_common! {
    data
    /// What a crash showed; the other members of the cell must be told.
    #[derive(Default)]
    pub struct CrashReport {
        /// Requests that are suspects from now on, sorted.
        pub suspects: Vec<u64>,
        /// Requests that are quarantined from now on, sorted.
        pub quarantined: Vec<u64>,
    }
}

/// How long things are held against requests, and how many are remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineLimits {
    /// How long a request stays a suspect if it does not run again.
    pub suspect_ttl: Millis,
    /// How long a quarantine lasts.
    pub quarantine_ttl: Millis,
    /// How many requests are remembered; suspects give way before quarantined ones.
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
    ends_at: Millis,
}

impl Entry {
    fn status(&self, now: Millis) -> QuarantineStatus {
        let time_left = self.ends_at.since(now);
        QuarantineStatus { digest: self.digest, state: self.state, time_left }
    }
}

/// The suspects and the quarantined requests that one member of a cell knows, for one service.
#[derive(Debug)]
pub struct Quarantine {
    limits: QuarantineLimits,
    entries: Vec<Entry>, // Sorted by digest.
    alone: Option<u64>,
}

/// Commands.
impl Quarantine {
    /// Makes an empty one.
    pub fn new(limits: QuarantineLimits) -> Self {
        Self { limits, entries: Vec::new(), alone: None }
    }

    /// Asks whether a request may be started now.
    pub fn may_start(&mut self, digest: u64, now: Millis) -> StartDecision {
        self.forget_ended(now);
        let Some(entry) = self.entry(digest) else { return StartDecision::Unrestricted };
        if entry.state == QuarantineState::Quarantined {
            return StartDecision::Refused { time_left: entry.ends_at.since(now) };
        }
        if self.alone.is_some() {
            return StartDecision::Wait;
        }
        self.alone = Some(digest);
        StartDecision::SoleSuspect
    }

    /// Tells that the backend server crashed while it ran these requests.
    pub fn record_crash(&mut self, in_flight: &[u64], now: Millis) -> CrashReport {
        self.forget_ended(now);
        self.alone = None;
        let mut sorted = in_flight.to_vec();
        sorted.sort_unstable();
        sorted.dedup();
        let mut report = CrashReport::default();
        for digest in sorted {
            match self.accuse(digest, now) {
                QuarantineState::Suspect => report.suspects.push(digest),
                QuarantineState::Quarantined => report.quarantined.push(digest),
            }
        }
        report
    }

    /// Tells that a request completed, which clears it if it is a suspect. Returns whether it
    /// was one; peers are then told with a time left of zero.
    pub fn record_completion(&mut self, digest: u64) -> bool {
        self.record_not_run(digest);
        let Ok(i) = self.find(digest) else { return false };
        let was_suspect = self.entries[i].state == QuarantineState::Suspect;
        if was_suspect {
            self.entries.remove(i);
        }
        was_suspect
    }

    /// Tells that a request which might start was not run after all; it stays what it was.
    pub fn record_not_run(&mut self, digest: u64) {
        if self.alone == Some(digest) {
            self.alone = None;
        }
    }

    /// Takes in a peer's suspects.
    pub fn add_suspects(&mut self, digests: &[u64], now: Millis) {
        let ends_at = now + self.limits.suspect_ttl;
        for &digest in digests {
            if self.find(digest).is_err() {
                self.put(Entry { digest, state: QuarantineState::Suspect, ends_at });
            }
        }
    }

    /// Takes in a peer's quarantine; a span of zero lifts it.
    pub fn apply_peer_update(&mut self, digest: u64, time_left: Millis, now: Millis) {
        if time_left == Millis::ZERO {
            self.lift(digest);
            return;
        }
        let ends_at = now + time_left.min(self.limits.quarantine_ttl);
        self.put(Entry { digest, state: QuarantineState::Quarantined, ends_at });
    }

    /// Forgets what is held against a request, by an operator's command.
    pub fn lift(&mut self, digest: u64) {
        if let Ok(i) = self.find(digest) {
            self.entries.remove(i);
        }
    }

    fn accuse(&mut self, digest: u64, now: Millis) -> QuarantineState {
        let (state, span) = match self.entry(digest) {
            None => (QuarantineState::Suspect, self.limits.suspect_ttl),
            Some(_) => (QuarantineState::Quarantined, self.limits.quarantine_ttl),
        };
        self.put(Entry { digest, state, ends_at: now + span });
        state
    }

    fn put(&mut self, entry: Entry) {
        self.lift(entry.digest);
        if self.entries.len() >= self.limits.max_entries.max(1) {
            self.drop_least();
        }
        let at = self.entries.partition_point(|e| e.digest < entry.digest);
        self.entries.insert(at, entry);
    }

    fn drop_least(&mut self) {
        let rank = |i: &usize| (self.entries[*i].state, self.entries[*i].ends_at);
        if let Some(least) = (0..self.entries.len()).min_by_key(rank) {
            self.entries.remove(least);
        }
    }

    fn forget_ended(&mut self, now: Millis) {
        self.entries.retain(|e| e.ends_at > now);
    }
}

/// Queries.
impl Quarantine {
    /// Returns what is held against one request.
    pub fn status(&self, digest: u64, now: Millis) -> Option<QuarantineStatus> {
        let entry = self.entry(digest).filter(|e| e.ends_at > now)?;
        Some(entry.status(now))
    }

    /// Returns what is held against requests, sorted by digest.
    pub fn list(&self, now: Millis) -> Vec<QuarantineStatus> {
        let held = self.entries.iter().filter(|e| e.ends_at > now);
        held.map(|e| e.status(now)).collect()
    }

    fn entry(&self, digest: u64) -> Option<&Entry> {
        self.find(digest).ok().map(|i| &self.entries[i])
    }

    fn find(&self, digest: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&digest, |e| e.digest)
    }
}
