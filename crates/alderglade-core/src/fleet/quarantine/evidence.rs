//! What speaks against a request, and who is held guilty by it.

use super::{ENOUGH, LAST, MOST, SOUND};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A server that has ended with a request in its hands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Crash {
    /// The server, in one of its lifetimes.
    pub(super) server: Key,
    /// When it ended.
    pub(super) at: Time,
    /// Whether the request is known to have begun to run there.
    pub(super) begun: bool,
}

/// A request that was at ends of servers.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    crashes: Vec<Crash>,
    /// When it was last answered to its end.
    sound: Option<Time>,
    /// When there was last anything to note.
    last: Time,
}

impl Suspect {
    /// Gives the ends that count.
    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Gives when there was last anything to note.
    pub(super) fn last(&self) -> Time {
        self.last
    }

    /// Adds an end; says whether it is new and counts.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        /// Ends that are remembered: more than decide anything.
        const REMEMBERED: usize = 16;
        let cleared = self.sound.is_some_and(|sound| crash.at <= sound);
        let known = self
            .crashes
            .iter()
            .any(|known| known.server == crash.server);
        if cleared || known || self.crashes.len() >= REMEMBERED {
            return false;
        }
        self.crashes.push(crash);
        self.last = self.last.max(crash.at);
        true
    }

    /// Clears it of all ends up to a time; says whether there were any.
    pub(super) fn clear(&mut self, at: Time) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.sound = self.sound.max(Some(at));
        self.last = self.last.max(at);
        self.crashes.len() < before
    }

    /// Says whether it was answered to its end after a time.
    pub(super) fn was_sound_after(&self, at: Time) -> bool {
        self.sound > Some(at)
    }

    /// Says whether it is at enough ends to be judged, the last of them after a time.
    pub(super) fn is_judged_after(&self, at: Time) -> bool {
        let newest = self.crashes.iter().map(|crash| crash.at).max();
        self.crashes.len() >= ENOUGH && newest > Some(at)
    }

    /// Gives what speaks against it of what happened up to a time.
    fn accused(&self, fingerprint: Fingerprint, until: Time) -> Accused {
        let crashes = self.crashes.iter().filter(|crash| crash.at <= until);
        let begun = crashes.clone().filter(|crash| crash.begun).count();
        let ends: Ends = crashes.map(|crash| (crash.server, crash.at)).collect();
        Accused {
            fingerprint,
            ends,
            begun,
        }
    }
}

/// Servers whose ends are explained.
type Servers = BTreeSet<Key>;

/// When servers ended.
pub(super) type Ends = BTreeMap<Key, Time>;

/// What speaks against a request.
struct Accused {
    fingerprint: Fingerprint,
    ends: Ends,
    /// How many of them it is known to have begun to run at.
    begun: usize,
}

impl Accused {
    /// Gives how much speaks against it: ends, and among as many those at which it had begun to run.
    fn rank(&self) -> (usize, usize) {
        (self.ends.len(), self.begun)
    }

    /// Says whether it was at enough ends that nothing else explains.
    fn answers_for_enough(&self, explained: &Servers) -> bool {
        let servers = self.ends.keys();
        servers.filter(|server| !explained.contains(server)).count() >= ENOUGH
    }

    /// Says whether it was at each end that another one was at, and at more.
    fn explains_more_than(&self, other: &Accused) -> bool {
        let all = other
            .ends
            .keys()
            .all(|server| self.ends.contains_key(server));
        all && !other.ends.is_empty() && other.ends.len() < self.ends.len()
    }

    /// Says whether as many servers ended without it, from shortly before its first end to its last: then its own may be
    /// chance.
    fn is_one_of_many(&self, all: &Ends, explained: &Servers) -> bool {
        /// What makes many servers end does so within about a second; where a quarter of ninety did, up to five had ended
        /// before the first one that had this request.
        const BEFORE: Duration = Duration::from_millis(2_000);
        let first = self.ends.values().min().map(|first| *first - BEFORE);
        let last = self.ends.values().max().copied();
        let meanwhile = |at: &Time| (first..=last).contains(&Some(*at));
        let without = all.iter().filter(|(server, at)| {
            meanwhile(at) && !self.ends.contains_key(server) && !explained.contains(server)
        });
        without.count() >= self.ends.len()
    }

    /// Says whether there are so many ends that neither chance nor another request at the same ones speaks for it.
    fn is_beyond_doubt(&self) -> bool {
        self.ends.len() >= MOST
    }

    /// Says whether there are so many ends that it must not be sent again, whatever explains them.
    fn is_at_its_last(&self) -> bool {
        self.ends.len() >= LAST
    }
}

/// Who is held guilty, and who no longer is.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Judgement {
    pub(super) guilty: Vec<Fingerprint>,
    pub(super) innocent: Vec<Fingerprint>,
}

/// Judges requests by what happened up to a time, `all` ends of servers among it; those that are barred by now explain what
/// they were at.
pub(super) fn judge(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    all: &Ends,
    is_barred: impl Fn(Fingerprint) -> bool,
    until: Time,
) -> Judgement {
    let lately = until - SOUND;
    let known = suspects.iter();
    let known = known.filter(|(_, suspect)| !suspect.was_sound_after(lately));
    let known = known.map(|(fingerprint, suspect)| suspect.accused(*fingerprint, until));
    let (barred, mut accused): (Vec<_>, Vec<_>) = known.partition(|one| is_barred(one.fingerprint));
    let mut explained: Servers = barred
        .iter()
        .flat_map(|one| one.ends.keys())
        .copied()
        .collect();
    accused.retain(|one| one.ends.len() >= ENOUGH);
    accused.sort_by_key(|one| Reverse(one.rank()));
    let mut judgement = Judgement::default();
    for one in &accused {
        let lesser = barred.iter().filter(|other| one.explains_more_than(other));
        let lesser: Vec<Fingerprint> = lesser.map(|other| other.fingerprint).collect();
        let alone = one.answers_for_enough(&explained) || !lesser.is_empty();
        let answers = alone || one.is_at_its_last();
        let doubtful =
            || is_ambiguous(one, &accused, &explained) || one.is_one_of_many(all, &explained);
        if answers && (one.is_beyond_doubt() || !doubtful()) {
            explained.extend(one.ends.keys());
            judgement.guilty.push(one.fingerprint);
            judgement.innocent.extend(lesser);
        }
    }
    judgement
}

/// Says whether another request, against which as much speaks, would go free where this one is held guilty.
fn is_ambiguous(one: &Accused, accused: &[Accused], explained: &Servers) -> bool {
    let by_this: Servers = explained.iter().chain(one.ends.keys()).copied().collect();
    let goes_free = |other: &Accused| {
        other.answers_for_enough(explained) && !other.answers_for_enough(&by_this)
    };
    let as_much =
        |other: &&Accused| other.fingerprint != one.fingerprint && other.rank() == one.rank();
    accused.iter().filter(as_much).any(goes_free)
}
