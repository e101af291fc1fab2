//! Server health: what hosts find out from calls and reports, and when it is forgotten.

use super::key;
use alderglade_core::fleet::health::{Ejection, Health, Outcome};
use alderglade_core::time::Time;

#[test]
fn the_ejection_of_a_silent_server_grows_longer() {
    let mut health = Health::default();
    let id = key("a");
    health.record(id, Outcome::Unreachable, Time(0));
    assert!(health.is_suspect(key("a"), "north", Time::from_millis(499)));
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(500)));
    health.record(id, Outcome::Unreachable, Time::from_millis(500));
    assert!(health.is_suspect(key("a"), "north", Time::from_millis(1_499)));
    for _ in 0..20 {
        health.record(id, Outcome::Unreachable, Time(0));
    }
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(2_000)));
}

#[test]
fn a_few_failures_do_not_eject_a_server() {
    let mut health = Health::default();
    let id = key("a");
    health.record(id, Outcome::Failed, Time(0));
    health.record(id, Outcome::Failed, Time(0));
    assert!(!health.is_suspect(key("a"), "north", Time(0)));
    health.record(id, Outcome::Failed, Time(0));
    assert!(health.is_suspect(key("a"), "north", Time(0)));
}

#[test]
fn correct_answers_lower_the_failure_rate() {
    let mut health = Health::default();
    let id = key("a");
    for _ in 0..6 {
        health.record(id, Outcome::Failed, Time(0));
    }
    let worst = health.failure_rate(key("a"));
    for _ in 0..20 {
        health.record(id, Outcome::Success, Time(0));
    }
    assert!(health.failure_rate(key("a")) < worst / 10.0);
    assert_eq!(health.failure_rate(key("unknown")), 0.0);
    health.retain(|_| false);
    assert_eq!(health.failure_rate(key("a")), 0.0);
}

#[test]
fn a_server_that_refuses_work_is_ejected_on_a_peers_report_too() {
    let id = key("a");
    let mut first_hand = Health::default();
    first_hand.eject(id, Time(0));
    let later = Time::from_millis(1_000);
    let reports = first_hand.ejections_to_report(later);
    assert_eq!(reports.len(), 1);
    let mut other = Health::default();
    other.apply_ejection(&reports[0], later);
    for health in [&first_hand, &other] {
        assert!(health.is_suspect(key("a"), "north", Time::from_millis(2_999)));
        assert!(!health.is_suspect(key("a"), "north", Time::from_millis(3_000)));
    }
    assert!(
        other.ejections_to_report(later).is_empty(),
        "only first-hand findings are reported"
    );
}

#[test]
fn no_report_ejects_a_server_for_longer_than_a_first_hand_finding() {
    let mut health = Health::default();
    let report = Ejection {
        server: key("a"),
        left_ms: u32::MAX,
    };
    health.apply_ejection(&report, Time(0));
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(3_000)));
}

/// Two hosts that find a server slow at the same time each receive the other's report a moment later. If each gave up
/// its own finding for the other's, nobody would check the server again.
#[test]
fn of_two_hosts_with_simultaneous_findings_at_least_one_owns_the_ejection() {
    let id = key("a");
    let mut hosts = [Health::default(), Health::default()];
    for (late, host) in hosts.iter_mut().enumerate() {
        host.eject(id, Time(late as u64 * 200));
    }
    let sent = Time::from_millis(1);
    let reports = hosts.each_ref().map(|host| host.ejections_to_report(sent));
    let received = Time::from_millis(3);
    hosts[0].apply_ejection(&reports[1][0], received);
    hosts[1].apply_ejection(&reports[0][0], received);
    assert!(hosts.iter().any(|host| host.owns_ejection(key("a"))));
    // A host that checks the server again has the later finding.
    let again = Time::from_millis(2_400);
    hosts[0].eject(id, again);
    let report = &hosts[0].ejections_to_report(again)[0].clone();
    hosts[1].apply_ejection(report, again);
    assert!(!hosts[1].owns_ejection(key("a")));
}

/// After a crash of many servers, each host had to detect each of them by failures of its own.
#[test]
fn a_closed_server_is_ejected_by_all_hosts_and_a_silent_one_is_not() {
    let (closed, silent) = (key("a"), key("b"));
    let mut finder = Health::default();
    finder.record(closed, Outcome::Closed, Time(0));
    finder.record(silent, Outcome::Unreachable, Time(0));
    let sent = Time::from_millis(100);
    let reports = finder.ejections_to_report(sent);
    let mut other = Health::default();
    reports
        .iter()
        .for_each(|report| other.apply_ejection(report, sent));
    assert!(other.is_suspect(closed, "north", Time::from_millis(499)));
    assert!(
        !other.is_suspect(closed, "north", Time::from_millis(500)),
        "ejected for as long as at the finder"
    );
    assert!(
        !other.is_suspect(silent, "north", sent),
        "the silence may lie in the finder's link"
    );
    assert!(other.ejections_to_report(sent).is_empty());
    finder.record(closed, Outcome::Success, Time::from_millis(200));
    assert!(
        finder
            .ejections_to_report(Time::from_millis(200))
            .is_empty()
    );
}

#[test]
fn reported_ejections_fit_a_notice_however_many_servers_are_gone() {
    let mut finder = Health::default();
    for number in 0..1_200 {
        finder.record(key(&format!("s{number}")), Outcome::Closed, Time(0));
    }
    assert_eq!(finder.ejections_to_report(Time(1)).len(), 32);
}

/// A server is suspect if two hosts of the own failure domain, or hosts of two domains, get no answer from it. One
/// host, or several of one other domain, are not enough, since their own links may be broken.
#[test]
fn a_server_is_suspect_if_a_second_host_has_seen_the_same() {
    let now = Time::from_millis(100);
    let unresponsive = key("a");
    let is_suspect = |hosts: &[(&str, &str)], seen: bool| {
        let mut health = Health::default();
        for (host, domain) in hosts {
            health.apply_unanswered(&(*host).into(), &(*domain).into(), &[unresponsive], now);
        }
        if seen {
            health.record(unresponsive, Outcome::Broken, now);
        }
        health.is_suspect(unresponsive, "north", now)
    };
    assert!(!is_suspect(&[], true));
    assert!(!is_suspect(&[("h1", "north")], false));
    assert!(!is_suspect(&[("h5", "south"), ("h6", "south")], false));
    assert!(is_suspect(&[("h1", "north"), ("h2", "north")], false));
    assert!(is_suspect(&[("h1", "north")], true));
    assert!(is_suspect(&[("h5", "south")], true));
    assert!(is_suspect(&[("h5", "south"), ("h9", "east")], false));
}

#[test]
fn a_report_of_a_server_ends_with_its_next_answer() {
    let unresponsive = key("a");
    let mut sender = Health::default();
    let mut receiver = Health::default();
    sender.record(unresponsive, Outcome::Broken, Time(0));
    let send_report = |sender: &Health, receiver: &mut Health, now| {
        let unanswered = sender.unanswered_to_report(now);
        receiver.apply_unanswered(&"h1".into(), &"north".into(), &unanswered, now);
    };
    receiver.apply_unanswered(&"h2".into(), &"north".into(), &[unresponsive], Time(0));
    send_report(&sender, &mut receiver, Time(0));
    assert!(receiver.is_suspect(unresponsive, "north", Time(0)));
    sender.record(unresponsive, Outcome::Success, Time(1));
    send_report(&sender, &mut receiver, Time(1));
    assert!(!receiver.is_suspect(unresponsive, "north", Time(1)));
    sender.record(unresponsive, Outcome::Unreachable, Time(2));
    assert!(
        sender
            .unanswered_to_report(Time::from_millis(2_100))
            .is_empty(),
        "the report expires"
    );
}

/// Simulates a deployment with four engines that reset all requests and so look idle. Hosts choose the engine with
/// the fewest requests among those that aren't suspect. Returns the number of requests that the four engines got in
/// six seconds.
fn requests_to_resetting_engines(with_reports: bool) -> usize {
    const HOSTS: usize = 72;
    const ENGINES: usize = 60;
    const RESETTING: usize = 4;
    /// Requests per second, and the duration of an answer in milliseconds.
    const REQUESTS_PER_SECOND: u64 = 107;
    const ANSWER_MS: u64 = 1_700;
    /// The delay of notices in milliseconds, including the time for which they are collected.
    const NOTICE_DELAY_MS: u64 = 4;
    let engine = |number: usize| key(&format!("e{number}"));
    let domain = |host: usize| ["north", "south", "east"][host % 3];
    let mut hosts: Vec<Health> = (0..HOSTS).map(|_| Health::default()).collect();
    let mut busy_until = vec![Vec::new(); ENGINES];
    let mut notices: Vec<(u64, usize)> = Vec::new();
    let mut requests = 0;
    for number in 0..6 * REQUESTS_PER_SECOND {
        let at = number * 1_000 / REQUESTS_PER_SECOND;
        let now = Time::from_millis(at);
        let due = notices
            .iter()
            .filter(|(sent, _)| sent + NOTICE_DELAY_MS <= at);
        for (_, from) in due.copied().collect::<Vec<_>>() {
            let list = hosts[from].unanswered_to_report(now);
            let name = format!("h{from}").into();
            for host in hosts.iter_mut().filter(|_| with_reports) {
                host.apply_unanswered(&name, &domain(from).into(), &list, now);
            }
        }
        notices.retain(|(sent, _)| sent + NOTICE_DELAY_MS > at);
        // Heartbeats repeat the reports.
        if number % 40 == 0 {
            notices.extend((0..HOSTS).map(|host| (at, host)));
        }
        let host = (number as usize * 31) % HOSTS;
        let load = |number: &usize| {
            let is_suspect = hosts[host].is_suspect(engine(*number), domain(host), now);
            let running: &Vec<u64> = &busy_until[*number];
            (
                is_suspect,
                running.iter().filter(|until| **until > at).count(),
            )
        };
        let chosen = (0..ENGINES).min_by_key(load).expect("an engine");
        if chosen < RESETTING {
            requests += 1;
            hosts[host].record(engine(chosen), Outcome::Broken, now);
            notices.push((at, host));
        } else {
            hosts[host].record(engine(chosen), Outcome::Success, now);
            busy_until[chosen].push(at + ANSWER_MS);
        }
    }
    requests
}

/// Engines that reset all requests attract work, since they look idle. The reports between hosts prevent that.
#[test]
fn engines_that_reset_all_requests_attract_little_work() {
    let (alone, together) = (
        requests_to_resetting_engines(false),
        requests_to_resetting_engines(true),
    );
    assert!(alone > 300, "{alone}");
    assert!(together < 60, "{together}");
}
