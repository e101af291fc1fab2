//! Memory set aside at several engines for a prompt that fits none of them.
//!
//! All shares are taken or none. They are renewed while the prompt is served and given back on every
//! path; after a kill of this process they lapse by themselves, because each is held only briefly.

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

/// What is taken off the time that memory may stay unused, so that it lapses before.
const LAPSE_MARGIN: Duration = Duration::from_millis(600);
/// How often memory is renewed within the time that it is held for.
const RENEWALS: u32 = 3;
/// How often a release is tried; after that the memory lapses.
const RELEASE_TRIES: u32 = 3;
/// The pause between two tries to release.
const RELEASE_PAUSE: Duration = Duration::from_millis(300);

/// One share that was set aside.
#[derive(Debug, Clone)]
pub struct Taken {
    /// The engine.
    pub server: Server,
    /// The ticket's name.
    pub name: Name,
    share: Share,
}

/// What an engine said to the order to set a share aside.
struct Reply {
    taken: Taken,
    result: Result<Response<Bytes>, order::Error>,
}

/// All shares of one prompt; dropped, they are given back.
pub struct Tickets {
    node: Rc<Node>,
    taken: Vec<Taken>,
    renewal: Option<AbortHandle>,
}

impl Tickets {
    /// Sets all shares aside, or none.
    ///
    /// Returns `None` where one of the engines has not got the memory or doesn't answer.
    pub async fn take(node: &Rc<Node>, request: &str, shares: &[Share]) -> Option<Tickets> {
        let hold = node.settings.memory_idle.saturating_sub(LAPSE_MARGIN);
        let mut tickets = Tickets {
            node: node.clone(),
            taken: Vec::new(),
            renewal: None,
        };
        let mut orders = Vec::new();
        for share in shares {
            let taken = tickets.note(request, share)?;
            let order = node.translator.reserve(&taken.name, share, hold);
            let node = node.clone();
            orders.push(tokio::task::spawn_local(async move {
                let result = order::call(&node, &taken.server, order).await;
                Reply { taken, result }
            }));
        }
        if !all_granted(node, request, orders).await {
            return None;
        }
        tickets.renewal = Some(tickets.renew(hold));
        node.metrics.tickets.inc();
        Some(tickets)
    }

    /// Notes a share before it is asked for: also one whose answer is lost may be held, and is given
    /// back with the others.
    fn note(&mut self, request: &str, share: &Share) -> Option<Taken> {
        let server = self.node.server(share.server)?;
        let taken = Taken {
            name: ticket_name(request, &server),
            server,
            share: share.clone(),
        };
        self.taken.push(taken.clone());
        Some(taken)
    }

    /// Gives the shares.
    pub fn taken(&self) -> &[Taken] {
        &self.taken
    }

    fn renew(&self, hold: Duration) -> AbortHandle {
        let node = self.node.clone();
        let taken = self.taken.clone();
        let task = tokio::task::spawn_local(async move {
            loop {
                clock::sleep(hold / RENEWALS).await;
                for one in &taken {
                    renew(&node, one, hold).await;
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
        for taken in std::mem::take(&mut self.taken) {
            let node = self.node.clone();
            tokio::task::spawn_local(async move { release(&node, &taken).await });
        }
    }
}

fn ticket_name(request: &str, server: &Server) -> Name {
    format!("{request}-{}", server.id()).into()
}

/// Waits for the answers of all engines, and says whether each of them has set the memory aside.
async fn all_granted(node: &Node, request: &str, orders: Vec<JoinHandle<Reply>>) -> bool {
    let mut all = true;
    for order in orders {
        all &= match order.await {
            Ok(reply) => granted(node, request, reply),
            Err(_) => false,
        };
    }
    all
}

/// Says whether an engine has set memory aside; what another one of its lifetimes has taken is given back with the rest.
fn granted(node: &Node, request: &str, reply: Reply) -> bool {
    let Reply { taken, result } = reply;
    let problem = match result {
        Ok(answer) if !hears(node, &taken, &answer) => "it has started again".to_string(),
        Ok(answer) if answer.status() == StatusCode::OK => return true,
        Ok(answer) => answer.status().to_string(),
        Err(error) => error.to_string(),
    };
    event::write(&Record::MemoryRefused {
        id: request,
        server: taken.server.id(),
        problem: &problem,
    });
    false
}

/// Says whether an engine's answer is of the lifetime that the memory was asked of.
fn hears(node: &Node, taken: &Taken, answer: &Response<Bytes>) -> bool {
    let status = node.translator.status(answer.body());
    node.apply_status(&taken.server, status)
}

/// Renews a share, unless its engine has started again: that one holds nothing, and would set memory aside anew.
async fn renew(node: &Rc<Node>, taken: &Taken, hold: Duration) {
    if node.is_superseded(&taken.server) {
        return;
    }
    let order = node.translator.reserve(&taken.name, &taken.share, hold);
    match order::call(node, &taken.server, order).await {
        Ok(answer) => {
            hears(node, taken, &answer);
        }
        Err(problem) => log::debug!("memory at {} not renewed: {problem}", taken.server.id()),
    }
}

async fn release(node: &Rc<Node>, taken: &Taken) {
    let mut problem = String::new();
    for _ in 0..RELEASE_TRIES {
        let order = node.translator.release(&taken.name);
        match order::call(node, &taken.server, order).await {
            Ok(_) => return,
            Err(error) => problem = error.to_string(),
        }
        clock::sleep(RELEASE_PAUSE).await;
    }
    event::write(&Record::MemoryNotReleased {
        server: taken.server.id(),
        problem: &problem,
    });
}
