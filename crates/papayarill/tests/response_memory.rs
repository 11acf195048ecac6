//! Memory and descriptors of sidecars whose callers don't read their responses, or send nothing.
//! The checks don't depend on the speed of the machine.

#[allow(dead_code)] // Other tests use more of it.
mod limited_host;

use std::net::SocketAddr;
use std::time::Duration;

use adapter_stand_in::{BYTES_PATH_PART, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep};

use limited_host::{Host, HostOptions, MEMORY_MB, OTHER_DESCRIPTORS, document};

/// How long memory is watched while callers don't read.
const WATCH_TIME: Duration = Duration::from_secs(8);

/// Below the largest response that the settings allow, 1/32 of the memory.
const RESPONSE_BYTES: usize = 1_500_000;

/// Each caller requests 24 MB, so that all of them request several times the memory.
const CALLERS: usize = 16;
const PIPELINED_REQUESTS: usize = 16;

/// The maximum number of connections of callers in the settings of the test of descriptors.
const MAX_CALLER_CONNECTIONS: usize = 40;

/// The tests of this file run one at a time.
static RUNNING_TEST: Mutex<()> = Mutex::const_new(());

/// Requests long responses on one connection and reads at most a byte now and then, until it is
/// closed.
async fn request_and_stall(to: SocketAddr, caller: usize, reads: bool) {
    let Ok(mut stream) = TcpStream::connect(to).await else { return };
    let mut text = String::new();
    for n in 0..PIPELINED_REQUESTS {
        text.push_str(&format!(
            "GET /browse{BYTES_PATH_PART}{RESPONSE_BYTES} HTTP/1.1\r\nhost: h.example\r\n\
             attempt-id: slow-{caller}-{n}\r\ndeadline-ms: 60000\r\n\r\n"
        ));
    }
    // The connection may be closed at any time.
    let _ = stream.write_all(text.as_bytes()).await;
    loop {
        sleep(Duration::from_millis(100)).await;
        if reads && stream.read_u8().await.is_err() {
            return;
        }
    }
}

/// Guards against a process that buffers responses which nobody reads until its memory is used up,
/// next to the backend server or on the way through another host.
#[actix_rt::test]
async fn callers_that_do_not_read_their_responses_take_a_bounded_part_of_the_memory() {
    let _lock = RUNNING_TEST.lock().await;
    for (name, far, reads) in
        [("near-unread", false, false), ("near-slow", false, true), ("far-unread", true, false)]
    {
        let store = Store::start().await;
        store.put_config(&document());
        let mut hosts =
            vec![Host::start(&store, HostOptions::new("catalog", &format!("{name}-a"))).await];
        if far {
            hosts.push(Host::start(&store, HostOptions::new("other", &format!("{name}-b"))).await);
        }
        let entry = hosts.last().unwrap().callers;

        let stalled: Vec<_> = (0..CALLERS)
            .map(|caller| actix_rt::spawn(request_and_stall(entry, caller, reads)))
            .collect();
        let watched_until = Instant::now() + WATCH_TIME;
        while Instant::now() < watched_until {
            for host in &mut hosts {
                host.assert_alive(name);
                let used = host.memory_mb();
                assert!(used < MEMORY_MB, "{name}: uses {used} of {MEMORY_MB} MB");
            }
            sleep(Duration::from_millis(50)).await;
        }

        for host in &mut hosts {
            host.assert_answers(name).await;
            host.assert_alive(name);
        }
        stalled.iter().for_each(|caller| caller.abort());
    }
}

/// Guards against callers that take all descriptors with connections on which they send nothing, or
/// half a head.
#[actix_rt::test]
async fn connections_without_requests_take_a_bounded_number_of_descriptors() {
    let _lock = RUNNING_TEST.lock().await;
    for (name, sent) in [("silent", ""), ("half-head", "GET /browse/x HTTP/1.1\r\nhost: h.exa")] {
        let store = Store::start().await;
        store.put_config(&document());
        let limits = format!(", caller_connections: {MAX_CALLER_CONNECTIONS}");
        let mut host = Host::start(
            &store,
            HostOptions { limits: &limits, ..HostOptions::new("catalog", name) },
        )
        .await;

        let mut idle = Vec::new();
        for _ in 0..300 {
            let Ok(mut stream) = TcpStream::connect(host.callers).await else { continue };
            // The connection may be closed at once.
            let _ = stream.write_all(sent.as_bytes()).await;
            idle.push(stream);
        }
        host.assert_answers(name).await;

        host.assert_alive(name);
        let (open, bound) = (host.descriptors(), MAX_CALLER_CONNECTIONS + OTHER_DESCRIPTORS);
        assert!(open <= bound, "{name}: {open} descriptors, {bound} allowed");
        assert!(host.memory_mb() < MEMORY_MB, "{name}: uses {} MB", host.memory_mb());
        drop(idle);
    }
}
