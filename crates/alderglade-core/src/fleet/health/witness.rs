//! Tracks what other hosts report of servers that leave their requests without an answer.
//!
//! A single host's report may be caused by its own link, so that it makes no server suspect. Reports by two hosts of
//! the own failure domain, which reach the server over similar links, or by hosts of two domains are believed. A
//! server that resets all its connections looks idle and attracts requests from every host. Each host alone needs
//! three failures of its own to find that out; together they need two.

use crate::Name;
use crate::fleet::incarnation::Key;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a host's report counts. Longer than the longest heartbeat interval, after which it is repeated.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// A host that has reported a server.
#[derive(Debug)]
struct Witness {
    host: Name,
    domain: Name,
    until: Time,
}

/// The reports of all hosts, by server.
#[derive(Debug, Default)]
pub(super) struct Witnesses {
    by_server: BTreeMap<Key, Vec<Witness>>,
}

impl Witnesses {
    /// Applies the full list of servers that a host reports now. Its earlier reports of other servers end.
    pub(super) fn apply_report(&mut self, host: &Name, domain: &Name, servers: &[Key], now: Time) {
        for (server, witnesses) in &mut self.by_server {
            let still_reported = servers.contains(server);
            witnesses
                .retain(|witness| witness.until > now && (still_reported || witness.host != *host));
        }
        self.by_server.retain(|_, witnesses| !witnesses.is_empty());
        for server in servers {
            let witnesses = self.by_server.entry(*server).or_default();
            witnesses.retain(|witness| witness.host != *host);
            witnesses.push(Witness {
                host: host.clone(),
                domain: domain.clone(),
                until: now + REPORT_LIFETIME,
            });
        }
    }

    /// Returns whether a server is suspect by the hosts' reports, and by what this host in `own_domain` has `seen`
    /// itself.
    pub(super) fn is_suspect(&self, server: Key, own_domain: &str, seen: bool, now: Time) -> bool {
        let Some(witnesses) = self.by_server.get(&server) else {
            return false;
        };
        let witnesses = witnesses.iter().filter(|witness| witness.until > now);
        let same_domain = witnesses
            .clone()
            .filter(|witness| *witness.domain == *own_domain);
        if same_domain.count() + usize::from(seen) >= 2 {
            return true;
        }
        let own_domain = seen.then_some(own_domain);
        let mut domains = witnesses.map(|witness| &*witness.domain).chain(own_domain);
        let first = domains.next();
        domains.any(|domain| Some(domain) != first)
    }
}
