//! Key ownership: single scenarios, simulations of a small deployment with random faults, and a
//! bounded search over the orders of chosen faults.

mod evacuation;
mod random_faults;
mod rollbacks;
mod scenarios;
mod search;
mod simulation;
