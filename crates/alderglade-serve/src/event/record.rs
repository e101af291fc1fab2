//! The fields of each log line apart from its number, level and name.

use super::part::{self, PartBar};
use super::{Requester, ResponseEnd, ServerBreak, ServerDeparting, ServerDropped, ServerReturned};
use super::{ServersKept, StoreReach};
use super::{requester, server_break};
use crate::daemon::Addresses;
use alderglade_core::Name;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::part::Part;
use serde::Serialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One log line.
#[derive(Debug, Serialize)]
#[serde(untagged)]
pub enum Record<'a> {
    /// The process has started to serve.
    Started {
        /// The name of the host.
        host: &'a str,
        /// The failure domain of the host.
        domain: &'a str,
        /// The addresses on which it listens.
        #[serde(flatten)]
        addresses: Addresses,
    },
    /// The process was asked to stop.
    Stopping {
        /// Requests that are still in progress.
        in_flight: usize,
    },
    /// The process is about to exit.
    Stopped {
        /// Requests that were cut off.
        cut_off: usize,
        /// Requests among them that have no log line of their own.
        untold: usize,
        /// Requests that arrived after the stop request.
        taken_stopping: u64,
        /// Connections of callers that are still open.
        connections: usize,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// The settings were reloaded.
    Reloaded {
        /// The result of the reload.
        outcome: &'a str,
    },
    /// The host was suspended.
    Suspended {
        /// The duration, in milliseconds.
        span_ms: u64,
    },
    /// A newer configuration is in force.
    ConfigInForce {
        /// The version of the configuration.
        version: u64,
        /// The previous version, if there was one.
        before: Option<u64>,
    },
    /// A configuration could not be parsed and is ignored.
    ConfigUnreadable {
        /// The reason.
        problem: &'a str,
    },
    /// The list of backend servers changed.
    ServersChanged {
        /// The number of known servers.
        known: usize,
        /// Servers among them that are leaving.
        leaving: usize,
    },
    /// A backend server refuses work, as another server reports.
    ServerRefusing {
        /// The server that refuses.
        server: &'a str,
        /// The server that reports it.
        by: &'a str,
    },
    /// A backend server reports that it is slow.
    ServerSlow {
        /// The server.
        server: &'a str,
        /// The ratio of its actual to its stated times.
        slowdown: f64,
    },
    /// A backend server has restarted under the same id.
    ServerRestarted {
        /// The server.
        server: &'a str,
        /// When the new incarnation started, in Unix milliseconds.
        born_ms: Option<u64>,
        /// When the former incarnation started, in Unix milliseconds.
        former_born_ms: Option<u64>,
    },
    /// A backend server states in a response that it is leaving.
    ServerLeaves {
        /// The server.
        server: &'a str,
    },
    /// A backend server asks this host to back off for a while.
    ServerBackoff {
        /// The server.
        server: &'a str,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// A backend server has stated a rate limit on requests from all hosts, or withdrawn it.
    ServerLimit {
        /// The server.
        server: &'a str,
        /// Requests per second; `None` if it no longer states a limit.
        per_second: Option<f64>,
    },
    /// A backend server is cold, and receives no more requests than it tolerates.
    ServerCold {
        /// The server.
        server: &'a str,
        /// The duration, in milliseconds.
        for_ms: u64,
    },
    /// The set of evacuated failure domains has changed.
    Evacuated {
        /// The failure domains that are evacuated.
        domains: &'a BTreeSet<Name>,
    },
    /// The number of groups that the hosts are divided into has changed.
    Grouped {
        /// The total number.
        groups: u32,
        /// The known hosts of the own group, including this one.
        hosts: usize,
        /// The number of servers of the own group.
        servers: usize,
    },
    /// The host has lost its own path to the servers, which other hosts reach.
    PathLost {
        /// The number of servers that other hosts reach and this one doesn't.
        blocked: usize,
        /// The number of other hosts whose heartbeats arrive.
        live_hosts: usize,
    },
    /// The host has its own path to the servers again.
    PathRegained {
        /// How long it had none, in milliseconds.
        after_ms: u64,
    },
    /// This host was told that a backend server departs.
    ServerDeparting(ServerDeparting<'a>),
    /// A departing backend server receives no more work.
    ServerDropped(ServerDropped<'a>),
    /// The entry of a backend server that was missing was written again.
    ServerReturned(ServerReturned<'a>),
    /// An entry of the store cannot be parsed and is ignored.
    EntryUnreadable {
        /// The object that holds it: `servers`, `hosts`, `quarantine` or `evacuations`.
        of: &'a str,
        /// The name of the entry, or a digest of its text if the name cannot be parsed either.
        name: &'a str,
        /// The reason.
        problem: &'a str,
    },
    /// An entry that could not be parsed is valid again, or gone.
    EntryMended {
        /// The object that holds it: `servers` or `hosts`.
        of: &'a str,
        /// The name of the entry.
        name: &'a str,
    },
    /// The store does not respond.
    StoreLost {
        /// The error that was observed.
        problem: &'a str,
    },
    /// The store responds again.
    StoreBack {
        /// The age of the latest data from the store, in milliseconds.
        age_ms: u64,
    },
    /// The host starts or stops watching the store on behalf of others.
    StoreRole {
        /// The new role: `watcher` or `follower`.
        role: &'a str,
        /// Live hosts of the own failure domain.
        heard: usize,
        /// Hosts among them that watch the store and are connected to it.
        watchers: usize,
        /// The age of the host's store data, in milliseconds.
        store_age_ms: Option<u64>,
    },
    /// The host is considered disconnected from the store, or no longer is.
    StoreReach(StoreReach),
    /// The store was restored from a copy: whatever was written after the copy is lost.
    StoreRestored {
        /// The new era of the store.
        era: u64,
        /// The previous era, as far as the host knew it.
        former_era: u64,
    },
    /// The servers were listed again after the store was restored.
    ServersRestored {
        /// The store's era.
        era: u64,
        /// The revision of the list.
        revision: u64,
        /// The revision of the former era up to which the servers were known.
        former_revision: u64,
        /// Servers that are missing from the list, and are used for a while nevertheless.
        missing: usize,
        /// Servers that had been removed and are listed again, and are not used for a while.
        held_back: usize,
    },
    /// The host's own entry was missing in the store and is rewritten.
    WrittenAgain {
        /// The name of the host.
        name: &'a str,
    },
    /// The configuration was copied from another host because the store did not provide it.
    ConfigCopied {
        /// The version of the configuration.
        version: u64,
        /// The address of the other host.
        from: SocketAddr,
    },
    /// Servers whose entries go missing are kept for a while, because entries may have lapsed.
    ServersKept(ServersKept),
    /// Other entry hosts joined or returned.
    PeerJoined {
        /// The first few of them by name.
        peers: &'a [Name],
        /// The total number.
        count: usize,
    },
    /// Other entry hosts are silent; their reservations expire.
    PeerLost {
        /// The first few of them by name.
        peers: &'a [Name],
        /// The total number.
        count: usize,
    },
    /// A request is sent to a backend server.
    Placed {
        /// The id of the request.
        id: &'a str,
        /// The fingerprint of the request, which is the same for each retry by its caller.
        #[serde(serialize_with = "server_break::as_text")]
        asked: Fingerprint,
        /// The server.
        server: &'a str,
        /// The number of the attempt, from `1`.
        attempt: u32,
        /// The length of its prompt in tokens; `0` if the request is not a generation.
        prompt: u64,
        /// The number of servers that read a part of the prompt.
        helpers: usize,
        /// The number of servers that hold a part of its memory.
        shares: usize,
        /// The time since its arrival, in milliseconds.
        waited_ms: u64,
        /// The expected time to its first event, in milliseconds.
        expected_ms: u64,
        /// The version of the configuration that admitted the request.
        config: u64,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
        /// The workspace, rank and route of the request.
        #[serde(flatten)]
        requester: &'a Requester,
        /// The part of the expected time for which it waits for a slot of the engine, in milliseconds.
        #[serde(skip_serializing_if = "requester::is_zero")]
        slot_wait_ms: u64,
        /// Whether it continues a stream that another server began.
        #[serde(skip_serializing_if = "std::ops::Not::not")]
        resumed: bool,
        /// The time since this host relayed the last event of the stream, in milliseconds, if it relayed any.
        #[serde(skip_serializing_if = "Option::is_none")]
        since_event_ms: Option<u64>,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The id of the request.
        id: &'a str,
        /// The server.
        server: &'a str,
        /// The number of the attempt.
        attempt: u32,
        /// The error that was observed.
        problem: &'a str,
    },
    /// A request was answered by a backend server.
    Answered {
        /// The id of the request.
        id: &'a str,
        /// The HTTP status.
        status: u16,
        /// The time from its arrival to the end of the response, in milliseconds.
        took_ms: u64,
        /// The time to the first event or the whole response, in milliseconds.
        first_ms: u64,
        /// The longest pause between two events, in milliseconds.
        longest_pause_ms: u64,
        /// The latency objective for the first event or the whole response, in milliseconds.
        aim_ms: u64,
        /// The objective for the longest pause, in milliseconds, if there is one.
        pause_aim_ms: Option<u64>,
        /// The workspace, rank and route of the request.
        #[serde(flatten)]
        requester: &'a Requester,
    },
    /// A request was answered with one of the product's error kinds.
    Refused {
        /// The id of the request.
        id: &'a str,
        /// The error kind.
        kind: &'a str,
        /// The event number of the error kind.
        number: u16,
        /// Whether the request ran: `yes`, `no` or `unknown`.
        ran: &'a str,
        /// The time since its arrival, in milliseconds.
        took_ms: u64,
        /// The age of the host's store data, in milliseconds.
        store_age_ms: Option<u64>,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
        /// The workspace, rank and route of the request.
        #[serde(flatten)]
        requester: &'a Requester,
        /// Why capacity was short, if that is the cause: `slots`, `share` or one of the reasons of [`Record::Held`].
        #[serde(skip_serializing_if = "Option::is_none")]
        reason: Option<&'a str>,
        /// The fingerprint of the request, which is the same for each retry by its caller, if it was admitted.
        #[serde(skip_serializing_if = "Option::is_none")]
        asked: Option<String>,
        /// The length of its prompt in tokens, if it was admitted and has one.
        #[serde(skip_serializing_if = "Option::is_none")]
        prompt: Option<u64>,
    },
    /// A response was broken off before its end.
    BrokenOff {
        /// The id of the request.
        id: &'a str,
        /// The reason.
        problem: &'a str,
        /// The time since its arrival, in milliseconds.
        took_ms: u64,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// The caller disconnected before its response was complete.
    CallerLeft {
        /// The id of the request.
        id: &'a str,
    },
    /// A prompt is held back for now; logged once for each reason.
    Held {
        /// The id of the request.
        id: &'a str,
        /// The reason: `memory`, `giants`, `busy`, `harm`, `slots` or `order`.
        reason: &'a str,
        /// The length of its prompt in tokens.
        prompt: u64,
        /// The time since its arrival, in milliseconds.
        waited_ms: u64,
        /// Multi-engine prompts that are being read, over all hosts.
        giants: u32,
        /// How busy the engines have recently been with reading, from `0.0` to `1.0`.
        pressure: f64,
        /// The workspace, rank and route of the request.
        #[serde(flatten)]
        requester: &'a Requester,
    },
    /// A request is cut off because the host stops.
    CutOff {
        /// The id of the request; empty if its head has not been parsed yet.
        id: &'a str,
        /// The stage of the request: `waits`, `sent` or `passes_on`.
        doing: &'a str,
        /// The server that the request was sent to, if any.
        #[serde(skip_serializing_if = "Option::is_none")]
        server: Option<&'a str>,
        /// The time since its arrival, in milliseconds.
        took_ms: u64,
        /// The time from the stop request to its arrival, in milliseconds, if it arrived after that.
        #[serde(skip_serializing_if = "Option::is_none")]
        came_stopping_ms: Option<u64>,
        /// The time since the host was asked to stop, in milliseconds, if it was.
        #[serde(skip_serializing_if = "Option::is_none")]
        stopping_ms: Option<u64>,
    },
    /// No host had budget left for a retry.
    RepeatRefused {
        /// The id of the request.
        id: &'a str,
        /// The service that the request is for.
        service: &'a str,
        /// The number of hosts that were asked for a loan; `0` if none had any budget a moment before.
        asked: usize,
    },
    /// A server broke a request off and was checked.
    ServerBrokeOff(ServerBreak<'a>),
    /// A request or part of prompts is quarantined: it is sent to no server.
    Quarantined {
        /// The fingerprint of the request or part.
        #[serde(serialize_with = "server_break::as_text")]
        asked: Fingerprint,
        /// The number of servers that ended while they ran it, as far as this host knows.
        servers: usize,
        /// Whether this host observed some of that itself.
        first_hand: bool,
        /// The bar of a part.
        #[serde(flatten, skip_serializing_if = "Option::is_none")]
        part: Option<PartBar>,
    },
    /// A request or part of prompts is released from quarantine.
    QuarantineReleased {
        /// The fingerprint of the request or part.
        #[serde(serialize_with = "server_break::as_text")]
        asked: Fingerprint,
        /// The id of the part.
        #[serde(
            skip_serializing_if = "Option::is_none",
            serialize_with = "part::as_optional_id"
        )]
        part: Option<Part>,
    },
    /// A quarantine decision could not be written to the store.
    QuarantineNotKept {
        /// The fingerprint of the request.
        #[serde(serialize_with = "server_break::as_text")]
        asked: Fingerprint,
        /// The error that was observed.
        problem: &'a str,
    },
    /// A request was sent to a server through another host.
    Proxied {
        /// The id of the request; empty for a call apart from requests.
        id: &'a str,
        /// The server.
        server: &'a str,
        /// The other host.
        host: &'a str,
        /// `answered`, or why the server has not answered.
        outcome: &'a str,
    },
    /// A response ended with its connection, or inside an event.
    ResponseEnded(ResponseEnd<'a>),
    /// Another host's confirmation is ignored.
    ConfirmationIgnored {
        /// The address of the host that sent it.
        from: SocketAddr,
        /// Why: `unknown_request` or `ahead`.
        reason: &'static str,
    },
    /// Something that was not sent by a host of this system asked for a request to be carried.
    ProxyRefused {
        /// Where it came from.
        from: SocketAddr,
    },
    /// Memory could not be reserved for a prompt.
    MemoryRefused {
        /// The id of the request.
        id: &'a str,
        /// The server that refused.
        server: &'a str,
        /// The error that was observed.
        problem: &'a str,
    },
    /// Reserved memory was not released; it expires by itself.
    MemoryNotReleased {
        /// The server.
        server: &'a str,
        /// The error that was observed.
        problem: &'a str,
    },
    /// A message between hosts could not be sent or parsed.
    PeerFault {
        /// The error that was observed.
        problem: &'a str,
    },
    /// A listener could not accept a connection.
    ListenFault {
        /// The error that was observed.
        problem: &'a str,
    },
    /// Log lines were dropped.
    LinesDropped {
        /// The number of dropped lines.
        count: u64,
    },
}
