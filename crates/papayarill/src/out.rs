//! Lines for the operator, who may have closed the output early (`papayarill status | head`).

use std::fmt;
use std::io::Write;

/// Writes one line to the standard output. A closed output is no fault of the command.
pub fn line(text: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Writes one formatted line, like `println!`, but does not panic if the output is closed.
macro_rules! say {
    ($($argument:tt)*) => { $crate::out::line(format_args!($($argument)*)) };
}

pub(crate) use say;
