//! The zones that the operator has evacuated: no request may be sent to the backend servers of such a
//! zone, and their keys move to other zones.
//!
//! Updates come from the store and from other hosts, in any order, and reads of the store may be
//! stale. The version of the row decides for each zone. A zone without a row in a complete read
//! takes the version of the read, so that a read from before the row was written ends nothing.

use model::{RowVersion, ZoneName};

/// What is known about the row of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEvacuation {
    /// The zone.
    pub zone: ZoneName,
    /// The version of the row, of its removal, or of the read that did not list it.
    pub version: RowVersion,
    /// Whether the row exists.
    pub active: bool,
}

/// The most zones that are taken from other hosts.
const MAX_ZONES: usize = 1_024;

/// The evacuated zones, and the zones whose evacuation has ended. There are few zones, so what is
/// known about one is never discarded.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    zones: Vec<ZoneEvacuation>, // Sorted by zone.
}

/// Queries.
impl Evacuations {
    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.find(zone).is_ok_and(|i| self.zones[i].active)
    }

    /// Iterates over the evacuated zones, in order.
    pub fn active(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.iter().filter(|z| z.active).map(|z| &z.zone)
    }

    /// Returns all that is known, to be sent to other hosts.
    pub fn all(&self) -> &[ZoneEvacuation] {
        &self.zones
    }

    /// Returns whether anything is known here that is newer than what another host knows.
    pub fn has_news_for(&self, other: &[ZoneEvacuation]) -> bool {
        let known = |z: &ZoneEvacuation| {
            other.iter().any(|known| known.zone == z.zone && known.version >= z.version)
        };
        !self.zones.iter().all(known)
    }

    fn find(&self, zone: &ZoneName) -> Result<usize, usize> {
        self.zones.binary_search_by(|z| z.zone.cmp(zone))
    }
}

/// Commands. Each returns the zones of which it changed whether they are evacuated.
impl Evacuations {
    /// Applies an update, unless the known version is at least as new.
    pub fn update(&mut self, update: ZoneEvacuation) -> Option<ZoneEvacuation> {
        match self.find(&update.zone) {
            Ok(i) if self.zones[i].version >= update.version => None,
            Ok(i) => {
                let changed = self.zones[i].active != update.active;
                self.zones[i] = update.clone();
                changed.then_some(update)
            }
            Err(i) => {
                self.zones.insert(i, update.clone());
                update.active.then_some(update)
            }
        }
    }

    /// Applies updates from another host. Further zones are not taken from hosts once there are many.
    pub fn merge(&mut self, updates: Vec<ZoneEvacuation>) -> Vec<ZoneEvacuation> {
        let mut changed = Vec::new();
        for update in updates {
            if self.zones.len() < MAX_ZONES || self.find(&update.zone).is_ok() {
                changed.extend(self.update(update));
            }
        }
        changed
    }

    fn update_all(&mut self, updates: Vec<ZoneEvacuation>) -> Vec<ZoneEvacuation> {
        updates.into_iter().filter_map(|update| self.update(update)).collect()
    }

    /// Applies a complete read of the rows, which returned `rows` and has the version `read_at`.
    pub fn apply_read(
        &mut self,
        rows: Vec<ZoneEvacuation>,
        read_at: RowVersion,
    ) -> Vec<ZoneEvacuation> {
        let missing = |z: &&ZoneEvacuation| z.active && !rows.iter().any(|r| r.zone == z.zone);
        let missing: Vec<ZoneEvacuation> = self
            .zones
            .iter()
            .filter(missing)
            .map(|z| ZoneEvacuation { version: read_at, active: false, ..z.clone() })
            .collect();
        let mut changed = self.update_all(missing);
        changed.extend(self.update_all(rows));
        changed
    }
}
