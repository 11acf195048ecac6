//! The command line of papayarill.
//!
//! Exit codes: 0 done, 1 refused, 2 the command line is wrong.

mod apply;
mod check;
mod declare_dead;
mod dev;
mod document;
mod drain;
mod explain;
mod http;
mod in_force;
mod lift;
mod out;
mod serve;
mod sidecar;
mod status;

use std::process::ExitCode;

use gumdrop::Options;

use crate::out::say;

/// The exit code of a command that was refused or failed.
const REFUSED: u8 = 1;

/// The exit code of a command line that makes no sense.
const USAGE: u8 = 2;

/// papayarill routes each request to the one backend server that owns its key.
#[derive(Debug, Options)]
struct Arguments {
    /// print this help
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// run the host process beside a backend server
    Serve(serve::ServeOptions),
    /// run the process beside a backend server on the users' platform
    Sidecar(sidecar::SidecarOptions),
    /// check a configuration document
    Check(check::CheckOptions),
    /// make a configuration document the newest version
    Apply(apply::ApplyOptions),
    /// show the cell, the grantors, the owners and the lease that a host process knows
    Status(status::StatusOptions),
    /// show who owns a key, and why
    Explain(explain::ExplainOptions),
    /// make a host process leave its cell and stop, without cutting off a request
    Drain(drain::DrainOptions),
    /// state that lost hosts are dead for good, when most grantors of a cell are lost at once
    DeclareDead(declare_dead::DeclareDeadOptions),
    /// let a request run again that was quarantined because it crashed backend servers
    Lift(lift::LiftOptions),
    /// run a platform, three host processes and three backend servers in this process
    Dev(dev::DevOptions),
}

/// Why a command was refused, in words for the operator.
type Refusal = String;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&words) {
        Ok(arguments) => arguments,
        Err(error) => return usage(&error.to_string()),
    };
    if arguments.help_requested() {
        print_help(&arguments);
        return ExitCode::SUCCESS;
    }
    start_log(&arguments);
    match arguments.command {
        Some(Command::Apply(options)) if options.usage_error().is_some() => {
            usage(options.usage_error().unwrap_or_default())
        }
        Some(command) => exit_code(run(command)),
        None => usage("a command is missing"),
    }
}

fn start_log(arguments: &Arguments) {
    let filter = env_logger::Env::default().default_filter_or("info,actix_server=warn");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.format_timestamp_millis();
    if let Some(Command::Sidecar(_)) = arguments.command {
        builder.target(env_logger::Target::Pipe(Box::new(::sidecar::LogWriter::start())));
    }
    builder.init();
}

fn run(command: Command) -> Result<(), Refusal> {
    match command {
        Command::Serve(options) => serve::run(&options),
        Command::Sidecar(options) => sidecar::run(&options),
        Command::Check(options) => check::run(&options),
        Command::Apply(options) => apply::run(&options),
        Command::Status(options) => status::run(&options),
        Command::Explain(options) => explain::run(&options),
        Command::Drain(options) => drain::run(&options),
        Command::DeclareDead(options) => declare_dead::run(&options),
        Command::Lift(options) => lift::run(&options),
        Command::Dev(options) => dev::run(&options),
    }
}

fn exit_code(result: Result<(), Refusal>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(refusal) => {
            eprintln!("papayarill: {refusal}");
            ExitCode::from(REFUSED)
        }
    }
}

fn usage(error: &str) -> ExitCode {
    eprintln!("papayarill: {error}\nRun 'papayarill --help' for the commands.");
    ExitCode::from(USAGE)
}

fn print_help(arguments: &Arguments) {
    let name = arguments.command_name();
    match name.and_then(Command::command_usage) {
        Some(usage) => {
            say!("Usage: papayarill {} [OPTIONS]\n\n{usage}", name.unwrap_or_default());
        }
        None => {
            say!("Usage: papayarill COMMAND [OPTIONS]\n\n{}", Arguments::usage());
            say!("\nCommands:\n{}", Command::usage());
            say!("\nExit codes: 0 done, 1 refused, 2 the command line is wrong.");
        }
    }
}
