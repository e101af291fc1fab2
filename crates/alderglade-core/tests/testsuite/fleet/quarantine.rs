//! Who is held guilty of the ends of servers, on hosts that tell each other what they see.

mod several;

use super::key;
use crate::each_seed;
use alderglade_core::fleet::fingerprint::{Content, Fingerprint};
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::quarantine::{BARRED, Decision, Finding, Quarantine};
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::time::Duration;

/// A request has run for so long, as far as most of these tests care.
const SHORTLY: Option<Duration> = Some(Duration::from_millis(100));

/// As long as it takes until an end is judged.
const SETTLED: Duration = Duration::from_millis(200);

fn fingerprint(body: &str) -> Fingerprint {
    let content = Content {
        workspace: Some("clinic"),
        method: "POST",
        host: "one.example",
        target: "/x/",
        body: body.as_bytes(),
    };
    content.fingerprint()
}

fn server(number: usize) -> Key {
    key(&format!("s{number}"))
}

/// Notes that a server has ended with a request in its hands.
fn crash(
    quarantine: &mut Quarantine,
    fingerprint: Fingerprint,
    server: Key,
    ran: Option<Duration>,
    now: Time,
) {
    quarantine.record_interruption(fingerprint, server, ran, now);
    quarantine.record_server_end(server, now);
}

/// A host that sees everything itself, and its clock.
#[derive(Default)]
struct Host {
    quarantine: Quarantine,
    now: Time,
}

impl Host {
    /// A server ends with these requests in its hands, all of which had just begun to run.
    fn ends(&mut self, number: usize, bodies: &[&str]) {
        for body in bodies {
            self.quarantine.record_interruption(
                fingerprint(body),
                server(number),
                SHORTLY,
                self.now,
            );
        }
        self.quarantine.record_server_end(server(number), self.now);
        self.pass(SETTLED);
    }

    /// Lets time pass and judges.
    fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        self.quarantine.evaluate(self.now);
    }

    fn bars(&self, body: &str) -> bool {
        self.quarantine
            .barred_for(fingerprint(body), self.now)
            .is_some()
    }
}

#[test]
fn three_ends_bar_a_request_and_no_other_one() {
    let mut host = Host::default();
    host.ends(1, &["fatal", "a"]);
    host.ends(2, &["fatal", "b"]);
    assert!(!host.bars("fatal"), "two may be chance");
    host.ends(3, &["fatal", "c"]);
    assert!(host.bars("fatal"));
    assert!(["a", "b", "c"].iter().all(|body| !host.bars(body)));
    let verdicts = host.quarantine.take_verdicts();
    assert_eq!(verdicts.len(), 1);
    assert_eq!(verdicts[0].decision, Decision::Barred(3));
    assert!(verdicts[0].first_hand);
}

#[test]
fn the_same_end_seen_twice_counts_once() {
    let mut host = Host::default();
    for _ in 0..5 {
        host.ends(1, &["fatal"]);
    }
    assert!(!host.bars("fatal"));
}

/// What breaks off meets again at the server that all hosts hold best: the other one was at three ends, too.
#[test]
fn what_was_beside_it_at_three_ends_in_a_row_is_not_barred() {
    let mut host = Host::default();
    host.ends(1, &["fatal"]);
    for number in 2..5 {
        host.ends(number, &["fatal", "beside"]);
    }
    assert!(host.bars("fatal"));
    assert!(!host.bars("beside"));
}

#[test]
fn of_two_at_the_same_ends_neither_is_barred_until_another_end_parts_them() {
    let mut host = Host::default();
    for number in 1..4 {
        host.ends(number, &["fatal", "beside"]);
    }
    assert!(!host.bars("fatal") && !host.bars("beside"));
    host.ends(4, &["fatal"]);
    assert!(host.bars("fatal"));
    assert!(!host.bars("beside"), "the other one explains all its ends");
}

#[test]
fn two_that_nothing_parts_are_both_barred_at_the_fifth_end() {
    let mut host = Host::default();
    for number in 1..5 {
        host.ends(number, &["one", "other"]);
        assert!(!host.bars("one") && !host.bars("other"));
    }
    host.ends(5, &["one", "other"]);
    assert!(host.bars("one") != host.bars("other"), "one explains all");
    host.ends(6, &["other"]);
    host.ends(7, &["other"]);
    assert!(host.bars("other"), "what came after shows who it was");
    assert!(!host.bars("one"));
}

/// The hosts that had something at a server notice its end one after the other: whoever is told of first is not the one.
#[test]
fn what_was_beside_it_waits_until_all_is_told() {
    let mut host = Host::default();
    let mut now = Time::from_millis(1_000);
    for number in 1..4 {
        crash(
            &mut host.quarantine,
            fingerprint("beside"),
            server(number),
            SHORTLY,
            now,
        );
        host.quarantine.evaluate(now);
        now = now + Duration::from_millis(10);
        crash(
            &mut host.quarantine,
            fingerprint("fatal"),
            server(number),
            SHORTLY,
            now,
        );
        host.quarantine.evaluate(now);
        now = now + Duration::from_millis(300);
    }
    host.quarantine.evaluate(now);
    assert!(
        host.quarantine
            .barred_for(fingerprint("beside"), now)
            .is_none()
    );
}

#[test]
fn what_is_about_to_be_judged_waits_no_longer_than_that() {
    let mut host = Host::default();
    host.ends(1, &["fatal", "beside"]);
    host.ends(2, &["fatal", "beside"]);
    let end = host.now;
    for body in ["fatal", "beside"] {
        assert!(!host.quarantine.is_pending(fingerprint(body), end));
        crash(
            &mut host.quarantine,
            fingerprint(body),
            server(3),
            SHORTLY,
            end,
        );
        assert!(host.quarantine.is_pending(fingerprint(body), end));
    }
    host.pass(SETTLED);
    let judges = |body: &str| host.quarantine.is_pending(fingerprint(body), host.now);
    assert!(!judges("fatal") && !judges("beside"));
}

#[test]
fn one_that_had_not_begun_goes_after_one_that_had() {
    let mut host = Host::default();
    for number in 1..4 {
        let now = host.now;
        let waiting = fingerprint("waiting");
        crash(&mut host.quarantine, waiting, server(number), None, now);
        host.ends(number, &["fatal"]);
    }
    assert!(host.bars("fatal"));
    assert!(!host.bars("waiting"));
}

/// Servers that end for other reasons take long answers with them; these have been running well.
#[test]
fn a_long_answer_is_not_suspected_of_ends_in_its_middle() {
    let mut host = Host::default();
    for number in 0..20 {
        let ran = Some(Duration::from_millis(2_100));
        let now = host.now;
        crash(
            &mut host.quarantine,
            fingerprint("long"),
            server(number),
            ran,
            now,
        );
        host.ends(number, &[]);
    }
    assert!(!host.bars("long"));
}

#[test]
fn an_answer_that_comes_to_its_end_clears_its_request() {
    let mut host = Host::default();
    host.ends(1, &["sound"]);
    host.ends(2, &["sound"]);
    host.quarantine
        .record_success(fingerprint("sound"), host.now);
    host.pass(Duration::from_millis(1));
    host.ends(3, &["sound"]);
    host.ends(4, &["sound"]);
    assert!(!host.bars("sound"), "two since it was answered");
    host.pass(Duration::from_secs(10));
    host.ends(5, &["sound"]);
    assert!(host.bars("sound"));
    // One that was on its way is answered all the same.
    host.quarantine
        .record_success(fingerprint("sound"), host.now);
    assert!(!host.bars("sound"));
}

/// Connections break for other reasons; a server that goes on to answer has not ended.
#[test]
fn what_was_broken_off_counts_only_where_its_server_has_ended() {
    let mut host = Host::default();
    for number in 1..9 {
        let now = host.now;
        let (fingerprint, server) = (fingerprint("fatal"), server(number));
        host.quarantine
            .record_interruption(fingerprint, server, SHORTLY, now);
        if number % 2 == 0 {
            host.quarantine.record_alive(server);
            host.quarantine.record_server_end(server, now);
        }
        host.pass(SETTLED);
    }
    assert!(!host.bars("fatal"));
    assert_eq!(host.quarantine.unconfirmed_servers(host.now).len(), 4);
    for number in [1, 3, 5] {
        host.quarantine.record_server_end(server(number), host.now);
    }
    host.pass(SETTLED);
    assert!(host.bars("fatal"), "known late, when their entries went");
}

#[test]
fn what_an_end_far_later_has_to_do_with_a_break_is_not_supposed() {
    let mut host = Host::default();
    for number in 1..4 {
        let now = host.now;
        host.quarantine
            .record_interruption(fingerprint("long ago"), server(number), SHORTLY, now);
    }
    host.pass(Duration::from_secs(10));
    assert!(host.quarantine.unconfirmed_servers(host.now).is_empty());
    (1..4).for_each(|number| host.ends(number, &[]));
    assert!(!host.bars("long ago"));
}

/// Seen: a quarter of ninety servers ended within two seconds, and one request was sent to three of them in a row.
#[test]
fn where_many_servers_end_three_ends_may_be_chance() {
    let mut host = Host::default();
    for number in 0..4 {
        host.ends(3 * number, &["unlucky"]);
        assert!(!host.bars("unlucky"), "as many end without it");
        host.ends(3 * number + 1, &[&format!("one {number}")]);
        host.ends(3 * number + 2, &[&format!("other {number}")]);
    }
    host.ends(20, &["unlucky"]);
    assert!(host.bars("unlucky"), "five are no chance");
}

/// Seen: ten of ninety servers ended within a second, the last three of them with the same request.
#[test]
fn who_is_at_the_last_of_many_ends_may_be_there_by_chance() {
    let mut host = Host::default();
    (0..5).for_each(|number| host.ends(number, &[&format!("other {number}")]));
    (5..8).for_each(|number| host.ends(number, &["unlucky"]));
    assert!(!host.bars("unlucky"));
    // The others come back and are answered; that their servers ended stays true.
    for number in 0..5 {
        let other = fingerprint(&format!("other {number}"));
        host.quarantine.record_success(other, host.now);
    }
    host.ends(9, &["another"]);
    assert!(!host.bars("unlucky"));
}

/// Ends of long ago say nothing of those now.
#[test]
fn ends_before_and_after_do_not_make_it_one_of_many() {
    let mut host = Host::default();
    (0..8).for_each(|number| host.ends(number, &["other"]));
    host.quarantine
        .record_success(fingerprint("other"), host.now);
    (10..14).for_each(|number| host.ends(number, &[&format!("other {number}")]));
    host.pass(Duration::from_secs(3));
    (20..23).for_each(|number| host.ends(number, &["fatal"]));
    assert!(host.bars("fatal"));
}

/// Seen: three fatal requests at a time, and one that all other callers asked for, which was at each end.
#[test]
fn what_is_asked_often_is_not_barred_while_it_is_answered() {
    let mut host = Host::default();
    host.pass(SETTLED);
    host.quarantine
        .record_success(fingerprint("often"), host.now);
    host.pass(SETTLED);
    let fatal = ["one", "other", "third"];
    for number in 0..18 {
        host.ends(number, &[fatal[number % 3], "often"]);
        assert!(!host.bars("often"), "{number} ends");
    }
    assert!(fatal.iter().all(|body| host.bars(body)));
}

/// Messages of two hosts overtake each other.
#[test]
fn an_answer_that_is_heard_of_before_the_end_clears_the_request_all_the_same() {
    let now = Time::from_millis(1_000);
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash(&mut there, fingerprint("often"), server(0), SHORTLY, now);
    let end = there.findings_to_report(false, now);
    let later = now + SETTLED;
    there.record_success(fingerprint("often"), later);
    let answer = there.findings_to_report(false, later);
    let heard = later + SETTLED;
    for told in answer.iter().chain(&end) {
        here.apply_finding(told, heard);
    }
    assert!(!here.is_suspect(fingerprint("often")));
    for number in 1..4 {
        crash(
            &mut here,
            fingerprint("often"),
            server(number),
            SHORTLY,
            heard,
        );
    }
    here.evaluate(heard + SETTLED);
    assert!(
        here.barred_for(fingerprint("often"), heard + SETTLED)
            .is_none()
    );
}

/// Another host has answered it, and says so when it hears that it is suspected.
#[test]
fn who_has_answered_a_request_speaks_for_it() {
    let (mut here, mut there) = (Host::default(), Quarantine::default());
    there.record_success(fingerprint("often"), here.now);
    here.pass(SETTLED);
    for number in 0..6 {
        here.ends(number, &["often"]);
        let told = here.quarantine.findings_to_report(false, here.now);
        told.iter()
            .for_each(|told| there.apply_finding(told, here.now));
        let told = there.findings_to_report(false, here.now);
        told.iter()
            .for_each(|told| here.quarantine.apply_finding(told, here.now));
        here.pass(SETTLED);
    }
    assert!(!here.bars("often"));
}

#[test]
fn two_fatal_requests_are_told_apart() {
    let mut host = Host::default();
    host.ends(0, &["one", "beside"]);
    host.ends(1, &["other", "beside"]);
    host.ends(2, &["one"]);
    host.ends(3, &["other"]);
    host.ends(4, &["one", "beside"]);
    assert!(!host.bars("one") && !host.bars("beside"), "at as many ends");
    host.ends(5, &["other"]);
    host.ends(6, &["one"]);
    assert!(host.bars("one") && host.bars("other"));
    assert!(!host.bars("beside"));
}

#[test]
fn a_request_is_barred_for_an_hour_and_then_known_to_be_tried_again() {
    let mut host = Host::default();
    (1..4).for_each(|number| host.ends(number, &["fatal"]));
    assert!(host.bars("fatal"));
    host.quarantine.take_verdicts();
    host.now = host.now + BARRED;
    assert!(!host.bars("fatal"));
    host.quarantine.expire(host.now);
    let verdicts = host.quarantine.take_verdicts();
    assert_eq!(verdicts[0].decision, Decision::Released);
    assert!(host.quarantine.is_empty());
}

#[test]
fn what_is_kept_is_bounded() {
    let mut host = Host::default();
    host.ends(1, &["fatal"]);
    host.ends(2, &["fatal"]);
    for number in 0..10_000 {
        host.ends(3 + number, &[&format!("body {number}")]);
    }
    (20_000..20_003).for_each(|number| host.ends(number, &["fatal"]));
    assert!(
        host.bars("fatal"),
        "the first two are not forgotten: more is known of it"
    );
    assert!(host.quarantine.findings_to_report(true, host.now).len() <= 24);
}

/// Has each host tell each other one what it has to tell; some of it is lost, comes twice or in another order.
fn exchange(u: &mut Unstructured<'_>, hosts: &mut [Quarantine], now: Time) -> Result<()> {
    for teller in 0..hosts.len() {
        let mut told = hosts[teller].findings_to_report(u.arbitrary()?, now);
        if u.arbitrary()? {
            told.reverse();
        }
        let doubled: Vec<Finding> = told.iter().chain(&told).copied().collect();
        for hearer in (0..hosts.len()).filter(|hearer| *hearer != teller) {
            if u.int_in_range(0..=3)? > 0 {
                doubled
                    .iter()
                    .for_each(|told| hosts[hearer].apply_finding(told, now));
            }
        }
    }
    Ok(())
}

/// However messages are lost, doubled and reordered: after each host has told all that it has to tell once more, all bar
/// the fatal request, and none bars another one.
#[test]
fn hosts_come_to_the_same_verdict() {
    each_seed(300, |u| {
        let mut hosts: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        let mut now = Time::from_millis(1_000);
        for end in 0..4 {
            let host = u.int_in_range(0..=3)?;
            crash(
                &mut hosts[host],
                fingerprint("fatal"),
                server(end),
                SHORTLY,
                now,
            );
            if end > 0 {
                let host = u.int_in_range(0..=3)?;
                crash(
                    &mut hosts[host],
                    fingerprint("beside"),
                    server(end),
                    SHORTLY,
                    now,
                );
            }
            exchange(u, &mut hosts, now)?;
            hosts.iter_mut().for_each(|host| host.evaluate(now));
            now = now + Duration::from_millis(u.int_in_range(0..=500)?);
        }
        now = now + SETTLED;
        let told: Vec<Vec<Finding>> = hosts
            .iter_mut()
            .map(|host| host.findings_to_report(true, now))
            .collect();
        for host in &mut hosts {
            let told = told.iter().flatten();
            told.for_each(|told| host.apply_finding(told, now));
            host.evaluate(now);
        }
        for host in &hosts {
            assert!(host.barred_for(fingerprint("fatal"), now).is_some());
            assert!(host.barred_for(fingerprint("beside"), now).is_none());
        }
        Ok(())
    });
}

/// A host that has just read the store tells those that don't watch it.
#[test]
fn what_the_store_says_is_passed_on_and_taken_back() {
    let now = Time::from_millis(500);
    let (mut watcher, mut other) = (Quarantine::default(), Quarantine::default());
    watcher.apply_stored_bar(fingerprint("fatal"), BARRED, now);
    let told = watcher.findings_to_report(false, now);
    told.iter().for_each(|told| other.apply_finding(told, now));
    assert!(other.barred_for(fingerprint("fatal"), now).is_some());
    assert!(
        watcher.findings_to_report(false, now).is_empty(),
        "told once"
    );
    assert_eq!(
        watcher.findings_to_report(true, now),
        told,
        "and in whole notices"
    );
    watcher.apply_stored_release(fingerprint("fatal"), now);
    let told = watcher.findings_to_report(false, now);
    told.iter().for_each(|told| other.apply_finding(told, now));
    assert!(other.barred_for(fingerprint("fatal"), now).is_none());
    let verdicts = other.take_verdicts();
    assert!(verdicts.iter().all(|verdict| !verdict.first_hand));
}
