//! Pure decisions about requests: rules, retries, request records, routes and balancing.
//!
//! Nothing here does I/O, reads a clock or draws a random number: the time and the random
//! numbers are handed in, so the same code runs in the host process, in tests and in measurements.

pub mod balance;
pub mod outcome;
pub mod records;
pub mod response;
pub mod retry;
pub mod routes;
pub mod rules;
pub mod target;
