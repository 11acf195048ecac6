//! Deployments of separate processes on loopback, for tests and measurements.
//!
//! It starts the shipped program many times over, puts a steady load on it, makes parts of it
//! fail and judges what callers and backend servers saw. Nothing here is shipped, and nothing
//! here simulates: every process and every socket is real.

pub mod analysis;
pub mod deployment;
pub mod failure;
pub mod http;
pub mod load;
pub mod process;
