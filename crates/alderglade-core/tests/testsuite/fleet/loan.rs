//! Loans between hosts' budgets: the bound holds over all hosts however messages fare, and what is left is spent where
//! the failures are.

use super::chance::Chance;
use alderglade_core::Name;
use alderglade_core::fleet::budget::{Bound, Budget, LOAN_LIFETIME, UNITS_PER_RETRY};
use alderglade_core::fleet::loan::{Loan, LoanRequests, Request};
use alderglade_core::time::Time;
use std::time::Duration;

const BOUND: Bound = Bound {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 660.0,
};

fn service() -> Name {
    "llm".into()
}

/// What hosts send each other.
#[derive(Clone)]
enum Message {
    Ask(Request),
    Answer(Loan),
}

/// A message on its way.
struct Envelope {
    at: Time,
    from: usize,
    to: usize,
    message: Message,
}

struct Host {
    budget: Budget,
    questions: LoanRequests,
}

impl Host {
    fn start(now: Time, lifetime: u64) -> Host {
        Host {
            budget: Budget::new(BOUND, now),
            questions: LoanRequests::new(lifetime << 32),
        }
    }
}

/// Hosts that borrow from each other over a network that loses, doubles and delays.
struct Fleet {
    hosts: Vec<Host>,
    letters: Vec<Envelope>,
    now: Time,
    /// Messages of a hundred that are lost.
    lost: u64,
    /// Messages of a hundred that come twice.
    doubled: u64,
    /// Hosts below this number don't hear the others, nor these them.
    cut: usize,
    requests: Vec<Time>,
    repeats: Vec<Time>,
    lifetimes: u64,
    chance: Chance,
}

impl Fleet {
    fn new(hosts: usize, lost: u64, doubled: u64, chance: Chance) -> Fleet {
        Fleet {
            hosts: (0..hosts)
                .map(|host| Host::start(Time(0), host as u64))
                .collect(),
            letters: Vec::new(),
            now: Time(0) + BOUND.window * 3,
            lost,
            doubled,
            cut: 0,
            requests: Vec::new(),
            repeats: Vec::new(),
            lifetimes: hosts as u64,
            chance,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = if self.chance.below(100) < self.doubled {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_lost = self.chance.below(100) < self.lost;
            if is_lost || (from < self.cut) != (to < self.cut) {
                continue;
            }
            // Some come long after what they lend may be used.
            let late = if self.chance.below(20) == 0 {
                2_000
            } else {
                30
            };
            let at = self.now + Duration::from_millis(self.chance.below(late));
            let message = message.clone();
            self.letters.push(Envelope {
                at,
                from,
                to,
                message,
            });
        }
    }

    /// Delivers what is due.
    fn deliver(&mut self) {
        let letters = std::mem::take(&mut self.letters);
        let (due, later) = letters
            .into_iter()
            .partition(|letter| letter.at <= self.now);
        let due: Vec<Envelope> = due;
        self.letters = later;
        let count = self.hosts.len();
        for Envelope {
            from, to, message, ..
        } in due
        {
            let host = &mut self.hosts[to];
            match message {
                Message::Ask(request) => {
                    let part = host.budget.lend(request.missing, self.now, count);
                    let number = request.number;
                    self.send(to, from, &Message::Answer(Loan { number, part }));
                }
                Message::Answer(loan) => {
                    if let Some(deposit) = host.questions.answer(loan, self.now) {
                        host.budget.deposit(deposit.part, deposit.until);
                    }
                }
            }
        }
    }

    /// Lets a host repeat a send if it can, or ask another one.
    fn repeat(&mut self, from: usize) -> bool {
        let count = self.hosts.len();
        let host = &mut self.hosts[from];
        if host.budget.spend(self.now, count) {
            self.repeats.push(self.now);
            return true;
        }
        let missing = host.budget.missing(self.now, count);
        let request = host.questions.ask(&service(), missing, self.now);
        let to = self.chance.host(count);
        self.send(from, to, &Message::Ask(request));
        false
    }

    /// Lets a host do something, or the network change.
    fn step(&mut self, restarted: &mut [bool]) {
        let count = self.hosts.len();
        self.now = self.now + Duration::from_millis(self.chance.below(9));
        self.deliver();
        let host = self.chance.host(count);
        match self.chance.below(200) {
            0..=49 => {
                self.hosts[host].budget.request(self.now);
                self.requests.push(self.now);
            }
            50 => self.cut = self.chance.host(count),
            51 => self.cut = 0,
            // A host starts again at most once in a window.
            52 if !restarted[host] => {
                restarted[host] = true;
                self.restart(host);
            }
            _ => drop(self.repeat(host)),
        }
    }

    fn restart(&mut self, host: usize) {
        self.lifetimes += 1;
        self.hosts[host] = Host::start(self.now, self.lifetimes);
    }

    /// Checks each window that ends with a repeat.
    fn check(&self) {
        let within = |times: &[Time], end: Time| {
            let start = end - BOUND.window;
            let before = times.partition_point(|at| *at < start);
            let until = times.partition_point(|at| *at <= end);
            (until - before) as f64
        };
        for end in &self.repeats {
            let most = BOUND.slack + BOUND.ratio * within(&self.requests, *end);
            let sent = within(&self.repeats, *end);
            assert!(sent <= most, "{sent} of {most} at {end:?}");
        }
    }
}

/// Messages are lost, late and doubled, the deployment is cut in two and heals, hosts restart, one by one and all at
/// once, and all of them want more repeats than there are.
#[test]
fn all_hosts_together_keep_to_the_bound_in_every_window() {
    const STEPS: u64 = 6_000;
    for hosts in [6, 9, 40, 295, 400] {
        for seed in 0..12 {
            let mut chance = Chance(seed);
            let (lost, doubled) = (chance.below(40), chance.below(40));
            let all_restart_at = chance.below(STEPS);
            let mut fleet = Fleet::new(hosts, lost, doubled, chance);
            let mut restarted = vec![false; hosts];
            for step in 0..STEPS {
                fleet.step(&mut restarted);
                if step == all_restart_at {
                    let others = (0..hosts).filter(|host| !restarted[*host]);
                    others.for_each(|host| fleet.restart(host));
                    restarted.fill(true);
                }
            }
            fleet.check();
            assert!(fleet.repeats.len() > 200, "{}", fleet.repeats.len());
        }
    }
}

/// Servers die, and the requests that they had come back to some of the hosts. With an equal part for each host these have
/// one repeat each, whatever the others do with theirs.
#[test]
fn what_others_have_left_is_spent_where_the_failures_are() {
    const HOSTS: usize = 295;
    const FAILING: usize = HOSTS / 4;
    /// Requests that fail at each of them, and hosts that it asks for one.
    const EACH: usize = 5;
    let now = Time(0) + BOUND.window * 3;
    let mut equal = Budget::new(BOUND, Time(0));
    let equal = (0..EACH).filter(|_| equal.spend(now, HOSTS)).count();
    assert_eq!(equal, 1);
    for seed in 0..4 {
        let mut fleet = Fleet::new(HOSTS, 3, 1, Chance(seed));
        for host in (0..FAILING).flat_map(|host| [host; EACH]) {
            for _ in 0..EACH {
                if fleet.repeat(host) {
                    break;
                }
                fleet.now = fleet.now + Duration::from_millis(30);
                fleet.deliver();
            }
        }
        let served = fleet.repeats.len();
        assert!(
            served > 3 * FAILING * equal,
            "{served} of {}",
            FAILING * EACH
        );
        fleet.check();
    }
}

fn answered(questions: &mut LoanRequests, loan: Loan, now: Time) -> u32 {
    questions
        .answer(loan, now)
        .map_or(0, |deposit| deposit.part)
}

#[test]
fn an_answer_counts_once_and_in_its_time() {
    let mut questions = LoanRequests::new(7);
    let ask =
        |questions: &mut LoanRequests| questions.ask(&service(), UNITS_PER_RETRY, Time(0)).number;
    let number = ask(&mut questions);
    let loan = Loan { number, part: 400 };
    assert!(questions.is_open(number));
    assert_eq!(answered(&mut questions, loan, Time(9)), 400);
    assert!(!questions.is_open(number));
    assert_eq!(answered(&mut questions, loan, Time(9)), 0, "it came twice");
    let number = ask(&mut questions);
    let late = Time(0) + LOAN_LIFETIME + Duration::from_millis(1);
    assert_eq!(
        answered(&mut questions, Loan { number, part: 400 }, late),
        0
    );
    let foreign = Loan {
        number: 99,
        part: 400,
    };
    assert_eq!(answered(&mut questions, foreign, Time(9)), 0);
}

#[test]
fn what_is_lent_is_gone_for_its_lender() {
    let now = Time(0) + BOUND.window * 3;
    let mut lender = Budget::new(BOUND, Time(0));
    let whole = lender.remaining(now, 295);
    assert!(whole > UNITS_PER_RETRY);
    assert_eq!(lender.lend(600, now, 295), 600);
    assert_eq!(lender.remaining(now, 295), whole - 600);
    assert_eq!(lender.lend(u32::MAX, now, 295), whole - 600);
    assert_eq!(lender.lend(1, now, 295), 0);
    let counted = now + LOAN_LIFETIME + BOUND.window;
    assert_eq!(lender.remaining(counted, 295), 0);
    assert_eq!(
        lender.remaining(counted + Duration::from_millis(1), 295),
        whole
    );
}

#[test]
fn parts_of_several_hosts_make_a_retry() {
    let now = Time(0) + BOUND.window * 3;
    let mut budget = Budget::new(BOUND, Time(0));
    while budget.spend(now, 295) {}
    let missing = budget.missing(now, 295);
    assert!((1..=UNITS_PER_RETRY).contains(&missing));
    budget.deposit(missing - 1, now + LOAN_LIFETIME);
    assert!(!budget.spend(now, 295));
    budget.deposit(1, now + LOAN_LIFETIME);
    assert!(budget.spend(now, 295));
    assert!(!budget.spend(now, 295));
}

#[test]
fn after_asking_in_vain_nobody_is_asked_for_a_moment() {
    let mut questions = LoanRequests::new(0);
    assert!(questions.may_ask("llm", Time(0)));
    questions.record_refusal(&service(), Time(0));
    assert!(!questions.may_ask("llm", Time::from_millis(199)));
    assert!(questions.may_ask("llm", Time::from_millis(200)));
    assert!(questions.may_ask("calls", Time(0)));
}
