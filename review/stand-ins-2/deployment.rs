//! A small deployment: the store, and hosts with a sidecar process and a backend server each.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::upstream::{Settings, Stray, Upstream};

/// Writes what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the folder of the case is writable");
        Record { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {text}");
    }

    /// Writes a line there and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ports below the ephemeral range, so that no connection takes one before it is used.
pub fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id().wrapping_mul(131) % 10_000) as u16;
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], 20_000 + (start + step) % 10_000));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A host: its sidecar process, which is ended on drop, and its backend server.
pub struct Host {
    pub name: String,
    child: Mutex<Child>,
    settings: PathBuf,
    pub callers: SocketAddr,
    ready: SocketAddr,
    pub upstream: Upstream,
}

/// What a host is started with.
pub struct Plan {
    pub name: &'static str,
    pub zone: &'static str,
    pub service: &'static str,
    pub slots: usize,
    pub sharded: bool,
    pub memory_mb: u64,
    pub stray: Option<Stray>,
}

fn spawn(settings: &Path) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(settings.with_extension("log"));
    let log = log.expect("the temporary folder is writable");
    Command::new("target/release/papayarill")
        .args(["sidecar", "--settings"])
        .arg(settings)
        .env("PAPAYARILL_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a handle"))
        .stderr(log)
        .spawn()
        .unwrap_or_else(|e| {
            eprintln!("the sidecar can't be started: {e}");
            std::process::exit(2)
        })
}

impl Host {
    pub fn start(store: SocketAddr, folder: &Path, plan: Plan) -> Host {
        let Plan { name, zone, service, slots, sharded, memory_mb, stray } = plan;
        // A service with keys has a region for each zone here, the others one region for all.
        let regions = match sharded {
            true => r#"{"a":"ra","b":"rb","c":"rc"}"#,
            false => r#"{"a":"r","b":"r","c":"r"}"#,
        };
        let [callers, hosts, ready, control, metrics, server] =
            std::array::from_fn(|_| free_port());
        // What the template of the deploy file renders.
        let text = format!(
            "host: \"{name}\"\nzone: \"{zone}\"\nregions: {regions}\n\
             service: \"{service}\"\nbackend_server: \"{server}\"\nstore: \"{}\"\nlisten:\n  \
             callers: \"{callers}\"\n  hosts: \"{hosts}\"\n  ready: \"{ready}\"\n  \
             backend: \"{control}\"\n  metrics: \"{metrics}\"\ndrain_ms: 2500\nstop_ms: 6000\n\
             hold_max_ms: 10000\nretry:\n  ratio: 0.2\n  slack: 56\n  window_s: 10\nlimits:\n  \
             memory_mb: {memory_mb}\n  link_mbps: 1000.0\ncold:\n  overage: \n  slack: \n",
            store
        );
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the temporary folder is writable");
        let child = Mutex::new(spawn(&settings));
        let upstream = Upstream::start(Settings {
            id: format!("i-{name}"),
            address: server,
            control,
            service: service.into(),
            zone: zone.into(),
            slots,
            sharded,
            stray,
        });
        Host { name: name.into(), child, settings, callers, ready, upstream }
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        let request = http::request("GET", "/v1/ready", &[("Host", "ready")], b"");
        while Instant::now() < deadline {
            let reply = http::call(self.ready, &request, Duration::from_millis(500));
            if reply.is_some_and(|(head, _)| head.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns whether the process still runs.
    pub fn is_running(&self) -> bool {
        self.child.lock().unwrap().try_wait().is_ok_and(|status| status.is_none())
    }

    /// Sends SIGTERM and waits until the process has ended, for `limit` at most.
    pub fn stop(&self, limit: Duration) {
        let id = self.child.lock().unwrap().id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let deadline = Instant::now() + limit;
        while self.is_running() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Kills the process, if it still runs.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Starts the process again.
    pub fn restart(&self) {
        *self.child.lock().unwrap() = spawn(&self.settings);
    }

    /// Returns the resident memory of the process in MB.
    pub fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.lock().unwrap().id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).unwrap_or("0");
        let kb: f64 = line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0.0);
        kb / 1024.0
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A temporary folder, which is removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> TempFolder {
        let path = std::env::temp_dir().join(format!("papayarill-case-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the temporary folder is writable");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
