//! The kinds of log lines, as `docs/LOG-EVENTS.md` lists them.

/// One kind of log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// The number, never used for another kind.
    pub number: u16,
    /// How grave it is.
    pub level: log::Level,
    /// The name in the log.
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

/// The process serves.
pub(super) const STARTED: Kind = info(3001, "started");
/// The process was asked to stop.
pub(super) const STOPPING: Kind = info(3002, "stopping");
/// The process ends.
pub(super) const STOPPED: Kind = info(3003, "stopped");
/// The settings were read again.
pub(super) const RELOADED: Kind = info(3004, "reloaded");
/// Lines were left out.
pub(super) const LINES_DROPPED: Kind = warn(3005, "lines_dropped");
/// The host was suspended.
pub(super) const SUSPENDED: Kind = warn(3006, "suspended");
/// A newer configuration is in force.
pub(super) const CONFIG_IN_FORCE: Kind = info(3101, "config_in_force");
/// A configuration could not be read and is passed over.
pub(super) const CONFIG_UNREADABLE: Kind = warn(3102, "config_unreadable");
/// The list of backend servers changed.
pub(super) const SERVERS_CHANGED: Kind = info(3103, "servers_changed");
/// A backend server refuses work, by another one's word.
pub(super) const SERVER_REFUSING: Kind = info(3104, "server_refusing");
/// A backend server says that it is slow.
pub(super) const SERVER_SLOW: Kind = warn(3105, "server_slow");
/// A backend server has started again under its id.
pub(super) const SERVER_RESTARTED: Kind = info(3106, "server_restarted");
/// An entry of the store can't be read.
pub(super) const ENTRY_UNREADABLE: Kind = warn(3107, "entry_unreadable");
/// An entry that couldn't be read can be read again, or is gone.
pub(super) const ENTRY_MENDED: Kind = info(3108, "entry_mended");
/// A backend server says in an answer that it leaves.
pub(super) const SERVER_LEAVES: Kind = info(3109, "server_leaves");
/// A backend server wants nothing from this host for a while.
pub(super) const SERVER_BACKOFF: Kind = info(3110, "server_backoff");
/// A backend server says how many requests a second it takes, or no more.
pub(super) const SERVER_LIMIT: Kind = info(3111, "server_limit");
/// A backend server is cold.
pub(super) const SERVER_COLD: Kind = info(3112, "server_cold");
/// Failure domains are evacuated, or no longer.
pub(super) const EVACUATED: Kind = info(3113, "evacuated");
/// The hosts are divided into another number of groups.
pub(super) const GROUPED: Kind = info(3114, "grouped");
/// The store gives no answer.
pub(super) const STORE_LOST: Kind = warn(3201, "store_lost");
/// The store answers again.
pub(super) const STORE_BACK: Kind = info(3202, "store_back");
/// The host begins or ends to watch the store for others.
pub(super) const STORE_ROLE: Kind = info(3203, "store_role");
/// The host counts as cut off from the store, or no longer does.
pub(super) const STORE_REACH: Kind = info(3204, "store_reach");
/// The store has come back from a copy.
pub(super) const STORE_RESTORED: Kind = warn(3205, "store_restored");
/// The servers were listed anew after that.
pub(super) const SERVERS_RESTORED: Kind = info(3206, "servers_restored");
/// The host's own entry was missing in the store and is written again.
pub(super) const WRITTEN_AGAIN: Kind = info(3207, "entry_written_again");
/// The configuration was taken from another host.
pub(super) const CONFIG_COPIED: Kind = info(3208, "config_copied");
/// Another entry host came, or came back.
pub(super) const PEER_JOINED: Kind = info(3301, "peer_joined");
/// Another entry host is silent; what it held lapses.
pub(super) const PEER_LOST: Kind = warn(3302, "peer_lost");
/// Something could not be sent or read between hosts.
pub(super) const PEER_FAULT: Kind = warn(3303, "peer_fault");
/// A listener could not take a connection.
pub(super) const LISTEN_FAULT: Kind = warn(3304, "listen_fault");
/// A request goes to a backend server.
pub(super) const PLACED: Kind = info(3401, "placed");
/// A try failed.
pub(super) const ATTEMPT_FAILED: Kind = warn(3402, "attempt_failed");
/// A request was answered by a backend server.
pub(super) const ANSWERED: Kind = info(3403, "answered");
/// A request was answered with an error kind of the product.
pub(super) const REFUSED: Kind = info(3404, "refused");
/// A stream was broken off before its end.
pub(super) const BROKEN_OFF: Kind = warn(3405, "broken_off");
/// The caller left before its answer was whole.
pub(super) const CALLER_LEFT: Kind = info(3406, "caller_left");
/// A prompt is held back for now.
pub(super) const HELD: Kind = info(3407, "held");
/// The end of a stop cuts a request off.
pub(super) const CUT_OFF: Kind = warn(3408, "cut_off");
/// No host asked had budget left for a repeated send.
pub(super) const REPEAT_REFUSED: Kind = info(3409, "repeat_refused");
/// A server broke a request off, and was looked at.
pub(super) const SERVER_BROKE_OFF: Kind = info(3410, "server_broke_off");
/// A request is sent to no server any more.
pub(super) const QUARANTINED: Kind = warn(3411, "quarantined");
/// A request may be sent to servers again.
pub(super) const QUARANTINE_RELEASED: Kind = info(3412, "quarantine_released");
/// The store could not be told what was decided on a request.
pub(super) const QUARANTINE_NOT_KEPT: Kind = warn(3413, "quarantine_not_kept");
/// Memory could not be set aside for a prompt.
pub(super) const MEMORY_REFUSED: Kind = info(3501, "memory_refused");
/// Memory was not given back; it lapses by itself.
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
