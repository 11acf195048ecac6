//! Generates keyed load and prints outcomes and latencies.

use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use stand_ins::load::{self, Keys, LoadPlan, RequestIds, RequestOutcome};

/// The exit status for an invalid command line.
const USAGE_EXIT_STATUS: u8 = 2;

/// The command line.
#[derive(Options)]
struct Args {
    /// Prints this help.
    help: bool,
    /// The address to send requests to; may be given several times, for a random choice.
    #[options(no_short, meta = "ADDR")]
    target: Vec<SocketAddr>,
    /// The HTTP method.
    #[options(no_short, meta = "METHOD", default = "GET")]
    method: String,
    /// The path; {key} stands for the key.
    #[options(no_short, meta = "PATH", default = "/{key}")]
    path: String,
    /// A header as NAME:VALUE; {key} stands for the key. May be given several times.
    #[options(no_short, meta = "HEADER")]
    header: Vec<String>,
    /// The number of requests.
    #[options(no_short, meta = "N", default = "1000")]
    requests: u64,
    /// The number of concurrent requests.
    #[options(no_short, meta = "N", default = "1")]
    connections: usize,
    /// Requests per second; without it each response is followed by the next request.
    #[options(no_short, meta = "N")]
    rate: Option<f64>,
    /// The number of keys.
    #[options(no_short, meta = "N", default = "100")]
    keys: usize,
    /// The exponent of the Zipf distribution of keys; 0 is uniform.
    #[options(no_short, meta = "S", default = "0")]
    zipf: f64,
    /// The seed for the choice of keys and targets.
    #[options(no_short, meta = "N", default = "1")]
    seed: u64,
    /// Gives each request its own id.
    #[options(no_short)]
    ids: bool,
}

fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let plan = match plan(args) {
        Ok(plan) => plan,
        Err(message) => {
            eprintln!("stand-in-load: {message}");
            return ExitCode::from(USAGE_EXIT_STATUS);
        }
    };
    let report = actix_rt::System::new().block_on(load::run(plan));
    print!("{report}");
    match report.count(RequestOutcome::Answered) == report.total() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn plan(args: Args) -> Result<LoadPlan, String> {
    if args.target.is_empty() {
        return Err("no --target given: expected at least one".to_owned());
    }
    if args.rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0) {
        return Err("--rate: expected a number above 0".to_owned());
    }
    let split = |header: &String| {
        let (name, value) = header.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    let headers: Option<Vec<_>> = args.header.iter().map(split).collect();
    let ids = if args.ids { RequestIds::Fresh } else { RequestIds::None };
    Ok(LoadPlan::new(args.target)
        .method(args.method)
        .path(args.path)
        .headers(headers.ok_or("--header: expected NAME:VALUE")?)
        .requests(args.requests)
        .connections(args.connections)
        .rate(args.rate)
        .keys(Keys::zipf(args.keys, args.zipf))
        .seed(args.seed)
        .request_ids(ids))
}
