//! What is held against the promises: every request, every start, every answer.

use super::requests::Caller;
use alderglade_core::Name;
use alderglade_core::error::Ran;
use alderglade_core::request::{Id, Refusal};
use alderglade_core::settings::Tree;
use alderglade_core::time::Time;
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// An answer may be this late: the request's own thread answers so long after the deadline.
const LATE: Duration = Duration::from_millis(300);
/// A leaving server may get new work for this long.
pub const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Settings are in force everywhere within this time.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Fate {
    /// The group that it is counted in.
    pub group: Name,
    /// The host that it came to.
    pub host: Name,
    /// When it came.
    pub since: Time,
    /// When it had to be answered.
    pub deadline: Time,
    /// The next token that the caller expects.
    pub next_token: u64,
    /// The time to the first token.
    pub first_token: Option<Duration>,
    /// Where and when it was started.
    pub started: Vec<(Name, Time)>,
    /// How it was answered: `Some(None)` for whole.
    pub answer: Option<Option<Refusal>>,
    /// When it was answered.
    pub answered: Option<Time>,
    /// Its caller lost the connection because the host was gone.
    pub lost: bool,
    /// The balancer found no host for it.
    pub unserved: bool,
}

/// Everything that was seen, and every promise that was broken.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The requests.
    pub fates: BTreeMap<Id, Fate>,
    /// Runs of each booking's key.
    pub runs: BTreeMap<Name, u32>,
    /// Times between tokens in microseconds, by group.
    pub gaps: BTreeMap<Name, Histogram<u64>>,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// Hosts that stopped as planned, and when.
    pub stopped: BTreeMap<Name, Time>,
    pub(crate) first_tree: Arc<Tree>,
    serial: u64,
    killed: BTreeSet<Name>,
    frozen: BTreeMap<Name, Vec<Time>>,
    accepted: BTreeMap<u64, Time>,
    in_force: BTreeMap<(Name, u64), Time>,
}

impl Ledger {
    pub(crate) fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn break_promise(&mut self, words: String) {
        self.broken.push(words);
    }

    pub(crate) fn note_asked(&mut self, id: Id, caller: &Caller, now: Time) {
        let fate = Fate {
            group: caller.group.clone(),
            host: caller.host.clone(),
            since: now,
            deadline: now + caller.time_allowed,
            next_token: 0,
            first_token: None,
            started: Vec::new(),
            answer: None,
            answered: None,
            lost: false,
            unserved: false,
        };
        self.fates.insert(id, fate);
    }

    pub(crate) fn note_unserved(&mut self, id: Id) {
        if let Some(fate) = self.fates.get_mut(&id) {
            fate.unserved = true;
        }
    }

    pub(crate) fn note_lost(&mut self, id: Id, host: &Name) {
        let planned = self.stopped.contains_key(host) && !self.killed.contains(host);
        if let Some(fate) = self.fates.get_mut(&id) {
            fate.lost = true;
        }
        if planned {
            self.break_promise(format!("the planned stop of {host} cut {id} off"));
        }
    }

    pub(crate) fn note_started(&mut self, id: Id, at: &Name, now: Time) {
        let Some(fate) = self.fates.get_mut(&id) else {
            return;
        };
        fate.started.push((at.clone(), now));
        if matches!(fate.answer, Some(Some(refusal)) if refusal.ran == Ran::No) {
            self.break_promise(format!(
                "{id} was refused as not run and then started at {at}"
            ));
        }
    }

    pub(crate) fn check_leaving(&mut self, engine: &Name, since: Option<Time>, now: Time) {
        let late = since.is_some_and(|since| now.since(since) > LEAVING_LIMIT);
        if late {
            self.break_promise(format!(
                "{engine} got new work {LEAVING_LIMIT:?} after it began to leave"
            ));
        }
    }

    pub(crate) fn note_token(&mut self, id: Id, sequence: u64) {
        let Some(fate) = self.fates.get_mut(&id) else {
            return;
        };
        if fate.next_token != sequence {
            let expected = fate.next_token;
            self.break_promise(format!("{id} got token {sequence} in place of {expected}"));
            return;
        }
        fate.next_token += 1;
    }

    pub(crate) fn note_first_token(&mut self, id: Id, after: Duration) {
        if let Some(fate) = self.fates.get_mut(&id) {
            fate.first_token = Some(after);
        }
    }

    pub(crate) fn note_gap(&mut self, group: &Name, gap: Duration) {
        let gaps = self
            .gaps
            .entry(group.clone())
            .or_insert_with(|| Histogram::new(3).expect("three digits"));
        // An auto-resizing histogram takes any value.
        let _ = gaps.record(gap.as_micros() as u64);
    }

    pub(crate) fn note_answer(&mut self, id: Id, refusal: Option<Refusal>, now: Time) {
        let Some(fate) = self.fates.get_mut(&id) else {
            return;
        };
        let twice = fate.answer.is_some();
        let late = now > fate.deadline + LATE;
        let ran = !fate.started.is_empty();
        fate.answer = Some(refusal);
        fate.answered = Some(now);
        let host = fate.host.clone();
        let deadline = fate.deadline;
        if twice {
            self.break_promise(format!("{id} was answered twice"));
        }
        if late && !self.was_frozen(&host, deadline, now) {
            self.break_promise(format!("{id} was answered {:?} late", now.since(deadline)));
        }
        if ran && refusal.is_some_and(|refusal| refusal.ran == Ran::No) {
            self.break_promise(format!("{id} had run and was refused as not run"));
        }
    }

    pub(crate) fn note_replay(&mut self, id: Id, refusal: Option<Refusal>, now: Time) {
        self.note_answer(id, refusal, now);
    }

    /// Nothing can answer while its process is stopped: it then answers when it wakes.
    fn was_frozen(&self, host: &Name, deadline: Time, now: Time) -> bool {
        let wakes = self.frozen.get(host).into_iter().flatten();
        wakes
            .clone()
            .any(|wake| *wake >= deadline && now <= *wake + LATE)
    }

    pub(crate) fn note_frozen(&mut self, host: &Name, until: Time) {
        self.frozen.entry(host.clone()).or_default().push(until);
    }

    pub(crate) fn note_killed(&mut self, host: &Name) {
        self.killed.insert(host.clone());
    }

    pub(crate) fn note_stopped(&mut self, host: &Name, now: Time) {
        self.stopped.insert(host.clone(), now);
    }

    pub(crate) fn note_run(&mut self, key: &Name) {
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.break_promise(format!("booking {key} ran twice"));
        }
    }

    pub(crate) fn note_accepted(&mut self, revision: u64, now: Time) {
        self.accepted.insert(revision, now);
    }

    pub(crate) fn note_in_force(&mut self, host: &Name, revision: u64, now: Time) {
        self.in_force.entry((host.clone(), revision)).or_insert(now);
    }

    pub(crate) fn reverted(&mut self, host: &Name, revision: u64, highest: u64) {
        self.break_promise(format!(
            "{host} went from revision {highest} back to {revision}"
        ));
    }

    /// Gives how long a revision took to be in force at each host that has it.
    pub fn in_force_after(&self, revision: u64) -> Vec<(Name, Duration)> {
        let Some(accepted) = self.accepted.get(&revision) else {
            return Vec::new();
        };
        let first = |host: &Name| {
            let newer = self
                .in_force
                .iter()
                .filter(|((of, r), _)| of == host && *r >= revision);
            newer.map(|(_, at)| *at).min()
        };
        let hosts: BTreeSet<&Name> = self.in_force.keys().map(|(host, _)| host).collect();
        hosts
            .into_iter()
            .filter_map(|host| Some((host.clone(), first(host)?.since(*accepted))))
            .collect()
    }

    /// Checks what can only be said at the end: everybody was answered, or lost its host.
    pub fn close(&mut self, now: Time) {
        let open: Vec<Id> = self
            .fates
            .iter()
            .filter(|(_, fate)| fate.answer.is_none() && !fate.lost && !fate.unserved)
            .filter(|(_, fate)| fate.deadline + LATE < now)
            .map(|(id, _)| *id)
            .collect();
        for id in open {
            self.break_promise(format!("{id} was never answered"));
        }
        let short: Vec<Id> = self
            .fates
            .iter()
            .filter(|(_, fate)| fate.answer == Some(None))
            .filter(|(_, fate)| fate.next_token == 0 && !is_booking(fate))
            .map(|(id, _)| *id)
            .collect();
        for id in short {
            self.break_promise(format!("{id} finished without a token"));
        }
    }
}

fn is_booking(fate: &Fate) -> bool {
    &*fate.group == "booking"
}
