//! Who a request is served for, as log lines and metrics state it.

use crate::job::Job;
use alderglade_core::Name;
use serde::Serialize;

/// The workspace and the rank of a request. The default is that of a request that was not admitted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Requester {
    /// The workspace, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Name>,
    /// The level of the rank; `0` is the highest and is omitted from log lines.
    #[serde(skip_serializing_if = "is_highest")]
    pub rank: u8,
}

impl From<&Job> for Requester {
    fn from(job: &Job) -> Requester {
        Requester {
            workspace: job.workspace.clone(),
            rank: job.rank.level(),
        }
    }
}

fn is_highest(rank: &u8) -> bool {
    *rank == 0
}
