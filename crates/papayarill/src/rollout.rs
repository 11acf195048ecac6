//! Waits until a configuration is in force on host processes.

use std::thread;
use std::time::{Duration, Instant};

use host::operators::Status;
use model::ConfigVersion;

use crate::CommandError;
use crate::http::{self, OperatorsAddr};
use crate::output::outln;

/// The interval between polls of the host processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The rollout state of one host process.
struct HostProgress {
    host: OperatorsAddr,
    /// The cell of the host if the version is in force on it, otherwise the reason why it is not
    /// known to be.
    state: Result<String, String>,
}

/// Polls the host processes until `version` or a newer one is in force on all of them. Prints a line
/// for each host and each cell. After `limit_s` seconds, returns an error with a line for each host
/// that is left.
pub fn wait(
    version: ConfigVersion,
    hosts: &[OperatorsAddr],
    limit_s: u64,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let not_polled = || Err("has not been polled".to_owned());
    let mut all: Vec<HostProgress> =
        hosts.iter().map(|host| HostProgress { host: *host, state: not_polled() }).collect();
    loop {
        poll_pending(version, &mut all, started);
        if all.iter().all(|p| p.state.is_ok()) {
            print_cells(version, &all);
            return Ok(());
        }
        if started.elapsed() >= Duration::from_secs(limit_s) {
            return Err(timeout_error(version, &all));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn poll_pending(version: ConfigVersion, all: &mut [HostProgress], started: Instant) {
    for progress in all.iter_mut().filter(|p| p.state.is_err()) {
        progress.state = poll(version, progress.host);
        if let Ok(cell) = &progress.state {
            let (host, ms) = (progress.host, started.elapsed().as_millis());
            outln!("cell {cell}: version {version} is in force on {host} after {ms} ms");
        }
    }
}

fn poll(version: ConfigVersion, host: OperatorsAddr) -> Result<String, String> {
    let status: Status = http::get(host, "/status")?;
    let found = status.config_version;
    if found >= version.0 { Ok(status.cell) } else { Err(format!("{host} runs version {found}")) }
}

fn print_cells(version: ConfigVersion, all: &[HostProgress]) {
    let mut cells: Vec<&String> = all.iter().filter_map(|p| p.state.as_ref().ok()).collect();
    cells.sort();
    for group in cells.chunk_by(|a, b| a == b) {
        let (cell, count) = (group[0], group.len());
        outln!("cell {cell}: version {version} is in force on all {count} hosts that were named");
    }
}

fn timeout_error(version: ConfigVersion, all: &[HostProgress]) -> CommandError {
    let reasons: Vec<&str> =
        all.iter().filter_map(|p| p.state.as_ref().err()).map(String::as_str).collect();
    let reasons = reasons.join("\n  ");
    format!("version {version} is accepted, but not known to be in force everywhere:\n  {reasons}")
}
