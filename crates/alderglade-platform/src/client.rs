//! HTTP client of the object API, with timeouts and a fixed set of errors.

use crate::object::{Change, Kind, List, Object};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::io::{BufRead, BufReader};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a whole call. A watch gets this in addition to its own duration.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Largest response body that is read.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The object doesn't exist.
    #[snafu(display("no object `{name}` of kind {kind}"))]
    NotFound {
        /// The object's kind.
        kind: &'static str,
        /// The object's name.
        name: String,
    },
    /// Another writer changed the object first, or the object to create already exists.
    #[snafu(display("object `{name}` of kind {kind} was changed by another writer"))]
    Conflict {
        /// The object's kind.
        kind: &'static str,
        /// The object's name.
        name: String,
    },
    /// The platform rejected the call with a status other than 404 and 409, which may be temporary.
    #[snafu(display("the platform is rate limiting or unavailable (status {status})"))]
    Busy {
        /// The HTTP status.
        status: u16,
    },
    /// The platform didn't respond; a write may have taken effect.
    #[snafu(display("no response from the platform at {url}: {cause}"))]
    Lost {
        /// URL of the call.
        url: String,
        /// Error message of the HTTP client.
        cause: String,
    },
    /// The response isn't valid JSON of the expected type.
    #[snafu(display("invalid response from the platform at {url}: {cause}"))]
    Unreadable {
        /// URL of the call.
        url: String,
        /// Error message of the JSON parser.
        cause: String,
    },
}

/// Client of the object API at one address.
#[derive(Debug, Clone)]
pub struct Client {
    base: Arc<str>,
    agent: ureq::Agent,
    watch_agent: ureq::Agent,
}

impl Client {
    /// Creates a client for the platform at `address`, an IP address and port.
    pub fn new(address: &str) -> Client {
        let call_config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        let watch_config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Client {
            base: format!("http://{address}").into(),
            agent: call_config.into(),
            watch_agent: watch_config.into(),
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
    /// Returns [`Error::NotFound`] if the object doesn't exist, or another error if the call fails.
    pub fn get<T: DeserializeOwned>(&self, kind: Kind, name: &str) -> Result<Object<T>, Error> {
        let url = self.url(kind, name);
        let response = self.agent.get(&url).call();
        read(response, &url, kind, name)
    }

    /// Lists the objects of a kind, only those with the label if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the call to the platform fails.
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

    /// Writes an object: creates it if it has no version, otherwise updates exactly that version.
    ///
    /// Returns the object with its new version.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if another writer was first, and [`Error::Lost`] if the platform
    /// didn't respond and the write may have taken effect.
    pub fn write<T: Serialize + DeserializeOwned>(
        &self,
        kind: Kind,
        object: &Object<T>,
    ) -> Result<Object<T>, Error> {
        let name = &object.metadata.name;
        let is_new = object.metadata.resource_version.is_empty();
        let url = self.url(kind, if is_new { "" } else { name });
        let call = if is_new {
            self.agent.post(&url)
        } else {
            self.agent.put(&url)
        };
        read(call.send_json(object), &url, kind, name)
    }

    /// Watches for changes of a kind that are newer than `version` and passes each to `on_change`,
    /// until the platform ends the watch or `on_change` returns false.
    ///
    /// # Errors
    ///
    /// Returns an error if the watch can't be started or its connection breaks.
    pub fn watch<T: DeserializeOwned>(
        &self,
        kind: Kind,
        version: u64,
        duration: Duration,
        mut on_change: impl FnMut(Change<T>) -> bool,
    ) -> Result<(), Error> {
        let url = self.url(kind, "");
        let response = self
            .watch_agent
            .get(&url)
            .query("watch", "1")
            .query("resourceVersion", version.to_string())
            .query("timeoutSeconds", duration.as_secs().to_string())
            .config()
            .timeout_global(Some(duration + CALL_TIMEOUT))
            .build()
            .call();
        let mut response = response.map_err(|cause| lost(&url, &cause))?;
        check_status(response.status().as_u16(), kind, "")?;
        let lines = BufReader::new(response.body_mut().as_reader()).lines();
        for line in lines {
            let line = line.map_err(|cause| Error::Lost {
                url: url.clone(),
                cause: cause.to_string(),
            })?;
            let change = serde_json::from_str(&line).map_err(|cause| unreadable(&url, &cause))?;
            if !on_change(change) {
                break;
            }
        }
        Ok(())
    }

    /// Reads the platform's list of nodes at `path`.
    pub(crate) fn get_path<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let url = format!("{}{path}", self.base);
        let nodes = Kind {
            plural: "nodes",
            name: "Node",
        };
        read(self.agent.get(&url).call(), &url, nodes, "")
    }
}

type CallResult = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn read<T: DeserializeOwned>(
    response: CallResult,
    url: &str,
    kind: Kind,
    name: &str,
) -> Result<T, Error> {
    let mut response = response.map_err(|cause| lost(url, &cause))?;
    check_status(response.status().as_u16(), kind, name)?;
    let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
    let text = body.read_to_string().map_err(|cause| lost(url, &cause))?;
    serde_json::from_str(&text).map_err(|cause| unreadable(url, &cause))
}

fn check_status(status: u16, kind: Kind, name: &str) -> Result<(), Error> {
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
