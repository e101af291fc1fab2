//! Evidence against requests and parts of prompts, and the decision on which of them are guilty.

use super::bar::Bars;
use super::part_evidence;
use super::{CERTAIN_CRASHES, CLEARED_AFTER_SUCCESS, GUILTY_CRASHES, MAX_CRASHES};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::fleet::part::Part;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A server crash while the server had a request, or a prompt with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// The incarnation of the server.
    pub(super) server: Key,
    /// Time of the crash.
    pub(super) at: Time,
    /// Whether the request is known to have begun to run there.
    pub(super) begun: bool,
}

/// The history of a request or part that was present at crashes.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    crashes: Vec<Crash>,
    /// When it was last answered completely; of a part, when the latest sound answer to a prompt with it began.
    succeeded_at: Option<Time>,
    /// Until when crashes don't count because its bar was lifted, without any sign that it is sound.
    forgotten_until: Option<Time>,
    /// Time of the latest crash or completed answer.
    last_change: Time,
    /// Of a part, the other parts of all prompts with it that this host itself had at crashes.
    together: Option<Vec<Part>>,
    /// Number of crashes that were recorded or reported, including those that don't count.
    reports: u32,
}

impl Suspect {
    /// Returns the crashes that count.
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the time of the latest crash or completed answer.
    pub(super) fn last_change(&self) -> Time {
        self.last_change
    }

    /// Adds a crash. Returns whether it is new and counts.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        /// Maximum number of crashes that are remembered. It exceeds all thresholds, and covers the crashes that a part causes
        /// before it is barred: those that it does not explain would be held against others.
        const MAX_REMEMBERED: usize = 64;
        self.reports = self.reports.saturating_add(1);
        let counts_from = self.succeeded_at.max(self.forgotten_until);
        let is_cleared = counts_from.is_some_and(|from| crash.at <= from);
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.server == crash.server);
        if is_cleared || is_known || self.crashes.len() >= MAX_REMEMBERED {
            return false;
        }
        self.crashes.push(crash);
        self.last_change = self.last_change.max(crash.at);
        true
    }

    /// Clears the request of all crashes up to a time. Returns whether there were any.
    pub(super) fn clear(&mut self, at: Time) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.succeeded_at = self.succeeded_at.max(Some(at));
        self.last_change = self.last_change.max(at);
        self.crashes.len() < before
    }

    /// Records the parts of a prompt with this part that was at a crash.
    pub(super) fn record_prompt(&mut self, parts: &[Part]) {
        /// Maximum number of parts that are remembered.
        const MAX_PARTS: usize = 32;
        match &mut self.together {
            Some(together) => together.retain(|part| parts.contains(part)),
            None => self.together = Some(parts.iter().take(MAX_PARTS).copied().collect()),
        }
    }

    /// Returns whether another part was in all prompts with this one that this host itself had at crashes.
    pub(super) fn is_always_with(&self, other: Part) -> bool {
        let together = self.together.as_ref();
        together.is_none_or(|together| together.contains(&other))
    }

    /// Drops all crashes up to a time, as its bar was lifted then.
    pub(super) fn forget(&mut self, until: Time) {
        self.crashes.retain(|crash| crash.at > until);
        self.forgotten_until = self.forgotten_until.max(Some(until));
        self.last_change = self.last_change.max(until);
    }

    /// Returns the number of crashes that were recorded or reported, including those that don't count.
    pub(super) fn reports(&self) -> u32 {
        self.reports
    }

    /// Returns whether it was answered completely after a time.
    pub(super) fn succeeded_after(&self, at: Time) -> bool {
        self.succeeded_at > Some(at)
    }

    /// Returns whether it has enough crashes to be evaluated, the latest of them after a time.
    pub(super) fn is_due_after(&self, at: Time) -> bool {
        let newest = self.crashes.iter().map(|crash| crash.at).max();
        self.crashes.len() >= GUILTY_CRASHES && newest > Some(at)
    }

    /// Returns the evidence against it up to a time.
    fn evidence_until(&self, fingerprint: Fingerprint, until: Time) -> Accused {
        let crashes = self.crashes.iter().filter(|crash| crash.at <= until);
        let begun = crashes.clone().filter(|crash| crash.begun).count();
        let crashes: CrashTimes = crashes.map(|crash| (crash.server, crash.at)).collect();
        Accused {
            fingerprint,
            crashes,
            begun,
            succeeded_at: self.succeeded_at,
        }
    }
}

/// Servers whose crashes are explained.
pub(super) type Servers = BTreeSet<Key>;

/// The time of the crash of each server.
pub(super) type CrashTimes = BTreeMap<Key, Time>;

/// The evidence against a request or part.
pub(super) struct Accused {
    pub(super) fingerprint: Fingerprint,
    /// Servers that crashed while they had it.
    pub(super) crashes: CrashTimes,
    /// Number of these servers on which it is known to have begun to run.
    begun: usize,
    /// When it was last seen to be sound.
    pub(super) succeeded_at: Option<Time>,
}

impl Accused {
    /// Returns the weight of the evidence: the number of crashes, then of those at which the request had begun to run. Of a
    /// part, the latter depends on which of several requests with it were at the server.
    pub(super) fn rank(&self) -> (usize, usize) {
        let begun = if self.is_part() { 0 } else { self.begun };
        (self.crashes.len(), begun)
    }

    /// Returns whether it is a part of prompts.
    pub(super) fn is_part(&self) -> bool {
        self.fingerprint.part().is_some()
    }

    /// Returns the number of its crashes that no other request or part explains.
    pub(super) fn unexplained(&self, explained: &Servers) -> usize {
        let servers = self.crashes.keys();
        servers.filter(|server| !explained.contains(server)).count()
    }

    /// Returns whether it has enough crashes that no other request explains.
    fn has_unexplained_crashes(&self, explained: &Servers) -> bool {
        self.unexplained(explained) >= GUILTY_CRASHES
    }

    /// Returns whether it has all crashes of another one, and more.
    pub(super) fn explains_more_than(&self, other: &Accused) -> bool {
        let has_all = other
            .crashes
            .keys()
            .all(|server| self.crashes.contains_key(server));
        has_all && !other.crashes.is_empty() && other.crashes.len() < self.crashes.len()
    }

    /// Returns whether as many servers crashed without it, from shortly before its first crash until its last. Its own
    /// crashes may then be chance.
    pub(super) fn may_be_chance(&self, all: &CrashTimes, explained: &Servers) -> bool {
        /// A common cause crashes many servers within about a second. When it crashed a quarter of ninety servers, up
        /// to five had crashed before the first one with this request.
        const LEAD_TIME: Duration = Duration::from_millis(2_000);
        let first = self.crashes.values().min().map(|first| *first - LEAD_TIME);
        let last = self.crashes.values().max().copied();
        let in_window = |at: &Time| (first..=last).contains(&Some(*at));
        let crashed_without = all.iter().filter(|(server, at)| {
            in_window(at) && !self.crashes.contains_key(server) && !explained.contains(server)
        });
        crashed_without.count() >= self.crashes.len()
    }

    /// Returns whether it has so many crashes that neither chance nor another request with the same ones excuses it.
    pub(super) fn is_certain(&self) -> bool {
        self.crashes.len() >= CERTAIN_CRASHES
    }

    /// Returns whether it has so many crashes that it must not be sent again, regardless of any explanation.
    fn has_max_crashes(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }
}

/// Requests and parts that are found guilty, and barred ones that no longer are.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Judgement {
    pub(super) guilty: Vec<Fingerprint>,
    pub(super) innocent: Vec<Fingerprint>,
    /// Parts, with the companions without which they are not barred.
    pub(super) joint: Vec<(Fingerprint, Vec<Fingerprint>)>,
}

/// What the evaluation of one request or part depends on.
pub(super) struct Case<'a> {
    /// All requests and parts that were present at crashes.
    pub(super) suspects: &'a BTreeMap<Fingerprint, Suspect>,
    /// The crashes of all servers.
    pub(super) all: &'a CrashTimes,
    /// Those with enough crashes to be evaluated, the ones with the most crashes first.
    pub(super) accused: &'a [Accused],
    /// Those that are barred.
    pub(super) barred: &'a [Accused],
    /// Servers whose crashes are explained by barred or guilty ones.
    pub(super) explained: Servers,
    /// Evidence after this time does not count yet.
    pub(super) until: Time,
    /// When the latest sound answer of this host began.
    pub(super) last_sound: Option<Time>,
}

/// Evaluates requests and parts by the evidence up to a time. `all` are the crashes of all servers. Those that are barred
/// already explain their crashes.
pub(super) fn evaluate(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    all: &CrashTimes,
    bars: &Bars,
    until: Time,
    last_sound: Option<Time>,
) -> Judgement {
    let cleared_since = until - CLEARED_AFTER_SUCCESS;
    let known = suspects.iter().filter(|(fingerprint, suspect)| {
        // Most suspects were at one crash.
        let counts = suspect.crashes().len() >= GUILTY_CRASHES || bars.contains(**fingerprint);
        counts && (fingerprint.part().is_some() || !suspect.succeeded_after(cleared_since))
    });
    let known = known.map(|(fingerprint, suspect)| suspect.evidence_until(*fingerprint, until));
    let (barred, mut accused): (Vec<_>, Vec<_>) =
        known.partition(|accused| bars.contains(accused.fingerprint));
    accused.retain(|accused| accused.crashes.len() >= GUILTY_CRASHES);
    // Among equal evidence the narrower explanation precedes: a single request, then a part that was never sound.
    accused.sort_by_key(|accused| {
        let was_sound = accused.is_part() && accused.succeeded_at.is_some();
        (Reverse(accused.rank()), accused.is_part(), was_sound)
    });
    let servers = barred.iter().flat_map(|accused| accused.crashes.keys());
    let mut case = Case {
        suspects,
        all,
        accused: &accused,
        barred: &barred,
        explained: servers.copied().collect(),
        until,
        last_sound,
    };
    let mut judgement = Judgement {
        joint: part_evidence::separated(&case, bars),
        ..Judgement::default()
    };
    for candidate in &accused {
        let excused = excused(candidate, &case);
        let is_guilty = if candidate.is_part() {
            part_evidence::is_guilty(candidate, !excused.is_empty(), &case)
        } else {
            is_request_guilty(candidate, !excused.is_empty(), &case)
        };
        if is_guilty {
            if candidate.is_part() {
                let companions = part_evidence::companions(candidate, &case);
                judgement.joint.push((candidate.fingerprint, companions));
            }
            case.explained.extend(candidate.crashes.keys());
            judgement.guilty.push(candidate.fingerprint);
            judgement.innocent.extend(excused);
        }
    }
    judgement
}

/// Returns the barred requests and parts whose crashes a candidate explains, in addition to others. Those of a part are explained
/// neither by a request nor by a part that was sound before, as one that many prompts share is present at most crashes.
fn excused(candidate: &Accused, case: &Case<'_>) -> Vec<Fingerprint> {
    let explains_parts = candidate.is_part() && candidate.succeeded_at.is_none();
    let excused = case.barred.iter().filter(|other| {
        candidate.explains_more_than(other) && (explains_parts || !other.is_part())
    });
    excused.map(|other| other.fingerprint).collect()
}

/// Returns whether a request is guilty. `excuses` is whether it explains all crashes of a barred one, and more.
fn is_request_guilty(request: &Accused, excuses: bool, case: &Case<'_>) -> bool {
    let is_sole_cause = request.has_unexplained_crashes(&case.explained) || excuses;
    let is_responsible = is_sole_cause || request.has_max_crashes();
    let is_doubtful = || {
        let others = case.accused.iter().filter(|other| !other.is_part());
        is_ambiguous(request, others, &case.explained)
            || request.may_be_chance(case.all, &case.explained)
    };
    is_responsible && (request.is_certain() || !is_doubtful())
}

/// Returns whether another one with equal evidence would go free if this one were found guilty.
pub(super) fn is_ambiguous<'a>(
    candidate: &Accused,
    mut others: impl Iterator<Item = &'a Accused>,
    explained: &Servers,
) -> bool {
    let explained_by_this: Servers = explained
        .iter()
        .chain(candidate.crashes.keys())
        .copied()
        .collect();
    let goes_free = |other: &Accused| {
        other.has_unexplained_crashes(explained)
            && !other.has_unexplained_crashes(&explained_by_this)
    };
    others.any(|other| {
        let is_equal =
            other.fingerprint != candidate.fingerprint && other.rank() == candidate.rank();
        is_equal && goes_free(other)
    })
}
