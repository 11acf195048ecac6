//! `papayarill dev`: a small deployment in one process, to try papayarill out.
//!
//! `dev platform` and `dev backend` run one stand-in alone, for a trial with separate processes.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use gumdrop::Options;
use host::{RunningHost, Settings};
use model::{Millis, WriterTag};
use platform::Platform;
use stand_ins::backend::{self, Backend, BackendSettings, Fences};
use tokio::signal::unix::{SignalKind, signal};

use crate::Refusal;

/// The configuration of the trial deployment.
const CONFIG: &str = include_str!("dev.yaml");

/// The service of the trial deployment.
const SERVICE: &str = "board";

/// The availability zones of the trial deployment; each has one host.
const ZONES: [&str; 3] = ["local-a", "local-b", "local-c"];

/// How long the first request may wait for the deployment to come up.
const START_TIME_LIMIT: Duration = Duration::from_secs(20);

/// The pause between two tries of the first request.
const TRY_PAUSE: Duration = Duration::from_millis(100);

/// How long the platform stand-in may take to answer.
const PLATFORM_TIME_LIMIT: Millis = Millis(1_000);

/// Options of `papayarill dev`.
#[derive(Debug, Options)]
pub struct DevOptions {
    /// print this help
    help: bool,
    /// stop after the first request was served
    #[options(no_short)]
    once: bool,
    #[options(command)]
    part: Option<Part>,
}

#[derive(Debug, Options)]
enum Part {
    /// run the platform stand-in alone
    Platform(PlatformOptions),
    /// run a backend server stand-in alone
    Backend(BackendOptions),
}

#[derive(Debug, Options)]
struct PlatformOptions {
    /// print this help
    help: bool,
    /// where to listen
    #[options(no_short, meta = "ADDR", default = "127.0.0.1:0")]
    listen: String,
}

#[derive(Debug, Options)]
struct BackendOptions {
    /// print this help
    help: bool,
    /// the host process to announce to
    #[options(no_short, required, meta = "ADDR")]
    announce: String,
    /// the service
    #[options(no_short, meta = "NAME", default = "board")]
    service: String,
    /// requests that run at a time
    #[options(no_short, meta = "N", default = "6")]
    slots: u32,
    /// run whatever is sent, without a look at fences
    #[options(no_short)]
    unchecked: bool,
}

/// Runs the trial deployment, or one part of it, until interrupted.
pub fn run(options: &DevOptions) -> Result<(), Refusal> {
    let system = actix_rt::System::new();
    match &options.part {
        None => system.block_on(all(options)),
        Some(Part::Platform(part)) => system.block_on(platform_alone(part)),
        Some(Part::Backend(part)) => system.block_on(backend_alone(part)),
    }
}

async fn platform_alone(options: &PlatformOptions) -> Result<(), Refusal> {
    let addr = start_platform(parse_addr(&options.listen)?)?;
    println!("listening {addr}");
    interrupted().await
}

async fn backend_alone(options: &BackendOptions) -> Result<(), Refusal> {
    let fences = if options.unchecked { Fences::Unchecked } else { Fences::Checked };
    let settings = BackendSettings::new(&options.service)
        .announce(Some(parse_addr(&options.announce)?))
        .slots(options.slots)
        .fences(fences);
    let backend = backend::start(&settings).map_err(|e| e.to_string())?;
    println!("listening {}", backend.addr());
    interrupted().await?;
    backend.drain();
    backend.stop().await;
    Ok(())
}

fn parse_addr(text: &str) -> Result<SocketAddr, Refusal> {
    text.parse().map_err(|_| format!("found {text:?}, expected an IP number and a port"))
}

fn start_platform(addr: SocketAddr) -> Result<SocketAddr, Refusal> {
    let listener = TcpListener::bind(addr).map_err(|e| format!("cannot listen on {addr}: {e}"))?;
    let addr = listener.local_addr().map_err(|e| e.to_string())?;
    stand_ins::platform::start(listener).map_err(|e| e.to_string())?;
    Ok(addr)
}

/// One host of the trial deployment.
struct DevHost {
    running: RunningHost,
    backend: Backend,
}

async fn all(options: &DevOptions) -> Result<(), Refusal> {
    let platform = start_platform(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    apply_config(platform).await?;
    let mut hosts = Vec::new();
    for zone in ZONES {
        hosts.push(start_host(platform, zone).await?);
    }
    let callers = hosts[0].running.addresses.callers;
    let answer = first_request(callers).await?;
    print_hints(&hosts, platform, &answer);
    if options.once {
        return Ok(());
    }
    // A host that is drained stops like a process of its own, with its backend server.
    for host in hosts {
        actix_rt::spawn(async move {
            host.running.stopped().await;
            host.backend.stop().await;
        });
    }
    interrupted().await
}

async fn apply_config(platform: SocketAddr) -> Result<(), Refusal> {
    let client = Platform::new(platform, PLATFORM_TIME_LIMIT);
    let applied = client.apply_config(None, CONFIG, WriterTag(1)).await;
    applied.map(|_| ()).map_err(|e| e.to_string())
}

async fn start_host(platform: SocketAddr, zone: &str) -> Result<DevHost, Refusal> {
    let text = format!("zone: {zone}\nservice: {SERVICE}\nplatform: {platform}\n");
    let settings = Settings::parse(&text).map_err(|e| e.to_string())?;
    let running = host::start(settings).await.map_err(|e| e.to_string())?;
    let announce = Some(running.addresses.backend);
    let settings = BackendSettings::new(SERVICE).announce(announce);
    let backend = backend::start(&settings).map_err(|e| e.to_string())?;
    Ok(DevHost { running, backend })
}

/// What the first request showed.
struct FirstAnswer {
    status: u16,
    owner: String,
}

async fn first_request(callers: SocketAddr) -> Result<FirstAnswer, Refusal> {
    let client = awc::Client::default();
    let url = format!("http://{callers}/{SERVICE}/keys/kp-index");
    let tries = async {
        loop {
            if let Ok(answer) = client.get(&url).send().await
                && answer.status().is_success()
            {
                let owner = answer.headers().get("papayarill-owner");
                let owner = owner.and_then(|v| v.to_str().ok()).unwrap_or("nobody").to_owned();
                return FirstAnswer { status: answer.status().as_u16(), owner };
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
    };
    let served = tokio::time::timeout(START_TIME_LIMIT, tries).await;
    served.map_err(|_| "the deployment did not come up in time".to_owned())
}

fn print_hints(hosts: &[DevHost], platform: SocketAddr, answer: &FirstAnswer) {
    let first = &hosts[0].running.addresses;
    let FirstAnswer { status, owner } = answer;
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

async fn interrupted() -> Result<(), Refusal> {
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
