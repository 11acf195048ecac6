//! The keys of a host: directed cases, and random walks of a whole deployment.

mod random_faults;
mod scenarios;
mod simulation;
