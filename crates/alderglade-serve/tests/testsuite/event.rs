//! The log stays within its limits and reports how many lines it drops.

use alderglade_serve::event::{ALL, Queue};
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn numbers_and_names_are_unique_and_in_order() {
    let numbers: Vec<u16> = ALL.iter().map(|kind| kind.number).collect();
    assert!(numbers.is_sorted());
    let names: BTreeSet<&str> = ALL.iter().map(|kind| kind.name).collect();
    assert_eq!(names.len(), ALL.len());
    let distinct: BTreeSet<u16> = numbers.into_iter().collect();
    assert_eq!(distinct.len(), ALL.len());
}

#[test]
fn lines_over_the_limit_per_second_are_counted_and_the_count_is_logged() {
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

/// While no line is read, logging must not wait, and the loss must be logged once reading resumes.
#[test]
fn a_full_queue_does_not_block_logging() {
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

/// Guards against losing the last lines: the process exited before the writer thread had run, which lost the line
/// about the end of the process in 20 of 20 planned stops of a benchmark.
#[test]
fn exit_waits_for_pending_lines() {
    let (queue, lines) = Queue::new();
    let pending = queue.pending();
    queue.push("stopped".to_string(), 1);
    let waiting = pending.clone();
    let end = std::thread::spawn(move || waiting.wait(Duration::from_secs(20)));
    assert_eq!(lines.recv().as_deref(), Ok("stopped"));
    assert!(!pending.wait(Duration::ZERO), "received, but not written");
    pending.mark_written();
    assert!(end.join().expect("the end"));
}

#[test]
fn exit_is_not_delayed_by_a_stalled_reader() {
    let (queue, _lines) = Queue::new();
    for number in 0..2_000 {
        queue.push(format!("line {number}"), number / 200);
    }
    assert!(!queue.pending().wait(Duration::from_millis(1)));
}
