//! Communication with other hosts: heartbeats, leaving backend servers, settings and load.

use super::submit::LOAD_LIFETIME;
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

/// A report that a backend server is leaving is valid for this long unless it is renewed.
const LEAVING_REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of patches kept for peers whose settings are older.
const MAX_PATCHES: usize = 32;
/// A request for newer settings without an answer is sent again after this time.
const SETTINGS_TIMEOUT: Duration = Duration::from_millis(500);

/// Backend servers that are leaving, by the source of that information.
#[derive(Debug, Default)]
pub(super) struct LeavingServers {
    /// From the platform's list of hosts.
    listed: Vec<Name>,
    /// From the servers themselves, with the time of the last report.
    reported: BTreeMap<Name, Time>,
    /// From other entry hosts, with the time of the last message.
    relayed: BTreeMap<Name, Time>,
}

impl LeavingServers {
    /// Records that servers reported themselves as leaving.
    pub(super) fn record_report(&mut self, names: &[Name], now: Time) {
        for name in names {
            self.reported.insert(name.clone(), now);
        }
    }

    /// Removes the reports on a server that has returned as another incarnation.
    fn forget(&mut self, name: &Name) {
        self.reported.remove(name);
        self.relayed.remove(name);
    }

    /// Records that another entry host reported servers as leaving.
    fn record_relayed(&mut self, names: &[Name], now: Time) {
        for name in names {
            self.relayed.insert(name.clone(), now);
        }
    }

    /// Replaces the platform's list.
    ///
    /// A server that is no longer listed has returned; older reports on it are dropped.
    fn set_listed(&mut self, names: Vec<Name>) {
        let returned: Vec<Name> = self
            .listed
            .iter()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        returned.iter().for_each(|name| self.forget(name));
        self.listed = names;
    }

    /// Returns the servers that the platform or the servers themselves reported as leaving.
    ///
    /// Only these are passed on in heartbeats, so that hosts don't renew each other's reports.
    fn first_hand(&self, now: Time) -> Vec<Name> {
        let reported = self
            .reported
            .iter()
            .filter(|(_, at)| now.since(**at) < LEAVING_REPORT_LIFETIME);
        let mut names: Vec<Name> = reported.map(|(name, _)| name.clone()).collect();
        names.extend(self.listed.iter().cloned());
        names.sort();
        names.dedup();
        names
    }

    /// Returns the servers that any source reports as leaving; may contain duplicates.
    pub(super) fn names(&self, now: Time) -> Vec<Name> {
        let mut names = self.first_hand(now);
        let relayed = self
            .relayed
            .iter()
            .filter(|(_, at)| now.since(**at) < LEAVING_REPORT_LIFETIME);
        names.extend(relayed.map(|(name, _)| name.clone()));
        names
    }

    /// Returns whether any source reports a server as leaving.
    pub(super) fn contains(&self, name: &Name, now: Time) -> bool {
        let fresh = |at: &Time| now.since(*at) < LEAVING_REPORT_LIFETIME;
        self.listed.contains(name)
            || self.reported.get(name).is_some_and(fresh)
            || self.relayed.get(name).is_some_and(fresh)
    }
}

impl Node {
    pub(super) fn tick_peers(&mut self) {
        for change in self.view.tick(self.now) {
            match change {
                Change::Joined(host) => self.resend_waiting(&host),
                Change::Died(host) => self.host_died(&host),
            }
        }
        let due = |sent: Time| self.now.since(sent) >= self.view.interval();
        if self.last_heartbeat.is_none_or(due) {
            self.last_heartbeat = Some(self.now);
            self.send_heartbeats();
        }
        self.request_newer_settings();
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
            self.record_load(digest.clone());
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

    fn record_load(&mut self, digest: Digest) {
        let at = self.now;
        self.loads.insert(digest.cell.clone(), Load { digest, at });
    }

    fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let same_domain = heartbeat.card.domain == self.view.own().domain;
        let sender = heartbeat.card.name.clone();
        let known = self
            .view
            .live_peers(self.now)
            .any(|card| card.name == sender);
        self.view.apply_heartbeat(heartbeat.card, self.now);
        if !same_domain {
            return;
        }
        if !known {
            // Introduces this host to the new one at once.
            self.last_heartbeat = None;
        }
        for digest in heartbeat.cells {
            self.record_load(digest);
        }
        self.apply_leaving_notice(&heartbeat.leaving);
    }

    fn apply_leaving_notice(&mut self, names: &[Name]) {
        self.leaving.record_relayed(names, self.now);
        for name in names {
            self.homes
                .values_mut()
                .for_each(|cell: &mut Cell| cell.set_leaving(name));
        }
    }

    pub(super) fn handle_host_list(&mut self, cards: Vec<Card>, leaving: Vec<Name>) {
        self.view.apply_host_list(cards);
        self.leaving.set_listed(leaving);
        for name in self.leaving.names(self.now) {
            self.homes
                .values_mut()
                .for_each(|cell| cell.set_leaving(&name));
        }
    }

    /// Requests the settings of a peer that has a newer revision, if any.
    fn request_newer_settings(&mut self) {
        let due = |asked: Time| self.now.since(asked) >= SETTINGS_TIMEOUT;
        if !self.settings_asked_at.is_none_or(due) {
            return;
        }
        let revision = self.tree.revision;
        if let Some(peer) = self.view.newer_peer(revision, self.now) {
            self.settings_asked_at = Some(self.now);
            self.send(&peer, Message::WantSettings { revision });
        }
    }

    /// Keeps the patch from the settings in force to `newer`, for peers that are a few revisions behind.
    ///
    /// Keeps none for the first settings of a host: that patch would be the whole tree.
    pub(super) fn record_patch(&mut self, newer: &Tree) {
        if self.tree.revision == 0 {
            return;
        }
        self.patches
            .push_back(Arc::new(Patch::between(&self.tree, newer)));
        if self.patches.len() > MAX_PATCHES {
            self.patches.pop_front();
        }
    }

    /// Sends a peer the settings that are newer than its `revision`.
    ///
    /// Sends the kept patches if they start at that revision, otherwise the whole tree.
    fn send_settings(&mut self, from: &Name, revision: u64) {
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

    /// Applies the patches of a peer in order. Those that don't follow on the settings in force are skipped.
    fn apply_patches(&mut self, patches: &[Arc<Patch>]) {
        let mut newer = None;
        for patch in patches {
            let base = newer.as_ref().unwrap_or(self.tree.as_ref());
            newer = patch.apply(base).or(newer);
        }
        if let Some(tree) = newer {
            self.apply_settings(Arc::new(tree));
        }
    }

    /// Sends the fresh load digests of this host's domain.
    fn send_load(&mut self, from: &Name) {
        let own = self.view.own().domain.clone();
        let now = self.now;
        let fresh =
            |load: &&Load| load.digest.cell.domain == own && now.since(load.at) < LOAD_LIFETIME;
        let cells = self.loads.values().filter(fresh);
        let cells = cells.map(|load| load.digest.clone()).collect();
        self.send(from, Message::Load { cells });
    }

    /// Returns whether every other domain has sent load since the request entered its current stage.
    pub(super) fn has_load_of_all_remote_domains(&self, request: Id) -> bool {
        let Some(entry) = self.inflight.get(request) else {
            return false;
        };
        let stage_since = entry.stage_since;
        let own = &self.view.own().domain;
        let fresh = self
            .loads
            .values()
            .filter(|load| load.digest.cell.domain != *own && load.at >= stage_since);
        let mut domains: Vec<&Name> = fresh.map(|load| &load.digest.cell.domain).collect();
        domains.sort();
        domains.dedup();
        domains.len() >= self.view.other_domains().len()
    }

    pub(super) fn handle_message(&mut self, from: Name, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            Message::Enqueue { cell, ticket } => self.handle_enqueue(from, cell, ticket),
            Message::Queued { request, attempt } => self.mark_queued(&from, request, attempt),
            Message::Grant {
                cell,
                request,
                attempt,
                engines,
            } => self.handle_grant(&from, cell, request, attempt, engines),
            Message::Refused {
                cell,
                request,
                attempt,
                refusal,
            } => self.handle_cell_refusal(cell, request, attempt, refusal),
            Message::Withdraw { cell, request } => {
                self.with_cell(&cell, |cell, _| cell.withdraw(request));
            }
            Message::FirstToken { cell, request } => {
                self.with_cell(&cell, |cell, now| cell.first_token(request, now));
            }
            Message::Done { cell, request, end } => {
                self.with_cell(&cell, |cell, now| cell.finish(request, end, now));
            }
            Message::Verify {
                cell,
                engine,
                request,
            } => self.handle_verify(&from, cell, engine, request),
            Message::Disown {
                cell,
                engine,
                request,
            } => self.with_cell(&cell, |cell, now| cell.free_unneeded(&engine, request, now)),
            Message::Lend { workspace, cost } => self.handle_lend(&from, workspace, cost),
            Message::Lent { workspace, slice } => self.handle_lent(&workspace, slice),
            Message::Unlent {
                workspace,
                retry_after,
            } => self.handle_unlent(&workspace, retry_after),
            Message::AskLoad => self.send_load(&from),
            Message::Load { cells } => {
                cells
                    .into_iter()
                    .for_each(|digest| self.record_load(digest));
                self.place_load_waiters();
            }
            Message::Claim(claim) => self.handle_claim(&from, claim),
            Message::Claimed { request, verdict } => self.handle_verdict(request, verdict),
            Message::Inquire(claim) => self.handle_inquiry(&claim),
            Message::Settle(settled) => self.handle_settle(&from, settled),
            Message::Settled { request } => self.handle_confirmation(request),
            Message::WantSettings { revision } => self.send_settings(&from, revision),
            Message::Settings(tree) => self.apply_settings(tree),
            Message::Patches(patches) => self.apply_patches(&patches),
            Message::Findings(findings) => self.apply_findings(&findings),
        }
    }

    /// Answers a home that asks whether an engine should still hold memory for a request: only "no" is sent.
    fn handle_verify(&mut self, from: &Name, cell: Key, engine: Name, request: Id) {
        if self.uses_engine(request, &engine) {
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
