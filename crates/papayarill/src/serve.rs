//! `papayarill serve`: runs the host process.

use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use host::Settings;
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;

/// Options of `papayarill serve`.
#[derive(Debug, Options)]
pub struct ServeOptions {
    /// print this help
    help: bool,
    /// the settings file, in YAML
    #[options(required, meta = "FILE")]
    settings: PathBuf,
    /// listen address for callers; overrides the settings file
    #[options(meta = "ADDR", no_short)]
    callers: Option<SocketAddr>,
    /// listen address for other host processes; overrides the settings file
    #[options(meta = "ADDR", no_short)]
    hosts: Option<SocketAddr>,
    /// listen address for the backend server; overrides the settings file
    #[options(meta = "ADDR", no_short)]
    backend: Option<SocketAddr>,
    /// listen address for operators; overrides the settings file
    #[options(meta = "ADDR", no_short)]
    operators: Option<SocketAddr>,
}

/// Runs the host process until it is drained.
pub fn run(options: &ServeOptions) -> Result<(), CommandError> {
    let settings = read_settings(options)?;
    actix_rt::System::new().block_on(serve(settings))
}

fn read_settings(options: &ServeOptions) -> Result<Settings, CommandError> {
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

async fn serve(settings: Settings) -> Result<(), CommandError> {
    let running = host::start(settings).await.map_err(|e| e.to_string())?;
    println!("listening {}", running.addresses);
    drain_on_signal(&running)?;
    running.stopped().await;
    Ok(())
}

/// Drains the host process on SIGTERM and SIGINT.
fn drain_on_signal(running: &host::RunningHost) -> Result<(), CommandError> {
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
