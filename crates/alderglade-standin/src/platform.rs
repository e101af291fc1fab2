//! A stand-in for the platform: objects with versions, conditional updates, watches and a list
//! of hosts; with outages, slow answers, answers lost after the write, and a rate limit.

use crate::http::{self, Listening};
use alderglade_platform::hosts::Spec;
use alderglade_platform::object::{Change, List, Object};
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::{Method, Request};

/// How the platform misbehaves.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Out of service: calls get no answer.
    pub down: bool,
    /// Answers are late by this much.
    pub slow: Duration,
    /// The answers to this many further writes are lost after they took effect.
    pub lose_writes: u32,
    /// Calls in a second beyond which it refuses; `0` is no limit.
    pub calls_per_second: u32,
}

/// Calls that were counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Refused for the rate.
    pub refused: u64,
}

type Key = (String, String);

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<Key, Object<Value>>,
    changes: Vec<(u64, String, Object<Value>)>,
    hosts: BTreeMap<String, Object<Spec>>,
    faults: Faults,
    calls: Calls,
    second: Option<(Instant, u32)>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The platform's stand-in.
#[derive(Debug, Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    listening: Arc<Listening>,
}

impl Platform {
    /// Starts on an address.
    pub fn start(address: &str) -> Platform {
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        let listening = http::listen(address, move |request| serving.serve(request));
        Platform {
            shared,
            listening: Arc::new(listening),
        }
    }

    /// Gives the address.
    pub fn address(&self) -> String {
        self.listening.address().to_string()
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Gives the calls counted so far.
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Puts a host on the list.
    pub fn list_host(&self, host: Object<Spec>) {
        let name = host.metadata.name.clone();
        self.shared.lock().hosts.insert(name, host);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn serve(&self, request: Request) {
        let write = *request.method() != Method::Get;
        let slow = self.lock().faults.slow;
        thread::sleep(slow);
        let admitted = self.lock().count(write);
        if !admitted {
            http::json(request, 429, &"over the rate");
            return;
        }
        if self.lock().faults.down {
            // No answer at all: the connection just ends.
            drop(request.into_writer());
            return;
        }
        let path = request.url().to_string();
        if path.starts_with("/api/v1/nodes") {
            self.serve_hosts(request);
            return;
        }
        self.serve_object(request, &path);
    }

    fn serve_hosts(&self, mut request: Request) {
        if *request.method() == Method::Get {
            let items = self.lock().hosts.values().cloned().collect();
            http::json(request, 200, &List { items });
            return;
        }
        if let Some(host) = http::read::<Object<Spec>>(&mut request) {
            self.lock().hosts.insert(host.metadata.name.clone(), host);
        }
        http::json(request, 200, &"listed");
    }

    fn serve_object(&self, mut request: Request, path: &str) {
        let (route, query) = path.split_once('?').unwrap_or((path, ""));
        let mut parts = route.split('/').skip(6);
        let kind = parts.next().unwrap_or_default().to_string();
        let name = parts.next().unwrap_or_default().to_string();
        match request.method() {
            Method::Get if query.contains("watch=1") => self.watch(request, &kind, query),
            Method::Get if name.is_empty() => {
                let items = self.lock().list(&kind, query);
                http::json(request, 200, &List { items });
            }
            Method::Get => match self.lock().objects.get(&(kind, name)) {
                Some(object) => http::json(request, 200, object),
                None => http::json(request, 404, &"not found"),
            },
            _ => {
                let create = *request.method() == Method::Post;
                let Some(object) = http::read::<Object<Value>>(&mut request) else {
                    http::json(request, 400, &"no object");
                    return;
                };
                self.write(request, kind, object, create);
            }
        }
    }

    fn write(&self, request: Request, kind: String, object: Object<Value>, create: bool) {
        let mut state = self.lock();
        let result = state.write(kind, object, create);
        self.changed.notify_all();
        let lost = state.faults.lose_writes > 0;
        if lost {
            state.faults.lose_writes -= 1;
        }
        drop(state);
        if lost {
            drop(request.into_writer());
            return;
        }
        match result {
            Ok(object) => http::json(request, 200, &object),
            Err(status) => http::json(request, status, &"not written"),
        }
    }

    fn watch(&self, request: Request, kind: &str, query: &str) {
        let number = |key: &str| parameter(query, key).and_then(|value| value.parse().ok());
        let mut seen: u64 = number("resourceVersion").unwrap_or(0);
        let until = Instant::now() + Duration::from_secs(number("timeoutSeconds").unwrap_or(30));
        let mut writer = request.into_writer();
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        if writer
            .write_all(head)
            .and_then(|()| writer.flush())
            .is_err()
        {
            return;
        }
        while Instant::now() < until {
            let state = self.lock();
            if state.faults.down {
                return;
            }
            let fresh: Vec<Object<Value>> = state
                .changes
                .iter()
                .filter(|(version, of, _)| *version > seen && of == kind)
                .map(|(_, _, object)| object.clone())
                .collect();
            seen = state.version;
            if fresh.is_empty() {
                let _ = self.changed.wait_timeout(state, Duration::from_millis(200));
                continue;
            }
            drop(state);
            for object in fresh {
                let kind = "MODIFIED".to_string();
                let line = serde_json::to_string(&Change { kind, object }).unwrap_or_default();
                let sent = writer
                    .write_all(line.as_bytes())
                    .and_then(|()| writer.write_all(b"\n"));
                if sent.and_then(|()| writer.flush()).is_err() {
                    return;
                }
            }
        }
    }
}

impl State {
    /// Counts a call; says whether the rate allows it.
    fn count(&mut self, write: bool) -> bool {
        let now = Instant::now();
        let (began, calls) = match self.second {
            Some((began, calls)) if now - began < Duration::from_secs(1) => (began, calls + 1),
            _ => (now, 1),
        };
        self.second = Some((began, calls));
        let limit = self.faults.calls_per_second;
        if limit > 0 && calls > limit {
            self.calls.refused += 1;
            return false;
        }
        if write {
            self.calls.writes += 1;
        } else {
            self.calls.reads += 1;
        }
        true
    }

    fn list(&self, kind: &str, query: &str) -> Vec<Object<Value>> {
        let selector =
            parameter(query, "labelSelector").map(|s| s.replace("%3D", "=").replace("%2F", "/"));
        let wanted = selector
            .as_deref()
            .and_then(|selector| selector.split_once('='));
        let matches = |object: &Object<Value>| {
            wanted.is_none_or(|(key, value)| {
                object
                    .metadata
                    .labels
                    .get(key)
                    .is_some_and(|found| found == value)
            })
        };
        let of_kind = self.objects.iter().filter(|((of, _), _)| of == kind);
        of_kind
            .map(|(_, object)| object.clone())
            .filter(matches)
            .collect()
    }

    /// Writes an object if it is at the version stated; an error is the status to answer with.
    fn write(
        &mut self,
        kind: String,
        mut object: Object<Value>,
        create: bool,
    ) -> Result<Object<Value>, u16> {
        let key = (kind.clone(), object.metadata.name.clone());
        match (self.objects.get(&key), create) {
            (Some(_), true) => return Err(409),
            (None, false) => return Err(404),
            (Some(old), false) if old.version() != object.version() => return Err(409),
            _ => {}
        }
        self.version += 1;
        object.metadata.resource_version = self.version.to_string();
        self.changes.push((self.version, kind, object.clone()));
        if self.changes.len() > MOST_CHANGES {
            self.changes.remove(0);
        }
        self.objects.insert(key, object.clone());
        Ok(object)
    }
}

/// Changes kept for watches.
const MOST_CHANGES: usize = 1_000;

fn parameter<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}
