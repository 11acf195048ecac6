//! Reviews a document before it is sent: its errors, entries without effect, limits that contradict
//! each other, and the differences from another version.

mod changes;
mod contradictions;
mod unreachable;

use std::fmt;

use serde::Serialize;

use crate::limits::MAX_REPORTED_FINDINGS;
use crate::lines::{PathStep, format_path, line_of};
use crate::yaml::{ConfigDoc, DocValue};
use crate::{Config, Service, ValidationError, parse};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document is rejected.
    Error,
    /// The document is accepted, but an entry probably doesn't do what its author intends.
    Warning,
    /// A difference from the other version that callers don't notice.
    Note,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
            Self::Note => "note",
        })
    }
}

/// One finding in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The path of the entry, such as `services[2].rules[0]`; empty for the whole document.
    pub path: String,
    /// The line of the entry, or of the innermost entry around it, counted from 1.
    pub line: Option<usize>,
    /// What was found.
    pub text: String,
}

impl Finding {
    /// Creates a finding about a whole document.
    pub fn of_document(severity: Severity, text: impl Into<String>) -> Self {
        Self { severity, path: String::new(), line: None, text: text.into() }
    }

    /// Returns the line of text for a finding in `file`.
    pub fn format_for_file(&self, file: &str) -> String {
        let Self { severity, path, line, text } = self;
        let line = line.map(|l| format!("line {l}: ")).unwrap_or_default();
        let path = if path.is_empty() { String::new() } else { format!("{path}: ") };
        format!("{severity}: {file}: {line}{path}{text}")
    }
}

impl From<ValidationError> for Finding {
    fn from(error: ValidationError) -> Self {
        let text = format!("found {}, expected {}", error.found, error.expected);
        Self { severity: Severity::Error, path: error.path, line: error.line, text }
    }
}

/// The review of a document.
#[derive(Clone, Debug)]
pub struct Review {
    /// The findings, in the order of their lines.
    pub findings: Vec<Finding>,
    /// The configuration, if the document has no error.
    pub config: Option<Config>,
}

/// Reviews a document. With `previous`, also compares it with that configuration.
///
/// An error makes `papayarill apply` reject the document; all else is a warning or a note.
pub fn review(text: &str, previous: Option<&Config>) -> Review {
    if text.trim().is_empty() {
        let finding = Finding::of_document(Severity::Error, "found an empty document");
        return Review { findings: vec![finding], config: None };
    }
    let config = match parse(text) {
        Ok(config) => config,
        Err(error) => {
            let findings = error.errors.into_iter().map(Finding::from).collect();
            return Review { findings, config: None };
        }
    };
    let mut report = Report::new(text);
    for service in &config.services {
        unreachable::review_service(&mut report, service);
        contradictions::review_service(&mut report, service);
    }
    if let Some(previous) = previous {
        changes::review_changes(&mut report, previous, &config);
    }
    Review { findings: report.finish(), config: Some(config) }
}

/// Returns the line of the value at `path`, such as `routes[2].host`, in a YAML or JSON document, or
/// of the innermost value that encloses it.
pub fn line_of_field(text: &str, path: &str) -> Option<usize> {
    let mut steps = Vec::new();
    for part in path.split('.').filter(|part| !part.is_empty()) {
        let (field, index) = part.split_once('[').unwrap_or((part, ""));
        steps.push(PathStep::Field(field.to_owned()));
        steps.extend(index.trim_end_matches(']').parse().ok().map(PathStep::Index));
    }
    line_of(text, &steps)
}

/// The findings in a document that is valid.
struct Report<'a> {
    text: &'a str,
    /// The names of the services in the order of the document.
    service_names: Vec<String>,
    findings: Vec<(Vec<PathStep>, Finding)>,
}

impl<'a> Report<'a> {
    fn new(text: &'a str) -> Self {
        Self { text, service_names: service_names(text), findings: Vec::new() }
    }

    /// Returns the path of a service, or of the list if the document doesn't have the service.
    fn service_path(&self, service: &Service) -> Vec<PathStep> {
        let mut path = vec![PathStep::Field("services".into())];
        let index = self.service_names.iter().position(|n| n == service.name.as_str());
        path.extend(index.map(PathStep::Index));
        path
    }

    /// Records a finding about a field of a service.
    fn service_field(
        &mut self,
        severity: Severity,
        service: &Service,
        field: &str,
        text: impl Into<String>,
    ) {
        let mut path = self.service_path(service);
        path.push(PathStep::Field(field.to_owned()));
        self.push(severity, path, text);
    }

    /// Records a finding about a rule of a service.
    fn rule(
        &mut self,
        severity: Severity,
        service: &Service,
        index: usize,
        text: impl Into<String>,
    ) {
        let mut path = self.service_path(service);
        path.extend([PathStep::Field("rules".into()), PathStep::Index(index)]);
        self.push(severity, path, text);
    }

    fn push(&mut self, severity: Severity, path: Vec<PathStep>, text: impl Into<String>) {
        let finding = Finding { severity, path: format_path(&path), line: None, text: text.into() };
        self.findings.push((path, finding));
    }

    /// Returns the findings with their lines. If there are very many, the less serious ones are
    /// replaced by their number.
    fn finish(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|(_, finding)| finding.severity);
        let left_out = self.findings.split_off(self.findings.len().min(MAX_REPORTED_FINDINGS));
        let text = self.text;
        let located = self.findings.into_iter();
        let mut findings: Vec<Finding> = located
            .map(|(path, finding)| Finding { line: line_of(text, &path), ..finding })
            .collect();
        findings.sort_by_key(|f| f.line);
        if let Some((_, worst)) = left_out.first() {
            let text = format!("{} further findings are not shown", left_out.len());
            findings.push(Finding::of_document(worst.severity, text));
        }
        findings
    }
}

/// Returns the names of the services of a valid document in its order.
fn service_names(text: &str) -> Vec<String> {
    let doc: ConfigDoc = serde_yaml_ng::from_str(text).unwrap_or_default();
    let DocValue::Present(services) = doc.services else { return Vec::new() };
    let name = |service| match service {
        DocValue::Present(crate::yaml::ServiceDoc { name: DocValue::Present(name), .. }) => name,
        _ => String::new(),
    };
    services.into_iter().map(name).collect()
}
