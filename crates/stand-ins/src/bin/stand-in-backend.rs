//! A backend server for tests, as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use actix_rt::signal::unix::{SignalKind, signal};
use gumdrop::Options;
use model::Millis;
use stand_ins::backend::{self, Backend, BackendSettings, FenceChecking};

/// The command line.
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// The host process to announce the server to.
    #[options(no_short, meta = "ADDR")]
    announce: Option<SocketAddr>,
    /// Where to listen; a free port of loopback if not given.
    #[options(no_short, meta = "ADDR")]
    listen: Option<SocketAddr>,
    /// The name of the service.
    #[options(no_short, meta = "NAME", default = "index-board")]
    service: String,
    /// Requests that run at the same time.
    #[options(no_short, meta = "N", default = "6")]
    slots: u32,
    /// Connections that are accepted at the same time.
    #[options(no_short, meta = "N", default = "110")]
    connections: u32,
    /// Runs whatever is sent, without a look at grants and fences.
    #[options(no_short)]
    unchecked: bool,
    /// Milliseconds for which the server is cold after its start.
    #[options(no_short, meta = "MS", default = "0")]
    cold_ms: u64,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    match actix_rt::System::new().block_on(run(&args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("stand-in-backend: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<(), Box<dyn std::error::Error>> {
    let mut settings = BackendSettings::new(&args.service)
        .announce(args.announce)
        .slots(args.slots)
        .connections(args.connections)
        .cold_time(Millis(args.cold_ms));
    if let Some(listen) = args.listen {
        settings = settings.listen(listen);
    }
    if args.unchecked {
        settings = settings.fences(FenceChecking::Unchecked);
    }
    let backend = backend::start(&settings)?;
    println!("listening {}", backend.addr());
    wait_for_stop(&backend).await?;
    backend.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT, then takes no new work.
async fn wait_for_stop(backend: &Backend) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    backend.drain();
    Ok(())
}
