//! Groups of engines for a prompt bigger than one engine.
//!
//! A cell forms one gang at a time, so two gangs of a cell never hold parts of what the other
//! needs. First the members' memory is set aside as running work ends (others may use it
//! meanwhile if they end before the planned start); then it is reserved at the engines
//! themselves, in the order of their names, within a time limit. If any engine says no, all is
//! given back and the request waits again, no younger than before.

use crate::Name;
use crate::book::Engine;
use crate::queue::Entry;
use crate::time::Time;
use std::time::Duration;

/// Reserving at all members takes at most this long.
pub const RESERVE_LIMIT: Duration = Duration::from_secs(2);
/// A reservation lapses after this long unless it is renewed.
pub const RESERVATION_LIFE: Duration = Duration::from_secs(6);
/// Who holds a reservation renews it this often.
pub const RENEW_EVERY: Duration = Duration::from_secs(2);
/// After a failed try a gang waits this long, so that another home's gang can form.
pub const BACK_OFF: Duration = Duration::from_millis(300);
/// The part of an engine's memory that a gang may take, in thousandths.
const SHARE_PER_MILLE: u64 = 900;

/// How far a gang has got.
#[derive(Debug, Clone, PartialEq)]
pub enum Stage {
    /// Waits for memory as running work ends.
    Draining,
    /// Reserves at the members; so many have agreed.
    Reserving {
        /// Members that have agreed.
        agreed: usize,
        /// When reserving began.
        since: Time,
    },
    /// Gave everything back and waits to try again.
    BackingOff {
        /// When to try again.
        until: Time,
    },
}

/// A gang that is being formed.
#[derive(Debug, Clone)]
pub struct Gang {
    /// The request that it is for.
    pub entry: Entry,
    /// Its members in the order of their names.
    pub members: Vec<Name>,
    /// Memory taken at each member, in tokens.
    pub share: u64,
    /// When it is expected to start.
    pub start: Time,
    /// How far it has got.
    pub stage: Stage,
}

/// Gives the memory that a gang may take at an engine.
pub fn usable(engine: &Engine) -> u64 {
    engine.kv_tokens * SHARE_PER_MILLE / 1_000
}

/// Plans a gang: the fewest engines that hold the request, those that are free soonest.
///
/// Gives `None` where the open engines together are too small.
pub fn plan<'a>(
    engines: impl Iterator<Item = &'a Engine>,
    entry: &Entry,
    now: Time,
) -> Option<Gang> {
    let need = entry.ticket.need();
    let mut open: Vec<&Engine> = engines.filter(|engine| engine.is_open(now)).collect();
    let smallest = open.iter().map(|engine| usable(engine)).min()?;
    let count = usize::try_from(need.div_ceil(smallest.max(1))).ok()?;
    if count > open.len() {
        return None;
    }
    let share = need.div_ceil(count as u64);
    open.sort_by_key(|engine| (engine.free_at(share, now), engine.name.clone()));
    open.truncate(count);
    let start = open
        .iter()
        .map(|engine| engine.free_at(share, now))
        .max()
        .unwrap_or(now);
    let mut members: Vec<Name> = open.iter().map(|engine| engine.name.clone()).collect();
    members.sort();
    Some(Gang {
        entry: entry.clone(),
        members,
        share,
        start,
        stage: Stage::Draining,
    })
}
