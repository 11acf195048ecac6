//! Measures what the decisions about requests are worth: doubled and lost actions, attempts in an
//! outage, the cost of request records, and the balance of work that is not divided by key.
//!
//! Each table compares the shipped decisions with plain alternatives within one run. The runs are
//! small simulations over plain data with fixed seeds; they say nothing about the speed of the
//! host process.

mod actions;
mod balancing;
mod events;
mod records;

/// Prints all tables.
pub fn run() {
    actions::print_doubled_and_lost();
    actions::print_outage();
    actions::print_planned_moves();
    records::print();
    balancing::print();
}
