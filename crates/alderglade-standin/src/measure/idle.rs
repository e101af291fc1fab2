//! What an entry host's process costs while nothing is asked of it, and under a steady load.

use super::{Figure, figure};
use crate::batch;
use crate::client::{self, Ask};
use crate::engine::{Engine, Setup};
use crate::fleet::{self, EngineAt, Folder, HostFile};
use crate::platform::Platform;
use crate::process::{Addresses, Process};
use alderglade_platform::Client;
use alderglade_platform::settings;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Time for hosts to find each other.
const SETTLE: Duration = Duration::from_secs(5);
/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(10);
/// Ticks of the kernel's clock in a second, as `/proc` counts.
const TICKS: f64 = 100.0;
const DOMAIN: &str = "domain-01";
const WORKSPACE: &str = "workspace-00000";

/// Gives a process's resident memory.
pub fn resident_kilobytes(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Gives a process's processor time so far, user and system.
fn processor_seconds(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS)
}

/// A number from a host's metrics page.
fn metric(host: &Addresses, name: &str) -> f64 {
    let page = ureq::get(format!("http://{}/metrics", host.operators)).call();
    let text = page
        .ok()
        .and_then(|mut page| page.body_mut().read_to_string().ok());
    let text = text.unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Measures hosts of one domain, for several counts of hosts, idle and with requests.
pub fn run(entry: &Path) -> Vec<Figure> {
    let mut figures = Vec::new();
    for (hosts, workspaces) in [(2, 10), (6, 10), (12, 10), (24, 10), (6, 3_700)] {
        measure(entry, hosts, workspaces, &mut figures);
    }
    figures
}

struct Domain {
    _folder: Folder,
    platform: Platform,
    _engines: Vec<Engine>,
    hosts: Vec<(Process, Addresses)>,
}

fn start(entry: &Path, hosts: usize, workspaces: usize) -> Domain {
    let platform = Platform::start("127.0.0.1:0");
    let mut listed = Vec::new();
    let mut engines = Vec::new();
    for number in 0..8 {
        let name: alderglade_core::Name = format!("engine-{number}").into();
        let engine = Engine::start(&Setup {
            name: name.clone(),
            address: "127.0.0.1:0".into(),
            batch: batch::Config::default(),
            scale: 10.0,
            lag: Duration::from_millis(200),
            checks_orders: true,
        });
        listed.push(EngineAt {
            name,
            domain: DOMAIN.into(),
            address: engine.address(),
            kv_tokens: batch::Config::default().kv_tokens,
        });
        engines.push(engine);
    }
    let names: Vec<String> = (0..workspaces)
        .map(|n| format!("workspace-{n:05}"))
        .collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let tree = fleet::tree(&listed, &[], &names);
    let client = Client::new(&platform.address());
    let root = settings::root(&client).expect("a platform");
    settings::apply(&client, &root, &tree, "measure").expect("accepted settings");
    let folder = Folder::new();
    let mut started = Vec::new();
    for number in 0..hosts {
        let name = format!("host-{number:02}");
        let host = HostFile {
            name: &name,
            domain: DOMAIN,
            platform: &platform.address(),
            more: r#""log_level": "WARN""#,
        };
        let (process, addresses) = fleet::start_entry(entry, &folder, &host, true);
        platform.list_host(fleet::listed_host(&name, DOMAIN, &addresses));
        started.push((process, addresses));
    }
    Domain {
        _folder: folder,
        platform,
        _engines: engines,
        hosts: started,
    }
}

fn measure(entry: &Path, hosts: usize, workspaces: usize, figures: &mut Vec<Figure>) {
    let domain = start(entry, hosts, workspaces);
    thread::sleep(SETTLE);
    let size = format!("{hosts} hosts, {workspaces} workspaces");
    let idle = sample(&domain, || thread::sleep(MEASURED));
    let seconds = MEASURED.as_secs_f64() * hosts as f64;
    figures.push(figure(
        "process idle, processor",
        &size,
        idle.processor / seconds * 100.0,
        "% of a core",
    ));
    figures.push(figure(
        "process idle, control thread",
        &size,
        idle.control / seconds * 100.0,
        "% of a core",
    ));
    figures.push(figure(
        "process idle, messages out",
        &size,
        idle.messages / seconds,
        "a second",
    ));
    figures.push(figure(
        "process idle, memory",
        &size,
        idle.memory / hosts as f64,
        "MB",
    ));
    figures.push(figure(
        "platform calls, idle",
        &size,
        idle.platform_calls / MEASURED.as_secs_f64(),
        "a second",
    ));
    let mut sent = 0;
    let busy = sample(&domain, || sent = load(&domain));
    let each = f64::from(sent.max(1));
    let extra = |loaded: f64, idle: f64| (loaded - idle).max(0.0) / each;
    let size = format!("{hosts} hosts, {sent} requests of 32 tokens");
    figures.push(figure(
        "a request, processor of all hosts",
        &size,
        extra(busy.processor, idle.processor) * 1e3,
        "ms",
    ));
    figures.push(figure(
        "a request, control threads",
        &size,
        extra(busy.control, idle.control) * 1e3,
        "ms",
    ));
    figures.push(figure(
        "a request, messages",
        &size,
        extra(busy.messages, idle.messages),
        "messages",
    ));
    figures.push(figure(
        "process loaded, memory",
        &size,
        busy.memory / hosts as f64,
        "MB",
    ));
}

#[derive(Default)]
struct Sum {
    processor: f64,
    control: f64,
    messages: f64,
    memory: f64,
    platform_calls: f64,
}

/// What all hosts together spend while something goes on.
fn sample(domain: &Domain, act: impl FnOnce()) -> Sum {
    let before = totals(domain);
    act();
    let after = totals(domain);
    Sum {
        processor: after.processor - before.processor,
        control: after.control - before.control,
        messages: after.messages - before.messages,
        memory: after.memory,
        platform_calls: after.platform_calls - before.platform_calls,
    }
}

fn totals(domain: &Domain) -> Sum {
    let calls = domain.platform.calls();
    let mut sum = Sum {
        platform_calls: (calls.reads + calls.writes) as f64,
        ..Sum::default()
    };
    for (process, addresses) in &domain.hosts {
        sum.processor += processor_seconds(process.pid()).unwrap_or(0.0);
        sum.memory += resident_kilobytes(process.pid()).unwrap_or(0) as f64 / 1_024.0;
        sum.control += metric(addresses, "alderglade_control_micros_total") / 1e6;
        sum.messages += metric(addresses, "alderglade_messages_total");
    }
    sum
}

/// Sends short prompts through all hosts for as long as is measured; gives how many.
fn load(domain: &Domain) -> u32 {
    let until = Instant::now() + MEASURED;
    let token = fleet::token(WORKSPACE);
    thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|number| {
                let host = &domain.hosts[number % domain.hosts.len()].1.callers;
                let token = &token;
                scope.spawn(move || {
                    let agent = client::agent();
                    let mut sent = 0;
                    while Instant::now() < until {
                        client::generate(
                            &agent,
                            &Ask {
                                host,
                                token,
                                model: fleet::MODEL,
                                class: fleet::DESK,
                                prompt: "measure",
                                tokens: 1_000,
                                output: 32,
                            },
                        );
                        sent += 1;
                    }
                    sent
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap_or(0))
            .sum()
    })
}
