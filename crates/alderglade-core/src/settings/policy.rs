//! The values that a request inherits, and which branch each came from.

use super::tree::Tree;
use crate::lane::Priority;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The values that a branch may set; what it leaves out it inherits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How urgent the requests are.
    pub priority: Option<Priority>,
    /// The time within which a request finishes or fails, in milliseconds.
    pub time_allowed_ms: Option<u64>,
    /// The most tokens that an answer may have.
    pub max_output_tokens: Option<u64>,
    /// The weight of the workspace when engines are short.
    pub weight: Option<u32>,
    /// Requests that a workspace may start in a second, over all entry hosts.
    pub requests_per_second: Option<u64>,
    /// Prompt tokens that a workspace may start in a second, over all entry hosts.
    pub tokens_per_second: Option<u64>,
    /// The objective for the time to the first token, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// The share of requests that has to meet the objectives, in thousandths.
    pub objective_per_mille: Option<u32>,
}

/// The values in force for one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Resolved {
    /// How urgent the request is.
    pub priority: Priority,
    /// The time within which the request finishes or fails.
    pub time_allowed: Duration,
    /// The most tokens that the answer may have.
    pub max_output_tokens: u64,
    /// The weight of the workspace.
    pub weight: u32,
    /// Requests a second; `None` is no limit.
    pub requests_per_second: Option<u64>,
    /// Prompt tokens a second; `None` is no limit.
    pub tokens_per_second: Option<u64>,
    /// The objective for the time to the first token.
    pub first_token: Duration,
    /// The share of requests that has to meet the objectives, in thousandths.
    pub objective_per_mille: u32,
}

/// The value that one field has in force and the branch that set it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Origin {
    /// The field's name in the settings files.
    pub field: &'static str,
    /// The value as JSON text.
    pub value: String,
    /// The path of the branch, such as `fleet.classes.desk`, or `default`.
    pub branch: String,
}

/// One branch on the way from the fleet to a request, with its path in the tree.
struct Step<'a> {
    path: String,
    policy: &'a Policy,
}

const DEFAULT_TIME_ALLOWED: Duration = Duration::from_secs(60);
const DEFAULT_OUTPUT_TOKENS: u64 = 1_024;
const DEFAULT_WEIGHT: u32 = 1;
const DEFAULT_FIRST_TOKEN: Duration = Duration::from_millis(350);
const DEFAULT_OBJECTIVE_PER_MILLE: u32 = 950;

impl Tree {
    /// Resolves the values for a request of `workspace` and `class` to `model`.
    ///
    /// Branches that don't exist set nothing.
    pub fn resolve(&self, workspace: &str, class: &str, model: &str) -> Resolved {
        let steps = self.steps(workspace, class, model);
        Resolved {
            priority: last(&steps, |p| p.priority).unwrap_or(Priority::Normal),
            time_allowed: last(&steps, |p| p.time_allowed_ms)
                .map_or(DEFAULT_TIME_ALLOWED, Duration::from_millis),
            max_output_tokens: last(&steps, |p| p.max_output_tokens)
                .unwrap_or(DEFAULT_OUTPUT_TOKENS),
            weight: last(&steps, |p| p.weight).unwrap_or(DEFAULT_WEIGHT),
            requests_per_second: last(&steps, |p| p.requests_per_second),
            tokens_per_second: last(&steps, |p| p.tokens_per_second),
            first_token: last(&steps, |p| p.first_token_ms)
                .map_or(DEFAULT_FIRST_TOKEN, Duration::from_millis),
            objective_per_mille: last(&steps, |p| p.objective_per_mille)
                .unwrap_or(DEFAULT_OBJECTIVE_PER_MILLE),
        }
    }

    /// Says for each value in force which branch it came from.
    pub fn explain(&self, workspace: &str, class: &str, model: &str) -> Vec<Origin> {
        let steps = self.steps(workspace, class, model);
        vec![
            origin(&steps, "priority", |p| p.priority),
            origin(&steps, "time_allowed_ms", |p| p.time_allowed_ms),
            origin(&steps, "max_output_tokens", |p| p.max_output_tokens),
            origin(&steps, "weight", |p| p.weight),
            origin(&steps, "requests_per_second", |p| p.requests_per_second),
            origin(&steps, "tokens_per_second", |p| p.tokens_per_second),
            origin(&steps, "first_token_ms", |p| p.first_token_ms),
            origin(&steps, "objective_per_mille", |p| p.objective_per_mille),
        ]
    }

    fn steps(&self, workspace: &str, class: &str, model: &str) -> Vec<Step<'_>> {
        let mut steps = vec![Step {
            path: "fleet.policy".into(),
            policy: &self.fleet.policy,
        }];
        if let Some(policy) = self.fleet.classes.get(class) {
            let path = format!("fleet.classes.{class}");
            steps.push(Step { path, policy });
        }
        let Some(own) = self.workspaces.get(workspace) else {
            return steps;
        };
        let root = format!("workspaces.{workspace}");
        steps.push(Step {
            path: format!("{root}.policy"),
            policy: &own.policy,
        });
        let Some(branch) = own.classes.get(class) else {
            return steps;
        };
        steps.push(Step {
            path: format!("{root}.classes.{class}.policy"),
            policy: &branch.policy,
        });
        if let Some(policy) = branch.models.get(model) {
            let path = format!("{root}.classes.{class}.models.{model}");
            steps.push(Step { path, policy });
        }
        steps
    }
}

fn last<T>(steps: &[Step<'_>], field: impl Fn(&Policy) -> Option<T>) -> Option<T> {
    steps.iter().rev().find_map(|step| field(step.policy))
}

fn origin<T: Serialize>(
    steps: &[Step<'_>],
    name: &'static str,
    field: impl Fn(&Policy) -> Option<T>,
) -> Origin {
    let found = steps
        .iter()
        .rev()
        .find_map(|step| field(step.policy).map(|value| (value, step.path.clone())));
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
