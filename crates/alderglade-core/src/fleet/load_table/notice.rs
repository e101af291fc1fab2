//! What a host tells its peers of its holdings.
//!
//! Figures are absolute, so that a lost or doubled notice is made good by the next one.

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

/// A host's holdings at one server, as told to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The backend server.
    pub server: Key,
    /// What is held there.
    pub load: Load,
    /// What `load.placed` has risen by since the last notice of changes; counts for those who have not
    /// heard of the server before.
    pub added: u64,
}

impl Holding {
    /// Says that nothing is held at a server.
    pub(super) fn nothing(server: Key) -> Holding {
        Holding {
            server,
            load: Load::default(),
            added: 0,
        }
    }
}

/// What a host tells its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The sender's name.
    pub host: Name,
    /// The sender's failure domain.
    pub domain: Name,
    /// The sender's lifetime: where the store had come to when it was entered there.
    pub incarnation: Position,
    /// Rises with each notice of the lifetime.
    pub sequence: u64,
    /// The longest time until the sender's next notice, in milliseconds.
    pub interval_ms: u32,
    /// Whether `holdings` is all that the sender holds; otherwise it is what has changed.
    pub full: bool,
    /// Prompts that the sender is having read and that take up many engines at once.
    pub multi_engine_prompts: u32,
    /// Prompts that wait at the sender.
    pub waiting: Vec<Demand>,
    /// What the sender knows of the store.
    pub store: StoreStatus,
    /// Servers that the sender knows to be leaving.
    pub leaving: Vec<Key>,
    /// Servers that refuse work or are slow, as the sender was told by servers.
    pub ejections: Vec<Ejection>,
    /// Servers from which the sender's last answer is missing.
    pub unanswered: Vec<Key>,
    /// What the sender has seen of requests under which servers end.
    pub quarantine: Vec<Finding>,
    /// Servers that have named the most requests that they take, as the sender was told by them.
    pub limits: Vec<rate_limit::LimitReport>,
    /// Servers that are cold, as the sender has it from themselves or the store.
    pub cold: Vec<rate_limit::cold::ColdReport>,
    /// The failure domains that are evacuated.
    pub evacuations: evacuation::Snapshot,
    /// What it holds.
    pub holdings: Vec<Holding>,
}

impl Notice {
    /// Gives the longest time until the sender's next notice.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(u64::from(self.interval_ms))
    }

    /// Says which hosts of other groups it concerns: those of the failure domain go by the word of a host that watches the
    /// store, those whose servers it names must know what is held there, and a request under which servers end may be sent
    /// by anybody.
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

    /// Gives what hosts of other groups are told: of what the sender holds, only what concerns their servers.
    pub fn for_other_groups(&self, groups: &Groups) -> Notice {
        Notice {
            full: false,
            multi_engine_prompts: 0,
            waiting: Vec::new(),
            holdings: self.elsewhere(groups).cloned().collect(),
            ..self.clone()
        }
    }

    /// Lists what the sender holds at servers of other groups.
    fn elsewhere<'a>(&'a self, groups: &'a Groups) -> impl Iterator<Item = &'a Holding> {
        let holdings = self.holdings.iter();
        holdings.filter(|holding| !groups.has_server(&self.host, holding.server))
    }
}
