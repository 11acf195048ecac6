//! `papayarill sidecar`: the process beside a backend server on the users' platform.

use std::path::{Path, PathBuf};

use gumdrop::Options;

use crate::Refusal;

/// Options of `papayarill sidecar`.
#[derive(Debug, Options)]
pub struct SidecarOptions {
    /// print this help
    help: bool,
    /// the settings file, in YAML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// check the settings file and stop
    #[options(no_short)]
    check: bool,
}

/// Runs the process until it is told to stop.
pub fn run(options: &SidecarOptions) -> Result<(), Refusal> {
    let text = read(&options.settings)?;
    if options.check {
        let path = options.settings.display();
        return sidecar::Settings::parse(&text).map(|_| ()).map_err(|e| format!("{path}: {e}"));
    }
    let reread = || read(&options.settings);
    let run = sidecar::run(&text, reread);
    actix_rt::System::new().block_on(run).map_err(|e| e.to_string())
}

fn read(path: &Path) -> Result<String, Refusal> {
    std::fs::read_to_string(path).map_err(|e| format!("{} cannot be read: {e}", path.display()))
}
