//! Zones without keys, because they are evacuated or in a region that the routes to the service don't
//! allow: hosts there hand their keys over and are assigned none.

use model::{HostAddr, Millis};

use super::KeyOwnership;

/// What key ownership knows about evacuated zones.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationState {
    /// Whether the zone of this host is evacuated.
    own_zone: bool,
    /// The failure domains of the evacuated zones.
    failure_domains: Vec<u64>,
}

/// Queries.
impl KeyOwnership {
    /// Returns whether the zone of this host is evacuated.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuation.own_zone
    }

    /// Returns whether a host is known to be in an evacuated zone. Its lease row says so too, but
    /// only once it has learned of the evacuation.
    pub(super) fn in_evacuated_zone(&self, host: HostAddr) -> bool {
        if host == self.me {
            return self.is_evacuated();
        }
        let domain = self.peers.iter().find(|p| p.host == host).map(|p| p.failure_domain);
        domain.is_some_and(|domain| self.evacuation.failure_domains.contains(&domain))
    }
}

/// Commands.
impl KeyOwnership {
    /// Sets whether the zone of this host is evacuated, and the failure domains of all evacuated
    /// zones.
    pub fn set_evacuation(&mut self, own_zone: bool, failure_domains: Vec<u64>) {
        self.evacuation = EvacuationState { own_zone, failure_domains };
    }

    /// Starts to release all keys while the zone is evacuated. Without a host that may take them
    /// they stay: a release that can't be completed would outlast the evacuation.
    pub(super) fn start_evacuation_releases(&mut self, now: Millis) {
        if self.is_evacuated() && self.store_reachable(now) && !self.recipients(now).is_empty() {
            self.release_all_keys();
        }
    }
}
