//! The log stays within its bounds and says what it leaves out.

use alderglade_serve::event::{ALL, Queue};
use std::collections::BTreeSet;
use std::time::Duration;

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

/// From a bench run: the line that tells the end of a process was lost in 20 of 20 planned stops, because
/// the process ended before the thread that writes had its turn.
#[test]
fn the_end_waits_for_lines_that_are_not_written_yet() {
    let (queue, lines) = Queue::new();
    let pending = queue.pending();
    queue.push("stopped".to_string(), 1);
    let waiting = pending.clone();
    let end = std::thread::spawn(move || waiting.wait(Duration::from_secs(20)));
    assert_eq!(lines.recv().as_deref(), Ok("stopped"));
    assert!(!pending.wait(Duration::ZERO), "taken, but not written");
    pending.mark_written();
    assert!(end.join().expect("the end"));
}

#[test]
fn the_end_is_not_held_up_by_a_reader_that_takes_nothing() {
    let (queue, _lines) = Queue::new();
    for number in 0..2_000 {
        queue.push(format!("line {number}"), number / 200);
    }
    assert!(!queue.pending().wait(Duration::from_millis(1)));
}
