//! `papayarill check`: whether a configuration document is valid.

use gumdrop::Options;

use crate::out::say;
use crate::{Refusal, document};

/// Options of `papayarill check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    help: bool,
    /// the configuration document, in YAML; '-' for the standard input
    #[options(free, required)]
    file: String,
}

/// Checks the document and prints what it holds.
pub fn run(options: &CheckOptions) -> Result<(), Refusal> {
    let config = document::read(&options.file)?.config;
    let zones: usize = config.regions.iter().map(|r| r.zones.len()).sum();
    let (regions, services) = (config.regions.len(), config.services.len());
    say!("{}: valid", options.file);
    say!("{regions} regions, {zones} availability zones, {services} services");
    for service in &config.services {
        let (name, rules, cells) = (&service.name, service.rules.len(), service.cell_count());
        let (servers, partitions) = (service.backend_servers, service.partitions);
        say!(
            "service {name}: {servers} backend servers, {partitions} partitions in {cells} cells, \
             {rules} rules"
        );
    }
    Ok(())
}
