//! Calls to engines that the control thread asks for, and fetching their load reports.

use super::control::Input;
use super::pool::Pool;
use super::snapshot::Published;
use alderglade_backend::engine::Client;
use alderglade_backend::wire::{Requests, Reserve};
use alderglade_core::Name;
use alderglade_core::gang::RESERVATION_TIMEOUT;
use alderglade_core::node::Event;
use alderglade_core::request::Id;
use alderglade_core::settings::Tree;
use alderglade_operator::event;
use arc_swap::ArcSwap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Load reports are fetched this often.
const POLL: Duration = Duration::from_millis(500);
/// The set of engines to poll is looked at this often.
const LOOK: Duration = Duration::from_millis(500);
/// Threads that reserve and cancel.
const THREADS: usize = 12;
/// A cancel is tried this often before it is left to the sweep.
const CANCEL_TRIES: u32 = 4;
/// Pause between two tries.
const CANCEL_PAUSE: Duration = Duration::from_millis(200);

/// Clients of all engines of the settings.
#[derive(Debug, Default)]
struct Clients {
    revision: u64,
    by_name: BTreeMap<Name, Client>,
}

/// The engines as this host calls them.
#[derive(Clone)]
pub(crate) struct Engines {
    clients: Arc<ArcSwap<Clients>>,
    pool: Pool,
    control: Sender<Input>,
}

impl Engines {
    /// Starts the threads for calls.
    pub(crate) fn start(control: Sender<Input>) -> Engines {
        Engines {
            clients: Arc::default(),
            pool: Pool::start("engine", THREADS),
            control,
        }
    }

    /// Makes clients for the engines of newer settings.
    pub(crate) fn set_settings(&self, tree: &Tree) {
        let old = self.clients.load();
        if old.revision == tree.revision {
            return;
        }
        // A client keeps its open connections as long as its engine's address stays.
        let client = |name: &Name, address: &str| match old.by_name.get(name) {
            Some(client) if client.address() == address => client.clone(),
            _ => Client::new(address),
        };
        let engines = tree.fleet.engines.iter();
        let by_name = engines.map(|(name, e)| (name.clone(), client(name, &e.address)));
        self.clients.store(Arc::new(Clients {
            revision: tree.revision,
            by_name: by_name.collect(),
        }));
    }

    /// Gives the client of an engine.
    pub(crate) fn client(&self, engine: &Name) -> Option<Client> {
        self.clients.load().by_name.get(engine).cloned()
    }

    /// Reserves memory at an engine; the answer comes as an event.
    pub(crate) fn reserve(&self, engine: Name, holder: Name, request: Id, tokens: u64) {
        let client = self.client(&engine);
        let control = self.control.clone();
        self.pool.run(move || {
            let body = Reserve {
                request,
                holder,
                tokens,
                lease_ms: RESERVATION_TIMEOUT.as_millis() as u64,
            };
            let agreed = client.is_some_and(|client| client.reserve(&body).is_ok());
            let _ = control.send(Input::Event(Event::Reserved {
                engine,
                request,
                agreed,
            }));
        });
    }

    /// Stops a request at its engines and frees what it holds, until each confirms.
    ///
    /// What no try confirms is left to the sweep of the engine's home.
    pub(crate) fn cancel(&self, request: Id, engines: Vec<Name>) {
        for engine in engines {
            let Some(client) = self.client(&engine) else {
                continue;
            };
            self.pool.run(move || cancel(&client, &engine, request));
        }
    }

    /// Keeps a gang's reservations alive.
    pub(crate) fn renew(&self, request: Id, engines: &[Name]) {
        for engine in engines {
            let Some(client) = self.client(engine) else {
                continue;
            };
            self.pool.run(move || {
                // A renewal that is lost is followed by another one before the lease is over.
                let _ = client.renew(&requests(request));
            });
        }
    }
}

fn requests(request: Id) -> Requests {
    Requests {
        requests: vec![request],
        lease_ms: RESERVATION_TIMEOUT.as_millis() as u64,
    }
}

fn cancel(client: &Client, engine: &Name, request: Id) {
    for _ in 0..CANCEL_TRIES {
        match client.cancel(&requests(request)) {
            Ok(_) => return,
            Err(_) => thread::sleep(CANCEL_PAUSE),
        }
    }
    event::write(event::FREE_FAILED, &format!("{engine} {request}"));
}

/// Fetches the reports of the engines whose home this host is, a thread for each.
pub(crate) fn poll(engines: Engines, published: Published) {
    let polled = Arc::new(Mutex::new(BTreeSet::<Name>::new()));
    loop {
        for engine in &published.load().polled {
            let fresh = lock(&polled).insert(engine.clone());
            if fresh {
                let (engines, published) = (engines.clone(), published.clone());
                let (engine, polled) = (engine.clone(), polled.clone());
                thread::spawn(move || {
                    poll_one(&engines, &engine, &published);
                    lock(&polled).remove(&engine);
                });
            }
        }
        thread::sleep(LOOK);
    }
}

fn lock(polled: &Mutex<BTreeSet<Name>>) -> std::sync::MutexGuard<'_, BTreeSet<Name>> {
    polled.lock().unwrap_or_else(PoisonError::into_inner)
}

fn poll_one(engines: &Engines, engine: &Name, published: &Published) {
    let mut lost = false;
    while published.load().polled.contains(engine) {
        let Some(client) = engines.client(engine) else {
            return;
        };
        match client.load() {
            Ok(report) => {
                if std::mem::take(&mut lost) {
                    event::write(event::ENGINE_BACK, engine);
                }
                let _ = engines.control.send(Input::Event(Event::Report(report)));
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    event::write(event::ENGINE_LOST, &error.to_string());
                }
            }
        }
        thread::sleep(POLL);
    }
}
