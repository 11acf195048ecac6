//! `papayarill check`: validates a configuration document.

use gumdrop::Options;

use crate::output::outln;
use crate::{CommandError, document};

/// Options of `papayarill check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    help: bool,
    /// the configuration document, in YAML; '-' for standard input
    #[options(free, required)]
    file: String,
}

/// Validates the document and prints a summary of it.
pub fn run(options: &CheckOptions) -> Result<(), CommandError> {
    let config = document::read(&options.file)?.config;
    let zones: usize = config.regions.iter().map(|r| r.zones.len()).sum();
    let (regions, services) = (config.regions.len(), config.services.len());
    outln!("{}: valid", options.file);
    outln!("{regions} regions, {zones} availability zones, {services} services");
    for service in &config.services {
        let (name, rules, cells) = (&service.name, service.rules.len(), service.cell_count());
        let (servers, partitions) = (service.backend_servers, service.partitions);
        outln!(
            "service {name}: {servers} backend servers, {partitions} partitions in {cells} cells, \
             {rules} rules"
        );
    }
    Ok(())
}
