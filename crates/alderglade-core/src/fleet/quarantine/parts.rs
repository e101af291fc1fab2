//! Parts of prompts that crash servers: what this host observes of them, and what it exchanges with the others.
//!
//! No two requests with such a part need to be alike, and they may come to any host. Each part that was present at a crash is
//! therefore a suspect of its own, next to the requests. Most suspects are sound parts of the same prompts, or of others at
//! the same server. Hosts remember which parts they have seen to be sound, and only the others are reported at once.
//!
//! A part counts as sound when an answer to a prompt with it has begun and has gone on for [`SOUND_AFTER`], or was completed.
//! The time that counts is that of the beginning: a part may begin to crash servers while earlier answers still run.

use super::evidence::Crash;
use super::finding::{Fact, OwnFinding};
use super::interruption::Interruption;
use super::{
    CERTAIN_CRASHES, CLEARED_AFTER_SUCCESS, GUILTY_CRASHES, Identity, PROBATION, Quarantine,
    SETTLE_DELAY, Verdict,
};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::fleet::part::Part;
use crate::time::Time;
use std::cmp::Reverse;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long an answer goes on after its first event until the parts of its prompt are known not to crash its server. Servers
/// crashed within 0.2 s in every recorded case.
pub const SOUND_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of parts of one prompt that become suspects at a crash.
const MAX_SUSPECT_PARTS: usize = 32;

/// When a host answers others that a part is sound. Any host may know that, and one answer is enough. A few hosts, which
/// differ with each part, answer immediately, twice as many after a short delay if there was no answer, and so on.
#[derive(Debug, Default)]
pub(super) struct Responder {
    /// Digest of the own name.
    host: u64,
    /// The number of hosts.
    hosts: usize,
}

impl Responder {
    /// Returns how long this host waits for the answers of others.
    fn delay(&self, part: Part) -> Duration {
        /// Number of hosts that answer immediately.
        const FIRST_HOSTS: f64 = 4.0;
        /// Time for an answer to reach all hosts. With a thousand hosts, the last ones wait for eight times as long, which is
        /// less than the time after which crashes are evaluated.
        const STEP: Duration = Duration::from_millis(20);
        let digest = xxh3_64_with_seed(&part.number().to_be_bytes(), self.host);
        let position = digest as f64 / u64::MAX as f64 * self.hosts as f64;
        STEP.mul_f64((1.0 + position / FIRST_HOSTS).log2().floor())
    }
}

/// Limits the reports of crashes of parts, as prompts may have hundreds of parts that no others share.
#[derive(Debug, Default)]
pub(super) struct ReportLimit {
    since: Time,
    reports: usize,
}

impl ReportLimit {
    /// Returns whether one more crash may be reported.
    fn allows(&mut self, now: Time) -> bool {
        /// The time that the limit applies to.
        const WINDOW: Duration = Duration::from_millis(1_000);
        /// Maximum number of reports in a window, about twenty bytes each.
        const MAX_REPORTS: usize = 128;
        if now.since(self.since) >= WINDOW {
            *self = ReportLimit {
                since: now,
                reports: 0,
            };
        }
        self.reports += 1;
        self.reports <= MAX_REPORTS
    }
}

impl Quarantine {
    /// Sets the name of this host and the number of hosts, itself included.
    pub fn set_hosts(&mut self, own: &str, hosts: usize) {
        self.responder = Responder {
            host: xxh3_64(own.as_bytes()),
            hosts,
        };
    }

    /// Returns the barred part of a prompt and how much longer it is barred, if there is one.
    pub fn barred_part(&self, parts: &[Part], now: Time) -> Option<(Part, Duration)> {
        let (part, bar) = self.bars.of_parts(parts)?;
        let remaining = bar.until.left(now);
        (!remaining.is_zero()).then_some((part, remaining))
    }

    /// Returns the parts without which a part is not barred.
    pub fn companions(&self, fingerprint: Fingerprint) -> &[Fingerprint] {
        let bar = self.bars.get(fingerprint);
        bar.map_or(&[], |bar| &bar.companions)
    }

    /// Applies a bar read from the store, which holds for prompts that have all of `companions`, too. If this host bars the part
    /// without some of them already, that stays so.
    pub fn apply_stored_part_bar(
        &mut self,
        fingerprint: Fingerprint,
        companions: Vec<Fingerprint>,
        remaining: Duration,
        now: Time,
    ) {
        let was_barred = self.bars.contains(fingerprint);
        self.apply_stored_bar(fingerprint, remaining, now);
        if !was_barred || companions.len() < self.companions(fingerprint).len() {
            self.bars.join(fingerprint, companions);
        }
    }

    /// Limits the bar of a part, if there is one, to prompts that have all of `companions`, too.
    pub(super) fn join(&mut self, fingerprint: Fingerprint, companions: Vec<Fingerprint>) {
        if self.bars.contains(fingerprint) && *self.companions(fingerprint) != companions {
            self.bars.join(fingerprint, companions);
            self.verdicts.push(Verdict {
                fingerprint,
                decision: self.bar_decision(fingerprint),
                first_hand: self.is_first_hand(fingerprint),
            });
        }
    }

    /// Records that an answer to a prompt with these parts began at a time and has not crashed its server.
    pub fn record_sound(&mut self, parts: &[Part], began: Time, now: Time) {
        for part in parts {
            self.soundness.record(*part, began);
            let fingerprint = Fingerprint::from(*part);
            let was_barred = self.bars.contains(fingerprint);
            let is_refuted = self.clear_part(*part, began, now);
            if was_barred || (is_refuted && self.is_often_reported(fingerprint)) {
                self.report_sound(*part, began, now);
            }
        }
    }

    /// Returns whether a request is suspect, or a part of its prompt: after one more crash, it is evaluated.
    pub fn is_any_suspect(&self, request: &Identity) -> bool {
        let parts = request.parts.iter().map(|part| Fingerprint::from(*part));
        let mut all = parts.chain([request.fingerprint]);
        all.any(|fingerprint| self.is_suspect(fingerprint))
    }

    /// Returns whether a request is about to be evaluated, or a part of its prompt, and should wait for the verdict.
    pub fn is_any_pending(&self, request: &Identity, now: Time) -> bool {
        let parts = request.parts.iter().map(|part| Fingerprint::from(*part));
        let mut all = parts.chain([request.fingerprint]);
        !self.suspects.is_empty() && all.any(|fingerprint| self.is_pending(fingerprint, now))
    }

    /// Records that a server has crashed while it had these requests.
    pub(super) fn record_part_crashes(
        &mut self,
        server: Key,
        interruptions: &[Interruption],
        now: Time,
    ) {
        let mut present: Vec<(Part, bool)> = Vec::new();
        for Interruption {
            request, ran, at, ..
        } in interruptions
        {
            if let Some(ran) = ran.filter(|ran| *ran > SOUND_AFTER) {
                self.record_sound(&request.parts, *at - ran, now);
                continue;
            }
            for part in self.likeliest(&request.parts, server) {
                let fingerprint = Fingerprint::from(part);
                self.make_room(fingerprint);
                let suspect = self.suspects.entry(fingerprint).or_default();
                suspect.record_prompt(&request.parts);
                present.push((part, ran.is_some()));
            }
        }
        // A request that had begun precedes one that had not.
        present.sort_by_key(|(part, begun)| (*part, !*begun));
        present.dedup_by_key(|(part, _)| *part);
        // Those that may be barred soon are reported first, as reports are limited.
        present.sort_by_cached_key(|(part, _)| Reverse(self.crash_count(*part)));
        for (part, begun) in present {
            let crash = Crash {
                server,
                at: now,
                begun,
            };
            self.record_part_crash(part, crash, now);
        }
    }

    /// Returns the parts of a prompt that are suspected most. Of those that are equal, each crash takes others.
    fn likeliest(&self, parts: &[Part], server: Key) -> Vec<Part> {
        let rank = |part: &Part| {
            let crashes = self.crash_count(*part);
            let was_sound = self.soundness.last(*part).is_some();
            let order = xxh3_64_with_seed(&part.number().to_be_bytes(), server.number());
            (Reverse(crashes), was_sound, order)
        };
        let mut parts = parts.to_vec();
        if parts.len() > MAX_SUSPECT_PARTS {
            parts.sort_by_cached_key(rank);
        }
        parts.truncate(MAX_SUSPECT_PARTS);
        parts
    }

    /// Returns the number of crashes of a part that count.
    fn crash_count(&self, part: Part) -> usize {
        let suspect = self.suspects.get(&Fingerprint::from(part));
        suspect.map_or(0, |suspect| suspect.crashes().len())
    }

    /// Records a crash with a part. Other hosts learn of it at once, unless the part was sound lately: then only if it has not
    /// been sound again after a while.
    fn record_part_crash(&mut self, part: Part, crash: Crash, now: Time) {
        let fingerprint = Fingerprint::from(part);
        let sound_at = self.soundness.last(part);
        if let Some(at) = sound_at {
            self.make_room(fingerprint);
            self.suspects.entry(fingerprint).or_default().clear(at);
        }
        if !self.add_crash(fingerprint, crash, now) {
            return;
        }
        // Those that were at several crashes are few.
        if self.crash_count(part) < 2 && !self.report_limit.allows(now) {
            return;
        }
        let was_sound_lately = sound_at.is_some_and(|at| now.since(at) < CLEARED_AFTER_SUCCESS);
        let delay = if was_sound_lately {
            PROBATION
        } else {
            Duration::ZERO
        };
        let finding = OwnFinding::new(fingerprint, Fact::crash(&crash), now);
        self.report(finding.delayed(delay));
    }

    /// Applies a finding of another host about a part.
    pub(super) fn apply_part_finding(&mut self, part: Part, fact: Fact, now: Time) {
        let fingerprint = Fingerprint::from(part);
        let age = |millis: u32| Duration::from_millis(u64::from(millis));
        match fact {
            Fact::Crash {
                server,
                begun,
                age_ms,
            } => {
                let at = now - age(age_ms);
                self.make_room(fingerprint);
                let sound_at = self.soundness.last(part);
                if let Some(sound_at) = sound_at {
                    self.suspects
                        .entry(fingerprint)
                        .or_default()
                        .clear(sound_at);
                }
                self.add_crash(fingerprint, Crash { server, at, begun }, now);
                if let Some(sound_at) = sound_at
                    && self.is_often_reported(fingerprint)
                    && now.since(sound_at) < CLEARED_AFTER_SUCCESS
                {
                    self.report_sound(part, sound_at, now);
                }
            }
            Fact::Sound { age_ms } => {
                let at = now - age(age_ms);
                // One answer of several hosts is enough.
                self.own_findings.retain(|own| {
                    let is_answered = own.sound_at().is_some_and(|own_at| own_at <= at);
                    own.fingerprint() != fingerprint || !own.is_new() || !is_answered
                });
                self.make_room(fingerprint);
                self.suspects.entry(fingerprint).or_default();
                self.clear_part(part, at, now);
            }
            Fact::Barred { left_s } => match self.refutation(part, now) {
                Some(sound_at) if left_s > 0 => self.report_sound(part, sound_at, now),
                _ => self.apply_reported_bar(fingerprint, left_s, now),
            },
        }
    }

    /// Returns when a part was last sound here, if that was after its latest known crash, or lately.
    fn refutation(&self, part: Part, now: Time) -> Option<Time> {
        let sound_at = self.soundness.last(part)?;
        let suspect = self.suspects.get(&Fingerprint::from(part));
        let crashes = suspect.into_iter().flat_map(|suspect| suspect.crashes());
        let latest = crashes.map(|crash| crash.at).max();
        let since = latest.unwrap_or_else(|| now - PROBATION);
        (sound_at > since).then_some(sound_at)
    }

    /// Reports that a part is sound, unless that was reported lately.
    fn report_sound(&mut self, part: Part, sound_at: Time, now: Time) {
        let fingerprint = Fingerprint::from(part);
        let is_reported = |own: &OwnFinding| {
            let reported_at = own.sound_at().filter(|_| own.fingerprint() == fingerprint);
            reported_at.is_some_and(|at| at >= sound_at || sound_at.since(at) < SETTLE_DELAY)
        };
        if !self.own_findings.iter().any(is_reported) {
            let finding = OwnFinding::success(fingerprint, sound_at, now);
            self.report(finding.delayed(self.responder.delay(part)));
        }
    }

    /// Clears a part of all crashes up to the time at which a sound answer began, and releases it if too few remain to suspect
    /// it. Returns whether this refutes anything.
    fn clear_part(&mut self, part: Part, began: Time, now: Time) -> bool {
        let fingerprint = Fingerprint::from(part);
        let joint = self.bars.joint();
        let joint = joint.filter(|(_, bar)| bar.companions.contains(&fingerprint));
        let joint: Vec<Fingerprint> = joint.map(|(other, _)| other).collect();
        for other in joint {
            let mut companions = self.companions(other).to_vec();
            companions.retain(|companion| *companion != fingerprint);
            self.join(other, companions);
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let is_refuted = suspect.clear(began);
        let has_cause = suspect.crashes().len() >= GUILTY_CRASHES;
        if self.bars.contains(fingerprint) && !has_cause {
            self.unbar(fingerprint, self.is_first_hand(fingerprint), now);
            return true;
        }
        is_refuted
    }

    /// Returns whether the crashes of a part were reported so often that it may be barred soon.
    fn is_often_reported(&self, fingerprint: Fingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.reports() as usize + 1 >= GUILTY_CRASHES)
    }

    /// Drops findings on crashes of parts that have been sound since.
    pub(super) fn drop_refuted_findings(&mut self) {
        let soundness = &self.soundness;
        self.own_findings.retain(|own| {
            let sound_at = own
                .fingerprint()
                .part()
                .and_then(|part| soundness.last(part));
            let is_refuted = own
                .crash_at()
                .zip(sound_at)
                .is_some_and(|(crash, sound)| sound >= crash);
            !is_refuted
        });
    }

    /// Returns whether there are parts with enough crashes that are not evaluated before their probation is over.
    pub(super) fn has_parts_on_probation(&self, until: Time) -> bool {
        self.suspects.iter().any(|(fingerprint, suspect)| {
            fingerprint.part().is_some()
                && suspect.crashes().len() >= CERTAIN_CRASHES
                && until.since(suspect.last_change()) <= PROBATION
        })
    }
}
