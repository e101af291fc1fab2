//! A stand-in for a plain service that counts what it ran, such as a booking.

use crate::http::{self, Listening};
use alderglade_backend::service::REQUEST_HEADER;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tiny_http::Request;

/// How the service misbehaves.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Each call takes this long.
    pub slow: Duration,
    /// The answers to this many further calls are lost after they ran.
    pub lose_answers: u32,
    /// It says that it is leaving and runs nothing.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    runs: BTreeMap<String, u32>,
    requests: Vec<String>,
    faults: Faults,
}

/// The service's stand-in.
#[derive(Debug, Clone)]
pub struct Service {
    state: Arc<Mutex<State>>,
    listening: Arc<Listening>,
}

/// What it answers.
#[derive(Debug, Serialize)]
struct Confirmation {
    confirmed: String,
    run: u32,
}

impl Service {
    /// Starts on an address.
    pub fn start(address: &str) -> Service {
        let state = Arc::new(Mutex::new(State::default()));
        let serving = state.clone();
        let listening = http::listen(address, move |request| serve(&serving, request));
        Service {
            state,
            listening: Arc::new(listening),
        }
    }

    /// Gives the address.
    pub fn address(&self) -> String {
        self.listening.address().to_string()
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Gives how often each body was run.
    pub fn runs(&self) -> BTreeMap<String, u32> {
        lock(&self.state).runs.clone()
    }

    /// Gives the requests that were run.
    pub fn requests(&self) -> Vec<String> {
        lock(&self.state).requests.clone()
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn serve(state: &Mutex<State>, mut request: Request) {
    let mut body = String::new();
    if request.as_reader().read_to_string(&mut body).is_err() {
        return;
    }
    if lock(state).faults.leaving {
        http::json(request, 421, &"leaving");
        return;
    }
    let header = request
        .headers()
        .iter()
        .find(|h| h.field.equiv(REQUEST_HEADER));
    let id = header.map(|h| h.value.to_string()).unwrap_or_default();
    let (run, slow, lost) = {
        let mut state = lock(state);
        state.requests.push(id);
        let run = state.runs.entry(body.clone()).or_default();
        *run += 1;
        let run = *run;
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (run, state.faults.slow, lost)
    };
    thread::sleep(slow);
    if lost {
        drop(request.into_writer());
        return;
    }
    let confirmed = body;
    http::json(request, 200, &Confirmation { confirmed, run });
}
