//! Starts the project's own program with the command of the deploy file and a settings file that is
//! rendered from its template.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The addresses of one machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub node: String,
    pub zone: String,
    pub service: String,
    pub ip: String,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    /// Where the program calls its upstream.
    pub app: SocketAddr,
    pub port_base: u16,
    pub memory_mb: u64,
    pub link_mbps: f64,
}

/// Returns a block of `n` ports that are free on `ip`.
pub fn free_ports(ip: &str, n: u16) -> u16 {
    let mut base = 20_000 + (std::process::id() as u16 % 97) * 100;
    loop {
        let all_free = (0..n).all(|i| TcpListener::bind((ip, base + i)).is_ok());
        if all_free {
            return base;
        }
        base = if base > 31_000 { 20_000 } else { base + n };
    }
}

impl Machine {
    pub fn new(node: &str, zone: &str, service: &str, ip: &str) -> Machine {
        let base = free_ports(ip, 8);
        let at = |i: u16| format!("{ip}:{}", base + i).parse().unwrap();
        Machine {
            node: node.into(),
            zone: zone.into(),
            service: service.into(),
            ip: ip.into(),
            outbound: at(0),
            inbound: at(1),
            ready: at(2),
            control: at(3),
            app: at(4),
            port_base: base + 5,
            memory_mb: 260,
            link_mbps: 1000.0,
        }
    }
}

/// What all machines have in common.
#[derive(Clone)]
pub struct Deployment {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub store: SocketAddr,
    /// Zones with their regions, as JSON.
    pub zones: String,
    /// Bounds of the site.
    pub drain_ms: u64,
    pub grace_s: u64,
}

pub struct Process {
    pub child: Child,
    pub machine: Machine,
}

impl Deployment {
    /// Renders the template of the deploy file.
    fn settings(&self, m: &Machine) -> String {
        let text = fs::read_to_string(self.root.join("deploy/settings.yaml.template"))
            .expect("the template of the deploy file");
        let quoted = |s: &str| format!("\"{s}\"");
        let fields: Vec<(&str, String)> = vec![
            ("node|json", quoted(&m.node)),
            ("zone|json", quoted(&m.zone)),
            ("zones|json", self.zones.clone()),
            ("service|json", quoted(&m.service)),
            ("app_addr|json", quoted(&m.app.to_string())),
            ("provider.address|json", quoted(&self.store.to_string())),
            ("listen.outbound|json", quoted(&m.outbound.to_string())),
            ("listen.inbound|json", quoted(&m.inbound.to_string())),
            ("listen.ready|json", quoted(&m.ready.to_string())),
            ("listen.control|json", quoted(&m.control.to_string())),
            ("ip", m.ip.clone()),
            ("port_range.0", m.port_base.to_string()),
            ("bounds.drain_ms", self.drain_ms.to_string()),
            ("bounds.grace_s", self.grace_s.to_string()),
            ("bounds.hold_max_ms", "10000".into()),
            ("bounds.retry_ratio", "0.2".into()),
            ("bounds.retry_slack", "56".into()),
            ("bounds.retry_window_s", "10".into()),
            ("limits.memory_mb", m.memory_mb.to_string()),
            ("limits.link_mbps", format!("{:.1}", m.link_mbps)),
        ];
        let mut text = text;
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is not rendered: {text}");
        text
    }

    /// Starts the sidecar of a machine.
    pub fn start(&self, m: &Machine) -> Process {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = \"")).expect("a command");
        let path = self.dir.join(format!("{}.yaml", m.node));
        fs::write(&path, self.settings(m)).expect("the settings file is written");
        let mut words = run.trim_end_matches('"').split(' ');
        let program = self.root.join(words.next().expect("a program"));
        let args = words.map(|w| match w {
            "/etc/papayarill/node.toml" => path.to_string_lossy().into_owned(),
            w => w.to_owned(),
        });
        let log = self.dir.join(format!("{}.log", m.node));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(program);
        command
            .args(args)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log);
        // The program ends with the test, however the test ends.
        let end_with_parent = || {
            unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) };
            Ok(())
        };
        unsafe { command.pre_exec(end_with_parent) };
        let child = command.spawn().expect("the program starts");
        Process { child, machine: m.clone() }
    }
}

impl Process {
    pub fn signal(&self, signal: i32) {
        // Only ever the process that this test started.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns the resident memory in kB.
    pub fn rss_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(Path::new(&path)).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Waits until the node is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = std::time::Instant::now() + limit;
        while std::time::Instant::now() < end {
            if is_ready(self.machine.ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

pub fn is_ready(at: SocketAddr) -> bool {
    let request = crate::http::encode("GET /v1/ready HTTP/1.1", &[("Host", "node")], b"");
    let answer = crate::http::call(at, &request, Duration::from_secs(1));
    answer.is_ok_and(|m| m.status() == 200)
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
