//! Starts the threads of the daemon and waits for its end.

use super::control::{Control, Input, wall_ms};
use super::engines::{self, Engines};
use super::host::Host;
use super::orders::Orders;
use super::outside::{self, Platform};
use super::snapshot::Published;
use super::traffic::{self, Traffic};
use super::{Error, SignalSnafu};
use alderglade_caller::listen::Door;
use alderglade_clock::Instant;
use alderglade_core::lease::Candidate;
use alderglade_core::membership::Card;
use alderglade_core::node::{Config, Event, Node};
use alderglade_core::placement;
use alderglade_core::time::Time;
use alderglade_operator::metrics::Metrics;
use alderglade_operator::pages::{self, Status};
use alderglade_operator::{event, logging};
use alderglade_peer::{Incoming, Peers};
use alderglade_platform::{Client, slo};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

/// Answers get at least this long to leave once the last request is done, and fallbacks once answers
/// are given up.
const FLUSH_TIME: Duration = Duration::from_secs(1);
/// How often it is looked whether all have left.
const LOOK: Duration = Duration::from_millis(10);

/// The host's pages, which ask the control thread.
struct Pages {
    published: Published,
    control: Sender<Input>,
}

impl pages::Host for Pages {
    fn status(&self) -> Status {
        self.published.load().status.clone()
    }

    fn drain(&self) {
        event::write(event::DRAINING, "asked by an operator");
        let _ = self.control.send(Input::Event(Event::Drain));
    }
}

/// Runs the daemon until a planned stop has finished.
///
/// # Errors
///
/// Where an address is taken or a thread can't be started.
pub(crate) fn run(host: Host) -> Result<(), Error> {
    logging::start(&host.name, host.log_level)?;
    let began = Instant::now();
    let incarnation = wall_ms();
    let (control, inputs) = channel();
    // Before anything that may wait or lets anybody in: a signal that isn't handled yet ends the process at once.
    follow_signals(&control)?;
    let peers = start_peers(&host, &control)?;
    let published = Published::default();
    let metrics = Metrics::default();
    let client = Client::new(&host.platform.to_string());
    let engines = Engines::start(control.clone());
    let platform = Platform::start(client.clone(), control.clone());
    let card = card(&host, &peers, incarnation);
    let mut node = Node::new(
        Config {
            card,
            placement: placement::Config::default(),
            drain_limit: host.drain_limit(),
        },
        Time(0),
    );
    if let Some(log) = slo::read_own(&client, &host.name) {
        node.restore_slo(log);
    }
    node.handle(seed_event(&host), Time(0), wall_ms());
    let pages = Arc::new(Pages {
        published: published.clone(),
        control: control.clone(),
    });
    let operators = pages::start(host.operators, pages, metrics.clone())?;
    let traffic = Arc::new(Traffic {
        own: host.name.clone(),
        incarnation,
        serial: AtomicU64::new(1),
        control: control.clone(),
        published: published.clone(),
        engines: engines.clone(),
        metrics: metrics.clone(),
    });
    let door = traffic::open(host.callers, host.max_requests, traffic)?;
    follow_outside(&host, &client, &platform, &control, &published);
    let (polling, shown) = (engines.clone(), published.clone());
    thread::spawn(move || engines::poll(polling, shown));
    let candidate = Candidate::new(host.name.clone(), incarnation);
    let orders = Orders::new(client, engines.clone(), host.domain.clone(), candidate);
    let shown = published.clone();
    thread::spawn(move || orders.run(&shown));
    let addresses = serde_json::json!({
        "callers": door.address(),
        "peers": peers.address(),
        "operators": operators,
    });
    println!("{addresses}");
    event::write(event::STARTED, &addresses.to_string());
    let stop = Control {
        node,
        inputs,
        peers,
        engines,
        platform,
        published,
        metrics,
        began,
        threads: Default::default(),
        no_capacity_logged: None,
    }
    .run(host.drain_limit());
    door.close();
    let left = wait_for_answers(&door, stop.until);
    event::write(
        event::STOPPED,
        if stop.whole && left {
            "nothing was cut off"
        } else {
            "work was cut off"
        },
    );
    Ok(())
}

fn start_peers(host: &Host, control: &Sender<Input>) -> Result<Peers, Error> {
    let control = control.clone();
    let sink = Arc::new(move |incoming| {
        let event = match incoming {
            Incoming::Message { from, message } => Event::Deliver {
                from,
                message: *message,
            },
            Incoming::Silent { host } => Event::HostUnreachable { host },
        };
        let _ = control.send(Input::Event(event));
    });
    Ok(Peers::start(host.name.clone(), host.peers, sink)?)
}

fn card(host: &Host, peers: &Peers, incarnation: u64) -> Card {
    let address = host.peers_seen_as.unwrap_or(peers.address());
    Card {
        name: host.name.clone(),
        domain: host.domain.clone(),
        address: address.to_string().into(),
        incarnation,
        leaving: false,
        revision: 0,
    }
}

/// Lets the node send its first heartbeats to the seeds, whose names it learns from their answers.
fn seed_event(host: &Host) -> Event {
    let card = |address: &SocketAddr| Card {
        name: format!("seed {address}").into(),
        domain: host.domain.clone(),
        address: address.to_string().into(),
        incarnation: 0,
        leaving: false,
        revision: 0,
    };
    Event::Hosts {
        cards: host.seeds.iter().map(card).collect(),
        leaving: Vec::new(),
    }
}

/// Begins a planned stop at each signal that asks for one; a further one changes nothing.
fn follow_signals(control: &Sender<Input>) -> Result<(), Error> {
    // SIGHUP asks for nothing else here, as settings come from the platform.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).context(SignalSnafu)?;
    let control = control.clone();
    thread::spawn(move || {
        for _ in signals.forever() {
            event::write(event::DRAINING, "asked by a signal");
            let _ = control.send(Input::Event(Event::Drain));
        }
    });
    Ok(())
}

fn follow_outside(
    host: &Host,
    client: &Client,
    platform: &Platform,
    control: &Sender<Input>,
    published: &Published,
) {
    let every = Duration::from_millis(host.list_every_ms);
    let (listing, telling, shown) = (client.clone(), control.clone(), published.clone());
    thread::spawn(move || outside::follow_hosts(&listing, &telling, &shown, every));
    let (watching, telling, shown) = (client.clone(), control.clone(), published.clone());
    thread::spawn(move || outside::follow_settings(&watching, &telling, &shown));
    let (counting, name) = (platform.clone(), host.name.clone());
    thread::spawn(move || outside::follow_log(&counting, &name));
}

/// Waits for answers to leave and for requests that are still coming to be refused, until the time to
/// stop is over; says whether all have.
///
/// A request that is done may have an answer that waits for a slow caller: it is in hand until it has left.
fn wait_for_answers(door: &Door, until: Instant) -> bool {
    if is_idle_by(door, until.max(Instant::now() + FLUSH_TIME)) {
        return true;
    }
    door.give_up();
    is_idle_by(door, Instant::now() + FLUSH_TIME);
    false
}

fn is_idle_by(door: &Door, until: Instant) -> bool {
    while door.busy() > 0 && Instant::now() < until {
        thread::sleep(LOOK);
    }
    door.busy() == 0
}
