//! Parses and validates the settings file of a host process.
//!
//! The whole file is validated before anything starts, and all errors are reported together.

use std::fmt;
use std::net::SocketAddr;

use model::{CellId, Millis, Name, ServiceName, ZoneName};
use serde::Deserialize;
use snafu::{ResultExt, Snafu, ensure};

/// The maximum size of a settings document, in bytes.
const MAX_SETTINGS_BYTES: usize = 64 * 1024;

/// The default address of a listener: any free port on the loopback interface.
const ANY_PORT: &str = "127.0.0.1:0";

const MIB: u64 = 1 << 20;

/// The range of `limits.memory_mb`. A service may have bodies of 16 MiB.
const MEMORY_MB: std::ops::RangeInclusive<u64> = 64..=1 << 20;

/// Validated settings of a host process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// The cell of the backend server on this host.
    pub cell: CellId,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// Timeout of calls to the platform.
    pub platform_time_limit: Millis,
    /// The addresses to listen on.
    pub listen: ListenAddresses,
    /// The timing parameters of the ownership protocol.
    pub timing: ownership::Timing,
    /// What the process may hold for callers.
    pub limits: Limits,
    /// Whether operators may cut the connections to other host processes, for tests.
    pub test_switches: TestSwitches,
}

/// What a host process may hold for callers.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The memory that the process may use, in MB.
    pub memory_mb: u64,
    /// The maximum number of connections of callers. By default half of the descriptors; the rest is
    /// for the backend server and other hosts.
    pub caller_connections: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 128, caller_connections: None }
    }
}

impl Limits {
    /// Returns the memory that everything that is held for callers may take: half of it. The rest is
    /// for the configuration, request records, other hosts, and holes between buffers.
    pub fn held_bytes(&self) -> u64 {
        self.memory_mb * MIB / 2
    }

    /// Returns the maximum number of connections of callers.
    pub fn max_caller_connections(&self) -> usize {
        let half =
            client_memory::max_descriptors().map(|n| usize::try_from(n / 2).unwrap_or(usize::MAX));
        self.caller_connections.or(half).unwrap_or(usize::MAX).max(1)
    }
}

/// Whether a host process accepts commands that exist only for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestSwitches {
    /// Test commands are rejected.
    Off,
    /// Test commands are executed.
    On,
}

impl From<bool> for TestSwitches {
    fn from(enabled: bool) -> Self {
        if enabled { Self::On } else { Self::Off }
    }
}

/// The addresses of a host process's four listeners. Each listener serves a different kind of
/// peer, so that a packet filter can restrict access to each separately.
#[derive(Clone, Copy, Debug)]
pub struct ListenAddresses {
    /// For callers: HTTP.
    pub callers: SocketAddr,
    /// For other host processes: h2.
    pub hosts: SocketAddr,
    /// For the backend server on this host: HTTP.
    pub backend: SocketAddr,
    /// For operators: HTTP.
    pub operators: SocketAddr,
}

/// Why a settings document was rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The document is too long.
    #[snafu(display("found {found} bytes, expected at most {MAX_SETTINGS_BYTES}"))]
    TooLong {
        /// The length of the document in bytes.
        found: usize,
    },
    /// The document is not valid YAML, or has unknown or missing fields.
    #[snafu(display("{source}"))]
    Syntax {
        /// The parser's error, with line and column.
        source: serde_yaml_ng::Error,
    },
    /// Some values are invalid.
    #[snafu(display("{errors}"))]
    Invalid {
        /// All invalid values.
        errors: ValidationErrors,
    },
}

/// All invalid values found in a document.
#[derive(Debug, Default)]
pub struct ValidationErrors(Vec<ValidationError>);

#[derive(Debug)]
struct ValidationError {
    path: &'static str,
    found: String,
    expected: String,
}

impl fmt::Display for ValidationErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            let ValidationError { path, found, expected } = error;
            write!(f, "{separator}{path}: found {found}, expected {expected}")?;
        }
        Ok(())
    }
}

impl ValidationErrors {
    /// Returns the path of each invalid value with what was found and expected.
    pub fn entries(&self) -> impl Iterator<Item = (&'static str, String)> {
        self.0.iter().map(|e| (e.path, format!("found {}, expected {}", e.found, e.expected)))
    }

    fn push(&mut self, path: &'static str, found: impl fmt::Display, expected: impl fmt::Display) {
        let error =
            ValidationError { path, found: found.to_string(), expected: expected.to_string() };
        self.0.push(error);
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    zone: String,
    service: String,
    #[serde(default)]
    cell: u32,
    platform: String,
    #[serde(default = "default_platform_time_limit_ms")]
    platform_time_limit_ms: u64,
    #[serde(default)]
    listen: ListenDocument,
    #[serde(default)]
    timing: TimingDocument,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    test_switches: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ListenDocument {
    callers: String,
    hosts: String,
    backend: String,
    operators: String,
}

impl Default for ListenDocument {
    fn default() -> Self {
        Self {
            callers: ANY_PORT.to_owned(),
            hosts: ANY_PORT.to_owned(),
            backend: ANY_PORT.to_owned(),
            operators: ANY_PORT.to_owned(),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct TimingDocument {
    term_ms: u64,
    drift_margin_ms: u64,
    renew_interval_ms: u64,
    silence_limit_ms: u64,
    store_patience_ms: u64,
    release_time_limit_ms: u64,
    balance_interval_ms: u64,
}

impl Default for TimingDocument {
    fn default() -> Self {
        ownership::Timing::default().into()
    }
}

impl From<ownership::Timing> for TimingDocument {
    fn from(timing: ownership::Timing) -> Self {
        Self {
            term_ms: timing.term.0,
            drift_margin_ms: timing.drift_margin.0,
            renew_interval_ms: timing.renew_interval.0,
            silence_limit_ms: timing.silence_limit.0,
            store_patience_ms: timing.store_patience.0,
            release_time_limit_ms: timing.release_time_limit.0,
            balance_interval_ms: timing.balance_interval.0,
        }
    }
}

impl From<TimingDocument> for ownership::Timing {
    fn from(document: TimingDocument) -> Self {
        Self {
            term: Millis(document.term_ms),
            drift_margin: Millis(document.drift_margin_ms),
            renew_interval: Millis(document.renew_interval_ms),
            silence_limit: Millis(document.silence_limit_ms),
            store_patience: Millis(document.store_patience_ms),
            release_time_limit: Millis(document.release_time_limit_ms),
            balance_interval: Millis(document.balance_interval_ms),
            // Set from the service's configuration when the host joins its cell.
            unfenced_grace: Millis::ZERO,
        }
    }
}

fn default_platform_time_limit_ms() -> u64 {
    1_000
}

impl Settings {
    /// Parses and validates a settings document.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        ensure!(text.len() <= MAX_SETTINGS_BYTES, TooLongSnafu { found: text.len() });
        let document: Document = serde_yaml_ng::from_str(text).context(SyntaxSnafu)?;
        Self::check(document)
    }

    fn check(document: Document) -> Result<Self, SettingsError> {
        let mut errors = ValidationErrors::default();
        let zone = check_name("zone", &document.zone, &mut errors);
        let service = check_name("service", &document.service, &mut errors);
        let platform = check_address("platform", &document.platform, &mut errors);
        let listen = check_listen(&document.listen, &mut errors);
        let timing = check_timing(document.timing.into(), &mut errors);
        check_limits(&document.limits, &mut errors);
        ensure!(errors.0.is_empty(), InvalidSnafu { errors });
        Ok(Self {
            zone: ZoneName::from(zone),
            cell: CellId { service: ServiceName::from(service), index: document.cell },
            platform,
            platform_time_limit: Millis(document.platform_time_limit_ms),
            listen,
            timing,
            limits: document.limits,
            test_switches: TestSwitches::from(document.test_switches),
        })
    }
}

fn check_name(path: &'static str, text: &str, errors: &mut ValidationErrors) -> Name {
    Name::new(text).unwrap_or_else(|error| {
        errors.push(path, format_args!("{text:?}"), format_args!("a name; {error}"));
        Name::unnamed()
    })
}

fn check_address(path: &'static str, text: &str, errors: &mut ValidationErrors) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        errors.push(path, format_args!("{text:?}"), "an IP number and a port, such as 10.0.0.7:80");
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn check_listen(document: &ListenDocument, errors: &mut ValidationErrors) -> ListenAddresses {
    ListenAddresses {
        callers: check_address("listen.callers", &document.callers, errors),
        hosts: check_address("listen.hosts", &document.hosts, errors),
        backend: check_address("listen.backend", &document.backend, errors),
        operators: check_address("listen.operators", &document.operators, errors),
    }
}

/// Rejects timing parameters with which a lease could not be renewed in time.
fn check_timing(timing: ownership::Timing, errors: &mut ValidationErrors) -> ownership::Timing {
    let min_term = timing.renew_interval + timing.renew_interval + timing.drift_margin;
    if timing.renew_interval == Millis::ZERO {
        errors.push("timing.renew_interval_ms", 0, "at least 1");
    }
    if timing.term <= min_term {
        let expected =
            format_args!("more than two renew intervals and the margin ({min_term})").to_string();
        errors.push("timing.term_ms", timing.term, expected);
    }
    if timing.silence_limit <= timing.renew_interval {
        errors.push("timing.silence_limit_ms", timing.silence_limit, "more than renew_interval_ms");
    }
    timing
}

fn check_limits(limits: &Limits, errors: &mut ValidationErrors) {
    let Limits { memory_mb, caller_connections } = *limits;
    if !MEMORY_MB.contains(&memory_mb) {
        errors.push("limits.memory_mb", memory_mb, "64 to 1048576");
    }
    if caller_connections == Some(0) {
        errors.push("limits.caller_connections", 0, "at least 1");
    }
}
