//! `alderglade status`: each entry host and its settings revision.

use super::{Arguments, Error, PlatformSnafu};
use crate::pages::Status;
use crate::shell::Shell;
use alderglade_platform::Client;
use alderglade_platform::hosts::{self, Operated};
use serde::Serialize;
use snafu::ResultExt;
use std::time::{Duration, Instant};

pub(super) const HELP: &str = "\
Show each entry host: ready, settings revision, requests in hand.

Usage: alderglade status --platform ADDRESS [--wait REVISION] [--json]

With --wait: until every listed host has at least that revision in force, 60 s at most.
";

const WAIT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(250);
const CALL_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize)]
struct Row {
    host: String,
    status: Option<Status>,
}

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let client = arguments.client()?;
    let began = Instant::now();
    loop {
        let rows = ask_all(&client)?;
        let wanted = arguments.wait.unwrap_or(0);
        let behind = rows.iter().filter(|row| !has(row, wanted)).count();
        if arguments.wait.is_none() || behind == 0 {
            shell.progress_done();
            shell.result(&rows, &table(&rows));
            return Ok(());
        }
        if began.elapsed() > WAIT {
            shell.note(table(&rows));
            let detail = format!(
                "{behind} of {} hosts are behind revision {wanted}",
                rows.len()
            );
            return Err(Error::Waited { detail });
        }
        shell.progress(format!(
            "{behind} of {} hosts behind revision {wanted}",
            rows.len()
        ));
        std::thread::sleep(PAUSE);
    }
}

fn has(row: &Row, revision: u64) -> bool {
    row.status
        .as_ref()
        .is_some_and(|status| status.revision >= revision)
}

fn ask_all(client: &Client) -> Result<Vec<Row>, Error> {
    let action = "list the entry hosts";
    let hosts = hosts::list(client).context(PlatformSnafu { action })?;
    let row = |host: Operated| Row {
        status: ask(&host).ok(),
        host: host.name.to_string(),
    };
    Ok(hosts.operated.into_iter().map(row).collect())
}

/// Asks one host for its state.
pub(super) fn ask(host: &Operated) -> Result<Status, Error> {
    let failed = |cause: ureq::Error| Error::Host {
        host: host.name.to_string(),
        cause: cause.to_string(),
    };
    let url = format!("http://{}/status", host.address);
    let call = ureq::get(&url)
        .config()
        .timeout_global(Some(CALL_LIMIT))
        .build();
    let mut answer = call.call().map_err(failed)?;
    answer.body_mut().read_json().map_err(failed)
}

fn table(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<16} {:<14} {:<10} {:>9} {:>8}\n",
        "HOST", "DOMAIN", "STATE", "REVISION", "IN HAND"
    );
    for row in rows {
        text += &match &row.status {
            Some(status) => format!(
                "{:<16} {:<14} {:<10} {:>9} {:>8}\n",
                row.host,
                status.domain,
                state(status),
                status.revision,
                status.inflight
            ),
            None => format!("{:<16} {:<14} {:<10}\n", row.host, "-", "no answer"),
        };
    }
    text
}

fn state(status: &Status) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}
