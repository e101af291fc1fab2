//! Bars of requests and of parts of prompts.

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::part::Part;
use crate::time::Time;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// One bar.
#[derive(Debug, Clone, Default)]
pub(super) struct Bar {
    /// Its end.
    pub(super) until: Time,
    /// Parts that were in each prompt with the barred one, so that any of them may be the cause. Prompts without one of them
    /// are not barred.
    pub(super) companions: Vec<Fingerprint>,
}

/// The bars in force.
#[derive(Debug, Default)]
pub(super) struct Bars(BTreeMap<Fingerprint, Bar>);

impl Bars {
    /// Returns the number of bars.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the bar of a request or part.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<&Bar> {
        self.0.get(&fingerprint)
    }

    /// Returns whether a request or part is barred.
    pub(super) fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.0.contains_key(&fingerprint)
    }

    /// Adds a bar.
    pub(super) fn insert(&mut self, fingerprint: Fingerprint, until: Time) {
        let companions = Vec::new();
        self.0.insert(fingerprint, Bar { until, companions });
    }

    /// Limits the bar of a part, if there is one, to prompts that have all of `companions`, too.
    pub(super) fn join(&mut self, fingerprint: Fingerprint, companions: Vec<Fingerprint>) {
        if let Some(bar) = self.0.get_mut(&fingerprint) {
            bar.companions = companions;
        }
    }

    /// Removes a bar. Parts that were barred together with this one are barred without it. Returns whether there was one.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        let removed = self.0.remove(&fingerprint).is_some();
        if removed && fingerprint.part().is_some() {
            for bar in self.0.values_mut() {
                bar.companions.retain(|companion| *companion != fingerprint);
            }
        }
        removed
    }

    /// Returns the latest bar that applies to a prompt with these parts.
    pub(super) fn of_parts(&self, parts: &[Part]) -> Option<(Part, &Bar)> {
        if self.0.is_empty() {
            return None;
        }
        let has = |companion: &Fingerprint| companion.part().is_some_and(|p| parts.contains(&p));
        let barred = parts.iter().filter_map(|part| {
            let bar = self.0.get(&Fingerprint::from(*part))?;
            bar.companions.iter().all(has).then_some((*part, bar))
        });
        barred.max_by_key(|(_, bar)| bar.until)
    }

    /// Returns the bars that have ended.
    pub(super) fn ended(&self, now: Time) -> Vec<Fingerprint> {
        let ended = self.0.iter().filter(|(_, bar)| bar.until <= now);
        ended.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns all barred requests and parts.
    pub(super) fn keys(&self) -> impl Iterator<Item = Fingerprint> {
        self.0.keys().copied()
    }

    /// Returns barred parts that are barred only together with others.
    pub(super) fn joint(&self) -> impl Iterator<Item = (Fingerprint, &Bar)> {
        let bars = self.0.iter();
        let joint = bars.filter(|(_, bar)| !bar.companions.is_empty());
        joint.map(|(fingerprint, bar)| (*fingerprint, bar))
    }

    /// Returns the bars after a given one, then those before it.
    pub(super) fn after(&self, last: Fingerprint) -> impl Iterator<Item = (Fingerprint, &Bar)> {
        let later = self.0.range((Excluded(last), Unbounded));
        let bars = later.chain(self.0.range(..=last));
        bars.map(|(fingerprint, bar)| (*fingerprint, bar))
    }
}
