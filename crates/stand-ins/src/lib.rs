//! Stand-ins for the platform and for backend servers, with faults on demand.

pub mod backend;
pub mod load;
pub mod platform;
