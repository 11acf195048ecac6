//! Writes log lines to standard output without ever blocking a request.
//!
//! Lines go through a bounded queue to a thread of their own. Lines that don't fit into the queue
//! or exceed the rate limit are dropped and counted, and the count is written with the next line
//! that fits.

use std::io::{self, Write};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Lines queued for a slow reader: a few hundred kilobytes, and four megabytes at most.
const MAX_QUEUED_LINES: usize = 2_048;

/// Longer lines are cut: callers choose the ids of their requests.
const MAX_LINE_BYTES: usize = 2 << 10;

/// Maximum lines per second. A host with 100 requests per second writes two or three for each.
const MAX_LINES_PER_S: u32 = 400;

/// A log writer that never blocks.
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    window_start: Instant,
    window_lines: u32,
    dropped: u64,
}

impl LogWriter {
    /// Starts the thread that writes to standard output.
    pub fn start() -> Self {
        let (tx, rx) = sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        thread::spawn(move || {
            let mut out = io::stdout().lock();
            for line in rx {
                if out.write_all(&line).and_then(|()| out.flush()).is_err() {
                    // Standard output is closed, so there is no place left to report it.
                    return;
                }
            }
        });
        Self { tx, window_start: Instant::now(), window_lines: 0, dropped: 0 }
    }

    fn send(&mut self, line: Vec<u8>) {
        match self.tx.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
        }
    }
}

/// Returns a copy of a line that is not too long.
fn cut(line: &[u8]) -> Vec<u8> {
    if line.len() <= MAX_LINE_BYTES {
        return line.to_vec();
    }
    let mut cut = line[..MAX_LINE_BYTES].to_vec();
    cut.extend_from_slice(format!("... cut, {} bytes\n", line.len()).as_bytes());
    cut
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.window_lines = 0;
            if self.dropped > 0 {
                let dropped = std::mem::take(&mut self.dropped);
                self.send(format!("event=log-dropped lines={dropped}\n").into_bytes());
            }
        }
        self.window_lines += 1;
        if self.window_lines > MAX_LINES_PER_S {
            self.dropped += 1;
        } else {
            self.send(cut(line));
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
