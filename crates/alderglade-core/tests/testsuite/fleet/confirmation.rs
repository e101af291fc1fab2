//! What other hosts' answers confirm, and to which process.

use super::rng::SeededRng;
use alderglade_core::fleet::confirmation::{ConfirmationRequests, UnknownRequest};
use alderglade_core::fleet::freshness::Freshness;
use alderglade_core::fleet::message::{Confirmation, ConfirmationRequest};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::request_number::RequestNumbers;
use alderglade_core::time::Time;
use std::time::Duration;

/// The time within which a revoked key must be refused.
const BOUND: Duration = Duration::from_secs(5);

fn answer(request: ConfirmationRequest, age: Duration) -> Confirmation {
    Confirmation {
        number: request.number,
        age: Some(age),
        config: 7,
        servers: 70,
        position: Position::new(1, 100),
    }
}

fn requests(first_number: u64) -> ConfirmationRequests {
    ConfirmationRequests::new(RequestNumbers::new(first_number))
}

/// Guards against keys that are trusted for too long because a late answer counts from its arrival: it may have waited in a
/// socket for seconds, be duplicated, or be overtaken by others.
#[test]
fn a_delayed_answer_confirms_nothing_later_than_its_request() {
    let mut requests = requests(7);
    let first = requests.create(Time::from_millis(10_000));
    let second = requests.create(Time::from_millis(11_000));
    let age = Duration::from_millis(400);
    for (request, expected) in [(second, 10_600), (first, 9_600), (first, 9_600)] {
        let confirmed = requests.confirmed_until(&answer(request, age));
        assert_eq!(confirmed, Ok(Some(Time::from_millis(expected))));
    }
}

/// Guards against the answer to a former process of this host, whose clock began earlier, that counts for this one.
#[test]
fn an_answer_to_a_former_process_confirms_nothing() {
    let mut former = requests(1 << 40);
    let asked = former.create(Time::from_millis(30_000));
    let mut requests = requests(2 << 40);
    let own = requests.create(Time::from_millis(100));
    let confirmed = requests.confirmed_until(&answer(asked, Duration::ZERO));
    assert_eq!(confirmed, Err(UnknownRequest));
    let confirmed = requests.confirmed_until(&answer(own, Duration::ZERO));
    assert_eq!(confirmed, Ok(Some(Time::from_millis(100))));
}

/// Guards against requests that are kept for good, and against answers that arrive after a long suspension of this host.
#[test]
fn a_request_is_forgotten_when_its_answer_is_of_no_use_any_more() {
    let mut requests = requests(0);
    let first = requests.create(Time::from_millis(0));
    requests.create(Time::from_millis(10_001));
    let confirmed = requests.confirmed_until(&answer(first, Duration::ZERO));
    assert_eq!(confirmed, Err(UnknownRequest));
}

/// A message between the host under test and its peer.
#[derive(Clone)]
enum Message {
    Request(ConfirmationRequest),
    Answer(Confirmation),
}

/// A host that follows a peer, is restarted now and then, and asks over a network that delays, duplicates and loses. The
/// peer freezes: what reaches it meanwhile is answered when it wakes.
struct Play {
    rng: SeededRng,
    now: Time,
    /// When the host's process started; its clock begins with it.
    started: Time,
    incarnations: u64,
    requests: ConfirmationRequests,
    freshness: Freshness,
    frozen_until: Time,
    in_transit: Vec<(Time, Message)>,
}

impl Play {
    fn own(&self, at: Time) -> Time {
        Time(0) + at.since(self.started)
    }

    fn send(&mut self, message: &Message) {
        let copies = self.rng.next_below(3);
        for _ in 0..copies {
            let max_delay = if self.rng.next_below(3) == 0 {
                3_000
            } else {
                30
            };
            let delay = Duration::from_millis(self.rng.next_below(max_delay));
            self.in_transit.push((self.now + delay, message.clone()));
        }
    }

    fn restart(&mut self) {
        self.incarnations += 1;
        self.started = self.now;
        self.requests = requests(self.incarnations << 32);
        self.freshness = Freshness::default();
    }

    /// Plays ten milliseconds. The store confirms the peer's state all the time until `cut`.
    fn step(&mut self, cut: Time) {
        self.now = self.now + Duration::from_millis(10);
        if self.rng.next_below(100) == 0 {
            self.restart();
        }
        if self.rng.next_below(300) == 0 {
            self.frozen_until = self.now + Duration::from_millis(self.rng.next_below(4_000));
        }
        if self.rng.next_below(5) == 0 {
            let request = self.requests.create(self.own(self.now));
            // What the host sends after the cut is lost; what was on its way still arrives.
            if self.now < cut {
                self.send(&Message::Request(request));
            }
        }
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_transit = later;
        let due: Vec<(Time, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Request(_) if self.frozen_until > now => {
                    self.in_transit.push((self.frozen_until, message));
                }
                Message::Request(request) => {
                    let age = now.since(now.min(cut));
                    self.send(&Message::Answer(answer(request, age)));
                }
                Message::Answer(answer) => {
                    if let Ok(Some(at)) = self.requests.confirmed_until(&answer) {
                        let own_now = self.own(now);
                        assert_eq!(self.freshness.confirm(at, own_now), Ok(()));
                    }
                }
            }
        }
    }
}

/// Guards against a revoked key that is trusted for longer than the bound, whatever the order of restarts, freezes and late
/// or duplicated answers before the key is revoked at a host that is then cut off.
#[test]
fn no_order_of_answers_lets_a_cut_host_trust_keys_beyond_the_bound() {
    let mut trusted_before = 0;
    for seed in 0..1_000 {
        let mut play = Play {
            rng: SeededRng(seed),
            now: Time(0),
            started: Time(0),
            incarnations: 0,
            requests: requests(0),
            freshness: Freshness::default(),
            frozen_until: Time(0),
            in_transit: Vec::new(),
        };
        let cut = Time::from_millis(10_000);
        while play.now < cut + BOUND {
            play.step(cut);
            let trusts = play.freshness.trusts_keys(play.own(play.now), BOUND);
            trusted_before += u32::from(play.now < cut && trusts);
        }
        let trusts = play.freshness.trusts_keys(play.own(play.now), BOUND);
        assert!(!trusts, "seed {seed}");
    }
    assert!(trusted_before > 500_000, "{trusted_before} of 1,000,000");
}
