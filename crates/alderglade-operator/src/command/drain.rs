//! `alderglade drain`: a planned stop of one entry host.

use super::{Arguments, Error, PlatformSnafu};
use crate::shell::Shell;
use alderglade_platform::hosts;
use snafu::ResultExt;

pub(super) const HELP: &str = "\
Have an entry host finish what it has in hand and stop.

Usage: alderglade drain HOST --platform ADDRESS [--json]

The host leaves the balancer, refuses new requests, hands queued work to the next host and
exits once nothing is in hand.
";

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let name = arguments.operand("a HOST")?;
    let client = arguments.client()?;
    let action = "list the entry hosts";
    let listed = hosts::list(&client).context(PlatformSnafu { action })?;
    let found = listed.operated.into_iter().find(|host| &*host.name == name);
    let Some(host) = found else {
        let cause = "the platform lists no such entry host".into();
        let host = name.into();
        return Err(Error::Host { host, cause });
    };
    let answer = ureq::post(format!("http://{}/drain", host.address)).send_empty();
    answer.map_err(|cause| Error::Host {
        host: name.into(),
        cause: cause.to_string(),
    })?;
    shell.result(
        &name,
        &format!("{name} is draining; `alderglade status` shows when it is gone"),
    );
    Ok(())
}
