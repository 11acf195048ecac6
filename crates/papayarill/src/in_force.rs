//! Waits until a configuration is in force on host processes.

use std::thread;
use std::time::{Duration, Instant};

use host::operators::Status;
use model::ConfigVersion;

use crate::Refusal;
use crate::http::{self, OperatorsAddr};
use crate::out::say;

/// The pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// What is known of one host process.
struct Progress {
    host: OperatorsAddr,
    /// The cell of the host, or why it is not known to run by the version.
    state: Result<String, String>,
}

/// Asks the host processes until all run by `version` or a newer one. Prints a line for each one
/// and each cell, and refuses after `limit_s` seconds with a line for each one that is left.
pub fn wait(version: ConfigVersion, hosts: &[OperatorsAddr], limit_s: u64) -> Result<(), Refusal> {
    let started = Instant::now();
    let unasked = || Err("was not asked".to_owned());
    let mut all: Vec<Progress> =
        hosts.iter().map(|host| Progress { host: *host, state: unasked() }).collect();
    loop {
        ask_pending(version, &mut all, started);
        if all.iter().all(|p| p.state.is_ok()) {
            print_cells(version, &all);
            return Ok(());
        }
        if started.elapsed() >= Duration::from_secs(limit_s) {
            return Err(refusal(version, &all));
        }
        thread::sleep(ROUND_PAUSE);
    }
}

fn ask_pending(version: ConfigVersion, all: &mut [Progress], started: Instant) {
    for progress in all.iter_mut().filter(|p| p.state.is_err()) {
        progress.state = ask(version, progress.host);
        if let Ok(cell) = &progress.state {
            let (host, ms) = (progress.host, started.elapsed().as_millis());
            say!("cell {cell}: version {version} is in force on {host} after {ms} ms");
        }
    }
}

fn ask(version: ConfigVersion, host: OperatorsAddr) -> Result<String, String> {
    let status: Status = http::get(host, "/status")?;
    let found = status.config_version;
    if found >= version.0 { Ok(status.cell) } else { Err(format!("{host} runs by {found}")) }
}

fn print_cells(version: ConfigVersion, all: &[Progress]) {
    let mut cells: Vec<&String> = all.iter().filter_map(|p| p.state.as_ref().ok()).collect();
    cells.sort();
    for group in cells.chunk_by(|a, b| a == b) {
        let (cell, count) = (group[0], group.len());
        say!("cell {cell}: version {version} is in force on all {count} hosts that were named");
    }
}

fn refusal(version: ConfigVersion, all: &[Progress]) -> Refusal {
    let reasons: Vec<&str> =
        all.iter().filter_map(|p| p.state.as_ref().err()).map(String::as_str).collect();
    let reasons = reasons.join("\n  ");
    format!("version {version} is accepted, but not known to be in force everywhere:\n  {reasons}")
}
