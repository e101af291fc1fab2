//! Memory reserved at several engines for a prompt that does not fit into any single one.
//!
//! Either all shares are reserved or none. They are renewed while the prompt is served and released on every path. If
//! this process is killed they expire, because each reservation is short.

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::order;
use alderglade_core::Name;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::placement::Share;
use bytes::Bytes;
use http::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinHandle};

/// Margin by which a reservation is shorter than the time that memory may stay unused, so that it expires before.
const EXPIRY_MARGIN: Duration = Duration::from_millis(600);
/// Number of renewals within the duration of a reservation.
const RENEWALS_PER_HOLD: u32 = 3;
/// Number of attempts to release a share; after that the memory expires.
const RELEASE_TRIES: u32 = 3;
/// Delay between two attempts to release a share.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// One reserved share.
#[derive(Debug, Clone)]
pub struct TicketShare {
    /// The engine that holds the share.
    pub server: Server,
    /// The ticket's name, unique to the request, the set of shares and the engine.
    pub name: Name,
    share: Share,
}

/// An engine's response to the order to reserve a share.
struct ReserveReply {
    ticket: TicketShare,
    result: Result<Response<Bytes>, order::Error>,
}

/// All shares of one prompt; they are released on drop.
pub struct Tickets {
    node: Rc<Node>,
    shares: Vec<TicketShare>,
    renewal: Option<AbortHandle>,
}

impl Tickets {
    /// Reserves all shares, or none.
    ///
    /// Returns `None` if one of the engines lacks the memory or does not respond.
    pub async fn reserve(node: &Rc<Node>, request: &str, shares: &[Share]) -> Option<Tickets> {
        let hold = node.settings.memory_idle.saturating_sub(EXPIRY_MARGIN);
        let mut tickets = Tickets {
            node: node.clone(),
            shares: Vec::new(),
            renewal: None,
        };
        let mut orders = Vec::new();
        for share in shares {
            let ticket = tickets.record(request, share)?;
            let order = node.translator.reserve(&ticket.name, share, hold);
            let node = node.clone();
            orders.push(tokio::task::spawn_local(async move {
                let result = order::call(&node, &ticket.server, order).await;
                ReserveReply { ticket, result }
            }));
        }
        if !all_reserved(node, request, orders).await {
            return None;
        }
        tickets.renewal = Some(tickets.start_renewal(hold));
        node.metrics.tickets.inc();
        Some(tickets)
    }

    /// Records a share before it is requested: a share whose response is lost may be reserved all the same, and is
    /// released with the others.
    fn record(&mut self, request: &str, share: &Share) -> Option<TicketShare> {
        let server = self.node.server(share.server)?;
        let ticket = TicketShare {
            name: ticket_name(request, &server),
            server,
            share: share.clone(),
        };
        self.shares.push(ticket.clone());
        Some(ticket)
    }

    /// Returns the reserved shares.
    pub fn shares(&self) -> &[TicketShare] {
        &self.shares
    }

    fn start_renewal(&self, hold: Duration) -> AbortHandle {
        let node = self.node.clone();
        let shares = self.shares.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                clock::sleep(hold / RENEWALS_PER_HOLD).await;
                for ticket in &shares {
                    renew(&node, ticket, hold).await;
                }
            }
        });
        task.abort_handle()
    }
}

impl Drop for Tickets {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
            self.node.metrics.tickets.dec();
        }
        for ticket in std::mem::take(&mut self.shares) {
            let node = self.node.clone();
            tokio::task::spawn_local(async move { release(&node, &ticket).await });
        }
    }
}

fn ticket_name(request: &str, server: &Server) -> Name {
    format!("{request}-{}", server.id()).into()
}

/// Waits for the responses of all engines and returns whether each of them reserved the memory.
async fn all_reserved(node: &Node, request: &str, orders: Vec<JoinHandle<ReserveReply>>) -> bool {
    let mut all = true;
    for order in orders {
        all &= match order.await {
            Ok(reply) => check_reserved(node, request, reply),
            Err(_) => false,
        };
    }
    all
}

/// Returns whether an engine reserved the memory. A share reserved by another incarnation of the engine is released
/// with the rest.
fn check_reserved(node: &Node, request: &str, reply: ReserveReply) -> bool {
    let ReserveReply { ticket, result } = reply;
    let problem = match result {
        Ok(answer) if !applies_status(node, &ticket, &answer) => "it has started again".to_string(),
        Ok(answer) if answer.status() == StatusCode::OK => return true,
        Ok(answer) => answer.status().to_string(),
        Err(error) => error.to_string(),
    };
    event::write(&Record::MemoryRefused {
        id: request,
        server: ticket.server.id(),
        problem: &problem,
    });
    false
}

/// Applies the status in an engine's response; returns whether it comes from the incarnation that was asked for the
/// memory.
fn applies_status(node: &Node, ticket: &TicketShare, answer: &Response<Bytes>) -> bool {
    let status = node.translator.status(answer.body());
    node.apply_status(&ticket.server, status)
}

/// Renews a share, unless its engine has restarted: the new incarnation holds nothing and would reserve the memory
/// anew.
async fn renew(node: &Rc<Node>, ticket: &TicketShare, hold: Duration) {
    if node.is_superseded(&ticket.server) {
        return;
    }
    let order = node.translator.reserve(&ticket.name, &ticket.share, hold);
    match order::call(node, &ticket.server, order).await {
        Ok(answer) => {
            applies_status(node, ticket, &answer);
        }
        Err(problem) => log::debug!(
            "memory at {} was not renewed: {problem}",
            ticket.server.id()
        ),
    }
}

async fn release(node: &Rc<Node>, ticket: &TicketShare) {
    let mut problem = String::new();
    for _ in 0..RELEASE_TRIES {
        let order = node.translator.release(&ticket.name);
        match order::call(node, &ticket.server, order).await {
            Ok(_) => return,
            Err(error) => problem = error.to_string(),
        }
        clock::sleep(RELEASE_PAUSE).await;
    }
    event::write(&Record::MemoryNotReleased {
        server: ticket.server.id(),
        problem: &problem,
    });
}
