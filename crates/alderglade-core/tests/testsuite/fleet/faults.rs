//! Unreadable entries: each is reported once, and their number is unlimited.

use alderglade_core::fleet::faults::{Fault, Faults, News};

fn fault(name: &str, problem: &str) -> Fault {
    Fault {
        name: name.into(),
        problem: problem.into(),
    }
}

#[test]
fn an_entry_is_reported_once_per_change() {
    let mut faults = Faults::default();
    faults.record(&fault("a", "no state"));
    faults.record(&fault("a", "no state"));
    assert_eq!(faults.take_news().faults, [fault("a", "no state")]);
    faults.record(&fault("a", "no state"));
    assert_eq!(faults.take_news(), News::default());
    faults.record(&fault("a", "no address"));
    assert_eq!(faults.take_news().faults, [fault("a", "no address")]);
    faults.clear("a");
    faults.clear("a");
    faults.clear("unknown");
    assert_eq!(faults.take_news().resolved, ["a".into()]);
    faults.record(&fault("a", "no address"));
    assert_eq!(
        faults.take_news().faults.len(),
        1,
        "it was readable in between"
    );
}

#[test]
fn entries_missing_from_a_list_are_resolved() {
    let mut faults = Faults::default();
    let both = [fault("a", "none"), fault("b", "none")];
    both.iter().for_each(|fault| faults.record(fault));
    faults.take_news();
    faults.retain(&both[1..]);
    assert_eq!(faults.take_news().resolved, ["a".into()]);
}

/// Other writers may add any number of unreadable entries.
#[test]
fn of_many_entries_a_few_are_reported_and_all_are_counted() {
    let mut faults = Faults::default();
    for number in 0..100_000 {
        faults.record(&fault(&format!("e{number}"), "none"));
    }
    let news = faults.take_news();
    assert!(news.faults.len() < 10);
    assert_eq!(news.faults.len() as u64 + news.more, 100_000);
    faults.retain(&[]);
    assert!(faults.take_news().resolved.len() < 10);
}
