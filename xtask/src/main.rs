//! Development tasks, run as `cargo xtask`.

mod admission;
mod capacity;
mod cluster;
mod config;
mod config_propagation;
mod failover;
mod path;
mod placement;
mod requests;
mod wire_cost;

use std::process::ExitCode;

use gumdrop::Options;

/// The name of a measurement and the function that prints its tables.
type Part = (&'static str, fn());

/// All measurements, sorted by name for the binary search.
const PARTS: [Part; 8] = [
    ("admission", admission::run),
    ("capacity", capacity::run),
    ("config", config::run),
    ("failover", failover::run),
    ("path", path::run),
    ("placement", placement::run),
    ("requests", requests::run),
    ("wire", wire_cost::run),
];

#[derive(Options)]
struct Args {
    /// Print this help.
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    /// Measure one part and print a table.
    Measure(Measure),
}

#[derive(Options)]
struct Measure {
    /// Print this help.
    help: bool,
    /// The part to measure; without one, the parts are listed.
    #[options(free)]
    part: String,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(Command::Measure(measure)) = args.command else {
        eprintln!("{}", Args::usage());
        return ExitCode::FAILURE;
    };
    let Ok(index) = PARTS.binary_search_by(|(name, _)| (*name).cmp(&measure.part)) else {
        let names: Vec<&str> = PARTS.iter().map(|(name, _)| *name).collect();
        eprintln!("unknown part {:?}, expected one of {}", measure.part, names.join(", "));
        return ExitCode::FAILURE;
    };
    let (_, run) = PARTS[index];
    run();
    ExitCode::SUCCESS
}
