//! `papayarill serve`: the host process.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use host::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::Refusal;

/// Options of `papayarill serve`.
#[derive(Debug, Options)]
pub struct ServeOptions {
    /// print this help
    help: bool,
    /// the settings file, in YAML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// listen here for callers, whatever the settings say
    #[options(meta = "ADDR", no_short)]
    callers: Option<SocketAddr>,
    /// listen here for other host processes
    #[options(meta = "ADDR", no_short)]
    hosts: Option<SocketAddr>,
    /// listen here for the backend server
    #[options(meta = "ADDR", no_short)]
    backend: Option<SocketAddr>,
    /// listen here for operators
    #[options(meta = "ADDR", no_short)]
    operators: Option<SocketAddr>,
}

/// Runs the host process until it is told to stop.
pub fn run(options: &ServeOptions) -> Result<(), Refusal> {
    let settings = read_settings(options)?;
    actix_rt::System::new().block_on(serve(settings))
}

fn read_settings(options: &ServeOptions) -> Result<Settings, Refusal> {
    let path = options.settings.display();
    let text = std::fs::read_to_string(&options.settings)
        .map_err(|e| format!("{path} cannot be read: {e}"))?;
    let mut settings = Settings::parse(&text).map_err(|e| format!("{path}: {e}"))?;
    let listen = &mut settings.listen;
    listen.callers = options.callers.unwrap_or(listen.callers);
    listen.hosts = options.hosts.unwrap_or(listen.hosts);
    listen.backend = options.backend.unwrap_or(listen.backend);
    listen.operators = options.operators.unwrap_or(listen.operators);
    Ok(settings)
}

async fn serve(settings: Settings) -> Result<(), Refusal> {
    let running = host::start(settings).await.map_err(|e| e.to_string())?;
    println!("listening {}", running.addresses);
    drain_on_signal(&running)?;
    running.stopped().await;
    Ok(())
}

/// SIGTERM and SIGINT are planned stops.
fn drain_on_signal(running: &host::RunningHost) -> Result<(), Refusal> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut signals = signal(kind).map_err(|e| format!("no signal handler: {e}"))?;
        let drain = running.drain_handle();
        actix_rt::spawn(async move {
            while signals.recv().await.is_some() {
                drain.begin();
            }
        });
    }
    Ok(())
}
