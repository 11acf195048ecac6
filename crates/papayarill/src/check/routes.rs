//! Reviews a configuration document of the users' platform.

use adapter::{ConfigFinding, ConfigSeverity};
use papayarill_config::{Finding, Severity, line_of_field};

/// Returns the findings in a document, with their lines. With `previous`, also those in the
/// differences from that document.
pub fn review(text: &str, previous: Option<&str>) -> Vec<Finding> {
    let located = |finding: ConfigFinding| {
        let severity = match finding.severity {
            ConfigSeverity::Error => Severity::Error,
            ConfigSeverity::Warning => Severity::Warning,
            ConfigSeverity::Note => Severity::Note,
        };
        let ConfigFinding { path, text: found, .. } = finding;
        let line = if path.is_empty() { None } else { line_of_field(text, &path) };
        Finding { severity, path, line, text: found }
    };
    let found = adapter::review_config(text, previous).into_iter();
    let mut findings: Vec<Finding> = found.map(located).collect();
    findings.sort_by_key(|f| f.line);
    findings
}
