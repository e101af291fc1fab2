//! Loans between hosts' retry budgets: the bound holds over all hosts even if messages are lost, late or duplicated,
//! and unused parts are spent where the failures are.

use super::rng::SeededRng;
use alderglade_core::Name;
use alderglade_core::fleet::budget::{Bound, Budget, LOAN_LIFETIME, UNITS_PER_RETRY};
use alderglade_core::fleet::loan::{Loan, LoanRequest, LoanRequests};
use alderglade_core::fleet::request_number::RequestNumbers;
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

/// What hosts send to each other.
#[derive(Clone)]
enum Message {
    Request(LoanRequest),
    Loan(Loan),
}

/// A message in transit.
struct Envelope {
    at: Time,
    from: usize,
    to: usize,
    message: Message,
}

struct Host {
    budget: Budget,
    loan_requests: LoanRequests,
}

impl Host {
    fn start(now: Time, incarnation: u64) -> Host {
        Host {
            budget: Budget::new(BOUND, now),
            loan_requests: LoanRequests::new(RequestNumbers::new(incarnation << 32)),
        }
    }
}

/// Hosts that borrow from each other over a network that loses, duplicates and delays messages.
struct Fleet {
    hosts: Vec<Host>,
    envelopes: Vec<Envelope>,
    now: Time,
    /// The percentage of messages that are lost.
    lost_percent: u64,
    /// The percentage of messages that are duplicated.
    duplicated_percent: u64,
    /// Hosts below this number are partitioned from the others.
    partition: usize,
    requests: Vec<Time>,
    retries: Vec<Time>,
    incarnations: u64,
    rng: SeededRng,
}

impl Fleet {
    fn new(hosts: usize, lost_percent: u64, duplicated_percent: u64, rng: SeededRng) -> Fleet {
        Fleet {
            hosts: (0..hosts)
                .map(|host| Host::start(Time(0), host as u64))
                .collect(),
            envelopes: Vec::new(),
            now: Time(0) + BOUND.window * 3,
            lost_percent,
            duplicated_percent,
            partition: 0,
            requests: Vec::new(),
            retries: Vec::new(),
            incarnations: hosts as u64,
            rng,
        }
    }

    fn send(&mut self, from: usize, to: usize, message: &Message) {
        let copies = if self.rng.next_below(100) < self.duplicated_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let is_lost = self.rng.next_below(100) < self.lost_percent;
            if is_lost || (from < self.partition) != (to < self.partition) {
                continue;
            }
            // Some arrive long after their loan has expired.
            let max_delay = if self.rng.next_below(20) == 0 {
                2_000
            } else {
                30
            };
            let at = self.now + Duration::from_millis(self.rng.next_below(max_delay));
            let message = message.clone();
            self.envelopes.push(Envelope {
                at,
                from,
                to,
                message,
            });
        }
    }

    /// Delivers the messages that are due.
    fn deliver(&mut self) {
        let envelopes = std::mem::take(&mut self.envelopes);
        let (due, later) = envelopes
            .into_iter()
            .partition(|envelope| envelope.at <= self.now);
        let due: Vec<Envelope> = due;
        self.envelopes = later;
        let count = self.hosts.len();
        for Envelope {
            from, to, message, ..
        } in due
        {
            let host = &mut self.hosts[to];
            match message {
                Message::Request(request) => {
                    let part = host.budget.lend(request.missing, self.now, count);
                    let number = request.number;
                    self.send(to, from, &Message::Loan(Loan { number, part }));
                }
                Message::Loan(loan) => {
                    if let Some(deposit) = host.loan_requests.answer(loan, self.now) {
                        host.budget.deposit(deposit.part, deposit.until);
                    }
                }
            }
        }
    }

    /// Has a host retry a request if its budget allows, or else ask another host for a loan.
    fn retry(&mut self, from: usize) -> bool {
        let count = self.hosts.len();
        let host = &mut self.hosts[from];
        if host.budget.spend(self.now, count) {
            self.retries.push(self.now);
            return true;
        }
        let missing = host.budget.missing(self.now, count);
        let request = host.loan_requests.create(&service(), missing, self.now);
        let to = self.rng.next_host(count);
        self.send(from, to, &Message::Request(request));
        false
    }

    /// Has a host act or the network change.
    fn step(&mut self, restarted: &mut [bool]) {
        let count = self.hosts.len();
        self.now = self.now + Duration::from_millis(self.rng.next_below(9));
        self.deliver();
        let host = self.rng.next_host(count);
        match self.rng.next_below(200) {
            0..=49 => {
                self.hosts[host].budget.record_request(self.now);
                self.requests.push(self.now);
            }
            50 => self.partition = self.rng.next_host(count),
            51 => self.partition = 0,
            // A host restarts at most once in a window.
            52 if !restarted[host] => {
                restarted[host] = true;
                self.restart(host);
            }
            _ => drop(self.retry(host)),
        }
    }

    fn restart(&mut self, host: usize) {
        self.incarnations += 1;
        self.hosts[host] = Host::start(self.now, self.incarnations);
    }

    /// Checks each window that ends with a retry.
    fn check(&self) {
        let within = |times: &[Time], end: Time| {
            let start = end - BOUND.window;
            let before = times.partition_point(|at| *at < start);
            let until = times.partition_point(|at| *at <= end);
            (until - before) as f64
        };
        for end in &self.retries {
            let most = BOUND.slack + BOUND.ratio * within(&self.requests, *end);
            let sent = within(&self.retries, *end);
            assert!(sent <= most, "{sent} of {most} at {end:?}");
        }
    }
}

/// Messages are lost, late and duplicated, the network is partitioned and heals, and hosts restart, one by one and
/// all at once. All hosts want more retries than there are.
#[test]
fn all_hosts_together_stay_within_the_bound_in_every_window() {
    const STEPS: u64 = 6_000;
    for hosts in [6, 9, 40, 295, 400] {
        for seed in 0..12 {
            let mut rng = SeededRng(seed);
            let (lost_percent, duplicated_percent) = (rng.next_below(40), rng.next_below(40));
            let all_restart_at = rng.next_below(STEPS);
            let mut fleet = Fleet::new(hosts, lost_percent, duplicated_percent, rng);
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
            assert!(fleet.retries.len() > 200, "{}", fleet.retries.len());
        }
    }
}

/// Servers fail, and their requests return to some of the hosts. With equal parts, each of these hosts could retry
/// one request, however little the others use.
#[test]
fn unused_parts_are_spent_where_the_failures_are() {
    const HOSTS: usize = 295;
    const FAILING: usize = HOSTS / 4;
    /// The failed requests at each of these hosts, and the hosts that it asks for a loan for each.
    const FAILURES_PER_HOST: usize = 5;
    let now = Time(0) + BOUND.window * 3;
    let mut equal = Budget::new(BOUND, Time(0));
    let equal = (0..FAILURES_PER_HOST)
        .filter(|_| equal.spend(now, HOSTS))
        .count();
    assert_eq!(equal, 1);
    for seed in 0..4 {
        let mut fleet = Fleet::new(HOSTS, 3, 1, SeededRng(seed));
        for host in (0..FAILING).flat_map(|host| [host; FAILURES_PER_HOST]) {
            for _ in 0..FAILURES_PER_HOST {
                if fleet.retry(host) {
                    break;
                }
                fleet.now = fleet.now + Duration::from_millis(30);
                fleet.deliver();
            }
        }
        let served = fleet.retries.len();
        assert!(
            served > 3 * FAILING * equal,
            "{served} of {}",
            FAILING * FAILURES_PER_HOST
        );
        fleet.check();
    }
}

fn accepted_units(loan_requests: &mut LoanRequests, loan: Loan, now: Time) -> u32 {
    loan_requests
        .answer(loan, now)
        .map_or(0, |deposit| deposit.part)
}

#[test]
fn an_answer_counts_once_and_only_in_time() {
    let mut loan_requests = LoanRequests::new(RequestNumbers::new(7));
    let ask = |loan_requests: &mut LoanRequests| {
        loan_requests
            .create(&service(), UNITS_PER_RETRY, Time(0))
            .number
    };
    let number = ask(&mut loan_requests);
    let loan = Loan { number, part: 400 };
    assert!(loan_requests.is_open(number));
    assert_eq!(accepted_units(&mut loan_requests, loan, Time(9)), 400);
    assert!(!loan_requests.is_open(number));
    assert_eq!(
        accepted_units(&mut loan_requests, loan, Time(9)),
        0,
        "a duplicate"
    );
    let number = ask(&mut loan_requests);
    let too_late = Time(0) + LOAN_LIFETIME + Duration::from_millis(1);
    assert_eq!(
        accepted_units(&mut loan_requests, Loan { number, part: 400 }, too_late),
        0
    );
    let foreign = Loan {
        number: 99,
        part: 400,
    };
    assert_eq!(accepted_units(&mut loan_requests, foreign, Time(9)), 0);
}

#[test]
fn a_loan_counts_as_spent_at_its_lender() {
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
fn loans_of_several_hosts_add_up_to_a_retry() {
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
fn no_loan_is_requested_for_a_while_after_a_refusal() {
    let mut loan_requests = LoanRequests::new(RequestNumbers::new(0));
    assert!(loan_requests.may_request("llm", Time(0)));
    loan_requests.record_refusal(&service(), Time(0));
    assert!(!loan_requests.may_request("llm", Time::from_millis(199)));
    assert!(loan_requests.may_request("llm", Time::from_millis(200)));
    assert!(loan_requests.may_request("calls", Time(0)));
}
