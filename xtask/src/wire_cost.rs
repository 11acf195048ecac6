//! Measures what a message between two host processes costs: bytes above TCP, processor time at
//! either end, and memory of a connection.
//!
//! Client and server run on a thread each, in one process, over loopback. Messages are sent one
//! after another, so each pays for its own wake-ups, as the rare messages of control do.

use std::net::{Ipv4Addr, TcpListener};
use std::rc::Rc;
use std::sync::mpsc;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::{FutureExt, StreamExt};
use model::{
    CellId, ConfigVersion, Epoch, Fence, HostAddr, Incarnation, Millis, Outcome, Partition,
    Priority, RequestId, RowVersion, ServiceName, Session, ZoneName,
};
use ownership::{Message, PartitionReport, Renew, Report, RouteEntry, RouteTable, RoutesVersion};
use rustix::time::{ClockId, clock_gettime};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use wire::{
    Call, Client, ClientSettings, ForwardHead, Handlers, Reply, ResponseHead, Server, full_body,
    serve,
};

/// Messages of one kind that are sent for one row.
const MESSAGES: u32 = 5_000;

/// Requests that are under way at the same time for one of the rows; it divides [`MESSAGES`].
const CONCURRENT: u32 = 50;

/// Connections that are opened for the row about memory.
const CONNECTIONS: usize = 1_000;

/// A time limit that is never reached.
const TIME_LIMIT: Millis = Millis(60_000);

/// Bytes of a page of memory on the machines that this is meant for.
const PAGE_BYTES: usize = 4_096;

/// What one message of one kind costs.
struct Row {
    name: String,
    sent: f64,
    received: f64,
    client_us: f64,
    server_us: f64,
}

/// Prints the table.
pub fn run() {
    let to = start_server();
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    let rows = LocalSet::new().block_on(&runtime, measure_all(to));
    println!(
        "{:<42}{:>9}{:>9}{:>11}{:>11}",
        "message", "sent B", "recv B", "client us", "server us"
    );
    for row in rows {
        println!(
            "{:<42}{:>9.1}{:>9.1}{:>11.1}{:>11.1}",
            row.name, row.sent, row.received, row.client_us, row.server_us
        );
    }
    let bytes = LocalSet::new().block_on(&runtime, measure_connections(to));
    println!("memory of one connection, both ends: {bytes} bytes");
}

/// Starts a server on a thread of its own.
fn start_server() -> HostAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
        LocalSet::new().block_on(&runtime, async {
            let server = server();
            tx.send(server.addr()).expect("the measurement waits");
            std::future::pending::<()>().await;
        });
    });
    rx.recv().expect("the server starts")
}

fn server() -> Server {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    let on_call = Rc::new(|call| async move { reply(call) }.boxed_local());
    let on_forward = Rc::new(|head: ForwardHead, _body| {
        let size = head.rule.unwrap_or(0) as usize;
        let answer = answer_head(size as u64);
        let body = full_body(Bytes::from(vec![0; size]));
        async move { Outcome::Ran((answer, body)) }.boxed_local()
    });
    serve(listener, Handlers { on_call, on_forward }).expect("the server starts")
}

async fn measure_all(to: HostAddr) -> Vec<Row> {
    let client = Client::new(ClientSettings::default());
    let mut rows = Vec::new();
    for partitions in [0, 8, 32] {
        let name = format!("renewal, {partitions} partitions reported");
        rows.push(measure_call(&client, to, name, &renewal(partitions)).await);
    }
    rows.push(measure_call(&client, to, "routes, none newer".to_owned(), &routes(0)).await);
    for routes_count in [24, 128, 1_024] {
        let name = format!("routes, {routes_count} routes");
        rows.push(measure_call(&client, to, name, &routes(routes_count)).await);
    }
    for size in [1_024, 16_384] {
        let name = format!("configuration, {size} bytes");
        let call = Call::Config { at_least: ConfigVersion(size) };
        rows.push(measure_call(&client, to, name, &call).await);
    }
    for (request, answer) in [(0, 0), (0, 1_024), (1_024, 1_024), (0, 16_384), (0, 262_144)] {
        rows.push(measure_forward(&client, to, request, answer, 1).await);
    }
    rows.push(measure_forward(&client, to, 0, 1_024, CONCURRENT).await);
    rows
}

/// Clocks and counters before or after a row.
struct Reading {
    sent: u64,
    received: u64,
    client_us: f64,
    process_us: f64,
}

fn read(client: &Client) -> Reading {
    let micros = |id| {
        let time = clock_gettime(id);
        time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
    };
    let traffic = client.traffic();
    Reading {
        sent: traffic.sent,
        received: traffic.received,
        client_us: micros(ClockId::ThreadCPUTime),
        process_us: micros(ClockId::ProcessCPUTime),
    }
}

fn row(name: String, before: &Reading, after: &Reading) -> Row {
    let per_message = |sum: f64| sum / f64::from(MESSAGES);
    let client_us = after.client_us - before.client_us;
    let process_us = after.process_us - before.process_us;
    Row {
        name,
        sent: per_message((after.sent - before.sent) as f64),
        received: per_message((after.received - before.received) as f64),
        client_us: per_message(client_us),
        server_us: per_message(process_us - client_us),
    }
}

async fn measure_call(client: &Client, to: HostAddr, name: String, call: &Call) -> Row {
    client.call(to, call.clone(), TIME_LIMIT).await.expect("the server answers");
    let before = read(client);
    for _ in 0..MESSAGES {
        client.call(to, call.clone(), TIME_LIMIT).await.expect("the server answers");
    }
    row(name, &before, &read(client))
}

async fn measure_forward(
    client: &Client,
    to: HostAddr,
    request: usize,
    answer: u32,
    concurrent: u32,
) -> Row {
    let body = Bytes::from(vec![0; request]);
    let send = async || {
        let outcome = client.forward(to, forward_head(answer), body.clone()).await;
        let Outcome::Ran((_, mut body)) = outcome else { panic!("the server answers") };
        while let Some(piece) = body.next().await {
            piece.expect("the answer is whole");
        }
    };
    send().await;
    let before = read(client);
    join_all((0..concurrent).map(|_| async {
        for _ in 0..MESSAGES / concurrent {
            send().await;
        }
    }))
    .await;
    let name = format!("forward, {request} to {answer} bytes, {concurrent} at once");
    row(name, &before, &read(client))
}

/// Returns the memory that an idle connection takes at both ends together, in bytes.
async fn measure_connections(to: HostAddr) -> usize {
    let before = resident_bytes();
    let mut clients = Vec::new();
    for _ in 0..CONNECTIONS {
        let client = Client::new(ClientSettings::default());
        let call = Call::Config { at_least: ConfigVersion(0) };
        client.call(to, call, TIME_LIMIT).await.expect("the server answers");
        clients.push(client);
    }
    (resident_bytes() - before) / clients.len()
}

/// Returns the resident memory of this process.
pub fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the system is Linux");
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<usize>().ok());
    pages.expect("statm has a resident field") * PAGE_BYTES
}

fn reply(call: Call) -> Reply {
    match call {
        Call::Ownership { .. } => Reply::Messages(vec![renewed()]),
        // The version asked for stands for the size of the answer.
        Call::Routes { have, .. } => Reply::Routes(table(have.revision)),
        Call::Config { at_least } => {
            let size = usize::try_from(at_least.0).unwrap_or(0);
            Reply::Config(Some((at_least, "x".repeat(size))))
        }
        _ => Reply::Done,
    }
}

fn session() -> Session {
    Session { incarnation: Incarnation(0x1234_5678_9abc_def0), number: 3 }
}

fn cell() -> CellId {
    CellId { service: service(), index: 412 }
}

fn service() -> ServiceName {
    ServiceName::new("alert-dispatch").expect("the name is valid")
}

fn host(number: u32) -> HostAddr {
    let [_, b, c, d] = number.to_be_bytes();
    HostAddr((Ipv4Addr::new(10, b, c, d), 7_400).into())
}

fn renewal(partitions: u32) -> Call {
    let partition = |index| PartitionReport {
        partition: Partition(12_000 + index),
        millirequests_per_second: 2_300_000,
    };
    let report = Report {
        slots: 6,
        slots_in_use: 4,
        draining: false,
        unfenced_grace: Millis::ZERO,
        partitions: (0..partitions).map(partition).collect(),
    };
    let renew = Renew { epoch: Epoch(40), session: session(), sent_at: Millis(86_400_000), report };
    Call::Ownership { from: host(7), cell: cell(), message: Message::Renew(renew) }
}

fn renewed() -> Message {
    Message::Renewed {
        epoch: Epoch(40),
        session: session(),
        sent_at: Millis(86_400_000),
        routes: RoutesVersion { row: RowVersion(9_000), revision: 0 },
        config: ConfigVersion(83_000),
        config_age: Millis(400),
    }
}

fn routes(count: u32) -> Call {
    let have = RoutesVersion { row: RowVersion(9_000), revision: count };
    Call::Routes { cell: cell(), have }
}

fn table(count: u32) -> Option<RouteTable> {
    let zone = ZoneName::new("khomas-1").expect("the name is valid");
    let route = |index| RouteEntry {
        partition: Partition(12_000 + index),
        fence: Fence(40),
        owner: host(index % 32),
    };
    (count > 0).then(|| RouteTable {
        version: RoutesVersion { row: RowVersion(9_001), revision: 0 },
        grantors: (0..3).map(host).collect(),
        members: (0..32).map(|index| (host(index), zone.clone())).collect(),
        routes: (0..count).map(route).collect(),
    })
}

/// Returns the head of a request; the rule stands for the size of the answer.
fn forward_head(answer: u32) -> ForwardHead {
    let id = RequestId::parse("01890a5d-ac96-774b-bcce-b302099a8057");
    ForwardHead {
        service: service(),
        partition: Some(Partition(12_000)),
        id: id.ok(),
        digest: 0x1234_5678_9abc_def0,
        priority: Priority::Interactive,
        time_left: TIME_LIMIT,
        rule: Some(answer),
        method: "GET".to_owned(),
        target: "/stations/tsumeb/kp".to_owned(),
        headers: vec![("accept".to_owned(), b"application/json".to_vec())],
        body_length: 0,
    }
}

fn answer_head(length: u64) -> ResponseHead {
    let headers = vec![("content-type".to_owned(), b"application/json".to_vec())];
    ResponseHead { status: 200, headers, body_length: Some(length), owner: host(7) }
}
