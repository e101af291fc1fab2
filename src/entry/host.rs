//! The host's own settings: who it is and where it listens.

use super::{Error, ReadSnafu};
use alderglade_core::Name;
use alderglade_core::settings::check;
use serde::Deserialize;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// The host's own settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Host {
    /// Its name, as the platform's list has it.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where other entry hosts come.
    pub peers: SocketAddr,
    /// Where others reach it, if that isn't `peers` itself.
    #[serde(default)]
    pub peers_seen_as: Option<SocketAddr>,
    /// Where operators and the balancer come.
    pub operators: SocketAddr,
    /// Peer addresses of other hosts of the domain, to start by while the platform is out of reach.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform.
    pub platform: SocketAddr,
    /// Requests in hand at most.
    #[serde(default = "most")]
    pub max_requests: usize,
    /// How much is logged.
    #[serde(default = "level")]
    pub log_level: log::LevelFilter,
    /// A planned stop takes at most this long, in milliseconds.
    #[serde(default = "drain_limit")]
    pub drain_limit_ms: u64,
    /// The platform's list is read this often, in milliseconds.
    #[serde(default = "list_every")]
    pub list_every_ms: u64,
}

fn most() -> usize {
    2_048
}

fn level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn drain_limit() -> u64 {
    600_000
}

fn list_every() -> u64 {
    1_000
}

impl Host {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Where it can't be read, or a field is unknown, missing or wrong.
    pub(crate) fn read(path: &Path) -> Result<Host, Error> {
        let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
        check::read(&text).map_err(|fault| Error::Settings {
            path: path.to_path_buf(),
            detail: fault.to_string(),
        })
    }

    /// Gives the longest time that a planned stop takes.
    pub(crate) fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}
