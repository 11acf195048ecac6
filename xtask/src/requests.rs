//! Measures the handling of requests: duplicated and lost actions, attempts during an outage, the
//! cost of request records, and the load balance of a service whose requests have no keys.
//!
//! Except for the request records, each table compares the routing crate with simple alternatives,
//! in simulations with fixed seeds. They say nothing about the speed of the host process.

mod actions;
mod balancing;
mod event_queue;
mod records;

/// Prints all tables.
pub fn run() {
    actions::print_duplicates_and_losses();
    actions::print_outage();
    actions::print_planned_moves();
    records::print();
    balancing::print();
}
