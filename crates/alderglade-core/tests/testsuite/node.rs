//! A whole host by its events.

use crate::cell::{report, tree};
use crate::queue::ticket;
use alderglade_core::Name;
use alderglade_core::cell::Key;
use alderglade_core::lane::Lane;
use alderglade_core::membership::Card;
use alderglade_core::message::Message;
use alderglade_core::node::{Action, Config, Event, Node};
use alderglade_core::placement;
use alderglade_core::time::Time;
use std::sync::Arc;
use std::time::Duration;

fn card(name: &str) -> Card {
    Card {
        name: name.into(),
        domain: "d".into(),
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        leaving: false,
        revision: 1,
    }
}

/// A host that is home of a cell of two engines, which have reported at `now`; another host is listed.
fn home(now: Time) -> (Node, Key) {
    let config = Config {
        card: card("h0"),
        placement: placement::Config::default(),
    };
    let mut node = Node::new(config, now);
    let hosts = Event::Hosts {
        cards: vec![card("h0"), card("h1")],
        leaving: Vec::new(),
    };
    node.handle(hosts, now, 0);
    let tree = tree(2);
    let engines: Vec<Name> = tree.fleet.engines.keys().cloned().collect();
    node.handle(Event::Settings(Arc::new(tree)), now, 0);
    node.handle(Event::Tick, now, 0);
    for engine in &engines {
        node.handle(Event::Report(report(engine, Vec::new())), now, 0);
    }
    let cell = node.homes().next().expect("the only host is home");
    let key = cell.key.clone();
    (node, key)
}

/// What a home answers to a short prompt of another host's.
fn enqueue(node: &mut Node, cell: &Key, now: Time) -> Message {
    let message = Message::Enqueue {
        cell: cell.clone(),
        ticket: ticket(1, "w", Lane::Urgent, 1_000, 1),
    };
    let from = "h1".into();
    let actions = node.handle(Event::Deliver { from, message }, now, 0);
    let sent = actions.into_iter().find_map(|action| match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.expect("an answer")
}

#[test]
fn a_home_that_was_stopped_doesnt_take_its_engines_for_dead() {
    let now = Time::from_millis(1_000);
    let (mut node, cell) = home(now);
    // It wakes after four seconds without a report; the first thing that it takes is a request that
    // was sent to it meanwhile.
    let woken = now + Duration::from_secs(4);
    let answer = enqueue(&mut node, &cell, woken);
    assert!(matches!(answer, Message::Grant { .. }), "{answer:?}");
}

#[test]
fn a_home_that_runs_knows_engines_without_reports_for_dead() {
    let now = Time::from_millis(1_000);
    let (mut node, cell) = home(now);
    let mut at = now;
    while at < now + Duration::from_secs(4) {
        at = at + Duration::from_millis(20);
        node.handle(Event::Tick, at, 0);
    }
    let answer = enqueue(&mut node, &cell, at);
    assert!(matches!(answer, Message::Refused { .. }), "{answer:?}");
}
