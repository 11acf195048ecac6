//! Prints lines to the standard output, which the reader may have closed early
//! (`papayarill status | head`).

use std::fmt;
use std::io::Write;

/// Writes one line to the standard output. A closed output is not an error.
pub fn write_line(text: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Writes one formatted line like `println!`, but does not panic if the output is closed.
macro_rules! outln {
    ($($argument:tt)*) => { $crate::output::write_line(format_args!($($argument)*)) };
}

pub(crate) use outln;
