//! The platform as this host meets it: settings, the list of hosts, the ledger, the counts.
//!
//! Only a few hosts of a failure domain hold a watch; the others learn of newer settings from
//! their peers and look at the platform slowly. Every loop has jitter, so that hosts that started
//! together don't call together.

use super::control::{Input, wall_ms};
use super::pool::Pool;
use super::snapshot::Published;
use alderglade_clock::Instant;
use alderglade_core::Name;
use alderglade_core::ledger;
use alderglade_core::node::Event;
use alderglade_core::slo::Log;
use alderglade_operator::event;
use alderglade_platform::object::ROOT;
use alderglade_platform::settings::{Cache, Root};
use alderglade_platform::{Client, hosts, settings, slo};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Hosts of a failure domain that hold a watch.
const WATCHERS: usize = 2;
/// A watch is held this long before it is begun anew.
const WATCH: Duration = Duration::from_secs(30);
/// Hosts without a watch look at the settings this often.
const SLOW_LOOK: Duration = Duration::from_secs(30);
/// Pause after the platform gave no answer.
const PAUSE: Duration = Duration::from_millis(500);
/// Counts are published this often.
const PUBLISH: Duration = Duration::from_secs(10);
/// Counts of many series are published this often, which keeps the traffic small.
const PUBLISH_MANY: Duration = Duration::from_secs(60);
/// So many series are few.
const FEW_SERIES: usize = 50;
/// Threads for the ledger.
const THREADS: usize = 8;

/// The platform as this host meets it.
#[derive(Clone)]
pub(crate) struct Platform {
    client: Client,
    pool: Pool,
    control: Sender<Input>,
    version: Arc<Mutex<String>>,
}

impl Platform {
    /// Starts the threads for the ledger.
    pub(crate) fn start(client: Client, control: Sender<Input>) -> Platform {
        Platform {
            client,
            pool: Pool::start("ledger", THREADS),
            control,
            version: Arc::default(),
        }
    }

    /// Reads or writes the ledger; the answer comes as an event.
    pub(crate) fn ledger(&self, action: ledger::Action) {
        let (client, control) = (self.client.clone(), self.control.clone());
        self.pool.run(move || {
            if let Some(event) = run_ledger(&client, action) {
                let _ = control.send(Input::Event(event));
            }
        });
    }

    /// Publishes counts. What isn't published now is published with the next ones.
    pub(crate) fn publish_log(&self, host: &str, mut log: Log) {
        log.tidy(wall_ms());
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(newer) = slo::publish(&self.client, host, log.published(), &version) {
            *version = newer;
        }
    }
}

fn run_ledger(client: &Client, action: ledger::Action) -> Option<Event> {
    match action {
        ledger::Action::Read { shard } => Some(Event::Segments {
            shard,
            segments: alderglade_platform::ledger::read(client, shard),
        }),
        ledger::Action::Write {
            shard,
            version,
            segment,
        } => Some(Event::SegmentWritten {
            shard,
            written: alderglade_platform::ledger::write(client, shard, version, segment),
        }),
        ledger::Action::Clear {
            shard,
            version,
            segment,
        } => {
            let number = segment.number;
            match alderglade_platform::ledger::write(client, shard, version, segment) {
                ledger::Written::Done(version) => Some(Event::SegmentCleared {
                    shard,
                    number,
                    version,
                }),
                ledger::Written::Conflict | ledger::Written::Unknown => None,
            }
        }
        ledger::Action::Answer { .. }
        | ledger::Action::Inquire { .. }
        | ledger::Action::Confirm { .. } => None,
    }
}

/// Stretches a pause by up to a quarter, differently for each call.
fn jitter(pause: Duration) -> Duration {
    let random = RandomState::new().hash_one(0_u8) % 256;
    pause + pause * u32::try_from(random).unwrap_or(0) / 1_024
}

/// Keeps the platform's list of hosts fresh: those that watch read it often and tell the others
/// by their heartbeats, which read it slowly.
pub(crate) fn follow_hosts(
    client: &Client,
    control: &Sender<Input>,
    published: &Published,
    every: Duration,
) {
    let mut lost = false;
    loop {
        match hosts::list(client) {
            Ok(list) => {
                if std::mem::take(&mut lost) {
                    event::write(event::PLATFORM_BACK, "list of hosts read");
                }
                let event = Event::Hosts {
                    cards: list.entries,
                    leaving: list.leaving,
                };
                let _ = control.send(Input::Event(event));
                wait_for_list(published, every);
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    event::write(event::PLATFORM_LOST, &error.to_string());
                }
                thread::sleep(jitter(PAUSE));
            }
        }
    }
}

fn wait_for_list(published: &Published, every: Duration) {
    thread::sleep(jitter(every));
    let alone = published.load().status.peers.is_empty();
    if !alone && !watches(published) {
        wait_slowly(published);
    }
}

/// Keeps the settings fresh: by a watch, or by a slow look where others watch.
pub(crate) fn follow_settings(client: &Client, control: &Sender<Input>, published: &Published) {
    let mut cache = Cache::default();
    loop {
        let version = match take_settings(client, control, published, &mut cache) {
            Ok(version) => version,
            Err(error) => {
                event::write(event::SETTINGS_FAILED, &error.to_string());
                thread::sleep(jitter(PAUSE));
                continue;
            }
        };
        if watches(published) {
            let broken = client
                .watch::<Root>(ROOT, version, WATCH, |_| false)
                .is_err();
            if broken {
                thread::sleep(jitter(PAUSE));
            }
        } else {
            wait_slowly(published);
        }
    }
}

/// Waits for the next slow look, or until this host is to watch.
fn wait_slowly(published: &Published) {
    let until = Instant::now() + jitter(SLOW_LOOK);
    while Instant::now() < until && !watches(published) {
        thread::sleep(PAUSE);
    }
}

/// Says whether this host is among the few of its domain that hold a watch.
fn watches(published: &Published) -> bool {
    let status = &published.load().status;
    let rank = |name: &str| xxh3_64(name.as_bytes());
    let own = rank(&status.host);
    let before = status
        .peers
        .iter()
        .filter(|card| rank(&card.name) > own)
        .count();
    before < WATCHERS
}

/// Reads the root, and the tree if it is newer; gives the root's version.
fn take_settings(
    client: &Client,
    control: &Sender<Input>,
    published: &Published,
    cache: &mut Cache,
) -> Result<u64, alderglade_platform::Error> {
    let root = settings::root(client)?;
    let version = root.version();
    if root.spec.revision > published.load().tree.revision {
        let tree = settings::tree(client, &root.spec, cache)?;
        let _ = control.send(Input::Event(Event::Settings(Arc::new(tree))));
    }
    Ok(version)
}

/// Publishes the counts again and again.
pub(crate) fn follow_log(platform: &Platform, host: &Name) {
    let mut pause = PUBLISH;
    loop {
        thread::sleep(jitter(pause));
        let (reply, answer) = channel();
        let _ = platform.control.send(Input::AskLog(reply));
        if let Ok(log) = answer.recv_timeout(PUBLISH) {
            let many = log.series.len() > FEW_SERIES;
            pause = if many { PUBLISH_MANY } else { PUBLISH };
            platform.publish_log(host, log);
        }
    }
}
