//! Chores: measurements and checks.

mod admission;
mod requests;
mod wire_cost;

use std::process::ExitCode;

use gumdrop::Options;

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
    /// The part: admission, requests or wire.
    #[options(free, required)]
    part: String,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(Command::Measure(measure)) = args.command else {
        eprintln!("{}", Args::usage());
        return ExitCode::FAILURE;
    };
    match measure.part.as_str() {
        "admission" => admission::run(),
        "requests" => requests::run(),
        "wire" => wire_cost::run(),
        other => {
            eprintln!("found {other:?}, expected admission, requests or wire");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
