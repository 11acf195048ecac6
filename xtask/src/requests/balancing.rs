//! Simulates the load balancing of requests without keys, from ingresses in three regions.

mod simulation;

use simulation::{Deployment, Scenario, ServerSelection, Simulation, Stats};

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment { name: "Solar Watch", slots: 6, zone_delay_us: 500, caller_delay_us: 1_000 },
    Deployment { name: "Tiszavölgy", slots: 18, zone_delay_us: 1_400, caller_delay_us: 3_000 },
];

const SCENARIOS: [(&str, Scenario); 5] = [
    ("even load", Scenario::EvenLoad),
    ("load shifts between regions", Scenario::RegionalShift),
    ("one server 5 times slower", Scenario::SlowServer),
    ("one server refuses half", Scenario::RefusingServer),
    ("one server lost for 10 s", Scenario::LostServer),
];

const SELECTIONS: [(&str, ServerSelection); 3] = [
    ("random", ServerSelection::Random),
    ("same zone only", ServerSelection::SameZone),
    ("papayarill", ServerSelection::Balanced),
];

/// Prints the load imbalance, the latency and the traffic between regions.
pub fn print() {
    for deployment in DEPLOYMENTS {
        println!(
            "Load balancing, {}: 6 servers of {} slots in 6 zones of 3 regions.",
            deployment.name, deployment.slots
        );
        println!();
        println!(
            "{:<28} {:<15} {:>9} {:>8} {:>8} {:>18} {:>8}",
            "load", "selection", "imbalance", "p50 ms", "p99 ms", "cross-region bytes", "failed"
        );
        for (name, scenario) in SCENARIOS {
            for (selection_name, selection) in SELECTIONS {
                let stats = Simulation::new(deployment, scenario, selection).run();
                print_row(name, selection_name, &stats);
            }
        }
        println!();
    }
}

fn print_row(scenario: &str, selection: &str, stats: &Stats) {
    println!(
        "{scenario:<28} {selection:<15} {:>9.2} {:>8.1} {:>8.1} {:>17.1}% {:>8}",
        stats.imbalance(),
        stats.latency_ms(0.5),
        stats.latency_ms(0.99),
        stats.cross_region_percent(),
        stats.failed
    );
}
