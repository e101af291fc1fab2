//! The tables in the docs say what the code says.

use alderglade_core::error::TABLE;
use alderglade_operator::event;
use std::path::PathBuf;

fn read(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    std::fs::read_to_string(path).expect("a page")
}

/// The rows of a page's tables, each cell without its marks.
fn rows(page: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| {
        let inner = line.trim().trim_matches('|');
        inner
            .split('|')
            .map(|cell| cell.trim().trim_matches('`').to_string())
            .collect()
    };
    page.lines()
        .filter(|line| line.starts_with('|'))
        .map(cells)
        .collect()
}

#[test]
fn errors_are_those_of_the_table() {
    let rows = rows(&read("ERRORS.md"));
    assert_eq!(rows.len(), TABLE.len() + 2);
    for (row, kind) in rows.iter().skip(2).zip(&TABLE) {
        let retry = if kind.retry_after { "yes" } else { "no" };
        let expected = [
            kind.label,
            &kind.status.to_string(),
            kind.ran.label(),
            retry,
            &kind.event.to_string(),
        ];
        assert_eq!(row[..5], expected, "{}", kind.label);
    }
}

#[test]
fn log_events_are_those_of_the_catalogue() {
    let rows = rows(&read("LOG-EVENTS.md"));
    let events = rows.iter().skip(2);
    let own: Vec<&Vec<String>> = events.clone().take(event::ALL.len()).collect();
    for (row, event) in own.iter().zip(event::ALL) {
        let level = event.level.as_str().to_lowercase();
        assert_eq!(
            row[..3],
            [event.number.to_string(), level, event.title.to_string()]
        );
    }
    let kinds: Vec<&Vec<String>> = events.skip(event::ALL.len()).collect();
    let (kinds, serving) = kinds.split_at(TABLE.len().min(kinds.len()));
    assert_eq!(
        serving.len(),
        alderglade_serve::event::ALL.len() + 2,
        "with the table's head"
    );
    for (row, kind) in serving[2..].iter().zip(alderglade_serve::event::ALL) {
        let level = kind.level.as_str().to_lowercase();
        assert_eq!(
            row[..3],
            [kind.number.to_string(), level, kind.name.to_string()]
        );
    }
    assert_eq!(kinds.len(), TABLE.len());
    for (row, kind) in kinds.iter().zip(&TABLE) {
        assert_eq!(row[0], kind.event.to_string());
        assert!(row[3].contains(kind.label), "{row:?}");
    }
}
