//! What other hosts tell of servers that leave their requests without an answer.
//!
//! One host's word may come of its own link, so that it doubts nobody for all. Two of the own failure domain, which see the
//! server over links of the same kind, or hosts of two domains, are believed: a server that resets all it gets looks
//! empty for that and draws work from every host, where each must find out by three failures of its own; together they
//! need two.

use crate::Name;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a host's word counts after it was last told: longer than the longest heartbeat, with which it is told again.
const COUNTS: Duration = Duration::from_millis(1_500);

/// A host that told of a server.
#[derive(Debug)]
struct Witness {
    host: Name,
    domain: Name,
    until: Time,
}

/// Who has told of which servers.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    by_server: BTreeMap<Key, Vec<Witness>>,
}

impl Witnesses {
    /// Takes all the servers that a host tells of now; what it told before and doesn't any more is over.
    pub(super) fn hear(&mut self, host: &Name, domain: &Name, servers: &[Key], now: Time) {
        for (server, witnesses) in &mut self.by_server {
            let told = servers.contains(server);
            witnesses.retain(|witness| witness.until > now && (told || witness.host != *host));
        }
        self.by_server.retain(|_, witnesses| !witnesses.is_empty());
        for server in servers {
            let witnesses = self.by_server.entry(*server).or_default();
            witnesses.retain(|witness| witness.host != *host);
            witnesses.push(Witness {
                host: host.clone(),
                domain: domain.clone(),
                until: now + COUNTS,
            });
        }
    }

    /// Says whether a server is doubted by what hosts have told, and by what this host, of a failure domain, has `seen` itself.
    pub(super) fn doubt(&self, server: Key, own_domain: &str, seen: bool, now: Time) -> bool {
        let Some(witnesses) = self.by_server.get(&server) else {
            return false;
        };
        let witnesses = witnesses.iter().filter(|witness| witness.until > now);
        let near = witnesses
            .clone()
            .filter(|witness| *witness.domain == *own_domain);
        if near.count() + usize::from(seen) >= 2 {
            return true;
        }
        let own = seen.then_some(own_domain);
        let mut domains = witnesses.map(|witness| &*witness.domain).chain(own);
        let first = domains.next();
        domains.any(|domain| Some(domain) != first)
    }
}
