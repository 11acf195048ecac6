//! Measures the size and the processing cost of configuration documents and cell rows, at several
//! sizes, and how long a new configuration takes to reach every host process.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use model::{Epoch, Fence, HostAddr, Incarnation, Millis, Partition, Session, WriterTag, ZoneName};
use ownership::{Assignment, CellRow, Grantor, MemberEntry};
use papayarill_config::{
    Config, ConfigBuilder, KeySource, Method, RuleBuilder, ServiceBuilder, diff, parse, to_yaml,
};
use platform::{decode_row, encode_row};

use crate::config_propagation;

/// The number of runs; their median is printed.
const RUNS_PER_MEDIAN: usize = 31;

/// Prints all tables.
pub fn run() {
    println!("services  document bytes  parse us  print us     diff us");
    for services in [3, 30, 300, 1_500] {
        measure_document(services);
    }
    println!("\nmembers  partitions  row bytes  encode us  decode us");
    for (members, partitions) in [(6, 0), (32, 0), (6, 64), (32, 64), (32, 256), (32, 1_024)] {
        measure_row(members, partitions);
    }
    println!();
    config_propagation::run();
}

fn measure_document(services: u32) {
    let document = sample_config(services);
    let text = to_yaml(&document);
    let parse_us = median_us(|| parse(&text));
    let print_us = median_us(|| to_yaml(&document));
    let diff_us = median_us(|| diff(&document, &document));
    let bytes = text.len();
    println!("{services:8}  {bytes:14}  {parse_us:8}  {print_us:8}  {diff_us:10}");
}

fn measure_row(members: u64, partitions: u32) {
    let cell_row = sample_row(members, partitions);
    let Ok(json) = encode_row(&cell_row) else {
        println!("{members:7}  {partitions:10}  the row could not be encoded");
        return;
    };
    let encode_us = median_us(|| encode_row(&cell_row));
    let decode_us = median_us(|| decode_row(&json));
    let bytes = json.len();
    println!("{members:7}  {partitions:10}  {bytes:9}  {encode_us:9}  {decode_us:9}");
}

fn median_us<T>(mut run: impl FnMut() -> T) -> u128 {
    let mut times: Vec<u128> = (0..RUNS_PER_MEDIAN)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed().as_micros()
        })
        .collect();
    times.sort_unstable();
    times[RUNS_PER_MEDIAN / 2]
}

/// Returns a configuration with services similar to those of the examples.
fn sample_config(services: u32) -> Config {
    let mut builder = ConfigBuilder::new().region("khomas", ["khomas-a", "khomas-b"]);
    for index in 0..services {
        builder = builder.service(sample_service(index));
    }
    builder.build().unwrap_or_default()
}

fn sample_service(index: u32) -> ServiceBuilder {
    let read = RuleBuilder::new("/stations/**").methods([Method::Get, Method::Head]);
    let calibration = RuleBuilder::new("/stations/*/calibration/**").methods([Method::Get]);
    ServiceBuilder::new(&format!("service-{index}"))
        .keys(&KeySource::PathSegment(1))
        .partitions(192)
        .backend_servers(6)
        .slots(6)
        .connections(110)
        .rule(calibration.repeatable().time_limit(Millis(5_000)))
        .rule(read.repeatable().time_limit(Millis(2_000)))
        .rule(RuleBuilder::new("/stations/**"))
}

fn session_of(host: u64) -> Session {
    // Real incarnations are random, so most have 19 or 20 decimal digits.
    Session { incarnation: Incarnation(u64::MAX - host), number: 1 }
}

fn sample_row(members: u64, partitions: u32) -> CellRow {
    let addr = HostAddr(SocketAddr::from(([10, 200, 100, 100], 40_000)));
    let zone = ZoneName::new("khomas-a").ok();
    let member =
        |host| Some(MemberEntry { session: session_of(members - host), addr, zone: zone.clone()? });
    let grantor = |host| {
        Some(Grantor { addr, incarnation: session_of(host).incarnation, zone: zone.clone()? })
    };
    let assignment = |partition: u32| Assignment {
        partition: Partition(partition),
        fence: Fence(100),
        owner: session_of(u64::from(partition) % members),
        standby: Some(session_of(u64::from(partition + 1) % members)),
    };
    CellRow {
        writer: WriterTag(u64::MAX),
        epoch: Epoch(10),
        grantors: (0..3).filter_map(grantor).collect(),
        unsealed: Vec::new(),
        members: (0..members).filter_map(member).collect(),
        assignments: (0..partitions).map(assignment).collect(),
    }
}
