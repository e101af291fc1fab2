//! The notice in which a host reports its holdings and its observations to its peers.
//!
//! Figures are absolute, so the next notice corrects a lost or duplicated one.

use super::{Demand, Load};
use crate::Name;
use crate::fleet::evacuation;
use crate::fleet::fanout::Scope;
use crate::fleet::group::Groups;
use crate::fleet::health::Ejection;
use crate::fleet::incarnation::Key;
use crate::fleet::position::Position;
use crate::fleet::quarantine::Finding;
use crate::fleet::rate_limit;
use crate::fleet::relay::StoreStatus;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A host's holdings at one server, as sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The backend server.
    pub server: Key,
    /// What is held there.
    pub load: Load,
    /// The increase of `load.placed_micros` since the last notice of changes. Receivers use it if the sender's total at the
    /// server is not known to them yet.
    pub added: u64,
}

impl Holding {
    /// Returns an empty holding at a server.
    pub(super) fn nothing(server: Key) -> Holding {
        Holding {
            server,
            load: Load::default(),
            added: 0,
        }
    }
}

/// A report of a host's state to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The sender's name.
    pub host: Name,
    /// The sender's failure domain.
    pub domain: Name,
    /// The sender's incarnation: the position of the store when the sender was entered there.
    pub incarnation: Position,
    /// Increases with each notice of the incarnation.
    pub sequence: u64,
    /// The maximum time until the sender's next notice, in milliseconds.
    pub interval_ms: u32,
    /// Whether `holdings` lists everything that the sender holds; otherwise it lists only changes.
    pub full: bool,
    /// The number of the sender's prompts that are being read and occupy many engines at once.
    pub multi_engine_prompts: u32,
    /// The prompts queued at the sender.
    pub queued: Vec<Demand>,
    /// What the sender knows of the store.
    pub store: StoreStatus,
    /// Servers that are leaving, as far as the sender knows.
    pub leaving: Vec<Key>,
    /// Servers that refuse work or are slow, according to what servers reported to the sender.
    pub ejections: Vec<Ejection>,
    /// Servers that did not answer the sender's last request to them.
    pub unanswered: Vec<Key>,
    /// The sender's observations of requests during which servers end.
    pub quarantine: Vec<Finding>,
    /// Servers that have stated the maximum number of requests they accept, as they reported it to the sender.
    pub limits: Vec<rate_limit::LimitReport>,
    /// Servers that are cold, according to the servers themselves or the store.
    pub cold: Vec<rate_limit::cold::ColdReport>,
    /// The failure domains that are evacuated.
    pub evacuations: evacuation::Snapshot,
    /// What the sender holds at servers, completely or since the last notice; see `full`.
    pub holdings: Vec<Holding>,
}

impl Notice {
    /// Returns the maximum time until the sender's next notice.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.interval_ms))
    }

    /// Returns which hosts of other groups need this notice:
    ///
    /// - those of the same failure domain, if the sender is in contact with the store, because they rely on its status;
    /// - those whose servers it lists, because they must know what is held there;
    /// - all of them if it reports a request during which servers end, because any host may send that request.
    pub fn scope(&self, groups: &Groups) -> Scope {
        let elsewhere = self.elsewhere(groups);
        Scope {
            all: !self.quarantine.is_empty(),
            domain: self.store.in_contact,
            groups: elsewhere
                .map(|holding| groups.of_server(holding.server))
                .collect(),
        }
    }

    /// Returns the notice for hosts of other groups, with only the holdings at servers outside the sender's own group.
    pub fn for_other_groups(&self, groups: &Groups) -> Notice {
        Notice {
            full: false,
            multi_engine_prompts: 0,
            queued: Vec::new(),
            holdings: self.elsewhere(groups).cloned().collect(),
            ..self.clone()
        }
    }

    /// Returns the sender's holdings at servers of other groups.
    fn elsewhere<'a>(&'a self, groups: &'a Groups) -> impl Iterator<Item = &'a Holding> {
        let holdings = self.holdings.iter();
        holdings.filter(|holding| !groups.has_server(&self.host, holding.server))
    }
}
