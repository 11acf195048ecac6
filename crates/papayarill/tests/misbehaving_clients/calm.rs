//! A single request at the limits of the configuration, while nothing else is held.

use std::time::Duration;

use adapter_stand_in::{BYTES_PATH_PART, Store};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::RUNNING_TEST;
use crate::limited_host::{Host, HostOptions, WAIT_LIMIT, document};

/// The memory of the smallest machine that the users name, in MB.
const MEMORY_MB: u64 = 160;

/// The default of `max_body_bytes`.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The default of `max_header_bytes`, less the other headers of the request.
const LONG_COOKIE: usize = 16_000;

/// Below the largest response that the settings allow, 1/32 of the memory.
const LONG_RESPONSE: usize = 5_000_000;

/// Sends a request once, and returns the status of the response and the length of what follows its
/// status line.
async fn exchange(host: &Host, parts: &[&[u8]]) -> (String, usize) {
    let mut stream = TcpStream::connect(host.callers).await.unwrap();
    for part in parts {
        stream.write_all(part).await.unwrap();
    }
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.unwrap();
    let text = String::from_utf8_lossy(&response[..12.min(response.len())]).into_owned();
    (text, response.len())
}

fn head(line: &str, more: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nhost: h.example\r\nattempt-id: calm\r\nconnection: close\r\n{more}\r\n"
    )
}

/// Guards against limits that a single request meets which is allowed.
#[actix_rt::test]
async fn a_single_request_at_the_limits_is_served() {
    let _lock = RUNNING_TEST.lock().await;
    let body = vec![b'b'; MAX_BODY_BYTES];
    let with_length = head("POST /order/x", &format!("content-length: {MAX_BODY_BYTES}\r\n"));
    let chunked = head("POST /order/x", "transfer-encoding: chunked\r\n");
    let chunk_size = format!("{MAX_BODY_BYTES:x}\r\n");
    let long_head = head("GET /browse/x", &format!("cookie: {}\r\n", "c".repeat(LONG_COOKIE)));
    let download = head(&format!("GET /browse{BYTES_PATH_PART}{LONG_RESPONSE}"), "");
    let end: &[u8] = b"\r\n0\r\n\r\n";
    let rows: [(&str, &[&[u8]], usize); 4] = [
        ("upload", &[with_length.as_bytes(), &body], 0),
        ("chunked", &[chunked.as_bytes(), chunk_size.as_bytes(), &body, end], 0),
        ("head", &[long_head.as_bytes()], 0),
        ("download", &[download.as_bytes()], LONG_RESPONSE),
    ];
    for far in [false, true] {
        for (name, parts, min_bytes) in rows {
            let name = format!("{name}-{}", if far { "far" } else { "near" });
            let store = Store::start().await;
            store.put_config(&document());
            let (near, entry) = (format!("{name}-a"), format!("{name}-b"));
            let options = |service, name| HostOptions {
                memory_mb: MEMORY_MB,
                limits: ", link_mbps: 1000",
                ..HostOptions::new(service, name)
            };
            let mut hosts = vec![Host::start(&store, options("catalog", &near)).await];
            if far {
                hosts.push(Host::start(&store, options("other", &entry)).await);
            }

            let sent = timeout(WAIT_LIMIT, exchange(hosts.last().unwrap(), parts));
            let watch = async {
                loop {
                    for host in &hosts {
                        let used = host.memory_mb();
                        assert!(used < MEMORY_MB, "{name}: uses {used} of {MEMORY_MB} MB");
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            };
            let (status, bytes) = tokio::select! {
                sent = sent => sent.unwrap_or_else(|_| panic!("{name}: not answered")),
                () = watch => unreachable!("it watches until the response"),
            };

            assert_eq!(status, "HTTP/1.1 200", "{name}");
            assert!(bytes > min_bytes, "{name}: {bytes} bytes");
        }
    }
}
