//! The settings tree: inheritance, origins of values, patches, and the paths of faults.

use crate::each_seed;
use alderglade_core::settings::check::{check, read};
use alderglade_core::settings::patch::Patch;
use alderglade_core::settings::tree::{Branch, Fleet, Tree, Workspace};
use alderglade_core::settings::{Policy, Tokens};
use sha2::{Digest, Sha256};

fn policy(weight: Option<u32>) -> Policy {
    Policy {
        weight,
        ..Policy::default()
    }
}

#[test]
fn a_lower_branch_inherits_values_it_doesnt_set() {
    each_seed(200, |u| {
        let mut values = Vec::new();
        for _ in 0..5 {
            values.push(u.arbitrary::<bool>()?.then_some(u.int_in_range(2..=900)?));
        }
        let mut tree = Tree::default();
        tree.fleet.policy = policy(values[0]);
        tree.fleet.classes.insert("desk".into(), policy(values[1]));
        let branch = Branch {
            policy: policy(values[3]),
            models: [("m".into(), policy(values[4]))].into(),
        };
        let workspace = Workspace {
            policy: policy(values[2]),
            classes: [("desk".into(), branch)].into(),
            ..Workspace::default()
        };
        tree.workspaces.insert("w".into(), workspace);
        let expected = values.iter().rev().find_map(|value| *value).unwrap_or(1);
        assert_eq!(tree.resolve("w", "desk", "m").weight, expected);
        let paths = [
            "fleet.policy",
            "fleet.classes.desk",
            "workspaces.w.policy",
            "workspaces.w.classes.desk.policy",
            "workspaces.w.classes.desk.models.m",
        ];
        let innermost = values.iter().rposition(Option::is_some);
        let origins = tree.explain("w", "desk", "m");
        let origin = origins
            .iter()
            .find(|origin| origin.field == "weight")
            .expect("a weight");
        assert_eq!(origin.branch, innermost.map_or("default", |at| paths[at]));
        Ok(())
    });
}

#[test]
fn a_patch_turns_any_tree_into_any_other() {
    each_seed(200, |u| {
        let mut trees = Vec::new();
        for revision in 1..3 {
            let mut tree = Tree {
                revision,
                ..Tree::default()
            };
            for number in 0..u.int_in_range(0..=6)? {
                let name = format!("w{}", u.int_in_range(0..=6)?);
                let own = Workspace {
                    policy: policy(Some(u.int_in_range(1..=2)?)),
                    ..Workspace::default()
                };
                tree.workspaces.insert(name.as_str().into(), own);
                let text = format!(
                    r#"{{"model": "m", "domain": "d", "address": "a", "kv_tokens": {number}, "max_batch": 1}}"#
                );
                let engine = read(&text).expect("readable");
                tree.fleet.engines.insert(name.as_str().into(), engine);
            }
            tree.fleet.policy = policy(u.arbitrary::<bool>()?.then_some(2));
            trees.push(tree);
        }
        let patch = Patch::between(&trees[0], &trees[1]);
        assert_eq!(patch.apply(&trees[0]).as_ref(), Some(&trees[1]));
        assert_eq!(
            patch.apply(&trees[1]),
            None,
            "the patch applies to another revision"
        );
        Ok(())
    });
}

#[test]
fn faults_have_the_path_of_the_value() {
    let unknown =
        read::<Fleet>(r#"{"models": {"m": {"prefill_tokens_per_second": 1, "steps": 2}}}"#);
    let fault = unknown.expect_err("an unknown field");
    assert_eq!(fault.path, "models.m.steps");
    let wrong =
        read::<Fleet>(r#"{"policy": {"time_allowed_ms": "soon"}}"#).expect_err("a wrong type");
    assert_eq!(wrong.path, "policy.time_allowed_ms");
    let trailing = read::<Fleet>("{} {}").expect_err("text after the brace");
    assert_eq!(trailing.path, ".");
    let text = r#"{"policy": {"objective_per_mille": 1000}, "engines": {"e": {"model": "none",
        "domain": "d", "address": "host:1", "kv_tokens": 1, "max_batch": 1}}}"#;
    let tree = Tree {
        fleet: read(text).expect("readable"),
        ..Tree::default()
    };
    let paths: Vec<String> = check(&tree).into_iter().map(|fault| fault.path).collect();
    assert_eq!(
        paths,
        [
            "fleet.engines.e.model",
            "fleet.engines.e.address",
            "fleet.policy.objective_per_mille"
        ]
    );
}

#[test]
fn two_workspaces_cant_share_a_token() {
    let digest = hex::encode(Sha256::digest(b"secret"));
    let workspace = Workspace {
        token_sha256: digest.into(),
        ..Workspace::default()
    };
    let mut tree = Tree::default();
    tree.workspaces.insert("a".into(), workspace.clone());
    assert!(check(&tree).is_empty());
    assert_eq!(Tokens::of(&tree).workspace("secret"), Some("a".into()));
    assert_eq!(Tokens::of(&tree).workspace("Secret"), None);
    tree.workspaces.insert("b".into(), workspace);
    let faults = check(&tree);
    assert_eq!(faults.len(), 1);
    assert!(
        faults[0].to_string().contains("workspace `a`"),
        "{}",
        faults[0]
    );
}
