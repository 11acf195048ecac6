//! `papayarill check`: reviews a configuration document and settings files before they are used.

mod routes;
mod settings;

use std::fmt;
use std::str::FromStr;

use gumdrop::Options;
use papayarill_config::{Config, Finding, Review, Severity, review};
use serde::Serialize;

use crate::http::PlatformAddr;
use crate::output::outln;
use crate::{CommandError, apply, document};

/// How the findings are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line of text for each finding.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("found {text:?}, expected text or json")),
        }
    }
}

/// Options of `papayarill check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// print this help
    help: bool,
    /// the configuration document, in YAML; '-' for standard input
    #[options(free)]
    file: Option<String>,
    /// the settings file of a host process or a sidecar
    #[options(no_short, meta = "FILE")]
    settings: Option<String>,
    /// report the differences from this document
    #[options(no_short, meta = "FILE")]
    against: Option<String>,
    /// report the differences from the version in force on the platform
    #[options(no_short, meta = "ADDR")]
    platform: Option<PlatformAddr>,
    /// text or json
    #[options(no_short, meta = "FORMAT")]
    format: Format,
}

impl CheckOptions {
    /// Returns an error if the options contradict each other.
    pub fn usage_error(&self) -> Option<&'static str> {
        if self.file.is_none() && self.settings.is_none() {
            return Some("check needs a FILE or --settings FILE");
        }
        if self.against.is_some() && self.platform.is_some() {
            return Some("--against and --platform exclude each other");
        }
        let compares = self.against.is_some() || self.platform.is_some();
        (compares && self.file.is_none()).then_some("--against and --platform need a FILE")
    }
}

/// A finding with its file.
#[derive(Debug, Serialize)]
struct FileFinding {
    file: String,
    #[serde(flatten)]
    finding: Finding,
}

/// Everything that was found in the given files.
#[derive(Debug, Default, Serialize)]
struct Findings {
    errors: usize,
    warnings: usize,
    findings: Vec<FileFinding>,
}

impl Findings {
    fn add(&mut self, file: &str, findings: impl IntoIterator<Item = Finding>) {
        for finding in findings {
            self.errors += usize::from(finding.severity == Severity::Error);
            self.warnings += usize::from(finding.severity == Severity::Warning);
            self.findings.push(FileFinding { file: file.to_owned(), finding });
        }
    }

    fn add_error(&mut self, file: &str, text: impl Into<String>) {
        self.add(file, [Finding::of_document(Severity::Error, text)]);
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "errors: {}, warnings: {}", self.errors, self.warnings)
    }
}

/// A valid document.
enum CheckedDocument {
    /// None was given, or it has errors.
    None,
    /// A configuration of papayarill.
    Config(Config),
    /// A configuration of the users' platform, for sidecars.
    Routes(adapter::ParsedConfig),
}

/// Prints what is found in the given files. Fails if there are errors.
pub fn run(options: &CheckOptions) -> Result<(), CommandError> {
    let mut findings = Findings::default();
    let document = check_document(options, &mut findings);
    if let Some(file) = &options.settings {
        check_settings(file, &document, &mut findings);
    }
    match options.format {
        Format::Json => {
            let text = serde_json::to_string_pretty(&findings).map_err(|e| e.to_string())?;
            outln!("{text}");
        }
        Format::Text => print_text(options, &findings, &document),
    }
    if findings.errors > 0 { Err(findings.to_string()) } else { Ok(()) }
}

fn check_document(options: &CheckOptions, findings: &mut Findings) -> CheckedDocument {
    let Some(file) = &options.file else { return CheckedDocument::None };
    let text = match document::read_text(file) {
        Ok(text) => text,
        Err(error) => {
            findings.add_error(file, error);
            return CheckedDocument::None;
        }
    };
    if adapter::is_config_document(&text) {
        return check_routes(options, file, &text, findings);
    }
    let previous = read_previous(options, findings);
    let Review { findings: found, config } = review(&text, previous.as_ref());
    findings.add(file, found);
    config.map_or(CheckedDocument::None, CheckedDocument::Config)
}

fn check_routes(
    options: &CheckOptions,
    file: &str,
    text: &str,
    findings: &mut Findings,
) -> CheckedDocument {
    let previous = match &options.against {
        Some(against) => {
            document::read_text(against).map_err(|error| findings.add_error(against, error)).ok()
        }
        None => None,
    };
    if let Some(addr) = options.platform {
        let text = "holds no documents of this kind; compare with --against";
        findings.add_error(&addr.to_string(), text);
    }
    findings.add(file, routes::review(text, previous.as_deref()));
    let parsed = adapter::parse_config(text.as_bytes());
    parsed.map_or(CheckedDocument::None, CheckedDocument::Routes)
}

/// Reads the configuration to compare with, if there is one.
fn read_previous(options: &CheckOptions, findings: &mut Findings) -> Option<Config> {
    if let Some(file) = &options.against {
        let text = document::read_text(file).map_err(|e| vec![error_finding(e)]);
        let config = text.and_then(|text| {
            papayarill_config::parse(&text)
                .map_err(|e| e.errors.into_iter().map(Finding::from).collect())
        });
        return config.map_err(|found| findings.add(file, found)).ok();
    }
    let addr = options.platform?;
    match actix_rt::System::new().block_on(apply::read_in_force(addr)) {
        Ok(config) => {
            let note = "no version is in force to compare with";
            let note = Finding::of_document(Severity::Note, note);
            findings.add(&addr.to_string(), config.is_none().then_some(note));
            config
        }
        Err(error) => {
            findings.add_error(&addr.to_string(), error);
            None
        }
    }
}

fn error_finding(text: String) -> Finding {
    Finding::of_document(Severity::Error, text)
}

fn check_settings(file: &str, document: &CheckedDocument, findings: &mut Findings) {
    match document::read_text(file) {
        Ok(text) => findings.add(file, settings::review(&text, document)),
        Err(error) => findings.add_error(file, error),
    }
}

fn print_text(options: &CheckOptions, findings: &Findings, document: &CheckedDocument) {
    for FileFinding { file, finding } in &findings.findings {
        outln!("{}", finding.format_for_file(file));
    }
    if findings.errors > 0 {
        return;
    }
    for file in options.file.iter().chain(&options.settings) {
        outln!("{file}: valid");
    }
    match document {
        CheckedDocument::Config(config) => print_summary(config),
        CheckedDocument::Routes(parsed) => outln!("{} routes", parsed.config.route_count()),
        CheckedDocument::None => {}
    }
}

fn print_summary(config: &Config) {
    let zones: usize = config.regions.iter().map(|r| r.zones.len()).sum();
    let (regions, services) = (config.regions.len(), config.services.len());
    outln!("{regions} regions, {zones} availability zones, {services} services");
    for service in &config.services {
        let (name, rules, cells) = (&service.name, service.rules.len(), service.cell_count());
        let (servers, partitions) = (service.backend_servers, service.partitions);
        outln!(
            "service {name}: {servers} backend servers, {partitions} partitions in {cells} cells, \
             {rules} rules"
        );
    }
}
