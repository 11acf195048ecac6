//! Converts the validated form into the YAML form.

use model::Priority;

use crate::yaml::{ConfigDoc, DocValue, KeyDoc, RegionDoc, RuleDoc, ServiceDoc, UnknownFields};
use crate::{Config, KeySource, Method, Region, RetrySafety, Rule, Service};

impl Method {
    /// All methods that rules can match.
    pub(crate) const ALL: [Self; 6] =
        [Self::Get, Self::Head, Self::Post, Self::Put, Self::Patch, Self::Delete];

    /// Returns the method name as it appears in HTTP requests.
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

/// Returns the priority as it is written in documents.
pub(crate) fn priority_name(priority: Priority) -> &'static str {
    match priority {
        Priority::Interactive => "interactive",
        Priority::Deferrable => "deferrable",
        Priority::Internal => "internal",
    }
}

fn text(value: impl ToString) -> DocValue<String> {
    DocValue::Present(value.to_string())
}

fn list<T>(entries: impl Iterator<Item = T>) -> DocValue<Vec<DocValue<T>>> {
    DocValue::Present(entries.map(DocValue::Present).collect())
}

impl From<&Config> for ConfigDoc {
    fn from(config: &Config) -> Self {
        Self {
            regions: list(config.regions.iter().map(RegionDoc::from)),
            services: list(config.services.iter().map(ServiceDoc::from)),
            unknown: UnknownFields::new(),
        }
    }
}

impl From<&Region> for RegionDoc {
    fn from(region: &Region) -> Self {
        Self {
            name: text(&region.name),
            zones: list(region.zones.iter().map(ToString::to_string)),
            unknown: UnknownFields::new(),
        }
    }
}

impl From<&Service> for ServiceDoc {
    fn from(service: &Service) -> Self {
        Self {
            name: text(&service.name),
            key: key_to_doc(&service.key_source),
            partitions: DocValue::Present(service.partitions.into()),
            backend_servers: DocValue::Present(service.backend_servers.into()),
            slots: DocValue::Present(service.slots.into()),
            connections: DocValue::Present(service.connections.into()),
            reserved_slots: DocValue::Present(service.reserved_slots.into()),
            max_body_bytes: DocValue::Present(service.max_body_bytes),
            record_retention_ms: DocValue::Present(service.record_retention.0),
            drain_deadline_ms: DocValue::Present(service.drain_deadline.0),
            unfenced_grace_ms: DocValue::Present(service.unfenced_grace.0),
            retry_percent: DocValue::Present(service.retry_percent.into()),
            rules: list(service.rules.iter().map(RuleDoc::from)),
            unknown: UnknownFields::new(),
        }
    }
}

/// Returns a readable description of where keys are read from.
pub(crate) fn describe_key_source(keys: &KeySource) -> String {
    match keys {
        KeySource::None => "none".to_owned(),
        KeySource::Header(name) => format!("header {name}"),
        KeySource::PathSegment(index) => format!("path segment {index}"),
        KeySource::Query(name) => format!("query parameter {name}"),
    }
}

pub(crate) fn key_to_doc(keys: &KeySource) -> DocValue<KeyDoc> {
    let doc = match keys {
        KeySource::None => return DocValue::Absent,
        KeySource::Header(name) => KeyDoc { header: text(name), ..KeyDoc::default() },
        KeySource::PathSegment(index) => {
            KeyDoc { path_segment: DocValue::Present((*index).into()), ..KeyDoc::default() }
        }
        KeySource::Query(name) => KeyDoc { query: text(name), ..KeyDoc::default() },
    };
    DocValue::Present(doc)
}

impl From<&Rule> for RuleDoc {
    fn from(rule: &Rule) -> Self {
        Self {
            methods: list(rule.methods.iter().map(|m| m.name().to_owned())),
            path: text(&rule.path.0),
            repeatable: DocValue::Present(rule.retry_safety == RetrySafety::Idempotent),
            priority: text(priority_name(rule.priority)),
            time_limit_ms: DocValue::Present(rule.time_limit.0),
            unknown: UnknownFields::new(),
        }
    }
}
