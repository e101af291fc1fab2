//! What this host reports to the others.

use super::Quarantine;
use super::finding::{Fact, Finding, OwnFinding, seconds};
use crate::fleet::fingerprint::Fingerprint;
use crate::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// Maximum number of findings that wait to be reported or are reported again.
const MAX_OWN_FINDINGS: usize = 512;

impl Quarantine {
    /// Returns the findings to report now: new ones, and in a `full` notice also recent ones that may have been lost.
    pub fn findings_to_report(&mut self, full: bool, now: Time) -> Vec<Finding> {
        /// Maximum number of findings in a notice. Each takes about twenty bytes, in addition to the holdings.
        const MAX_REPORTED: usize = 24;
        self.drop_refuted_findings();
        self.own_findings.retain(|own| own.is_reported(now));
        let due = self
            .own_findings
            .iter_mut()
            .filter(|own| own.due_at() <= now && (full || own.is_new()));
        let mut due: Vec<&mut OwnFinding> = due.collect();
        // What the other hosts don't know yet precedes, and of that the crashes of those with the most crashes.
        let suspects = &self.suspects;
        due.sort_by_key(|own| {
            let suspect = suspects.get(&own.fingerprint());
            let crashes = suspect.map_or(0, |suspect| suspect.crashes().len());
            (!own.is_new(), own.crash_at().is_some(), Reverse(crashes))
        });
        let bars = &self.bars;
        due.into_iter()
            .take(MAX_REPORTED)
            .map(|own| own.report(bars.get(own.fingerprint()).map(|bar| bar.until), now))
            .collect()
    }

    /// Returns how long it takes until a finding is to be reported for the first time, if there is one.
    pub fn next_report_in(&self, now: Time) -> Option<Duration> {
        let new = self.own_findings.iter().filter(|own| own.is_new());
        new.map(|own| own.due_at().left(now)).min()
    }

    /// Returns a few of the bars in force, each time others. They are repeated to hosts that have missed the decision because
    /// they were cut off.
    pub fn bars_to_repeat(&mut self, now: Time) -> Vec<Finding> {
        /// Maximum number of bars in a notice.
        const MAX_REPEATED: usize = 2;
        let bars = self.bars.after(self.last_repeated).take(MAX_REPEATED);
        let repeated: Vec<Finding> = bars
            .map(|(fingerprint, bar)| Finding {
                fingerprint,
                fact: Fact::Barred {
                    left_s: seconds(bar.until.left(now)),
                },
            })
            .collect();
        if let Some(last) = repeated.last() {
            self.last_repeated = last.fingerprint;
        }
        repeated
    }

    /// Adds a finding to those that this host reports, unless there are too many.
    pub(super) fn report(&mut self, finding: OwnFinding) {
        if self.own_findings.len() < MAX_OWN_FINDINGS {
            self.own_findings.push(finding);
        }
    }

    /// Returns whether this host itself reports findings on a request.
    pub(super) fn is_first_hand(&self, fingerprint: Fingerprint) -> bool {
        self.own_findings
            .iter()
            .any(|own| own.fingerprint() == fingerprint)
    }
}
