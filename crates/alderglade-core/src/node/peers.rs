//! Other hosts: heartbeats, who is leaving, whose settings are newer, who is loaded.

use super::submit::LOAD_LIFE;
use super::{Load, Node};
use crate::Name;
use crate::cell::{Cell, Digest, Key};
use crate::membership::{Card, Change};
use crate::message::{Heartbeat, Message};
use crate::request::Id;
use crate::settings::Tree;
use crate::settings::patch::Patch;
use crate::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A word that a server is leaving counts this long unless it is repeated.
const LEAVING_LIFE: Duration = Duration::from_secs(60);
/// Patches kept for peers that are behind.
const MOST_PATCHES: usize = 32;
/// Settings are asked for again after this long.
const SETTINGS_ANSWER: Duration = Duration::from_millis(500);

/// Backend servers that are leaving, and who said so.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    listed: Vec<Name>,
    told: BTreeMap<Name, Time>,
    heard: BTreeMap<Name, Time>,
}

impl Leaving {
    /// Takes the backend's own word.
    pub(super) fn note(&mut self, names: &[Name], now: Time) {
        for name in names {
            self.told.insert(name.clone(), now);
        }
    }

    /// Forgets the word on a server that has come back as another incarnation.
    fn forget(&mut self, name: &Name) {
        self.told.remove(name);
        self.heard.remove(name);
    }

    fn hear(&mut self, names: &[Name], now: Time) {
        for name in names {
            self.heard.insert(name.clone(), now);
        }
    }

    fn list(&mut self, names: Vec<Name>) {
        let returned: Vec<Name> = self
            .listed
            .iter()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        returned.iter().for_each(|name| self.forget(name));
        self.listed = names;
    }

    /// What this host knows at first hand, to be passed on.
    fn first_hand(&self, now: Time) -> Vec<Name> {
        let told = self
            .told
            .iter()
            .filter(|(_, at)| now.since(**at) < LEAVING_LIFE);
        let mut names: Vec<Name> = told.map(|(name, _)| name.clone()).collect();
        names.extend(self.listed.iter().cloned());
        names.sort();
        names.dedup();
        names
    }

    /// All servers that are leaving by anybody's word.
    pub(super) fn names(&self, now: Time) -> Vec<Name> {
        let mut names = self.first_hand(now);
        let heard = self
            .heard
            .iter()
            .filter(|(_, at)| now.since(**at) < LEAVING_LIFE);
        names.extend(heard.map(|(name, _)| name.clone()));
        names
    }

    /// Says whether a server is leaving by anybody's word.
    pub(super) fn contains(&self, name: &Name, now: Time) -> bool {
        let fresh = |at: &Time| now.since(*at) < LEAVING_LIFE;
        self.listed.contains(name)
            || self.told.get(name).is_some_and(fresh)
            || self.heard.get(name).is_some_and(fresh)
    }
}

impl Node {
    pub(super) fn tick_peers(&mut self) {
        for change in self.view.tick(self.now) {
            match change {
                Change::Joined(host) => self.resend_to(&host),
                Change::Died(host) => self.host_died(&host),
            }
        }
        let due = |beat: Time| self.now.since(beat) >= self.view.interval();
        if self.beat.is_none_or(due) {
            self.beat = Some(self.now);
            self.send_heartbeats();
        }
        self.want_settings();
    }

    fn host_died(&mut self, host: &Name) {
        let keys: Vec<Key> = self.homes.keys().cloned().collect();
        for key in keys {
            self.with_cell(&key, |cell, now| cell.host_died(host, now));
        }
    }

    fn send_heartbeats(&mut self) {
        let heartbeat = Heartbeat {
            card: self.view.own().clone(),
            cells: self.own_digests(),
            leaving: self.leaving.first_hand(self.now),
        };
        for digest in &heartbeat.cells {
            self.note_load(digest.clone());
        }
        let peers: Vec<Name> = self
            .view
            .domain_peers()
            .map(|card| card.name.clone())
            .collect();
        for peer in peers {
            self.send(&peer, Message::Heartbeat(heartbeat.clone()));
        }
    }

    fn own_digests(&mut self) -> Vec<Digest> {
        let now = self.now;
        self.homes
            .values_mut()
            .map(|cell| cell.digest(now))
            .collect()
    }

    fn note_load(&mut self, digest: Digest) {
        let at = self.now;
        self.loads.insert(digest.cell.clone(), Load { digest, at });
    }

    fn heartbeat(&mut self, heartbeat: Heartbeat) {
        let same_domain = heartbeat.card.domain == self.view.own().domain;
        let sender = heartbeat.card.name.clone();
        let known = self
            .view
            .live_peers(self.now)
            .any(|card| card.name == sender);
        self.view.hear(heartbeat.card, self.now);
        if !same_domain {
            return;
        }
        if !known {
            self.beat = None;
        }
        for digest in heartbeat.cells {
            self.note_load(digest);
        }
        self.hear_leaving(&heartbeat.leaving);
    }

    fn hear_leaving(&mut self, names: &[Name]) {
        self.leaving.hear(names, self.now);
        for name in names {
            self.homes
                .values_mut()
                .for_each(|cell: &mut Cell| cell.set_leaving(name));
        }
    }

    pub(super) fn hosts(&mut self, cards: Vec<Card>, leaving: Vec<Name>) {
        self.view.seed(cards);
        self.leaving.list(leaving);
        for name in self.leaving.names(self.now) {
            self.homes
                .values_mut()
                .for_each(|cell| cell.set_leaving(&name));
        }
    }

    /// Asks a peer for its settings if they are newer.
    fn want_settings(&mut self) {
        let due = |asked: Time| self.now.since(asked) >= SETTINGS_ANSWER;
        if !self.asked_settings.is_none_or(due) {
            return;
        }
        let revision = self.tree.revision;
        if let Some(peer) = self.view.newer_peer(revision, self.now) {
            self.asked_settings = Some(self.now);
            self.send(&peer, Message::WantSettings { revision });
        }
    }

    /// Keeps what leads to a new revision, for peers that are a little behind.
    ///
    /// The first settings of a host lead from nothing to everything; that is no patch to keep.
    pub(super) fn remember_patch(&mut self, newer: &Tree) {
        if self.tree.revision == 0 {
            return;
        }
        self.patches
            .push_back(Arc::new(Patch::between(&self.tree, newer)));
        if self.patches.len() > MOST_PATCHES {
            self.patches.pop_front();
        }
    }

    /// Gives a peer what it lacks: a few patches, or the whole tree where they don't reach back.
    fn give_settings(&mut self, from: &Name, revision: u64) {
        if self.tree.revision <= revision {
            return;
        }
        let newer = self
            .patches
            .iter()
            .skip_while(|patch| patch.base != revision);
        let patches: Vec<Arc<Patch>> = newer.cloned().collect();
        let message = if patches.is_empty() || revision == 0 {
            Message::Settings(self.tree.clone())
        } else {
            Message::Patches(patches)
        };
        self.send(from, message);
    }

    fn take_patches(&mut self, patches: &[Arc<Patch>]) {
        let mut newer = None;
        for patch in patches {
            let base = newer.as_ref().unwrap_or(self.tree.as_ref());
            newer = patch.apply(base).or(newer);
        }
        if let Some(tree) = newer {
            self.take_settings(Arc::new(tree));
        }
    }

    fn tell_load(&mut self, from: &Name) {
        let own = self.view.own().domain.clone();
        let now = self.now;
        let fresh = |load: &&Load| load.digest.cell.domain == own && now.since(load.at) < LOAD_LIFE;
        let cells = self.loads.values().filter(fresh);
        let cells = cells.map(|load| load.digest.clone()).collect();
        self.send(from, Message::Load { cells });
    }

    pub(super) fn has_fresh_far_load(&self, request: Id) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let asked = entry.staged;
        let own = &self.view.own().domain;
        let fresh = self
            .loads
            .values()
            .filter(|load| load.digest.cell.domain != *own && load.at >= asked);
        let mut domains: Vec<&Name> = fresh.map(|load| &load.digest.cell.domain).collect();
        domains.sort();
        domains.dedup();
        domains.len() >= self.view.far_domains().len()
    }

    pub(super) fn deliver(&mut self, from: Name, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.heartbeat(heartbeat),
            Message::Enqueue { cell, ticket } => self.take_enqueue(from, cell, ticket),
            Message::Queued { request, attempt } => self.note_queued(&from, request, attempt),
            Message::Grant {
                cell,
                request,
                attempt,
                engines,
            } => self.granted(&from, cell, request, attempt, engines),
            Message::Refused {
                cell,
                request,
                attempt,
                refusal,
            } => self.refused(cell, request, attempt, refusal),
            Message::Withdraw { cell, request } => {
                self.with_cell(&cell, |cell, _| cell.withdraw(request));
            }
            Message::FirstToken { cell, request } => {
                self.with_cell(&cell, |cell, now| cell.first_token(request, now));
            }
            Message::Done { cell, request, end } => {
                self.with_cell(&cell, |cell, now| cell.done(request, end, now));
            }
            Message::Verify {
                cell,
                engine,
                request,
            } => self.verify(&from, cell, engine, request),
            Message::Disown {
                cell,
                engine,
                request,
            } => self.with_cell(&cell, |cell, now| cell.disown(&engine, request, now)),
            Message::Lend { workspace, cost } => self.lend(&from, workspace, cost),
            Message::Lent { workspace, slice } => self.lent(&workspace, slice),
            Message::Unlent {
                workspace,
                retry_after,
            } => self.unlent(&workspace, retry_after),
            Message::AskLoad => self.tell_load(&from),
            Message::Load { cells } => {
                cells.into_iter().for_each(|digest| self.note_load(digest));
                self.place_asking();
            }
            Message::Claim(claim) => self.take_claim(&from, claim),
            Message::Claimed { request, verdict } => self.claimed(request, verdict),
            Message::Inquire(claim) => self.inquired(&claim),
            Message::Settle(settled) => self.take_settle(&from, settled),
            Message::Settled { request } => self.confirmed(request),
            Message::WantSettings { revision } => self.give_settings(&from, revision),
            Message::Settings(tree) => self.take_settings(tree),
            Message::Patches(patches) => self.take_patches(&patches),
        }
    }

    fn verify(&mut self, from: &Name, cell: Key, engine: Name, request: Id) {
        if self.wants(request, &engine) {
            return;
        }
        let message = Message::Disown {
            cell,
            engine,
            request,
        };
        self.send(from, message);
    }
}
