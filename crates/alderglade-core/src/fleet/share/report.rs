//! What a host reports of the engine time that its workspaces have used.

use super::claims::Claims;
use super::usage::decay;
use crate::Name;
use crate::fleet::position::Position;
use crate::time::Time;
use serde::{Deserialize, Serialize};

/// The workspaces that a report lists by name. All hosts together name far more, and those over their share are among
/// the heaviest of most hosts.
pub const MAX_NAMED: usize = 4;

/// The engine time that the workspaces of one host have used lately. Its length doesn't depend on their number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host's name.
    pub host: Name,
    /// The host's incarnation: the position of the store when the host was entered there.
    pub incarnation: Position,
    /// Increases with each report of the incarnation.
    pub sequence: u64,
    /// Whether a prompt of the host itself waited or was refused lately for lack of capacity. A host that merely heard
    /// of it reports as well, and would otherwise keep up the exchange of reports for ever.
    pub short: bool,
    /// The heaviest workspaces.
    pub heaviest: Vec<Named>,
    /// The sum over the other workspaces, in milliseconds of engine time.
    pub rest_ms: u32,
    /// The number of the other workspaces.
    pub rest_count: u32,
}

/// The engine time of one workspace in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Named {
    /// The workspace.
    pub workspace: Name,
    /// The decayed sum, in milliseconds of engine time.
    pub used_ms: u32,
}

/// What identifies a report.
pub(super) struct Header {
    pub(super) host: Name,
    pub(super) incarnation: Position,
    pub(super) sequence: u64,
    pub(super) short: bool,
}

impl Report {
    /// Creates a report from the sums of all workspaces.
    pub(super) fn new(header: Header, mut used: Vec<(Name, f64)>) -> Report {
        used.sort_by(|(name, sum), (other, other_sum)| {
            other_sum.total_cmp(sum).then_with(|| name.cmp(other))
        });
        let rest = used.split_off(used.len().min(MAX_NAMED));
        let named = used.into_iter().map(|(workspace, sum)| Named {
            workspace,
            used_ms: sum.round() as u32,
        });
        let rest_ms: f64 = rest.iter().map(|(_, sum)| sum).sum();
        Report {
            host: header.host,
            incarnation: header.incarnation,
            sequence: header.sequence,
            short: header.short,
            heaviest: named.collect(),
            rest_ms: rest_ms.round() as u32,
            rest_count: u32::try_from(rest.len()).unwrap_or(u32::MAX),
        }
    }
}

/// The last report of another host.
#[derive(Debug)]
pub(super) struct Received {
    report: Report,
    at: Time,
}

impl Received {
    pub(super) fn new(mut report: Report, at: Time) -> Received {
        // A forged report must not make the state grow.
        report.heaviest.truncate(MAX_NAMED);
        Received { report, at }
    }

    /// Returns whether another report of the same host is newer.
    pub(super) fn is_before(&self, other: &Report) -> bool {
        let own = (self.report.incarnation, self.report.sequence);
        own < (other.incarnation, other.sequence)
    }

    /// Returns the incarnation of the host that sent the report.
    pub(super) fn incarnation(&self) -> Position {
        self.report.incarnation
    }

    /// Returns the sum over all workspaces, in milliseconds of engine time.
    pub(super) fn total_ms(&self, now: Time) -> f64 {
        let named = self.report.heaviest.iter();
        let named: f64 = named.map(|named| f64::from(named.used_ms)).sum();
        (named + f64::from(self.report.rest_ms)) * decay(now.since(self.at))
    }

    /// Adds the report's sums, as they have decayed since it arrived.
    pub(super) fn add_to<'a>(&'a self, claims: &mut Claims<'a>, now: Time) {
        let left = decay(now.since(self.at));
        let named = self.report.heaviest.iter();
        for Named { workspace, used_ms } in named.clone() {
            claims.add(workspace, f64::from(*used_ms) * left);
        }
        let named = named.map(|named| &named.workspace).collect();
        let rest = f64::from(self.report.rest_ms) * left;
        claims.add_rest(named, rest, self.report.rest_count);
    }
}
