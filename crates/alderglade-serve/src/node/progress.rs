//! How far each request in hand has come, so that the end of a stop can tell what it cuts off.

use alderglade_core::Name;
use alderglade_core::time::Time;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// What a request in hand is doing.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Stage {
    /// It comes in, or waits for a server.
    #[default]
    Waits,
    /// It was sent to a server and is not answered yet.
    Sent(Name),
    /// Events of a server are passed on.
    PassesOn(Name),
}

impl Stage {
    /// Gives the word for it in the log.
    pub fn label(&self) -> &'static str {
        match self {
            Stage::Waits => "waits",
            Stage::Sent(_) => "sent",
            Stage::PassesOn(_) => "passes_on",
        }
    }

    /// Gives the server that has it.
    pub fn server(&self) -> Option<&str> {
        match self {
            Stage::Waits => None,
            Stage::Sent(server) | Stage::PassesOn(server) => Some(server),
        }
    }
}

/// How far one request has come.
#[derive(Debug)]
pub struct Progress {
    /// When its head came.
    pub arrived: Time,
    id: RefCell<Option<Name>>,
    stage: RefCell<Stage>,
    cut_off: Cell<bool>,
}

impl Progress {
    /// Notes a request whose head has just come.
    pub(super) fn begin(arrived: Time) -> Progress {
        Progress {
            arrived,
            id: RefCell::default(),
            stage: RefCell::default(),
            cut_off: Cell::new(false),
        }
    }

    /// Notes the request's id, once its head is understood.
    pub fn set_id(&self, id: &Name) {
        self.id.replace(Some(id.clone()));
    }

    /// Notes what the request does from now on.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.replace(stage);
    }

    /// Gives the request's id; empty where its head is not understood.
    pub fn id(&self) -> Name {
        let id = self.id.borrow();
        id.clone().unwrap_or_else(|| "".into())
    }

    /// Gives what the request does.
    pub fn stage(&self) -> Stage {
        self.stage.borrow().clone()
    }

    /// Says whether the end of the host cuts the request off.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off.get()
    }

    /// Notes that the end of the host cuts the request off.
    pub(super) fn cut_off(&self) {
        self.cut_off.set(true);
    }
}

/// The requests in hand, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct InHand {
    last: Cell<u64>,
    requests: RefCell<BTreeMap<u64, Rc<Progress>>>,
}

impl InHand {
    /// Gives how many there are.
    pub(super) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Takes a request in and gives the number by which it is given back.
    pub(super) fn add(&self, progress: Rc<Progress>) -> u64 {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.requests.borrow_mut().insert(number, progress);
        number
    }

    /// Gives a request back.
    pub(super) fn remove(&self, number: u64) {
        self.requests.borrow_mut().remove(&number);
    }

    /// Lists all, the oldest first.
    pub(super) fn list(&self) -> Vec<Rc<Progress>> {
        self.requests.borrow().values().cloned().collect()
    }
}
