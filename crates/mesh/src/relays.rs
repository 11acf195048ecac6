//! From whom a process hears what changes in the store: the store, or a host of its zone.
//!
//! Answers fleets whose hosts would use up the rate of the store by asking it, and hosts that the
//! store turns away. The first host of a zone reads the store; the others ask along a tree below
//! it. Each answer says how long ago its sender was in contact with the store, so a process that
//! hears nothing fresh reads for itself, whatever is wrong above it.

use model::{HostAddr, Millis, derive_common};

/// The most hosts that ask one host: it answers each about once a second.
const FANOUT: usize = 32;

/// Contact with the store is old after this. A reader is in contact about every 1.1 s, and a change
/// of the configuration has to be in force everywhere within 2.5 s.
const OLD: Millis = Millis(1_600);

/// A host that had nothing fresh to say is passed over for this.
const PASS_OVER: Millis = Millis(4_000);

derive_common! {
    value
    /// Whom to ask.
    pub enum Source {
        /// The store.
        Store,
        /// A host of the zone.
        Host(HostAddr),
    }
}

/// What one process knows about its sources of news.
#[derive(Clone, Debug)]
pub struct Relays {
    me: HostAddr,
    passed_over: Vec<(HostAddr, Millis)>,
    contact: Option<Millis>,
}

/// Queries.
impl Relays {
    /// Picks whom to ask. `zone` are the hosts of the own zone, sorted.
    pub fn source(&self, zone: &[HostAddr], now: Millis) -> Source {
        let usable = |h: &HostAddr| !self.is_passed_over(*h, now);
        let above: Vec<HostAddr> =
            zone.iter().copied().filter(|h| *h < self.me).filter(usable).collect();
        match above.len().checked_sub(1) {
            Some(last) => Source::Host(above[last / FANOUT]),
            None if self.is_old(now) => {
                let below = zone.iter().copied().filter(|h| *h > self.me).find(usable);
                below.map_or(Source::Store, Source::Host)
            }
            None => Source::Store,
        }
    }

    /// Tells whether the store is to be read. `zone` are the hosts of the own zone, sorted.
    pub fn reads_store(&self, zone: &[HostAddr], now: Millis) -> bool {
        self.is_old(now) || self.source(zone, now) == Source::Store
    }

    /// Tells whether nothing was heard of the store, directly or through others, for too long.
    pub fn is_old(&self, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > OLD)
    }

    /// Returns how long ago the store was in contact, directly or through others.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.contact.map(|at| now.since(at))
    }

    fn is_passed_over(&self, host: HostAddr, now: Millis) -> bool {
        self.passed_over.iter().any(|(h, until)| *h == host && now < *until)
    }
}

/// Commands.
impl Relays {
    /// Makes the knowledge of a process that heard nothing yet.
    pub fn new(me: HostAddr) -> Self {
        Self { me, passed_over: Vec::new(), contact: None }
    }

    /// Takes in that everything that was in the store at `at` is known.
    pub fn contact(&mut self, at: Millis) {
        self.contact = Some(self.contact.map_or(at, |known| known.max(at)));
    }

    /// Passes a host over that didn't answer, or had nothing fresh to say.
    pub fn pass_over(&mut self, host: HostAddr, now: Millis) {
        self.passed_over.retain(|(h, until)| *h != host && now < *until);
        self.passed_over.push((host, now + PASS_OVER));
    }
}
