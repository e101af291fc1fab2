//! A model of hosts that share full engines: short prompts of several workspaces arrive at random hosts, wait in one
//! queue ordered by due time, and take slots as they become free. A prompt that can't be in time when it arrives is
//! refused; one that is still queued when it has to start is sent anyway and waits in an engine. Refused callers come back
//! after 1 to 2.5 s, rank by their first arrival, and aren't refused again. A prompt of a workspace over its share ranks
//! by its last arrival, and is refused again rather than sent without a free slot. Notices arrive at once.

use crate::fleet::rng::SeededRng;
use alderglade_core::Name;
use alderglade_core::fleet::heartbeat;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::share::{Charge, Shares};
use alderglade_core::time::Time;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const SLOTS_PER_ENGINE: u32 = 12;
const READING: Duration = Duration::from_millis(24);
const ANSWER: Duration = Duration::from_millis(2_000);
/// The age from which a prompt counts as a retry: 0.9 of the shortest time after which callers come back.
const RETRY_AGE: Duration = Duration::from_millis(900);
/// The age from which callers don't come back any more.
const MAX_RETRY_AGE: Duration = Duration::from_millis(7_000);
/// The time within which a prompt must get a slot: 0.9 of an objective of 300 ms.
const SLACK: Duration = Duration::from_millis(270);

/// The load and the size of a pool.
pub struct Pool {
    pub hosts: usize,
    pub engines: u32,
    /// Whether order delays apply, or prompts are ordered by arrival only.
    pub shares: bool,
}

/// A prompt that waits or runs.
struct Prompt {
    workspace: usize,
    host: usize,
    arrived: Time,
    /// When its caller first sent it.
    first: Time,
    /// What its host recorded for its slot, once it was sent.
    charge: Option<Charge>,
}

/// The place of a prompt in the queue.
struct Rank {
    due: Time,
    over_share: bool,
}

/// The number of prompts of each workspace that arrived and that got a slot in time, within the measured period.
#[derive(Debug, Clone, Default)]
pub struct Served {
    pub arrived: Vec<u64>,
    pub in_time: Vec<u64>,
}

impl Served {
    pub fn add(&mut self, other: &Served) {
        for (sums, more) in [
            (&mut self.arrived, &other.arrived),
            (&mut self.in_time, &other.in_time),
        ] {
            sums.resize(more.len(), 0);
            sums.iter_mut()
                .zip(more)
                .for_each(|(sum, more)| *sum += more);
        }
    }
}

/// The state of a pool during a run.
pub struct Run {
    pool: Pool,
    hosts: Vec<Shares>,
    names: Vec<Name>,
    queue: Vec<Prompt>,
    /// Prompts that were sent without a free slot, and wait in engines.
    in_engines: VecDeque<Prompt>,
    /// The prompts that hold slots, by the end of their answers.
    running: BTreeMap<(Time, u64), Prompt>,
    started: u64,
    /// Refused prompts, by the time when their callers come back.
    refused: BTreeMap<(Time, u64), Prompt>,
    served: Served,
}

impl Pool {
    fn slots(&self) -> usize {
        (self.engines * SLOTS_PER_ENGINE) as usize
    }

    /// Returns the number of prompts that the pool answers per second.
    pub fn rate(&self) -> f64 {
        self.slots() as f64 / ANSWER.as_secs_f64()
    }

    /// Runs the pool until `end`. `rates` returns how many prompts of each workspace arrive per second at a time.
    /// Counts the prompts that arrive from `measured` on.
    pub fn run(
        self,
        seed: u64,
        measured: Time,
        end: Time,
        rates: impl Fn(Time) -> Vec<f64>,
    ) -> Served {
        let workspaces = rates(measured).len();
        // Each workspace has its own generator, so that a change of one workspace's rate leaves the arrivals of the
        // others as they are.
        let generator = |number| SeededRng((seed << 32) + number);
        let mut rngs: Vec<SeededRng> = (0..workspaces as u64).map(generator).collect();
        let mut run = Run {
            hosts: (0..self.hosts).map(|_| Shares::default()).collect(),
            names: (0..workspaces)
                .map(|number| format!("w{number}").into())
                .collect(),
            queue: Vec::new(),
            in_engines: VecDeque::new(),
            running: BTreeMap::new(),
            started: 0,
            refused: BTreeMap::new(),
            served: Served {
                arrived: vec![0; workspaces],
                in_time: vec![0; workspaces],
            },
            pool: self,
        };
        let mut now = Time(1_000_000);
        let mut next_report = now;
        while now < end {
            run.release(now);
            for (workspace, rate) in rates(now).into_iter().enumerate() {
                let per_million = (rate * STEP.as_secs_f64() * 1e6) as u64;
                let rng = &mut rngs[workspace];
                if rng.next_below(1_000_000) < per_million {
                    let host = rng.next_host(run.hosts.len());
                    let prompt = Prompt {
                        workspace,
                        host,
                        arrived: now,
                        first: now,
                        charge: None,
                    };
                    run.served.arrived[workspace] += u64::from(now >= measured);
                    run.arrive(prompt, now);
                }
            }
            run.retry(now);
            run.send(measured, now);
            if now >= next_report {
                run.exchange_reports(now);
                next_report = now + heartbeat::MIN_INTERVAL;
            }
            now = now + STEP;
        }
        run.served
    }
}

impl Run {
    fn free(&self) -> usize {
        self.pool
            .slots()
            .saturating_sub(self.running.len() + self.in_engines.len())
    }

    /// Ends answers, and starts prompts that wait in engines.
    fn release(&mut self, now: Time) {
        while let Some(entry) = self.running.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ended = entry.remove();
            let name = &self.names[ended.workspace];
            if let Some(charge) = ended.charge {
                self.hosts[ended.host].settle(name, charge, ANSWER, now);
            }
            if let Some(next) = self.in_engines.pop_front() {
                self.start(next, now);
            }
        }
    }

    fn start(&mut self, prompt: Prompt, now: Time) {
        self.started += 1;
        self.running.insert((now + ANSWER, self.started), prompt);
    }

    /// Returns the rank of a prompt, with the delay that its host knows.
    fn rank(&mut self, prompt: &Prompt, now: Time) -> Rank {
        let shares = &mut self.hosts[prompt.host];
        shares.refresh(now);
        let delay = shares.order_delay(Some(&self.names[prompt.workspace]), now);
        let over_share = self.pool.shares && !delay.is_zero();
        let due = if over_share {
            prompt.arrived + SLACK + delay
        } else {
            prompt.first + SLACK
        };
        Rank { due, over_share }
    }

    /// Queues a prompt, or refuses it if it can't be in time.
    fn arrive(&mut self, prompt: Prompt, now: Time) {
        let rank = self.rank(&prompt, now);
        let waiting = std::mem::take(&mut self.queue);
        let before = waiting
            .iter()
            .filter(|other| self.rank(other, now).due <= rank.due)
            .count();
        self.queue = waiting;
        let short_of = (before + 1).saturating_sub(self.free()) as f64;
        let wait = short_of / self.pool.rate();
        if short_of > 0.0 {
            self.hosts[prompt.host].record_shortage(now);
        }
        let is_retry = now.since(prompt.first) >= RETRY_AGE && !rank.over_share;
        if wait <= SLACK.as_secs_f64() || is_retry {
            self.queue.push(prompt);
        } else {
            self.refuse(prompt, now);
        }
    }

    /// Refuses a prompt, whose caller comes back unless it has given up.
    fn refuse(&mut self, prompt: Prompt, now: Time) {
        /// A prime, so that successive callers come back at different times.
        const SPREAD: u64 = 7_919;
        if now.since(prompt.first) <= MAX_RETRY_AGE {
            self.started += 1;
            let jitter = self.started * SPREAD % 1_500;
            let at = now + Duration::from_millis(1_000 + jitter);
            self.refused.insert((at, self.started), prompt);
        }
    }

    /// Lets callers come back, each to another host.
    fn retry(&mut self, now: Time) {
        while let Some(entry) = self.refused.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let prompt = entry.remove();
            let host = (prompt.host + 1) % self.hosts.len();
            let arrived = now;
            self.arrive(
                Prompt {
                    host,
                    arrived,
                    ..prompt
                },
                now,
            );
        }
    }

    /// Sends the first prompts to free slots, and to engines without a free slot those that must not wait any longer. Of
    /// the latter, prompts of workspaces over their share are refused: sent anyway, each would take the next slot from
    /// those that precede it, and the order would have no effect.
    fn send(&mut self, measured: Time, now: Time) {
        let waiting = std::mem::take(&mut self.queue);
        let mut waiting: Vec<(Rank, Prompt)> = waiting
            .into_iter()
            .map(|prompt| (self.rank(&prompt, now), prompt))
            .collect();
        waiting.sort_by_key(|(rank, _)| rank.due);
        for (rank, mut prompt) in waiting {
            let waited = now.since(prompt.arrived);
            if self.free() > 0 {
                self.charge(&mut prompt, now);
                let counts = prompt.first >= measured && waited <= SLACK;
                self.served.in_time[prompt.workspace] += u64::from(counts);
                self.start(prompt, now);
            } else if waited < SLACK {
                self.hosts[prompt.host].record_shortage(now);
                self.queue.push(prompt);
            } else if rank.over_share {
                self.refuse(prompt, now);
            } else {
                self.charge(&mut prompt, now);
                self.in_engines.push_back(prompt);
            }
        }
    }

    /// Records at its host that a prompt is sent.
    fn charge(&mut self, prompt: &mut Prompt, now: Time) {
        let shares = &mut self.hosts[prompt.host];
        let name = &self.names[prompt.workspace];
        let charge = shares.record_placed(name, SLOTS_PER_ENGINE, READING, now);
        prompt.charge = Some(charge);
    }

    /// Sends the reports that are due to all other hosts. Must be called at each tick of the heartbeat.
    fn exchange_reports(&mut self, now: Time) {
        let interval = heartbeat::interval(self.hosts.len(), false);
        let reports = self
            .hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(number, shares)| {
                let host: Name = format!("h{number}").into();
                shares.take_report(&host, Position::new(1, 1), interval, now)
            });
        let reports: Vec<_> = reports.collect();
        for (number, shares) in self.hosts.iter_mut().enumerate() {
            let own = format!("h{number}");
            let others = reports.iter().filter(|report| *report.host != *own);
            others.for_each(|report| shares.apply(report.clone(), now));
            shares.expire(now);
        }
    }
}
