//! Child processes that are started and killed by a test or measurement.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use rustix::process::{Pid, Signal, kill_process};

/// The path of the shipped program.
#[derive(Clone, Debug)]
pub struct Program(pub PathBuf);

/// A child process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    first_line: String,
}

impl Program {
    /// Starts the program and waits for the line with its addresses. `PAPAYARILL_TRIAL_LOG` sets
    /// the filter of log lines, which is `off` by default.
    ///
    /// # Panics
    ///
    /// Panics if the program does not start or its output cannot be read.
    pub fn spawn(&self, arguments: &[&str]) -> Process {
        let filter = std::env::var("PAPAYARILL_TRIAL_LOG").unwrap_or("off".to_owned());
        self.spawn_with_log(arguments, &filter, Stdio::inherit())
    }

    /// Starts the program with a filter and a destination for log lines, and waits for the line
    /// with its addresses.
    ///
    /// # Panics
    ///
    /// Panics if the program does not start or its output cannot be read.
    pub fn spawn_with_log(&self, arguments: &[&str], filter: &str, log: Stdio) -> Process {
        let mut child = Command::new(&self.0)
            .args(arguments)
            .env("RUST_LOG", filter)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut first_line = String::new();
        BufReader::new(stdout).read_line(&mut first_line).expect("the program prints addresses");
        Process { child, first_line }
    }
}

/// Writes settings to a new temporary file and returns its path.
///
/// # Panics
///
/// Panics if the file cannot be written.
pub fn write_settings_file(text: &str) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let name = format!("papayarill-trial-{}-{number}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).expect("the settings can be written");
    path.to_str().expect("the path is UTF-8").to_owned()
}

impl Process {
    /// Returns the address with the prefix `label` in the first line that the process printed.
    ///
    /// # Panics
    ///
    /// Panics if there is no such address.
    pub fn address(&self, label: &str) -> SocketAddr {
        let words = self.first_line.split_whitespace().skip(1);
        let mut found = words.filter_map(|w| w.strip_prefix(label)?.parse().ok());
        found.next().unwrap_or_else(|| panic!("no {label:?} in {:?}", self.first_line))
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process exists");
    }

    /// Kills the process by SIGKILL, without a graceful shutdown, and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("the process status can be read").is_some()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
