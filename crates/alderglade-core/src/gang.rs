//! Gangs: groups of engines that together serve a prompt too large for one engine.
//!
//! A cell forms one gang at a time, so that two gangs of a cell can't deadlock by each holding
//! memory that the other needs. Forming a gang has two phases. First the home sets the members'
//! memory aside as running requests end; other requests may use it meanwhile if they end before the
//! planned start of the gang. Then the memory is reserved at the engines, in the order of their names and within
//! a time limit. If any engine refuses, all memory is released and the request waits again with its
//! original deadline.

use crate::Name;
use crate::engine_state::Engine;
use crate::queue::Entry;
use crate::time::Time;
use std::time::Duration;

/// Time limit for reserving memory at all members.
pub const RESERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// A reservation at an engine expires after this time unless it is renewed.
pub const RESERVATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the holder of a reservation renews it.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);
/// Delay after a failed attempt to form a gang, so that a gang of another home can form.
pub const REPLAN_DELAY: Duration = Duration::from_millis(300);
/// Share of an engine's memory that a gang may use, in thousandths.
const USABLE_PER_MILLE: u64 = 900;

/// The phase of forming a gang.
#[derive(Debug, Clone, PartialEq)]
pub enum Stage {
    /// Waits until running requests have freed enough memory at all members.
    Draining,
    /// Reserves memory at the members, one after another.
    Reserving {
        /// Number of members that have agreed.
        agreed: usize,
        /// When this phase began.
        since: Time,
    },
    /// Released all memory and waits before the next attempt.
    BackingOff {
        /// When to try again.
        until: Time,
    },
}

/// A gang that is being formed.
#[derive(Debug, Clone)]
pub struct Gang {
    /// The request that the gang will serve.
    pub entry: Entry,
    /// The member engines, ordered by name.
    pub members: Vec<Name>,
    /// KV memory used at each member, in tokens.
    pub member_tokens: u64,
    /// When the gang is expected to start.
    pub start: Time,
    /// The current phase.
    pub stage: Stage,
}

/// Returns the KV memory that a gang may use at an engine, in tokens.
pub fn usable(engine: &Engine) -> u64 {
    engine.kv_tokens * USABLE_PER_MILLE / 1_000
}

/// Plans a gang with the smallest number of engines that can hold the request, preferring those
/// that have enough free memory soonest.
///
/// Returns `None` if the open engines together are too small.
pub fn plan<'a>(
    engines: impl Iterator<Item = &'a Engine>,
    entry: &Entry,
    now: Time,
) -> Option<Gang> {
    let need = entry.ticket.kv_tokens_needed();
    let mut open: Vec<&Engine> = engines.filter(|engine| engine.is_open(now)).collect();
    let smallest = open.iter().map(|engine| usable(engine)).min()?;
    let count = usize::try_from(need.div_ceil(smallest.max(1))).ok()?;
    if count > open.len() {
        return None;
    }
    let member_tokens = need.div_ceil(count as u64);
    open.sort_by_key(|engine| (engine.free_at(member_tokens, now), engine.name.clone()));
    open.truncate(count);
    let start = open
        .iter()
        .map(|engine| engine.free_at(member_tokens, now))
        .max()
        .unwrap_or(now);
    let mut members: Vec<Name> = open.iter().map(|engine| engine.name.clone()).collect();
    members.sort();
    Some(Gang {
        entry: entry.clone(),
        members,
        member_tokens,
        start,
        stage: Stage::Draining,
    })
}
