//! Builders for writing a configuration as a program.
//!
//! A builder fills in the YAML form, which is then validated like a parsed document, so both report
//! the same errors.

use model::{Millis, Priority};

use crate::check::{ValidationContext, check_config, check_rule, check_service};
use crate::to_doc::{key_to_doc, priority_name};
use crate::yaml::{ConfigDoc, DocValue, RegionDoc, RuleDoc, ServiceDoc};
use crate::{Config, ConfigError, KeySource, Method, Rule, Service};

/// Builds a [`Config`].
#[derive(Clone, Debug, Default)]
pub struct ConfigBuilder {
    regions: Vec<DocValue<RegionDoc>>,
    services: Vec<DocValue<ServiceDoc>>,
}

impl ConfigBuilder {
    /// Creates a builder without regions and services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a region with its availability zones.
    pub fn region<'a>(mut self, name: &str, zones: impl IntoIterator<Item = &'a str>) -> Self {
        let zones = zones.into_iter().map(|z| DocValue::Present(z.to_owned())).collect();
        let doc = RegionDoc {
            name: DocValue::Present(name.to_owned()),
            zones: DocValue::Present(zones),
            ..RegionDoc::default()
        };
        self.regions.push(DocValue::Present(doc));
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: ServiceBuilder) -> Self {
        self.services.push(DocValue::Present(service.into_doc()));
        self
    }

    /// Validates the configuration and returns it, or all its errors.
    pub fn build(self) -> Result<Config, ConfigError> {
        let doc = ConfigDoc {
            regions: DocValue::Present(self.regions),
            services: DocValue::Present(self.services),
            ..ConfigDoc::default()
        };
        let mut cx = ValidationContext::default();
        let config = check_config(&mut cx, &doc);
        cx.finish(config, |_| None)
    }
}

/// Builds a [`Service`]. Fields that are not set have the defaults in docs/configuration.md.
#[derive(Clone, Debug, Default)]
pub struct ServiceBuilder {
    doc: ServiceDoc,
    rules: Vec<DocValue<RuleDoc>>,
}

impl ServiceBuilder {
    /// Creates a builder of the service with this name.
    pub fn new(name: &str) -> Self {
        let doc = ServiceDoc { name: DocValue::Present(name.to_owned()), ..ServiceDoc::default() };
        Self { doc, rules: Vec::new() }
    }

    /// Sets where the key of a request is read from.
    pub fn keys(mut self, source: &KeySource) -> Self {
        self.doc.key = key_to_doc(source);
        self
    }

    /// Sets the number of partitions, which must never change while the service exists.
    pub fn partitions(mut self, count: u32) -> Self {
        self.doc.partitions = DocValue::Present(count.into());
        self
    }

    /// Sets the expected number of backend servers. Required.
    pub fn backend_servers(mut self, count: u32) -> Self {
        self.doc.backend_servers = DocValue::Present(count.into());
        self
    }

    /// Sets the maximum number of requests that one backend server runs concurrently. Required.
    pub fn slots(mut self, count: u32) -> Self {
        self.doc.slots = DocValue::Present(count.into());
        self
    }

    /// Sets the maximum number of connections that one backend server accepts. Required.
    pub fn connections(mut self, count: u32) -> Self {
        self.doc.connections = DocValue::Present(count.into());
        self
    }

    /// Sets the number of slots that are reserved for interactive requests.
    pub fn reserved_slots(mut self, count: u32) -> Self {
        self.doc.reserved_slots = DocValue::Present(count.into());
        self
    }

    /// Sets the maximum size of a request body, in bytes.
    pub fn max_body_bytes(mut self, bytes: u64) -> Self {
        self.doc.max_body_bytes = DocValue::Present(bytes);
        self
    }

    /// Sets how long responses are kept to answer retries with the same request id.
    pub fn record_retention(mut self, duration: Millis) -> Self {
        self.doc.record_retention_ms = DocValue::Present(duration.0);
        self
    }

    /// Sets how long a draining host may take to finish its requests.
    pub fn drain_deadline(mut self, duration: Millis) -> Self {
        self.doc.drain_deadline_ms = DocValue::Present(duration.0);
        self
    }

    /// Sets how long partitions wait for a new owner after the unplanned loss of a backend
    /// server that does not check fencing tokens.
    pub fn unfenced_grace(mut self, duration: Millis) -> Self {
        self.doc.unfenced_grace_ms = DocValue::Present(duration.0);
        self
    }

    /// Sets the retry budget, in retries per 100 first attempts.
    pub fn retry_percent(mut self, percent: u32) -> Self {
        self.doc.retry_percent = DocValue::Present(percent.into());
        self
    }

    /// Adds a rule. The first rule that matches a request applies.
    pub fn rule(mut self, rule: RuleBuilder) -> Self {
        self.rules.push(DocValue::Present(rule.doc));
        self
    }

    /// Validates the service on its own and returns it, or all its errors.
    pub fn build(self) -> Result<Service, ConfigError> {
        let mut cx = ValidationContext::default();
        let service = check_service(&mut cx, &self.into_doc());
        cx.finish(service, |_| None)
    }

    fn into_doc(self) -> ServiceDoc {
        ServiceDoc { rules: DocValue::Present(self.rules), ..self.doc }
    }
}

/// Builds a [`Rule`]. By default, a rule matches all methods, and its requests run at most once,
/// with interactive priority and a time limit of 10 s.
#[derive(Clone, Debug, Default)]
pub struct RuleBuilder {
    doc: RuleDoc,
}

impl RuleBuilder {
    /// Creates a builder of a rule for paths that match `path`, which starts after the service name.
    pub fn new(path: &str) -> Self {
        Self { doc: RuleDoc { path: DocValue::Present(path.to_owned()), ..RuleDoc::default() } }
    }

    /// Sets the methods that the rule matches.
    pub fn methods(mut self, methods: impl IntoIterator<Item = Method>) -> Self {
        let names = methods.into_iter().map(|m| DocValue::Present(m.name().to_owned()));
        self.doc.methods = DocValue::Present(names.collect());
        self
    }

    /// Declares that the requests are idempotent, so that they may be retried.
    pub fn repeatable(mut self) -> Self {
        self.doc.repeatable = DocValue::Present(true);
        self
    }

    /// Sets the priority class of the requests.
    pub fn priority(mut self, priority: Priority) -> Self {
        self.doc.priority = DocValue::Present(priority_name(priority).to_owned());
        self
    }

    /// Sets the total time that a request may take, including retries.
    pub fn time_limit(mut self, duration: Millis) -> Self {
        self.doc.time_limit_ms = DocValue::Present(duration.0);
        self
    }

    /// Validates the rule on its own and returns it, or all its errors.
    pub fn build(self) -> Result<Rule, ConfigError> {
        let mut cx = ValidationContext::default();
        let rule = check_rule(&mut cx, &self.doc);
        cx.finish(rule, |_| None)
    }
}
