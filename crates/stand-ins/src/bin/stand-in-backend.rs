//! Runs the test backend server as a separate process.

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
    /// The address of the host process to announce the server to.
    #[options(no_short, meta = "ADDR")]
    announce: Option<SocketAddr>,
    /// The address to listen on; by default a free loopback port.
    #[options(no_short, meta = "ADDR")]
    listen: Option<SocketAddr>,
    /// The name of the service.
    #[options(no_short, meta = "NAME", default = "index-board")]
    service: String,
    /// The most requests that run concurrently.
    #[options(no_short, meta = "N", default = "6")]
    slots: u32,
    /// The most concurrent connections.
    #[options(no_short, meta = "N", default = "110")]
    connections: u32,
    /// Runs every request without checking grants and fences.
    #[options(no_short)]
    unchecked: bool,
    /// How long the server stays cold after its start, in milliseconds.
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
    drain_on_signal(&backend).await?;
    backend.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT, then starts draining.
async fn drain_on_signal(backend: &Backend) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    backend.drain();
    Ok(())
}
