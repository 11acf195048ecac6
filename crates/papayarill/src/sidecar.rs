//! `papayarill sidecar`: runs the sidecar process of a backend server on the users' platform.

use std::path::{Path, PathBuf};

use gumdrop::Options;

use crate::CommandError;

/// Options of `papayarill sidecar`.
#[derive(Debug, Options)]
pub struct SidecarOptions {
    /// print this help
    help: bool,
    /// the settings file, in YAML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// only check the settings file
    #[options(no_short)]
    check: bool,
}

/// Runs the sidecar process until it is stopped.
pub fn run(options: &SidecarOptions) -> Result<(), CommandError> {
    let text = read_settings(&options.settings)?;
    if options.check {
        let path = options.settings.display();
        return sidecar::Settings::parse(&text).map(|_| ()).map_err(|e| format!("{path}: {e}"));
    }
    let reload = || read_settings(&options.settings);
    let process = sidecar::run(&text, reload);
    actix_rt::System::new().block_on(process).map_err(|e| e.to_string())
}

fn read_settings(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|e| format!("{} cannot be read: {e}", path.display()))
}
