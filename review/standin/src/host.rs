//! The product's daemon as a process of its own.

use crate::http;
use crate::store::Store;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// The processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes a process that was started.
pub fn register(id: u32) {
    RUNNING.lock().expect("no thread panicked").push(id);
}

/// Notes that a process has ended.
pub fn unregister(id: u32) {
    let mut running = RUNNING.lock().expect("no thread panicked");
    running.retain(|running| *running != id);
}

/// Ends the run after a time: kills all processes that it has started, and exits with 2.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        let running = RUNNING.lock().map(|running| running.clone());
        for id in running.unwrap_or_default() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        eprintln!("the run took too long");
        std::process::exit(2);
    });
}

/// One entry host.
pub struct Host {
    pub name: String,
    /// Where clients reach it.
    pub front: SocketAddr,
    /// Where it receives what other hosts send.
    pub peers: SocketAddr,
    /// Where the platform asks whether it is ready.
    pub ready: SocketAddr,
    metrics_port: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns a port that is free for TCP and UDP, below those that the system gives to outgoing connections: one of these
/// could take it before the daemon does.
fn free_port() -> u16 {
    const FIRST: u32 = 12_000;
    const COUNT: u32 = 20_000;
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        // Runs at the same time begin at different ports.
        let start = std::process::id().wrapping_mul(97);
        let number = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst));
        let port = (FIRST + number % COUNT) as u16;
        let tcp = TcpListener::bind(("127.0.0.1", port));
        let udp = UdpSocket::bind(("127.0.0.1", port));
        if tcp.is_ok() && udp.is_ok() {
            return port;
        }
    }
}

impl Host {
    /// Writes the settings of a host, with the bounds of the example in DEPLOY.md, and starts it.
    pub fn start(name: &str, zone: &str, store: &Store, folder: &Path) -> Host {
        let mut host = Host::prepare(name, zone, store, folder);
        host.launch();
        host
    }

    /// Writes the settings of a host. It is not started.
    pub fn prepare(name: &str, zone: &str, store: &Store, folder: &Path) -> Host {
        let [front, ready, peers, metrics_port] = [(); 4].map(|()| free_port());
        let store = store.open(name);
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{zone}"
region = "bayern"
port_range = [{peers},{peers}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
muc-a = "bayern"
muc-b = "bayern"
nue-c = "bayern"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 100
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#
        );
        fs::write(&settings, text).expect("the settings can be written");
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Host {
            name: name.to_string(),
            front: address(front),
            peers: address(peers),
            ready: address(ready),
            metrics_port,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn launch(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new("target/release/alderglade-adapter")
            .args(["--metrics-port", &self.metrics_port.to_string()])
            .env("ALDERGLADE_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle of the log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the daemon starts: build it first");
        register(child.id());
        self.child = Some(child);
    }

    /// Returns whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(self.ready, request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until the host says that it is ready. Returns `false` if it doesn't.
    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns a gauge of the host's metrics.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let to = SocketAddr::from(([127, 0, 0, 1], self.metrics_port));
        let request = b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = http::exchange(to, request, Duration::from_secs(1))?;
        let text = String::from_utf8(answer.body?).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().parse().ok()
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            unregister(child.id());
        }
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let id = child.id().to_string();
            let _ = Command::new("kill").args([signal, &id]).status();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
