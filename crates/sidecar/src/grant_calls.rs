//! Calls that grant keys to the backend server of this host and take them back, for services whose
//! heartbeats don't carry grants.

use std::rc::Rc;
use std::time::Duration;

use http1::SendError;
use log::{info, warn};
use mesh::{GrantCall, GrantCallId, GrantCallOutcome, GrantDelivery};
use model::Millis;
use tokio::time::timeout;

use crate::state::Cx;

/// Due calls are looked for at least this often: several times while a backend server restarts.
const CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The same on hosts that send no calls.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a grant. The backend server is on this host and replies at once.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a release, which is answered when the work that is running on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// A grant that could not be sent within this time is dropped: it would end later than planned.
const MAX_SEND_DELAY: Millis = Millis(50);

/// Sends the calls that are due until the process ends.
pub async fn deliver_grants(cx: Rc<Cx>) {
    loop {
        let interval = match cx.grant_delivery() {
            GrantDelivery::Call => CHECK_INTERVAL,
            GrantDelivery::HeartbeatReply => IDLE_CHECK_INTERVAL,
        };
        // A timeout and a notification lead to the same work.
        let _ = timeout(interval, cx.grants_due.notified()).await;
        let delivery = cx.grant_delivery();
        let now = cx.now();
        let connected = cx.grant_client.has_open_connection();
        let calls = {
            let ownership = &mut cx.state.borrow_mut().ownership;
            ownership.set_grant_delivery(delivery, now);
            match delivery {
                GrantDelivery::Call => ownership.next_grant_calls(connected, now),
                GrantDelivery::HeartbeatReply => Vec::new(),
            }
        };
        for (id, call) in calls {
            actix_rt::spawn(send_call(cx.clone(), id, call, now));
        }
    }
}

async fn send_call(cx: Rc<Cx>, id: GrantCallId, call: GrantCall, planned_at: Millis) {
    let outcome = exchange(&cx, id, &call, planned_at).await;
    log_outcome(&call, &outcome);
    let kind = if call.is_release() { "release" } else { "grant" };
    metrics::counter!("papayarill_grant_calls", "kind" => kind, "end" => outcome_name(&outcome))
        .increment(1);
    let sent = outcome != GrantCallOutcome::NotSent;
    cx.state.borrow_mut().ownership.grant_call_finished(id, outcome, cx.now());
    if sent {
        cx.grants_due.notify_one();
        cx.changed.notify_waiters();
        cx.ownership_due.notify_one();
    }
}

async fn exchange(
    cx: &Cx,
    id: GrantCallId,
    call: &GrantCall,
    planned_at: Millis,
) -> GrantCallOutcome {
    let req = match adapter::grant_call_request(call) {
        Ok(req) => req,
        Err(e) => {
            warn!("event=grant-call-malformed error={:?}", e.to_string());
            return GrantCallOutcome::NotSent;
        }
    };
    let limit = if call.is_release() { RELEASE_TIMEOUT } else { GRANT_TIMEOUT };
    // The task may run late, after the process was suspended or the backend server restarted.
    let late = cx.now().since(planned_at) > MAX_SEND_DELAY;
    if late || !cx.state.borrow().ownership.is_grant_call_pending(id) {
        return GrantCallOutcome::NotSent;
    }
    let may_open = || cx.state.borrow().ownership.may_connect_for(id, cx.now());
    match timeout(limit, cx.grant_client.send_if(req, may_open)).await {
        Ok(Ok(response)) => adapter::grant_call_outcome(&response),
        Ok(Err(SendError::NotSent { .. })) => GrantCallOutcome::NotSent,
        Ok(Err(SendError::Unknown { .. })) | Err(_) => GrantCallOutcome::Unknown,
    }
}

fn log_outcome(call: &GrantCall, outcome: &GrantCallOutcome) {
    let mesh::HeldRange { from, to, fence } = call.range();
    let kind = if call.is_release() { "release" } else { "grant" };
    match outcome {
        GrantCallOutcome::Done { handover } if call.is_release() => {
            info!("event=keys-released from={from} to={to} fence={fence} handover={handover:?}");
        }
        GrantCallOutcome::Done { .. } => {
            log::debug!("event=keys-granted from={from} to={to} fence={fence}");
        }
        GrantCallOutcome::NotSent => {
            log::debug!("event=grant-call-not-sent kind={kind} from={from} to={to}");
        }
        GrantCallOutcome::HigherFence | GrantCallOutcome::Rejected | GrantCallOutcome::Unknown => {
            let why = outcome_name(outcome);
            info!(
                "event=grant-call-failed kind={kind} from={from} to={to} fence={fence} why={why}"
            );
        }
    }
}

fn outcome_name(outcome: &GrantCallOutcome) -> &'static str {
    match outcome {
        GrantCallOutcome::Done { .. } => "done",
        GrantCallOutcome::HigherFence => "higher-fence",
        GrantCallOutcome::Rejected => "rejected",
        GrantCallOutcome::NotSent => "not-sent",
        GrantCallOutcome::Unknown => "unknown",
    }
}
