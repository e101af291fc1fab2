//! How the prompts of each route ended by their length, to show whether the longest ones of a kind of request are served
//! as often as the others.
//!
//! A caller that is refused and retries asks for the same thing again. Attempts with the same fingerprint therefore count
//! as one request, which is served if one of them is.

use super::{Outcome, end, highest, stories, text};
use crate::command::explain::Line;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// A part of the requests of a route by the length of their prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// All requests with a prompt.
    All,
    /// The tenth with the longest prompts.
    LargestTenth,
    /// The fifth with the longest prompts below that tenth.
    NextFifth,
    /// All requests below that fifth.
    Rest,
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Part::All => "all",
            Part::LargestTenth => "largest tenth",
            Part::NextFifth => "fifth below it",
            Part::Rest => "the others",
        })
    }
}

/// The requests of one part of a route, by how they ended.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Size {
    /// The route.
    pub route: String,
    /// The part of its requests.
    pub part: Part,
    /// The length of the shortest prompt of the part, in tokens.
    pub from_tokens: u64,
    /// The number of requests.
    pub requests: u64,
    /// Requests among them that were answered, in time or late.
    pub served: u64,
    /// Requests among them that were answered in time.
    pub in_time: u64,
    /// How the requests that were not served ended, by the last attempt of each.
    pub not_served: BTreeMap<String, u64>,
}

impl Size {
    fn of(route: &str, part: Part, requests: &[Request<'_>]) -> Option<Size> {
        let mut size = Size {
            route: route.to_string(),
            part,
            from_tokens: requests.first()?.prompt,
            requests: requests.len() as u64,
            served: 0,
            in_time: 0,
            not_served: BTreeMap::new(),
        };
        for request in requests {
            size.add(request);
        }
        Some(size)
    }

    /// Counts one request.
    fn add(&mut self, request: &Request<'_>) {
        match request.outcome {
            Outcome::InTime => {
                self.served += 1;
                self.in_time += 1;
            }
            Outcome::Late => self.served += 1,
            Outcome::Refused | Outcome::Failed => {
                *self.not_served.entry(request.cause.clone()).or_default() += 1;
            }
        }
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = self.served as f64 / self.requests as f64;
        write!(
            f,
            "{:<20} {:<14} {:>9} {:>8} {:>8} {share:>7.2} {:>8}  ",
            self.route, self.part, self.from_tokens, self.requests, self.served, self.in_time
        )?;
        let mut causes: Vec<(&String, &u64)> = self.not_served.iter().collect();
        causes.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let causes: Vec<String> = causes
            .into_iter()
            .map(|(cause, count)| format!("{count} {cause}"))
            .collect();
        writeln!(f, "{}", causes.join("; "))
    }
}

/// A request with all attempts of its caller.
struct Request<'a> {
    route: &'a str,
    prompt: u64,
    outcome: Outcome,
    cause: String,
}

impl<'a> Request<'a> {
    /// Returns the request of one attempt, by its lines in order; `None` if they state no route or no prompt.
    fn of(story: &[&'a Line]) -> Option<Request<'a>> {
        let route = story.iter().find_map(|line| text(line, "route"))?;
        let prompt = highest(story, "prompt");
        let end = end(story);
        (prompt > 0).then_some(Request {
            route,
            prompt,
            outcome: end.outcome,
            cause: end.cause,
        })
    }

    fn is_served(&self) -> bool {
        matches!(self.outcome, Outcome::InTime | Outcome::Late)
    }
}

/// Sums up requests by route and length; parts without requests are left out.
pub fn sizes(lines: &[Line]) -> Vec<Size> {
    let mut routes: BTreeMap<&str, Vec<Request<'_>>> = BTreeMap::new();
    for request in requests(lines) {
        routes.entry(request.route).or_default().push(request);
    }
    let sizes = routes.into_iter().flat_map(|(route, mut requests)| {
        requests.sort_by_key(|request| request.prompt);
        let (below, tenth) = requests.split_at(requests.len() - requests.len() / 10);
        let (rest, fifth) = below.split_at(below.len() - requests.len() / 5);
        let parts = [
            (Part::All, &requests[..]),
            (Part::LargestTenth, tenth),
            (Part::NextFifth, fifth),
            (Part::Rest, rest),
        ];
        parts.map(|(part, requests)| Size::of(route, part, requests))
    });
    sizes.flatten().collect()
}

/// Returns the requests that state a route and a prompt. Of several attempts, one that was served counts, or else the
/// last.
fn requests(lines: &[Line]) -> Vec<Request<'_>> {
    let mut requests: BTreeMap<&str, (u64, Request<'_>)> = BTreeMap::new();
    for (id, story) in stories(lines) {
        let Some(request) = Request::of(&story) else {
            continue;
        };
        let ended = story.last().map_or(0, |line| line.at_ms);
        let asked = story.iter().find_map(|line| text(line, "asked"));
        let attempt = (ended, request);
        match requests.get(asked.unwrap_or(id)) {
            Some((_, known)) if known.is_served() => {}
            Some((known_ended, _)) if !attempt.1.is_served() && *known_ended > ended => {}
            _ => {
                requests.insert(asked.unwrap_or(id), attempt);
            }
        }
    }
    requests.into_values().map(|(_, request)| request).collect()
}

/// Writes sizes as a table. The text is empty if the log states no routes of prompts.
pub fn table(sizes: &[Size]) -> String {
    if sizes.is_empty() {
        return String::new();
    }
    let head = format!(
        "\n{:<20} {:<14} {:>9} {:>8} {:>8} {:>7} {:>8}  {}\n",
        "route",
        "prompts",
        "from",
        "requests",
        "served",
        "share",
        "in time",
        "not served, by reason"
    );
    sizes
        .iter()
        .fold(head, |text, size| text + &size.to_string())
}
