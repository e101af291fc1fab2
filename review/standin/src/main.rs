//! The stand-ins and the cases of the review, one subcommand each. A case exits with 1 if the rule was broken, 0 if it
//! held and 2 if it couldn't run.

mod client;
mod drain;
mod host;
mod http;
mod json;
mod leaving;
mod limits;
mod links;
mod platform;
mod process;
mod record;
mod revoke;
mod store;
mod truncated;
mod worker;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// The longest time of a run.
const LIMIT: Duration = Duration::from_secs(115);

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    if case == "worker" {
        process::run(record);
        return ExitCode::from(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(Path::new(record));
    let folder = Path::new(folder);
    host::end_after(LIMIT);
    let verdict = match case.as_str() {
        "drain" => drain::run(&record, folder, trouble),
        "revoke" => revoke::run(&record, folder, trouble),
        "truncated" => truncated::run(&record, folder, trouble),
        "leaving" => leaving::run(&record, folder, trouble),
        "limits" => limits::run(&record, folder, trouble),
        _ => Verdict::CouldNotRun(format!("no case {case}")),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_string(), 0),
        Verdict::Broken => ("THE RULE WAS BROKEN".to_string(), 1),
        Verdict::CouldNotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record.say(&text);
    record.flush();
    ExitCode::from(code)
}
