//! Announces the backend server to its host process every 500 ms, and at once when it starts
//! draining.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use model::Millis;

use super::SharedState;

/// The interval between announcements.
const INTERVAL: Millis = Millis(500);

/// The timeout of one announcement.
const TIMEOUT: Millis = Millis(1_000);

/// Announces the server to the host process at `to` until the future is dropped.
pub async fn run(cx: Arc<SharedState>, to: SocketAddr) {
    let client = awc::Client::builder().timeout(TIMEOUT.into()).finish();
    let url = format!("http://{to}/announce");
    loop {
        let announcement = cx.announcement();
        match client.post(&url).send_json(&announcement).await {
            Ok(response) if response.status().is_success() => {}
            Ok(response) => debug!("backend: announcement rejected by {to}: {}", response.status()),
            Err(e) => debug!("backend: announcement to {to} failed: {e}"),
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from(INTERVAL)) => {}
            () = cx.changed.notified() => {}
        }
    }
}
