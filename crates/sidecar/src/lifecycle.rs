//! Startup and graceful shutdown of the process.

use std::rc::Rc;
use std::time::Duration;

use log::{info, warn};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use model::Millis;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use crate::settings::{Settings, SettingsError};
use crate::state::Cx;
use crate::{
    cold_start, departures, grant_calls, key_ownership, listeners, relay, renewals, rollback, rpc,
    store_watch,
};

/// The platform checks readiness every second and assigns a process no new work after two failed
/// checks; requests that arrive until then are still served.
const READINESS_GRACE: Millis = Millis(2_300);

/// The last part of the shutdown time, in which nothing is waited for any more.
const STOP_MARGIN: Millis = Millis(600);

/// How long requests are still served that were sent before their host received the GOAWAY: one
/// round trip between regions and the time to process the frame.
const GOAWAY_GRACE: Millis = Millis(150);

/// Time for the log thread to write the last lines.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(20);

/// Interval between summaries of the samples of histograms.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Timeout for removing this host's row during a graceful shutdown.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the process can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// The error in the settings.
        source: SettingsError,
    },
    /// A listener can't be opened.
    #[snafu(display("listen.{name}: {source}"))]
    Listen {
        /// The name of the listener.
        name: &'static str,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Signal handlers can't be installed.
    #[snafu(display("cannot install signal handlers: {source}"))]
    Signal {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The metrics recorder can't be installed.
    #[snafu(display("cannot install the metrics recorder: {source}"))]
    Metrics {
        /// The error of the metrics library.
        source: metrics_exporter_prometheus::BuildError,
    },
}

/// Runs the process with settings in YAML until it receives SIGTERM.
pub async fn run(
    text: &str,
    read_settings: impl Fn() -> Result<String, String>,
) -> Result<(), StartError> {
    let settings = Settings::parse(text).context(SettingsSnafu)?;
    let handle = PrometheusBuilder::new().install_recorder().context(MetricsSnafu)?;
    let listen = settings.listen;
    let open = async |name, address| TcpListener::bind(address).await.context(ListenSnafu { name });
    let caller_listener = open("callers", listen.callers).await?;
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
    actix_rt::spawn(maintain_metrics(handle.clone(), METRICS_UPKEEP_INTERVAL));
    actix_rt::spawn(cx.memory.clone().close_stalled_holders());
    actix_rt::spawn(listeners::listen_for_callers(cx.clone(), caller_listener));
    actix_rt::spawn(listeners::listen(cx.clone(), |c| &c.ready, ready, listeners::handle_ready));
    actix_rt::spawn(listeners::listen(
        cx.clone(),
        |c| &c.backend,
        backend,
        listeners::handle_registry_call,
    ));
    actix_rt::spawn(listeners::listen(
        cx.clone(),
        |c| &c.metrics,
        metrics,
        listeners::metrics_handler(handle),
    ));
    actix_rt::spawn(rpc::listen(cx.clone(), hosts));
    actix_rt::spawn(rollback::watch_era(cx.clone()));
    actix_rt::spawn(store_watch::watch_config(cx.clone()));
    actix_rt::spawn(store_watch::watch_fleet(cx.clone()));
    actix_rt::spawn(relay::pull_changes(cx.clone()));
    actix_rt::spawn(store_watch::register_host(cx.clone()));
    actix_rt::spawn(departures::record_departures(cx.clone()));
    actix_rt::spawn(key_ownership::maintain_ownership(cx.clone()));
    actix_rt::spawn(key_ownership::ask_witnesses(cx.clone()));
    actix_rt::spawn(renewals::write_batches(cx.clone()));
    actix_rt::spawn(grant_calls::deliver_grants(cx.clone()));
    actix_rt::spawn(cold_start::start_held_back(cx.clone()));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => reload(&cx, read_settings()),
        }
    }
    stop(&cx).await;
    Ok(())
}

/// Summarizes the recorded samples at this interval until the process ends. Otherwise the recorder
/// keeps each sample until the metrics are read.
pub async fn maintain_metrics(handle: PrometheusHandle, interval: Duration) {
    loop {
        sleep(interval).await;
        handle.run_upkeep();
    }
}

/// The settings contain addresses and the location of the host, which a running process can't
/// change. The others change so rarely that they take effect at the next start.
fn reload(cx: &Cx, text: Result<String, String>) {
    match text.map(|t| Settings::parse(&t)) {
        Ok(Ok(settings)) if settings == cx.settings => info!("event=reload changed=false"),
        Ok(Ok(_)) => warn!("event=reload changed=true effect=at-next-start"),
        Ok(Err(e)) => warn!("event=reload-refused error={:?}", e.to_string()),
        Err(e) => warn!("event=reload-refused error={e:?}"),
    }
}

async fn stop(cx: &Rc<Cx>) {
    let started_at = cx.now();
    let serving = cx.state.borrow().ownership.backend_serving();
    info!("event=stop under_way={} backend_serving={serving}", cx.in_flight.get());
    cx.stopping.set(true);
    if !serving {
        // The backend server has left, so this host leaves too; other hosts should not learn that
        // from failed requests.
        match timeout(DEREGISTER_TIMEOUT, cx.store.deregister_host(cx.me)).await {
            Ok(Ok(())) => info!("event=host-deregistered host={}", cx.me),
            Ok(Err(e)) => warn!("event=deregister-failed error={:?}", e.to_string()),
            Err(_) => warn!("event=deregister-failed error=late"),
        }
    }
    let time_limit = Millis(cx.settings.stop_ms).since(STOP_MARGIN);
    let mut closed_at = None;
    loop {
        let now = cx.now();
        let elapsed = now.since(started_at);
        if elapsed >= READINESS_GRACE {
            closed_at.get_or_insert(now);
            cx.rejecting.set(true);
            cx.close_connections.notify_waiters();
        }
        let running = cx.state.borrow().queue.running();
        let idle = cx.in_flight.get() == 0 && running == 0 && cx.writing.get() == 0;
        let goaway_delivered = closed_at.is_some_and(|at| now.since(at) >= GOAWAY_GRACE);
        if idle && goaway_delivered || elapsed >= time_limit {
            break;
        }
        sleep(Duration::from_millis(30)).await;
    }
    info!(
        "event=stopped under_way={} writing={} took_ms={}",
        cx.in_flight.get(),
        cx.writing.get(),
        cx.now().since(started_at)
    );
    sleep(LOG_FLUSH_DELAY).await;
}
