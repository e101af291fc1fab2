//! What speaks against a request, and who is held guilty by it.

use super::{ENOUGH, MOST, Servers};
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::cmp::Reverse;
use std::collections::BTreeMap;

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

    /// Says whether it is at enough ends to be judged, the last of them after a time.
    pub(super) fn is_judged_after(&self, at: Time) -> bool {
        let newest = self.crashes.iter().map(|crash| crash.at).max();
        self.crashes.len() >= ENOUGH && newest > Some(at)
    }

    /// Gives what speaks against it of what happened up to a time.
    pub(super) fn accused(&self, asked: Fingerprint, until: Time) -> Accused {
        let crashes = self.crashes.iter().filter(|crash| crash.at <= until);
        let begun = crashes.clone().filter(|crash| crash.begun).count();
        let servers: Servers = crashes.map(|crash| crash.server).collect();
        Accused {
            asked,
            rank: (servers.len(), begun),
            servers,
        }
    }
}

/// What speaks against a request.
pub(super) struct Accused {
    asked: Fingerprint,
    /// Ends, and those of them at which it had begun to run.
    rank: (usize, usize),
    servers: Servers,
}

impl Accused {
    /// Says whether it was at enough ends that nothing else explains.
    fn answers_for_enough(&self, explained: &Servers) -> bool {
        self.servers.difference(explained).count() >= ENOUGH
    }

    /// Says whether it was at each end that another one was at, and at more.
    fn explains_more_than(&self, other: &Accused) -> bool {
        other.servers.len() < self.servers.len() && other.servers.is_subset(&self.servers)
    }
}

/// Who is held guilty, and who no longer is.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Judgement {
    pub(super) guilty: Vec<Fingerprint>,
    pub(super) innocent: Vec<Fingerprint>,
}

/// Judges requests by what happened up to a time; those that are barred by now explain what they were at.
pub(super) fn judge(
    suspects: &BTreeMap<Fingerprint, Suspect>,
    is_barred: impl Fn(Fingerprint) -> bool,
    until: Time,
) -> Judgement {
    let all = suspects
        .iter()
        .map(|(asked, suspect)| suspect.accused(*asked, until));
    let judged = all.filter(|one| one.servers.len() >= ENOUGH);
    let (barred, mut accused): (Vec<_>, Vec<_>) = judged.partition(|one| is_barred(one.asked));
    accused.sort_by_key(|one| Reverse(one.rank));
    let mut explained: Servers = barred.iter().flat_map(|one| one.servers.clone()).collect();
    let mut judgement = Judgement::default();
    for one in &accused {
        let lesser = barred.iter().filter(|other| one.explains_more_than(other));
        let lesser: Vec<Fingerprint> = lesser.map(|other| other.asked).collect();
        let answers = one.answers_for_enough(&explained) || !lesser.is_empty();
        if answers && !is_ambiguous(one, &accused, &explained) {
            explained.extend(&one.servers);
            judgement.guilty.push(one.asked);
            judgement.innocent.extend(lesser);
        }
    }
    judgement
}

/// Says whether another request, against which as much speaks, would go free where this one is held guilty.
fn is_ambiguous(one: &Accused, accused: &[Accused], explained: &Servers) -> bool {
    let (ends, _) = one.rank;
    let by_this = explained.union(&one.servers).copied().collect();
    let goes_free = |other: &Accused| {
        other.answers_for_enough(explained) && !other.answers_for_enough(&by_this)
    };
    let as_much = |other: &&Accused| other.asked != one.asked && other.rank == one.rank;
    let mut others = accused.iter().filter(as_much);
    ends < MOST && others.any(goes_free)
}
