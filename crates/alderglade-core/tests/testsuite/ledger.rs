//! Homes of one shard that share a store: a key is granted at most once.

use crate::each_seed;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::ledger::{
    Action, Claim, Outcome, Segment, Settled, Shard, Verdict, VersionedSegment, Written, ring_slot,
};
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

const WALL_MS: u64 = 1_800_000_000_000;

/// A minimal object store with conditional writes.
#[derive(Default)]
struct Store {
    objects: BTreeMap<u64, VersionedSegment>,
    version: u64,
}

impl Store {
    fn write(&mut self, version: u64, segment: Segment) -> Written {
        let slot = ring_slot(segment.number);
        if self.objects.get(&slot).map_or(0, |object| object.version) != version {
            return Written::Conflict;
        }
        self.version += 1;
        let version = self.version;
        self.objects
            .insert(slot, VersionedSegment { segment, version });
        Written::Done(version)
    }
}

/// An answer of the store that a home has not received yet.
enum Reply {
    Read(Option<Vec<VersionedSegment>>),
    Wrote(Written),
    Cleared(u64, u64),
}

/// Several homes of shard 0 with one store; answers of the store are delivered one by one.
struct Cluster {
    store: Store,
    homes: Vec<Shard>,
    /// The outstanding answers, each with the index of its home.
    replies: Vec<(usize, Reply)>,
    verdicts: Vec<(Id, Verdict)>,
    wall_ms: u64,
}

impl Cluster {
    fn new(homes: usize) -> Cluster {
        Cluster {
            store: Store::default(),
            homes: (0..homes).map(|_| Shard::new(0)).collect(),
            replies: Vec::new(),
            verdicts: Vec::new(),
            wall_ms: WALL_MS,
        }
    }

    /// Performs the actions of a home.
    ///
    /// `lost` drops the results of writes that took effect; `down` makes reads and writes fail.
    fn perform_actions(&mut self, home: usize, lost: bool, down: bool) {
        for action in self.homes[home].take_actions() {
            match action {
                Action::Read { .. } => {
                    let segments = self.store.objects.values().cloned().collect();
                    self.replies
                        .push((home, Reply::Read((!down).then_some(segments))));
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
                    self.replies.push((home, Reply::Wrote(written)));
                }
                Action::Clear {
                    version, segment, ..
                } => {
                    let number = segment.number;
                    if let Written::Done(version) = self.store.write(version, segment) {
                        self.replies.push((home, Reply::Cleared(number, version)));
                    }
                }
                Action::Answer {
                    request, verdict, ..
                } => self.verdicts.push((request, verdict)),
                Action::Confirm { .. } | Action::Inquire { .. } => {}
            }
        }
    }

    /// Delivers the answer at index `at` to its home. Returns the index of the home.
    fn deliver(&mut self, at: usize, now: Time) -> usize {
        let (home, reply) = self.replies.remove(at);
        let (shard, wall_ms) = (&mut self.homes[home], self.wall_ms);
        match reply {
            Reply::Read(segments) => shard.handle_read(segments, now, wall_ms),
            Reply::Wrote(written) => shard.handle_write_result(written, now, wall_ms),
            Reply::Cleared(number, version) => shard.handle_cleared(number, version),
        }
        home
    }
}

fn claim(serial: u64, key: u64, wall_ms: u64) -> Claim {
    Claim {
        key: format!("k{key}").into(),
        body: key,
        issued_ms: wall_ms,
        claimant: Id {
            incarnation: 1,
            serial,
        },
        host: "h".into(),
    }
}

#[test]
fn racing_homes_grant_a_key_to_one_request_only() {
    each_seed(200, |u| {
        let mut cluster = Cluster::new(3);
        let from: Name = "h".into();
        let mut now = Time::from_millis(1_000);
        let mut claims: BTreeMap<Id, Claim> = BTreeMap::new();
        for serial in 0..250 {
            now = now + Duration::from_millis(u.int_in_range(0..=200)?);
            let home = u.int_in_range(0..=2)?;
            let (lost, down) = (u.ratio(1, 10)?, u.ratio(1, 20)?);
            match u.int_in_range(0..=5)? {
                0 | 1 => {
                    let claim = claim(serial, u.int_in_range(0..=4)?, cluster.wall_ms);
                    claims.insert(claim.claimant, claim.clone());
                    cluster.homes[home].claim(&from, claim, now, cluster.wall_ms);
                }
                2 => {
                    // A delayed copy of an old claim arrives at another home.
                    let old: Vec<&Claim> = claims.values().collect();
                    if let Some(claim) = old.get(u.int_in_range(0..=old.len().max(1) - 1)?) {
                        cluster.homes[home].claim(&from, (*claim).clone(), now, cluster.wall_ms);
                    }
                }
                3 => cluster.homes[home].tick(now, cluster.wall_ms),
                _ if !cluster.replies.is_empty() => {
                    let at = u.int_in_range(0..=cluster.replies.len() - 1)?;
                    let home = cluster.deliver(at, now);
                    cluster.perform_actions(home, lost, down);
                }
                _ => {}
            }
            cluster.perform_actions(home, lost, down);
        }
        let mut granted: BTreeMap<Name, Id> = BTreeMap::new();
        for (id, verdict) in &cluster.verdicts {
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

/// Runs one home for a second, delivering all answers of the store.
fn run_until_idle(cluster: &mut Cluster, home: usize, now: &mut Time) {
    cluster.perform_actions(home, false, false);
    for _ in 0..10 {
        *now = *now + Duration::from_millis(100);
        while !cluster.replies.is_empty() {
            let home = cluster.deliver(0, *now);
            cluster.perform_actions(home, false, false);
        }
        cluster.homes[home].tick(*now, cluster.wall_ms);
        cluster.perform_actions(home, false, false);
    }
}

#[test]
fn a_reused_key_gets_the_first_outcome_at_any_home() {
    let mut cluster = Cluster::new(2);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    let first = claim(1, 7, WALL_MS);
    cluster.homes[0].claim(&from, first.clone(), now, WALL_MS);
    run_until_idle(&mut cluster, 0, &mut now);
    cluster.homes[1].claim(&from, claim(2, 7, WALL_MS), now, WALL_MS);
    run_until_idle(&mut cluster, 1, &mut now);
    let outcome = Outcome::Answered {
        status: 200,
        body: Some("confirmed".into()),
    };
    let settled = Settled {
        claim: first,
        outcome: outcome.clone(),
    };
    cluster.homes[0].settle(&from, settled, now, WALL_MS);
    run_until_idle(&mut cluster, 0, &mut now);
    // The records of the second home are outdated: it reads again before it reports the key as in flight.
    now = now + Duration::from_secs(5);
    cluster.homes[1].claim(&from, claim(3, 7, WALL_MS), now, WALL_MS);
    run_until_idle(&mut cluster, 1, &mut now);
    let verdicts: Vec<Verdict> = cluster
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
fn a_not_sent_outcome_frees_its_key_even_before_its_claim_arrives() {
    let mut cluster = Cluster::new(1);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    let late = claim(1, 3, WALL_MS);
    let settled = Settled {
        claim: late.clone(),
        outcome: Outcome::NotSent,
    };
    cluster.homes[0].settle(&from, settled, now, WALL_MS);
    run_until_idle(&mut cluster, 0, &mut now);
    cluster.homes[0].claim(&from, late, now, WALL_MS);
    run_until_idle(&mut cluster, 0, &mut now);
    cluster.homes[0].claim(&from, claim(2, 3, WALL_MS), now, WALL_MS);
    run_until_idle(&mut cluster, 0, &mut now);
    let verdicts: Vec<bool> = cluster
        .verdicts
        .iter()
        .map(|(_, v)| *v == Verdict::Granted)
        .collect();
    assert_eq!(verdicts, [false, true]);
}

#[test]
fn writes_are_bounded_at_any_request_rate() {
    let mut cluster = Cluster::new(1);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    for serial in 0..20_000 {
        now = now + Duration::from_micros(500);
        cluster.homes[0].claim(&from, claim(serial, serial, WALL_MS), now, WALL_MS);
        cluster.homes[0].tick(now, WALL_MS);
        cluster.perform_actions(0, false, false);
        while !cluster.replies.is_empty() {
            cluster.deliver(0, now);
            cluster.perform_actions(0, false, false);
        }
    }
    // Ten seconds with one write per 50 ms, independent of the number of claims.
    assert!(
        cluster.homes[0].writes() <= 201,
        "{}",
        cluster.homes[0].writes()
    );
    assert!(
        cluster.verdicts.len() > 19_000,
        "{}",
        cluster.verdicts.len()
    );
}

#[test]
fn the_ring_is_reused_and_a_suspended_home_cant_overwrite_it() {
    let mut cluster = Cluster::new(2);
    let from: Name = "h".into();
    let mut now = Time::from_millis(1_000);
    cluster.homes[1].claim(&from, claim(900_000, 900_000, WALL_MS), now, WALL_MS);
    run_until_idle(&mut cluster, 1, &mut now);
    let mut serial = 0;
    // Home 0 works for days while home 1 is suspended.
    for _ in 0..800 {
        cluster.wall_ms += 900_000;
        for _ in 0..400 {
            serial += 1;
            cluster.homes[0].claim(
                &from,
                claim(serial, serial, cluster.wall_ms),
                now,
                cluster.wall_ms,
            );
        }
        run_until_idle(&mut cluster, 0, &mut now);
    }
    assert!(cluster.store.objects.len() <= 256);
    let highest = cluster
        .store
        .objects
        .values()
        .map(|object| object.segment.number)
        .max();
    assert!(highest > Some(256), "{highest:?}");
    cluster.verdicts.clear();
    let wall_ms = cluster.wall_ms;
    cluster.homes[1].claim(&from, claim(serial, serial, wall_ms), now, wall_ms);
    cluster.perform_actions(1, false, false);
    run_until_idle(&mut cluster, 1, &mut now);
    let again = claim(999_999, serial, wall_ms);
    cluster.homes[1].claim(&from, again, now, wall_ms);
    run_until_idle(&mut cluster, 1, &mut now);
    assert_eq!(cluster.verdicts.len(), 2);
    let refused = Verdict::Refused(Kind::KeyInFlight);
    assert_eq!(cluster.verdicts[1].1, refused);
}

#[test]
fn a_key_from_the_future_or_an_expired_key_is_refused() {
    let mut cluster = Cluster::new(1);
    let from: Name = "h".into();
    let now = Time::from_millis(1_000);
    cluster.homes[0].claim(&from, claim(1, 1, WALL_MS + 3_600_000), now, WALL_MS);
    cluster.homes[0].claim(&from, claim(2, 2, WALL_MS - 3_600_000), now, WALL_MS);
    cluster.perform_actions(0, false, false);
    let verdicts: Vec<Verdict> = cluster
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
