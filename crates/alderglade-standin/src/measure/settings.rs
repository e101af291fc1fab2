//! What settings cost: a tree's size and memory, a patch, a new revision.

use super::{Figure, bytes, figure, idle, node, tree};
use alderglade_core::message::Message;
use alderglade_core::node::Event;
use alderglade_core::settings::Tree;
use alderglade_core::settings::patch::Patch;
use alderglade_core::time::Time;
use std::sync::Arc;
use std::time::Instant;

/// Trees of several numbers of workspaces.
pub(super) fn measure(figures: &mut Vec<Figure>) {
    for workspaces in [10, 370, 3_700] {
        let size = format!("{workspaces} workspaces");
        let before = resident_kilobytes();
        let made = tree(1_200, workspaces);
        let held: Vec<Tree> = (0..4).map(|_| made.clone()).collect();
        let memory = resident_kilobytes().saturating_sub(before) as f64 / 1_024.0 / 5.0;
        let text = serde_json::to_string(&made).unwrap_or_default();
        let branch: usize = made
            .workspaces
            .values()
            .map(|workspace| serde_json::to_string(workspace).unwrap_or_default().len() + 24)
            .sum();
        let fleet = text.len() - branch.min(text.len());
        let mut changed = made.clone();
        changed.revision = 2;
        if let Some(workspace) = changed.workspaces.values_mut().next() {
            workspace.policy.weight = Some(2);
        }
        let began = Instant::now();
        let patch = Patch::between(&made, &changed);
        let patched = patch.apply(&made).map_or(0, |tree| tree.revision);
        let patching = began.elapsed();
        let patch = bytes(&Message::Patches(vec![Arc::new(patch)]));
        figures.push(figure(
            "settings, patch of one workspace",
            &size,
            patch as f64,
            "bytes",
        ));
        figures.push(figure(
            "settings, finding and applying it",
            &size,
            patching.as_secs_f64() * 1e3,
            "ms",
        ));
        debug_assert_eq!(patched, changed.revision);
        let mut node = node("host-00", &tree(1, 0), Time(1));
        let mut newer = made;
        newer.revision = 2;
        let newer = Arc::new(newer);
        let began = Instant::now();
        node.handle(Event::Settings(newer), Time(2), 0);
        let took = began.elapsed();
        figures.push(figure(
            "settings, whole tree as JSON",
            &size,
            text.len() as f64,
            "bytes",
        ));
        figures.push(figure(
            "settings, one part of 64",
            &size,
            branch as f64 / 64.0,
            "bytes",
        ));
        figures.push(figure(
            "settings, the fleet's part",
            &size,
            fleet as f64,
            "bytes",
        ));
        figures.push(figure("settings, memory of a tree", &size, memory, "MB"));
        figures.push(figure(
            "settings, taking a new revision",
            &size,
            took.as_secs_f64() * 1e3,
            "ms",
        ));
        drop(held);
    }
}

/// Gives the resident memory of this process.
fn resident_kilobytes() -> u64 {
    idle::resident_kilobytes(std::process::id()).unwrap_or(0)
}
