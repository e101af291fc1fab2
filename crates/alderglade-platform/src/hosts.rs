//! The platform's list of hosts. It lags behind reality and only seeds the hosts' own view.

use crate::client::{Client, Error};
use crate::object::List;
use alderglade_core::Name;
use alderglade_core::membership::Card;
use serde::{Deserialize, Serialize};

/// The label that tells entry hosts from backend servers.
pub const ROLE: &str = "alderglade.io/role";
/// The role of entry hosts.
pub const ENTRY: &str = "entry";
/// The label of the failure domain.
pub const DOMAIN: &str = "topology.kubernetes.io/zone";
/// The annotation with an entry host's address for other entry hosts.
pub const ADDRESS: &str = "alderglade.io/peer-address";

/// The annotation with an entry host's address for operators.
pub const OPERATOR: &str = "alderglade.io/operator-address";

/// Where operators reach an entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct Operated {
    /// The host.
    pub name: Name,
    /// Its address for operators: IP number and port.
    pub address: String,
}

/// What the list says of a host beside its name and labels.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Whether the host is leaving and shall get nothing new.
    pub unschedulable: bool,
}

/// The list, split by what it is used for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Hosts {
    /// The entry hosts.
    pub entries: Vec<Card>,
    /// Where operators reach the entry hosts.
    pub operated: Vec<Operated>,
    /// Backend servers that are leaving.
    pub leaving: Vec<Name>,
}

/// Reads the list.
///
/// # Errors
///
/// Where there is no answer.
pub fn list(client: &Client) -> Result<Hosts, Error> {
    let list: List<Spec> = client.get_path("/api/v1/nodes")?;
    let mut hosts = Hosts::default();
    for item in list.items {
        let label = |key: &str| item.metadata.labels.get(key).cloned().unwrap_or_default();
        let name: Name = item.metadata.name.as_str().into();
        if label(ROLE) != ENTRY {
            if item.spec.unschedulable {
                hosts.leaving.push(name);
            }
            continue;
        }
        let address = item.metadata.annotations.get(ADDRESS);
        if let Some(address) = item.metadata.annotations.get(OPERATOR) {
            hosts.operated.push(Operated {
                name: name.clone(),
                address: address.clone(),
            });
        }
        hosts.entries.push(Card {
            name,
            domain: label(DOMAIN).into(),
            address: address.cloned().unwrap_or_default().into(),
            incarnation: 0,
            leaving: item.spec.unschedulable,
            revision: 0,
        });
    }
    Ok(hosts)
}
