//! The operators' library: builders, YAML documents and their validation.
//!
//! The types in [`Config`] and below are the checked form. The YAML form has types of its own, so
//! that a value of the checked types that came from [`parse`] or a builder is always valid.

mod builder;
mod cells;
mod check;
mod diff;
mod document;
mod error;
mod in_force;
mod limits;
mod lines;
mod print;
mod yaml;

pub use builder::{ConfigBuilder, RuleBuilder, ServiceBuilder};
pub use cells::MAX_HOSTS_PER_CELL;
pub use diff::{check_change, diff};
pub use document::{Config, KeySource, Method, PathPattern, Region, Repeat, Rule, Service};
pub use error::{ConfigError, Fault};
pub use in_force::{FreshnessLimits, InForce};
pub use limits::{
    MAX_DOCUMENT_BYTES, MAX_PARTITIONS, MAX_PARTITIONS_PER_CELL, MAX_REGIONS, MAX_RULES,
    MAX_SERVICES, MAX_ZONES,
};
pub use yaml::{parse, to_yaml};
