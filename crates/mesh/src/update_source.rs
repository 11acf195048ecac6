//! Selection of the source from which a process reads changes in the store: the store itself, or
//! another host.
//!
//! Needed because the hosts of a large fleet would exhaust the rate limit of the store if all of
//! them polled it, and because the store may reject requests of single hosts. The first host of a
//! region reads the store. The first host of every other zone polls that host, and the other hosts
//! of a zone form a tree below their first host. Every reply says how long ago its sender was in
//! contact with the store, so a process that receives only stale data reads the store itself,
//! whichever host between them failed.

use model::{HostAddr, Millis, derive_common};

/// The maximum number of hosts that poll one host, which answers each about once a second.
const FANOUT: usize = 32;

/// Contact with the store is stale after this. A process that reads the store is in contact about
/// every 1.1 s, and a configuration change must be active on all hosts within 2.5 s.
const STALE_AFTER: Millis = Millis(1_600);

/// A process that normally polls another host reads the store if its contact is older than
/// [`STALE_AFTER`] by this times its rank, so that usually only the next one does.
const FALLBACK_STEP: Millis = Millis(150);

/// The rank from which on all processes read the store at the same age.
const MAX_FALLBACK_STEPS: usize = 10;

/// Processes up to this rank read the store at once if all hosts before them failed.
const MAX_QUICK_RANK: usize = 2;

/// The delay before the first process of a region repeats a failed read.
const READ_RETRY: Millis = Millis(200);

/// The delay before another process repeats a failed read, times its rank: while the store fails,
/// the calls of a region should not grow with its hosts.
const FALLBACK_READ_RETRY: Millis = Millis(500);

/// The longest delay before a failed read is repeated.
const MAX_READ_RETRY: Millis = Millis(15_000);

/// The shortest time that a poll waits for changes.
const MIN_POLL_WAIT: Millis = Millis(100);

/// The longest time that a poll waits for changes.
const MAX_POLL_WAIT: Millis = Millis(1_000);

/// A host that failed to answer or had only stale data is not polled for this time.
const BACKOFF: Millis = Millis(4_000);

/// A host that has no data yet is not polled for this time.
const STARTING_BACKOFF: Millis = Millis(200);

derive_common! {
    value
    /// Where a process reads changes from.
    pub enum UpdateSource {
        /// The store.
        Store,
        /// Another host.
        Host(HostAddr),
    }
}

/// The hosts of this process's region from which its update source is selected.
#[derive(Clone, Debug, Default)]
pub struct UpdateSourceCandidates {
    /// The hosts of this process's own zone, sorted.
    pub same_zone: Vec<HostAddr>,
    /// The hosts of those zones of the region whose names sort before the own zone, by zone.
    pub earlier_zones: Vec<HostAddr>,
}

/// Selects the update source of one process and tracks how fresh its data is.
#[derive(Clone, Debug)]
pub struct UpdateSourceSelector {
    me: HostAddr,
    started_at: Millis,
    backoffs: Vec<(HostAddr, Millis)>,
    /// When the store held everything that is known.
    last_contact: Option<Millis>,
}

/// Queries.
impl UpdateSourceSelector {
    /// Picks the source to read from.
    pub fn pick(&self, candidates: &UpdateSourceCandidates, now: Millis) -> UpdateSource {
        if let Some(host) = self.parent(candidates, now) {
            return UpdateSource::Host(host);
        }
        let fallback =
            candidates.same_zone.iter().copied().find(|h| *h > self.me && self.is_usable(*h, now));
        match fallback {
            Some(host) if self.is_stale(now) => UpdateSource::Host(host),
            Some(_) | None => UpdateSource::Store,
        }
    }

    /// Returns whether this process should read the store.
    pub fn should_read_store(&self, candidates: &UpdateSourceCandidates, now: Millis) -> bool {
        let rank = self.rank(candidates);
        if rank == 0 || rank <= MAX_QUICK_RANK && self.parent(candidates, now).is_none() {
            return true;
        }
        let steps = u64::try_from(rank.min(MAX_FALLBACK_STEPS)).unwrap_or(u64::MAX);
        let age = now.since(self.last_contact.unwrap_or(self.started_at));
        age > STALE_AFTER + Millis(steps * FALLBACK_STEP.0)
    }

    /// Returns the delay before a failed read of the store is repeated.
    pub fn read_retry_delay(&self, candidates: &UpdateSourceCandidates) -> Millis {
        let rank = u64::try_from(self.rank(candidates)).unwrap_or(u64::MAX);
        Millis(rank.saturating_mul(FALLBACK_READ_RETRY.0)).max(READ_RETRY).min(MAX_READ_RETRY)
    }

    /// Returns how many hosts of the region read the store rather than this process.
    fn rank(&self, candidates: &UpdateSourceCandidates) -> usize {
        let same_zone = candidates.same_zone.iter().filter(|h| **h < self.me);
        candidates.earlier_zones.len() + same_zone.count()
    }

    /// Returns how long a poll may wait for changes: until the contact with the store becomes
    /// stale.
    pub fn poll_wait(&self, now: Millis) -> Millis {
        self.contact_age(now).map_or(MIN_POLL_WAIT, |age| {
            STALE_AFTER.since(age).max(MIN_POLL_WAIT).min(MAX_POLL_WAIT)
        })
    }

    /// Returns whether the last contact with the store, direct or through other hosts, is too old.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.contact_age(now).is_none_or(|age| age > STALE_AFTER)
    }

    /// Returns the time since the last contact with the store, direct or through other hosts.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        self.last_contact.map(|at| now.since(at))
    }

    /// Returns the host that this process normally polls, if it is not the one that reads the
    /// store.
    fn parent(&self, candidates: &UpdateSourceCandidates, now: Millis) -> Option<HostAddr> {
        let usable = |h: &HostAddr| self.is_usable(*h, now);
        let in_zone = candidates.same_zone.iter().copied().filter(|h| *h < self.me).filter(usable);
        let in_zone: Vec<HostAddr> = in_zone.collect();
        match in_zone.len().checked_sub(1) {
            Some(last) => Some(in_zone[last / FANOUT]),
            None => candidates.earlier_zones.iter().copied().find(usable),
        }
    }

    fn is_usable(&self, host: HostAddr, now: Millis) -> bool {
        !self.backoffs.iter().any(|(h, until)| *h == host && now < *until)
    }
}

/// Commands.
impl UpdateSourceSelector {
    /// Creates the selector of a process that has had no contact yet.
    pub fn new(me: HostAddr, now: Millis) -> Self {
        Self { me, started_at: now, backoffs: Vec::new(), last_contact: None }
    }

    /// Records that everything that was in the store at time `at` is known.
    pub fn record_contact(&mut self, at: Millis) {
        self.last_contact = Some(self.last_contact.map_or(at, |known| known.max(at)));
    }

    /// Stops polling a host for a while, because it didn't answer or had only stale data.
    pub fn back_off(&mut self, host: HostAddr, now: Millis) {
        self.back_off_for(host, BACKOFF, now);
    }

    /// Stops polling a host for a short while, because it has just started and has no data yet.
    pub fn back_off_starting(&mut self, host: HostAddr, now: Millis) {
        self.back_off_for(host, STARTING_BACKOFF, now);
    }

    fn back_off_for(&mut self, host: HostAddr, span: Millis, now: Millis) {
        self.backoffs.retain(|(h, until)| *h != host && now < *until);
        self.backoffs.push((host, now + span));
    }
}
