//! The log stays within its bounds and says what it leaves out.

use alderglade_serve::event::{ALL, Queue};
use std::collections::BTreeSet;

#[test]
fn numbers_and_names_are_used_once_and_in_order() {
    let numbers: Vec<u16> = ALL.iter().map(|kind| kind.number).collect();
    assert!(numbers.is_sorted());
    let names: BTreeSet<&str> = ALL.iter().map(|kind| kind.name).collect();
    assert_eq!(names.len(), ALL.len());
    let distinct: BTreeSet<u16> = numbers.into_iter().collect();
    assert_eq!(distinct.len(), ALL.len());
}

#[test]
fn lines_over_the_budget_of_a_second_are_counted_and_told() {
    let (queue, lines) = Queue::new();
    for number in 0..500 {
        queue.push(format!("line {number}"), 7);
    }
    queue.push("next second".to_string(), 8);
    drop(queue);
    let written: Vec<String> = lines.iter().collect();
    assert_eq!(
        written.len(),
        302,
        "300 lines, the count, the line of the next second"
    );
    assert!(written[300].contains("\"count\":200"), "{}", written[300]);
    assert!(written[300].contains("lines_dropped"), "{}", written[300]);
    assert_eq!(written[301], "next second");
}

/// Nobody takes the lines: writing must not wait, and the loss must be told once somebody does.
#[test]
fn a_full_queue_holds_up_nobody() {
    let (queue, lines) = Queue::new();
    for second in 0..10 {
        for number in 0..300 {
            queue.push(format!("line {number}"), second);
        }
    }
    assert_eq!(lines.try_iter().count(), 1_024);
    queue.push("after".to_string(), 20);
    let written: Vec<String> = lines.try_iter().collect();
    assert!(written[0].contains("lines_dropped"), "{}", written[0]);
    assert_eq!(written[1], "after");
}
