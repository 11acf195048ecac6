//! Stand-ins for the platform and for backend servers, with faults on demand.

pub mod backend;
pub mod platform;
pub mod load;
