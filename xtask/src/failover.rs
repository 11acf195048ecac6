//! Measures how long keys are not served after a failure, in deployments of separate processes.

use std::path::PathBuf;

use model::Millis;
use trial::failure::{self, Failure, FailureReport};
use trial::process::Program;

/// The target for the time until every key is served again.
const RECOVERY_TARGET: Millis = Millis(3_000);

/// Runs each failure once and prints a table.
pub fn run() {
    let Some(program) = find_program() else {
        eprintln!("papayarill is not built; run: cargo build --release -p papayarill");
        return;
    };
    println!("| failure | median ms | worst ms | target | duplicates | store calls |");
    println!("|---|---|---|---|---|---|");
    for failure in Failure::ALL {
        let report = actix_rt::System::new().block_on(failure::run(&program, failure));
        print(&report);
    }
}

/// Returns the papayarill program next to this one, which is from the same build profile.
pub(crate) fn find_program() -> Option<Program> {
    let path: PathBuf = std::env::current_exe().ok()?.with_file_name("papayarill");
    path.exists().then_some(Program(path))
}

fn print(report: &FailureReport) {
    let median = report.gaps.get(report.gaps.len() / 2).copied().unwrap_or_default();
    let worst = report.gaps.last().copied().unwrap_or_default();
    let met = if worst <= RECOVERY_TARGET { "met" } else { "missed" };
    let duplicates = report.double_ownership.len() + report.duplicate_executions.len();
    let FailureReport { failure, store, .. } = report;
    println!("| {failure:?} | {median} | {worst} | {met} | {duplicates} | {store} |");
}
