//! Chores: measurements and checks.

fn main() {}
