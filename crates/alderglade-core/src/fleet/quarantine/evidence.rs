//! Evidence against requests, and the decision on which of them are guilty.

use super::{CERTAIN_CRASHES, CLEARED_AFTER_SUCCESS, GUILTY_CRASHES, MAX_CRASHES};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A server crash while the server had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// The incarnation of the server.
    pub(super) server: Key,
    /// Time of the crash.
    pub(super) at: Time,
    /// Whether the request is known to have begun to run there.
    pub(super) begun: bool,
}

/// The history of a request that was present at crashes.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    crashes: Vec<Crash>,
    /// When it was last answered completely.
    succeeded_at: Option<Time>,
    /// Time of the latest crash or completed answer.
    last_change: Time,
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
        /// Maximum number of crashes that are remembered. This exceeds all thresholds.
        const MAX_REMEMBERED: usize = 16;
        let is_cleared = self
            .succeeded_at
            .is_some_and(|succeeded_at| crash.at <= succeeded_at);
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
        }
    }
}

/// Servers whose crashes are explained.
type Servers = BTreeSet<Key>;

/// The time of the crash of each server.
pub(super) type CrashTimes = BTreeMap<Key, Time>;

/// The evidence against a request.
struct Accused {
    fingerprint: Fingerprint,
    /// Servers that crashed while they had the request.
    crashes: CrashTimes,
    /// Number of these servers on which it is known to have begun to run.
    begun: usize,
}

impl Accused {
    /// Returns the weight of the evidence: the number of crashes, then of those at which the request had begun to run.
    fn rank(&self) -> (usize, usize) {
        (self.crashes.len(), self.begun)
    }

    /// Returns whether it has enough crashes that no other request explains.
    fn has_unexplained_crashes(&self, explained: &Servers) -> bool {
        let servers = self.crashes.keys();
        servers.filter(|server| !explained.contains(server)).count() >= GUILTY_CRASHES
    }

    /// Returns whether it has all crashes of another request, and more.
    fn explains_more_than(&self, other: &Accused) -> bool {
        let has_all = other
            .crashes
            .keys()
            .all(|server| self.crashes.contains_key(server));
        has_all && !other.crashes.is_empty() && other.crashes.len() < self.crashes.len()
    }

    /// Returns whether as many servers crashed without it, from shortly before its first crash until its last. Its own
    /// crashes may then be chance.
    fn may_be_chance(&self, all: &CrashTimes, explained: &Servers) -> bool {
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
    fn is_certain(&self) -> bool {
        self.crashes.len() >= CERTAIN_CRASHES
    }

    /// Returns whether it has so many crashes that it must not be sent again, regardless of any explanation.
    fn has_max_crashes(&self) -> bool {
        self.crashes.len() >= MAX_CRASHES
    }
}

/// Requests that are found guilty, and barred ones that no longer are.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Judgement {
    pub(super) guilty: Vec<Fingerprint>,
    pub(super) innocent: Vec<Fingerprint>,
}

/// Evaluates requests by the evidence up to a time. `all` are the crashes of all servers. Requests that are barred
/// already explain their crashes.
pub(super) fn evaluate(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    all: &CrashTimes,
    is_barred: impl Fn(Fingerprint) -> bool,
    until: Time,
) -> Judgement {
    let cleared_since = until - CLEARED_AFTER_SUCCESS;
    let known = suspects.iter();
    let known = known.filter(|(_, suspect)| !suspect.succeeded_after(cleared_since));
    let known = known.map(|(fingerprint, suspect)| suspect.evidence_until(*fingerprint, until));
    let (barred, mut accused): (Vec<_>, Vec<_>) =
        known.partition(|accused| is_barred(accused.fingerprint));
    let mut explained: Servers = barred
        .iter()
        .flat_map(|accused| accused.crashes.keys())
        .copied()
        .collect();
    accused.retain(|request| request.crashes.len() >= GUILTY_CRASHES);
    accused.sort_by_key(|request| Reverse(request.rank()));
    let mut judgement = Judgement::default();
    for request in &accused {
        let excused = barred
            .iter()
            .filter(|other| request.explains_more_than(other));
        let excused: Vec<Fingerprint> = excused.map(|other| other.fingerprint).collect();
        let is_sole_cause = request.has_unexplained_crashes(&explained) || !excused.is_empty();
        let is_responsible = is_sole_cause || request.has_max_crashes();
        let is_doubtful = || {
            is_ambiguous(request, &accused, &explained) || request.may_be_chance(all, &explained)
        };
        if is_responsible && (request.is_certain() || !is_doubtful()) {
            explained.extend(request.crashes.keys());
            judgement.guilty.push(request.fingerprint);
            judgement.innocent.extend(excused);
        }
    }
    judgement
}

/// Returns whether another request with equal evidence would go free if this one were found guilty.
fn is_ambiguous(request: &Accused, accused: &[Accused], explained: &Servers) -> bool {
    let explained_by_this: Servers = explained
        .iter()
        .chain(request.crashes.keys())
        .copied()
        .collect();
    let goes_free = |other: &Accused| {
        other.has_unexplained_crashes(explained)
            && !other.has_unexplained_crashes(&explained_by_this)
    };
    let is_equal = |other: &&Accused| {
        other.fingerprint != request.fingerprint && other.rank() == request.rank()
    };
    accused.iter().filter(is_equal).any(goes_free)
}
