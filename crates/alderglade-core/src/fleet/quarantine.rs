//! Requests under which backend servers end, and which are therefore sent to none any more.
//!
//! A request may end each server that begins to run it. Its caller comes back under another id, to any host, so that no
//! count of attempts ends it: servers end until none is left. What is kept here is kept by what was asked
//! ([`Fingerprint`]), is told to all hosts, and outlasts a host in the store.
//!
//! A server that ends takes everything with it that it has in hand, and what it had meets again at the next one, because
//! all hosts hold the same one best. To be there is therefore no proof. A request is held guilty of [`ENOUGH`] ends only
//! where no other one explains them: those at most ends go first, and what was beside them is explained by them. Of two
//! that were at the same ends neither is barred before another end parts them, or [`MOST`] have come; nor is one where as
//! many servers end without it at the same time, as when a rack fails. At [`LAST`] ends nothing speaks for it any more. An
//! answer that comes to its end clears its request of all that was before, and for a while ([`SOUND`]) of what comes after:
//! what is asked often is at many ends.
//!
//! Facts only add up, and each names one lifetime of a server: told late, twice or in another order they come to the same.
//! They are judged when all hosts have told theirs ([`SETTLED`]); what is to be judged waits for that.

mod evidence;
mod finding;
mod interruption;

pub use finding::{Fact, Finding};

use super::fingerprint::Fingerprint;
use super::incarnation::Key;
use crate::time::Time;
use evidence::{Crash, Ends, Suspect};
use finding::Own;
use interruption::{Breaks, Interruption};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Ends of servers that show that a request causes them. One may be chance, two may be where many end at once; the users
/// allow three.
const ENOUGH: usize = 3;
/// Ends from which on a request is barred even if others were at all of them too, or many servers ended beside.
const MOST: usize = 5;
/// Ends from which on a request is barred whoever else explains them: three sends beyond the third end are the most that
/// users allow, and where several such requests come together, those that are barred first explain the others' ends.
const LAST: usize = 6;
/// A request that has run for longer at a server has not ended it: such a one ends it as it begins to run, within 0.2 s
/// in each of the ends recorded. Innocent long answers are seldom so young at three ends in a row.
const BEGINS: Duration = Duration::from_millis(2_000);
/// How long a request that was answered to its end is not barred, whatever ends beside it. What ends servers is never
/// answered; what many callers ask for is, some times in this time, also while servers end on and on.
const SOUND: Duration = Duration::from_secs(10);
/// How long ends count. A caller that comes back does so within minutes.
const FORGOTTEN: Duration = Duration::from_secs(600);
/// How long a request is barred. Whoever mends the servers sooner can have it released by hand.
pub const BARRED: Duration = Duration::from_secs(3_600);
/// How old an end is when it is judged: hosts that had something at the server notice it within some milliseconds, and
/// tell the others within as many. Who was beside the cause would else be judged by what is known of itself alone.
const SETTLED: Duration = Duration::from_millis(200);
/// Requests of which ends are remembered, at most; about a hundred bytes each. Those go first of which least is known.
const MOST_SUSPECTS: usize = 2_048;
/// Ends of servers that are remembered, at most; three for each server of the largest deployment.
const MOST_ENDS: usize = 4_096;
/// Requests that are barred at a time, at most.
const MOST_BARRED: usize = 2_048;

/// What has been decided on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// What becomes of it.
    pub decision: Decision,
    /// Whether this host has seen a part of it itself, and so should have it kept in the store.
    pub first_hand: bool,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to no server any more, after so many have ended under it.
    Barred(usize),
    /// It is sent again.
    Released,
}

/// What one host knows of requests under which servers end.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When requests were answered to their end lately: what was asked in a time of [`SOUND`].
    sound: BTreeMap<Fingerprint, Time>,
    /// When servers ended, with whatever in their hands. What has cleared a request doesn't undo the end.
    ends: Ends,
    /// What servers have broken off of which it is not known whether they have ended.
    breaks: Breaks,
    /// Whether there is anything that was not judged yet.
    unjudged: bool,
    /// Until when each request is barred.
    barred: BTreeMap<Fingerprint, Time>,
    /// The requests that were barred lately and aren't any more, and since when. A copy of the store may hold them still.
    released: BTreeMap<Fingerprint, Time>,
    /// What this host tells the others.
    own: Vec<Own>,
    /// What has been decided since it was last asked for.
    verdicts: Vec<Verdict>,
}

impl Quarantine {
    /// Gives how much longer a request is barred, if it is.
    pub fn barred_for(&self, fingerprint: Fingerprint, now: Time) -> Option<Duration> {
        let until = self.barred.get(&fingerprint)?;
        Some(until.left(now)).filter(|left| !left.is_zero())
    }

    /// Gives how many requests are barred.
    pub fn len(&self) -> usize {
        self.barred.len()
    }

    /// Says whether none is.
    pub fn is_empty(&self) -> bool {
        self.barred.is_empty()
    }

    /// Notes that a server broke a request off, which had run there for `ran` if it had begun. The connection shows only
    /// that it broke: it counts where [`Quarantine::note_ended`] follows.
    pub fn record_interruption(
        &mut self,
        fingerprint: Fingerprint,
        server: Key,
        ran: Option<Duration>,
        now: Time,
    ) {
        if ran.is_some_and(|ran| ran > BEGINS) {
            return;
        }
        self.breaks.add(Interruption {
            fingerprint,
            server,
            begun: ran.is_some(),
            at: now,
        });
    }

    /// Lists the servers that broke something off lately and are not known to live or to have ended.
    pub fn unconfirmed_servers(&mut self, now: Time) -> BTreeSet<Key> {
        self.breaks.servers(now)
    }

    /// Notes that a server has ended: what it broke off was in its hands then.
    pub fn record_server_end(&mut self, server: Key, now: Time) {
        for interruption in self.breaks.take(server) {
            let crash = Crash {
                server,
                at: now,
                begun: interruption.begun,
            };
            if self.add(interruption.fingerprint, crash, now) {
                let fact = Fact::crash(&crash);
                self.own.push(Own::new(interruption.fingerprint, fact, now));
            }
        }
    }

    /// Notes that a server has answered: it lives, whatever it broke off before.
    pub fn record_alive(&mut self, server: Key) {
        self.breaks.take(server);
    }

    /// Notes that a request was answered to its end: no end of a server before that was its fault.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) {
        self.breaks.clear(fingerprint);
        self.sound.insert(fingerprint, now);
        if self.clear(fingerprint, now, true) {
            self.own.push(Own::sound(fingerprint, now, now));
        }
    }

    /// Takes what another host tells.
    pub fn apply_finding(&mut self, finding: &Finding, now: Time) {
        match finding.fact {
            Fact::Crash {
                server,
                begun,
                age_ms,
            } => {
                let at = now - Duration::from_millis(u64::from(age_ms));
                let crash = Crash { server, at, begun };
                self.add(finding.fingerprint, crash, now);
            }
            Fact::Sound { age_ms } => {
                let at = now - Duration::from_millis(u64::from(age_ms));
                // It may come before the end of which it clears the request.
                self.make_room(finding.fingerprint);
                self.suspects.entry(finding.fingerprint).or_default();
                self.clear(finding.fingerprint, at, false);
            }
            Fact::Barred { left_s } => {
                let left = Duration::from_secs(u64::from(left_s)).min(BARRED);
                self.bar(finding.fingerprint, left, now);
            }
        }
    }

    /// Takes from the store that a request is barred, and has the others told.
    pub fn apply_stored_bar(&mut self, fingerprint: Fingerprint, left: Duration, now: Time) {
        let left = left.min(BARRED);
        if self.bar(fingerprint, left, now) {
            self.own.push(Own::new(fingerprint, Fact::barred(), now));
        }
    }

    /// Takes from the store that a request is barred no more, and has the others told.
    pub fn apply_stored_release(&mut self, fingerprint: Fingerprint, now: Time) {
        if self.barred.contains_key(&fingerprint) {
            self.record_success(fingerprint, now);
        }
    }

    /// Takes what a copy of the store lists: what is barred and missing there is to be kept again, what was released since
    /// is to be removed again. The rest counts.
    pub fn restore(&mut self, listed: &[(Fingerprint, Duration)], now: Time) {
        let mut stale = Vec::new();
        for (fingerprint, left) in listed {
            if left.is_zero() || self.released.contains_key(fingerprint) {
                stale.push(*fingerprint);
            } else {
                self.apply_stored_bar(*fingerprint, *left, now);
            }
        }
        let is_listed =
            |fingerprint: &&Fingerprint| listed.iter().any(|(other, _)| other == *fingerprint);
        let barred = self.barred.keys();
        let missing: Vec<Fingerprint> = barred
            .filter(|fingerprint| !is_listed(fingerprint))
            .copied()
            .collect();
        let missing = missing
            .into_iter()
            .map(|fingerprint| (fingerprint, self.barring(fingerprint)));
        let stale = stale
            .into_iter()
            .map(|fingerprint| (fingerprint, Decision::Released));
        let verdicts: Vec<Verdict> = missing
            .chain(stale)
            .map(|(fingerprint, decision)| Verdict {
                fingerprint,
                decision,
                first_hand: true,
            })
            .collect();
        self.verdicts.extend(verdicts);
    }

    /// Gives what the others are to be told now: what is new, and in a `whole` notice also what may have been lost.
    pub fn findings_to_report(&mut self, whole: bool, now: Time) -> Vec<Finding> {
        /// Facts in a notice: some twenty bytes each, beside its holdings.
        const MOST: usize = 24;
        self.own.retain(|own| own.is_told(now));
        let due = self.own.iter_mut().filter(|own| whole || own.is_new());
        let barred = &self.barred;
        due.take(MOST)
            .map(|own| own.tell(barred.get(&own.fingerprint()), now))
            .collect()
    }

    /// Gives what has been decided since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Says whether a request is judged where one more server ends under it.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes().len() + 1 >= ENOUGH)
    }

    /// Says whether a request is about to be judged, and should wait for that. It takes no longer than a moment.
    pub fn is_pending(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        let soon = suspect.is_some_and(|suspect| {
            suspect.is_judged_after(now - SETTLED) && !suspect.was_sound_after(now - SOUND)
        });
        soon && !self.barred.contains_key(&fingerprint)
    }

    /// Judges by what is settled now: bars who is found guilty, and releases who was barred for another one.
    pub fn evaluate(&mut self, now: Time) {
        if !self.unjudged {
            return;
        }
        let until = now - SETTLED;
        self.unjudged = self.suspects.values().any(|suspect| suspect.last() > until);
        let is_barred = |fingerprint| self.barred.contains_key(&fingerprint);
        let judgement = evidence::judge(&self.suspects, &self.ends, is_barred, until);
        for fingerprint in judgement.guilty {
            if self.bar(fingerprint, BARRED, now) && self.is_first_hand(fingerprint) {
                self.own.push(Own::new(fingerprint, Fact::barred(), now));
            }
        }
        // Its ends stay known, and count towards its last.
        for fingerprint in judgement.innocent {
            self.unbar(fingerprint, self.is_first_hand(fingerprint), now);
        }
    }

    /// Lets lapse what is over its time.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last()) < FORGOTTEN);
        self.sound.retain(|_, at| now.since(*at) < SOUND);
        self.ends.retain(|_, at| now.since(*at) < FORGOTTEN);
        let over = self.barred.iter().filter(|(_, until)| **until <= now);
        let over: Vec<Fingerprint> = over.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in over {
            self.unbar(fingerprint, false, now);
        }
        self.released.retain(|_, at| now.since(*at) < FORGOTTEN);
    }

    /// Adds an end; says whether it is new and counts.
    fn add(&mut self, fingerprint: Fingerprint, crash: Crash, now: Time) -> bool {
        if self.ends.len() < MOST_ENDS {
            self.ends.entry(crash.server).or_insert(crash.at);
        }
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let added = suspect.add(crash);
        self.unjudged |= added;
        // Who knows that it was answered lately tells so, where it is suspected.
        if let Some(at) = self.sound.get(&fingerprint).copied()
            && suspect.clear(at) | added
        {
            self.own.push(Own::sound(fingerprint, at, now));
        }
        added
    }

    /// Forgets the request of which least is known, the oldest of those, where another one finds no room.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        let known = self.suspects.contains_key(&fingerprint);
        if known || self.suspects.len() < MOST_SUSPECTS {
            return;
        }
        let suspects = self.suspects.iter();
        let least = suspects.min_by_key(|(_, suspect)| (suspect.crashes().len(), suspect.last()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Clears a request of all ends up to a time; says whether it was suspected of any.
    fn clear(&mut self, fingerprint: Fingerprint, at: Time, first_hand: bool) -> bool {
        let barred = self.barred.contains_key(&fingerprint);
        let cleared = self
            .suspects
            .get_mut(&fingerprint)
            .is_some_and(|suspect| suspect.clear(at));
        if barred {
            self.unbar(fingerprint, first_hand, at);
        }
        cleared || barred
    }

    /// Bars a request; says whether it was not barred before.
    fn bar(&mut self, fingerprint: Fingerprint, left: Duration, now: Time) -> bool {
        if left.is_zero()
            || self.barred_for(fingerprint, now).is_some()
            || self.barred.len() >= MOST_BARRED
        {
            return false;
        }
        self.barred.insert(fingerprint, now + left);
        self.released.remove(&fingerprint);
        self.verdicts.push(Verdict {
            fingerprint,
            decision: self.barring(fingerprint),
            first_hand: self.is_first_hand(fingerprint),
        });
        true
    }

    /// Gives the decision that bars a request.
    fn barring(&self, fingerprint: Fingerprint) -> Decision {
        let suspect = self.suspects.get(&fingerprint);
        Decision::Barred(suspect.map_or(0, |suspect| suspect.crashes().len()))
    }

    fn unbar(&mut self, fingerprint: Fingerprint, first_hand: bool, now: Time) {
        if self.barred.remove(&fingerprint).is_some() {
            self.released.insert(fingerprint, now);
            self.verdicts.push(Verdict {
                fingerprint,
                decision: Decision::Released,
                first_hand,
            });
        }
    }

    /// Says whether this host has a part in what is told of a request.
    fn is_first_hand(&self, fingerprint: Fingerprint) -> bool {
        self.own.iter().any(|own| own.fingerprint() == fingerprint)
    }
}
