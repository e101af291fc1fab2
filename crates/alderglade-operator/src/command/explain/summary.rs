//! Where worth was lost, over all requests of some logs: by the length of the prompt and by cause.
//!
//! Each request is counted once, under the one thing that ended it or made it late. Lost worth says what to look at
//! first: a thousand late short replies may weigh less than ten long prompts that were refused.

pub mod group;
pub mod size;

use super::Line;
use alderglade_core::fleet::placement::{self, LATE_VALUE, SHORT_PROMPT_TOKENS};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// Prompts from this length on, in tokens, are counted apart: they take up many engines for a good part of a second.
const GIANT_PROMPT: u64 = 100_000;
/// The part of a late first event that a request must have been held for to be late by that.
const HELD: f64 = 0.5;
/// A first event counts as later than planned from this many times the expected time on.
const SLOWER: f64 = 2.0;

/// The length of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Length {
    /// No prompt: a call to a plain backend server.
    Plain,
    /// Under 12 thousand tokens.
    Short,
    /// Under 100 thousand tokens.
    Long,
    /// More.
    Giant,
}

impl Length {
    fn of(prompt: u64) -> Length {
        match prompt {
            0 => Length::Plain,
            1..SHORT_PROMPT_TOKENS => Length::Short,
            SHORT_PROMPT_TOKENS..GIANT_PROMPT => Length::Long,
            _ => Length::Giant,
        }
    }
}

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Length::Plain => "plain call",
            Length::Short => "under 12k",
            Length::Long => "under 100k",
            Length::Giant => "100k and more",
        })
    }
}

/// What requests of one length that ended in one way come to.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The length of their prompts.
    pub length: Length,
    /// How they ended, and why.
    pub cause: String,
    /// How many they are.
    pub requests: u64,
    /// What they were worth and did not earn, where an ordinary short reply is worth about one.
    pub lost: f64,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row {
            length,
            cause,
            requests,
            lost,
        } = self;
        writeln!(f, "{length:<14} {requests:>8} {lost:>10.1}  {cause}")
    }
}

/// The ways in which requests end, as far as groups tell them apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    InTime,
    Late,
    Refused,
    /// Answered with an error, broken off, cut off or without an end in the log.
    Failed,
}

/// How a request ended.
struct End {
    outcome: Outcome,
    cause: String,
    /// The part of its worth that it did not earn.
    lost: f64,
}

impl End {
    fn lost(cause: impl Into<String>) -> End {
        End {
            outcome: Outcome::Failed,
            cause: cause.into(),
            lost: 1.0,
        }
    }

    fn refused(cause: String) -> End {
        End {
            outcome: Outcome::Refused,
            ..End::lost(cause)
        }
    }

    fn late(cause: impl Into<String>) -> End {
        End {
            outcome: Outcome::Late,
            cause: format!("late: {}", cause.into()),
            lost: 1.0 - LATE_VALUE,
        }
    }
}

/// Returns the lines of each request in order, by its id.
fn stories(lines: &[Line]) -> BTreeMap<&str, Vec<&Line>> {
    let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
    for line in lines {
        if let Some(id) = line.id.as_deref() {
            requests.entry(id).or_default().push(line);
        }
    }
    requests
}

/// Sums up what the lines say of requests; the greatest loss comes first.
pub fn rows(lines: &[Line]) -> Vec<Row> {
    let mut sums: BTreeMap<(Length, String), Row> = BTreeMap::new();
    for story in stories(lines).values() {
        add(&mut sums, story);
    }
    let mut rows: Vec<Row> = sums.into_values().collect();
    rows.sort_by(|a, b| b.lost.total_cmp(&a.lost).then(b.requests.cmp(&a.requests)));
    rows
}

/// Writes rows as a table.
pub fn table(rows: &[Row]) -> String {
    let head = format!(
        "{:<14} {:>8} {:>10}  {}\n",
        "prompt", "requests", "worth lost", "how it ended"
    );
    rows.iter().fold(head, |text, row| text + &row.to_string())
}

/// Counts one request.
fn add(sums: &mut BTreeMap<(Length, String), Row>, story: &[&Line]) {
    let prompt = highest(story, "prompt");
    let length = Length::of(prompt);
    let end = end(story);
    let row = sums.entry((length, end.cause.clone())).or_insert(Row {
        length,
        cause: end.cause,
        requests: 0,
        lost: 0.0,
    });
    row.requests += 1;
    row.lost += end.lost * placement::value(prompt);
}

/// Gives how a request ended, by its lines in order.
fn end(story: &[&Line]) -> End {
    let failure = story
        .iter()
        .rev()
        .find(|line| line.event == "attempt_failed");
    let failure = failure.and_then(|line| text(line, "problem"));
    let last = story.iter().rev().find(|line| {
        matches!(
            line.event.as_str(),
            "answered" | "refused" | "broken_off" | "caller_left"
        )
    });
    // What a stop cuts off is ended in the words of its kind, which say less.
    let cut = story.iter().find(|line| line.event == "cut_off");
    let Some(last) = cut.or(last) else {
        return End::lost("no end: its host was killed or cut off");
    };
    match last.event.as_str() {
        "answered" => answered(story, last, failure),
        "refused" => End::refused(refused(story, last, failure)),
        "broken_off" => End::lost(format!("broken off after: {}", failure.unwrap_or("-"))),
        "cut_off" => End::lost(cut_off(last)),
        _ => End::lost("the caller left"),
    }
}

/// Gives how a request ended that the end of a stop cut off.
fn cut_off(last: &Line) -> &'static str {
    match number(last, "came_stopping_ms") {
        Some(_) => "cut off by a stop that it came after",
        None => "cut off by a stop that it came before",
    }
}

/// Gives how an answered request ended: in time, or what made it late.
fn answered(story: &[&Line], last: &Line, failure: Option<&str>) -> End {
    let status = number(last, "status").unwrap_or(0);
    if status != 200 {
        return End::lost(format!("the server's own {status}"));
    }
    let first = number(last, "first_ms").unwrap_or(0);
    let in_time = number(last, "aim_ms").is_none_or(|aim| first <= aim);
    let pause = number(last, "longest_pause_ms").unwrap_or(0);
    let steady = number(last, "pause_aim_ms").is_none_or(|bears| pause <= bears);
    match failure {
        _ if in_time && steady => End {
            outcome: Outcome::InTime,
            cause: "in time".to_string(),
            lost: 0.0,
        },
        Some(problem) => End::late(format!("after: {problem}")),
        None if in_time => End::late("a pause"),
        None => End::late(late_by(story, first)),
    }
}

/// Gives what made the first event late of a request that no server failed.
fn late_by(story: &[&Line], first: u64) -> &'static str {
    let placed = story.iter().rev().find(|line| line.event == "placed");
    let of_placed = |name| placed.and_then(|line| number(line, name)).unwrap_or(0) as f64;
    let (waited, expected) = (of_placed("waited_ms"), of_placed("expected_ms"));
    if waited > HELD * first as f64 {
        "held"
    } else if of_placed("slot_wait_ms") > HELD * (first as f64 - waited) {
        "no free slot"
    } else if first as f64 - waited > SLOWER * expected {
        "later than planned"
    } else {
        "planned late"
    }
}

/// Gives why a request was refused.
fn refused(story: &[&Line], last: &Line, failure: Option<&str>) -> String {
    let kind = text(last, "kind").unwrap_or("-");
    let held = story.iter().rev().find(|line| line.event == "held");
    let reason = held.and_then(|line| text(line, "reason"));
    let short_of = text(last, "reason");
    match (failure, reason) {
        (Some(problem), _) => format!("refused ({kind}) after: {problem}"),
        (None, Some(reason)) => format!("refused ({kind}), held for: {reason}"),
        (None, None) => match short_of {
            Some(short_of) => format!("refused ({kind}) at once for: {short_of}"),
            None => format!("refused ({kind}) at once"),
        },
    }
}

/// Returns the highest number of this name in the lines of a request; `0` if there is none.
fn highest(story: &[&Line], name: &str) -> u64 {
    let numbers = story.iter().filter_map(|line| number(line, name));
    numbers.max().unwrap_or(0)
}

fn number(line: &Line, name: &str) -> Option<u64> {
    line.details.get(name).and_then(Value::as_u64)
}

fn text<'a>(line: &'a Line, name: &str) -> Option<&'a str> {
    line.details.get(name).and_then(Value::as_str)
}
