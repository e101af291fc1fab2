//! `alderglade report`: how fast service-level budgets burn.

use super::{Arguments, Error, PlatformSnafu};
use crate::plot;
use crate::shell::Shell;
use alderglade_core::slo::{Burn, burn};
use alderglade_platform::slo;
use snafu::ResultExt;
use std::time::{SystemTime, UNIX_EPOCH};

pub(super) const HELP: &str = "\
Show how fast the service-level budgets burn, the worst first.

Usage: alderglade report --platform ADDRESS [--plot FILE.svg] [--json]

FAST is the last 5 minutes, SLOW the last hour. A burn of 1 uses the budget up exactly; LEFT is
the part of the hour's budget that is left. Hosts publish every 10 s, those with more than 50 series
every minute: what a host counted after its last publication is lost if it is killed, and is kept
by a planned stop. A host publishes its 500 busiest series one by one and the others as (rest).
";

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    let client = arguments.client()?;
    let action = "read what the hosts counted";
    let logs = slo::read_all(&client).context(PlatformSnafu { action })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let burns = burn(&logs, now.as_millis() as u64);
    if let Some(path) = &arguments.plot {
        plot::burn(path, &burns)?;
    }
    shell.result(&burns, &table(&burns));
    Ok(())
}

fn table(burns: &[Burn]) -> String {
    let mut text = format!(
        "{:<20} {:<12} {:>9} {:>8} {:>8} {:>7} {:>9} {:>8}\n",
        "WORKSPACE", "CLASS", "OBJECTIVE", "FAST", "SLOW", "LEFT", "REQUESTS", "REFUSED"
    );
    for burn in burns {
        text += &format!(
            "{:<20} {:<12} {:>8.1}% {:>8.2} {:>8.2} {:>6.0}% {:>9} {:>8}\n",
            burn.workspace,
            if burn.class.is_empty() {
                "-"
            } else {
                &burn.class
            },
            f64::from(burn.objective_per_mille) / 10.0,
            burn.fast_burn,
            burn.slow_burn,
            burn.budget_left * 100.0,
            burn.slow.total,
            burn.slow.refused,
        );
    }
    if burns.is_empty() {
        text += "no host has published counts yet\n";
    }
    text
}
