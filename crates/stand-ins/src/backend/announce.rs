//! Tells the host process twice a second that the backend server is there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::debug;
use model::Millis;

use super::SharedState;

/// The time between two announcements.
const INTERVAL: Millis = Millis(500);

/// The time for one announcement.
const TIME_LIMIT: Millis = Millis(1_000);

/// Announces the server to the host process at `to` until the future is dropped.
pub async fn run(cx: Arc<SharedState>, to: SocketAddr) {
    let client = awc::Client::builder().timeout(TIME_LIMIT.into()).finish();
    let url = format!("http://{to}/announce");
    loop {
        let announcement = cx.announcement();
        match client.post(&url).send_json(&announcement).await {
            Ok(answer) if answer.status().is_success() => {}
            Ok(answer) => debug!("backend: {to} refused to take note: {}", answer.status()),
            Err(e) => debug!("backend: {to} was not told: {e}"),
        }
        tokio::select! {
            () = tokio::time::sleep(Duration::from(INTERVAL)) => {}
            () = cx.changed.notified() => {}
        }
    }
}
