//! Carries out evacuations: applies what the store and other hosts say about evacuated zones, and
//! tells which hosts get no requests.

use std::rc::Rc;

use log::{info, warn};
use mesh::{Evacuations, ZoneEvacuation};
use model::{HostAddr, ZoneName};

use crate::ingress::Call;
use crate::settings::Settings;
use crate::state::{Cx, State, WaitOutcome, failure_domain};
use crate::wire::{EvacuationWire, EvacuationsWire};

/// Updates what is known about evacuated zones with `change`, which returns the zones that changed,
/// and acts on it.
pub fn apply(cx: &Rc<Cx>, change: impl FnOnce(&mut Evacuations) -> Vec<ZoneEvacuation>) {
    let now = cx.now();
    let own_zone = &cx.settings.zone;
    let mut state = cx.state.borrow_mut();
    let changed = change(&mut state.evacuations);
    if changed.is_empty() {
        return;
    }
    for ZoneEvacuation { zone, version, active } in &changed {
        match active {
            true => info!("event=zone-evacuated zone={zone} version={version}"),
            false => info!("event=evacuation-ended zone={zone} version={version}"),
        }
    }
    let evacuated = state.evacuations.is_evacuated(own_zone);
    restrict_key_placement(&mut state, &cx.settings);
    if changed.iter().any(|z| z.zone == *own_zone) {
        if evacuated {
            for (_, waiter) in state.waiters.drain(..) {
                // A request that was cancelled has dropped its place or is about to.
                let _ = waiter.send(WaitOutcome::Evacuated);
            }
        } else {
            // It may have become cold while it got no requests.
            state.queue.cold_start_mut().backend_started(now);
        }
    }
    drop(state);
    cx.changed.notify_waiters();
    cx.ownership_due.notify_one();
    cx.grants_due.notify_one();
}

/// Tells key ownership in which zones no keys of this host's service may be: those that are
/// evacuated, and those in regions that not all routes to the service allow. A service that no
/// region may hold keeps its keys, and the requests of the routes in question are refused.
pub fn restrict_key_placement(state: &mut State, settings: &Settings) {
    let config = state.config.as_ref().map(|c| &c.config);
    let allows = |region| config.is_none_or(|c| c.allows_keys_in(&settings.service, region));
    let regions_hold = settings.regions.values().any(allows);
    let excluded = |zone: &ZoneName| {
        let region = settings.regions.get(zone).filter(|_| regions_hold);
        state.evacuations.is_evacuated(zone) || region.is_some_and(|region| !allows(region))
    };
    let own_zone = excluded(&settings.zone);
    let domains = settings.regions.keys().filter(|zone| excluded(zone)).map(failure_domain);
    let domains = domains.collect();
    state.ownership.set_evacuation(own_zone, domains);
}

/// Merges what another host knows. A host of the previous release knows nothing.
pub fn merge(cx: &Rc<Cx>, known: EvacuationsWire) {
    let updates: Result<Vec<_>, _> =
        known.unwrap_or_default().into_iter().map(ZoneEvacuation::try_from).collect();
    match updates {
        Ok(updates) => apply(cx, |evacuations| evacuations.merge(updates)),
        Err(e) => warn!("event=evacuations-rejected error={:?}", e.to_string()),
    }
}

/// Encodes what is known for other hosts.
pub fn to_wire(evacuations: &Evacuations) -> EvacuationsWire {
    Some(evacuations.all().iter().map(EvacuationWire::from).collect())
}

/// Returns whether this host knows more than another one, which can be told of it.
pub fn has_news_for(cx: &Cx, known: &EvacuationsWire) -> bool {
    let Some(known) = known else { return false };
    let known: Vec<_> = known.iter().filter_map(|z| z.clone().try_into().ok()).collect();
    cx.state.borrow().evacuations.has_news_for(&known)
}

/// Returns the hosts in evacuated zones, which get no requests.
pub fn evacuated_hosts(state: &State) -> Vec<HostAddr> {
    if state.evacuations.active().next().is_none() {
        return Vec::new();
    }
    let evacuated = state.hosts.iter().filter(|(_, row)| state.evacuations.is_evacuated(&row.zone));
    evacuated.map(|(host, _)| host).collect()
}

/// Returns whether a call can't be served because of evacuations: the owner of its key is in an
/// evacuated zone, or all hosts of its service are.
pub(crate) fn removes_all_hosts(cx: &Cx, call: &Call) -> bool {
    let state = cx.state.borrow();
    let excluded = evacuated_hosts(&state);
    let owner = call.key.and_then(|key| Some(state.map(&call.service)?.range_of(key).owner));
    match owner {
        Some(owner) => excluded.contains(&owner),
        None => {
            let mut of_service = state.hosts.iter().filter(|(_, row)| row.service == call.service);
            !excluded.is_empty() && of_service.all(|(host, _)| excluded.contains(&host))
        }
    }
}
