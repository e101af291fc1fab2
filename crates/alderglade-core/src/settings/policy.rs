//! Resolves the values in force for a request, and the branch that set each of them.

use super::tree::Tree;
use crate::lane::Priority;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The values that a branch may set. Those that are `None` are inherited.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The priority of the requests.
    pub priority: Option<Priority>,
    /// The time after which a request fails if it has not finished, in milliseconds.
    pub time_allowed_ms: Option<u64>,
    /// Maximum number of tokens of an answer.
    pub max_output_tokens: Option<u64>,
    /// The weight of the workspace in the fair share of scarce engines.
    pub weight: Option<u32>,
    /// Maximum number of requests that a workspace may start per second, over all entry hosts.
    pub requests_per_second: Option<u64>,
    /// Maximum number of prompt tokens that a workspace may start per second, over all entry hosts.
    pub tokens_per_second: Option<u64>,
    /// The latency objective for the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The share of requests that have to meet the objectives, in thousandths.
    pub objective_per_mille: Option<u32>,
}

/// The values in force for one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Resolved {
    /// The priority of the request.
    pub priority: Priority,
    /// The time after which the request fails if it has not finished.
    pub time_allowed: Duration,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// The weight of the workspace in the fair share of scarce engines.
    pub weight: u32,
    /// Maximum number of requests per second; `None` means no limit.
    pub requests_per_second: Option<u64>,
    /// Maximum number of prompt tokens per second; `None` means no limit.
    pub tokens_per_second: Option<u64>,
    /// The latency objective for the first token.
    pub first_token: Duration,
    /// The share of requests that have to meet the objectives, in thousandths.
    pub objective_per_mille: u32,
}

/// The value in force of a field, and the branch that set it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Origin {
    /// The field's name in the settings files.
    pub field: &'static str,
    /// The value as JSON text.
    pub value: String,
    /// The path of the branch, such as `fleet.classes.desk`; `default` if no branch sets the field.
    pub branch: String,
}

/// A branch that applies to a request, with its path in the tree.
struct Level<'a> {
    path: String,
    policy: &'a Policy,
}

const DEFAULT_TIME_ALLOWED: Duration = Duration::from_secs(60);
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(350);
const DEFAULT_OBJECTIVE_PER_MILLE: u32 = 950;

impl Tree {
    /// Returns the values in force for a request of `workspace` and `class` to `model`.
    ///
    /// Branches that don't exist are skipped.
    pub fn resolve(&self, workspace: &str, class: &str, model: &str) -> Resolved {
        let levels = self.levels(workspace, class, model);
        Resolved {
            priority: innermost(&levels, |p| p.priority).unwrap_or(Priority::Normal),
            time_allowed: innermost(&levels, |p| p.time_allowed_ms)
                .map_or(DEFAULT_TIME_ALLOWED, Duration::from_millis),
            max_output_tokens: innermost(&levels, |p| p.max_output_tokens)
                .unwrap_or(DEFAULT_OUTPUT_TOKENS),
            weight: innermost(&levels, |p| p.weight).unwrap_or(DEFAULT_WEIGHT),
            requests_per_second: innermost(&levels, |p| p.requests_per_second),
            tokens_per_second: innermost(&levels, |p| p.tokens_per_second),
            first_token: innermost(&levels, |p| p.first_token_ms)
                .map_or(DEFAULT_FIRST_TOKEN, Duration::from_millis),
            objective_per_mille: innermost(&levels, |p| p.objective_per_mille)
                .unwrap_or(DEFAULT_OBJECTIVE_PER_MILLE),
        }
    }

    /// Returns each value in force with the branch that set it.
    pub fn explain(&self, workspace: &str, class: &str, model: &str) -> Vec<Origin> {
        let levels = self.levels(workspace, class, model);
        vec![
            origin(&levels, "priority", |p| p.priority),
            origin(&levels, "time_allowed_ms", |p| p.time_allowed_ms),
            origin(&levels, "max_output_tokens", |p| p.max_output_tokens),
            origin(&levels, "weight", |p| p.weight),
            origin(&levels, "requests_per_second", |p| p.requests_per_second),
            origin(&levels, "tokens_per_second", |p| p.tokens_per_second),
            origin(&levels, "first_token_ms", |p| p.first_token_ms),
            origin(&levels, "objective_per_mille", |p| p.objective_per_mille),
        ]
    }

    /// Returns the branches that apply to a request, from the fleet to the innermost.
    fn levels(&self, workspace: &str, class: &str, model: &str) -> Vec<Level<'_>> {
        let mut levels = vec![Level {
            path: "fleet.policy".into(),
            policy: &self.fleet.policy,
        }];
        if let Some(policy) = self.fleet.classes.get(class) {
            let path = format!("fleet.classes.{class}");
            levels.push(Level { path, policy });
        }
        let Some(own) = self.workspaces.get(workspace) else {
            return levels;
        };
        let root = format!("workspaces.{workspace}");
        levels.push(Level {
            path: format!("{root}.policy"),
            policy: &own.policy,
        });
        let Some(branch) = own.classes.get(class) else {
            return levels;
        };
        levels.push(Level {
            path: format!("{root}.classes.{class}.policy"),
            policy: &branch.policy,
        });
        if let Some(policy) = branch.models.get(model) {
            let path = format!("{root}.classes.{class}.models.{model}");
            levels.push(Level { path, policy });
        }
        levels
    }
}

/// Returns the value of a field that the innermost branch sets.
fn innermost<T>(levels: &[Level<'_>], field: impl Fn(&Policy) -> Option<T>) -> Option<T> {
    levels.iter().rev().find_map(|level| field(level.policy))
}

/// Returns the value of a field with the innermost branch that sets it.
fn origin<T: Serialize>(
    levels: &[Level<'_>],
    name: &'static str,
    field: impl Fn(&Policy) -> Option<T>,
) -> Origin {
    let found = levels
        .iter()
        .rev()
        .find_map(|level| field(level.policy).map(|value| (value, level.path.clone())));
    match found {
        Some((value, branch)) => Origin {
            field: name,
            value: serde_json::to_string(&value).unwrap_or_default(),
            branch,
        },
        None => Origin {
            field: name,
            value: "null".into(),
            branch: "default".into(),
        },
    }
}
