//! Random fault schedules: a seed gives a scenario, and every promise is checked in it.
//!
//! Faults come alone, together and twice; all are over a while before the end, so that the run can
//! also check that memory came back and that the last settings are in force everywhere. A seed
//! that fails prints its scenario, ready to be kept among the scripted ones.

use crate::experiment::{Arrival, Group, Timed};
use crate::scenario::{Booking, Expect, Scenario};
use crate::world::fault::Fault;
use alderglade_core::Name;
use alderglade_core::lane::Priority;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Requests come for this long.
const LOAD_SECONDS: u64 = 40;
/// Faults come for this long, in milliseconds.
const FAULTS_MS: u64 = 40_000;
/// Then everything is mended, and the run goes on until this time.
const SECONDS: u64 = 240;
/// When everything is mended, in milliseconds.
const MENDED_MS: u64 = 60_000;

/// Makes the scenario of a seed.
pub fn scenario(seed: u64) -> Scenario {
    Draw::new(seed).scenario(seed)
}

struct Draw {
    random: ChaCha8Rng,
    domains: Vec<Name>,
    hosts: Vec<Name>,
    engines: Vec<Name>,
    hosts_each: usize,
    engines_each: usize,
}

impl Draw {
    fn new(seed: u64) -> Draw {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let names = ["muc-a", "muc-b", "nue-c"];
        let count = random.random_range(1..=names.len());
        let domains: Vec<Name> = names[..count].iter().map(|name| (*name).into()).collect();
        let hosts_each = random.random_range(2..=3);
        let engines_each = random.random_range(2..=5);
        let named = |each: usize, name: &dyn Fn(&Name, usize) -> String| -> Vec<Name> {
            let pairs = domains.iter().flat_map(|d| (0..each).map(move |n| (d, n)));
            pairs
                .map(|(domain, number)| name(domain, number).into())
                .collect()
        };
        let hosts = named(hosts_each, &|domain, number| format!("{domain}-h{number}"));
        let engines = named(engines_each, &|domain, number| {
            format!("{domain}-e{number:03}")
        });
        Draw {
            random,
            hosts,
            engines,
            domains,
            hosts_each,
            engines_each,
        }
    }

    fn scenario(&mut self, seed: u64) -> Scenario {
        let mut faults = Vec::new();
        let mut applied = 0;
        for _ in 0..self.random.random_range(2..14) {
            let at_ms = self.random.random_range(1_000..FAULTS_MS);
            self.fault(at_ms, &mut faults, &mut applied);
        }
        self.mend(&mut faults);
        // A host that dies between claiming and sending leaves a key that nobody can speak for.
        let killed = faults
            .iter()
            .any(|timed| matches!(timed.fault, Fault::KillHost(_)));
        Scenario {
            about: format!("random faults of seed {seed}"),
            promise: 0,
            domains: self.domains.clone(),
            hosts_each: self.hosts_each,
            engines_each: self.engines_each,
            seconds: SECONDS,
            list_lag_ms: self.random.random_range(500..30_000),
            seed,
            load_seconds: Some(LOAD_SECONDS),
            requests_per_second: None,
            groups: self.groups(),
            bookings: self.bookings(),
            faults,
            expect: Expect {
                memory_back: true,
                keys_usable: !killed,
                revision: Some(applied + 1),
                ..Expect::default()
            },
            red_without: Vec::new(),
        }
    }

    fn groups(&mut self) -> Vec<Group> {
        let group = |name: &str, tokens: u64, allowed: u64, arrival| Group {
            name: name.into(),
            priority: if tokens > 10_000 {
                Priority::Batch
            } else {
                Priority::Urgent
            },
            tokens: vec![tokens],
            output: 30,
            output_cap: 64,
            workspaces: 3,
            time_allowed_ms: allowed,
            prefixes: 0,
            prefix_tokens: 0,
            arrival,
            alone: false,
        };
        let per_second = self.random.random_range(1.0..12.0);
        let mut groups = vec![
            group("desk", 1_000, 15_000, Arrival::Steady { per_second }),
            group(
                "history",
                128_000,
                60_000,
                Arrival::Steady { per_second: 0.2 },
            ),
        ];
        if self.random.random_bool(0.5) {
            let arrival = Arrival::Burst {
                at_ms: self.random.random_range(500..20_000),
                count: self.random.random_range(1..4),
                over_ms: 2_000,
            };
            groups.push(group("million", 1_000_000, 150_000, arrival));
        }
        groups
    }

    /// Keys come several times, at any hosts.
    fn bookings(&mut self) -> Vec<Booking> {
        let mut bookings = Vec::new();
        for number in 0..self.random.random_range(0..60) {
            for _ in 0..self.random.random_range(1..4) {
                bookings.push(Booking {
                    at_ms: self.random.random_range(500..LOAD_SECONDS * 1_000),
                    host: self.one(&self.hosts.clone()),
                    key: format!("k{number}").into(),
                });
            }
        }
        // Once everything works again each key is asked for twice: where a copy of a claim that was
        // given up holds the key, the first question finds that out.
        let mut keys: Vec<Name> = bookings.iter().map(|booking| booking.key.clone()).collect();
        keys.dedup();
        for (key, pause) in keys.iter().flat_map(|key| [(key, 10_000), (key, 15_000)]) {
            bookings.push(Booking {
                at_ms: MENDED_MS + pause,
                host: self.hosts[0].clone(),
                key: key.clone(),
            });
        }
        bookings
    }

    fn one(&mut self, names: &[Name]) -> Name {
        names.choose(&mut self.random).cloned().unwrap_or_default()
    }

    fn fault(&mut self, at_ms: u64, faults: &mut Vec<Timed>, applied: &mut u64) {
        let host = self.one(&self.hosts.clone());
        let engine = self.one(&self.engines.clone());
        let back = at_ms + self.random.random_range(200..15_000);
        let ms = self.random.random_range(200..12_000);
        let mut add = |at_ms: u64, fault: Fault| faults.push(Timed { at_ms, fault });
        match self.random.random_range(0..14) {
            0 => {
                add(at_ms, Fault::KillHost(host.clone()));
                add(back, Fault::StartHost(host));
            }
            1 => add(at_ms, Fault::FreezeHost { host, ms }),
            2 => add(at_ms, Fault::StallControl { host, ms }),
            3 => {
                add(at_ms, Fault::DrainHost(host.clone()));
                add(MENDED_MS, Fault::StartHost(host));
            }
            4 => {
                add(at_ms, Fault::KillEngine(engine.clone()));
                add(back, Fault::StartEngine(engine));
            }
            5 => {
                add(at_ms, Fault::FreezeEngine(engine.clone()));
                add(back, Fault::ThawEngine(engine));
            }
            6 => {
                add(at_ms, Fault::Leave(engine.clone()));
                add(MENDED_MS, Fault::StartEngine(engine));
            }
            7 => add(at_ms, Fault::Shuffle(engine)),
            8 => {
                let other = self.other_side(&host);
                add(at_ms, Fault::Cut(host.clone(), other.clone()));
                add(back, Fault::Mend(host, other));
            }
            9 => {
                let domain = self.one(&self.domains.clone());
                let other = self.other_domain(&domain);
                add(at_ms, Fault::Cut(domain.clone(), other.clone()));
                add(back, Fault::Mend(domain, other));
            }
            10 => {
                add(at_ms, Fault::PlatformDown);
                add(back, Fault::PlatformUp);
            }
            12 => {
                let per_mille = self.random.random_range(1..300);
                add(at_ms, Fault::LoseMessages { per_mille });
                add(back, Fault::LoseMessages { per_mille: 0 });
            }
            11 => add(at_ms, Fault::LoseWrites(self.random.random_range(1..5))),
            _ => {
                *applied += 1;
                add(at_ms, Fault::Apply);
            }
        }
    }

    fn other_side(&mut self, host: &Name) -> Name {
        let mut others = self.hosts.clone();
        others.extend(self.engines.iter().cloned());
        others.push("platform".into());
        others.retain(|name| name != host);
        self.one(&others)
    }

    fn other_domain(&mut self, domain: &Name) -> Name {
        let mut others = self.domains.clone();
        others.push("platform".into());
        others.retain(|name| name != domain);
        self.one(&others)
    }

    /// Everything works again.
    fn mend(&mut self, faults: &mut Vec<Timed>) {
        let mut add = |fault: Fault| {
            faults.push(Timed {
                at_ms: MENDED_MS,
                fault,
            });
        };
        add(Fault::MendAll);
        add(Fault::PlatformUp);
        add(Fault::LoseWrites(0));
        for engine in self.engines.clone() {
            add(Fault::ThawEngine(engine));
        }
    }
}
