//! Limits on received data and on open connections.

mod common;

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;

use bytes::Bytes;
use common::values::Generator;
use common::{LONG, collect, config_call, echo, head, ran, run, server_with};
use futures_util::FutureExt;
use futures_util::future::join_all;
use h2::client::SendRequest;
use http::{Request, StatusCode};
use model::{
    CellId, Fence, HandoverRecord, HostAddr, KeptResponse, Millis, NotRunReason, Outcome,
    Partition, RecordOutcome, RequestId,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::codec::{MAX_CALL_BYTES, MAX_HEAD_BYTES, encode_call, encode_forward_head};
use wire::{
    Call, CallError, Client, ClientSettings, Handlers, Handover, Server, ServerSettings, full_body,
    handover_calls, serve,
};

/// Starts an echo server that counts the requests that it runs.
fn counting_echo(settings: ServerSettings) -> (Server, Rc<Cell<u32>>) {
    let runs = Rc::new(Cell::new(0));
    let count = runs.clone();
    let server = server_with(settings, move |head, body| {
        count.set(count.get() + 1);
        async move { ran(head.body_length, full_body(body)) }.boxed_local()
    });
    (server, runs)
}

/// Opens an HTTP/2 connection without the limits of [`Client`].
async fn connect_raw(to: HostAddr) -> SendRequest<Bytes> {
    let io = TcpStream::connect(to.0).await.unwrap();
    let (send, conn) = h2::client::handshake(io).await.unwrap();
    tokio::task::spawn_local(conn);
    send
}

/// Sends raw bytes and returns the status, or `None` if the stream failed.
async fn post(to: HostAddr, path: &str, data: Vec<u8>) -> Option<StatusCode> {
    let req = Request::post(format!("http://peer{path}")).body(()).unwrap();
    let (response, mut tx) =
        connect_raw(to).await.ready().await.unwrap().send_request(req, false).unwrap();
    tx.send_data(data.into(), true).unwrap();
    response.await.ok().map(|response| response.status())
}

fn framed(body_length: u64, body: &[u8]) -> Vec<u8> {
    let frame = encode_forward_head(wire::ForwardHead { body_length, ..head(LONG) }).unwrap();
    [&u32::try_from(frame.len()).unwrap().to_be_bytes()[..], &frame, body].concat()
}

#[test]
fn oversized_or_malformed_input_is_not_run() {
    let check = |path, data: Vec<u8>, expected: StatusCode| {
        run(async {
            let (server, runs) = counting_echo(ServerSettings::default().max_body_bytes(10));
            let size = data.len();
            let status = post(server.addr(), path, data).await;
            assert_eq!(status, Some(expected), "{size} bytes to {path}");
            assert_eq!(runs.get(), 0);
        });
    };
    let oversized_head = u32::try_from(MAX_HEAD_BYTES + 1).unwrap().to_be_bytes();

    check("/elsewhere", vec![], StatusCode::NOT_FOUND);
    check("/call", vec![], StatusCode::BAD_REQUEST);
    check("/call", vec![9, 9], StatusCode::BAD_REQUEST);
    check("/call", vec![1; MAX_CALL_BYTES + 1], StatusCode::PAYLOAD_TOO_LARGE);
    check("/forward", vec![0, 0], StatusCode::BAD_REQUEST);
    check("/forward", vec![0, 0, 0, 1, 9], StatusCode::BAD_REQUEST);
    check("/forward", oversized_head.to_vec(), StatusCode::PAYLOAD_TOO_LARGE);
    check("/forward", framed(11, &[0; 11]), StatusCode::PAYLOAD_TOO_LARGE);
    check("/forward", framed(3, b"1234"), StatusCode::PAYLOAD_TOO_LARGE);
    check("/forward", framed(5, b"1234"), StatusCode::BAD_REQUEST);
}

#[test]
fn a_request_at_the_size_limit_is_run() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default().max_body_bytes(4));

        let status = post(server.addr(), "/forward", framed(4, b"1234")).await;

        assert_eq!((status, runs.get()), (Some(StatusCode::OK), 1));
    });
}

#[test]
fn a_server_survives_bytes_that_violate_the_protocol() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default());
        let mut generator = Generator::new(11);
        for _ in 0..50 {
            let mut io = TcpStream::connect(server.addr().0).await.unwrap();
            let length = generator.below(2_000);
            let preface: &[u8] =
                if generator.below(2) == 0 { b"" } else { b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" };
            // The server may close the connection before everything is written.
            let _ = io.write_all(&[preface, &generator.bytes(length)].concat()).await;
        }

        let client = Client::new(ClientSettings::default());
        let outcome = client.forward(server.addr(), head(LONG), Bytes::new()).await;

        assert!(matches!(outcome, Outcome::Ran(_)));
        assert_eq!(runs.get(), 1);
    });
}

#[test]
fn slow_peers_time_out() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default().read_timeout(Millis(50)));

        let mut silent = TcpStream::connect(server.addr().0).await.unwrap();
        // Reads the HTTP/2 settings of the server, then the end of the connection.
        let ended = silent.read_to_end(&mut Vec::new()).await;
        let req = Request::post("http://peer/forward").body(()).unwrap();
        let mut send = connect_raw(server.addr()).await.ready().await.unwrap();
        let (response, mut tx) = send.send_request(req, false).unwrap();
        tx.send_data(framed(5, b"1234").into(), false).unwrap();
        let status = response.await.map(|response| response.status());

        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == ErrorKind::ConnectionReset));
        assert_eq!(status.unwrap(), StatusCode::REQUEST_TIMEOUT);
        assert_eq!(runs.get(), 0);
    });
}

#[test]
fn requests_that_exceed_the_memory_limit_are_not_run() {
    let check = |memory, size, expected_run: bool| {
        run(async {
            let (server, runs) =
                counting_echo(ServerSettings::default().max_buffered_bytes(memory));
            let client = Client::new(ClientSettings::default());
            let body = Bytes::from(vec![0; size]);

            let outcome = client.forward(server.addr(), head(LONG), body).await;
            let called = client.call(server.addr(), config_call(), LONG).await;

            let rejected = matches!(outcome, Outcome::NotRun(NotRunReason::Overloaded));
            assert_eq!((rejected, runs.get()), (!expected_run, u32::from(expected_run)), "{size}");
            assert_eq!(called.is_ok(), memory > 10, "the memory is released");
        });
    };

    check(1_000, 0, true);
    check(1_000, 800, true);
    check(1_000, 1_001, false);
    check(1, 0, false);
}

#[test]
fn oversized_headers_are_rejected() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default());
        let mut send = connect_raw(server.addr()).await.ready().await.unwrap();
        let req = Request::post("http://peer/forward").header("x", "y".repeat(64 * 1024));

        let (response, mut tx) = send.send_request(req.body(()).unwrap(), false).unwrap();
        let sent = tx.send_data(framed(0, b"").into(), true);

        let status = response.await.map(|response| response.status());
        assert!(sent.is_err() || status.is_err() || status.is_ok_and(|s| !s.is_success()));
        assert_eq!(runs.get(), 0);
    });
}

#[test]
fn streams_that_exceed_the_peers_limit_are_not_run() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default().max_streams(2));
        // Both limits are equal by default; here, the client's limit exceeds the server's.
        let client = Client::new(ClientSettings::default());
        let sends = (0..50).map(|_| client.forward(server.addr(), head(LONG), Bytes::new()));

        let outcomes = join_all(sends).await;

        let ran = outcomes.iter().filter(|o| matches!(o, Outcome::Ran(_))).count();
        let not_run = outcomes.iter().filter(|o| matches!(o, Outcome::NotRun(_))).count();
        assert_eq!((ran + not_run, ran), (50, runs.get() as usize));
    });
}

#[test]
fn calls_have_a_separate_connection_limit() {
    run(async {
        let on_call = Rc::new(|_| std::future::pending().boxed_local());
        let on_forward = Rc::new(|_, _| std::future::pending().boxed_local());
        let handlers = Handlers { on_call, on_forward };
        let stuck = serve(common::listener(), handlers).unwrap();
        let (to, other) = (stuck.addr(), echo());
        let client = Client::new(ClientSettings::default().max_connections(1));
        let calling = client.clone();
        tokio::task::spawn_local(async move {
            calling.call(to, config_call(), LONG).await.unwrap_err();
        });
        while client.connections() == 0 {
            tokio::task::yield_now().await;
        }

        let called = client.call(other.addr(), config_call(), LONG).await;
        let forwarded = client.forward(other.addr(), head(LONG), Bytes::new()).await;

        assert!(matches!(called, Err(CallError::TooManyConnections { .. })));
        assert!(matches!(forwarded, Outcome::Ran(_)));
    });
}

#[test]
fn a_client_limits_its_connections() {
    run(async {
        let servers = [echo(), echo(), echo()];
        let addrs = servers.each_ref().map(Server::addr);
        let client = Client::new(ClientSettings::default().max_connections(2));
        let forward = async |to| client.forward(to, head(LONG), Bytes::from_static(b"x")).await;

        let Outcome::Ran((_, first)) = forward(addrs[0]).await else { panic!("not run") };
        let Outcome::Ran((_, second)) = forward(addrs[1]).await else { panic!("not run") };
        let third = forward(addrs[2]).await;
        collect(first).await.unwrap();
        let after = forward(addrs[2]).await;

        assert!(matches!(third, Outcome::NotRun(NotRunReason::Overloaded)));
        assert!(matches!(after, Outcome::Ran(_)), "an idle connection is evicted");
        assert_eq!(client.connections(), 2);
        assert_eq!(collect(second).await, Ok(Bytes::from_static(b"x")));
    });
}

/// Returns a client with an open stream, and the response body that keeps the stream open.
async fn client_with_open_stream(server: &Server) -> (Client, wire::Body) {
    let client = Client::new(ClientSettings::default());
    let body = Bytes::from(vec![0; 1024 * 1024]);
    let Outcome::Ran((_, body)) = client.forward(server.addr(), head(LONG), body).await else {
        panic!("not run")
    };
    (client, body)
}

#[test]
fn a_full_server_rejects_a_connection_only_if_none_is_idle() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default().max_connections(2));
        let (_first, first_body) = client_with_open_stream(&server).await;
        let (_second, second_body) = client_with_open_stream(&server).await;
        let third = Client::new(ClientSettings::default());

        let rejected = third.forward(server.addr(), head(LONG), Bytes::new()).await;
        collect(first_body).await.unwrap();
        let admitted = loop {
            // The server notices with a delay that the first stream has ended.
            let outcome = third.forward(server.addr(), head(LONG), Bytes::new()).await;
            if matches!(outcome, Outcome::Ran(_)) {
                break outcome;
            }
        };

        assert!(matches!(rejected, Outcome::NotRun(NotRunReason::NotConnected)));
        assert!(matches!(admitted, Outcome::Ran(_)));
        assert_eq!(collect(second_body).await.unwrap().len(), 1024 * 1024);
        assert_eq!(runs.get(), 3);
    });
}

#[test]
fn a_client_reconnects_after_its_idle_connection_was_evicted() {
    run(async {
        let (server, runs) = counting_echo(ServerSettings::default().max_connections(1));
        let clients = [(); 2].map(|()| Client::new(ClientSettings::default()));

        for round in 1..=50 {
            for client in &clients {
                let outcome = client.forward(server.addr(), head(LONG), Bytes::new()).await;
                assert!(matches!(outcome, Outcome::Ran(_)), "round {round}");
            }
        }

        assert_eq!(runs.get(), 100);
    });
}

#[test]
fn an_idle_connection_is_closed() {
    run(async {
        let server = echo();
        let client = Client::new(ClientSettings::default().idle_timeout(Millis(20)));
        client.call(server.addr(), config_call(), LONG).await.unwrap();

        while client.connections() + server.connections() > 0 {
            tokio::time::sleep(Millis(1).into()).await;
        }
        let again = client.call(server.addr(), config_call(), LONG).await;

        assert!(again.is_ok());
    });
}

#[test]
fn one_connection_carries_thousands_of_requests() {
    run(async {
        let server = echo();
        let client = Client::new(ClientSettings::default());
        let send = async || {
            let outcome = client.forward(server.addr(), head(LONG), Bytes::from_static(b"x")).await;
            let Outcome::Ran((_, body)) = outcome else { panic!("not run") };
            collect(body).await.unwrap()
        };

        let responses = join_all((0..3_000).map(|_| send())).await;

        assert!(responses.iter().all(|response| response == "x"));
        assert_eq!((client.connections(), server.connections()), (1, 1));
    });
}

/// Returns a handover of records whose kept responses have bodies of these sizes.
fn handover(bodies: &[usize]) -> Handover {
    let record = |(index, size): (usize, &usize)| HandoverRecord {
        id: RequestId::parse(&format!("01890a5d-ac96-774b-bcce-{index:012x}")).unwrap(),
        digest: u64::MAX,
        age: LONG,
        outcome: RecordOutcome::Answered(KeptResponse {
            status: 200,
            headers: vec![("content-type".to_owned(), b"text/plain".to_vec())],
            body: vec![0; *size],
        }),
    };
    Handover {
        cell: CellId { service: head(LONG).service, index: 0 },
        partition: Partition(1),
        fence: Fence(2),
        complete_from: LONG,
        records: bodies.iter().enumerate().map(record).collect(),
    }
}

#[test]
fn an_oversized_call_is_not_sent() {
    run(async {
        let server = echo();
        let client = Client::new(ClientSettings::default());
        let call = |size| Call::Handover(handover(&[size]));

        let small = client.call(server.addr(), call(MAX_CALL_BYTES / 2), LONG).await;
        let large = client.call(server.addr(), call(MAX_CALL_BYTES), LONG).await;

        assert!(small.is_ok());
        assert!(matches!(large, Err(CallError::Codec { .. })));
    });
}

#[test]
fn a_handover_is_split_into_calls_that_fit_into_frames() {
    let check = |bodies: &[usize], expected_calls: usize| {
        let original = handover(bodies);
        let calls = handover_calls(original.clone());
        assert_eq!(calls.len(), expected_calls, "{} records", bodies.len());
        assert!(calls.iter().all(|call| encode_call(call.clone()).is_ok()));
        let chunks = calls.into_iter().map(|call| match call {
            Call::Handover(chunk) => chunk,
            other => panic!("{other:?}"),
        });
        let merged = chunks.flat_map(|chunk| chunk.records).collect::<Vec<_>>();
        assert_eq!(merged, original.records);
    };

    check(&[], 1);
    check(&[10], 1);
    check(&[64 * 1024; 200], 13);
    check(&[0; 100_000], 10);
    assert!(encode_call(Call::Handover(handover(&[64 * 1024; 200]))).is_err());
}
