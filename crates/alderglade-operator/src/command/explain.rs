//! `alderglade explain`: the story of one request, or where worth was lost over all, from the structured logs of entry hosts.

pub mod summary;

use super::{Arguments, Error, usage};
use crate::shell::Shell;
use serde::ser::{Serialize, SerializeSeq, Serializer};
use serde_json::{Map, Value};
use std::io::BufRead;
use summary::{group, size};

pub(super) const HELP: &str = "\
Tell the story of one request from the logs of entry hosts.

Usage: alderglade explain REQUEST-ID [LOG...] [--json]
       alderglade explain --summary [LOG...] [--json]

Reads the files, or standard input where none is named. What stands before the `{` of a line, such as a
time and a host, is kept; a line without it is told under the name of its file. Lines that say how the
host stood before the request (configuration, store, servers, peers) are told too, the last of each kind,
and when it was asked to stop meanwhile. So are the departures of the servers that it was sent to, before
and after it.

With --summary: how many requests ended in which way, by the length of their prompts, and what worth was lost
by it (an ordinary short reply is worth about one), the greatest loss first. After that the same by workspace,
failure domain and rank (0 is the highest), as far as the logs state them; the failure domain is that of the host,
from its `started` line. Then, for each route whose requests have prompts, how many were served of the tenth with the longest
prompts, of the fifth below it and of the others, and why the rest was not; a caller's attempts count as one request. With
--json, rows by cause have `cause`, those that follow have `workspace`, and the last ones have `part`.

Exit codes: 0 told, 1 nothing found or a file can't be read, 2 wrong usage
";

/// Fields of a line that every line has.
const COMMON: [&str; 5] = ["at_ms", "n", "level", "event", "id"];
/// Events that say how a host stands, beside any request.
const STANDING: [&str; 8] = [
    "config_in_force",
    "servers_changed",
    "store_lost",
    "store_back",
    "store_reach",
    "peer_joined",
    "peer_lost",
    STOPPING,
];
/// The event of a process that begins to serve: what its host stood at before is over.
const STARTED: &str = "started";
/// The event of a host that is asked to stop.
const STOPPING: &str = "stopping";
/// The event of a request that is sent to a server.
const PLACED: &str = "placed";
/// The events of a server's departure.
const DEPARTURE: [&str; 3] = ["server_departing", "server_dropped", "server_returned"];

/// One line of a log, understood.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Line {
    /// Where it comes from: what stood before it, or its file.
    pub source: String,
    /// The time on the host's steady clock, in milliseconds since its start.
    pub at_ms: u64,
    /// The number of the event.
    pub number: u64,
    /// The event.
    pub event: String,
    /// The request that it speaks of, if any.
    pub id: Option<String>,
    /// What else it says.
    pub details: Map<String, Value>,
}

impl Line {
    /// Understands a line of the log; `None` where it is no event.
    pub fn read(file: &str, text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let (before, object) = text.split_at(start);
        let mut object: Map<String, Value> = serde_json::from_str(object.trim()).ok()?;
        let event = object.get("event")?.as_str()?.to_string();
        let at_ms = object.get("at_ms")?.as_u64()?;
        let number = object.get("n")?.as_u64()?;
        let id = object.get("id").and_then(Value::as_str).map(str::to_string);
        object.retain(|name, _| !COMMON.contains(&name.as_str()));
        let before = before.trim();
        Some(Line {
            source: if before.is_empty() { file } else { before }.to_string(),
            at_ms,
            number,
            event,
            id,
            details: object,
        })
    }

    fn text(&self) -> String {
        let details: Vec<String> = self
            .details
            .iter()
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let details = details.join(", ");
        format!(
            "{:>9} ms  [{}] {:<16} {details}  ({})\n",
            self.at_ms, self.number, self.event, self.source
        )
    }
}

/// The lines that tell a request's story: for each file, the host's standing before it, its own lines, and among them when
/// the host was asked to stop and how the servers departed that it was sent to.
pub fn story(lines: &[Line], id: &str) -> Vec<Line> {
    let is_own = |line: &Line| line.id.as_deref() == Some(id);
    let Some(first) = lines.iter().position(is_own) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(is_own).unwrap_or(first);
    let host = host_of(&lines[first]);
    let mut standing: Vec<Line> = Vec::new();
    for line in &lines[..first] {
        if host_of(line) != host {
            continue;
        }
        if line.event == STARTED {
            standing.clear();
        }
        if STANDING.contains(&line.event.as_str()) {
            standing.retain(|known| known.event != line.event);
            standing.push(line.clone());
        }
    }
    let own = &lines[first..=last];
    let placed = own
        .iter()
        .filter(|line| is_own(line) && line.event == PLACED);
    let servers: Vec<&Value> = placed
        .filter_map(|line| line.details.get("server"))
        .collect();
    let departs = |line: &Line| {
        let server = line.details.get("server");
        DEPARTURE.contains(&line.event.as_str())
            && server.is_some_and(|server| servers.contains(&server))
    };
    let story = lines.iter().enumerate().filter(|(index, line)| {
        let stops = (first..=last).contains(index) && line.event == STOPPING;
        is_own(line) || (host_of(line) == host && (stops || departs(line)))
    });
    let story = story.map(|(_, line)| line.clone());
    standing.into_iter().chain(story).collect()
}

/// Gives the part of a line's source that names its host: the last word, after a time.
fn host_of(line: &Line) -> &str {
    line.source.split_whitespace().last().unwrap_or("")
}

pub(super) fn run(arguments: &Arguments, shell: &Shell) -> Result<(), Error> {
    if arguments.summary {
        return sum_up(&arguments.operands, shell);
    }
    let [id, files @ ..] = arguments.operands.as_slice() else {
        return Err(usage(
            "`alderglade explain` needs a request id or `--summary`",
        ));
    };
    let mut told = Vec::new();
    each_log(files, |lines| told.extend(story(&lines, id)))?;
    if told.is_empty() {
        return Err(Error::NotFound { id: id.clone() });
    }
    let text: String = told.iter().map(Line::text).collect();
    shell.result(&told, &text);
    Ok(())
}

/// The summary for programs: one array, so that programs that read the rows by cause still find them at its beginning.
struct Summary {
    rows: Vec<summary::Row>,
    groups: Vec<group::Group>,
    sizes: Vec<size::Size>,
}

impl Serialize for Summary {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let length = self.rows.len() + self.groups.len() + self.sizes.len();
        let mut array = serializer.serialize_seq(Some(length))?;
        self.rows
            .iter()
            .try_for_each(|row| array.serialize_element(row))?;
        self.groups
            .iter()
            .try_for_each(|group| array.serialize_element(group))?;
        self.sizes
            .iter()
            .try_for_each(|size| array.serialize_element(size))?;
        array.end()
    }
}

fn sum_up(files: &[String], shell: &Shell) -> Result<(), Error> {
    let mut lines = Vec::new();
    each_log(files, |log| lines.extend(log))?;
    let rows = summary::rows(&lines);
    let groups = group::groups(&lines);
    let sizes = size::sizes(&lines);
    let text = summary::table(&rows) + &group::table(&groups) + &size::table(&sizes);
    let summary = Summary {
        rows,
        groups,
        sizes,
    };
    shell.result(&summary, &text);
    Ok(())
}

/// Reads the files one after the other, or standard input where none is named, and hands on the lines of each.
fn each_log(files: &[String], mut take: impl FnMut(Vec<Line>)) -> Result<(), Error> {
    if files.is_empty() {
        take(read("standard input", std::io::stdin().lock())?);
    }
    for file in files {
        let opened = std::fs::File::open(file).map_err(|cause| log_error(file, &cause))?;
        take(read(file, std::io::BufReader::new(opened))?);
    }
    Ok(())
}

fn read(file: &str, reader: impl BufRead) -> Result<Vec<Line>, Error> {
    let mut lines = Vec::new();
    for text in reader.lines() {
        let text = text.map_err(|cause| log_error(file, &cause))?;
        lines.extend(Line::read(file, &text));
    }
    Ok(lines)
}

fn log_error(file: &str, cause: &std::io::Error) -> Error {
    Error::Log {
        file: file.to_string(),
        cause: cause.to_string(),
    }
}
