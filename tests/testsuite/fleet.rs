//! A small fleet for tests: stand-ins in this process, entry hosts as processes of their own.

use alderglade_standin::batch;
use alderglade_standin::client::{self, Answer, Ask, Booked, Booking};
use alderglade_standin::engine::{Engine, Setup};
use alderglade_standin::fleet::{self, EngineAt, Folder, HostFile, ServerAt, token};
use alderglade_standin::platform::Platform;
use alderglade_standin::process::{Addresses, Process};
use alderglade_standin::relay::Relay;
use alderglade_standin::service::Service;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The workspace that tests ask as.
pub const WORKSPACE: &str = "augsburg";
/// Engines run this much faster than their model's time, where a plan says nothing else.
const SCALE: f64 = 20.0;
/// Everything that a test waits for comes well before this.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// An entry host.
pub struct Host {
    pub name: String,
    pub process: Process,
    pub addresses: Addresses,
}

/// The fleet.
pub struct Fleet {
    pub platform: Platform,
    pub platform_relay: Relay,
    pub engines: Vec<Engine>,
    pub service: Service,
    pub hosts: Vec<Host>,
    pub folder: Folder,
}

/// Sends a prompt to whoever listens at an address.
pub fn generate_at(address: &str, class: &str, prompt: &str, tokens: u64, output: u64) -> Answer {
    client::generate(
        &client::agent(),
        &Ask {
            host: address,
            token: &token(WORKSPACE),
            model: fleet::MODEL,
            class,
            prompt,
            tokens,
            output,
        },
    )
}

/// What a fleet is made of.
pub struct Plan<'a> {
    pub domains: &'a [&'a str],
    pub hosts_each: usize,
    pub engines_each: usize,
    pub kv_tokens: u64,
    /// How much faster than their model's time the engines run.
    pub scale: f64,
}

impl Default for Plan<'_> {
    fn default() -> Self {
        Plan {
            domains: &["muc-a"],
            hosts_each: 2,
            engines_each: 2,
            kv_tokens: 400_000,
            scale: SCALE,
        }
    }
}

impl Fleet {
    /// Starts a fleet and waits until all its hosts are ready.
    pub fn start(plan: &Plan<'_>) -> Fleet {
        let platform = Platform::start("127.0.0.1:0");
        let platform_relay = Relay::start(platform.address().parse().expect("an address"));
        let service = Service::start("127.0.0.1:0");
        let mut fleet = Fleet {
            platform,
            platform_relay,
            engines: Vec::new(),
            service,
            hosts: Vec::new(),
            folder: Folder::new(),
        };
        fleet.start_engines(plan);
        // The command gives up where its call takes seconds, which on a machine that stands still says nothing of it.
        wait("the first settings are accepted", || {
            fleet.apply().status.success()
        });
        for domain in plan.domains {
            for number in 0..plan.hosts_each {
                fleet.start_host(&format!("{domain}-h{number}"), domain);
            }
        }
        fleet.wait_ready();
        fleet
    }

    fn start_engines(&mut self, plan: &Plan<'_>) {
        let mut listed = Vec::new();
        for domain in plan.domains {
            for number in 0..plan.engines_each {
                let name: alderglade_core::Name = format!("{domain}-e{number}").into();
                let engine = Engine::start(&Setup {
                    name: name.clone(),
                    address: "127.0.0.1:0".into(),
                    batch: batch::Config {
                        kv_tokens: plan.kv_tokens,
                        ..batch::Config::default()
                    },
                    scale: plan.scale,
                    lag: Duration::from_millis(200),
                    checks_orders: true,
                });
                listed.push(EngineAt {
                    name,
                    domain: (*domain).into(),
                    address: engine.address(),
                    kv_tokens: plan.kv_tokens,
                });
                self.engines.push(engine);
            }
        }
        let servers: Vec<ServerAt> = plan
            .domains
            .iter()
            .map(|domain| ServerAt {
                name: format!("{domain}-booking").into(),
                domain: (*domain).into(),
                address: self.service.address(),
            })
            .collect();
        self.folder
            .write_tree(&fleet::tree(&listed, &servers, &[WORKSPACE, "passau"]));
    }

    /// Starts an entry host and puts it on the platform's list.
    pub fn start_host(&mut self, name: &str, domain: &str) {
        self.start_host_with(name, domain, r#""log_level": "WARN""#);
    }

    /// Starts an entry host with further settings of its own.
    pub fn start_host_with(&mut self, name: &str, domain: &str, more: &str) {
        let platform = self.platform_relay.address();
        let host = HostFile {
            name,
            domain,
            platform: &platform,
            more,
        };
        let program = Path::new(env!("CARGO_BIN_EXE_alderglade-entry"));
        let (process, addresses) = fleet::start_entry(program, &self.folder, &host, false);
        self.platform
            .list_host(fleet::listed_host(name, domain, &addresses));
        self.hosts.push(Host {
            name: name.into(),
            process,
            addresses,
        });
    }

    /// Waits until every host takes requests.
    pub fn wait_ready(&self) {
        let ready =
            |host: &Host| get(&format!("http://{}/healthz", host.addresses.operators)).is_some();
        wait("all hosts are ready", || self.hosts.iter().all(ready));
    }

    /// Runs `alderglade` against the platform.
    pub fn command(&self, arguments: &[&str]) -> Output {
        command(&[arguments, &["--platform", &self.platform.address()]].concat())
    }

    /// Applies the settings folder.
    pub fn apply(&self) -> Output {
        let path = self.folder.path().to_string_lossy().into_owned();
        self.command(&["apply", &path])
    }

    /// Sends a prompt to a host.
    pub fn generate(
        &self,
        host: usize,
        class: &str,
        prompt: &str,
        tokens: u64,
        output: u64,
    ) -> Answer {
        let address = &self.hosts[host].addresses.callers;
        generate_at(address, class, prompt, tokens, output)
    }

    /// Calls the booking service through a host.
    pub fn book(&self, host: usize, key: &str, body: &str) -> Booked {
        client::book(
            &client::agent(),
            &Booking {
                host: &self.hosts[host].addresses.callers,
                token: &token(WORKSPACE),
                path: "booking-api/confirm",
                key,
                issued_ms: wall_ms(),
                body,
                time_allowed_ms: 5_000,
            },
        )
    }

    /// Waits until all engines' memory is free.
    pub fn wait_memory_back(&self) {
        let free = |engine: &Engine| engine.with(|model| model.free_tokens());
        let whole = 400_000;
        wait("all memory is free", || {
            self.engines.iter().all(|engine| free(engine) == whole)
        });
    }
}

/// Runs `alderglade`.
pub fn command(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_alderglade"))
        .args(arguments)
        .env_remove("ALDERGLADE_PLATFORM")
        .output()
        .expect("the command line runs")
}

/// Gives a page, if it is answered with success.
pub fn get(url: &str) -> Option<String> {
    let call = ureq::get(url)
        .config()
        .timeout_global(Some(Duration::from_secs(2)))
        .build();
    call.call().ok()?.body_mut().read_to_string().ok()
}

/// Waits for something that has to come.
pub fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not within {PATIENCE:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Checks that an answer is whole and that every token belongs to its prompt.
pub fn assert_whole(answer: &Answer, prompt: &str, output: u64) {
    assert!(answer.is_finished(), "{prompt}: {answer:?}");
    let echo: String = prompt
        .chars()
        .take(alderglade_standin::engine::ECHO)
        .collect();
    let expected: Vec<(u64, String)> = (0..output).map(|n| (n, format!("{echo}.{n}"))).collect();
    assert_eq!(answer.tokens, expected, "{prompt}");
}

/// The wall clock in milliseconds of the Unix epoch.
pub fn wall_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a clock after 1970");
    now.as_millis() as u64
}
