//! The command line of papayarill.
//!
//! Exit codes: 0 success, 1 refused or failed, 2 invalid command line.

mod apply;
mod check;
mod declare_dead;
mod dev;
mod document;
mod drain;
mod explain;
mod http;
mod lift;
mod output;
mod rollout;
mod serve;
mod sidecar;
mod status;

use std::process::ExitCode;

use gumdrop::Options;

use crate::output::outln;

/// The exit code of a command that was refused or failed.
const EXIT_FAILURE: u8 = 1;

/// The exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;

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
    /// run the host process of a backend server
    Serve(serve::ServeOptions),
    /// run the sidecar process of a backend server on the users' platform
    Sidecar(sidecar::SidecarOptions),
    /// check a configuration document or a settings file
    Check(check::CheckOptions),
    /// store a configuration document as the newest version
    Apply(apply::ApplyOptions),
    /// show the cell, the grantors, the owners and the lease as a host process sees them
    Status(status::StatusOptions),
    /// show who owns a key, and why
    Explain(explain::ExplainOptions),
    /// make a host process leave its cell and stop without interrupting requests
    Drain(drain::DrainOptions),
    /// declare lost hosts dead for good, if most grantors of a cell are lost at once
    DeclareDead(declare_dead::DeclareDeadOptions),
    /// lift the quarantine of a request that crashed backend servers
    Lift(lift::LiftOptions),
    /// run a platform, three host processes and three backend servers in this process
    Dev(dev::DevOptions),
}

/// The error message of a command that was refused or failed.
type CommandError = String;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&args) {
        Ok(arguments) => arguments,
        Err(error) => return usage_error(&error.to_string()),
    };
    if arguments.help_requested() {
        print_help(&arguments);
        return ExitCode::SUCCESS;
    }
    init_logging(&arguments);
    match arguments.command {
        Some(Command::Check(options)) if options.usage_error().is_some() => {
            usage_error(options.usage_error().unwrap_or_default())
        }
        Some(Command::Apply(options)) if options.usage_error().is_some() => {
            usage_error(options.usage_error().unwrap_or_default())
        }
        Some(command) => exit_code(run(command)),
        None => usage_error("no command given"),
    }
}

fn init_logging(arguments: &Arguments) {
    let filter = env_logger::Env::default().default_filter_or("info,actix_server=warn");
    let mut builder = env_logger::Builder::from_env(filter);
    builder.format_timestamp_millis();
    if let Some(Command::Sidecar(_)) = arguments.command {
        builder.target(env_logger::Target::Pipe(Box::new(::sidecar::LogWriter::start())));
    }
    builder.init();
}

fn run(command: Command) -> Result<(), CommandError> {
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

fn exit_code(result: Result<(), CommandError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("papayarill: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn usage_error(error: &str) -> ExitCode {
    eprintln!("papayarill: {error}\nRun 'papayarill --help' for the commands.");
    ExitCode::from(EXIT_USAGE)
}

fn print_help(arguments: &Arguments) {
    let name = arguments.command_name();
    match name.and_then(Command::command_usage) {
        Some(usage) => {
            outln!("Usage: papayarill {} [OPTIONS]\n\n{usage}", name.unwrap_or_default());
        }
        None => {
            outln!("Usage: papayarill COMMAND [OPTIONS]\n\n{}", Arguments::usage());
            outln!("\nCommands:\n{}", Command::usage());
            outln!("\nExit codes: 0 success, 1 refused or failed, 2 invalid command line.");
        }
    }
}
