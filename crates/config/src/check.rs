//! Validates the YAML form, converts it to the validated form and collects all errors.

mod context;
mod service;

use model::{RegionName, ZoneName};

pub(crate) use context::ValidationContext;
pub(crate) use service::{check_rule, check_service};

use crate::limits::{MAX_REGIONS, MAX_SERVICES, MAX_ZONES_PER_REGION};
use crate::yaml::{ConfigDoc, RegionDoc};
use crate::{Config, Region, Service};

/// Checks a whole document. The result is valid only if `cx` holds no error.
pub(crate) fn check_config(cx: &mut ValidationContext, doc: &ConfigDoc) -> Option<Config> {
    let regions = cx.list("regions", &doc.regions, 1..=MAX_REGIONS, check_region);
    let services = cx.list("services", &doc.services, 1..=MAX_SERVICES, check_service);
    cx.reject_unknown_fields(&doc.unknown, &["regions", "services"]);
    let mut regions = regions?;
    let mut services = services?;
    check_unique_names(cx, &regions, &services);
    regions.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    Some(Config { regions, services })
}

fn check_region(cx: &mut ValidationContext, doc: &RegionDoc) -> Option<Region> {
    let name = cx.name("name", &doc.name, RegionName::new);
    let zones = cx.list("zones", &doc.zones, 1..=MAX_ZONES_PER_REGION, |cx, text| {
        cx.parse(text, "a name of a-z, 0-9 and '-'", ZoneName::new)
    });
    cx.reject_unknown_fields(&doc.unknown, &["name", "zones"]);
    let name = name?;
    let mut zones = zones?;
    zones.sort();
    Some(Region { name, zones })
}

/// Reports duplicate names. No entry was dropped from the lists and they are not sorted yet, so an
/// index here is also the index in the document.
fn check_unique_names(cx: &mut ValidationContext, regions: &[Region], services: &[Service]) {
    let names = regions.iter().map(|r| r.name.as_str());
    cx.reject_duplicate_names("regions", names, "a region name that is not used above");
    let names = services.iter().map(|s| s.name.as_str());
    cx.reject_duplicate_names("services", names, "a service name that is not used above");
    let mut zones: Vec<&ZoneName> = regions.iter().flat_map(|r| &r.zones).collect();
    zones.sort();
    if let Some(pair) = zones.windows(2).find(|w| w[0] == w[1]) {
        let found = format!("the availability zone {:?} twice", pair[0].as_str());
        cx.in_field("regions", |cx| cx.error(found, "each availability zone in one region, once"));
    }
}
