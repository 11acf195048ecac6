//! Quarantine of requests that crash the backend servers that run them.
//!
//! Guards against a crashing request that its caller keeps retrying, possibly at different hosts.
//! All requests that were running when a backend server crashed become suspects, identified by
//! digest. A request is quarantined if it was a suspect when it started and its backend server
//! crashes again, unless a request with the same digest has completed in between. Hosts exchange
//! suspects and quarantined digests in the messages that they send anyway, and the host that
//! forwarded a request learns of the crash from its outcome, so a crashing request costs two
//! backend servers, not all.

use admission::{Quarantine, QuarantineLimits, QuarantineState, StartDecision};
use model::{Millis, derive_common};

use crate::Incarnation;

/// How long a request is quarantined. A request that was quarantined by mistake is accepted again
/// within minutes, and one that does crash backend servers costs two of them per this time.
const QUARANTINE_TTL: Millis = Millis(120_000);

/// How long new suspects and quarantined digests are sent to other hosts, which exchange messages
/// many times per second.
const ANNOUNCE_FOR: Millis = Millis(5_000);

/// The maximum number of digests of each kind in one message: as many requests as a busy backend
/// server runs concurrently.
const MAX_DIGESTS: usize = 32;

/// The most digests that are announced. Later ones are still applied here.
const MAX_ANNOUNCEMENTS: usize = 1_024;

derive_common! {
    data
    /// The digests of requests suspected of crashing backend servers, as exchanged between hosts.
    #[derive(Default, bincode::Encode, bincode::Decode)]
    pub struct SuspectUpdate {
        /// Requests that were running when a backend server crashed.
        pub suspects: Vec<u64>,
        /// Requests that are quarantined.
        pub quarantined: Vec<u64>,
    }
}

/// Identifies one execution of a request from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunId(u64);

#[derive(Clone, Copy, Debug)]
struct Run {
    id: RunId,
    digest: u64,
    was_suspect: bool,
}

/// The suspects and quarantined requests known to one process.
#[derive(Debug)]
pub struct CrashSuspects {
    quarantine: Quarantine,
    running: Vec<Run>,
    last_id: u64,
    last_crash: Option<Incarnation>,
    /// Digests to announce to other hosts, with the time until which this is done.
    announcements: Vec<(u64, QuarantineState, Millis)>,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        let limits =
            QuarantineLimits { quarantine_ttl: QUARANTINE_TTL, ..QuarantineLimits::default() };
        let quarantine = Quarantine::new(limits);
        Self {
            quarantine,
            running: Vec::new(),
            last_id: 0,
            last_crash: None,
            announcements: Vec::new(),
        }
    }
}

/// Queries.
impl CrashSuspects {
    /// Returns the remaining quarantine time of a request, or `None` if it is not quarantined.
    pub fn quarantine_left(&self, digest: u64, now: Millis) -> Option<Millis> {
        let entry = self.quarantine.status(digest, now)?;
        (entry.state == QuarantineState::Quarantined).then_some(entry.time_left)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self, now: Millis) -> usize {
        let list = self.quarantine.list(now);
        list.iter().filter(|s| s.state == QuarantineState::Quarantined).count()
    }

    /// Returns the update to send to other hosts.
    pub fn pending_update(&self, now: Millis) -> SuspectUpdate {
        let digests = |state| {
            let fresh =
                self.announcements.iter().filter(|(_, s, until)| *s == state && now < *until);
            fresh.map(|(digest, ..)| *digest).take(MAX_DIGESTS).collect()
        };
        SuspectUpdate {
            suspects: digests(QuarantineState::Suspect),
            quarantined: digests(QuarantineState::Quarantined),
        }
    }
}

/// Commands.
impl CrashSuspects {
    /// Records that the local backend server starts to run a request.
    pub fn record_start(&mut self, digest: u64, now: Millis) -> RunId {
        let was_suspect = match self.quarantine.may_start(digest, now) {
            StartDecision::Unrestricted => false,
            // Suspects are not run one at a time, because many are innocent and callers are
            // waiting.
            StartDecision::SoleSuspect | StartDecision::Wait | StartDecision::Refused { .. } => {
                true
            }
        };
        self.quarantine.record_not_run(digest);
        self.last_id += 1;
        let id = RunId(self.last_id);
        self.running.push(Run { id, digest, was_suspect });
        id
    }

    /// Records that a run ended without a response.
    pub fn record_end(&mut self, id: RunId) {
        self.running.retain(|r| r.id != id);
    }

    /// Records that a run ended with a response. Returns whether this clears the request of
    /// suspicion.
    pub fn record_completion(&mut self, id: RunId) -> bool {
        let Some(i) = self.running.iter().position(|r| r.id == id) else { return false };
        let run = self.running.swap_remove(i);
        self.quarantine.record_completion(run.digest)
    }

    /// Records that the given incarnation of the local backend server crashed. Returns the new
    /// suspects and quarantined requests, or `None` if this crash was recorded before.
    pub fn record_crash(
        &mut self,
        incarnation: &Incarnation,
        now: Millis,
    ) -> Option<SuspectUpdate> {
        if self.last_crash.as_ref() == Some(incarnation) {
            return None;
        }
        self.last_crash = Some(incarnation.clone());
        let digests = |was_suspect: bool| -> Vec<u64> {
            self.running.iter().filter(|r| r.was_suspect == was_suspect).map(|r| r.digest).collect()
        };
        let (new_suspects, repeat_suspects) = (digests(false), digests(true));
        self.quarantine.add_suspects(&new_suspects, now);
        let report = self.quarantine.record_crash(&repeat_suspects, now);
        let mut suspects = new_suspects;
        suspects.extend(report.suspects);
        suspects.sort_unstable();
        suspects.dedup();
        let update = SuspectUpdate { suspects, quarantined: report.quarantined };
        self.announce(&update, now);
        Some(update)
    }

    /// Applies an update received from another host. Returns whether it contained anything new.
    pub fn apply_peer_update(&mut self, update: &SuspectUpdate, now: Millis) -> bool {
        let state = |digest: u64| self.quarantine.status(digest, now).map(|s| s.state);
        // Hosts send no more than this.
        let digests = |all: &Vec<u64>| all.iter().copied().take(MAX_DIGESTS).collect::<Vec<_>>();
        let (suspects, quarantined) = (digests(&update.suspects), digests(&update.quarantined));
        let new = SuspectUpdate {
            suspects: suspects.into_iter().filter(|d| state(*d).is_none()).collect(),
            quarantined: quarantined
                .into_iter()
                .filter(|d| state(*d) != Some(QuarantineState::Quarantined))
                .collect(),
        };
        if new == SuspectUpdate::default() {
            return false;
        }
        self.quarantine.add_suspects(&new.suspects, now);
        for digest in &new.quarantined {
            self.quarantine.apply_peer_update(*digest, QUARANTINE_TTL, now);
        }
        self.announce(&new, now);
        true
    }

    fn announce(&mut self, update: &SuspectUpdate, now: Millis) {
        self.announcements.retain(|(.., until)| now < *until);
        let until = now + ANNOUNCE_FOR;
        let suspects = update.suspects.iter().map(|d| (*d, QuarantineState::Suspect, until));
        let quarantined =
            update.quarantined.iter().map(|d| (*d, QuarantineState::Quarantined, until));
        let room = MAX_ANNOUNCEMENTS.saturating_sub(self.announcements.len());
        self.announcements.extend(suspects.chain(quarantined).take(room));
    }
}
