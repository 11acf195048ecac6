//! Stand-ins of the platform, of backend servers and of callers for the cases of the second review,
//! and the cases themselves. Usage: `stand-ins CASE FOLDER`, in the root of the repository.

mod added_route;
mod crowds;
mod deployment;
mod http;
mod json;
mod leaving;
mod odd_entries;
mod rollback;
mod socket;
mod store;
mod stray_bytes;
mod upstream;

use std::path::Path;

use crowds::Crowd;
use deployment::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: stand-ins CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    let result = match case.as_str() {
        "slow-readers" => crowds::run(
            record,
            Crowd { reads_slowly: trouble, has_long_heads: false, is_paced: true },
        ),
        "stray-bytes" => stray_bytes::run(record, trouble),
        "long-heads" => crowds::run(
            record,
            Crowd { reads_slowly: false, has_long_heads: trouble, is_paced: false },
        ),
        "odd-entry" => odd_entries::run_entry(record, trouble),
        "odd-keys" => odd_entries::run_keys(record, trouble),
        "rollback" => rollback::run(record, trouble),
        "added-route" => added_route::run(record, trouble),
        "leaving" => leaving::run(record, trouble),
        _ => 2,
    };
    std::process::exit(result);
}
