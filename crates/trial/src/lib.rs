//! Failure-injection tests and measurements on deployments of real processes on loopback.
//!
//! This crate starts many instances of the shipped program, generates a steady load, makes parts
//! of the deployment fail and checks what callers and backend servers observed. It is not shipped
//! itself. Nothing is simulated: every process and every socket is real.

pub mod analysis;
pub mod deployment;
pub mod failure;
pub mod http;
pub mod load;
pub mod process;
