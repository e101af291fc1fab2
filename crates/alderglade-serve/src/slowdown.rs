//! Asks engines that are suspected of being slow, and has slow ones passed over on every host.
//!
//! A slow engine gets no more work that would show when it is quick again. The host that found it slow last therefore
//! looks after it: asks it on and on, until it isn't slow any more or another host does.

use crate::clock;
use crate::event::{self, Record};
use crate::node::Node;
use crate::order;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::placement::Plan;
use alderglade_core::fleet::slowdown;
use alderglade_core::time::Time;
use std::rc::Rc;
use std::time::Duration;

/// How long after an engine was found slow it is asked again: before it would no longer be passed over, which is
/// three seconds after its word.
const ASK_AGAIN: Duration = Duration::from_millis(2_400);

/// A prompt that several engines read.
pub struct Reading {
    engines: Vec<Key>,
    began: Time,
    expected: Duration,
}

impl Reading {
    /// Notes that a plan is carried out from now on.
    pub fn begin(plan: &Plan) -> Reading {
        let first = std::iter::once(&plan.primary);
        Reading {
            engines: first.chain(&plan.helpers).copied().collect(),
            began: clock::now(),
            expected: plan.first_event,
        }
    }

    /// Takes that the first event has come; where that was very late, has all that read parts looked at. One engine that
    /// reads alone shows in the pauses of its answer.
    pub fn end(&self, node: &Rc<Node>) {
        let took = clock::now().since(self.began);
        let shared = self.engines.len() > 1;
        if shared && slowdown::is_late(self.expected, took) {
            self.engines
                .iter()
                .for_each(|engine| inspect(node, *engine));
        }
    }
}

/// Asks an engine how slow it is and looks after it if it is, unless it was asked lately or is passed over already.
pub fn inspect(node: &Rc<Node>, server: Key) {
    let asks = {
        let mut state = node.state.borrow_mut();
        state.health.begin_slowness_check(server, clock::now())
    };
    if asks {
        tokio::task::spawn_local(look_after(node.clone(), server));
    }
}

/// Has an engine passed over for as long as it says that it is slow and this host is the one that looks after it.
async fn look_after(node: Rc<Node>, server: Key) {
    while let Some(slowdown) = ask(&node, server).await {
        if !slowdown::is_slow(slowdown) {
            return;
        }
        node.note_slow(server, slowdown);
        clock::sleep(ASK_AGAIN).await;
        if !node.state.borrow().health.owns_ejection(server) {
            return;
        }
    }
}

/// Gives how many times the stated times an engine takes, as it reports it; `None` where it is gone, has started again,
/// doesn't answer or doesn't say.
async fn ask(node: &Rc<Node>, server: Key) -> Option<f64> {
    let server = node.server(server)?;
    let report = order::call(node, &server, node.translator.report()).await;
    match report {
        Ok(answer) => {
            let status = node.translator.status(answer.body());
            let same = node.apply_status(&server, status);
            status.slowdown.filter(|_| same)
        }
        Err(error) => {
            log::debug!("no report of {}: {error}", server.id());
            None
        }
    }
}

impl Node {
    /// Notes that a server says that it is slow, and has peers told.
    fn note_slow(&self, server: Key, slowdown: f64) {
        let Some(known) = self.server(server) else {
            return;
        };
        let mut state = self.state.borrow_mut();
        state.health.eject(server, clock::now());
        drop(state);
        self.loads_changed.notify_one();
        event::write(&Record::ServerSlow {
            server: known.id(),
            slowdown,
        });
    }
}
