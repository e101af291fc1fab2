//! The project's daemon as processes on loopback addresses, started as `deploy/system.toml` says.

use crate::http;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

/// The program and the arguments of the deploy file.
const PROGRAM: &str = "target/release/alderglade-adapter";
const ARGUMENTS: [&str; 2] = ["--metrics-port", "9464"];

/// Where a host is asked whether it is ready.
#[derive(Clone, Copy)]
pub struct Ready(SocketAddr);

impl Ready {
    /// Returns whether the host answers 200 now.
    pub fn is_ready(self) -> bool {
        const PROBE: &str = "GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = http::call(self.0, PROBE, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

/// An entry host. Its process ends with it.
pub struct Host {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    ready: Ready,
    folder: PathBuf,
    settings: PathBuf,
    process: Option<Child>,
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

/// Returns a port that is free for datagrams and for connections.
fn free_peer_port(ip: Ipv4Addr) -> io::Result<u16> {
    const TRIES: usize = 20;
    for _ in 0..TRIES {
        let socket = UdpSocket::bind((ip, 0))?;
        let port = socket.local_addr()?.port();
        if TcpListener::bind((ip, port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Host {
    /// Writes the settings of a host and starts it. `number` gives it a loopback address of its own.
    pub fn start(
        folder: &Path,
        number: u8,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
    ) -> io::Result<Host> {
        let name = format!("front-{zone}-{number}");
        // Other loopback addresses than those of a run beside this one.
        let group = (std::process::id() % 250) as u8 + 1;
        let ip = Ipv4Addr::new(127, 88, group, number);
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let peers = free_peer_port(ip)?;
        let last = peers.saturating_add(15);
        let domains: Vec<String> = zones
            .iter()
            .map(|zone| format!("{zone} = \"bayern\""))
            .collect();
        let domains = domains.join("\n");
        let text = format!(
            r#"node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "bayern"
port_range = [{peers},{last}]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200

[zones]
{domains}

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"

[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0

[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 100
free_ms = 4000
idle_max_ms = 9000

[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let mut host = Host {
            name,
            zone: zone.to_string(),
            callers: SocketAddr::new(ip.into(), front),
            ready: Ready(SocketAddr::new(ip.into(), ready)),
            folder: folder.to_path_buf(),
            settings,
            process: None,
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let process = Command::new(PROGRAM)
            .args(ARGUMENTS)
            .env("ALDERGLADE_NODE_FILE", &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    /// Returns where the host is asked whether it is ready.
    pub fn ready(&self) -> Ready {
        self.ready
    }

    /// Kills the process. Its next start is not the first one of the system.
    pub fn kill(&mut self) {
        if let Ok(text) = fs::read_to_string(&self.settings) {
            let text = text.replace("bootstrap = true", "bootstrap = false");
            let _ = fs::write(&self.settings, text);
        }
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn ask_to_stop(&self) -> io::Result<()> {
        let process = self.process.as_ref().ok_or(io::ErrorKind::NotFound)?;
        let id = process.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status()?;
        Ok(())
    }

    /// Waits until the host calls itself ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.ready.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
