//! `papayarill serve`: callers that don't finish their requests or don't read the responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};
use trial::deployment::{Host, SERVICE, ZONES, start_deployment, wait_for};
use trial::http;
use trial::process::Program;
use uuid::Uuid;

use crate::crowd::{Behaviour, Crowd, send_and_stall, send_without_end, silent};
use crate::{RUNNING_TEST, WATCH_TIME};

/// The memory of a process by default, as for a sidecar.
const MEMORY_MB: u64 = 128;

/// Of the largest body, 1 MiB.
const BODY_BYTES: usize = 1_000_000;

fn head(framing: &str) -> String {
    let id = Uuid::now_v7();
    format!(
        "POST /{SERVICE}/keys/k HTTP/1.1\r\nhost: h.example\r\nidempotency-key: {id}\r\n\
         {framing}\r\n\r\n"
    )
}

/// Sends most of a long body.
fn half_upload(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = head("content-length: 1000000") + &"u".repeat(BODY_BYTES - 1);
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends most of a long body of unknown length.
fn half_chunked_upload(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let chunk = format!("4000\r\n{}\r\n", "u".repeat(0x4000));
    let text = head("transfer-encoding: chunked") + &chunk.repeat(BODY_BYTES / 0x4000);
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends long bodies again and again, without reading the responses.
fn unread_uploads(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = head("content-length: 1000000") + &"u".repeat(BODY_BYTES);
    Box::pin(async move { send_without_end(stream, &[], text.as_bytes()).await })
}

/// Sends most of a head.
fn half_head(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!("GET /{SERVICE}/keys/k HTTP/1.1\r\ncookie: {}", "c".repeat(60_000));
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Sends most of a longer head.
fn half_long_head(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!("GET /status HTTP/1.1\r\ncookie: {}", "c".repeat(120_000));
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Requests the metrics again and again, and doesn't read them.
fn unread_metrics(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    let text = "GET /metrics HTTP/1.1\r\nhost: h.example\r\n\r\n".repeat(100);
    Box::pin(async move { send_without_end(stream, &[], text.as_bytes()).await })
}

/// Requests a long response, and doesn't read it.
fn unread_response(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!(
        "GET /{SERVICE}/keys/{n} HTTP/1.1\r\nhost: h.example\r\nstand-in-answer-bytes: 64000000\r\n\r\n"
    );
    Box::pin(async move { send_and_stall(stream, text.as_bytes()).await })
}

/// Requests responses again and again, and doesn't read them.
fn unread_responses(stream: TcpStream, n: usize) -> LocalBoxFuture<'static, ()> {
    let text = format!(
        "GET /{SERVICE}/keys/{n} HTTP/1.1\r\nhost: h.example\r\nstand-in-answer-bytes: 100000\r\n\r\n"
    );
    Box::pin(async move { send_without_end(stream, &[], text.as_bytes()).await })
}

fn memory_mb(host: &Host) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", host.process.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap();
    line.split_whitespace().next().unwrap().parse::<u64>().unwrap() / 1_024
}

async fn is_answered(host: &Host) -> bool {
    let url = format!("http://{}/{SERVICE}/keys/k", host.callers);
    http::send(http::client().get(url), Bytes::new()).await.status == 200
}

/// A name, a number of clients, what they do, and the address that they connect to.
type Row = (&'static str, usize, Behaviour, Address);

/// Returns an address of a process.
type Address = fn(&Host) -> SocketAddr;

const CALLERS: Address = |host| host.callers;
const BACKEND: Address = |host| host.announce;
const OPERATORS: Address = |host| host.operators;

/// Checks that a process stays within its memory, and answers while the crowd is still there.
async fn assert_bounded(rows: &[Row]) {
    let _lock = RUNNING_TEST.lock().await;
    let program = Program(env!("CARGO_BIN_EXE_papayarill").into());
    for &(name, clients, behaviour, to) in rows {
        let mut deployment = start_deployment(&program, &ZONES[..1]).await;
        let host = &mut deployment.hosts[0];

        let _crowd = Crowd::start(to(host), clients, behaviour);
        let watched_until = Instant::now() + WATCH_TIME;
        let mut most = 0;
        while Instant::now() < watched_until {
            assert!(!host.process.has_exited(), "{name}: the process ended");
            most = most.max(memory_mb(host));
            assert!(most < MEMORY_MB, "{name}: uses {most} of {MEMORY_MB} MB");
            sleep(Duration::from_millis(50)).await;
        }
        println!("{name}: at most {most} of {MEMORY_MB} MB");

        wait_for(name, || is_answered(host)).await;
        assert!(!deployment.hosts[0].process.has_exited(), "{name}: the process ended");
    }
}

/// Guards against uploads that together take more memory than the process may use.
#[actix_rt::test]
async fn uploads_to_serve_take_a_bounded_part_of_the_memory() {
    assert_bounded(&[
        ("half uploads", 300, half_upload, CALLERS),
        ("half uploads in chunks", 300, half_chunked_upload, CALLERS),
        ("unread uploads", 300, unread_uploads, CALLERS),
    ])
    .await;
}

/// Guards against connections that together take more memory than the process may use.
#[actix_rt::test]
async fn connections_to_serve_take_a_bounded_part_of_the_memory() {
    assert_bounded(&[
        ("silent connections", 1_000, silent, CALLERS),
        ("half heads", 1_000, half_head, CALLERS),
        ("unread responses", 300, unread_responses, CALLERS),
        ("unread long responses", 300, unread_response, CALLERS),
    ])
    .await;
}

/// Guards against clients of the other addresses that together take more memory than the process may
/// use, or the descriptors of ordinary clients.
#[actix_rt::test]
async fn clients_of_other_addresses_of_serve_take_a_bounded_part_of_the_memory() {
    assert_bounded(&[
        ("half heads for operators", 1_000, half_long_head, OPERATORS),
        ("unread metrics", 300, unread_metrics, OPERATORS),
        ("half heads of announcements", 1_000, half_long_head, BACKEND),
        ("silent connections for announcements", 1_000, silent, BACKEND),
    ])
    .await;
}
