//! The operators' library: builders, YAML documents and their validation.
//!
//! The types in this module are the checked form. The YAML form has types of its own, so that a
//! value of these types is always valid.

mod document;

pub use document::{Config, KeySource, Method, PathPattern, Region, Repeat, Rule, Service};
