//! Measures the cost of messages between two host processes: bytes of TCP payload, CPU time on each
//! side, and memory per connection.
//!
//! Client and server each run on a thread of one process and talk over loopback. Unless a row says
//! otherwise, messages are sent one at a time, so that each pays for its own wake-ups, like the
//! infrequent control messages in production.

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

/// The number of messages sent for each row.
const MESSAGES_PER_ROW: u32 = 5_000;

/// The number of requests in flight in the concurrent row; a divisor of [`MESSAGES_PER_ROW`].
const CONCURRENT_REQUESTS: u32 = 50;

/// The number of connections opened to measure their memory.
const IDLE_CONNECTIONS: usize = 1_000;

/// A time limit that no message reaches.
const TIME_LIMIT: Millis = Millis(60_000);

/// The size of a memory page on the supported machines.
const PAGE_BYTES: usize = 4_096;

/// The average cost of one message, in bytes and microseconds of CPU time.
struct Row {
    name: String,
    sent: f64,
    received: f64,
    client_us: f64,
    server_us: f64,
}

/// Prints the table.
pub fn run() {
    let server_addr = start_server();
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
    let rows = LocalSet::new().block_on(&runtime, measure_all(server_addr));
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
    let bytes = LocalSet::new().block_on(&runtime, measure_connections(server_addr));
    println!("memory of one connection, both ends: {bytes} bytes");
}

/// Starts the server on a thread of its own and returns its address.
fn start_server() -> HostAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime starts");
        LocalSet::new().block_on(&runtime, async {
            let server = server();
            tx.send(server.addr()).expect("the measurement waits for the address");
            std::future::pending::<()>().await;
        });
    });
    rx.recv().expect("the server starts")
}

fn server() -> Server {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback has free ports");
    let on_call = Rc::new(|call| async move { reply_to(call) }.boxed_local());
    let on_forward = Rc::new(|head: ForwardHead, _body| {
        let response_bytes = head.rule.unwrap_or(0) as usize;
        let response = response_head(response_bytes as u64);
        let body = full_body(Bytes::from(vec![0; response_bytes]));
        async move { Outcome::Ran((response, body)) }.boxed_local()
    });
    serve(listener, Handlers { on_call, on_forward }).expect("the server starts")
}

async fn measure_all(server_addr: HostAddr) -> Vec<Row> {
    let client = Client::new(ClientSettings::default());
    let mut rows = Vec::new();
    for partitions in [0, 8, 32] {
        let name = format!("renewal, {partitions} partitions reported");
        rows.push(measure_call(&client, server_addr, name, &renewal_call(partitions)).await);
    }
    rows.push(
        measure_call(&client, server_addr, "routes, none newer".to_owned(), &routes_call(0)).await,
    );
    for routes_count in [24, 128, 1_024] {
        let name = format!("routes, {routes_count} routes");
        rows.push(measure_call(&client, server_addr, name, &routes_call(routes_count)).await);
    }
    for size in [1_024, 16_384] {
        let name = format!("configuration, {size} bytes");
        let call = Call::Config { at_least: ConfigVersion(size) };
        rows.push(measure_call(&client, server_addr, name, &call).await);
    }
    for (request_bytes, response_bytes) in
        [(0, 0), (0, 1_024), (1_024, 1_024), (0, 16_384), (0, 262_144)]
    {
        rows.push(measure_forward(&client, server_addr, request_bytes, response_bytes, 1).await);
    }
    rows.push(measure_forward(&client, server_addr, 0, 1_024, CONCURRENT_REQUESTS).await);
    rows
}

/// The state of the clocks and byte counters at one time.
struct Snapshot {
    sent: u64,
    received: u64,
    client_us: f64,
    process_us: f64,
}

fn take_snapshot(client: &Client) -> Snapshot {
    let micros = |id| {
        let time = clock_gettime(id);
        time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
    };
    let traffic = client.traffic();
    Snapshot {
        sent: traffic.sent,
        received: traffic.received,
        client_us: micros(ClockId::ThreadCPUTime),
        process_us: micros(ClockId::ProcessCPUTime),
    }
}

fn row_between(name: String, before: &Snapshot, after: &Snapshot) -> Row {
    let per_message = |sum: f64| sum / f64::from(MESSAGES_PER_ROW);
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

async fn measure_call(client: &Client, server_addr: HostAddr, name: String, call: &Call) -> Row {
    client.call(server_addr, call.clone(), TIME_LIMIT).await.expect("the server answers");
    let before = take_snapshot(client);
    for _ in 0..MESSAGES_PER_ROW {
        client.call(server_addr, call.clone(), TIME_LIMIT).await.expect("the server answers");
    }
    row_between(name, &before, &take_snapshot(client))
}

async fn measure_forward(
    client: &Client,
    server_addr: HostAddr,
    request_bytes: usize,
    response_bytes: u32,
    concurrent: u32,
) -> Row {
    let body = Bytes::from(vec![0; request_bytes]);
    let send = async || {
        let outcome = client.forward(server_addr, forward_head(response_bytes), body.clone()).await;
        let Outcome::Ran((_, mut body)) = outcome else { panic!("the server answers") };
        while let Some(chunk) = body.next().await {
            chunk.expect("the response is complete");
        }
    };
    send().await;
    let before = take_snapshot(client);
    join_all((0..concurrent).map(|_| async {
        for _ in 0..MESSAGES_PER_ROW / concurrent {
            send().await;
        }
    }))
    .await;
    let name = format!("forward, {request_bytes} to {response_bytes} bytes, {concurrent} at once");
    row_between(name, &before, &take_snapshot(client))
}

/// Returns the memory of one idle connection on both sides together, in bytes.
async fn measure_connections(server_addr: HostAddr) -> usize {
    let before = resident_bytes();
    let mut clients = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        let client = Client::new(ClientSettings::default());
        let call = Call::Config { at_least: ConfigVersion(0) };
        client.call(server_addr, call, TIME_LIMIT).await.expect("the server answers");
        clients.push(client);
    }
    (resident_bytes() - before) / clients.len()
}

/// Returns the resident set size of this process, in bytes.
pub fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the system is Linux");
    let pages = statm.split_whitespace().nth(1).and_then(|field| field.parse::<usize>().ok());
    pages.expect("statm has a resident field") * PAGE_BYTES
}

fn reply_to(call: Call) -> Reply {
    match call {
        Call::Ownership { .. } => Reply::Messages(vec![renewed_message()]),
        // The revision of the request encodes the number of routes in the reply.
        Call::Routes { have, .. } => Reply::Routes(route_table(have.revision)),
        // The requested version encodes the size of the document.
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

fn renewal_call(partitions: u32) -> Call {
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

fn renewed_message() -> Message {
    Message::Renewed {
        epoch: Epoch(40),
        session: session(),
        sent_at: Millis(86_400_000),
        routes: RoutesVersion { row: RowVersion(9_000), revision: 0 },
        config: ConfigVersion(83_000),
        config_age: Millis(400),
    }
}

fn routes_call(count: u32) -> Call {
    let have = RoutesVersion { row: RowVersion(9_000), revision: count };
    Call::Routes { cell: cell(), have }
}

fn route_table(count: u32) -> Option<RouteTable> {
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

/// Returns the head of a request whose rule index encodes the size of the response body.
fn forward_head(response_bytes: u32) -> ForwardHead {
    let id = RequestId::parse("01890a5d-ac96-774b-bcce-b302099a8057");
    ForwardHead {
        service: service(),
        partition: Some(Partition(12_000)),
        id: id.ok(),
        digest: 0x1234_5678_9abc_def0,
        priority: Priority::Interactive,
        time_left: TIME_LIMIT,
        rule: Some(response_bytes),
        method: "GET".to_owned(),
        target: "/stations/tsumeb/kp".to_owned(),
        headers: vec![("accept".to_owned(), b"application/json".to_vec())],
        body_length: 0,
    }
}

fn response_head(length: u64) -> ResponseHead {
    let headers = vec![("content-type".to_owned(), b"application/json".to_vec())];
    ResponseHead { status: 200, headers, body_length: Some(length), owner: host(7) }
}
