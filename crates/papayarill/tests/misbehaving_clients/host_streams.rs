//! Clients of the address for other hosts that speak HTTP/2.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::Request;
use mesh::SuspectUpdate;
use sidecar::wire::{Forward, ForwardExtension, encode_extended};
use tokio::net::TcpStream;

use adapter_stand_in::BYTES_PATH_PART;

/// The streams of one connection, below the default limit of servers.
const STREAMS: usize = 100;

/// The length of a message that is not sent to its end, and of the part that is sent.
const MESSAGE_BYTES: usize = 900_000;
const SENT_BYTES: usize = 600_000;

/// The length of a response that is not read.
const RESPONSE_BYTES: usize = 1_500_000;

async fn connect(stream: TcpStream) -> Option<h2::client::SendRequest<Bytes>> {
    let (client, connection) = h2::client::handshake(stream).await.ok()?;
    actix_rt::spawn(async move {
        // The end of the connection shows at its streams.
        let _ = connection.await;
    });
    client.ready().await.ok()
}

fn post(path: &str) -> http::request::Builder {
    Request::post(format!("http://host{path}"))
}

/// Sends a part of a message on each stream.
pub fn half_messages(stream: TcpStream, _: usize) -> LocalBoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(mut client) = connect(stream).await else { return };
        let mut open = Vec::new();
        for _ in 0..STREAMS {
            let req = post("/run").header("content-length", MESSAGE_BYTES).body(()).unwrap();
            let Ok((response, mut body)) = client.send_request(req, false) else { return };
            // A stream may be refused.
            let _ = body.send_data(Bytes::from(vec![0; SENT_BYTES]), false);
            open.push((response, body));
        }
        while let Ok(ready) = client.ready().await {
            client = ready;
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
    })
}

/// Requests long responses and reads none of them.
pub fn unread_replies(stream: TcpStream, client_number: usize) -> LocalBoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(mut client) = connect(stream).await else { return };
        let mut open = Vec::new();
        for n in 0..STREAMS {
            let message = encode_extended(
                &forward(&format!("unread-{client_number}-{n}")),
                &ForwardExtension::default(),
                &[],
            );
            let req = post("/run").body(()).unwrap();
            let Ok((response, mut body)) = client.send_request(req, false) else { return };
            // A stream may be refused.
            let _ = body.send_data(message, true);
            open.push(response);
        }
        while let Ok(ready) = client.ready().await {
            client = ready;
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
    })
}

fn forward(id: &str) -> Forward {
    let headers = [("host", "h.example"), ("attempt-id", id), ("deadline-ms", "10000")];
    Forward {
        version: 1,
        id: id.into(),
        service: "catalog".into(),
        from: "other".into(),
        method: "GET".into(),
        target: format!("/browse{BYTES_PATH_PART}{RESPONSE_BYTES}"),
        headers: headers.map(|(n, v)| (n.to_owned(), v.as_bytes().to_vec())).to_vec(),
        key: None,
        class: 7,
        priority: 1,
        target_ms: 8_000,
        limit_ms: 10_000,
        caller_ms: 10_000,
        digest: 0,
        suspects: SuspectUpdate::default(),
    }
}
