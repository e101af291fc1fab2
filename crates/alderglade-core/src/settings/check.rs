//! Validates a tree before it is accepted: ranges, references and units.

use super::policy::Policy;
use super::tree::{Engine, Fleet, Tree, Workspace};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// An error in a settings file or tree.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Fault {
    /// The path in the tree, such as `fleet.engines.e1.model`.
    pub path: String,
    /// The value or error that was found.
    pub found: String,
    /// A description of the values that are allowed.
    pub expected: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "at `{}`: {}; expected {}",
            self.path, self.found, self.expected
        )
    }
}

const MAX_TIME_ALLOWED_MS: u64 = 24 * 3_600 * 1_000;
const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
const MAX_WEIGHT: u32 = 1_000;
const DIGEST_DIGITS: usize = 64;

/// Parses one settings file.
///
/// # Errors
///
/// Returns a [`Fault`] with the path in the file at which parsing failed: an unknown field, a value
/// of the wrong type, or text that is not JSON.
pub fn read<T: DeserializeOwned>(text: &str) -> Result<T, Fault> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| Fault {
        path: error.path().to_string(),
        found: error.inner().to_string(),
        expected: "a field and value as docs/OPERATING.md lists them".into(),
    })?;
    reader.end().map_err(|error| Fault {
        path: ".".into(),
        found: error.to_string(),
        expected: "nothing after the closing brace".into(),
    })?;
    Ok(value)
}

/// Returns all faults of a tree. The tree may be accepted if there are none.
pub fn check(tree: &Tree) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_fleet(&tree.fleet, &mut faults);
    for (name, workspace) in &tree.workspaces {
        check_workspace(&tree.fleet, name, workspace, &mut faults);
    }
    check_tokens(tree, &mut faults);
    faults
}

fn check_fleet(fleet: &Fleet, faults: &mut Vec<Fault>) {
    for (name, model) in &fleet.models {
        let path = format!("fleet.models.{name}");
        let rate = model.prefill_tokens_per_second;
        expect(
            faults,
            rate > 0,
            &format!("{path}.prefill_tokens_per_second"),
            rate,
            "at least 1",
        );
        expect(
            faults,
            model.step_ms > 0,
            &format!("{path}.step_ms"),
            model.step_ms,
            "at least 1",
        );
    }
    for (name, model) in &fleet.models {
        let smallest = model.chunk_tokens.min(model.mixed_chunk_tokens);
        let path = format!("fleet.models.{name}.chunk_tokens and mixed_chunk_tokens");
        expect(
            faults,
            smallest > 0,
            &path,
            smallest,
            "tokens, at least 1 each",
        );
    }
    for (name, engine) in &fleet.engines {
        check_engine(fleet, name, engine, faults);
    }
    for (name, service) in &fleet.services {
        for server in &service.servers {
            let path = format!("fleet.services.{name}.servers.{}.address", server.name);
            check_address(&server.address, path, faults);
        }
    }
    check_policy(&fleet.policy, "fleet.policy", faults);
    for (name, policy) in &fleet.classes {
        check_policy(policy, &format!("fleet.classes.{name}"), faults);
    }
}

fn check_engine(fleet: &Fleet, name: &str, engine: &Engine, faults: &mut Vec<Fault>) {
    let path = format!("fleet.engines.{name}");
    let known = fleet.models.contains_key(&engine.model);
    expect(
        faults,
        known,
        &format!("{path}.model"),
        &engine.model,
        "a model of fleet.models",
    );
    expect(
        faults,
        engine.kv_tokens > 0,
        &format!("{path}.kv_tokens"),
        engine.kv_tokens,
        "tokens, at least 1",
    );
    expect(
        faults,
        engine.max_batch > 0,
        &format!("{path}.max_batch"),
        engine.max_batch,
        "streams, at least 1",
    );
    check_address(&engine.address, format!("{path}.address"), faults);
}

fn check_address(address: &str, path: String, faults: &mut Vec<Fault>) {
    let valid = address.parse::<SocketAddr>().is_ok();
    expect(
        faults,
        valid,
        &path,
        address,
        "an IP number and port, such as 10.0.0.1:8000",
    );
}

fn check_workspace(fleet: &Fleet, name: &str, workspace: &Workspace, faults: &mut Vec<Fault>) {
    let path = format!("workspaces.{name}");
    let digest = &workspace.token_sha256;
    let valid = digest.len() == DIGEST_DIGITS && hex::decode(digest.as_bytes()).is_ok();
    expect(
        faults,
        valid,
        &format!("{path}.token_sha256"),
        digest,
        "a SHA-256 digest, 64 hexadecimal digits",
    );
    for model in &workspace.models {
        let known = fleet.models.contains_key(model);
        expect(
            faults,
            known,
            &format!("{path}.models"),
            model,
            "models of fleet.models",
        );
    }
    for service in &workspace.services {
        let known = fleet.services.contains_key(service);
        expect(
            faults,
            known,
            &format!("{path}.services"),
            service,
            "services of fleet.services",
        );
    }
    check_policy(&workspace.policy, &format!("{path}.policy"), faults);
    for (class, branch) in &workspace.classes {
        let path = format!("{path}.classes.{class}");
        let known = fleet.classes.contains_key(class);
        expect(faults, known, &path, class, "a class of fleet.classes");
        check_policy(&branch.policy, &format!("{path}.policy"), faults);
        for (model, policy) in &branch.models {
            let path = format!("{path}.models.{model}");
            let known = fleet.models.contains_key(model);
            expect(faults, known, &path, model, "a model of fleet.models");
            check_policy(policy, &path, faults);
        }
    }
}

fn check_policy(policy: &Policy, path: &str, faults: &mut Vec<Fault>) {
    if let Some(ms) = policy.time_allowed_ms {
        let valid = (1..=MAX_TIME_ALLOWED_MS).contains(&ms);
        expect(
            faults,
            valid,
            &format!("{path}.time_allowed_ms"),
            ms,
            "milliseconds, 1 to 86400000",
        );
    }
    if let Some(tokens) = policy.max_output_tokens {
        let valid = (1..=MAX_OUTPUT_TOKENS).contains(&tokens);
        expect(
            faults,
            valid,
            &format!("{path}.max_output_tokens"),
            tokens,
            "tokens, 1 to 1000000",
        );
    }
    if let Some(weight) = policy.weight {
        let valid = (1..=MAX_WEIGHT).contains(&weight);
        expect(
            faults,
            valid,
            &format!("{path}.weight"),
            weight,
            "1 to 1000",
        );
    }
    if let Some(share) = policy.objective_per_mille {
        let valid = (1..1_000).contains(&share);
        expect(
            faults,
            valid,
            &format!("{path}.objective_per_mille"),
            share,
            "thousandths, 1 to 999",
        );
    }
}

/// Checks that no two workspaces have the same token.
fn check_tokens(tree: &Tree, faults: &mut Vec<Fault>) {
    let mut seen = std::collections::BTreeMap::new();
    for (name, workspace) in &tree.workspaces {
        if let Some(other) = seen.insert(&workspace.token_sha256, name) {
            faults.push(Fault {
                path: format!("workspaces.{name}.token_sha256"),
                found: format!("the same digest as workspace `{other}`"),
                expected: "a token of its own for each workspace".into(),
            });
        }
    }
}

/// Adds a fault at `path` unless the value there is valid.
fn expect(
    faults: &mut Vec<Fault>,
    valid: bool,
    path: &str,
    found: impl std::fmt::Display,
    expected: &str,
) {
    if valid {
        return;
    }
    faults.push(Fault {
        path: path.to_string(),
        found: format!("found `{found}`"),
        expected: expected.to_string(),
    });
}
