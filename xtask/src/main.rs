//! Chores: measurements and checks.

mod admission;
mod placement;

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
    /// The part: placement or admission.
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
        "placement" => placement::run(),
        other => {
            eprintln!("found {other:?}, expected placement or admission");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
