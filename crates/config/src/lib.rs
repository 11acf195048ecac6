//! The configuration library for operators: builders, YAML documents and their validation.
//!
//! [`Config`] and the types that it contains are the validated form. The YAML form has separate
//! types, so a validated type that [`parse`] or a builder returned always holds valid values.

mod builder;
mod cells;
mod check;
mod diff;
mod document;
mod error;
mod limits;
mod lines;
mod nesting;
mod review;
mod to_doc;
mod tracker;
mod yaml;

pub use builder::{ConfigBuilder, RuleBuilder, ServiceBuilder};
pub use cells::MAX_HOSTS_PER_CELL;
pub use diff::{check_change, diff};
pub use document::{Config, KeySource, Method, PathPattern, Region, RetrySafety, Rule, Service};
pub use error::{ConfigError, ValidationError};
pub use limits::{
    MAX_DOCUMENT_BYTES, MAX_PARTITIONS_PER_CELL, MAX_PARTITIONS_PER_SERVICE, MAX_REGIONS,
    MAX_RULES_PER_SERVICE, MAX_SERVICES, MAX_ZONES_PER_REGION,
};
pub use nesting::{MAX_OPEN_BRACKETS, line_of_excessive_nesting};
pub use review::{Finding, Review, Severity, line_of_field, review};
pub use tracker::{ConfigTracker, FreshnessLimits};
pub use yaml::{parse, to_yaml};
