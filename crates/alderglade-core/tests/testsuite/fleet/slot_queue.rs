//! The wait of short prompts for slots, and the order of retries.

use super::slots::{SLOTS, engines, sent, short, state};
use super::{empty_notice, key, profile};
use crate::each_seed;
use alderglade_core::fleet::load_table::{Demand, LoadTable, Notice, QueueLengths};
use alderglade_core::fleet::placement::{
    Decision, Engine, Outlook, Reason, SHORT_PROMPT_TOKENS, Work, choose, demand, still_held,
};
use alderglade_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: Time = Time(5_000_000);

fn after(millis: u64) -> Work {
    Work {
        waited: Duration::from_millis(millis),
        ..short(Some(7))
    }
}

/// Decides on a prompt that a number of others precede, before 10 full engines: a slot becomes free each 16.7 ms.
fn decide(work: &Work, before: u32) -> Decision {
    let engines = engines(&[i64::from(SLOTS); 10]);
    choose(work, &engines, &state(&engines, before, 60.0))
}

fn refused(decision: &Decision) -> Duration {
    match decision {
        Decision::Refuse(retry_delay) => *retry_delay,
        other => panic!("not refused: {other:?}"),
    }
}

fn is_held(decision: &Decision) -> bool {
    matches!(decision, Decision::Wait(wait) if wait.reason == Reason::Slots)
}

/// A prompt that could have been in time was sent to wait in the queue of an engine, or would be refused too early.
#[test]
fn a_prompt_that_gets_a_slot_in_time_is_held_and_another_one_refused_at_once() {
    let decision = decide(&after(0), 2);
    assert!(is_held(&decision), "{decision:?}");
    let Decision::Wait(wait) = decision else {
        return;
    };
    assert!((10..=30).contains(&wait.recheck_after.as_millis()));
    refused(&decide(&after(0), 20));
    refused(&decide(&after(29), 20));
    assert!(is_held(&decide(&after(30), 20)), "it is no new arrival");
}

/// Callers that are refused in the same moment must not all come back in the same moment, nor after their time.
#[test]
fn retry_delays_are_spread_and_leave_time_for_a_retry() {
    let delay = |random: u64, time_left: u64| {
        let work = Work {
            random: Some(random),
            time_left: Duration::from_millis(time_left),
            ..short(None)
        };
        refused(&decide(&work, 20)).as_millis()
    };
    let delays: BTreeSet<u128> = (0..100).map(|random| delay(random, 10_000)).collect();
    assert!(delays.len() > 80);
    assert!(delays.iter().all(|delay| (1_000..=2_500).contains(delay)));
    assert!(delays.last() > Some(&2_200) && delays.first() < Some(&1_200));
    assert!((0..100).all(|random| delay(random, 4_000) <= 1_200));
}

/// A full table that is wrong, as after a host was killed, held a prompt without bound.
#[test]
fn no_prompt_is_held_beyond_the_last_moment_at_which_it_can_be_in_time() {
    each_seed(300, |u| {
        let mut running = Vec::new();
        for _ in 0..u.int_in_range(1..=30)? {
            running.push(u.int_in_range(10..=36)?);
        }
        let mut engines = engines(&running);
        for engine in &mut engines {
            engine.backlog.queued = f64::from(u.int_in_range(0..=200u16)?);
        }
        let work = Work {
            earlier: Duration::from_millis(u.int_in_range(0..=5_000)?),
            ..after(270)
        };
        let state = state(&engines, u.int_in_range(0..=500)?, 300.0);
        let decision = choose(&work, &engines, &state);
        assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
        Ok(())
    });
}

/// The last moment leads to the shortest wait, not to the end of the order.
#[test]
fn a_prompt_that_is_late_or_resumed_goes_where_it_has_a_slot_first() {
    let mut running = [20; 10];
    running[3] = 13;
    let engines = engines(&running);
    let resumed = Work {
        resumed: true,
        ..after(0)
    };
    for work in [after(280), resumed] {
        let plan = sent(choose(&work, &engines, &state(&engines, 40, 60.0)));
        assert_eq!(plan.primary, key("e03"));
        assert_eq!(plan.slot_wait.as_millis(), 333);
    }
}

/// Where slots are free and nothing waits, nothing changes.
#[test]
fn a_prompt_is_neither_held_nor_refused_while_a_slot_is_free_for_it() {
    each_seed(200, |u| {
        let free: u32 = u.int_in_range(1..=24)?;
        let mut running = [i64::from(SLOTS); 4];
        running[0] -= i64::from(free.min(SLOTS));
        running[1] -= i64::from(free.saturating_sub(SLOTS));
        let engines = engines(&running);
        let before = u.int_in_range(0..=free - 1)?;
        let work = after(u.int_in_range(0..=500)?);
        let plan = sent(choose(&work, &engines, &state(&engines, before, 100.0)));
        assert!(plan.slot_wait.is_zero());
        Ok(())
    });
}

/// A caller that came back when told to was refused again, and one that comes back at once could overtake others.
#[test]
fn only_a_retry_after_the_delay_ranks_by_its_first_attempt_and_is_not_refused() {
    let retry = |earlier: u64| Work {
        earlier: Duration::from_millis(earlier),
        is_retry: true,
        ..after(0)
    };
    let due = |work: &Work| demand(work, &profile(), 10).due_ms;
    assert_eq!(due(&retry(1_200)), due(&after(0)) - 1_200);
    assert_eq!(due(&retry(800)), due(&after(0)));
    assert!(is_held(&decide(&retry(1_200), 20)));
    refused(&decide(&retry(800), 20));
    let delayed = Work {
        order_delay: Duration::from_millis(1_000),
        ..retry(1_200)
    };
    assert_eq!(due(&delayed), due(&after(0)) - 200);
}

/// A workspace over its share kept its place by retries, and its prompts that had become late behind others took the slots
/// of those before them.
#[test]
fn a_workspace_over_its_share_has_no_privilege_as_a_retry_and_is_refused_when_late() {
    let over = |work: Work| Work {
        over_share: true,
        order_delay: Duration::from_millis(1_000),
        ..work
    };
    let retry = over(Work {
        earlier: Duration::from_millis(1_200),
        is_retry: true,
        ..after(0)
    });
    let due = |work: &Work| demand(work, &profile(), 10).due_ms;
    assert_eq!(due(&retry), due(&over(after(0))));
    refused(&decide(&retry, 20));
    refused(&decide(&over(after(299)), 20));
    sent(decide(&after(299), 20));
    let failed = Work {
        avoid: vec![key("e1")],
        ..over(after(299))
    };
    sent(decide(&failed, 20));
}

/// Returns a table that knows engines, so that it can tell short prompts from long ones.
fn table() -> LoadTable {
    let mut loads = LoadTable::default();
    loads.set_engines([(key("e1"), profile())].into_iter().collect());
    loads
}

fn demand_of(prompt: u64, due_ms: i32) -> Demand {
    let reading_ms = profile().read_ms(prompt) as u32;
    Demand { due_ms, reading_ms }
}

/// Short prompts, which are due within their objective of 300 ms, preceded all long ones.
#[test]
fn short_and_long_prompts_do_not_wait_for_each_other() {
    let (mut loads, mut other) = (table(), table());
    let longest_short = SHORT_PROMPT_TOKENS - 1_000;
    for number in 0..60 {
        other.enqueue(demand_of(longest_short, -number), NOW);
        other.enqueue(demand_of(45_000, -number), NOW);
    }
    let notice = Notice {
        queued: other.queued_demands(NOW),
        ..empty_notice("a", 1, 1)
    };
    loads.apply_notice(&notice, NOW);
    let reported = QueueLengths {
        short: 24,
        long: 24,
    };
    assert_eq!(loads.queue_lengths(), reported, "neither hides the other");
    for prompt in [5_000, 45_000] {
        let (first, last) = (demand_of(prompt, -5_000), demand_of(prompt, 5_000));
        let id = loads.enqueue(first, NOW);
        assert_eq!(loads.update_queued(id, first, NOW).all, 0);
        assert_eq!(loads.update_queued(id, last, NOW).all, 24);
        loads.dequeue(id);
    }
}

/// Prompts that are due a few milliseconds apart were each considered next by their own host, because notices state the
/// time left when they are sent.
#[test]
fn the_delay_of_notices_does_not_change_the_order_of_short_prompts() {
    let mut hosts = [table(), table()];
    let first = hosts[0].enqueue(demand_of(5_000, 100), NOW);
    let second = hosts[1].enqueue(demand_of(5_000, 103), NOW);
    let notices = [0, 1].map(|host: usize| Notice {
        queued: hosts[host].queued_demands(NOW),
        ..empty_notice(["a", "b"][host], 1, 1)
    });
    let later = NOW + Duration::from_millis(6);
    hosts[0].apply_notice(&notices[1], later);
    hosts[1].apply_notice(&notices[0], later);
    let first = hosts[0].update_queued(first, demand_of(5_000, 94), later);
    let second = hosts[1].update_queued(second, demand_of(5_000, 97), later);
    assert_eq!([first.all, second.all], [0, 1]);
}

/// Engines that are suspect or have failed the prompt have no slots for it.
#[test]
fn slots_of_engines_that_are_not_used_do_not_count() {
    let mut engines: Vec<Engine> = engines(&[3, 3, 12, 12]);
    engines[0].suspect = true;
    let work = Work {
        avoid: vec![key("e01")],
        ..after(0)
    };
    assert!(is_held(&choose(&work, &engines, &state(&engines, 0, 0.0))));
}

/// The cheap check of held prompts must not hold one that could be sent, nor let one go that would be held.
#[test]
fn the_outlook_holds_a_prompt_as_long_as_the_engines_do() {
    each_seed(200, |u| {
        let mut running = Vec::new();
        for _ in 0..u.int_in_range(1..=20)? {
            running.push(u.int_in_range(11..=14)?);
        }
        let engines = engines(&running);
        let before = u.int_in_range(0..=30)?;
        let work = after(u.int_in_range(30..=300)?);
        let all: Vec<&Engine> = engines.iter().collect();
        let outlook = Outlook::of(&all).expect("engines");
        let held = still_held(&work, &outlook, before).map(Decision::Wait);
        let decision = choose(&work, &engines, &state(&engines, before, 100.0));
        let chosen = Some(decision).filter(|decision| matches!(decision, Decision::Wait(_)));
        assert_eq!(held, chosen);
        Ok(())
    });
}
