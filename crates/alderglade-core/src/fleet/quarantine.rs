//! Quarantine of requests and parts of prompts that crash backend servers.
//!
//! A request may crash every server that begins to run it. Its caller retries under another id at any host, so a limit
//! on attempts does not stop it: servers crash until none is left. The quarantine therefore identifies requests by
//! their [`Fingerprint`], shares its findings with all hosts, and is kept in the store, where it outlives a host.
//!
//! A crashing server takes all its requests with it, and these often meet again at the next server because all hosts
//! rank the same one best. Having run on a crashed server is therefore no proof. A request is found guilty of
//! `GUILTY_CRASHES` crashes only if no other request explains them. Requests with the most crashes are evaluated
//! first, and their crashes are then explained for all other requests that ran beside them. Of two requests with the
//! same crashes, neither is barred until another crash separates them or `CERTAIN_CRASHES` is reached. Nor is a
//! request barred if as many servers crash without it at the same time, as when a rack fails. At `MAX_CRASHES` a
//! request is barred regardless of any other explanation. A completed answer clears its request of all earlier crashes
//! and, for `CLEARED_AFTER_SUCCESS`, of later ones: a frequent request is present at many crashes.
//!
//! A single part of prompts may crash servers, too, whatever else the prompts have; see [`parts`].
//!
//! Findings are only ever added, and each refers to one incarnation of a server, so late, repeated or reordered
//! findings lead to the same result. Crashes are evaluated once all hosts have reported theirs (`SETTLE_DELAY`);
//! requests that depend on the evaluation wait for it.

mod bar;
mod evidence;
mod finding;
mod identity;
mod interruption;
mod part_evidence;
mod parts;
mod reports;
mod soundness;

pub use finding::{Fact, Finding};
pub use identity::Identity;
pub use parts::SOUND_AFTER;

use super::fingerprint::Fingerprint;
use super::incarnation::Key;
use crate::time::Time;
use bar::Bars;
use evidence::{Crash, CrashTimes, Suspect};
use finding::OwnFinding;
use interruption::{Interruption, Interruptions};
use parts::{ReportLimit, Responder};
use soundness::Soundness;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of unexplained crashes that show that a request causes them. One may be chance, and so may two when many
/// servers crash at once. The platform's users tolerate three.
const GUILTY_CRASHES: usize = 3;
/// Number of crashes at which a request is barred even if other requests share all of them or many servers crashed at
/// the same time.
const CERTAIN_CRASHES: usize = 5;
/// Number of crashes at which a request is barred regardless of any other explanation. The platform's users tolerate
/// three sends after the third crash, and when several such requests come together, those barred first explain the
/// crashes of the others.
const MAX_CRASHES: usize = 6;
/// A request that has run at a server for longer than this did not crash it. A request that crashes servers does so as
/// it begins to run, within 0.2 s in every recorded crash. Innocent long answers are rarely this young at three crashes
/// in a row.
const CRASH_WINDOW: Duration = Duration::from_millis(2_000);
/// How long a request is not barred after a completed answer, regardless of crashes. A request that crashes servers is
/// never answered; one that many callers send is answered several times within this time, even while servers keep
/// crashing.
const CLEARED_AFTER_SUCCESS: Duration = Duration::from_secs(10);
/// How long crashes count. Callers that retry do so within minutes.
const CRASH_RETENTION: Duration = Duration::from_secs(600);
/// How long a request is barred. It can be released by hand if the servers are fixed sooner.
pub const BAR_DURATION: Duration = Duration::from_secs(3_600);
/// Age at which a crash is evaluated. Hosts with requests at the server notice the crash within a few milliseconds and
/// report it to the others within a few more. Evaluated earlier, a request that only ran beside the cause would be
/// judged by its own crashes alone.
const SETTLE_DELAY: Duration = Duration::from_millis(200);
/// How long it is observed whether answers to prompts with a part go on after a crash, if the part was sound before. The
/// platform's users tolerate three sends from three seconds after the fifth crash.
const PROBATION: Duration = Duration::from_millis(2_000);
/// Maximum number of requests and parts whose crashes are remembered, at about a hundred bytes each. Those with the fewest
/// crashes are evicted first.
const MAX_SUSPECTS: usize = 2_048;
/// Maximum number of server crashes that are remembered; three for each server of the largest deployment.
const MAX_CRASHED_SERVERS: usize = 4_096;
/// Maximum number of requests and parts that are barred at a time.
const MAX_BARRED: usize = 2_048;

/// A decision on a request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// The request or part.
    pub fingerprint: Fingerprint,
    /// Whether it is barred or released.
    pub decision: Decision,
    /// Whether this host has first-hand evidence and so should write the decision to the store.
    pub first_hand: bool,
}

/// The outcome for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is not sent to any server. Holds the number of crashes known of it.
    Barred(usize),
    /// It may be sent again.
    Released,
}

/// The crashes, suspects and barred requests known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// When each request was last answered completely, within the last `CLEARED_AFTER_SUCCESS`.
    succeeded: BTreeMap<Fingerprint, Time>,
    /// When each server crashed, regardless of its requests. Clearing a request doesn't undo a crash.
    server_crashes: CrashTimes,
    /// Interruptions at servers that are not yet known to have crashed.
    interruptions: Interruptions,
    /// Whether there are crashes that have not been evaluated.
    needs_evaluation: bool,
    /// The requests and parts that are barred.
    bars: Bars,
    /// When this host has seen each part of prompts to be sound.
    soundness: Soundness,
    /// How soon this host reports that a part is sound.
    responder: Responder,
    /// Limits the reports of crashes of parts.
    report_limit: ReportLimit,
    /// The bar that was repeated last to the other hosts.
    last_repeated: Fingerprint,
    /// Recently released requests and parts, with the time of release. A copy of the store may still list them as barred.
    released: BTreeMap<Fingerprint, Time>,
    /// Findings that this host reports to the others.
    own_findings: Vec<OwnFinding>,
    /// Decisions since the last [`Quarantine::take_verdicts`].
    verdicts: Vec<Verdict>,
}

impl Quarantine {
    /// Returns how much longer a request is barred, if it is.
    pub fn barred_for(&self, fingerprint: Fingerprint, now: Time) -> Option<Duration> {
        let bar = self.bars.get(fingerprint)?;
        Some(bar.until.left(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Returns the number of barred requests and parts.
    pub fn len(&self) -> usize {
        self.bars.len()
    }

    /// Returns the number of requests and parts whose crashes are remembered.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether nothing is barred.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Records that a server interrupted a request, which had run there for `ran` if it had begun. A broken connection
    /// is no proof of a crash: the interruption counts only if [`Quarantine::record_server_end`] follows.
    pub fn record_interruption(
        &mut self,
        request: impl Into<Identity>,
        server: Key,
        ran: Option<Duration>,
        now: Time,
    ) {
        if ran.is_some_and(|ran| ran > CRASH_WINDOW) {
            return;
        }
        self.interruptions.add(Interruption {
            request: request.into(),
            server,
            ran,
            at: now,
        });
    }

    /// Returns the servers that recently interrupted a request and are known neither to be alive nor to have crashed.
    pub fn unconfirmed_servers(&mut self, now: Time) -> BTreeSet<Key> {
        self.interruptions.servers(now)
    }

    /// Records that a server has crashed. Its interruptions count as crashes of their requests.
    pub fn record_server_end(&mut self, server: Key, now: Time) {
        let interruptions = self.interruptions.take(server);
        for interruption in &interruptions {
            let crash = Crash {
                server,
                at: now,
                begun: interruption.ran.is_some(),
            };
            let fingerprint = interruption.request.fingerprint;
            if self.add_crash(fingerprint, crash, now) {
                let fact = Fact::crash(&crash);
                self.report(OwnFinding::new(fingerprint, fact, now));
            }
        }
        self.record_part_crashes(server, &interruptions, now);
    }

    /// Records a response of a server. It is alive, so its earlier interruptions do not count.
    pub fn record_alive(&mut self, server: Key) {
        self.interruptions.take(server);
    }

    /// Records that a request was answered completely. No earlier crash was its fault.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Time) {
        self.interruptions.clear(fingerprint);
        self.succeeded.insert(fingerprint, now);
        if self.clear(fingerprint, now, true) {
            self.report(OwnFinding::success(fingerprint, now, now));
        }
    }

    /// Applies a finding of another host.
    pub fn apply_finding(&mut self, finding: &Finding, now: Time) {
        if let Some(part) = finding.fingerprint.part() {
            return self.apply_part_finding(part, finding.fact, now);
        }
        match finding.fact {
            Fact::Crash {
                server,
                begun,
                age_ms,
            } => {
                let at = now - Duration::from_millis(u64::from(age_ms));
                let crash = Crash { server, at, begun };
                self.add_crash(finding.fingerprint, crash, now);
            }
            Fact::Sound { age_ms } => {
                let at = now - Duration::from_millis(u64::from(age_ms));
                // The finding may arrive before that of the crash it clears.
                self.make_room(finding.fingerprint);
                self.suspects.entry(finding.fingerprint).or_default();
                self.clear(finding.fingerprint, at, false);
            }
            Fact::Barred { left_s } => self.apply_reported_bar(finding.fingerprint, left_s, now),
        }
    }

    /// Applies a bar read from the store, and reports it to the other hosts.
    pub fn apply_stored_bar(&mut self, fingerprint: Fingerprint, remaining: Duration, now: Time) {
        let remaining = remaining.min(BAR_DURATION);
        if self.bar(fingerprint, remaining, now) {
            self.report(OwnFinding::new(fingerprint, Fact::barred(), now));
        }
    }

    /// Applies a release read from the store, and reports it to the other hosts.
    pub fn apply_stored_release(&mut self, fingerprint: Fingerprint, now: Time) {
        if self.lift(fingerprint, now) {
            // What is reported of a bar is how much longer it lasts: no longer.
            self.report(OwnFinding::new(fingerprint, Fact::barred(), now));
        }
    }

    /// Releases a request or part although nothing shows that it is sound, and drops its crashes: another host or an operator
    /// has decided that. Returns whether it was barred.
    fn lift(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        if !self.bars.contains(fingerprint) {
            return false;
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.forget(now);
        }
        self.unbar(fingerprint, false, now);
        true
    }

    /// Applies another host's bar, or its end if no time remains. A host that has missed the release may repeat a bar.
    fn apply_reported_bar(&mut self, fingerprint: Fingerprint, left_s: u32, now: Time) {
        let suspect = self.suspects.get(&fingerprint);
        let has_cause = suspect.is_some_and(|suspect| suspect.crashes().len() >= GUILTY_CRASHES);
        if left_s == 0 {
            self.lift(fingerprint, now);
        } else if has_cause || !self.released.contains_key(&fingerprint) {
            let remaining = Duration::from_secs(u64::from(left_s)).min(BAR_DURATION);
            self.bar(fingerprint, remaining, now);
        }
    }

    /// Applies the list of barred requests from a restored copy of the store. Barred requests that are missing there
    /// are to be stored again, and ones that were released since are to be removed again. All others are barred.
    pub fn restore(&mut self, listed: &[(Fingerprint, Duration)], now: Time) {
        let mut stale = Vec::new();
        for (fingerprint, remaining) in listed {
            if remaining.is_zero() || self.released.contains_key(fingerprint) {
                stale.push(*fingerprint);
            } else {
                self.apply_stored_bar(*fingerprint, *remaining, now);
            }
        }
        let is_listed =
            |fingerprint: &&Fingerprint| listed.iter().any(|(other, _)| other == *fingerprint);
        let barred = self.bars.keys();
        let missing: Vec<Fingerprint> = barred
            .filter(|fingerprint| !is_listed(&fingerprint))
            .collect();
        let missing = missing
            .into_iter()
            .map(|fingerprint| (fingerprint, self.bar_decision(fingerprint)));
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

    /// Returns the decisions since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Returns whether one more crash suffices for the request to be evaluated.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes().len() + 1 >= GUILTY_CRASHES)
    }

    /// Returns whether a request is about to be evaluated and should wait for the verdict. The wait is short.
    pub fn is_pending(&self, fingerprint: Fingerprint, now: Time) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        let is_due = suspect.is_some_and(|suspect| {
            suspect.is_due_after(now - SETTLE_DELAY)
                && !suspect.succeeded_after(now - CLEARED_AFTER_SUCCESS)
        });
        is_due && !self.bars.contains(fingerprint)
    }

    /// Evaluates all settled crashes: bars requests that are found guilty and releases those barred in place of
    /// another.
    pub fn evaluate(&mut self, now: Time) {
        if !self.needs_evaluation {
            return;
        }
        let until = now - SETTLE_DELAY;
        self.needs_evaluation = self
            .suspects
            .values()
            .any(|suspect| suspect.last_change() > until)
            || self.has_parts_on_probation(until);
        let judgement = evidence::evaluate(
            &self.suspects,
            &self.server_crashes,
            &self.bars,
            until,
            self.soundness.latest(),
        );
        for fingerprint in judgement.guilty {
            if self.bar(fingerprint, BAR_DURATION, now) && self.is_first_hand(fingerprint) {
                self.report(OwnFinding::new(fingerprint, Fact::barred(), now));
            }
        }
        for (fingerprint, companions) in judgement.joint {
            self.join(fingerprint, companions);
        }
        // The crashes stay recorded and count towards MAX_CRASHES.
        for fingerprint in judgement.innocent {
            self.unbar(fingerprint, self.is_first_hand(fingerprint), now);
        }
    }

    /// Drops expired records, and releases requests whose bar has expired.
    pub fn expire(&mut self, now: Time) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last_change()) < CRASH_RETENTION);
        self.succeeded
            .retain(|_, at| now.since(*at) < CLEARED_AFTER_SUCCESS);
        self.server_crashes
            .retain(|_, at| now.since(*at) < CRASH_RETENTION);
        if let Some(before) = now.0.checked_sub(CRASH_RETENTION.as_micros() as u64) {
            self.soundness.expire(Time(before));
        }
        for fingerprint in self.bars.ended(now) {
            self.unbar(fingerprint, false, now);
        }
        self.released
            .retain(|_, at| now.since(*at) < CRASH_RETENTION);
    }

    /// Adds a crash of a request. Returns whether it is new and counts.
    fn add_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: Time) -> bool {
        if self.server_crashes.len() < MAX_CRASHED_SERVERS {
            self.server_crashes.entry(crash.server).or_insert(crash.at);
        }
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        let added = suspect.add_crash(crash);
        self.needs_evaluation |= added;
        // A host that has answered a suspected request recently reports that.
        if let Some(at) = self.succeeded.get(&fingerprint).copied()
            && suspect.clear(at) | added
        {
            self.report(OwnFinding::success(fingerprint, at, now));
        }
        added
    }

    /// Evicts the request with the fewest crashes, and of these the oldest, if there is no room for another one.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        let is_known = self.suspects.contains_key(&fingerprint);
        if is_known || self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let suspects = self.suspects.iter();
        let weakest =
            suspects.min_by_key(|(_, suspect)| (suspect.crashes().len(), suspect.last_change()));
        if let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Clears a request of all crashes up to a time. Returns whether it was suspected of any or barred.
    fn clear(&mut self, fingerprint: Fingerprint, at: Time, first_hand: bool) -> bool {
        let was_barred = self.bars.contains(fingerprint);
        let cleared = self
            .suspects
            .get_mut(&fingerprint)
            .is_some_and(|suspect| suspect.clear(at));
        if was_barred {
            self.unbar(fingerprint, first_hand, at);
        }
        cleared || was_barred
    }

    /// Bars a request. Returns whether it was not barred before and there was room.
    fn bar(&mut self, fingerprint: Fingerprint, remaining: Duration, now: Time) -> bool {
        if remaining.is_zero()
            || self.barred_for(fingerprint, now).is_some()
            || self.bars.len() >= MAX_BARRED
        {
            return false;
        }
        self.bars.insert(fingerprint, now + remaining);
        self.released.remove(&fingerprint);
        self.verdicts.push(Verdict {
            fingerprint,
            decision: self.bar_decision(fingerprint),
            first_hand: self.is_first_hand(fingerprint),
        });
        true
    }

    /// Returns the decision to bar a request, with its number of crashes.
    fn bar_decision(&self, fingerprint: Fingerprint) -> Decision {
        let suspect = self.suspects.get(&fingerprint);
        Decision::Barred(suspect.map_or(0, |suspect| suspect.crashes().len()))
    }

    /// Releases a request if it is barred.
    fn unbar(&mut self, fingerprint: Fingerprint, first_hand: bool, now: Time) {
        if self.bars.remove(fingerprint) {
            self.released.insert(fingerprint, now);
            self.verdicts.push(Verdict {
                fingerprint,
                decision: Decision::Released,
                first_hand,
            });
        }
    }
}
