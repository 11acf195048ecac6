//! Test doubles for the platform and for backend servers, with fault injection, and a load
//! generator.

pub mod backend;
pub mod load;
pub mod platform;
