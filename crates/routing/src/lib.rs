//! Request handling logic without I/O: rules, retries, request records, routes and load balancing.
//!
//! Nothing here reads a clock or generates random numbers. Callers pass in the time and the random
//! numbers, so the same code runs in the host process, in tests and in simulations.

pub mod balance;
pub mod outcome;
pub mod records;
pub mod response;
pub mod retry;
pub mod routes;
pub mod rules;
pub mod target;
