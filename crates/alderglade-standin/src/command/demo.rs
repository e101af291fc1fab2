//! A small fleet of separate processes: platform, engines, a service, six entry hosts.

use super::Failure;
use super::load::{self, Load};
use crate::fleet::{self, EngineAt, Folder, HostFile, ServerAt};
use crate::process::{Addresses, Listens, Process};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

const DOMAINS: [&str; 3] = ["muc-a", "muc-b", "nue-c"];
const HOSTS_EACH: usize = 2;
const ENGINES_EACH: usize = 3;
const WORKSPACES: [&str; 2] = ["augsburg", "passau"];
/// Engines run this much faster than their model's time.
const SCALE: &str = "1";
const READY_LIMIT: Duration = Duration::from_secs(15);

/// The processes of the fleet; dropping it ends them.
struct Demo {
    _processes: Vec<Process>,
    entries: Vec<Addresses>,
}

pub(super) fn run() -> Result<(), Failure> {
    let programs = Programs::find()?;
    let folder = Folder::new();
    println!(
        "starting a platform, {} engines, a service and {} entry hosts on loopback",
        DOMAINS.len() * ENGINES_EACH,
        DOMAINS.len() * HOSTS_EACH
    );
    let demo = start(&programs, &folder)?;
    wait_until_ready(&demo.entries)?;
    println!("all entry hosts are ready; sending 120 mixed prompts (1,000 to 200,000 tokens)");
    let rows = load::send(&Load {
        hosts: demo
            .entries
            .iter()
            .map(|host| host.callers.clone())
            .collect(),
        requests: 120,
        rate: 12.0,
        lengths: vec![1_000, 1_000, 1_000, 8_000, 32_000, 200_000],
        workspace: WORKSPACES[0].into(),
        output: 16,
        seed: 1,
    });
    load::print(&unique(rows));
    Ok(())
}

/// A length that is sent more often stands in the load more often; its row is printed once.
fn unique(mut rows: Vec<load::Row>) -> Vec<load::Row> {
    rows.dedup_by_key(|row| row.tokens());
    rows
}

struct Programs {
    standin: PathBuf,
    entry: PathBuf,
    command: PathBuf,
}

impl Programs {
    /// Finds the programs beside this one.
    fn find() -> Result<Programs, Failure> {
        let own = std::env::current_exe().map_err(|cause| cause.to_string())?;
        let folder = own.parent().unwrap_or(Path::new(".")).to_path_buf();
        let entry = folder.join("alderglade-entry");
        if !entry.exists() {
            let hint = "run `cargo build --workspace` first";
            return Err(format!("no {}; {hint}", entry.display()).into());
        }
        Ok(Programs {
            standin: own,
            entry,
            command: folder.join("alderglade"),
        })
    }
}

fn start(programs: &Programs, folder: &Folder) -> Result<Demo, Failure> {
    let mut processes = Vec::new();
    let mut standin = |arguments: &[&str]| {
        let (process, listens) = Process::start::<Listens>(&programs.standin, arguments, true);
        processes.push(process);
        listens.address
    };
    let platform = standin(&["platform"]);
    let mut engines = Vec::new();
    let mut servers = Vec::new();
    for domain in DOMAINS {
        for number in 0..ENGINES_EACH {
            let name = format!("{domain}-engine-{number}");
            engines.push(EngineAt {
                address: standin(&["engine", "--name", &name, "--scale", SCALE]),
                name: name.into(),
                domain: domain.into(),
                kv_tokens: crate::batch::Config::default().kv_tokens,
            });
        }
        servers.push(ServerAt {
            name: format!("{domain}-booking").into(),
            domain: domain.into(),
            address: standin(&["service"]),
        });
    }
    folder.write_tree(&fleet::tree(&engines, &servers, &WORKSPACES));
    apply(programs, folder, &platform)?;
    let mut entries = Vec::new();
    for domain in DOMAINS {
        for number in 0..HOSTS_EACH {
            let name = format!("{domain}-host-{number}");
            let host = HostFile {
                name: &name,
                domain,
                platform: &platform,
                more: r#""log_level": "WARN""#,
            };
            let (process, addresses) = fleet::start_entry(&programs.entry, folder, &host, true);
            list(&platform, &name, domain, &addresses)?;
            processes.push(process);
            entries.push(addresses);
        }
    }
    Ok(Demo {
        _processes: processes,
        entries,
    })
}

fn apply(programs: &Programs, folder: &Folder, platform: &str) -> Result<(), Failure> {
    let status = Command::new(&programs.command)
        .arg("apply")
        .arg(folder.path())
        .args(["--platform", platform])
        .status()
        .map_err(|cause| format!("can't run `alderglade apply`: {cause}"))?;
    if status.success() {
        return Ok(());
    }
    Err("`alderglade apply` failed".into())
}

/// Puts an entry host on the platform's list.
fn list(platform: &str, name: &str, domain: &str, addresses: &Addresses) -> Result<(), Failure> {
    let object = fleet::listed_host(name, domain, addresses);
    let url = format!("http://{platform}/api/v1/nodes");
    let sent = ureq::post(&url).send_json(object);
    sent.map_err(|cause| format!("can't list {name}: {cause}"))?;
    Ok(())
}

/// Waits until the hosts are ready and each sees its peer, so that homes have settled.
fn wait_until_ready(entries: &[Addresses]) -> Result<(), Failure> {
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        let ready = |host: &Addresses| {
            ureq::get(format!("http://{}/healthz", host.operators))
                .call()
                .is_ok()
        };
        if entries.iter().all(ready) {
            thread::sleep(Duration::from_secs(1));
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err("not all entry hosts became ready".into())
}
