//! Start and planned stop of the process.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use metrics_exporter_prometheus::PrometheusBuilder;
use model::Millis;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::settings::{Settings, SettingsError};
use crate::state::Cx;
use crate::{key_ownership, listeners, relay, rpc, store_watch};

/// The platform asks each second and gives a process no new work after two misses; requests that
/// come until then are still served.
const READINESS_GRACE: Millis = Millis(2_300);

/// The last part of the time to stop, in which nothing is waited for.
const STOP_MARGIN: Millis = Millis(600);

/// Requests that crossed the word that this process closes are still answered for this: two ways
/// between regions and the time to read the word.
const GOAWAY_GRACE: Millis = Millis(150);

/// The thread that writes log lines gets this long for the last ones.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Removing the own row may take this long at a planned stop.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// What is wrong.
        source: SettingsError,
    },
    /// A listener can't be opened.
    #[snafu(display("listen.{name}: {source}"))]
    Listen {
        /// The listener.
        name: &'static str,
        /// What the system says.
        source: std::io::Error,
    },
    /// Signals can't be handled.
    #[snafu(display("no signal handler: {source}"))]
    Signal {
        /// What the system says.
        source: std::io::Error,
    },
    /// Metrics can't be recorded.
    #[snafu(display("no metrics: {source}"))]
    Metrics {
        /// What the library says.
        source: metrics_exporter_prometheus::BuildError,
    },
}

/// Runs the process with settings in YAML until it is told to stop.
pub async fn run(
    text: &str,
    read_settings: impl Fn() -> Result<String, String>,
) -> Result<(), StartError> {
    let settings = Settings::parse(text).context(SettingsSnafu)?;
    let handle = PrometheusBuilder::new().install_recorder().context(MetricsSnafu)?;
    let listen = settings.listen;
    let open = async |name, address| TcpListener::bind(address).await.context(ListenSnafu { name });
    let callers = open("callers", listen.callers).await?;
    let hosts = open("hosts", listen.hosts).await?;
    let ready = open("ready", listen.ready).await?;
    let backend = open("backend", listen.backend).await?;
    let metrics = open("metrics", listen.metrics).await?;
    let mut term = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut hup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    let cx = Cx::new(settings);
    info!(
        "event=start host={} service={} zone={} process={:x} version={}",
        cx.settings.host,
        cx.settings.service,
        cx.settings.zone,
        cx.process,
        env!("CARGO_PKG_VERSION")
    );
    actix_rt::spawn(listeners::listen(cx.clone(), "callers", callers, listeners::handle_caller));
    actix_rt::spawn(listeners::listen(cx.clone(), "ready", ready, listeners::handle_ready));
    actix_rt::spawn(listeners::listen(
        cx.clone(),
        "backend",
        backend,
        listeners::handle_registry_call,
    ));
    actix_rt::spawn(listeners::listen(
        cx.clone(),
        "metrics",
        metrics,
        listeners::metrics_handler(handle),
    ));
    actix_rt::spawn(rpc::listen(cx.clone(), hosts));
    actix_rt::spawn(store_watch::watch_config(cx.clone()));
    actix_rt::spawn(store_watch::watch_fleet(cx.clone()));
    actix_rt::spawn(relay::pull_changes(cx.clone()));
    actix_rt::spawn(store_watch::register_host(cx.clone()));
    actix_rt::spawn(key_ownership::run_keeper(cx.clone()));
    actix_rt::spawn(key_ownership::ask_witnesses(cx.clone()));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(&cx, read_settings()),
        }
    }
    stop(&cx).await;
    Ok(())
}

/// Settings name addresses and places, which a running process can't change; others are rare
/// enough to wait for the next start.
fn reload(cx: &Cx, text: Result<String, String>) {
    match text.map(|t| Settings::parse(&t)) {
        Ok(Ok(settings)) if settings == cx.settings => info!("event=reload changed=false"),
        Ok(Ok(_)) => warn!("event=reload changed=true effect=at-next-start"),
        Ok(Err(e)) => warn!("event=reload-refused error={:?}", e.to_string()),
        Err(e) => warn!("event=reload-refused error={e:?}"),
    }
}

async fn stop(cx: &Rc<Cx>) {
    let began = cx.now();
    let serving = cx.state.borrow().keeper.serving();
    info!("event=stop under_way={} backend_serving={serving}", cx.in_flight.get());
    cx.stopping.set(true);
    if !serving {
        // The host leaves with its backend server; others need not find out by failing.
        match timeout(DEREGISTER_TIMEOUT, cx.store.deregister_host(cx.me)).await {
            Ok(Ok(())) => info!("event=withdrawn host={}", cx.me),
            Ok(Err(e)) => warn!("event=withdraw-failed error={:?}", e.to_string()),
            Err(_) => warn!("event=withdraw-failed error=late"),
        }
    }
    let last = Millis(cx.settings.stop_ms).since(STOP_MARGIN);
    let mut closed_at = None;
    loop {
        let now = cx.now();
        let span = now.since(began);
        if span >= READINESS_GRACE {
            closed_at.get_or_insert(now);
            cx.rejecting.set(true);
            cx.close_connections.notify_waiters();
        }
        let running = cx.state.borrow().queue.running();
        let quiet = cx.in_flight.get() == 0 && running == 0;
        let goaway_delivered = closed_at.is_some_and(|at| now.since(at) >= GOAWAY_GRACE);
        if quiet && goaway_delivered || span >= last {
            break;
        }
        sleep(Duration::from_millis(30)).await;
    }
    info!("event=stopped under_way={} took_ms={}", cx.in_flight.get(), cx.now().since(began));
    sleep(LOG_FLUSH_DELAY).await;
}
