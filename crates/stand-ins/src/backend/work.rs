//! Requests: refused, run with the faults that they ask for, and answered.

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

use super::Shared;
use super::protocol::{
    ANSWER_BYTES, CALL, CHUNK_MS, FAULT, FENCE, KEY, PARTITION, REFUSED, REQUEST_ID, RUN_MS,
    RunEnd, TIME_LEFT_MS,
};
use super::state::{Ask, Refused, Started};

/// The size of one piece of an answer, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// A cold server is slower by this factor.
const COLD_FACTOR: u64 = 4;

/// A letter for each offset modulo this prime, so that a lost or doubled piece shows.
const FILLING_PERIOD: usize = 23;

/// The fault that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Crash,
    BreakAnswer,
    LoseAnswer,
    Refuse,
}

/// How a request wants to be run.
struct Wishes {
    run_time: Millis,
    answer_bytes: Option<usize>,
    piece_pause: Millis,
    fault: Option<Fault>,
}

/// Frees the slot of a run whose future is dropped.
struct RunGuard {
    cx: web::Data<Shared>,
    run: usize,
}

impl RunGuard {
    fn end(&self, end: RunEnd) {
        let now = self.cx.clock.now();
        self.cx.state().end(self.run, end, now);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(RunEnd::Cancelled);
    }
}

/// Returns the byte of an answer's filling at `offset`.
pub fn filling(offset: u64) -> u8 {
    let step = u8::try_from(offset % FILLING_PERIOD as u64).unwrap_or(0);
    b'a' + step
}

/// Returns filling that is long enough for a piece from any offset.
pub(super) fn filling_block() -> Bytes {
    (0..(PIECE_BYTES + FILLING_PERIOD) as u64).map(filling).collect()
}

/// Handles any request that is not for a control endpoint.
pub async fn handle(cx: web::Data<Shared>, req: HttpRequest, body: Bytes) -> HttpResponse {
    let parsed = read_ask(&req).and_then(|ask| Ok((ask, read_wishes(&req)?)));
    let (ask, wishes) = match parsed {
        Ok(parsed) => parsed,
        Err(reason) => return HttpResponse::BadRequest().body(reason),
    };
    if wishes.fault == Some(Fault::Refuse) {
        return refusal(Refused::Shed);
    }
    let draw = rand::rng().random_range(0..1_000);
    let now = cx.clock.now();
    let started = cx.state().start(ask.clone(), now, draw);
    match started {
        Ok(started) => run(cx, &req, &ask, &wishes, started, body.len()).await,
        Err(reason) => refusal(reason),
    }
}

fn refusal(reason: Refused) -> HttpResponse {
    HttpResponse::ServiceUnavailable().insert_header((REFUSED, reason.as_str())).finish()
}

async fn run(
    cx: web::Data<Shared>,
    req: &HttpRequest,
    ask: &Ask,
    wishes: &Wishes,
    started: Started,
    body_bytes: usize,
) -> HttpResponse {
    let guard = RunGuard { cx: cx.clone(), run: started.run };
    if wishes.fault == Some(Fault::Crash) {
        guard.end(RunEnd::Crashed);
        (cx.on_crash)();
    }
    let deadline = ask.time_left.map_or(Duration::MAX, Duration::from);
    tokio::select! {
        biased;
        () = started.cancelled.notified() => return ended("cancelled"),
        () = sleep(deadline) => return ended("deadline"),
        () = sleep(run_time(&cx, wishes).into()) => {}
    }
    guard.end(RunEnd::Finished);
    if wishes.fault == Some(Fault::LoseAnswer) {
        break_connection(req);
        return HttpResponse::Ok().finish();
    }
    answer(&cx, ask, wishes, started.run, body_bytes)
}

fn run_time(cx: &Shared, wishes: &Wishes) -> Millis {
    let now = cx.clock.now();
    let state = cx.state();
    let factor = match state.phase(now) {
        super::Phase::Cold => COLD_FACTOR,
        super::Phase::Ready | super::Phase::Draining => 1,
    };
    Millis(wishes.run_time.0.saturating_mul(factor)) + Millis(state.mode().slow_ms)
}

/// The answer to a request that was stopped after it had started.
fn ended(why: &'static str) -> HttpResponse {
    HttpResponse::GatewayTimeout().insert_header(("stand-in-ended", why)).finish()
}

/// Closes the connection under actix, so that the answer is lost.
fn break_connection(req: &HttpRequest) {
    if let Some(io) = req.conn_data::<Arc<TcpStream>>()
        && let Err(e) = io.shutdown(std::net::Shutdown::Both)
    {
        log::warn!("backend: connection was not broken: {e}");
    }
}

fn answer(cx: &Shared, ask: &Ask, wishes: &Wishes, run: usize, body_bytes: usize) -> HttpResponse {
    let mut first = serde_json::json!({
        "server": cx.addr.to_string(),
        "key": ask.key,
        "partition": ask.partition,
        "fence": ask.fence,
        "request_id": ask.request_id,
        "call": ask.call,
        "run": run,
        "body_bytes": body_bytes,
    })
    .to_string();
    first.push('\n');
    let size = wishes.answer_bytes.unwrap_or(0).max(first.len());
    let pieces = Pieces {
        first: Bytes::from(first),
        filling: cx.filling.clone(),
        at: 0,
        size,
        break_at: (wishes.fault == Some(Fault::BreakAnswer)).then_some(size / 2),
        pause: wishes.piece_pause,
    };
    let body = stream::unfold(pieces, next_piece);
    HttpResponse::Ok().content_type("application/json").body(SizedStream::new(size as u64, body))
}

/// An answer on its way out: one line of JSON, then filling.
struct Pieces {
    first: Bytes,
    filling: Bytes,
    at: usize,
    size: usize,
    break_at: Option<usize>,
    pause: Millis,
}

type Piece = Result<Bytes, std::io::Error>;

async fn next_piece(mut pieces: Pieces) -> Option<(Piece, Pieces)> {
    if pieces.at >= pieces.size {
        return None;
    }
    if pieces.at > 0 && pieces.pause > Millis::ZERO {
        sleep(pieces.pause.into()).await;
    }
    if pieces.break_at.is_some_and(|at| pieces.at >= at) {
        // Lets the server send what it has, so that the answer breaks off in its body.
        tokio::task::yield_now().await;
        return Some((Err(std::io::ErrorKind::BrokenPipe.into()), pieces));
    }
    let end = pieces.break_at.unwrap_or(pieces.size);
    let piece = pieces.next_bytes(end - pieces.at);
    pieces.at += piece.len();
    Some((Ok(piece), pieces))
}

impl Pieces {
    /// Returns the next bytes, at most `limit` of them.
    fn next_bytes(&self, limit: usize) -> Bytes {
        if self.at < self.first.len() {
            let end = self.first.len().min(self.at + limit);
            return self.first.slice(self.at..end);
        }
        let start = self.at % FILLING_PERIOD;
        self.filling.slice(start..start + limit.min(PIECE_BYTES))
    }
}

fn read_ask(req: &HttpRequest) -> Result<Ask, String> {
    let key = header(req, KEY)?.unwrap_or_else(|| req.path().to_owned());
    Ok(Ask {
        key,
        partition: header(req, PARTITION)?,
        fence: header(req, FENCE)?,
        request_id: header(req, REQUEST_ID)?,
        call: header(req, CALL)?,
        time_left: header(req, TIME_LEFT_MS)?.map(Millis),
    })
}

fn read_wishes(req: &HttpRequest) -> Result<Wishes, String> {
    let fault = match header::<String>(req, FAULT)?.as_deref() {
        None => None,
        Some("crash") => Some(Fault::Crash),
        Some("break-answer") => Some(Fault::BreakAnswer),
        Some("lose-answer") => Some(Fault::LoseAnswer),
        Some("refuse") => Some(Fault::Refuse),
        Some(found) => return Err(format!("{FAULT}: found {found:?}, expected a fault\n")),
    };
    Ok(Wishes {
        run_time: Millis(header(req, RUN_MS)?.unwrap_or(0)),
        answer_bytes: header(req, ANSWER_BYTES)?,
        piece_pause: Millis(header(req, CHUNK_MS)?.unwrap_or(0)),
        fault,
    })
}

fn header<T: FromStr>(req: &HttpRequest, name: &str) -> Result<Option<T>, String> {
    let Some(value) = req.headers().get(name) else { return Ok(None) };
    let text = value.to_str().map_err(|_| format!("{name}: found bytes that are no text\n"))?;
    let parsed = text.parse().map_err(|_| format!("{name}: found {text:?}\n"))?;
    Ok(Some(parsed))
}
