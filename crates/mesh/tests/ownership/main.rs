//! Key ownership: single scenarios, and simulations of a small deployment with random faults.

mod random_faults;
mod scenarios;
mod simulation;
