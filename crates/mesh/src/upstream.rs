//! From whom a process hears what changes in the store: the store, or a host of its zone.
//!
//! Answers fleets whose hosts would use up the rate of the store by asking it, and hosts that the
//! store turns away. The first host of a region reads the store; the first host of each other zone
//! asks it, and the others of a zone ask along a tree below their first. Each answer says how long
//! ago its sender was in contact with the store, so a process that hears nothing fresh reads for
//! itself, whatever is wrong above it.

use model::{HostAddr, Millis, derive_common};

/// The most hosts that ask one host: it answers each about once a second.
const FANOUT: usize = 32;

/// Contact with the store is old after this. A reader is in contact about every 1.1 s, and a change
/// of the configuration has to be in force everywhere within 2.5 s.
const OLD: Millis = Millis(1_600);

/// A process that usually hears from others reads the store if its contact is older than [`OLD`] by
/// this: one of those that it may hear from has read the store by then.
const LATER: Millis = Millis(500);

/// A question waits at least this long for news.
const LEAST_HOLD: Millis = Millis(100);

/// A question waits at most this long for news.
const MOST_HOLD: Millis = Millis(1_000);

/// A host that had nothing fresh to say is passed over for this.
const PASS_OVER: Millis = Millis(4_000);

derive_common! {
    value
    /// Whom to ask.
    pub enum Upstream {
        /// The store.
        Store,
        /// A host of the zone.
        Host(HostAddr),
    }
}

/// The hosts of the own region that matter for where news come from.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCandidates {
    /// The hosts of the own zone, sorted.
    pub same_zone: Vec<HostAddr>,
    /// The hosts of the zones of the region whose names come before the own one, by zone.
    pub earlier_zones: Vec<HostAddr>,
}

/// What one process knows about its sources of news.
#[derive(Clone, Debug)]
pub struct UpstreamSelector {
    me: HostAddr,
    passed_over: Vec<(HostAddr, Millis)>,
    contact: Option<Millis>,
}

/// Queries.
impl UpstreamSelector {
    /// Picks whom to ask.
    pub fn pick(&self, near: &UpstreamCandidates, now: Millis) -> Upstream {
        if let Some(host) = self.above(near, now) {
            return Upstream::Host(host);
        }
        let other =
            near.same_zone.iter().copied().find(|h| *h > self.me && self.is_usable(*h, now));
        match other {
            Some(host) if self.is_stale(now) => Upstream::Host(host),
            Some(_) | None => Upstream::Store,
        }
    }

    /// Tells whether the store is to be read.
    pub fn should_read_store(&self, near: &UpstreamCandidates, now: Millis) -> bool {
        if self.above(near, now).is_none() {
            return true;
        }
        self.contact_age(now).is_none_or(|age| age > OLD + LATER)
    }

    /// Returns how long a question may wait for news: until the contact becomes old.
    pub fn poll_wait(&self, now: Millis) -> Millis {
        self.contact_age(now)
            .map_or(LEAST_HOLD, |age| OLD.since(age).max(LEAST_HOLD).min(MOST_HOLD))
    }

    /// Tells whether nothing was heard of the store, directly or through others, for too long.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.contact_age(now).is_none_or(|age| age > OLD)
    }

    /// Returns how long ago the store was in contact, directly or through others.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        self.contact.map(|at| now.since(at))
    }

    /// Returns the host that this process usually asks.
    fn above(&self, near: &UpstreamCandidates, now: Millis) -> Option<HostAddr> {
        let usable = |h: &HostAddr| self.is_usable(*h, now);
        let in_zone = near.same_zone.iter().copied().filter(|h| *h < self.me).filter(usable);
        let in_zone: Vec<HostAddr> = in_zone.collect();
        match in_zone.len().checked_sub(1) {
            Some(last) => Some(in_zone[last / FANOUT]),
            None => near.earlier_zones.iter().copied().find(usable),
        }
    }

    fn is_usable(&self, host: HostAddr, now: Millis) -> bool {
        !self.passed_over.iter().any(|(h, until)| *h == host && now < *until)
    }
}

/// Commands.
impl UpstreamSelector {
    /// Makes the knowledge of a process that heard nothing yet.
    pub fn new(me: HostAddr) -> Self {
        Self { me, passed_over: Vec::new(), contact: None }
    }

    /// Takes in that everything that was in the store at `at` is known.
    pub fn record_contact(&mut self, at: Millis) {
        self.contact = Some(self.contact.map_or(at, |known| known.max(at)));
    }

    /// Passes a host over that didn't answer, or had nothing fresh to say.
    pub fn back_off(&mut self, host: HostAddr, now: Millis) {
        self.passed_over.retain(|(h, until)| *h != host && now < *until);
        self.passed_over.push((host, now + PASS_OVER));
    }
}
