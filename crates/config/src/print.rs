//! Turns the checked form into the YAML form.

use model::Priority;

use crate::yaml::{ConfigDoc, KeyDoc, Part, RegionDoc, RuleDoc, ServiceDoc, Unknown};
use crate::{Config, KeySource, Method, Region, RetrySafety, Rule, Service};

impl Method {
    /// All methods that rules can name.
    pub(crate) const ALL: [Self; 6] =
        [Self::Get, Self::Head, Self::Post, Self::Put, Self::Patch, Self::Delete];

    /// Returns the method as HTTP writes it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
        }
    }
}

/// Returns the class as documents write it.
pub(crate) fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Deferrable => "deferrable",
        Priority::Internal => "internal",
    }
}

fn text(value: impl ToString) -> Part<String> {
    Part::Good(value.to_string())
}

fn list<T>(entries: impl Iterator<Item = T>) -> Part<Vec<Part<T>>> {
    Part::Good(entries.map(Part::Good).collect())
}

impl From<&Config> for ConfigDoc {
    fn from(config: &Config) -> Self {
        Self {
            regions: list(config.regions.iter().map(RegionDoc::from)),
            services: list(config.services.iter().map(ServiceDoc::from)),
            unknown: Unknown::new(),
        }
    }
}

impl From<&Region> for RegionDoc {
    fn from(region: &Region) -> Self {
        Self {
            name: text(&region.name),
            zones: list(region.zones.iter().map(ToString::to_string)),
            unknown: Unknown::new(),
        }
    }
}

impl From<&Service> for ServiceDoc {
    fn from(service: &Service) -> Self {
        Self {
            name: text(&service.name),
            key: key_part(&service.key_source),
            partitions: Part::Good(service.partitions.into()),
            backend_servers: Part::Good(service.backend_servers.into()),
            slots: Part::Good(service.slots.into()),
            connections: Part::Good(service.connections.into()),
            reserved_slots: Part::Good(service.reserved_slots.into()),
            max_body_bytes: Part::Good(service.max_body_bytes),
            record_retention_ms: Part::Good(service.record_retention.0),
            drain_deadline_ms: Part::Good(service.drain_deadline.0),
            unfenced_grace_ms: Part::Good(service.unfenced_grace.0),
            retry_percent: Part::Good(service.retry_percent.into()),
            rules: list(service.rules.iter().map(RuleDoc::from)),
            unknown: Unknown::new(),
        }
    }
}

/// Returns in words how keys are read.
pub(crate) fn key_text(keys: &KeySource) -> String {
    match keys {
        KeySource::None => "none".to_owned(),
        KeySource::Header(name) => format!("header {name}"),
        KeySource::PathSegment(index) => format!("path segment {index}"),
        KeySource::Query(name) => format!("query parameter {name}"),
    }
}

pub(crate) fn key_part(keys: &KeySource) -> Part<KeyDoc> {
    let doc = match keys {
        KeySource::None => return Part::Absent,
        KeySource::Header(name) => KeyDoc { header: text(name), ..KeyDoc::default() },
        KeySource::PathSegment(index) => {
            KeyDoc { path_segment: Part::Good((*index).into()), ..KeyDoc::default() }
        }
        KeySource::Query(name) => KeyDoc { query: text(name), ..KeyDoc::default() },
    };
    Part::Good(doc)
}

impl From<&Rule> for RuleDoc {
    fn from(rule: &Rule) -> Self {
        Self {
            methods: list(rule.methods.iter().map(|m| m.name().to_owned())),
            path: text(&rule.path.0),
            repeatable: Part::Good(rule.retry_safety == RetrySafety::Idempotent),
            priority: text(priority_name(rule.priority)),
            time_limit_ms: Part::Good(rule.time_limit.0),
            unknown: Unknown::new(),
        }
    }
}
