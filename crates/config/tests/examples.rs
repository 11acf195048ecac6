//! The example programs print the committed example documents, and these are valid.

use papayarill_config::{Config, parse, to_yaml};

#[allow(dead_code, reason = "the example programs have their own main function")]
#[path = "../examples/signage.rs"]
mod signage;
#[allow(dead_code, reason = "the example programs have their own main function")]
#[path = "../examples/solar_watch.rs"]
mod solar_watch;

fn check(config: &Config, committed: &str) {
    assert_eq!(to_yaml(config), committed);
    assert_eq!(parse(committed).as_ref(), Ok(config));
}

#[test]
fn committed_documents_match_the_output_of_the_programs() {
    let solar_watch = solar_watch::config().expect("a valid configuration");
    let signage = signage::config().expect("a valid configuration");
    check(&solar_watch, include_str!("../../../examples/solar-watch.yaml"));
    check(&signage, include_str!("../../../examples/signage.yaml"));
}
