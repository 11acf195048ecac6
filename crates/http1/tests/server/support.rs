//! A server connection with a scripted caller. The path of a request tells its handler what to do.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Full};
use http1::server::{
    BrokenOff, HeldBytes, MemoryFreed, Policy, RequestBody, ResponseBody, Settings, Unserved, serve,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Far longer than any step takes.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// How long something that must not happen is waited for.
pub const SETTLE: Duration = Duration::from_millis(60);

/// The length of the response to `/big`.
pub const BIG_BYTES: usize = 3 << 20;

/// The length of the parts of a body without end.
pub const REST_CHUNK_BYTES: usize = 16 << 10;

/// What the server and its handlers have recorded.
#[derive(Default)]
pub struct Record {
    /// The paths of the requests whose handlers were started.
    pub started: RefCell<Vec<String>>,
    /// The paths of the requests whose handlers were dropped before their response.
    pub cancelled: RefCell<Vec<String>>,
    pub held: Cell<HeldBytes>,
    pub most_held: Cell<HeldBytes>,
    /// The number of guards that exist.
    pub guards: Rc<Cell<usize>>,
    pub stopping: Cell<bool>,
    /// Whether memory is short, and whether there is none for input.
    pub short: Cell<bool>,
    pub full: Cell<bool>,
    pub freed: Notify,
    pub close: Notify,
    pub ended: Cell<bool>,
    released: RefCell<Vec<String>>,
    changed: Notify,
}

impl Record {
    /// Lets the handlers with this path respond.
    pub fn release(&self, path: &str) {
        self.released.borrow_mut().push(path.to_owned());
        self.changed.notify_waiters();
    }
}

struct Calls(Rc<Record>);

impl Policy for Calls {
    fn may_start_early(&self, head: &request::Parts) -> bool {
        head.method == Method::GET
    }

    fn is_stopping(&self) -> bool {
        self.0.stopping.get()
    }

    fn record_held_bytes(&self, held: HeldBytes) {
        let most = self.0.most_held.get();
        self.0.held.set(held);
        self.0.most_held.set(HeldBytes {
            unwritten: most.unwritten.max(held.unwritten),
            unread: most.unread.max(held.unread),
            allocated: most.allocated.max(held.allocated),
            awaiting_caller: most.awaiting_caller.max(held.awaiting_caller),
        });
    }

    fn reserve(&self, _: usize) -> Result<(), MemoryFreed> {
        if !self.0.full.get() {
            return Ok(());
        }
        let record = self.0.clone();
        Err(Box::pin(async move { record.freed.notified().await }))
    }

    fn is_memory_short(&self) -> bool {
        self.0.short.get()
    }
}

struct CancelGuard(Rc<Record>, Option<String>);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut cancelled = self.0.cancelled.borrow_mut();
        cancelled.extend(self.1.take());
        // Handlers are dropped in any order.
        cancelled.sort();
    }
}

struct WriteGuard(Rc<Cell<usize>>);

impl Drop for WriteGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn handle(
    record: Rc<Record>,
    request: Request<RequestBody>,
) -> (Response<ResponseBody>, impl Sized) {
    let path = request.uri().path().to_owned();
    record.started.borrow_mut().push(path.clone());
    let mut cancel = CancelGuard(record.clone(), Some(path.clone()));
    if path.starts_with("/wait") {
        loop {
            let changed = record.changed.notified();
            if record.released.borrow().contains(&path) {
                break;
            }
            changed.await;
        }
    }
    let mut response = Response::new(Full::default().into());
    if path.ends_with("/echo") {
        match request.into_body().collect().await {
            Ok(body) => *response.body_mut() = ResponseBody::Full(body.to_bytes()),
            Err(_) => *response.status_mut() = StatusCode::BAD_REQUEST,
        }
    } else if path.ends_with("/big") {
        *response.body_mut() = ResponseBody::Full(vec![b'x'; BIG_BYTES].into());
    } else if let Some(script) = path.strip_prefix("/stream/") {
        *response.body_mut() = streamed(&record, script);
    } else if let Some(status) = path.strip_prefix("/status/") {
        *response.status_mut() = status.parse().unwrap();
    } else {
        *response.body_mut() = ResponseBody::Full(Bytes::from(path.clone()));
    }
    if path.ends_with("/unserved") {
        response.extensions_mut().insert(Unserved);
    }
    if path.ends_with("/closing") {
        response.headers_mut().insert("connection", "close".parse().unwrap());
    }
    cancel.1 = None;
    record.guards.set(record.guards.get() + 1);
    (response, WriteGuard(record.guards.clone()))
}

/// Returns a body whose length, or `-`, and parts are separated by slashes. `cut` breaks it off, `wait`
/// waits until that is released, and `rest` is without end.
fn streamed(record: &Rc<Record>, script: &str) -> ResponseBody {
    let (length, parts) = script.split_once('/').unwrap_or((script, ""));
    let parts: Vec<String> = parts.split('/').map(str::to_owned).collect();
    let endless = parts.contains(&"rest".to_owned());
    let record = record.clone();
    let chunks = stream::iter(parts).then(move |part| {
        let record = record.clone();
        async move {
            while part == "wait" && !record.released.borrow().contains(&part) {
                record.changed.notified().await;
            }
            match &*part {
                "cut" => Err(BrokenOff),
                "wait" => Ok(Bytes::new()),
                _ => Ok(Bytes::from(part)),
            }
        }
    });
    let rest = stream::repeat(Ok(Bytes::from(vec![b'x'; REST_CHUNK_BYTES])));
    let chunks = match endless {
        true => chunks.chain(rest).boxed_local(),
        false => chunks.boxed_local(),
    };
    ResponseBody::Stream { length: length.parse().ok(), chunks }
}

/// Starts a server for one connection, and connects to it. `receive_buffer` limits what the caller's
/// side of the connection takes before it is read.
pub async fn connect(settings: Settings, receive_buffer: Option<u32>) -> (TcpStream, Rc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let record = Rc::new(Record::default());
    let shared = record.clone();
    actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let calls = shared.clone();
        let handler = move |request| handle(calls.clone(), request);
        let close = shared.close.notified();
        serve(stream, settings, handler, Calls(shared.clone()), close).await;
        shared.ended.set(true);
    });
    let socket = TcpSocket::new_v4().unwrap();
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes).unwrap();
    }
    let stream = socket.connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    (stream, record)
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    timeout(WAIT_LIMIT, wait).await.unwrap_or_else(|_| panic!("{what}"));
}

/// A step of a caller, or something that it expects.
pub enum Step {
    /// Sends bytes.
    Send(&'static str),
    /// Waits a moment, so that what was sent arrives by itself.
    Pause,
    /// Waits until the server has probably read what was sent.
    ShortPause,
    /// Lets the handlers with this path respond.
    Release(&'static str),
    /// Expects that the handlers of exactly these requests were started so far.
    Started(&'static [&'static str]),
    /// Expects that the handlers of exactly these requests were dropped so far.
    Cancelled(&'static [&'static str]),
    /// Expects exactly these bytes, besides dates.
    Receive(String),
    /// Expects the end of the stream.
    End,
    /// The connection is reset, after what was received.
    Reset,
    /// Tells the server that the process stops.
    Stop,
    /// Tells the connection to close.
    Close,
    /// Closes the sending side of the caller.
    HalfClose,
}

/// Returns a response with a body as it is expected without its date.
pub fn response(status: &str, more: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n{more}\r\n{body}", body.len())
}

/// Returns the response of the default handler.
pub fn ok(path: &str) -> Step {
    Step::Receive(response("200 OK", "", path))
}

/// Returns the last response on a connection.
pub fn last(path: &str) -> Step {
    Step::Receive(response("200 OK", "connection: close\r\n", path))
}

/// Returns what was received without dates, and the part of a date at its end.
fn without_dates(received: &[u8]) -> (String, String) {
    let text = String::from_utf8_lossy(received);
    let is_date = |l: &str| l.starts_with("date: ") || l.len() > 1 && "date: ".starts_with(l);
    let (dates, others): (Vec<&str>, Vec<&str>) =
        text.split_inclusive("\r\n").partition(|l| is_date(l));
    let cut = dates.last().filter(|l| !l.ends_with("\r\n"));
    (others.concat(), cut.copied().unwrap_or("").to_owned())
}

/// Runs the steps on a connection of its own.
pub async fn run(name: &str, settings: Settings, steps: Vec<Step>) {
    let (mut stream, record) = connect(settings, None).await;
    let mut received = Vec::new();
    for (i, step) in steps.into_iter().enumerate() {
        let at = format!("{name}, step {i}");
        match step {
            Step::Send(text) => stream.write_all(text.as_bytes()).await.unwrap(),
            Step::Pause => sleep(SETTLE).await,
            Step::ShortPause => sleep(Duration::from_millis(3)).await,
            Step::Release(path) => record.release(path),
            Step::Started(expected) => expect_list(&at, &record.started, expected).await,
            Step::Cancelled(expected) => {
                expect_list(&at, &record.cancelled, expected).await;
            }
            Step::Receive(expected) => {
                let mut end = false;
                while without_dates(&received).0.len() < expected.len() && !end {
                    let read = timeout(WAIT_LIMIT, stream.read_buf(&mut received)).await;
                    end = read.unwrap_or_else(|_| panic!("{at}: late")).unwrap() == 0;
                }
                let (text, cut) = without_dates(&received);
                assert!(text.starts_with(&expected), "{at}: {text:?} instead of {expected:?}");
                received = (text[expected.len()..].to_owned() + &cut).into();
            }
            Step::End => {
                let read = timeout(WAIT_LIMIT, stream.read_buf(&mut received)).await;
                read.unwrap_or_else(|_| panic!("{at}: late")).unwrap();
                assert_eq!(String::from_utf8_lossy(&received), "", "{at}");
            }
            Step::Reset => {
                let read = timeout(WAIT_LIMIT, stream.read_buf(&mut received)).await;
                let read = read.unwrap_or_else(|_| panic!("{at}: late"));
                assert!(read.is_err(), "{at}: {read:?}");
            }
            Step::Stop => record.stopping.set(true),
            Step::Close => record.close.notify_waiters(),
            Step::HalfClose => stream.shutdown().await.unwrap(),
        }
    }
    drop(stream);
    wait_until(&format!("{name}: the connection goes on"), || record.ended.get()).await;
    assert_eq!(record.held.get(), HeldBytes::default(), "{name}: memory still counts as held");
    assert_eq!(record.guards.get(), 0, "{name}: guards are left");
}

async fn expect_list(at: &str, list: &RefCell<Vec<String>>, expected: &[&str]) {
    let wait = async {
        while list.borrow().len() < expected.len() {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let _ = timeout(WAIT_LIMIT, wait).await;
    sleep(SETTLE).await;
    assert_eq!(*list.borrow(), expected, "{at}");
}
