//! Several homes of one shard against one store: a key is granted once.

use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::ledger::{
    Action, Claim, Outcome, Segment, Settled, Shard, Verdict, Versioned, Written, slot_of,
};
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const WALL: u64 = 1_800_000_000_000;

/// The store, as plain as it can be.
#[derive(Default)]
struct Store {
    objects: BTreeMap<u64, Versioned>,
    version: u64,
}

impl Store {
    fn write(&mut self, version: u64, segment: Segment) -> Written {
        let slot = slot_of(segment.number);
        if self.objects.get(&slot).map_or(0, |object| object.version) != version {
            return Written::Conflict;
        }
        self.version += 1;
        let version = self.version;
        self.objects.insert(slot, Versioned { segment, version });
        Written::Done(version)
    }
}

/// What is on its way back to a home.
enum Back {
    Read(Option<Vec<Versioned>>),
    Wrote(Written),
    Cleared(u64, u64),
}

struct Bench {
    store: Store,
    homes: Vec<Shard>,
    back: Vec<(usize, Back)>,
    verdicts: Vec<(Id, Verdict)>,
    wall: u64,
}

impl Bench {
    fn new(homes: usize) -> Bench {
        Bench {
            store: Store::default(),
            homes: (0..homes).map(|_| Shard::new(0)).collect(),
            back: Vec::new(),
            verdicts: Vec::new(),
            wall: WALL,
        }
    }

    /// Carries out what a home wants; `lost` says whether a write's answer is lost.
    fn work_off(&mut self, home: usize, lost: bool, down: bool) {
        for action in self.homes[home].take_actions() {
            match action {
                Action::Read { .. } => {
                    let segments = self.store.objects.values().cloned().collect();
                    self.back
                        .push((home, Back::Read((!down).then_some(segments))));
                }
                Action::Write {
                    version, segment, ..
                } => {
                    let written = if down {
                        Written::Unknown
                    } else {
                        self.store.write(version, segment)
                    };
                    let written = if lost { Written::Unknown } else { written };
                    self.back.push((home, Back::Wrote(written)));
                }
                Action::Clear {
                    version, segment, ..
                } => {
                    let number = segment.number;
                    if let Written::Done(version) = self.store.write(version, segment) {
                        self.back.push((home, Back::Cleared(number, version)));
                    }
                }
                Action::Answer {
                    request, verdict, ..
                } => self.verdicts.push((request, verdict)),
                Action::Confirm { .. } | Action::Inquire { .. } => {}
            }
        }
    }

    fn deliver(&mut self, at: usize, now: Time) -> usize {
        let (home, back) = self.back.remove(at);
        let (shard, wall) = (&mut self.homes[home], self.wall);
        match back {
            Back::Read(segments) => shard.read(segments, now, wall),
            Back::Wrote(written) => shard.wrote(written, now, wall),
            Back::Cleared(number, version) => shard.cleared(number, version),
        }
        home
    }
}

fn claim(serial: u64, key: u64, wall: u64) -> Claim {
    Claim {
        key: format!("k{key}").into(),
        body: key,
        issued_ms: wall,
        claimant: Id {
            incarnation: 1,
            serial,
        },
        host: "h".into(),
    }
}

#[test]
fn a_key_is_granted_to_one_request_however_homes_race() {
    each_seed(200, |u| {
        let mut bench = Bench::new(3);
        let from: Name = "h".into();
        let mut now = Time::from_millis(1_000);
        let mut claims: BTreeMap<Id, Claim> = BTreeMap::new();
        for serial in 0..250 {
            now = now + Duration::from_millis(u.int_in_range(0..=200)?);
            let home = u.int_in_range(0..=2)?;
            let (lost, down) = (u.ratio(1, 10)?, u.ratio(1, 20)?);
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let claim = claim(serial, u.int_in_range(0..=4)?, bench.wall);
                    claims.insert(claim.claimant, claim.clone());
                    bench.homes[home].claim(&from, claim, now, bench.wall);
                }
                2 => {
                    // A copy of an old claim arrives at another home.
                    let old: Vec<&Claim> = claims.values().collect();
                    if let Some(claim) = old.get(u.int_in_range(0..=old.len().max(1) - 1)?) {
                        bench.homes[home].claim(&from, (*claim).clone(), now, bench.wall);
                    }
                }
                3 => bench.homes[home].tick(now, bench.wall),
                _ if !bench.back.is_empty() => {
                    let at = u.int_in_range(0..=bench.back.len() - 1)?;
                    let home = bench.deliver(at, now);
                    bench.work_off(home, lost, down);
                }
                _ => {}
            }
            bench.work_off(home, lost, down);
        }
        let mut granted: BTreeMap<Name, Id> = BTreeMap::new();
        for (id, verdict) in &bench.verdicts {
            if *verdict == Verdict::Granted {
                let key = claims[id].key.clone();
                let other = granted.insert(key.clone(), *id);
                assert!(
                    other.is_none_or(|other| other == *id),
                    "{key} was granted twice"
                );
            }
        }
        Ok(())
    });
}

/// Runs one home until nothing is on its way.
fn settle_down(bench: &mut Bench, home: usize, now: &mut Time) {
    bench.work_off(home, false, false);
    for _ in 0..10 {
        *now = *now + Duration::from_millis(100);
        while !bench.back.is_empty() {
            let home = bench.deliver(0, *now);
            bench.work_off(home, false, false);
        }
        bench.homes[home].tick(*now, bench.wall);
        bench.work_off(home, false, false);
    }
}

#[test]
fn a_repeated_key_gets_the_first_ones_outcome_at_any_home() {
    let mut bench = Bench::new(2);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    let first = claim(1, 7, WALL);
    bench.homes[0].claim(&from, first.clone(), now, WALL);
    settle_down(&mut bench, 0, &mut now);
    bench.homes[1].claim(&from, claim(2, 7, WALL), now, WALL);
    settle_down(&mut bench, 1, &mut now);
    let outcome = Outcome::Answered {
        status: 200,
        body: Some("confirmed".into()),
    };
    let settled = Settled {
        claim: first,
        outcome: outcome.clone(),
    };
    bench.homes[0].settle(&from, settled, now, WALL);
    settle_down(&mut bench, 0, &mut now);
    // The second home's memory is old: it reads again before it says that the key is in flight.
    now = now + Duration::from_secs(5);
    bench.homes[1].claim(&from, claim(3, 7, WALL), now, WALL);
    settle_down(&mut bench, 1, &mut now);
    let verdicts: Vec<Verdict> = bench
        .verdicts
        .iter()
        .map(|(_, verdict)| verdict.clone())
        .collect();
    assert_eq!(
        verdicts,
        [
            Verdict::Granted,
            Verdict::Refused(Kind::KeyInFlight),
            Verdict::Replay(outcome),
        ]
    );
}

#[test]
fn what_was_not_sent_frees_its_key_even_before_its_claim_arrives() {
    let mut bench = Bench::new(1);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    let late = claim(1, 3, WALL);
    let settled = Settled {
        claim: late.clone(),
        outcome: Outcome::NotSent,
    };
    bench.homes[0].settle(&from, settled, now, WALL);
    settle_down(&mut bench, 0, &mut now);
    bench.homes[0].claim(&from, late, now, WALL);
    settle_down(&mut bench, 0, &mut now);
    bench.homes[0].claim(&from, claim(2, 3, WALL), now, WALL);
    settle_down(&mut bench, 0, &mut now);
    let verdicts: Vec<bool> = bench
        .verdicts
        .iter()
        .map(|(_, v)| *v == Verdict::Granted)
        .collect();
    assert_eq!(verdicts, [false, true]);
}

#[test]
fn writes_are_bounded_whatever_the_rate() {
    let mut bench = Bench::new(1);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    for serial in 0..20_000 {
        now = now + Duration::from_micros(500);
        bench.homes[0].claim(&from, claim(serial, serial, WALL), now, WALL);
        bench.homes[0].tick(now, WALL);
        bench.work_off(0, false, false);
        while !bench.back.is_empty() {
            bench.deliver(0, now);
            bench.work_off(0, false, false);
        }
    }
    // Ten seconds at one write in 50 ms, however many claims come.
    assert!(
        bench.homes[0].writes() <= 201,
        "{}",
        bench.homes[0].writes()
    );
    assert!(bench.verdicts.len() > 19_000, "{}", bench.verdicts.len());
}

#[test]
fn the_ring_is_used_again_and_a_sleeper_cant_write_into_it() {
    let mut bench = Bench::new(2);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    bench.homes[1].claim(&from, claim(900_000, 900_000, WALL), now, WALL);
    settle_down(&mut bench, 1, &mut now);
    let mut serial = 0;
    // Days of work at the other home, while the first one sleeps.
    for _ in 0..800 {
        bench.wall += 900_000;
        for _ in 0..400 {
            serial += 1;
            bench.homes[0].claim(&from, claim(serial, serial, bench.wall), now, bench.wall);
        }
        settle_down(&mut bench, 0, &mut now);
    }
    assert!(bench.store.objects.len() <= 256);
    let highest = bench
        .store
        .objects
        .values()
        .map(|object| object.segment.number)
        .max();
    assert!(highest > Some(256), "{highest:?}");
    bench.verdicts.clear();
    let wall = bench.wall;
    bench.homes[1].claim(&from, claim(serial, serial, wall), now, wall);
    bench.work_off(1, false, false);
    settle_down(&mut bench, 1, &mut now);
    let again = claim(999_999, serial, wall);
    bench.homes[1].claim(&from, again, now, wall);
    settle_down(&mut bench, 1, &mut now);
    assert_eq!(bench.verdicts.len(), 2);
    let refused = Verdict::Refused(Kind::KeyInFlight);
    assert_eq!(bench.verdicts[1].1, refused);
}

#[test]
fn a_key_of_the_future_or_past_its_life_is_refused() {
    let mut bench = Bench::new(1);
    let from: Name = "h".into();
    let now = Time::from_millis(1_000);
    bench.homes[0].claim(&from, claim(1, 1, WALL + 3_600_000), now, WALL);
    bench.homes[0].claim(&from, claim(2, 2, WALL - 3_600_000), now, WALL);
    bench.work_off(0, false, false);
    let verdicts: Vec<Verdict> = bench
        .verdicts
        .iter()
        .map(|(_, verdict)| verdict.clone())
        .collect();
    assert_eq!(
        verdicts,
        [
            Verdict::Refused(Kind::BadRequest),
            Verdict::Refused(Kind::KeyExpired)
        ]
    );
}
