//! Requests that crash the backend servers that run them.
//!
//! Answers a request that its caller sends again and again, at any host. All requests that a
//! backend server ran when it crashed are suspects; one that was a suspect when it started and
//! whose server crashes again, without one of its kind having completed meanwhile, is refused for
//! a while. Hosts tell each other with the messages that they exchange anyway, and the host that
//! sends a request on hears of the crash with its outcome, so it costs two servers, not all.

use admission::{Quarantine, QuarantineLimits, QuarantineState, StartDecision};
use model::{Millis, derive_common};

use crate::Incarnation;

/// A request is refused for this long: one that was refused by mistake comes back within minutes,
/// one that crashes servers costs two of them in that time.
const REFUSED_FOR: Millis = Millis(120_000);

/// What is new is told for this long. Hosts exchange messages many times a second.
const TELL: Millis = Millis(5_000);

/// The most requests that one message tells of: as many as a busy server runs at once.
const MAX_TOLD: usize = 32;

derive_common! {
    data
    /// What hosts tell each other about requests that crash backend servers, by digest.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct SuspectUpdate {
        /// Requests that ran at a crash.
        pub suspects: Vec<u64>,
        /// Requests that are refused.
        pub quarantined: Vec<u64>,
    }
}

/// Names a run from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
    id: RunId,
    digest: u64,
    was_suspect: bool,
}

/// What one process knows about requests that crash backend servers.
#[derive(Debug)]
pub struct CrashSuspects {
    quarantine: Quarantine,
    running: Vec<Run>,
    last: u64,
    crashed: Option<Incarnation>,
    to_tell: Vec<(u64, QuarantineState, Millis)>,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        let limits =
            QuarantineLimits { quarantine_ttl: REFUSED_FOR, ..QuarantineLimits::default() };
        let quarantine = Quarantine::new(limits);
        Self { quarantine, running: Vec::new(), last: 0, crashed: None, to_tell: Vec::new() }
    }
}

/// Queries.
impl CrashSuspects {
    /// Returns for how long a request is refused, if it is.
    pub fn quarantine_left(&self, digest: u64, now: Millis) -> Option<Millis> {
        let entry = self.quarantine.status(digest, now)?;
        (entry.state == QuarantineState::Quarantined).then_some(entry.time_left)
    }

    /// Returns how many requests are refused.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let list = self.quarantine.list(now);
        list.iter().filter(|s| s.state == QuarantineState::Quarantined).count()
    }

    /// Returns what other hosts are to be told.
    pub fn pending_update(&self, now: Millis) -> SuspectUpdate {
        let told = |state| {
            let fresh = self.to_tell.iter().filter(|(_, s, until)| *s == state && now < *until);
            fresh.map(|(digest, ..)| *digest).take(MAX_TOLD).collect()
        };
        SuspectUpdate {
            suspects: told(QuarantineState::Suspect),
            quarantined: told(QuarantineState::Quarantined),
        }
    }
}

/// Commands.
impl CrashSuspects {
    /// Tells that the own backend server starts to run a request.
    pub fn record_start(&mut self, digest: u64, now: Millis) -> RunId {
        let was_suspect = match self.quarantine.may_start(digest, now) {
            StartDecision::Unrestricted => false,
            // Suspects don't wait for each other here: many are innocent, and callers wait.
            StartDecision::SoleSuspect | StartDecision::Wait | StartDecision::Refused { .. } => {
                true
            }
        };
        self.quarantine.record_not_run(digest);
        self.last += 1;
        let id = RunId(self.last);
        self.running.push(Run { id, digest, was_suspect });
        id
    }

    /// Tells that a run ended without an answer.
    pub fn record_end(&mut self, id: RunId) {
        self.running.retain(|r| r.id != id);
    }

    /// Tells that a run ended with an answer. Returns true if that clears the request.
    pub fn record_completion(&mut self, id: RunId) -> bool {
        let Some(i) = self.running.iter().position(|r| r.id == id) else { return false };
        let run = self.running.swap_remove(i);
        self.quarantine.record_completion(run.digest)
    }

    /// Tells that this start of the backend server crashed. Returns what is new, once a start.
    pub fn record_crash(&mut self, boot: &Incarnation, now: Millis) -> Option<SuspectUpdate> {
        if self.crashed.as_ref() == Some(boot) {
            return None;
        }
        self.crashed = Some(boot.clone());
        let digests = |again: bool| -> Vec<u64> {
            self.running.iter().filter(|r| r.was_suspect == again).map(|r| r.digest).collect()
        };
        let (first, again) = (digests(false), digests(true));
        self.quarantine.add_suspects(&first, now);
        let report = self.quarantine.record_crash(&again, now);
        let mut suspects = first;
        suspects.extend(report.suspects);
        suspects.sort_unstable();
        suspects.dedup();
        let news = SuspectUpdate { suspects, quarantined: report.quarantined };
        self.tell(&news, now);
        Some(news)
    }

    /// Takes in what another host says. Returns true if anything is new.
    pub fn apply_peer_update(&mut self, news: &SuspectUpdate, now: Millis) -> bool {
        let state = |digest: u64| self.quarantine.status(digest, now).map(|s| s.state);
        let new = SuspectUpdate {
            suspects: news.suspects.iter().copied().filter(|d| state(*d).is_none()).collect(),
            quarantined: news
                .quarantined
                .iter()
                .copied()
                .filter(|d| state(*d) != Some(QuarantineState::Quarantined))
                .collect(),
        };
        if new == SuspectUpdate::default() {
            return false;
        }
        self.quarantine.add_suspects(&new.suspects, now);
        for digest in &new.quarantined {
            self.quarantine.apply_peer_update(*digest, REFUSED_FOR, now);
        }
        self.tell(&new, now);
        true
    }

    fn tell(&mut self, news: &SuspectUpdate, now: Millis) {
        self.to_tell.retain(|(.., until)| now < *until);
        let until = now + TELL;
        let suspects = news.suspects.iter().map(|d| (*d, QuarantineState::Suspect, until));
        let refused = news.quarantined.iter().map(|d| (*d, QuarantineState::Quarantined, until));
        self.to_tell.extend(suspects.chain(refused));
    }
}
