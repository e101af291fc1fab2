//! The decision on which parts of prompts are guilty of server crashes.
//!
//! A part that crashes servers does so in each prompt, so it is present at each of these crashes and in no sound answer. A
//! part that many prompts share is present at many crashes, too. What tells it apart is that answers to prompts with it begin
//! and go on after a crash. A part that never was sound is judged as quickly as a request; one that was needs evidence that
//! no single event, such as the loss of a rack, can have caused.

use super::bar::Bars;
use super::evidence::{Accused, Case, Servers, is_ambiguous};
use super::{CERTAIN_CRASHES, GUILTY_CRASHES, PROBATION};
use crate::fleet::fingerprint::Fingerprint;
use std::time::Duration;

/// Number of crashes that a part has in addition to those of any request with it. One may be chance: the request itself may
/// crash servers, and another one with the part may have been at a server that crashed for some other reason.
const OTHER_CRASHES: usize = 2;
/// Crashes closer together than this may have a single cause, such as the loss of a rack, at which a part may be present
/// several times without being the cause.
const SINGLE_EVENT: Duration = Duration::from_millis(150);
/// The same for parts that were sound or that may be present by chance. Answers that begin after a single event show within
/// this time that their parts are sound.
const LONG_EVENT: Duration = Duration::from_millis(1_000);

/// Returns whether a part is guilty. `excuses` is whether it explains all crashes of a barred request or part, and more.
pub(super) fn is_guilty(part: &Accused, excuses: bool, case: &Case<'_>) -> bool {
    let unexplained = unexplained(part, case);
    let is_responsible = (excuses && unexplained > 0)
        || unexplained >= GUILTY_CRASHES
        || (part.is_certain() && unexplained >= OTHER_CRASHES);
    if !is_responsible || !exceeds_each_request(part, case) {
        return false;
    }
    let rivals = case.accused.iter();
    let companions = companions(part, case);
    let rivals = rivals.filter(|other| {
        other.is_part() && is_rival(part, other) && !companions.contains(&other.fingerprint)
    });
    let is_ambiguous = is_ambiguous(part, rivals, &case.explained);
    if (is_ambiguous || !companions.is_empty()) && !part.is_certain() {
        return false;
    }
    let (Some(first), Some(last)) = (part.crashes.values().min(), part.crashes.values().max())
    else {
        return false;
    };
    let span = last.since(*first);
    let is_doubtful = part.succeeded_at.is_some()
        || span < SINGLE_EVENT
        || is_ambiguous
        // Whatever explains the other crashes, prompts with the part may have been at some of these servers, too.
        || part.may_be_chance(case.all, &Servers::new());
    // While nothing is served, it means nothing that the part isn't.
    let is_served = case.last_sound > Some(*first);
    let has_outlasted_event =
        span >= LONG_EVENT && case.until.since(*first) >= PROBATION && is_served;
    !is_doubtful || (part.is_certain() && has_outlasted_event)
}

/// Returns the number of a part's crashes that nothing else explains. Those of a part that was sound before are explained by any
/// suspect that never was.
fn unexplained(part: &Accused, case: &Case<'_>) -> usize {
    if part.succeeded_at.is_none() {
        return part.unexplained(&case.explained);
    }
    let others = case.accused.iter();
    let others = others.filter(|other| other.is_part() && other.succeeded_at.is_none());
    let explained = others.flat_map(|other| other.crashes.keys());
    let explained: Servers = explained.chain(&case.explained).copied().collect();
    part.unexplained(&explained)
}

/// Returns whether a part has enough crashes beyond those of each single request, which may crash servers by itself.
fn exceeds_each_request(part: &Accused, case: &Case<'_>) -> bool {
    let required = if part.crashes.len() > CERTAIN_CRASHES {
        1
    } else {
        OTHER_CRASHES
    };
    let requests = case.suspects.iter();
    let mut requests = requests.filter(|(fingerprint, _)| fingerprint.part().is_none());
    requests.all(|(_, request)| {
        let shared = request.crashes().iter();
        let shared = shared.filter(|crash| part.crashes.contains_key(&crash.server));
        part.crashes.len() - shared.count() >= required
    })
}

/// Returns whether another part may be the cause in place of this one: it is no less likely by what is known of its past.
fn is_rival(part: &Accused, other: &Accused) -> bool {
    part.succeeded_at.is_some() || other.succeeded_at.is_none()
}

/// Returns the other parts that were at the same crashes as a guilty one, any of which may be the cause.
pub(super) fn companions(part: &Accused, case: &Case<'_>) -> Vec<Fingerprint> {
    /// Maximum number of companions. Prompts with many parts that only they share are barred by the first of them.
    const MAX_COMPANIONS: usize = 8;
    let suspect = case.suspects.get(&part.fingerprint);
    let is_always_with = |other: Fingerprint| {
        let part = other.part().zip(suspect);
        part.is_some_and(|(other, suspect)| suspect.is_always_with(other))
    };
    let others = case.accused.iter().filter(|other| {
        let is_other = other.is_part() && other.fingerprint != part.fingerprint;
        is_other && is_rival(part, other) && other.crashes.keys().eq(part.crashes.keys())
    });
    let others = others.map(|other| other.fingerprint);
    others
        .filter(|other| is_always_with(*other))
        .take(MAX_COMPANIONS)
        .collect()
}

/// Returns the parts that are barred together with companions and have crashed a server without one of these, with the
/// companions that remain.
pub(super) fn separated(case: &Case<'_>, bars: &Bars) -> Vec<(Fingerprint, Vec<Fingerprint>)> {
    let is_present_at_all = |part: &Accused, companion: &Fingerprint| {
        let companion = case.suspects.get(companion);
        let crashes = companion.map_or(&[][..], |companion| companion.crashes());
        let mut servers = part.crashes.keys();
        servers.all(|server| crashes.iter().any(|crash| crash.server == *server))
    };
    let joint = bars.joint().filter_map(|(fingerprint, bar)| {
        let mut barred = case.barred.iter();
        let part = barred.find(|part| part.fingerprint == fingerprint)?;
        let companions = bar.companions.iter().copied();
        let companions: Vec<_> = companions
            .filter(|companion| is_present_at_all(part, companion))
            .filter(|companion| {
                let suspect = case.suspects.get(&fingerprint);
                let companion = companion.part().zip(suspect);
                companion.is_none_or(|(companion, suspect)| suspect.is_always_with(companion))
            })
            .collect();
        (companions.len() < bar.companions.len()).then_some((fingerprint, companions))
    });
    joint.collect()
}
