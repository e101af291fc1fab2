//! What each log line says beside its number, level and name.

use super::kind::{self, Kind};
use crate::daemon::Addresses;
use alderglade_core::Name;
use alderglade_core::fleet::fingerprint::Fingerprint;
use serde::{Serialize, Serializer};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One log line.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Record<'a> {
    /// The process serves.
    Started {
        /// The host.
        host: &'a str,
        /// Its failure domain.
        domain: &'a str,
        /// Where it listens.
        #[serde(flatten)]
        addresses: Addresses,
    },
    /// The process was asked to stop.
    Stopping {
        /// Requests that are still answered.
        in_flight: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests that were cut off.
        cut_off: usize,
        /// Requests among them for which there is no line.
        untold: usize,
        /// Requests that came after the request to stop.
        taken_stopping: u64,
        /// Connections of callers that are still open.
        connections: usize,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// The settings were read again.
    Reloaded {
        /// What came of it.
        outcome: &'a str,
    },
    /// The host was suspended.
    Suspended {
        /// For how long, in milliseconds.
        span_ms: u64,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        /// Its version.
        version: u64,
        /// The version before.
        before: Option<u64>,
    },
    /// A configuration could not be read and is passed over.
    ConfigUnreadable {
        /// What is wrong.
        problem: &'a str,
    },
    /// The list of backend servers changed.
    ServersChanged {
        /// Servers known now.
        known: usize,
        /// Servers among them that are leaving.
        leaving: usize,
    },
    /// A backend server refuses work, by another one's word.
    ServerRefusing {
        /// The server that refuses.
        server: &'a str,
        /// The server that says so.
        by: &'a str,
    },
    /// A backend server says that it is slow.
    ServerSlow {
        /// The server.
        server: &'a str,
        /// How many times the stated times it takes.
        slowdown: f64,
    },
    /// A backend server has started again under its id.
    ServerRestarted {
        /// The server.
        server: &'a str,
        /// When the new lifetime began, in Unix milliseconds.
        born_ms: Option<u64>,
        /// When the one that is over began, in Unix milliseconds.
        former_born_ms: Option<u64>,
    },
    /// A backend server says in an answer that it leaves.
    ServerLeaves {
        /// The server.
        server: &'a str,
    },
    /// A backend server wants nothing from this host for a while.
    ServerBackoff {
        /// The server.
        server: &'a str,
        /// For how long.
        for_ms: u64,
    },
    /// A backend server says how many requests a second it takes from all hosts.
    ServerLimit {
        /// The server.
        server: &'a str,
        /// The requests; missing where it names no limit any more.
        per_second: Option<f64>,
    },
    /// A backend server is cold, and gets no more than it bears.
    ServerCold {
        /// The server.
        server: &'a str,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Which failure domains are evacuated has changed.
    Evacuated {
        /// Those that are.
        domains: &'a BTreeSet<Name>,
    },
    /// The hosts are divided into another number of groups.
    Grouped {
        /// How many there are.
        groups: u32,
        /// The hosts that are listed of the own group, itself among them.
        hosts: usize,
        /// The servers of the own group.
        servers: usize,
    },
    /// An entry of the store can't be read; it is passed over.
    EntryUnreadable {
        /// What it is of: `servers`, `hosts`, `quarantine` or `evacuations`.
        of: &'a str,
        /// Its name; a digest of its text where that can't be read either.
        name: &'a str,
        /// What is wrong.
        problem: &'a str,
    },
    /// An entry that couldn't be read can be read again, or is gone.
    EntryMended {
        /// What it is of: `servers` or `hosts`.
        of: &'a str,
        /// Its name.
        name: &'a str,
    },
    /// The store gives no answer.
    StoreLost {
        /// What was seen.
        problem: &'a str,
    },
    /// The store answers again.
    StoreBack {
        /// How old the last word of the store was, in milliseconds.
        age_ms: u64,
    },
    /// The host begins or ends to watch the store for others.
    StoreRole {
        /// The role: `watcher` or `follower`.
        role: &'a str,
        /// Hosts of the own failure domain heard of lately.
        heard: usize,
        /// Hosts among them that watch and are in contact.
        watchers: usize,
        /// The age of the host's word of the store, in milliseconds.
        store_age_ms: Option<u64>,
    },
    /// The host counts as cut off from the store, or no longer does.
    StoreReach {
        /// Whether it counts as cut off, and so asks for no new connections.
        cut_off: bool,
        /// Whether its last own call to the store has failed.
        refused: bool,
        /// Whether it asks the store itself, or hears a host that does and is answered.
        informed: bool,
        /// Whether it hears nobody of any other failure domain.
        isolated: bool,
        /// The age of the host's word of the store, in milliseconds.
        store_age_ms: Option<u64>,
    },
    /// The store has come back from a copy: what was written since is gone.
    StoreRestored {
        /// Its era.
        era: u64,
        /// The era before, as far as the host knew.
        former_era: u64,
    },
    /// The servers were listed anew after that.
    ServersRestored {
        /// The store's era.
        era: u64,
        /// The revision of the list.
        revision: u64,
        /// The revision of the former era up to which the servers were known.
        former_revision: u64,
        /// Servers that are missing, and used for a while all the same.
        missing: usize,
        /// Servers that had gone and stand there again, and are not used for a while.
        held_back: usize,
    },
    /// The host's own entry was missing in the store and is written again.
    WrittenAgain {
        /// The host.
        name: &'a str,
    },
    /// The configuration was taken from another host, since the store didn't give it.
    ConfigCopied {
        /// Its version.
        version: u64,
        /// Where it came from.
        from: SocketAddr,
    },
    /// Other entry hosts came, or came back.
    PeerJoined {
        /// The first of them by name, no more than a few.
        peers: &'a [Name],
        /// How many there are.
        count: usize,
    },
    /// Other entry hosts are silent; what they held lapses.
    PeerLost {
        /// The first of them by name, no more than a few.
        peers: &'a [Name],
        /// How many there are.
        count: usize,
    },
    /// A request goes to a backend server.
    Placed {
        /// The request.
        id: &'a str,
        /// What was asked: the same for each attempt of a caller that comes back.
        #[serde(serialize_with = "as_text")]
        asked: Fingerprint,
        /// The server.
        server: &'a str,
        /// Which try it is, from `1`.
        attempt: u32,
        /// The length of its prompt in tokens; `0` where it is no generation.
        prompt: u64,
        /// Servers that read a part of the prompt.
        helpers: usize,
        /// Servers that hold a part of its memory.
        shares: usize,
        /// How long it has waited, in milliseconds.
        waited_ms: u64,
        /// When its first event is expected, in milliseconds.
        expected_ms: u64,
        /// The configuration's version.
        config: u64,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// A try failed.
    AttemptFailed {
        /// The request.
        id: &'a str,
        /// The server.
        server: &'a str,
        /// Which try it was.
        attempt: u32,
        /// What was seen.
        problem: &'a str,
    },
    /// A request was answered by a backend server.
    Answered {
        /// The request.
        id: &'a str,
        /// The status.
        status: u16,
        /// The time from its arrival to the end of the answer, in milliseconds.
        took_ms: u64,
        /// The time to the first event or the whole answer, in milliseconds.
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        longest_pause_ms: u64,
        /// The time to the first event or the whole answer within which it was in time, in milliseconds.
        aim_ms: u64,
        /// The longest pause with which it was in time, in milliseconds, if it has a bound.
        pause_aim_ms: Option<u64>,
    },
    /// A request was answered with an error kind of the product.
    Refused {
        /// The request.
        id: &'a str,
        /// The error kind.
        kind: &'a str,
        /// The number of the kind's event.
        number: u16,
        /// Whether it ran.
        ran: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The age of the host's word of the store, in milliseconds.
        store_age_ms: Option<u64>,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// A stream was broken off before its end.
    BrokenOff {
        /// The request.
        id: &'a str,
        /// Why.
        problem: &'a str,
        /// How long it took, in milliseconds.
        took_ms: u64,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// The caller left before its answer was whole.
    CallerLeft {
        /// The request.
        id: &'a str,
    },
    /// A prompt is held back for now; told once for each reason.
    Held {
        /// The request.
        id: &'a str,
        /// Why: `memory`, `giants`, `busy` or `harm`.
        reason: &'a str,
        /// The length of its prompt in tokens.
        prompt: u64,
        /// How long it has waited, in milliseconds.
        waited_ms: u64,
        /// Prompts being read that take up many engines at once, over all hosts.
        giants: u32,
        /// How much the engines have had to read lately, from `0.0` to `1.0`.
        pressure: f64,
    },
    /// The end of a stop cuts a request off.
    CutOff {
        /// The request; empty where its head was not understood yet.
        id: &'a str,
        /// What it was doing: `waits`, `sent` or `passes_on`.
        doing: &'a str,
        /// The server that has it, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        server: Option<&'a str>,
        /// How long ago it came, in milliseconds.
        took_ms: u64,
        /// How long after the request to stop it came, in milliseconds, if it came after it.
        #[serde(skip_serializing_if = "Option::is_none")]
        came_stopping_ms: Option<u64>,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// No host asked had budget left for a repeated send.
    RepeatRefused {
        /// The request.
        id: &'a str,
        /// The service that it is for.
        service: &'a str,
        /// Other hosts that were asked; `0` where none had anything left a moment before.
        asked: usize,
    },
    /// A server broke a request off, and was looked at.
    ServerBrokeOff {
        /// The request.
        id: &'a str,
        /// What was asked.
        #[serde(serialize_with = "as_text")]
        asked: Fingerprint,
        /// The server.
        server: &'a str,
        /// How long it had run there since its first event, in milliseconds, if one had come.
        ran_ms: Option<u64>,
        /// Whether the server has ended: nobody listens at its address any more.
        ended: bool,
    },
    /// A request is sent to no server any more.
    Quarantined {
        /// What was asked.
        #[serde(serialize_with = "as_text")]
        asked: Fingerprint,
        /// Servers that have ended under it, as far as this host knows.
        servers: usize,
        /// Whether this host has seen a part of that itself.
        first_hand: bool,
    },
    /// A request may be sent to servers again.
    QuarantineReleased {
        /// What was asked.
        #[serde(serialize_with = "as_text")]
        asked: Fingerprint,
    },
    /// The store could not be told what was decided on a request.
    QuarantineNotKept {
        /// What was asked.
        #[serde(serialize_with = "as_text")]
        asked: Fingerprint,
        /// What was seen.
        problem: &'a str,
    },
    /// Memory could not be set aside for a prompt.
    MemoryRefused {
        /// The request.
        id: &'a str,
        /// The server that refused.
        server: &'a str,
        /// What was seen.
        problem: &'a str,
    },
    /// Memory was not given back; it lapses by itself.
    MemoryNotReleased {
        /// The server.
        server: &'a str,
        /// What was seen.
        problem: &'a str,
    },
    /// Something could not be sent or read between hosts.
    PeerFault {
        /// What was seen.
        problem: &'a str,
    },
    /// A listener could not take a connection.
    ListenFault {
        /// What was seen.
        problem: &'a str,
    },
    /// Lines were left out.
    LinesDropped {
        /// How many.
        count: u64,
    },
}

/// Writes a digest as the text that operators look for.
fn as_text<S: Serializer>(asked: &Fingerprint, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(asked)
}

impl Record<'_> {
    /// Gives the kind of the line.
    pub fn kind(&self) -> &'static Kind {
        match self {
            Record::Started { .. } => &kind::STARTED,
            Record::Stopping { .. } => &kind::STOPPING,
            Record::Stopped { .. } => &kind::STOPPED,
            Record::Reloaded { .. } => &kind::RELOADED,
            Record::Suspended { .. } => &kind::SUSPENDED,
            Record::LinesDropped { .. } => &kind::LINES_DROPPED,
            Record::ConfigInForce { .. } => &kind::CONFIG_IN_FORCE,
            Record::ConfigUnreadable { .. } => &kind::CONFIG_UNREADABLE,
            Record::ServersChanged { .. } => &kind::SERVERS_CHANGED,
            Record::ServerRefusing { .. } => &kind::SERVER_REFUSING,
            Record::ServerSlow { .. } => &kind::SERVER_SLOW,
            Record::ServerRestarted { .. } => &kind::SERVER_RESTARTED,
            Record::ServerLeaves { .. } => &kind::SERVER_LEAVES,
            Record::ServerBackoff { .. } => &kind::SERVER_BACKOFF,
            Record::ServerLimit { .. } => &kind::SERVER_LIMIT,
            Record::ServerCold { .. } => &kind::SERVER_COLD,
            Record::Evacuated { .. } => &kind::EVACUATED,
            Record::Grouped { .. } => &kind::GROUPED,
            Record::EntryUnreadable { .. } => &kind::ENTRY_UNREADABLE,
            Record::EntryMended { .. } => &kind::ENTRY_MENDED,
            Record::StoreLost { .. } => &kind::STORE_LOST,
            Record::StoreBack { .. } => &kind::STORE_BACK,
            Record::StoreRole { .. } => &kind::STORE_ROLE,
            Record::StoreReach { .. } => &kind::STORE_REACH,
            Record::StoreRestored { .. } => &kind::STORE_RESTORED,
            Record::ServersRestored { .. } => &kind::SERVERS_RESTORED,
            Record::WrittenAgain { .. } => &kind::WRITTEN_AGAIN,
            Record::ConfigCopied { .. } => &kind::CONFIG_COPIED,
            Record::PeerJoined { .. } => &kind::PEER_JOINED,
            Record::PeerLost { .. } => &kind::PEER_LOST,
            Record::PeerFault { .. } => &kind::PEER_FAULT,
            Record::ListenFault { .. } => &kind::LISTEN_FAULT,
            Record::Placed { .. } => &kind::PLACED,
            Record::AttemptFailed { .. } => &kind::ATTEMPT_FAILED,
            Record::Answered { .. } => &kind::ANSWERED,
            Record::Refused { .. } => &kind::REFUSED,
            Record::BrokenOff { .. } => &kind::BROKEN_OFF,
            Record::CallerLeft { .. } => &kind::CALLER_LEFT,
            Record::Held { .. } => &kind::HELD,
            Record::CutOff { .. } => &kind::CUT_OFF,
            Record::RepeatRefused { .. } => &kind::REPEAT_REFUSED,
            Record::ServerBrokeOff { .. } => &kind::SERVER_BROKE_OFF,
            Record::Quarantined { .. } => &kind::QUARANTINED,
            Record::QuarantineReleased { .. } => &kind::QUARANTINE_RELEASED,
            Record::QuarantineNotKept { .. } => &kind::QUARANTINE_NOT_KEPT,
            Record::MemoryRefused { .. } => &kind::MEMORY_REFUSED,
            Record::MemoryNotReleased { .. } => &kind::MEMORY_NOT_RELEASED,
        }
    }
}
