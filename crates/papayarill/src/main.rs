//! The command line of papayarill.

fn main() {}
