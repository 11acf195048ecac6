//! The test backend server follows the protocol with its host process.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use awc::error::{PayloadError, SendRequestError};
use awc::{Client, ClientResponse};
use model::{ManualClock, Millis};
use stand_ins::backend::protocol::{
    ATTEMPT, Announcement, FAULT, FENCE, Grant, Grants, KEY, PARTITION, REJECT_REASON,
    RESPONSE_BYTES, RUN_MS, TIME_LEFT_MS,
};
use stand_ins::backend::{
    Backend, BackendSettings, BackendState, FaultSettings, FenceChecking, Phase, RejectReason,
    RequestInfo, RunOutcome, filler_byte, start,
};

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(test)
}

fn backend() -> Backend {
    start(&BackendSettings::new("alert-dispatch").fences(FenceChecking::Unchecked)).unwrap()
}

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(60)).finish()
}

fn url(to: SocketAddr, path: &str) -> String {
    format!("http://{to}{path}")
}

async fn get(
    to: SocketAddr,
    headers: &[(&'static str, &str)],
) -> Result<(u16, Option<String>, Result<Vec<u8>, PayloadError>), SendRequestError> {
    let mut req = client().get(url(to, "/orders/7"));
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    let mut response = req.send().await?;
    let rejected = response.headers().get(REJECT_REASON).map(|v| v.to_str().unwrap().to_owned());
    let body = response.body().limit(1 << 30).await.map(|b| b.to_vec());
    Ok((response.status().as_u16(), rejected, body))
}

fn request_info(partition: Option<u32>, fence: Option<u64>) -> RequestInfo {
    RequestInfo { partition, fence, ..RequestInfo::default() }
}

fn grants(list: &[(u32, u64)], time_left_ms: u64) -> Grants {
    let grants = list.iter().map(|&(partition, fence)| Grant { partition, fence }).collect();
    Grants { grants, time_left_ms }
}

#[test]
fn requests_run_only_under_a_valid_grant() {
    let check = |fences, request_info: RequestInfo, now, expected: Option<RejectReason>| {
        let mut state = BackendState::new(2, fences, Millis::ZERO);
        state.replace_grants(grants(&[(1, 4)], 100), Millis(0)).unwrap();
        let rejected = state.start(request_info.clone(), Millis(now), 999).err();
        assert_eq!(rejected, expected, "{fences:?} {request_info:?} at {now}");
    };

    check(FenceChecking::Checked, request_info(Some(1), Some(4)), 99, None);
    check(
        FenceChecking::Checked,
        request_info(Some(1), Some(4)),
        100,
        Some(RejectReason::NotGranted),
    );
    check(FenceChecking::Checked, request_info(Some(1), Some(2)), 0, Some(RejectReason::Fence));
    check(FenceChecking::Checked, request_info(Some(1), Some(6)), 0, Some(RejectReason::Fence));
    check(FenceChecking::Checked, request_info(Some(1), None), 0, Some(RejectReason::Fence));
    check(
        FenceChecking::Checked,
        request_info(Some(2), Some(4)),
        0,
        Some(RejectReason::NotGranted),
    );
    check(FenceChecking::Checked, request_info(None, None), 500, None);
    check(FenceChecking::Unchecked, request_info(Some(1), Some(2)), 500, None);
    let late = RequestInfo { time_left: Some(Millis::ZERO), ..RequestInfo::default() };
    check(FenceChecking::Unchecked, late, 0, Some(RejectReason::Deadline));
}

#[test]
fn grants_are_replaced_as_a_whole_and_fences_never_decrease() {
    let check = |next: &[(u32, u64)], expected: Result<(), u32>| {
        let mut state = BackendState::new(2, FenceChecking::Checked, Millis::ZERO);
        state.replace_grants(grants(&[(1, 4), (2, 2)], 100), Millis(0)).unwrap();
        state.replace_grants(grants(&[(2, 2)], 100), Millis(0)).unwrap();
        let found = state.replace_grants(grants(next, 100), Millis(0));
        assert_eq!(found, expected, "{next:?}");
        let old = state.start(request_info(Some(2), Some(2)), Millis(0), 999);
        let still_granted = found.is_err() || next.contains(&(2, 2));
        assert_eq!(old.is_ok(), still_granted, "{next:?}");
    };

    check(&[(1, 4), (2, 2)], Ok(()));
    check(&[(1, 5)], Ok(()));
    check(&[], Ok(()));
    check(&[(1, 3)], Err(1));
    check(&[(2, 2), (2, 4)], Err(2));
}

#[test]
fn full_slots_shedding_and_draining_reject_before_running() {
    let check = |slots, fault_settings: FaultSettings, drain: bool, expected| {
        let mut state = BackendState::new(slots, FenceChecking::Unchecked, Millis::ZERO);
        state.set_fault_settings(fault_settings);
        if drain {
            state.drain();
        }
        let rejected = state.start(RequestInfo::default(), Millis(0), 500).err();
        assert_eq!(rejected, expected);
        assert_eq!(state.runs().len(), usize::from(expected.is_none()));
    };

    check(1, FaultSettings::default(), false, None);
    check(0, FaultSettings::default(), false, Some(RejectReason::Shed));
    check(1, FaultSettings { shed_per_mille: 500, ..FaultSettings::default() }, false, None);
    check(
        1,
        FaultSettings { shed_per_mille: 501, ..FaultSettings::default() },
        false,
        Some(RejectReason::Shed),
    );
    check(1, FaultSettings::default(), true, Some(RejectReason::Draining));
}

#[test]
fn phase_goes_from_cold_to_ready_to_draining() {
    let mut state = BackendState::new(1, FenceChecking::Unchecked, Millis(10));

    let before = (state.phase(Millis(9)), state.phase(Millis(10)));
    state.drain();

    assert_eq!(before, (Phase::Cold, Phase::Ready));
    assert_eq!(state.phase(Millis(9)), Phase::Draining);
}

#[test]
fn response_is_complete_and_names_its_request() {
    run(async {
        let backend = backend();
        let headers = [(KEY, "crew-7"), (ATTEMPT, "9"), (RESPONSE_BYTES, "100000")];

        let (status, _, body) = get(backend.addr(), &headers).await.unwrap();

        let body = body.unwrap();
        let line = body.iter().position(|b| *b == b'\n').unwrap();
        let first: serde_json::Value = serde_json::from_slice(&body[..line]).unwrap();
        assert_eq!((status, body.len()), (200, 100_000));
        assert_eq!((&first["key"], &first["call"]), (&"crew-7".into(), &9.into()));
        assert!((line + 1..body.len()).all(|at| body[at] == filler_byte(at as u64)));
        assert_eq!(backend.runs()[0].end, Some(RunOutcome::Finished));
    });
}

#[test]
fn injected_faults_look_like_real_ones_to_the_client() {
    run(async {
        let backend = backend();

        let rejected = get(backend.addr(), &[(FAULT, "refuse")]).await.unwrap();
        let lost = get(backend.addr(), &[(FAULT, "lose-answer")]).await;
        let broken = get(backend.addr(), &[(FAULT, "break-answer"), (RESPONSE_BYTES, "65536")]);
        let (status, _, body) = broken.await.unwrap();
        let unknown = get(backend.addr(), &[(FAULT, "sulk")]).await.unwrap();

        assert_eq!((rejected.0, rejected.1.as_deref()), (503, Some("shed")));
        assert!(lost.is_err());
        assert_eq!(status, 200);
        // awc 3.11 reports no error for a body that is cut off, so only the length shows it.
        assert!(body.is_err() || body.is_ok_and(|b| b.len() < 65_536));
        assert_eq!(unknown.0, 400);
        assert_eq!(backend.runs().len(), 2, "only the two requests that lost their response ran");
    });
}

#[test]
fn crash_is_recorded_in_the_run_log() {
    run(async {
        let crashes = Arc::new(Mutex::new(0));
        let counter = crashes.clone();
        let on_crash = Arc::new(move || *counter.lock().unwrap() += 1);
        let backend = start(&BackendSettings::new("playlists").on_crash(on_crash)).unwrap();

        get(backend.addr(), &[(FAULT, "crash")]).await.unwrap().2.unwrap();

        assert_eq!(*crashes.lock().unwrap(), 1);
        assert_eq!(backend.runs()[0].end, Some(RunOutcome::Crashed));
    });
}

#[test]
fn run_stops_on_cancellation_or_deadline() {
    run(async {
        let backend = backend();
        let addr = backend.addr();
        let slow = [(ATTEMPT, "7"), (RUN_MS, "3600000")];

        let cancel_once_running = async {
            while backend.runs().is_empty() {
                actix_rt::task::yield_now().await;
            }
            let cancel = serde_json::json!({ "call": 7 });
            let response = client().put(url(addr, "/papayarill/cancel")).send_json(&cancel).await;
            response.unwrap().json::<serde_json::Value>().await.unwrap()
        };
        let (cancelled, reply) = tokio::join!(get(addr, &slow), cancel_once_running);
        let late = get(addr, &[(TIME_LEFT_MS, "1"), (RUN_MS, "3600000")]).await;

        assert_eq!(reply["cancelled"], true);
        assert_eq!((cancelled.unwrap().0, late.unwrap().0), (504, 504));
        assert!(backend.runs().iter().all(|r| r.end == Some(RunOutcome::Cancelled)));
    });
}

async fn put(
    to: SocketAddr,
    path: &str,
    json: &serde_json::Value,
) -> ClientResponse<impl futures_util::Stream<Item = Result<bytes::Bytes, PayloadError>> + use<>> {
    client().put(url(to, path)).send_json(json).await.unwrap()
}

#[test]
fn control_messages_are_validated() {
    run(async {
        let clock = ManualClock::default();
        let settings = BackendSettings::new("index-board").clock(clock.clock());
        let backend = start(&settings).unwrap();
        let addr = backend.addr();
        let list =
            serde_json::json!({ "grants": [{ "partition": 1, "fence": 4 }], "time_left_ms": 9 });
        let older =
            serde_json::json!({ "grants": [{ "partition": 1, "fence": 2 }], "time_left_ms": 9 });
        let keyed = [(PARTITION, "1"), (FENCE, "4")];

        let accepted = put(addr, "/papayarill/grants", &list).await.status();
        let before = get(addr, &keyed).await.unwrap();
        let stale = put(addr, "/papayarill/grants", &older).await.status();
        clock.advance(Millis(9));
        let after = get(addr, &keyed).await.unwrap();
        let malformed =
            put(addr, "/papayarill/grants", &serde_json::json!({ "x": 1 })).await.status();
        let bad_header = get(addr, &[(PARTITION, "one")]).await.unwrap();
        put(addr, "/papayarill/drain", &serde_json::json!({})).await;
        let drained = get(addr, &keyed).await.unwrap();

        assert_eq!((accepted.as_u16(), stale.as_u16(), malformed.as_u16()), (204, 409, 400));
        assert_eq!((before.0, after.0, after.1.as_deref()), (200, 503, Some("not-granted")));
        assert_eq!(bad_header.0, 400);
        assert_eq!((drained.0, drained.1.as_deref()), (503, Some("draining")));
    });
}

#[test]
fn server_announces_itself_to_the_host_process() {
    run(async {
        let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
        let app = move || {
            let tx = tx.clone();
            let receive = move |announcement: web::Json<Announcement>| {
                tx.send(announcement.into_inner()).unwrap();
                async { HttpResponse::NoContent().finish() }
            };
            App::new().route("/announce", web::post().to(receive))
        };
        let server = HttpServer::new(app).workers(1).bind(("127.0.0.1", 0)).unwrap();
        let host = server.addrs()[0];
        actix_rt::spawn(server.run());

        let settings = BackendSettings::new("index-board").slots(18).announce(Some(host));
        let backend = start(&settings).unwrap();
        let first = rx.recv().await.unwrap();
        backend.drain();
        let mut last = first.clone();
        while last.state != Phase::Draining {
            last = rx.recv().await.unwrap();
        }

        assert_eq!(first.addr, backend.addr().to_string());
        assert_eq!(
            (first.slots, first.state, first.fences),
            (18, Phase::Ready, FenceChecking::Checked)
        );
    });
}
