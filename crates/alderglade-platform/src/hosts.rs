//! The platform's list of hosts. It may be outdated and only seeds the hosts' own membership view.

use crate::client::{Client, Error};
use crate::object::List;
use alderglade_core::Name;
use alderglade_core::membership::Card;
use serde::{Deserialize, Serialize};

/// Label that distinguishes entry hosts from backend servers.
pub const ROLE: &str = "alderglade.io/role";
/// Value of [`ROLE`] for entry hosts.
pub const ENTRY: &str = "entry";
/// Label with a host's failure domain.
pub const DOMAIN: &str = "topology.kubernetes.io/zone";
/// Annotation with the address at which other entry hosts reach an entry host.
pub const ADDRESS: &str = "alderglade.io/peer-address";

/// Annotation with the address at which operators reach an entry host.
pub const OPERATOR: &str = "alderglade.io/operator-address";

/// An entry host and its address for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Operated {
    /// Name of the host.
    pub name: Name,
    /// Address for operators: IP address and port.
    pub address: String,
}

/// Content of a host's list entry, apart from its name and labels.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Spec {
    /// Whether the host is leaving and must not receive new work.
    pub unschedulable: bool,
}

/// The list of hosts, split by use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Hosts {
    /// The entry hosts.
    pub entries: Vec<Card>,
    /// Addresses of the entry hosts for operators.
    pub operated: Vec<Operated>,
    /// Backend servers that are leaving.
    pub leaving: Vec<Name>,
}

/// Reads the platform's list of hosts.
///
/// # Errors
///
/// Returns an error if the call to the platform fails.
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
