//! Calls to the object API, with time limits and a closed list of failures.

use crate::object::{Change, Kind, List, Object};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::time::Duration;

/// Connecting takes at most this long.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// A call takes at most this long, a watch excepted.
const CALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The largest answer that is read.
const MOST_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// There is no such object.
    #[snafu(display("no object `{name}` of kind {kind}"))]
    NotFound {
        /// The kind.
        kind: &'static str,
        /// The object's name.
        name: String,
    },
    /// Another write came first, or the object exists already.
    #[snafu(display("object `{name}` of kind {kind} was changed by another writer"))]
    Conflict {
        /// The kind.
        kind: &'static str,
        /// The object's name.
        name: String,
    },
    /// The platform refuses calls for now.
    #[snafu(display("the platform is over its rate or out of service (status {status})"))]
    Busy {
        /// The HTTP status.
        status: u16,
    },
    /// No answer; a write may have taken effect.
    #[snafu(display("no answer from the platform at {url}: {cause}"))]
    Lost {
        /// What was called.
        url: String,
        /// What the HTTP library said.
        cause: String,
    },
    /// The answer can't be read.
    #[snafu(display("the platform's answer from {url} can't be read: {cause}"))]
    Unreadable {
        /// What was called.
        url: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// Calls the object API at one address.
#[derive(Debug, Clone)]
pub struct Client {
    base: Arc<str>,
    agent: ureq::Agent,
    watcher: ureq::Agent,
}

impl Client {
    /// Makes a client for the platform at `address`, an IP number and port.
    pub fn new(address: &str) -> Client {
        let calls = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_LIMIT))
            .timeout_global(Some(CALL_LIMIT))
            .build();
        let watches = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_LIMIT))
            .build();
        Client {
            base: format!("http://{address}").into(),
            agent: calls.into(),
            watcher: watches.into(),
        }
    }

    fn url(&self, kind: Kind, name: &str) -> String {
        let plural = kind.plural;
        let base = &self.base;
        let root = format!("{base}/apis/alderglade.io/v1/namespaces/default/{plural}");
        if name.is_empty() {
            root
        } else {
            format!("{root}/{name}")
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// [`Error::NotFound`] where there is none; the others where there is no answer.
    pub fn get<T: DeserializeOwned>(&self, kind: Kind, name: &str) -> Result<Object<T>, Error> {
        let url = self.url(kind, name);
        let answer = self.agent.get(&url).call();
        read(answer, &url, kind, name)
    }

    /// Lists the objects of a kind, those with a label if one is given.
    ///
    /// # Errors
    ///
    /// Where there is no answer.
    pub fn list<T: DeserializeOwned>(
        &self,
        kind: Kind,
        label: Option<(&str, &str)>,
    ) -> Result<Vec<Object<T>>, Error> {
        let url = self.url(kind, "");
        let mut call = self.agent.get(&url);
        if let Some((key, value)) = label {
            call = call.query("labelSelector", format!("{key}={value}"));
        }
        let list: List<T> = read(call.call(), &url, kind, "")?;
        Ok(list.items)
    }

    /// Writes an object: creates it where it has no version, else updates that very version.
    ///
    /// Gives the object with its new version.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] where another write came first; [`Error::Lost`] where there is no
    /// answer and the write may have taken effect.
    pub fn write<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        object: &Object<T>,
    ) -> Result<Object<T>, Error> {
        let name = &object.metadata.name;
        let fresh = object.metadata.resource_version.is_empty();
        let url = self.url(kind, if fresh { "" } else { name });
        let call = if fresh {
            self.agent.post(&url)
        } else {
            self.agent.put(&url)
        };
        read(call.send_json(object), &url, kind, name)
    }

    /// Waits for changes of a kind that are newer than a version and hands each to `take`, until
    /// the platform ends the watch or `take` says false.
    ///
    /// # Errors
    ///
    /// Where the watch can't be started or breaks.
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        version: u64,
        limit: Duration,
        mut take: impl FnMut(Change<T>) -> bool,
    ) -> Result<(), Error> {
        let url = self.url(kind, "");
        let answer = self
            .watcher
            .get(&url)
            .query("watch", "1")
            .query("resourceVersion", version.to_string())
            .query("timeoutSeconds", limit.as_secs().to_string())
            .config()
            .timeout_global(Some(limit + CALL_LIMIT))
            .build()
            .call();
        let mut answer = answer.map_err(|cause| lost(&url, &cause))?;
        check(answer.status().as_u16(), kind, "")?;
        let lines = BufReader::new(answer.body_mut().as_reader()).lines();
        for line in lines {
            let line = line.map_err(|cause| Error::Lost {
                url: url.clone(),
                cause: cause.to_string(),
            })?;
            let change = serde_json::from_str(&line).map_err(|cause| unreadable(&url, &cause))?;
            if !take(change) {
                break;
            }
        }
        Ok(())
    }

    /// Reads the platform's own list at a path.
    pub(crate) fn get_path<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let url = format!("{}{path}", self.base);
        let nodes = Kind {
            plural: "nodes",
            name: "Node",
        };
        read(self.agent.get(&url).call(), &url, nodes, "")
    }
}

type Answer = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn read<T: DeserializeOwned>(
    answer: Answer,
    url: &str,
    kind: Kind,
    name: &str,
) -> Result<T, Error> {
    let mut answer = answer.map_err(|cause| lost(url, &cause))?;
    check(answer.status().as_u16(), kind, name)?;
    let body = answer.body_mut().with_config().limit(MOST_BYTES);
    let text = body.read_to_string().map_err(|cause| lost(url, &cause))?;
    serde_json::from_str(&text).map_err(|cause| unreadable(url, &cause))
}

fn check(status: u16, kind: Kind, name: &str) -> Result<(), Error> {
    match status {
        200..=299 => Ok(()),
        404 => NotFoundSnafu {
            kind: kind.name,
            name,
        }
        .fail(),
        409 => ConflictSnafu {
            kind: kind.name,
            name,
        }
        .fail(),
        status => BusySnafu { status }.fail(),
    }
}

fn lost(url: &str, cause: &ureq::Error) -> Error {
    Error::Lost {
        url: url.into(),
        cause: cause.to_string(),
    }
}

fn unreadable(url: &str, cause: &serde_json::Error) -> Error {
    Error::Unreadable {
        url: url.into(),
        cause: cause.to_string(),
    }
}
