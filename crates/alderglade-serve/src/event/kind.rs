//! The kinds of log lines; `docs/LOG-EVENTS.md` lists them.

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
pub(super) const STARTED: Kind = info(3001, "started");
/// The process was asked to stop.
pub(super) const STOPPING: Kind = info(3002, "stopping");
/// The process is about to exit.
pub(super) const STOPPED: Kind = info(3003, "stopped");
/// The settings were reloaded.
pub(super) const RELOADED: Kind = info(3004, "reloaded");
/// Log lines were dropped.
pub(super) const LINES_DROPPED: Kind = warn(3005, "lines_dropped");
/// The host was suspended.
pub(super) const SUSPENDED: Kind = warn(3006, "suspended");
/// A newer configuration is in force.
pub(super) const CONFIG_IN_FORCE: Kind = info(3101, "config_in_force");
/// A configuration could not be parsed and is ignored.
pub(super) const CONFIG_UNREADABLE: Kind = warn(3102, "config_unreadable");
/// The list of backend servers changed.
pub(super) const SERVERS_CHANGED: Kind = info(3103, "servers_changed");
/// A backend server refuses work, as another server reports.
pub(super) const SERVER_REFUSING: Kind = info(3104, "server_refusing");
/// A backend server reports that it is slow.
pub(super) const SERVER_SLOW: Kind = warn(3105, "server_slow");
/// A backend server has restarted under the same id.
pub(super) const SERVER_RESTARTED: Kind = info(3106, "server_restarted");
/// An entry of the store cannot be parsed.
pub(super) const ENTRY_UNREADABLE: Kind = warn(3107, "entry_unreadable");
/// An entry that could not be parsed is valid again, or gone.
pub(super) const ENTRY_MENDED: Kind = info(3108, "entry_mended");
/// A backend server states in a response that it is leaving.
pub(super) const SERVER_LEAVES: Kind = info(3109, "server_leaves");
/// A backend server asks this host to back off for a while.
pub(super) const SERVER_BACKOFF: Kind = info(3110, "server_backoff");
/// A backend server has stated a rate limit, or withdrawn it.
pub(super) const SERVER_LIMIT: Kind = info(3111, "server_limit");
/// A backend server is cold.
pub(super) const SERVER_COLD: Kind = info(3112, "server_cold");
/// The set of evacuated failure domains has changed.
pub(super) const EVACUATED: Kind = info(3113, "evacuated");
/// The number of groups that the hosts are divided into has changed.
pub(super) const GROUPED: Kind = info(3114, "grouped");
/// The store does not respond.
pub(super) const STORE_LOST: Kind = warn(3201, "store_lost");
/// The store responds again.
pub(super) const STORE_BACK: Kind = info(3202, "store_back");
/// The host starts or stops watching the store on behalf of others.
pub(super) const STORE_ROLE: Kind = info(3203, "store_role");
/// The host is considered disconnected from the store, or no longer is.
pub(super) const STORE_REACH: Kind = info(3204, "store_reach");
/// The store was restored from a copy.
pub(super) const STORE_RESTORED: Kind = warn(3205, "store_restored");
/// The servers were listed again after the store was restored.
pub(super) const SERVERS_RESTORED: Kind = info(3206, "servers_restored");
/// The host's own entry was missing in the store and is rewritten.
pub(super) const WRITTEN_AGAIN: Kind = info(3207, "entry_written_again");
/// The configuration was copied from another host.
pub(super) const CONFIG_COPIED: Kind = info(3208, "config_copied");
/// Another entry host joined or returned.
pub(super) const PEER_JOINED: Kind = info(3301, "peer_joined");
/// Another entry host is silent; its reservations expire.
pub(super) const PEER_LOST: Kind = warn(3302, "peer_lost");
/// A message between hosts could not be sent or parsed.
pub(super) const PEER_FAULT: Kind = warn(3303, "peer_fault");
/// A listener could not accept a connection.
pub(super) const LISTEN_FAULT: Kind = warn(3304, "listen_fault");
/// A request is sent to a backend server.
pub(super) const PLACED: Kind = info(3401, "placed");
/// An attempt failed.
pub(super) const ATTEMPT_FAILED: Kind = warn(3402, "attempt_failed");
/// A request was answered by a backend server.
pub(super) const ANSWERED: Kind = info(3403, "answered");
/// A request was answered with one of the product's error kinds.
pub(super) const REFUSED: Kind = info(3404, "refused");
/// A stream was broken off before its end.
pub(super) const BROKEN_OFF: Kind = warn(3405, "broken_off");
/// The caller disconnected before its response was complete.
pub(super) const CALLER_LEFT: Kind = info(3406, "caller_left");
/// A prompt is held back for now.
pub(super) const HELD: Kind = info(3407, "held");
/// A request is cut off because the host stops.
pub(super) const CUT_OFF: Kind = warn(3408, "cut_off");
/// No host had budget left for a retry.
pub(super) const REPEAT_REFUSED: Kind = info(3409, "repeat_refused");
/// A server broke a request off and was checked.
pub(super) const SERVER_BROKE_OFF: Kind = info(3410, "server_broke_off");
/// A request is quarantined: it is sent to no server.
pub(super) const QUARANTINED: Kind = warn(3411, "quarantined");
/// A request is released from quarantine.
pub(super) const QUARANTINE_RELEASED: Kind = info(3412, "quarantine_released");
/// A quarantine decision could not be written to the store.
pub(super) const QUARANTINE_NOT_KEPT: Kind = warn(3413, "quarantine_not_kept");
/// Memory could not be reserved for a prompt.
pub(super) const MEMORY_REFUSED: Kind = info(3501, "memory_refused");
/// Reserved memory was not released; it expires by itself.
pub(super) const MEMORY_NOT_RELEASED: Kind = warn(3502, "memory_not_released");

/// All kinds, in the order of their numbers.
pub const ALL: [Kind; 47] = [
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
    STORE_LOST,
    STORE_BACK,
    STORE_ROLE,
    STORE_REACH,
    STORE_RESTORED,
    SERVERS_RESTORED,
    WRITTEN_AGAIN,
    CONFIG_COPIED,
    PEER_JOINED,
    PEER_LOST,
    PEER_FAULT,
    LISTEN_FAULT,
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
    MEMORY_REFUSED,
    MEMORY_NOT_RELEASED,
];
