//! Stand-ins of the platform, of backend servers and of callers for the cases of the second review,
//! and the cases themselves. Usage: `stand-ins CASE FOLDER`, in the root of the repository.

mod crowds;
mod deployment;
mod http;
mod json;
mod odd_entries;
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
        "slow-readers" => {
            crowds::run(record, Crowd { reads_slowly: trouble, has_long_heads: false })
        }
        "stray-bytes" => stray_bytes::run(record, trouble),
        "long-heads" => {
            crowds::run(record, Crowd { reads_slowly: false, has_long_heads: trouble })
        }
        "odd-entry" => odd_entries::run_entry(record, trouble),
        "odd-keys" => odd_entries::run_keys(record, trouble),
        _ => 2,
    };
    std::process::exit(result);
}
