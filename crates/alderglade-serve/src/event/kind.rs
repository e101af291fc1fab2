//! The kinds of log lines; `docs/LOG-EVENTS.md` lists them.

use super::Record;

/// One kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// The number of the kind, which is never reused for another kind.
    pub number: u16,
    /// The log level.
    pub level: log::Level,
    /// The name of the event in the log.
    pub name: &'static str,
}

const fn info(number: u16, name: &'static str) -> Kind {
    Kind {
        number,
        level: log::Level::Info,
        name,
    }
}

const fn warn(number: u16, name: &'static str) -> Kind {
    Kind {
        number,
        level: log::Level::Warn,
        name,
    }
}

/// The process has started to serve.
const STARTED: Kind = info(3001, "started");
/// The process was asked to stop.
const STOPPING: Kind = info(3002, "stopping");
/// The process is about to exit.
const STOPPED: Kind = info(3003, "stopped");
/// The settings were reloaded.
const RELOADED: Kind = info(3004, "reloaded");
/// Log lines were dropped.
const LINES_DROPPED: Kind = warn(3005, "lines_dropped");
/// The host was suspended.
const SUSPENDED: Kind = warn(3006, "suspended");
/// A newer configuration is in force.
const CONFIG_IN_FORCE: Kind = info(3101, "config_in_force");
/// A configuration could not be parsed and is ignored.
const CONFIG_UNREADABLE: Kind = warn(3102, "config_unreadable");
/// The list of backend servers changed.
const SERVERS_CHANGED: Kind = info(3103, "servers_changed");
/// A backend server refuses work, as another server reports.
const SERVER_REFUSING: Kind = info(3104, "server_refusing");
/// A backend server reports that it is slow.
const SERVER_SLOW: Kind = warn(3105, "server_slow");
/// A backend server has restarted under the same id.
const SERVER_RESTARTED: Kind = info(3106, "server_restarted");
/// An entry of the store cannot be parsed.
const ENTRY_UNREADABLE: Kind = warn(3107, "entry_unreadable");
/// An entry that could not be parsed is valid again, or gone.
const ENTRY_MENDED: Kind = info(3108, "entry_mended");
/// A backend server states in a response that it is leaving.
const SERVER_LEAVES: Kind = info(3109, "server_leaves");
/// A backend server asks this host to back off for a while.
const SERVER_BACKOFF: Kind = info(3110, "server_backoff");
/// A backend server has stated a rate limit, or withdrawn it.
const SERVER_LIMIT: Kind = info(3111, "server_limit");
/// A backend server is cold.
const SERVER_COLD: Kind = info(3112, "server_cold");
/// The set of evacuated failure domains has changed.
const EVACUATED: Kind = info(3113, "evacuated");
/// The number of groups that the hosts are divided into has changed.
const GROUPED: Kind = info(3114, "grouped");
/// The host has lost its own path to the servers, which other hosts reach.
const PATH_LOST: Kind = warn(3115, "path_lost");
/// The host has its own path to the servers again.
const PATH_REGAINED: Kind = info(3116, "path_regained");
/// This host was told that a backend server departs.
const SERVER_DEPARTING: Kind = info(3117, "server_departing");
/// A departing backend server receives no more work.
const SERVER_DROPPED: Kind = info(3118, "server_dropped");
/// The entry of a backend server that was missing was written again.
const SERVER_RETURNED: Kind = info(3119, "server_returned");
/// The store does not respond.
const STORE_LOST: Kind = warn(3201, "store_lost");
/// The store responds again.
const STORE_BACK: Kind = info(3202, "store_back");
/// The host starts or stops watching the store on behalf of others.
const STORE_ROLE: Kind = info(3203, "store_role");
/// The host is considered disconnected from the store, or no longer is.
const STORE_REACH: Kind = info(3204, "store_reach");
/// The store was restored from a copy.
const STORE_RESTORED: Kind = warn(3205, "store_restored");
/// The servers were listed again after the store was restored.
const SERVERS_RESTORED: Kind = info(3206, "servers_restored");
/// The host's own entry was missing in the store and is rewritten.
const WRITTEN_AGAIN: Kind = info(3207, "entry_written_again");
/// The configuration was copied from another host.
const CONFIG_COPIED: Kind = info(3208, "config_copied");
/// Servers whose entries go missing are kept for a while, because entries may have lapsed.
const SERVERS_KEPT: Kind = info(3209, "servers_kept");
/// Another entry host joined or returned.
const PEER_JOINED: Kind = info(3301, "peer_joined");
/// Another entry host is silent; its reservations expire.
const PEER_LOST: Kind = warn(3302, "peer_lost");
/// A message between hosts could not be sent or parsed.
const PEER_FAULT: Kind = warn(3303, "peer_fault");
/// A listener could not accept a connection.
const LISTEN_FAULT: Kind = warn(3304, "listen_fault");
/// Something that was not sent by a host of this system asked for a request to be carried.
const PROXY_REFUSED: Kind = warn(3305, "proxy_refused");
/// Another host's confirmation is ignored.
const CONFIRMATION_IGNORED: Kind = info(3306, "confirmation_ignored");
/// A request is sent to a backend server.
const PLACED: Kind = info(3401, "placed");
/// An attempt failed.
const ATTEMPT_FAILED: Kind = warn(3402, "attempt_failed");
/// A request was answered by a backend server.
const ANSWERED: Kind = info(3403, "answered");
/// A request was answered with one of the product's error kinds.
const REFUSED: Kind = info(3404, "refused");
/// A response was broken off before its end.
const BROKEN_OFF: Kind = warn(3405, "broken_off");
/// The caller disconnected before its response was complete.
const CALLER_LEFT: Kind = info(3406, "caller_left");
/// A prompt is held back for now.
const HELD: Kind = info(3407, "held");
/// A request is cut off because the host stops.
const CUT_OFF: Kind = warn(3408, "cut_off");
/// No host had budget left for a retry.
const REPEAT_REFUSED: Kind = info(3409, "repeat_refused");
/// A server broke a request off and was checked.
const SERVER_BROKE_OFF: Kind = info(3410, "server_broke_off");
/// A request is quarantined: it is sent to no server.
const QUARANTINED: Kind = warn(3411, "quarantined");
/// A request is released from quarantine.
const QUARANTINE_RELEASED: Kind = info(3412, "quarantine_released");
/// A quarantine decision could not be written to the store.
const QUARANTINE_NOT_KEPT: Kind = warn(3413, "quarantine_not_kept");
/// A request was sent to a server through another host.
const PROXIED: Kind = info(3414, "proxied");
/// A response ended with its connection, or inside an event.
const RESPONSE_ENDED: Kind = info(3415, "response_ended");
/// Memory could not be reserved for a prompt.
const MEMORY_REFUSED: Kind = info(3501, "memory_refused");
/// Reserved memory was not released; it expires by itself.
const MEMORY_NOT_RELEASED: Kind = warn(3502, "memory_not_released");

/// All kinds, in the order of their numbers.
pub const ALL: [Kind; 57] = [
    STARTED,
    STOPPING,
    STOPPED,
    RELOADED,
    LINES_DROPPED,
    SUSPENDED,
    CONFIG_IN_FORCE,
    CONFIG_UNREADABLE,
    SERVERS_CHANGED,
    SERVER_REFUSING,
    SERVER_SLOW,
    SERVER_RESTARTED,
    ENTRY_UNREADABLE,
    ENTRY_MENDED,
    SERVER_LEAVES,
    SERVER_BACKOFF,
    SERVER_LIMIT,
    SERVER_COLD,
    EVACUATED,
    GROUPED,
    PATH_LOST,
    PATH_REGAINED,
    SERVER_DEPARTING,
    SERVER_DROPPED,
    SERVER_RETURNED,
    STORE_LOST,
    STORE_BACK,
    STORE_ROLE,
    STORE_REACH,
    STORE_RESTORED,
    SERVERS_RESTORED,
    WRITTEN_AGAIN,
    CONFIG_COPIED,
    SERVERS_KEPT,
    PEER_JOINED,
    PEER_LOST,
    PEER_FAULT,
    LISTEN_FAULT,
    PROXY_REFUSED,
    CONFIRMATION_IGNORED,
    PLACED,
    ATTEMPT_FAILED,
    ANSWERED,
    REFUSED,
    BROKEN_OFF,
    CALLER_LEFT,
    HELD,
    CUT_OFF,
    REPEAT_REFUSED,
    SERVER_BROKE_OFF,
    QUARANTINED,
    QUARANTINE_RELEASED,
    QUARANTINE_NOT_KEPT,
    PROXIED,
    RESPONSE_ENDED,
    MEMORY_REFUSED,
    MEMORY_NOT_RELEASED,
];

impl Record<'_> {
    /// Returns the kind of the line.
    pub fn kind(&self) -> &'static Kind {
        match self {
            Record::Started { .. } => &STARTED,
            Record::Stopping { .. } => &STOPPING,
            Record::Stopped { .. } => &STOPPED,
            Record::Reloaded { .. } => &RELOADED,
            Record::Suspended { .. } => &SUSPENDED,
            Record::LinesDropped { .. } => &LINES_DROPPED,
            Record::ConfigInForce { .. } => &CONFIG_IN_FORCE,
            Record::ConfigUnreadable { .. } => &CONFIG_UNREADABLE,
            Record::ServersChanged { .. } => &SERVERS_CHANGED,
            Record::ServerRefusing { .. } => &SERVER_REFUSING,
            Record::ServerSlow { .. } => &SERVER_SLOW,
            Record::ServerRestarted { .. } => &SERVER_RESTARTED,
            Record::ServerLeaves { .. } => &SERVER_LEAVES,
            Record::ServerBackoff { .. } => &SERVER_BACKOFF,
            Record::ServerLimit { .. } => &SERVER_LIMIT,
            Record::ServerCold { .. } => &SERVER_COLD,
            Record::Evacuated { .. } => &EVACUATED,
            Record::Grouped { .. } => &GROUPED,
            Record::EntryUnreadable { .. } => &ENTRY_UNREADABLE,
            Record::EntryMended { .. } => &ENTRY_MENDED,
            Record::PathLost { .. } => &PATH_LOST,
            Record::PathRegained { .. } => &PATH_REGAINED,
            Record::ServerDeparting(_) => &SERVER_DEPARTING,
            Record::ServerDropped(_) => &SERVER_DROPPED,
            Record::ServerReturned(_) => &SERVER_RETURNED,
            Record::StoreLost { .. } => &STORE_LOST,
            Record::StoreBack { .. } => &STORE_BACK,
            Record::StoreRole { .. } => &STORE_ROLE,
            Record::StoreReach(_) => &STORE_REACH,
            Record::StoreRestored { .. } => &STORE_RESTORED,
            Record::ServersRestored { .. } => &SERVERS_RESTORED,
            Record::WrittenAgain { .. } => &WRITTEN_AGAIN,
            Record::ConfigCopied { .. } => &CONFIG_COPIED,
            Record::ServersKept(_) => &SERVERS_KEPT,
            Record::PeerJoined { .. } => &PEER_JOINED,
            Record::PeerLost { .. } => &PEER_LOST,
            Record::PeerFault { .. } => &PEER_FAULT,
            Record::ListenFault { .. } => &LISTEN_FAULT,
            Record::ProxyRefused { .. } => &PROXY_REFUSED,
            Record::ConfirmationIgnored { .. } => &CONFIRMATION_IGNORED,
            Record::Placed { .. } => &PLACED,
            Record::AttemptFailed { .. } => &ATTEMPT_FAILED,
            Record::Answered { .. } => &ANSWERED,
            Record::Refused { .. } => &REFUSED,
            Record::BrokenOff { .. } => &BROKEN_OFF,
            Record::CallerLeft { .. } => &CALLER_LEFT,
            Record::Held { .. } => &HELD,
            Record::CutOff { .. } => &CUT_OFF,
            Record::RepeatRefused { .. } => &REPEAT_REFUSED,
            Record::ServerBrokeOff(_) => &SERVER_BROKE_OFF,
            Record::Quarantined { .. } => &QUARANTINED,
            Record::QuarantineReleased { .. } => &QUARANTINE_RELEASED,
            Record::QuarantineNotKept { .. } => &QUARANTINE_NOT_KEPT,
            Record::Proxied { .. } => &PROXIED,
            Record::ResponseEnded(_) => &RESPONSE_ENDED,
            Record::MemoryRefused { .. } => &MEMORY_REFUSED,
            Record::MemoryNotReleased { .. } => &MEMORY_NOT_RELEASED,
        }
    }
}
