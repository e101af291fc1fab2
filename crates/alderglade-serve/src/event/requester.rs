//! Who and what a request is served for, as log lines and metrics state it.

use crate::job::Job;
use alderglade_core::Name;
use serde::Serialize;

/// The workspace, the rank and the route of a request. The default is that of a request that was not admitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Requester {
    /// The workspace, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// The level of the rank; `0` is the highest and is omitted from log lines.
    #[serde(skip_serializing_if = "is_highest")]
    pub rank: u8,
    /// The name of the route, if the request has one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub route: Option<Name>,
}

impl From<&Job> for Requester {
    fn from(job: &Job) -> Requester {
        Requester {
            workspace: job.workspace.clone(),
            rank: job.rank.level(),
            route: Some(job.route.name.clone()),
        }
    }
}

fn is_highest(rank: &u8) -> bool {
    *rank == 0
}

/// Returns whether a field is zero, which log lines omit.
pub(super) fn is_zero(number: &u64) -> bool {
    *number == 0
}
