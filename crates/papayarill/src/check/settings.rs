//! Reviews the settings file of a host process or a sidecar.

use std::net::SocketAddr;

use host::SettingsError as HostError;
use papayarill_config::{Config, Finding, Severity, line_of_excessive_nesting, line_of_field};
use serde_yaml_ng::Value;
use sidecar::SettingsError as SidecarError;

use super::CheckedDocument;

/// Fields that only the settings of a sidecar have.
const SIDECAR_FIELDS: [&str; 3] = ["store", "backend_server", "regions"];

/// Reviews settings. Those of a sidecar are told from those of a host process by their fields. Also
/// reports what contradicts `document`: a zone, service or cell of a host process that it doesn't
/// have, or limits that a sidecar can't hold.
pub fn review(text: &str, document: &CheckedDocument) -> Vec<Finding> {
    if let Some(line) = line_of_excessive_nesting(text) {
        let finding = Finding::of_document(Severity::Error, "found too many nested brackets");
        return vec![Finding { line: Some(line), ..finding }];
    }
    let parsed: Value = match serde_yaml_ng::from_str(text) {
        Ok(parsed) => parsed,
        Err(error) => return vec![yaml_error(&error)],
    };
    let Value::Mapping(fields) = parsed else {
        let text = "found no settings, expected a YAML mapping";
        return vec![Finding::of_document(Severity::Error, text)];
    };
    let mut report = Report { text, findings: Vec::new() };
    if SIDECAR_FIELDS.iter().any(|f| fields.contains_key(f)) {
        review_sidecar(&mut report, document);
    } else {
        review_host(&mut report, document);
    }
    report.findings
}

fn yaml_error(error: &serde_yaml_ng::Error) -> Finding {
    let line = error.location().map(|l| l.line());
    Finding { line, ..Finding::of_document(Severity::Error, error.to_string()) }
}

struct Report<'a> {
    text: &'a str,
    findings: Vec<Finding>,
}

impl Report<'_> {
    fn field(&mut self, severity: Severity, path: &str, text: impl Into<String>) {
        let line = line_of_field(self.text, path);
        self.findings.push(Finding { severity, path: path.to_owned(), line, text: text.into() });
    }

    /// Reports listeners that can't be opened, because another one has the same address.
    fn listeners(&mut self, listeners: &[(&str, SocketAddr)]) {
        for (index, (path, address)) in listeners.iter().enumerate() {
            let same = listeners[..index].iter().find(|(_, a)| a == address && a.port() != 0);
            if let Some((other, _)) = same {
                let text = format!("found {address}, which {other} has too");
                self.field(Severity::Error, path, text);
            }
        }
    }
}

fn review_sidecar(report: &mut Report<'_>, document: &CheckedDocument) {
    let settings = match sidecar::Settings::parse(report.text) {
        Ok(settings) => settings,
        Err(SidecarError::Yaml { source }) => return report.findings.push(yaml_error(&source)),
        Err(error @ SidecarError::MissingRegion { .. }) => {
            return report.field(Severity::Error, "regions", error.to_string());
        }
        Err(SidecarError::OutOfRange { field, found, expected }) => {
            let text = format!("found {found}, expected {expected}");
            return report.field(Severity::Error, field, text);
        }
    };
    let listen = &settings.listen;
    report.listeners(&[
        ("backend_server", settings.backend_server),
        ("listen.callers", listen.callers),
        ("listen.hosts", listen.hosts),
        ("listen.ready", listen.ready),
        ("listen.backend", listen.backend),
        ("listen.metrics", listen.metrics),
    ]);
    let (drain, stop) = (settings.drain_ms, settings.stop_ms);
    if drain >= stop {
        let text = format!("{drain} ms, but the process is killed {stop} ms after SIGTERM");
        report.field(Severity::Warning, "drain_ms", text);
    }
    if settings.retry.ratio == 0.0 && settings.retry.slack == 0.0 {
        let text = "a retry budget of 0: routes with several attempts make only one";
        report.field(Severity::Warning, "retry", text);
    }
    if let CheckedDocument::Routes(parsed) = document {
        review_memory(report, &settings, parsed);
    }
}

/// Reports a body limit above the memory that bodies may take: such a request is always refused.
fn review_memory(
    report: &mut Report<'_>,
    settings: &sidecar::Settings,
    parsed: &adapter::ParsedConfig,
) {
    let body = u64::try_from(parsed.config.limits.max_body_bytes).unwrap_or(u64::MAX);
    let memory = settings.limits.max_body_bytes();
    if body > memory {
        let text = format!(
            "bodies may take {memory} bytes, but the configuration allows one of {body} bytes"
        );
        report.field(Severity::Warning, "limits.memory_mb", text);
    }
}

fn review_host(report: &mut Report<'_>, document: &CheckedDocument) {
    let settings = match host::Settings::parse(report.text) {
        Ok(settings) => settings,
        Err(HostError::Syntax { source }) => return report.findings.push(yaml_error(&source)),
        Err(HostError::Invalid { errors }) => {
            for (path, text) in errors.entries() {
                report.field(Severity::Error, path, text);
            }
            return;
        }
        Err(error @ HostError::TooLong { .. }) => {
            let finding = Finding::of_document(Severity::Error, error.to_string());
            return report.findings.push(finding);
        }
    };
    let listen = &settings.listen;
    report.listeners(&[
        ("platform", settings.platform),
        ("listen.callers", listen.callers),
        ("listen.hosts", listen.hosts),
        ("listen.backend", listen.backend),
        ("listen.operators", listen.operators),
    ]);
    if settings.test_switches == host::TestSwitches::On {
        let text = "commands for tests are accepted, with which this host can be cut off";
        report.field(Severity::Warning, "test_switches", text);
    }
    if let CheckedDocument::Config(config) = document {
        review_place(report, &settings, config);
    }
}

/// Reports a zone, a service and a cell that the configuration doesn't have.
fn review_place(report: &mut Report<'_>, settings: &host::Settings, config: &Config) {
    if config.region_of(&settings.zone).is_none() {
        let text = format!("found {}, which no region of the configuration has", settings.zone);
        report.field(Severity::Error, "zone", text);
    }
    let cell = &settings.cell;
    match config.service(cell.service.as_str()) {
        None => {
            let text = format!("found {}, which the configuration doesn't have", cell.service);
            report.field(Severity::Error, "service", text);
        }
        Some(service) if cell.index >= service.cell_count() => {
            let cells = service.cell_count();
            let text = format!("found {}, expected less than the {cells} cells", cell.index);
            report.field(Severity::Error, "cell", text);
        }
        Some(_) => {}
    }
}
