//! `papayarill apply`: stores a document as the newest configuration.

use gumdrop::Options;
use model::{ConfigVersion, Millis, WriterTag};
use papayarill_config::{Config, check_change, diff, parse};
use platform::{PlatformClient, WriteError};
use uuid::Uuid;

use crate::document::{self, Document};
use crate::http::{OperatorsAddr, PlatformAddr};
use crate::output::outln;
use crate::{CommandError, rollout};

/// The time limit of a request to the platform.
const PLATFORM_TIMEOUT: Millis = Millis(10_000);

/// Options of `papayarill apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// print this help
    help: bool,
    /// the configuration document, in YAML; '-' for standard input
    #[options(free, required)]
    file: String,
    /// the version that the document is based on; 0 if there is none yet
    #[options(no_short, required, meta = "N", parse(try_from_str = "parse_number"))]
    based_on: u64,
    /// the platform's address
    #[options(no_short, required, meta = "ADDR")]
    platform: PlatformAddr,
    /// wait until the configuration is in force on the hosts given by --host
    #[options(no_short)]
    wait: bool,
    /// the operators' address of a host process; may be given multiple times
    #[options(no_short, meta = "ADDR")]
    host: Vec<OperatorsAddr>,
    /// the maximum time to wait, in seconds
    #[options(no_short, meta = "N", default = "60", parse(try_from_str = "parse_number"))]
    wait_limit: u64,
}

fn parse_number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("found {text:?}, expected a whole number"))
}

impl ApplyOptions {
    /// Returns an error if the options contradict each other.
    pub fn usage_error(&self) -> Option<&'static str> {
        (self.wait && self.host.is_empty()).then_some("--wait needs at least one --host")
    }
}

/// Checks the document, stores it and, with `--wait`, waits until it is in force.
pub fn run(options: &ApplyOptions) -> Result<(), CommandError> {
    let document = document::read(&options.file)?;
    let version = actix_rt::System::new().block_on(apply(options, &document))?;
    outln!("{}: accepted as version {version}", options.file);
    if options.wait {
        rollout::wait(version, &options.host, options.wait_limit)?;
    }
    Ok(())
}

async fn apply(options: &ApplyOptions, document: &Document) -> Result<ConfigVersion, CommandError> {
    let platform = PlatformClient::new(options.platform.into(), PLATFORM_TIMEOUT);
    let based_on = (options.based_on > 0).then_some(ConfigVersion(options.based_on));
    let head = platform.read_head().await.map_err(|e| e.to_string())?;
    if head != based_on {
        return resolve_conflict(&platform, based_on, document).await;
    }
    if let Some(version) = based_on {
        check_change_from(&platform, version, document, &options.file).await?;
    }
    match platform.apply_config(based_on, &document.text, new_writer_tag()).await {
        Ok(version) => Ok(version),
        Err(WriteError::Conflict) => resolve_conflict(&platform, based_on, document).await,
        Err(WriteError::Failed { message }) => Err(format!("nothing was changed: {message}")),
        Err(WriteError::Unknown { message }) => Err(format!(
            "it is not known whether the document was accepted: {message}\n\
             Run the same command again: it reports whether the document is in force, and cannot \
             store it twice."
        )),
    }
}

/// Rejects changes that could temporarily give a key two owners.
async fn check_change_from(
    platform: &PlatformClient,
    version: ConfigVersion,
    document: &Document,
    file: &str,
) -> Result<(), CommandError> {
    let previous = read_version(platform, version).await?.config;
    check_change(&previous, &document.config).map_err(|e| e.format_for_file(file))
}

/// Handles the case that the version in force is not the one that the document is based on.
///
/// If the version in force is this same document, an earlier run stored it and the response was
/// lost, so this returns its version. Otherwise the error describes what is in force.
async fn resolve_conflict(
    platform: &PlatformClient,
    based_on: Option<ConfigVersion>,
    document: &Document,
) -> Result<ConfigVersion, CommandError> {
    let newest = platform.read_head().await.map_err(|e| e.to_string())?;
    let base = based_on.unwrap_or_default();
    let Some(newest) = newest else {
        return Err(format!("no version is in force yet, so use --based-on 0, not {base}"));
    };
    let current = read_version(platform, newest).await?;
    if newest.0 == base.0 + 1 && current.text == document.text {
        return Ok(newest);
    }
    if newest < base {
        return Err(format!("version {base} was never accepted; version {newest} is in force"));
    }
    let previous = match based_on {
        Some(version) => read_version(platform, version).await.map(|d| d.config),
        None => Ok(Config::default()),
    };
    let changes = match previous {
        Ok(previous) => {
            format_changes(&format!("changed since version {base}"), &previous, &current.config)
        }
        Err(_) => format_changes("changed by your document", &current.config, &document.config),
    };
    Err(format!("version {newest} is in force now, not {base}; nothing was changed\n{changes}"))
}

/// Reads the configuration in force, or `None` if there is none yet.
pub async fn read_in_force(platform: PlatformAddr) -> Result<Option<Config>, CommandError> {
    let platform = PlatformClient::new(platform.into(), PLATFORM_TIMEOUT);
    match platform.read_head().await.map_err(|e| e.to_string())? {
        Some(version) => Ok(Some(read_version(&platform, version).await?.config)),
        None => Ok(None),
    }
}

async fn read_version(
    platform: &PlatformClient,
    version: ConfigVersion,
) -> Result<Document, CommandError> {
    let text = platform.read_config(version).await.map_err(|e| e.to_string())?;
    match parse(&text) {
        Ok(config) => Ok(Document { text, config }),
        Err(error) => Err(error.format_for_file(&format!("version {version}"))),
    }
}

fn format_changes(title: &str, old: &Config, new: &Config) -> String {
    let lines = diff(old, new);
    if lines.is_empty() {
        return format!("{title}: nothing");
    }
    format!("{title}:\n  {}", lines.join("\n  "))
}

/// Generates the tag by which this run recognizes its own write.
fn new_writer_tag() -> WriterTag {
    // The lower half of a UUIDv7 is random except for two bits.
    let (_, low) = Uuid::now_v7().as_u64_pair();
    WriterTag(low)
}
