//! How long keys go unserved when a process fails, measured on separate processes.

use std::path::PathBuf;

use model::Millis;
use trial::failure::{self, Failure, FailureReport};
use trial::process::Program;

/// The target: a key is served again within this time.
const TARGET: Millis = Millis(3_000);

/// Runs every failure once and prints a table.
pub fn run() {
    let Some(program) = program() else {
        eprintln!("Build the program first: cargo build --release -p papayarill");
        return;
    };
    println!("| failure | median ms | worst ms | target | doubled | store |");
    println!("|---|---|---|---|---|---|");
    for failure in Failure::ALL {
        let report = actix_rt::System::new().block_on(failure::run(&program, failure));
        print(&report);
    }
}

/// The program beside this one, which is of the same build.
pub(crate) fn program() -> Option<Program> {
    let path: PathBuf = std::env::current_exe().ok()?.with_file_name("papayarill");
    path.exists().then_some(Program(path))
}

fn print(report: &FailureReport) {
    let median = report.gaps.get(report.gaps.len() / 2).copied().unwrap_or_default();
    let worst = report.gaps.last().copied().unwrap_or_default();
    let met = if worst <= TARGET { "met" } else { "missed" };
    let doubled = report.double_ownership.len() + report.duplicate_executions.len();
    let FailureReport { failure, store, .. } = report;
    println!("| {failure:?} | {median} | {worst} | {met} | {doubled} | {store} |");
}
