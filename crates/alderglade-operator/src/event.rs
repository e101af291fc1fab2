//! Numbered log events. `docs/LOG-EVENTS.md` lists them; a test holds the two together.

use log::Level;

/// One kind of log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Event {
    /// The number, never used for another kind.
    pub number: u16,
    /// How grave it is.
    pub level: Level,
    /// What has happened, in a few words.
    pub title: &'static str,
}

const fn event(number: u16, level: Level, title: &'static str) -> Event {
    Event {
        number,
        level,
        title,
    }
}

/// The host has started.
pub const STARTED: Event = event(1001, Level::Info, "entry host started");
/// The host is about to stop.
pub const DRAINING: Event = event(1002, Level::Info, "entry host is draining");
/// The host has stopped.
pub const STOPPED: Event = event(1003, Level::Info, "entry host stopped");
/// The host stops although work is left.
pub const CUT_SHORT: Event = event(1004, Level::Warn, "drain took too long; work was cut off");
/// Newer settings are in force.
pub const SETTINGS: Event = event(1101, Level::Info, "settings in force");
/// Settings from the platform can't be read.
pub const SETTINGS_FAILED: Event = event(1102, Level::Warn, "settings can't be read");
/// The platform gives no answer.
pub const PLATFORM_LOST: Event = event(1201, Level::Warn, "platform gives no answer");
/// The platform answers again.
pub const PLATFORM_BACK: Event = event(1202, Level::Info, "platform answers again");
/// An engine gives no answer.
pub const ENGINE_LOST: Event = event(1301, Level::Warn, "engine gives no answer");
/// An engine answers again.
pub const ENGINE_BACK: Event = event(1302, Level::Info, "engine answers again");
/// Something couldn't be freed at an engine; the sweep will see to it.
pub const FREE_FAILED: Event = event(1303, Level::Warn, "holding not freed; left to the sweep");
/// No engine could take a request.
pub const NO_CAPACITY: Event = event(1304, Level::Warn, "no engine could take a request");
/// This host may give orders to the engines of its failure domain.
pub const LEASE_TAKEN: Event = event(1401, Level::Info, "lease for orders taken");
/// An order was given.
pub const ORDERED: Event = event(1402, Level::Info, "order given to an engine");
/// A request was answered with a failure; its number is the kind's.
pub const REQUEST_FAILED: &str = "request failed";

/// All events beside those of the error kinds, in the order of their numbers.
pub const ALL: [Event; 14] = [
    STARTED,
    DRAINING,
    STOPPED,
    CUT_SHORT,
    SETTINGS,
    SETTINGS_FAILED,
    PLATFORM_LOST,
    PLATFORM_BACK,
    ENGINE_LOST,
    ENGINE_BACK,
    FREE_FAILED,
    NO_CAPACITY,
    LEASE_TAKEN,
    ORDERED,
];

/// Writes an event with what belongs to it.
pub fn write(event: Event, details: &str) {
    log::log!(event.level, "[{}] {}: {details}", event.number, event.title);
}

/// Writes that a request failed, under the number of its kind.
pub fn write_failure(kind: alderglade_core::error::Kind, details: &str) {
    let row = kind.row();
    log::info!("[{}] {REQUEST_FAILED}: {} {details}", row.event, row.label);
}
