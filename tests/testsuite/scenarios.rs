//! Every scenario holds, and fails without the guards that it names.

use alderglade_standin::scenario::{self, Scenario};
use std::path::PathBuf;

fn load() -> Vec<(String, Scenario)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<PathBuf> = std::fs::read_dir(folder)
        .expect("the folder of scenarios")
        .map(|item| item.expect("an item").path())
        .collect();
    files.sort();
    let read = |path: PathBuf| {
        let name = path
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        let text = std::fs::read_to_string(&path).expect("a file");
        let scenario =
            serde_json::from_str(&text).unwrap_or_else(|cause| panic!("{name}: {cause}"));
        (name, scenario)
    };
    files.into_iter().map(read).collect()
}

#[test]
fn all_hold() {
    let mut failures = Vec::new();
    for (name, scenario) in load() {
        let outcome = scenario::run(&scenario, &[]);
        if !outcome.broken.is_empty() {
            let first: Vec<&String> = outcome.broken.iter().take(5).collect();
            failures.push(format!(
                "{name}: {} broken, first {first:#?}",
                outcome.broken.len()
            ));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn each_fails_without_its_guards() {
    let mut failures = Vec::new();
    for (name, scenario) in load() {
        for guard in &scenario.red_without {
            let outcome = scenario::run(&scenario, std::slice::from_ref(guard));
            if outcome.broken.is_empty() {
                failures.push(format!(
                    "{name} holds without {guard:?}, so it proves nothing of it"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Seeds that every run of the suite tries; longer runs are for `alderglade-standin fuzz`.
const SEEDS: std::ops::Range<u64> = 1..61;

#[test]
fn random_fault_schedules_break_no_promise() {
    let mut failures = Vec::new();
    for seed in SEEDS {
        let outcome = scenario::run(&alderglade_standin::fuzz::scenario(seed), &[]);
        if let Some(first) = outcome.broken.first() {
            failures.push(format!("seed {seed}: {first}"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
