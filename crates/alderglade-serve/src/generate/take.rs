//! What a plan takes at each engine: as the book notes it, and as the answering server is told.

use crate::job::Job;
use crate::node::Node;
use crate::ticket::Tickets;
use crate::translate::Helper;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{Load, PAUSE_CLASSES, Part, Reservation};
use alderglade_core::fleet::placement::{self, Plan};

/// Gives a plan's entry in the book: all that it takes at each engine.
pub(super) fn hold(job: &Job, plan: &Plan) -> Reservation {
    let prompt = job.prompt();
    let reading = (plan.part * 1_000.0) as u64;
    let shared: u64 = plan.shares.iter().map(|share| share.tokens).sum();
    let memory = (prompt.tokens + prompt.expected_output_tokens()).saturating_sub(shared);
    let mut at_risk = [0; PAUSE_CLASSES];
    at_risk[job.pauses() as usize] = (placement::worth(prompt.tokens) * 1_000.0) as i64;
    let own_share = share_at(plan, plan.primary);
    let load = Load {
        placed: reading,
        memory: memory as i64 + own_share,
        running: 1,
        at_risk,
    };
    Reservation {
        primary: plan.primary,
        load,
        helpers: parts(plan, reading),
        multi_engine: plan.multi_engine,
    }
}

/// Lists what a plan takes at the engines that don't answer: reading, memory or both.
fn parts(plan: &Plan, reading: u64) -> Vec<Part> {
    let readers = plan.helpers.iter();
    let lenders = plan.shares.iter().map(|share| &share.server);
    let mut parts: Vec<Part> = Vec::new();
    for server in readers.chain(lenders) {
        let known = parts.iter().any(|part| part.server == *server);
        if known || *server == plan.primary {
            continue;
        }
        let reads = plan.helpers.contains(server);
        parts.push(Part {
            server: *server,
            load: Load {
                placed: if reads { reading } else { 0 },
                memory: share_at(plan, *server),
                ..Load::default()
            },
        });
    }
    parts
}

/// Gives the memory that is set aside at a server, in tokens.
fn share_at(plan: &Plan, server: Key) -> i64 {
    let share = plan.shares.iter().find(|share| share.server == server);
    share.map_or(0, |share| share.tokens as i64)
}

/// Lists the servers that read a part or hold memory; the answering server's own ticket goes first.
pub(super) fn helpers(node: &Node, plan: &Plan, tickets: Option<&Tickets>) -> Vec<Helper> {
    let taken = tickets.map(Tickets::taken).unwrap_or_default();
    let mut list: Vec<Helper> = taken
        .iter()
        .filter(|one| one.server.key() == plan.primary)
        .chain(taken.iter().filter(|one| one.server.key() != plan.primary))
        .map(|one| Helper {
            address: one.server.address,
            ticket: Some(one.name.clone()),
        })
        .collect();
    for helper in &plan.helpers {
        if taken.iter().any(|one| one.server.key() == *helper) {
            continue;
        }
        if let Some(server) = node.server(*helper) {
            list.push(Helper {
                address: server.address,
                ticket: None,
            });
        }
    }
    list.truncate(placement::MAX_PARTS - 1);
    list
}
