//! The resources that a plan uses at each engine, as recorded in the load table and as sent to the answering server.

use crate::job::Job;
use crate::node::Node;
use crate::ticket::Tickets;
use crate::translate::Helper;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::{Load, PAUSE_CLASSES, Part, Reservation};
use alderglade_core::fleet::placement::{self, Plan};

/// Returns a plan's reservation: its load on each engine.
pub(super) fn of_plan(job: &Job, plan: &Plan) -> Reservation {
    let prompt = job.prompt();
    let read_share = (plan.part_ms * 1_000.0) as u64;
    let reserved: u64 = plan.shares.iter().map(|share| share.tokens).sum();
    let memory = (prompt.tokens + prompt.expected_output_tokens()).saturating_sub(reserved);
    let mut at_risk = [0; PAUSE_CLASSES];
    at_risk[job.pause_class() as usize] = (placement::value(prompt.tokens) * 1_000.0) as i64;
    let own_tokens = reserved_tokens(plan, plan.primary);
    let load = Load {
        placed_micros: read_share,
        memory: memory as i64 + own_tokens,
        running: 1,
        value_at_risk: at_risk,
    };
    Reservation {
        primary: plan.primary,
        load,
        helpers: helper_loads(plan, read_share),
        multi_engine: plan.multi_engine,
    }
}

/// Returns the load on the engines that do not answer: reading, memory or both.
fn helper_loads(plan: &Plan, read_share: u64) -> Vec<Part> {
    let readers = plan.helpers.iter();
    let lenders = plan.shares.iter().map(|share| &share.server);
    let mut loads: Vec<Part> = Vec::new();
    for server in readers.chain(lenders) {
        let is_listed = loads.iter().any(|part| part.server == *server);
        if is_listed || *server == plan.primary {
            continue;
        }
        let reads = plan.helpers.contains(server);
        loads.push(Part {
            server: *server,
            load: Load {
                placed_micros: if reads { read_share } else { 0 },
                memory: reserved_tokens(plan, *server),
                ..Load::default()
            },
        });
    }
    loads
}

/// Returns the memory reserved at a server, in tokens.
fn reserved_tokens(plan: &Plan, server: Key) -> i64 {
    let share = plan.shares.iter().find(|share| share.server == server);
    share.map_or(0, |share| share.tokens as i64)
}

/// Returns the servers that read a part of the prompt or hold memory for it. The answering server's own ticket comes
/// first.
pub(super) fn helpers(node: &Node, plan: &Plan, tickets: Option<&Tickets>) -> Vec<Helper> {
    let shares = tickets.map(Tickets::shares).unwrap_or_default();
    let mut list: Vec<Helper> = shares
        .iter()
        .filter(|ticket| ticket.server.key() == plan.primary)
        .chain(
            shares
                .iter()
                .filter(|ticket| ticket.server.key() != plan.primary),
        )
        .map(|ticket| Helper {
            address: ticket.server.address,
            ticket: Some(ticket.name.clone()),
        })
        .collect();
    for helper in &plan.helpers {
        if shares.iter().any(|ticket| ticket.server.key() == *helper) {
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
