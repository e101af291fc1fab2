//! The progress of each request in flight, so that the end of a stop can log what it cuts off.

use alderglade_core::Name;
use alderglade_core::time::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The stage of a request in flight.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Stage {
    /// The request is being received, or waits for a server.
    #[default]
    Waiting,
    /// The request was sent to a server and is not answered yet.
    Sent(Name),
    /// The events of a server's answer are being forwarded.
    Forwarding(Name),
}

impl Stage {
    /// Returns the stage's label in the log.
    pub fn label(&self) -> &'static str {
        match self {
            Stage::Waiting => "waits",
            Stage::Sent(_) => "sent",
            Stage::Forwarding(_) => "passes_on",
        }
    }

    /// Returns the server that works on the request.
    pub fn server(&self) -> Option<&str> {
        match self {
            Stage::Waiting => None,
            Stage::Sent(server) | Stage::Forwarding(server) => Some(server),
        }
    }
}

/// The progress of one request.
#[derive(Debug)]
pub struct Progress {
    /// When the request's head arrived.
    pub arrived: Time,
    id: RefCell<Option<Name>>,
    stage: RefCell<Stage>,
    cut_off: Cell<bool>,
}

impl Progress {
    /// Creates the progress of a request whose head has just arrived.
    pub(super) fn new(arrived: Time) -> Progress {
        Progress {
            arrived,
            id: RefCell::default(),
            stage: RefCell::default(),
            cut_off: Cell::new(false),
        }
    }

    /// Sets the request's id, once its head is parsed.
    pub fn set_id(&self, id: &Name) {
        self.id.replace(Some(id.clone()));
    }

    /// Sets the request's current stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.replace(stage);
    }

    /// Returns the request's id; empty if its head is not parsed.
    pub fn id(&self) -> Name {
        let id = self.id.borrow();
        id.clone().unwrap_or_else(|| "".into())
    }

    /// Returns the request's current stage.
    pub fn stage(&self) -> Stage {
        self.stage.borrow().clone()
    }

    /// Returns whether the end of the host cuts the request off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// Records that the end of the host cuts the request off.
    pub(super) fn mark_cut_off(&self) {
        self.cut_off.set(true);
    }
}

/// The requests in flight, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct RequestsInFlight {
    last_number: Cell<u64>,
    requests: RefCell<BTreeMap<u64, Rc<Progress>>>,
}

impl RequestsInFlight {
    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Adds a request and returns the number by which it is removed.
    pub(super) fn add(&self, progress: Rc<Progress>) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.requests.borrow_mut().insert(number, progress);
        number
    }

    /// Removes a request.
    pub(super) fn remove(&self, number: u64) {
        self.requests.borrow_mut().remove(&number);
    }

    /// Returns all requests, oldest first.
    pub(super) fn list(&self) -> Vec<Rc<Progress>> {
        self.requests.borrow().values().cloned().collect()
    }
}
