//! Server connections with pipelined requests: order, starts, ends, and the framing of messages.

use http1::server::Settings;
use model::Millis;

use crate::support::{Step, last, ok, response, run};
use Step::{
    Cancelled, Close, End, HalfClose, Pause, Receive, Release, Reset, Send, ShortPause, Started,
    Stop,
};

const CLOSE: &str = "connection: close\r\n";

#[actix_rt::test]
async fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    let rows: Vec<(&str, Vec<Step>)> = vec![
        (
            "a request that waits behind a slow one, or overtakes it",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a", "/b", "/c"]),
                Release("/wait-a"),
                ok("/wait-a"),
                ok("/b"),
                ok("/c"),
                Send("GET /d HTTP/1.1\r\n\r\n"),
                ok("/d"),
            ],
        ),
        (
            "a request that is read only after the response before it",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a"]),
                Send("GET /b HTTP/1.1\r\n"),
                Pause,
                Send("\r\n"),
                Started(&["/wait-a", "/b"]),
                Release("/wait-a"),
                ok("/wait-a"),
                ok("/b"),
            ],
        ),
        (
            "a request that must not run twice starts before earlier responses are written",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nPOST /p HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a", "/c"]),
                Release("/wait-a"),
                ok("/wait-a"),
                ok("/p"),
                ok("/c"),
                Started(&["/wait-a", "/c", "/p"]),
            ],
        ),
        (
            "requests behind one that asks for the end are started",
            vec![
                Send(
                    "GET /wait-a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nConnection: Close\r\n\r\n\
                     GET /c HTTP/1.1\r\n\r\n",
                ),
                Started(&["/wait-a", "/b"]),
                Release("/wait-a"),
                ok("/wait-a"),
                last("/b"),
                End,
                Started(&["/wait-a", "/b"]),
            ],
        ),
        (
            "requests behind a response that closes the connection go on or start",
            vec![
                Send(
                    "GET /wait/closing HTTP/1.1\r\n\r\nGET /wait-b HTTP/1.1\r\n\r\n\
                     POST /p HTTP/1.1\r\n\r\n",
                ),
                Started(&["/wait/closing", "/wait-b"]),
                Release("/wait/closing"),
                last("/wait/closing"),
                End,
                Cancelled(&["/wait-b"]),
                Started(&["/wait/closing", "/wait-b"]),
            ],
        ),
        (
            "a malformed head cancels the requests before it, or those behind it are started",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nGET\0 / HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a"]),
                Release("/wait-a"),
                ok("/wait-a"),
                Receive(response("400 Bad Request", CLOSE, "")),
                End,
                Started(&["/wait-a"]),
            ],
        ),
        (
            "a planned stop that loses requests that were read, or starts further ones",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nPOST /p HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a"]),
                Stop,
                Release("/wait-a"),
                ok("/wait-a"),
                last("/p"),
                End,
            ],
        ),
        (
            "a request that is read after the signal to close",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nPOST /p HTTP/1.1\r\n\r\nGET /c"),
                Started(&["/wait-a"]),
                Close,
                Pause,
                Send(" HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a"]),
                Release("/wait-a"),
                ok("/wait-a"),
                last("/p"),
                End,
                Started(&["/wait-a", "/p"]),
            ],
        ),
        (
            "an idle connection that ignores the signal to close",
            vec![Send("GET /a HTTP/1.1\r\n\r\n"), ok("/a"), Close, End],
        ),
        (
            "a caller that has just connected gets no response when the connection closes",
            vec![
                Pause,
                Close,
                Pause,
                Send("POST /p HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                last("/p"),
                End,
                Started(&["/p"]),
            ],
        ),
        (
            "a caller that closes its sending side keeps its handlers running",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\nGET /wait-b HTTP/1.1\r\n\r\n"),
                Started(&["/wait-a", "/wait-b"]),
                HalfClose,
                End,
                Cancelled(&["/wait-a", "/wait-b"]),
            ],
        ),
        (
            "a caller that leaves behind its last request keeps its handlers running",
            vec![
                Send("GET /wait-a HTTP/1.1\r\nConnection: close\r\n\r\n"),
                Started(&["/wait-a"]),
                HalfClose,
                End,
                Cancelled(&["/wait-a"]),
            ],
        ),
        (
            "a caller that leaves within a body keeps its handler running",
            vec![
                Send("POST /echo HTTP/1.1\r\nContent-Length: 9\r\n\r\ncut"),
                Started(&["/echo"]),
                HalfClose,
                End,
                Cancelled(&["/echo"]),
            ],
        ),
    ];
    for (guards_against, steps) in rows {
        run(guards_against, Settings::default(), steps).await;
    }
}

#[actix_rt::test]
async fn bodies_and_responses_end_where_their_heads_say() {
    let echoed = |body: &str| Receive(response("200 OK", "", body));
    let rows: Vec<(&str, Vec<Step>)> = vec![
        (
            "a body that runs into the next request, or misses a piece",
            vec![
                Send("POST /echo HTTP/1.1\r\nContent-Length: 6\r\nContent-Length: 6\r\n\r\nabc"),
                Pause,
                Send("defGET /b HTTP/1.1\r\n\r\n"),
                echoed("abcdef"),
                ok("/b"),
            ],
        ),
        (
            "chunks, extensions or trailers that become part of the body",
            vec![
                Send("POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r"),
                Pause,
                Send("\nA\r\n0123456789\r\n0\r\ntrailer: 1\r\n\r"),
                Pause,
                Send("\nGET /b HTTP/1.1\r\n\r\n"),
                echoed("abc0123456789"),
                ok("/b"),
            ],
        ),
        (
            "a caller that waits to be asked for its body, or is asked before earlier responses",
            vec![
                Send(
                    "GET /wait-a HTTP/1.1\r\n\r\n\
                     GET /echo HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
                ),
                Started(&["/wait-a", "/echo"]),
                Release("/wait-a"),
                ok("/wait-a"),
                Receive("HTTP/1.1 100 Continue\r\n\r\n".into()),
                Send("ab"),
                echoed("ab"),
            ],
        ),
        (
            "a body that was never asked for is read as a request",
            vec![
                Send("POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
                last("/p"),
                End,
            ],
        ),
        (
            "a body that the handler doesn't read is read as a request",
            vec![
                Send("POST /p HTTP/1.1\r\nContent-Length: 19\r\n\r\nGET /x HTTP"),
                ok("/p"),
                Send("/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                ok("/b"),
                Started(&["/p", "/b"]),
            ],
        ),
        (
            "a field without a value, or one between spaces, spoils its request",
            vec![
                Send(
                    "\r\nGET /a HTTP/1.1\r\nhost:\r\nx: \r\ny:   z \t\r\ncontent-length: 0\r\n\r\n",
                ),
                ok("/a"),
            ],
        ),
        (
            "a response without a body is followed by one",
            vec![
                Send(
                    "HEAD /a HTTP/1.1\r\n\r\nGET /status/204 HTTP/1.1\r\n\r\n\
                     GET /status/304 HTTP/1.1\r\n\r\nGET /status/199 HTTP/1.1\r\n\r\n",
                ),
                Receive("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n".into()),
                Receive("HTTP/1.1 204 No Content\r\n\r\n".into()),
                Receive("HTTP/1.1 304 Not Modified\r\n\r\n".into()),
                Receive(response("500 Internal Server Error", CLOSE, "")),
                End,
            ],
        ),
        (
            "a caller of version 1.0 whose connection stays open or closes unexpectedly",
            vec![
                Send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /b HTTP/1.0\r\n\r\n"),
                Receive(
                    "HTTP/1.0 200 OK\r\ncontent-length: 2\r\nconnection: keep-alive\r\n\r\n/a"
                        .into(),
                ),
                Receive(
                    "HTTP/1.0 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n/b".into(),
                ),
                End,
            ],
        ),
    ];
    for (guards_against, steps) in rows {
        run(guards_against, Settings::default(), steps).await;
    }
}

/// Guards against streamed bodies that are taken for complete ones, or that hide the next response.
#[actix_rt::test]
async fn streamed_bodies_end_where_their_framing_says() {
    let head = |fields: &str| Receive(format!("HTTP/1.1 200 OK\r\n{fields}\r\n"));
    let text = |text: &str| Receive(text.to_owned());
    let chunked = "transfer-encoding: chunked\r\n";
    let rows: Vec<(&str, Vec<Step>)> = vec![
        (
            "a body of known length that hides the next response",
            vec![
                Send("GET /stream/5/ab/cde HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head("content-length: 5\r\n"),
                text("abcde"),
                ok("/b"),
            ],
        ),
        (
            "a body of unknown length that hides the next response, or ends early",
            vec![
                Send("GET /stream/-/ab//cde HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head(chunked),
                text("2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"),
                ok("/b"),
            ],
        ),
        (
            "a response that starts before the streamed one has ended",
            vec![
                Send("GET /stream/-/ab/wait/c HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head(chunked),
                text("2\r\nab\r\n"),
                Pause,
                Release("wait"),
                text("1\r\nc\r\n0\r\n\r\n"),
                ok("/b"),
            ],
        ),
        (
            "a body that is written although there must be none",
            vec![
                Send(
                    "HEAD /stream/5/abcde HTTP/1.1\r\n\r\nHEAD /stream/-/ab HTTP/1.1\r\n\r\n\
                     GET /b HTTP/1.1\r\n\r\n",
                ),
                head("content-length: 5\r\n"),
                head(""),
                ok("/b"),
            ],
        ),
        (
            "a body that breaks off and seems complete",
            vec![
                Send("GET /stream/-/ab/cut HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head(chunked),
                text("2\r\nab\r\n"),
                End,
            ],
        ),
        (
            "a body that is shorter than announced and hides the next response",
            vec![
                Send("GET /stream/5/ab HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head("content-length: 5\r\n"),
                text("ab"),
                End,
            ],
        ),
        (
            "a body that is longer than announced and becomes the next response",
            vec![
                Send("GET /stream/3/ab/cde HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"),
                head("content-length: 3\r\n"),
                text("ab"),
                End,
            ],
        ),
        (
            "a caller of version 1.0 that gets chunks",
            vec![
                Send("GET /stream/-/ab/cde HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"),
                Receive("HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nabcde".into()),
                End,
            ],
        ),
        (
            "a caller of version 1.0 for which a body that breaks off seems complete",
            vec![
                Send("GET /stream/-/ab/wait/cut HTTP/1.0\r\n\r\n"),
                Receive("HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nab".into()),
                Release("wait"),
                Reset,
            ],
        ),
        (
            "a stop that cuts a response",
            vec![
                Send("GET /stream/-/ab/wait/c HTTP/1.1\r\n\r\n"),
                head(chunked),
                text("2\r\nab\r\n"),
                Close,
                Pause,
                Release("wait"),
                text("1\r\nc\r\n0\r\n\r\n"),
                End,
            ],
        ),
    ];
    for (guards_against, steps) in rows {
        run(guards_against, Settings::default(), steps).await;
    }
}

/// Guards against input that is parsed wrongly if it arrives in two pieces.
#[actix_rt::test]
async fn requests_may_arrive_in_pieces_of_any_length() {
    let requests = "POST /echo HTTP/1.1\r\nx: y\r\nTransfer-Encoding: chunked\r\n\r\n\
                    3;a=b\r\nabc\r\nC\r\n0123456789ab\r\n0\r\nt: 1\r\n\r\n\
                    POST /echo HTTP/1.1\r\nContent-Length: 4\r\n\r\n0\r\n\rGET /c HTTP/1.1\r\n\r\n";
    let mut steps = Vec::new();
    for at in 1..requests.len() {
        let (first, second) = requests.split_at(at);
        steps.extend([Send(first), ShortPause, Send(second)]);
        steps.push(Receive(response("200 OK", "", "abc0123456789ab")));
        steps.push(Receive(response("200 OK", "", "0\r\n\r")));
        steps.push(ok("/c"));
    }
    run("pieces", Settings::default(), steps).await;
}

/// Guards against request smuggling: bytes in which other software would see other requests.
#[actix_rt::test]
async fn ambiguous_requests_are_refused_and_their_connection_closes() {
    let heads = [
        ("length and coding", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
        ("coding and length", "Transfer-Encoding: chunked\r\nContent-Length: 5"),
        ("several lengths", "Content-Length: 5\r\nContent-Length: 6"),
        ("a list of lengths", "Content-Length: 5, 5"),
        ("a length with a sign", "Content-Length: +5"),
        ("an empty length", "Content-Length:"),
        ("a length beyond 64 bits", "Content-Length: 18446744073709551616"),
        ("another coding", "Transfer-Encoding: gzip"),
        ("several codings", "Transfer-Encoding: gzip, chunked"),
        ("a coding twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
        ("a space before the colon", "Content-Length : 5"),
        ("an obsolete line folding", "x: a\r\n b"),
        ("a folded coding", "Transfer-Encoding:\r\n chunked"),
        ("a null byte", "x: a\0b"),
        ("another control character", "x: a\x08b"),
        ("a bare carriage return", "x: a\rb"),
        ("a bare line feed", "x: a\ny: b"),
        ("a field without a colon", "x"),
    ];
    let chunks = [
        ("no size", "\r\nabc\r\n0\r\n\r\n"),
        ("a size that is no number", "x\r\nabc\r\n0\r\n\r\n"),
        ("a size with a sign", "+3\r\nabc\r\n0\r\n\r\n"),
        ("a size beyond 64 bits", "10000000000000003\r\nabc\r\n0\r\n\r\n"),
        ("a chunk longer than its size", "2\r\nabc\r\n0\r\n\r\n"),
        ("a size line with a bare line feed", "3\nabc\r\n0\r\n\r\n"),
        ("an extension with a bare carriage return", "3;a\rb\r\nabc\r\n0\r\n\r\n"),
        ("a trailer without a colon", "3\r\nabc\r\n0\r\nGET / HTTP/1.1\r\n\r\n"),
    ];
    let in_head = heads.map(|(name, fields)| {
        (name, format!("POST /echo HTTP/1.1\r\n{fields}\r\n\r\n"), &[] as &[&str])
    });
    let in_chunk = chunks.map(|(name, body)| {
        let head = "POST /echo HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        (name, format!("{head}{body}"), &["/echo"] as &[&str])
    });
    let old = "POST /echo HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned();
    let rows =
        in_head.into_iter().chain(in_chunk).chain([("a coding in 1.0", old, &[] as &[&str])]);
    for (name, request, started) in rows {
        let smuggled = format!("{request}GET /smuggled HTTP/1.1\r\n\r\n");
        let steps = vec![
            Send(smuggled.leak()),
            Receive(response("400 Bad Request", CLOSE, "")),
            End,
            Started(started),
        ];
        run(name, Settings::default(), steps).await;
    }
}

#[actix_rt::test]
async fn heads_are_limited_in_length_and_time() {
    let settings =
        Settings { max_head_bytes: 1_000, head_timeout: Millis(200), ..Settings::default() };
    let long = || format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(1_000));
    let too_long = || Receive(response("431 Request Header Fields Too Large", CLOSE, ""));
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(101));
    let rows: Vec<(&str, Vec<Step>)> = vec![
        ("a head without an end", vec![Send(long().leak()), too_long(), End]),
        ("a long head", vec![Send((long() + "\r\n\r\n").leak()), too_long(), End]),
        ("many fields", vec![Send(many.leak()), too_long(), End]),
        ("a connection without a request", vec![End]),
        ("a head that breaks off", vec![Send("GET / HT"), Pause, Send("TP/1.1\r\n"), End]),
        (
            "a connection without another request",
            vec![Send("GET /a HTTP/1.1\r\n\r\n"), ok("/a"), End],
        ),
        (
            "a timeout for the head while a request is in progress",
            vec![
                Send("GET /wait-a HTTP/1.1\r\n\r\n"),
                Pause,
                Pause,
                Pause,
                Pause,
                Pause,
                Release("/wait-a"),
                ok("/wait-a"),
                Send("GET /b HTTP/1.1\r\n\r\n"),
                ok("/b"),
                End,
            ],
        ),
    ];
    for (guards_against, steps) in rows {
        run(guards_against, settings, steps).await;
    }
}
