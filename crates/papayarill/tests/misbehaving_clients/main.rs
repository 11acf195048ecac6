//! Sidecars whose clients send and request more than they read or finish. The checks don't depend on
//! the speed of the machine: the process lives, its memory and descriptors stay under a bound, and
//! an ordinary request is answered afterwards, while the crowd is still there.

mod calm;
mod crowd;
mod host_streams;
#[path = "../limited_host/mod.rs"]
mod limited_host;
mod serve;

use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use adapter_stand_in::{BYTES_PATH_PART, HEAD_BYTES_PATH_PART, Store};
use futures_util::future::LocalBoxFuture;
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use crowd::{
    Behaviour, Crowd, send_and_read, send_and_read_slowly, send_and_stall, send_without_end, silent,
};
use limited_host::{Host, HostOptions, MEMORY_MB, OTHER_DESCRIPTORS, document};

/// How long memory is watched while a crowd is there.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// The descriptors of a process in the tests of connections.
const MAX_DESCRIPTORS: usize = 400;

/// More connections than that.
const SILENT_CLIENTS: usize = 600;

/// Hosts whose connections to one process could hold more than its memory.
const FAR_HOSTS: usize = 16;

/// The tests of this file run one at a time.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

/// Returns an address of a process.
type Address = fn(&Host) -> SocketAddr;

/// A crowd and the process that it meets.
struct Case {
    clients: usize,
    behaviour: Behaviour,
    /// The address that the crowd connects to.
    to: Address,
    /// Whether the crowd connects to a host of another service, which sends its requests on.
    far: bool,
}

fn case(clients: usize, behaviour: Behaviour) -> Case {
    Case { clients, behaviour, to: |host| host.callers, far: false }
}

/// Checks that the processes of a case stay within their memory, and answer afterwards.
async fn check(name: &str, case: Case) {
    let Case { clients, behaviour, to, far } = case;
    let store = Store::start().await;
    store.put_config(&document());
    let (near, entry) = (format!("{name}-a"), format!("{name}-b"));
    let mut hosts = vec![Host::start(&store, HostOptions::new("catalog", &near)).await];
    if far {
        hosts.push(Host::start(&store, HostOptions::new("other", &entry)).await);
    }
    let entry = to(hosts.last().unwrap());

    let _crowd = Crowd::start(entry, clients, behaviour);
    watch(&mut hosts, name).await;

    for host in &mut hosts {
        host.assert_answers(name).await;
        host.assert_alive(name);
    }
}

async fn watch(hosts: &mut [Host], name: &str) {
    let watched_until = Instant::now() + WATCH_TIME;
    let mut most = 0;
    while Instant::now() < watched_until {
        for host in &mut *hosts {
            host.assert_alive(name);
            let used = host.memory_mb();
            assert!(used < MEMORY_MB, "{name}: uses {used} of {MEMORY_MB} MB");
            most = most.max(used);
        }
        sleep(Duration::from_millis(50)).await;
    }
    println!("{name}: at most {most} of {MEMORY_MB} MB");
}

/// Returns a request with a head of about this length.
fn request(line: &str, id: &str, head_bytes: usize) -> String {
    let fill = "c".repeat(head_bytes);
    format!(
        "{line} HTTP/1.1\r\nhost: h.example\r\nattempt-id: {id}\r\ndeadline-ms: 60000\r\n\
         cookie: {fill}\r\n\r\n"
    )
}

/// The length of a long head, below the default of `max_header_bytes`.
const LONG_HEAD: usize = 15_000;

/// The start of a head that is longer than any request may have, but not its end.
fn half_head(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!("GET /browse/x HTTP/1.1\r\ncookie: {}", "c".repeat(60_000));
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Pipelines lookups with long heads and reads the responses.
fn long_heads(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = request("GET /browse/x", &format!("long-{n}"), LONG_HEAD);
    Box::pin(async move { send_and_read(stream, text.as_bytes()).await })
}

/// Pipelines lookups with long queries and reads the responses.
fn long_targets(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let line = format!("GET /browse/x?q={}", "q".repeat(60_000));
    let text = request(&line, &format!("target-{n}"), 0);
    Box::pin(async move { send_and_read(stream, text.as_bytes()).await })
}

/// Requests that are refused, so that their responses fill the buffers of the connection.
fn unread_refusals(n: usize) -> String {
    request("GET /none/x", &format!("none-{n}"), 0).repeat(3_000)
}

/// Doesn't read responses, behind which requests that must not run early wait.
fn queued_requests(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let queued = request("POST /order/x", &format!("queued-{n}"), LONG_HEAD).repeat(16);
    let text = unread_refusals(n) + &queued;
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Doesn't read responses, behind which an upload waits.
fn queued_upload(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let upload = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: upload-{n}\r\n\
         content-length: 400000\r\n\r\n{}",
        "u".repeat(300_000)
    );
    let text = unread_refusals(n) + &upload;
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends a part of a long body.
fn half_upload(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: half-{n}\r\n\
         content-length: 4000000\r\n\r\n{}",
        "u".repeat(2_000_000)
    );
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends a part of a short body.
fn half_short_upload(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: short-{n}\r\n\
         content-length: 100000\r\n\r\n{}",
        "u".repeat(50_000)
    );
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends long bodies of unknown length again and again.
fn chunked_uploads(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let head = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: chunked-{n}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("4000\r\n{}\r\n", "u".repeat(0x4000));
    let text = head + &chunk.repeat(60) + "0\r\n\r\n";
    Box::pin(async move { send_and_read(stream, text.as_bytes()).await })
}

/// Sends a body of one byte in each chunk, with long extensions, without end.
fn chunk_extensions(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let head = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: ext-{n}\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = format!("1;{}\r\nx\r\n", "e".repeat(1_000));
    Box::pin(async move { send_without_end(stream, head.as_bytes(), chunk.as_bytes()).await })
}

/// Sends trailers without end.
fn trailers(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let head = format!(
        "POST /order/x HTTP/1.1\r\nhost: h.example\r\nattempt-id: trailer-{n}\r\n\
         transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
    );
    let trailer = format!("x-trailer: {}\r\n", "t".repeat(900));
    Box::pin(async move { send_without_end(stream, head.as_bytes(), trailer.as_bytes()).await })
}

/// Pipelines lookups with short responses, of which hardly anything is read.
fn copied_responses(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let line = format!("GET /browse{BYTES_PATH_PART}1900");
    let text = request(&line, &format!("copied-{n}"), 0).repeat(16);
    let pause = Duration::from_millis(50);
    Box::pin(async move { send_and_read_slowly(stream, text.as_bytes(), pause).await })
}

/// Pipelines lookups whose responses have long heads, of which hardly anything is read.
fn response_heads(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let line = format!("GET /browse{HEAD_BYTES_PATH_PART}8000");
    let text = request(&line, &format!("heads-{n}"), 0).repeat(16);
    let pause = Duration::from_millis(50);
    Box::pin(async move { send_and_read_slowly(stream, text.as_bytes(), pause).await })
}

/// Pipelines requests that are refused, and reads nothing.
fn refusals(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = unread_refusals(n);
    Box::pin(async move { send_without_end(stream, &[], text.as_bytes()).await })
}

/// Requests the metrics again and again and reads nothing.
fn unread_metrics(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = "GET /metrics HTTP/1.1\r\nhost: m\r\n\r\n".repeat(100);
    Box::pin(async move { send_without_end(stream, &[], text.as_bytes()).await })
}

/// Sends a part of the longest heartbeat.
fn half_heartbeat(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!(
        "POST /v1/rpc?call=instances.heartbeat&of=x HTTP/1.1\r\nhost: c\r\n\
         content-length: 1000000\r\n\r\n{}",
        " ".repeat(900_000)
    );
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Declares a test for each case. They run one at a time.
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $case:expr;)+) => {$(
        $(#[$doc])*
        #[actix_rt::test]
        async fn $name() {
            let _lock = RUNNING_TEST.lock().await;
            check(stringify!($name), $case).await;
        }
    )+};
}

// What callers send.
cases! {
    half_heads: case(1_000, half_head);
    long_heads_in_a_pipeline: case(250, long_heads);
    long_targets_in_a_pipeline: case(250, long_targets);
    requests_behind_unread_responses: case(250, queued_requests);
    uploads_behind_unread_responses: case(400, queued_upload);
    half_uploads: case(200, half_upload);
    half_short_uploads: case(1_000, half_short_upload);
    chunked_uploads_without_length: case(100, chunked_uploads);
    chunk_extensions_without_end: case(100, chunk_extensions);
    trailers_without_end: case(100, trailers);
    silent_connections: case(1_000, silent);
}

// What callers do not read.
cases! {
    short_responses_that_are_not_read: case(200, copied_responses);
    heads_of_responses_that_are_not_read: case(200, response_heads);
    refusals_that_are_not_read: case(300, refusals);
}

// The same by way of another host, where requests and responses take memory once more.
cases! {
    far_long_heads_in_a_pipeline: Case { far: true, ..case(250, long_heads) };
    far_long_targets_in_a_pipeline: Case { far: true, ..case(250, long_targets) };
    far_chunked_uploads_without_length: Case { far: true, ..case(100, chunked_uploads) };
    far_heads_of_responses_that_are_not_read: Case { far: true, ..case(200, response_heads) };
}

// Clients of the other addresses.
cases! {
    half_messages_for_hosts: Case { to: |h| h.hosts, ..case(8, host_streams::half_messages) };
    replies_for_hosts_that_are_not_read:
        Case { to: |h| h.hosts, ..case(4, host_streams::unread_replies) };
    half_heads_for_hosts: Case { to: |h| h.hosts, ..case(1_000, half_head) };
    metrics_that_are_not_read: Case { to: |h| h.metrics, ..case(1_000, unread_metrics) };
    half_heads_for_metrics: Case { to: |h| h.metrics, ..case(1_000, half_head) };
    half_heartbeats: Case { to: |h| h.control, ..case(200, half_heartbeat) };
    half_heads_for_readiness: Case { to: |h| h.ready, ..case(1_000, half_head) };
}

/// Guards against clients that take all descriptors of the process with connections on which they
/// send nothing.
#[actix_rt::test]
async fn silent_connections_to_any_address_leave_descriptors_for_ordinary_requests() {
    let _lock = RUNNING_TEST.lock().await;
    let rows: [(&str, Address); 5] = [
        ("callers", |h| h.callers),
        ("hosts", |h| h.hosts),
        ("ready", |h| h.ready),
        ("control", |h| h.control),
        ("metrics", |h| h.metrics),
    ];
    for (name, to) in rows {
        let store = Store::start().await;
        store.put_config(&document());
        let file = format!("silent-{name}");
        let options = HostOptions {
            max_descriptors: Some(MAX_DESCRIPTORS),
            ..HostOptions::new("catalog", &file)
        };
        let mut host = Host::start(&store, options).await;

        let _crowd = Crowd::start(to(&host), SILENT_CLIENTS, silent);
        let mut most = 0;
        let watched_until = Instant::now() + WATCH_TIME;
        while Instant::now() < watched_until {
            host.assert_alive(name);
            most = most.max(host.descriptors());
            sleep(Duration::from_millis(50)).await;
        }

        host.assert_answers(name).await;
        host.assert_alive(name);
        let bound = MAX_DESCRIPTORS - OTHER_DESCRIPTORS;
        assert!(most <= bound, "{name}: {most} descriptors, {bound} allowed");
        assert!(host.memory_mb() < MEMORY_MB, "{name}: uses {} MB", host.memory_mb());
    }
}

/// Guards against connections that are closed to make room, and keep their descriptors while a burst
/// of others is accepted.
#[actix_rt::test]
async fn a_burst_of_connections_takes_a_bounded_number_of_descriptors() {
    let _lock = RUNNING_TEST.lock().await;
    let name = "burst";
    let store = Store::start().await;
    store.put_config(&document());
    let options =
        HostOptions { max_descriptors: Some(MAX_DESCRIPTORS), ..HostOptions::new("catalog", name) };
    let mut host = Host::start(&store, options).await;
    let process = Pid::from_child(&host.child);

    kill_process(process, Signal::STOP).unwrap();
    let _crowd = Crowd::start(host.callers, SILENT_CLIENTS, silent);
    sleep(Duration::from_secs(1)).await;
    kill_process(process, Signal::CONT).unwrap();
    let mut most = 0;
    let watched_until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < watched_until {
        most = most.max(host.descriptors());
    }

    host.assert_answers(name).await;
    host.assert_alive(name);
    let bound = MAX_DESCRIPTORS - OTHER_DESCRIPTORS;
    assert!(most <= bound, "{most} descriptors, {bound} allowed");
}

/// Pipelines lookups with long responses and reads nothing.
fn long_responses(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let line = format!("GET /browse{BYTES_PATH_PART}1900000");
    let text = request(&line, &format!("long-{n}"), 0).repeat(16);
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Guards against replies that pile up in the connections to many hosts, while there is no room for
/// them.
#[actix_rt::test]
async fn replies_of_many_hosts_that_are_not_read() {
    let _lock = RUNNING_TEST.lock().await;
    let name = "replies of many hosts";
    let store = Store::start().await;
    store.put_config(&document());
    let mut hosts = Vec::new();
    for i in 0..FAR_HOSTS {
        hosts.push(Host::start(&store, HostOptions::new("catalog", &format!("many-{i}"))).await);
    }
    hosts.push(Host::start(&store, HostOptions::new("other", "many-entry")).await);
    let entry = hosts[FAR_HOSTS].callers;

    let _crowd = Crowd::start(entry, 200, long_responses);
    watch(&mut hosts, name).await;

    for host in &mut hosts {
        host.assert_answers(name).await;
        host.assert_alive(name);
    }
}

/// The start of a request whose id fills most of the longest head.
fn long_id(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = request("GET /browse/x", &format!("{n}-{}", "i".repeat(60_000)), 0);
    Box::pin(async move { send_and_read(stream, text.as_bytes()).await })
}

/// Guards against log lines that callers make long, while nobody reads the log.
#[actix_rt::test]
async fn log_lines_that_nobody_reads_take_a_bounded_part_of_the_memory() {
    let _lock = RUNNING_TEST.lock().await;
    let name = "long ids";
    let store = Store::start().await;
    store.put_config(&document());
    let options = HostOptions { log: Stdio::piped(), ..HostOptions::new("catalog", "long-ids") };
    let mut hosts = [Host::start(&store, options).await];

    let _crowd = Crowd::start(hosts[0].callers, 40, long_id);
    watch(&mut hosts, name).await;

    hosts[0].assert_answers(name).await;
    hosts[0].assert_alive(name);
}
