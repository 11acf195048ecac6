//! Builders with which operators write a configuration as a program.
//!
//! A builder fills in the YAML form and leaves every judgement to the check that documents go
//! through as well, so both report the same faults.

use model::{Millis, Priority};

use crate::check::{Cx, check_config, check_rule, check_service};
use crate::print::{key_part, priority_name};
use crate::yaml::{ConfigDoc, Part, RegionDoc, RuleDoc, ServiceDoc};
use crate::{Config, ConfigError, KeySource, Method, Rule, Service};

/// Builds a [`Config`].
#[derive(Clone, Debug, Default)]
pub struct ConfigBuilder {
    regions: Vec<Part<RegionDoc>>,
    services: Vec<Part<ServiceDoc>>,
}

impl ConfigBuilder {
    /// Makes a builder without regions and services.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a region with its availability zones.
    pub fn region<'a>(mut self, name: &str, zones: impl IntoIterator<Item = &'a str>) -> Self {
        let zones = zones.into_iter().map(|z| Part::Good(z.to_owned())).collect();
        let doc = RegionDoc {
            name: Part::Good(name.to_owned()),
            zones: Part::Good(zones),
            ..RegionDoc::default()
        };
        self.regions.push(Part::Good(doc));
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: ServiceBuilder) -> Self {
        self.services.push(Part::Good(service.into_doc()));
        self
    }

    /// Checks everything and returns the configuration, or all that is wrong with it.
    pub fn build(self) -> Result<Config, ConfigError> {
        let doc = ConfigDoc {
            regions: Part::Good(self.regions),
            services: Part::Good(self.services),
            ..ConfigDoc::default()
        };
        let mut cx = Cx::default();
        let config = check_config(&mut cx, &doc);
        cx.finish(config, |_| None)
    }
}

/// Builds a [`Service`]. What is not set has the default that docs/configuration.md names.
#[derive(Clone, Debug, Default)]
pub struct ServiceBuilder {
    doc: ServiceDoc,
    rules: Vec<Part<RuleDoc>>,
}

impl ServiceBuilder {
    /// Makes a builder of the service with this name.
    pub fn new(name: &str) -> Self {
        let doc = ServiceDoc { name: Part::Good(name.to_owned()), ..ServiceDoc::default() };
        Self { doc, rules: Vec::new() }
    }

    /// Sets how the key of a request is read.
    pub fn keys(mut self, keys: &KeySource) -> Self {
        self.doc.key = key_part(keys);
        self
    }

    /// Sets the partition count, which must never change while the service exists.
    pub fn partitions(mut self, count: u32) -> Self {
        self.doc.partitions = Part::Good(count.into());
        self
    }

    /// Sets how many backend servers are expected. Required.
    pub fn backend_servers(mut self, count: u32) -> Self {
        self.doc.backend_servers = Part::Good(count.into());
        self
    }

    /// Sets how many requests one backend server runs at a time. Required.
    pub fn slots(mut self, count: u32) -> Self {
        self.doc.slots = Part::Good(count.into());
        self
    }

    /// Sets how many connections one backend server accepts. Required.
    pub fn connections(mut self, count: u32) -> Self {
        self.doc.connections = Part::Good(count.into());
        self
    }

    /// Sets how many slots only interactive requests may use.
    pub fn reserved_slots(mut self, count: u32) -> Self {
        self.doc.reserved_slots = Part::Good(count.into());
        self
    }

    /// Sets the longest request body, in bytes.
    pub fn max_body_bytes(mut self, bytes: u64) -> Self {
        self.doc.max_body_bytes = Part::Good(bytes);
        self
    }

    /// Sets how long answers are kept for re-sends of the same request id.
    pub fn record_retention(mut self, span: Millis) -> Self {
        self.doc.record_retention_ms = Part::Good(span.0);
        self
    }

    /// Sets how long a leaving host may take to finish its work.
    pub fn drain_deadline(mut self, span: Millis) -> Self {
        self.doc.drain_deadline_ms = Part::Good(span.0);
        self
    }

    /// Sets how long partitions wait after an unplanned loss of a backend server that checks no
    /// fences.
    pub fn unfenced_grace(mut self, span: Millis) -> Self {
        self.doc.unfenced_grace_ms = Part::Good(span.0);
        self
    }

    /// Sets how many retries are allowed per 100 first attempts.
    pub fn retry_percent(mut self, percent: u32) -> Self {
        self.doc.retry_percent = Part::Good(percent.into());
        self
    }

    /// Adds a rule. The first rule that matches a request counts.
    pub fn rule(mut self, rule: RuleBuilder) -> Self {
        self.rules.push(Part::Good(rule.doc));
        self
    }

    /// Checks the service alone and returns it, or all that is wrong with it.
    pub fn build(self) -> Result<Service, ConfigError> {
        let mut cx = Cx::default();
        let service = check_service(&mut cx, &self.into_doc());
        cx.finish(service, |_| None)
    }

    fn into_doc(self) -> ServiceDoc {
        ServiceDoc { rules: Part::Good(self.rules), ..self.doc }
    }
}

/// Builds a [`Rule`]. Without further settings it matches all methods, and its requests run at
/// most once, interactive, within 10 s.
#[derive(Clone, Debug, Default)]
pub struct RuleBuilder {
    doc: RuleDoc,
}

impl RuleBuilder {
    /// Makes a builder of a rule for the paths that match, as seen behind the service name.
    pub fn new(path: &str) -> Self {
        Self { doc: RuleDoc { path: Part::Good(path.to_owned()), ..RuleDoc::default() } }
    }

    /// Sets the methods that the rule matches.
    pub fn methods(mut self, methods: impl IntoIterator<Item = Method>) -> Self {
        let names = methods.into_iter().map(|m| Part::Good(m.name().to_owned()));
        self.doc.methods = Part::Good(names.collect());
        self
    }

    /// States that the requests are idempotent, so that they may be sent again.
    pub fn repeatable(mut self) -> Self {
        self.doc.repeatable = Part::Good(true);
        self
    }

    /// Sets the class of the requests.
    pub fn priority(mut self, priority: Priority) -> Self {
        self.doc.priority = Part::Good(priority_name(priority).to_owned());
        self
    }

    /// Sets how long a request may take in all.
    pub fn time_limit(mut self, span: Millis) -> Self {
        self.doc.time_limit_ms = Part::Good(span.0);
        self
    }

    /// Checks the rule alone and returns it, or all that is wrong with it.
    pub fn build(self) -> Result<Rule, ConfigError> {
        let mut cx = Cx::default();
        let rule = check_rule(&mut cx, &self.doc);
        cx.finish(rule, |_| None)
    }
}
