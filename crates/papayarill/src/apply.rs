//! `papayarill apply`: makes a document the newest configuration.

use gumdrop::Options;
use model::{ConfigVersion, Millis, WriterTag};
use papayarill_config::{Config, check_change, diff, parse};
use platform::{PlatformClient, WriteError};
use uuid::Uuid;

use crate::document::{self, Document};
use crate::http::{OperatorsAddr, PlatformAddr};
use crate::out::say;
use crate::{Refusal, in_force};

/// How long the platform may take to answer.
const PLATFORM_TIME_LIMIT: Millis = Millis(10_000);

/// Options of `papayarill apply`.
#[derive(Debug, Options)]
pub struct ApplyOptions {
    /// print this help
    help: bool,
    /// the configuration document, in YAML; '-' for the standard input
    #[options(free, required)]
    file: String,
    /// the version that the document was written for; 0 if there is none yet
    #[options(no_short, required, meta = "N", parse(try_from_str = "parse_number"))]
    based_on: u64,
    /// the platform's address
    #[options(no_short, required, meta = "ADDR")]
    platform: PlatformAddr,
    /// wait until the configuration is in force on the hosts that --host names
    #[options(no_short)]
    wait: bool,
    /// the operators' address of a host process; may be given several times
    #[options(no_short, meta = "ADDR")]
    host: Vec<OperatorsAddr>,
    /// how long to wait, in seconds
    #[options(no_short, meta = "N", default = "60", parse(try_from_str = "parse_number"))]
    wait_limit: u64,
}

fn parse_number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("found {text:?}, expected a whole number"))
}

impl ApplyOptions {
    /// Returns what is wrong with the options together.
    pub fn usage_error(&self) -> Option<&'static str> {
        (self.wait && self.host.is_empty()).then_some("--wait needs at least one --host")
    }
}

/// Checks the document, stores it, and waits until it is in force if asked to.
pub fn run(options: &ApplyOptions) -> Result<(), Refusal> {
    let document = document::read(&options.file)?;
    let version = actix_rt::System::new().block_on(apply(options, &document))?;
    say!("{}: accepted as version {version}", options.file);
    if options.wait {
        in_force::wait(version, &options.host, options.wait_limit)?;
    }
    Ok(())
}

async fn apply(options: &ApplyOptions, document: &Document) -> Result<ConfigVersion, Refusal> {
    let platform = PlatformClient::new(options.platform.into(), PLATFORM_TIME_LIMIT);
    let based_on = (options.based_on > 0).then_some(ConfigVersion(options.based_on));
    let head = platform.read_head().await.map_err(|e| e.to_string())?;
    if head != based_on {
        return overtaken(&platform, based_on, document).await;
    }
    if let Some(version) = based_on {
        check_against(&platform, version, document, &options.file).await?;
    }
    match platform.apply_config(based_on, &document.text, new_writer()).await {
        Ok(version) => Ok(version),
        Err(WriteError::Conflict) => overtaken(&platform, based_on, document).await,
        Err(WriteError::Failed { message }) => Err(format!("nothing was changed: {message}")),
        Err(WriteError::Unknown { message }) => Err(format!(
            "it is not known whether the document was accepted: {message}\n\
             Run the same command again: it tells whether the document is in force, and cannot \
             store it twice."
        )),
    }
}

/// Refuses changes that would give a key two owners for a while.
async fn check_against(
    platform: &PlatformClient,
    version: ConfigVersion,
    document: &Document,
    file: &str,
) -> Result<(), Refusal> {
    let former = read(platform, version).await?.config;
    check_change(&former, &document.config).map_err(|e| e.in_file(file))
}

/// Tells what is in force in place of the version that the document was written for.
///
/// If it is this very document, an earlier run stored it and its answer was lost.
async fn overtaken(
    platform: &PlatformClient,
    based_on: Option<ConfigVersion>,
    document: &Document,
) -> Result<ConfigVersion, Refusal> {
    let newest = platform.read_head().await.map_err(|e| e.to_string())?;
    let base = based_on.unwrap_or_default();
    let Some(newest) = newest else {
        return Err(format!("no version is in force yet, so use --based-on 0, not {base}"));
    };
    let current = read(platform, newest).await?;
    if newest.0 == base.0 + 1 && current.text == document.text {
        return Ok(newest);
    }
    if newest < base {
        return Err(format!("version {base} was never accepted; version {newest} is in force"));
    }
    let former = match based_on {
        Some(version) => read(platform, version).await.map(|d| d.config),
        None => Ok(Config::default()),
    };
    let changes = match former {
        Ok(former) => changes(&format!("changed since version {base}"), &former, &current.config),
        Err(_) => changes("changed by your document", &current.config, &document.config),
    };
    Err(format!("version {newest} is in force now, not {base}; nothing was changed\n{changes}"))
}

async fn read(platform: &PlatformClient, version: ConfigVersion) -> Result<Document, Refusal> {
    let text = platform.read_config(version).await.map_err(|e| e.to_string())?;
    match parse(&text) {
        Ok(config) => Ok(Document { text, config }),
        Err(error) => Err(error.in_file(&format!("version {version}"))),
    }
}

fn changes(title: &str, old: &Config, new: &Config) -> String {
    let lines = diff(old, new);
    if lines.is_empty() {
        return format!("{title}: nothing");
    }
    format!("{title}:\n  {}", lines.join("\n  "))
}

/// Draws the tag by which this run knows its own write again.
fn new_writer() -> WriterTag {
    // The lower half of a UUIDv7 is random but for two bits.
    let (_, low) = Uuid::now_v7().as_u64_pair();
    WriterTag(low)
}
