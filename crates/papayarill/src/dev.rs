//! `papayarill dev`: runs a small deployment in one process, to try out papayarill.
//!
//! `dev platform` and `dev backend` run a single stand-in, for test deployments of separate
//! processes.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use gumdrop::Options;
use host::{RunningHost, Settings};
use model::{Millis, WriterTag};
use platform::PlatformClient;
use stand_ins::backend::{self, Backend, BackendSettings, FenceChecking};
use tokio::signal::unix::{SignalKind, signal};

use crate::CommandError;

/// The configuration of the demo deployment.
const CONFIG: &str = include_str!("dev.yaml");

/// The service of the demo deployment.
const SERVICE: &str = "board";

/// The availability zones of the demo deployment; each has one host.
const ZONES: [&str; 3] = ["local-a", "local-b", "local-c"];

/// How long the deployment may take until it serves the first request.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval between attempts of the first request.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The time limit of a request to the platform stand-in.
const PLATFORM_TIMEOUT: Millis = Millis(1_000);

/// Options of `papayarill dev`.
#[derive(Debug, Options)]
pub struct DevOptions {
    /// print this help
    help: bool,
    /// stop after serving the first request
    #[options(no_short)]
    once: bool,
    #[options(command)]
    component: Option<Component>,
}

#[derive(Debug, Options)]
enum Component {
    /// run only the platform stand-in
    Platform(PlatformOptions),
    /// run only a backend server stand-in
    Backend(BackendOptions),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    /// print this help
    help: bool,
    /// the address to listen on
    #[options(no_short, meta = "ADDR", default = "127.0.0.1:0")]
    listen: String,
}

#[derive(Debug, Options)]
struct BackendOptions {
    /// print this help
    help: bool,
    /// the host process that the backend server announces itself to
    #[options(no_short, required, meta = "ADDR")]
    announce: String,
    /// the name of the service
    #[options(no_short, meta = "NAME", default = "board")]
    service: String,
    /// the maximum number of requests that run concurrently
    #[options(no_short, meta = "N", default = "6")]
    slots: u32,
    /// run every request without checking its fencing token
    #[options(no_short)]
    unchecked: bool,
}

/// Runs the demo deployment, or one component of it, until interrupted.
pub fn run(options: &DevOptions) -> Result<(), CommandError> {
    let system = actix_rt::System::new();
    match &options.component {
        None => system.block_on(run_deployment(options)),
        Some(Component::Platform(options)) => system.block_on(run_platform(options)),
        Some(Component::Backend(options)) => system.block_on(run_backend(options)),
    }
}

async fn run_platform(options: &PlatformOptions) -> Result<(), CommandError> {
    let addr = start_platform(parse_addr(&options.listen)?)?;
    println!("listening {addr}");
    wait_for_interrupt().await
}

async fn run_backend(options: &BackendOptions) -> Result<(), CommandError> {
    let fences = if options.unchecked { FenceChecking::Unchecked } else { FenceChecking::Checked };
    let settings = BackendSettings::new(&options.service)
        .announce(Some(parse_addr(&options.announce)?))
        .slots(options.slots)
        .fences(fences);
    let backend = backend::start(&settings).map_err(|e| e.to_string())?;
    println!("listening {}", backend.addr());
    wait_for_interrupt().await?;
    backend.drain();
    backend.stop().await;
    Ok(())
}

fn parse_addr(text: &str) -> Result<SocketAddr, CommandError> {
    text.parse().map_err(|_| format!("found {text:?}, expected an IP address and a port"))
}

fn start_platform(addr: SocketAddr) -> Result<SocketAddr, CommandError> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("cannot listen on {addr}: {e}"))?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    stand_ins::platform::start(listener).map_err(|e| e.to_string())?;
    Ok(addr)
}

/// One host of the demo deployment.
struct DevHost {
    running: RunningHost,
    backend: Backend,
}

async fn run_deployment(options: &DevOptions) -> Result<(), CommandError> {
    let platform = start_platform(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    apply_config(platform).await?;
    let mut hosts = Vec::new();
    for zone in ZONES {
        hosts.push(start_host(platform, zone).await?);
    }
    let callers = hosts[0].running.addresses.callers;
    let res = first_request(callers).await?;
    print_instructions(&hosts, platform, &res);
    if options.once {
        return Ok(());
    }
    // A drained host stops as a separate process would, and its backend server stops with it.
    for host in hosts {
        actix_rt::spawn(async move {
            host.running.stopped().await;
            host.backend.stop().await;
        });
    }
    wait_for_interrupt().await
}

async fn apply_config(platform: SocketAddr) -> Result<(), CommandError> {
    let client = PlatformClient::new(platform, PLATFORM_TIMEOUT);
    let applied = client.apply_config(None, CONFIG, WriterTag(1)).await;
    applied.map(|_| ()).map_err(|e| e.to_string())
}

async fn start_host(platform: SocketAddr, zone: &str) -> Result<DevHost, CommandError> {
    let text = format!("zone: {zone}\nservice: {SERVICE}\nplatform: {platform}\n");
    let settings = Settings::parse(&text).map_err(|e| e.to_string())?;
    let running = host::start(settings).await.map_err(|e| e.to_string())?;
    let announce = Some(running.addresses.backend);
    let settings = BackendSettings::new(SERVICE).announce(announce);
    let backend = backend::start(&settings).map_err(|e| e.to_string())?;
    Ok(DevHost { running, backend })
}

/// The response to the first request.
struct FirstResponse {
    status: u16,
    owner: String,
}

async fn first_request(callers: SocketAddr) -> Result<FirstResponse, CommandError> {
    let client = awc::Client::default();
    let url = format!("http://{callers}/{SERVICE}/keys/kp-index");
    let attempts = async {
        loop {
            if let Ok(res) = client.get(&url).send().await
                && res.status().is_success()
            {
                let owner = res.headers().get("papayarill-owner");
                let owner = owner.and_then(|v| v.to_str().ok()).unwrap_or("nobody").to_owned();
                return FirstResponse { status: res.status().as_u16(), owner };
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    };
    let result = tokio::time::timeout(STARTUP_TIMEOUT, attempts).await;
    result.map_err(|_| "no request was served within the startup timeout".to_owned())
}

fn print_instructions(hosts: &[DevHost], platform: SocketAddr, res: &FirstResponse) {
    let first = &hosts[0].running.addresses;
    let FirstResponse { status, owner } = res;
    println!("platform stand-in {platform}");
    for host in hosts {
        println!("host process {}, backend server {}", host.running.addresses, host.backend.addr());
    }
    println!("GET /{SERVICE}/keys/kp-index was answered with {status}; its owner is {owner}.");
    println!("\nTry, in another shell:");
    println!("  curl -i http://{}/{SERVICE}/keys/kp-index", first.callers);
    println!("  papayarill status --host {}", first.operators);
    println!("  papayarill explain --host {} --service {SERVICE} --key kp-index", first.operators);
    println!("  papayarill drain --host {}", first.operators);
}

async fn wait_for_interrupt() -> Result<(), CommandError> {
    let signals = [SignalKind::interrupt(), SignalKind::terminate()].map(signal);
    let [interrupt, terminate] = signals;
    let mut interrupt = interrupt.map_err(|e| format!("no signal handler: {e}"))?;
    let mut terminate = terminate.map_err(|e| format!("no signal handler: {e}"))?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
