//! Fixtures for tests with a client and a server on the loopback interface.

#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

pub mod proxy;
pub mod values;

use std::net::{Ipv4Addr, TcpListener};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt, TryStreamExt};
use model::{
    ConfigVersion, HostAddr, Millis, Outcome, Partition, Priority, RequestId, ServiceName,
};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use wire::{
    Body, BodyError, Call, ForwardHead, Handlers, Reply, ResponseHead, Server, ServerSettings,
    full_body, serve_with,
};

/// A timeout that a working exchange never reaches.
pub const LONG: Millis = Millis(60_000);

/// The future that a handler of forwarded requests returns.
pub type ForwardFuture = LocalBoxFuture<'static, Outcome<(ResponseHead, Body)>>;

/// Runs a test on a single thread, like the host process.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

pub fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap()
}

/// Starts a server that answers every call with `Done`.
pub fn server(on_forward: impl Fn(ForwardHead, Bytes) -> ForwardFuture + 'static) -> Server {
    server_with(ServerSettings::default(), on_forward)
}

pub fn server_with(
    settings: ServerSettings,
    on_forward: impl Fn(ForwardHead, Bytes) -> ForwardFuture + 'static,
) -> Server {
    serve_with(listener(), handlers(on_forward), settings).unwrap()
}

/// Starts an echo server on `listener`.
pub fn serve_echo(listener: TcpListener) -> Server {
    serve_with(listener, handlers(echo_body), ServerSettings::default()).unwrap()
}

fn handlers(on_forward: impl Fn(ForwardHead, Bytes) -> ForwardFuture + 'static) -> Handlers {
    let on_call = Rc::new(|_call: Call| async { Reply::Done }.boxed_local());
    Handlers { on_call, on_forward: Rc::new(on_forward) }
}

fn echo_body(head: ForwardHead, body: Bytes) -> ForwardFuture {
    async move { ran(head.body_length, full_body(body)) }.boxed_local()
}

/// Starts a server that responds to every request with the request's body.
pub fn echo() -> Server {
    server(echo_body)
}

pub fn ran(body_length: impl Into<Option<u64>>, body: Body) -> Outcome<(ResponseHead, Body)> {
    Outcome::Ran((response_head(body_length.into()), body))
}

pub fn response_head(body_length: Option<u64>) -> ResponseHead {
    let headers = vec![("content-type".to_owned(), b"text/plain".to_vec())];
    ResponseHead { status: 200, headers, body_length, owner: HostAddr(([10, 0, 0, 1], 7).into()) }
}

pub fn head(time_left: Millis) -> ForwardHead {
    ForwardHead {
        service: ServiceName::new("alert-dispatch").unwrap(),
        partition: Some(Partition(7)),
        id: Some(RequestId::parse("01890a5d-ac96-774b-bcce-b302099a8057").unwrap()),
        digest: 42,
        priority: Priority::Interactive,
        time_left,
        rule: Some(3),
        method: "POST".to_owned(),
        target: "/orders/7?dry=no".to_owned(),
        headers: vec![("accept".to_owned(), b"*/*".to_vec())],
        body_length: 0,
    }
}

pub fn config_call() -> Call {
    Call::Config { at_least: ConfigVersion(1) }
}

/// Receives a body to its end.
pub async fn collect(body: Body) -> Result<Bytes, BodyError> {
    let collected = body.try_fold(BytesMut::new(), |mut all, chunk| async move {
        all.extend_from_slice(&chunk);
        Ok(all)
    });
    Ok(collected.await?.freeze())
}
