//! Request handling: admission, simulated work, injected faults and the response.

use std::net::TcpStream;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::body::SizedStream;
use actix_web::{HttpRequest, HttpResponse, web};
use bytes::Bytes;
use futures_util::stream;
use model::Millis;
use rand::Rng;
use tokio::time::sleep;

use super::SharedState;
use super::protocol::{
    ATTEMPT, CHUNK_MS, FAULT, FENCE, KEY, PARTITION, REJECT_REASON, REQUEST_ID, RESPONSE_BYTES,
    RUN_MS, RunOutcome, TIME_LEFT_MS,
};
use super::state::{RejectReason, RequestInfo, StartedRun};

/// The size of one chunk of a response body, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// How many times longer a run takes on a cold server.
const COLD_SLOWDOWN: u64 = 4;

/// The filler repeats after this many bytes. The number is a prime, so that a missing or
/// duplicated chunk shifts the pattern and is noticed.
const FILLER_PERIOD: usize = 23;

/// The fault that a request injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Crash,
    TruncateResponse,
    DropResponse,
    Reject,
}

/// How to run a request, as its headers ask for.
struct ExecutionParams {
    run_time: Millis,
    response_bytes: Option<usize>,
    chunk_interval: Millis,
    fault: Option<Fault>,
}

/// Ends the run when it is dropped, so that a run whose future is dropped frees its slot.
struct RunGuard {
    cx: web::Data<SharedState>,
    run: usize,
}

impl RunGuard {
    fn end(&self, end: RunOutcome) {
        let now = self.cx.clock.now();
        self.cx.state().end(self.run, end, now);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(RunOutcome::Cancelled);
    }
}

/// Returns the filler byte at `offset` of a response body.
pub fn filler_byte(offset: u64) -> u8 {
    let step = u8::try_from(offset % FILLER_PERIOD as u64).unwrap_or(0);
    b'a' + step
}

/// Returns enough filler to slice a chunk for any offset from it.
pub(super) fn filler_block() -> Bytes {
    (0..(CHUNK_BYTES + FILLER_PERIOD) as u64).map(filler_byte).collect()
}

/// Handles every request that is not for a control or test endpoint.
pub async fn handle(cx: web::Data<SharedState>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let parsed =
        parse_request_info(&req).and_then(|info| Ok((info, parse_execution_params(&req)?)));
    let (info, params) = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return HttpResponse::BadRequest().body(reason),
    };
    if params.fault == Some(Fault::Reject) {
        return reject_response(RejectReason::Shed);
    }
    let draw = rand::rng().random_range(0..1_000);
    let now = cx.clock.now();
    let started = cx.state().start(info.clone(), now, draw);
    match started {
        Ok(started) => run(cx, &req, &info, &params, started, body.len()).await,
        Err(reason) => reject_response(reason),
    }
}

fn reject_response(reason: RejectReason) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header((REJECT_REASON, reason.as_str())).finish()
}

async fn run(
    cx: web::Data<SharedState>,
    req: &HttpRequest,
    info: &RequestInfo,
    params: &ExecutionParams,
    started: StartedRun,
    body_bytes: usize,
) -> HttpResponse {
    let guard = RunGuard { cx: cx.clone(), run: started.run };
    if params.fault == Some(Fault::Crash) {
        guard.end(RunOutcome::Crashed);
        (cx.on_crash)();
    }
    let time_limit = info.time_left.map_or(Duration::MAX, Duration::from);
    tokio::select! {
        biased;
        () = started.cancelled.notified() => return interrupted_response("cancelled"),
        () = sleep(time_limit) => return interrupted_response("deadline"),
        () = sleep(run_time(&cx, params).into()) => {}
    }
    guard.end(RunOutcome::Finished);
    if params.fault == Some(Fault::DropResponse) {
        close_connection(req);
        return HttpResponse::Ok().finish();
    }
    build_response(&cx, info, params, started.run, body_bytes)
}

fn run_time(cx: &SharedState, params: &ExecutionParams) -> Millis {
    let now = cx.clock.now();
    let state = cx.state();
    let factor = match state.phase(now) {
        super::Phase::Cold => COLD_SLOWDOWN,
        super::Phase::Ready | super::Phase::Draining => 1,
    };
    Millis(params.run_time.0.saturating_mul(factor)) + Millis(state.fault_settings().slow_ms)
}

/// Returns the response to a request that was stopped while it ran.
fn interrupted_response(why: &'static str) -> HttpResponse {
    HttpResponse::GatewayTimeout().insert_header(("stand-in-ended", why)).finish()
}

/// Shuts down the socket below actix, so that the response is lost.
fn close_connection(req: &HttpRequest) {
    if let Some(io) = req.conn_data::<Arc<TcpStream>>()
        && let Err(e) = io.shutdown(std::net::Shutdown::Both)
    {
        log::warn!("backend: cannot shut down the connection: {e}");
    }
}

fn build_response(
    cx: &SharedState,
    info: &RequestInfo,
    params: &ExecutionParams,
    run: usize,
    body_bytes: usize,
) -> HttpResponse {
    let mut first_line = serde_json::json!({
        "server": cx.addr.to_string(),
        "key": info.key,
        "partition": info.partition,
        "fence": info.fence,
        "request_id": info.request_id,
        "call": info.call,
        "run": run,
        "body_bytes": body_bytes,
    })
    .to_string();
    first_line.push('\n');
    let size = params.response_bytes.unwrap_or(0).max(first_line.len());
    let stream_state = ResponseStream {
        first_line: Bytes::from(first_line),
        filler: cx.filler.clone(),
        offset: 0,
        size,
        truncate_at: (params.fault == Some(Fault::TruncateResponse)).then_some(size / 2),
        chunk_interval: params.chunk_interval,
    };
    let body = stream::unfold(stream_state, next_chunk);
    HttpResponse::Ok().content_type("application/json").body(SizedStream::new(size as u64, body))
}

/// The state of a response body being sent: one line of JSON, then filler.
struct ResponseStream {
    first_line: Bytes,
    filler: Bytes,
    offset: usize,
    size: usize,
    truncate_at: Option<usize>,
    chunk_interval: Millis,
}

type Chunk = Result<Bytes, std::io::Error>;

async fn next_chunk(mut stream_state: ResponseStream) -> Option<(Chunk, ResponseStream)> {
    if stream_state.offset >= stream_state.size {
        return None;
    }
    if stream_state.offset > 0 && stream_state.chunk_interval > Millis::ZERO {
        sleep(stream_state.chunk_interval.into()).await;
    }
    if stream_state.truncate_at.is_some_and(|end| stream_state.offset >= end) {
        // Yields so that the server first sends the chunks so far; the response then breaks off
        // within its body.
        tokio::task::yield_now().await;
        return Some((Err(std::io::ErrorKind::BrokenPipe.into()), stream_state));
    }
    let end = stream_state.truncate_at.unwrap_or(stream_state.size);
    let chunk = stream_state.next_chunk_bytes(end - stream_state.offset);
    stream_state.offset += chunk.len();
    Some((Ok(chunk), stream_state))
}

impl ResponseStream {
    /// Returns the next chunk, at most `max_len` bytes long.
    fn next_chunk_bytes(&self, max_len: usize) -> Bytes {
        if self.offset < self.first_line.len() {
            let end = self.first_line.len().min(self.offset + max_len);
            return self.first_line.slice(self.offset..end);
        }
        let start = self.offset % FILLER_PERIOD;
        self.filler.slice(start..start + max_len.min(CHUNK_BYTES))
    }
}

fn parse_request_info(req: &HttpRequest) -> Result<RequestInfo, String> {
    let key = header(req, KEY)?.unwrap_or_else(|| req.path().to_owned());
    Ok(RequestInfo {
        key,
        partition: header(req, PARTITION)?,
        fence: header(req, FENCE)?,
        request_id: header(req, REQUEST_ID)?,
        call: header(req, ATTEMPT)?,
        time_left: header(req, TIME_LEFT_MS)?.map(Millis),
    })
}

fn parse_execution_params(req: &HttpRequest) -> Result<ExecutionParams, String> {
    let fault = match header::<String>(req, FAULT)?.as_deref() {
        None => None,
        Some("crash") => Some(Fault::Crash),
        Some("break-answer") => Some(Fault::TruncateResponse),
        Some("lose-answer") => Some(Fault::DropResponse),
        Some("refuse") => Some(Fault::Reject),
        Some(found) => return Err(format!("{FAULT}: found {found:?}, expected a fault\n")),
    };
    Ok(ExecutionParams {
        run_time: Millis(header(req, RUN_MS)?.unwrap_or(0)),
        response_bytes: header(req, RESPONSE_BYTES)?,
        chunk_interval: Millis(header(req, CHUNK_MS)?.unwrap_or(0)),
        fault,
    })
}

fn header<T: FromStr>(req: &HttpRequest, name: &str) -> Result<Option<T>, String> {
    let Some(value) = req.headers().get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| format!("{name}: found bytes that are no text\n"))?;
    let parsed = text.parse().map_err(|_| format!("{name}: found {text:?}\n"))?;
    Ok(Some(parsed))
}
