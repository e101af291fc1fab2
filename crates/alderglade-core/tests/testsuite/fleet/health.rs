//! What is learnt of servers from calls, and how it is forgotten.

use super::key;
use alderglade_core::fleet::health::{Ejection, Health, Outcome};
use alderglade_core::time::Time;

#[test]
fn a_silent_server_is_ejected_for_a_while_that_grows() {
    let mut health = Health::default();
    let id = key("a");
    health.record(id, Outcome::Silent, Time(0));
    assert!(health.is_suspect(key("a"), "north", Time::from_millis(499)));
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(500)));
    health.record(id, Outcome::Silent, Time::from_millis(500));
    assert!(health.is_suspect(key("a"), "north", Time::from_millis(1_499)));
    for _ in 0..20 {
        health.record(id, Outcome::Silent, Time(0));
    }
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(2_000)));
}

#[test]
fn a_few_failures_do_not_take_a_server_out() {
    let mut health = Health::default();
    let id = key("a");
    health.record(id, Outcome::Failed, Time(0));
    health.record(id, Outcome::Failed, Time(0));
    assert!(!health.is_suspect(key("a"), "north", Time(0)));
    health.record(id, Outcome::Failed, Time(0));
    assert!(health.is_suspect(key("a"), "north", Time(0)));
}

#[test]
fn good_answers_are_forgiving() {
    let mut health = Health::default();
    let id = key("a");
    for _ in 0..6 {
        health.record(id, Outcome::Failed, Time(0));
    }
    let worst = health.failing(key("a"));
    for _ in 0..20 {
        health.record(id, Outcome::Sound, Time(0));
    }
    assert!(health.failing(key("a")) < worst / 10.0);
    assert_eq!(health.failing(key("unknown")), 0.0);
    health.retain(|_| false);
    assert_eq!(health.failing(key("a")), 0.0);
}

#[test]
fn a_server_that_refuses_work_is_ejected_on_a_peers_word_too() {
    let id = key("a");
    let mut told = Health::default();
    told.eject(id, Time(0));
    let later = Time::from_millis(1_000);
    let words = told.ejections_to_report(later);
    assert_eq!(words.len(), 1);
    let mut other = Health::default();
    other.apply_ejection(&words[0], later);
    for health in [&told, &other] {
        assert!(health.is_suspect(key("a"), "north", Time::from_millis(2_999)));
        assert!(!health.is_suspect(key("a"), "north", Time::from_millis(3_000)));
    }
    assert!(
        other.ejections_to_report(later).is_empty(),
        "what was only heard isn't told again"
    );
}

#[test]
fn no_peer_has_a_server_ejected_for_longer_than_a_servers_word_counts() {
    let mut health = Health::default();
    let told = Ejection {
        server: key("a"),
        left_ms: u32::MAX,
    };
    health.apply_ejection(&told, Time(0));
    assert!(!health.is_suspect(key("a"), "north", Time::from_millis(3_000)));
}

/// Two hosts that find a server slow at the same time each hear the other's word a moment later. Were each to give up its
/// own for it, nobody would ask the server again.
#[test]
fn of_two_hosts_that_were_told_at_once_one_at_least_looks_after_the_server() {
    let id = key("a");
    let mut hosts = [Health::default(), Health::default()];
    for (late, host) in hosts.iter_mut().enumerate() {
        host.eject(id, Time(late as u64 * 200));
    }
    let sent = Time::from_millis(1);
    let words = hosts.each_ref().map(|host| host.ejections_to_report(sent));
    let heard = Time::from_millis(3);
    hosts[0].apply_ejection(&words[1][0], heard);
    hosts[1].apply_ejection(&words[0][0], heard);
    assert!(hosts.iter().any(|host| host.owns_ejection(key("a"))));
    // One that asks again has the later word.
    let again = Time::from_millis(2_400);
    hosts[0].eject(id, again);
    let word = &hosts[0].ejections_to_report(again)[0].clone();
    hosts[1].apply_ejection(word, again);
    assert!(!hosts[1].owns_ejection(key("a")));
}

/// After a crash of many servers each host found each of them by its own failures.
#[test]
fn a_server_at_whose_address_nobody_listens_is_ejected_by_all_and_a_silent_one_is_not() {
    let (closed, silent) = (key("a"), key("b"));
    let mut finder = Health::default();
    finder.record(closed, Outcome::Closed, Time(0));
    finder.record(silent, Outcome::Silent, Time(0));
    let sent = Time::from_millis(100);
    let words = finder.ejections_to_report(sent);
    let mut other = Health::default();
    words
        .iter()
        .for_each(|word| other.apply_ejection(word, sent));
    assert!(other.is_suspect(closed, "north", Time::from_millis(499)));
    assert!(
        !other.is_suspect(closed, "north", Time::from_millis(500)),
        "as long as the finder"
    );
    assert!(
        !other.is_suspect(silent, "north", sent),
        "the silence may lie in the finder's link"
    );
    assert!(other.ejections_to_report(sent).is_empty());
    finder.record(closed, Outcome::Sound, Time::from_millis(200));
    assert!(
        finder
            .ejections_to_report(Time::from_millis(200))
            .is_empty()
    );
}

#[test]
fn no_number_of_servers_that_are_gone_outgrows_a_notice() {
    let mut finder = Health::default();
    for number in 0..1_200 {
        finder.record(key(&format!("s{number}")), Outcome::Closed, Time(0));
    }
    assert_eq!(finder.ejections_to_report(Time(1)).len(), 32);
}

/// Two hosts of a failure domain, or hosts of two domains, are believed that a server leaves them without an answer; one host,
/// or several of one other domain, whose way there may be broken, are not.
#[test]
fn a_server_is_doubted_where_a_second_host_has_seen_the_same() {
    let now = Time::from_millis(100);
    let sick = key("a");
    let told = |hosts: &[(&str, &str)], seen: bool| {
        let mut health = Health::default();
        for (host, domain) in hosts {
            health.apply_unanswered(&(*host).into(), &(*domain).into(), &[sick], now);
        }
        if seen {
            health.record(sick, Outcome::Broken, now);
        }
        health.is_suspect(sick, "north", now)
    };
    assert!(!told(&[], true));
    assert!(!told(&[("h1", "north")], false));
    assert!(!told(&[("h5", "south"), ("h6", "south")], false));
    assert!(told(&[("h1", "north"), ("h2", "north")], false));
    assert!(told(&[("h1", "north")], true));
    assert!(told(&[("h5", "south")], true));
    assert!(told(&[("h5", "south"), ("h9", "east")], false));
}

#[test]
fn what_hosts_tell_of_a_server_ends_with_its_next_answer_to_them() {
    let sick = key("a");
    let mut sender = Health::default();
    let mut receiver = Health::default();
    sender.record(sick, Outcome::Broken, Time(0));
    let tell = |sender: &Health, receiver: &mut Health, now| {
        let told = sender.unanswered_to_report(now);
        receiver.apply_unanswered(&"h1".into(), &"north".into(), &told, now);
    };
    receiver.apply_unanswered(&"h2".into(), &"north".into(), &[sick], Time(0));
    tell(&sender, &mut receiver, Time(0));
    assert!(receiver.is_suspect(sick, "north", Time(0)));
    sender.record(sick, Outcome::Sound, Time(1));
    tell(&sender, &mut receiver, Time(1));
    assert!(!receiver.is_suspect(sick, "north", Time(1)));
    sender.record(sick, Outcome::Silent, Time(2));
    assert!(
        sender
            .unanswered_to_report(Time::from_millis(2_100))
            .is_empty(),
        "it lapses"
    );
}

/// A deployment with four engines that reset all that they get, and so look empty: hosts choose the engine that all together
/// hold least at, of those they don't doubt. Gives the sends that such engines got in six seconds.
fn sends_to_sick(told: bool) -> usize {
    const HOSTS: usize = 72;
    const ENGINES: usize = 60;
    const SICK: usize = 4;
    /// Requests a second, and how long an answer runs, in milliseconds.
    const RATE: u64 = 107;
    const RUNS: u64 = 1_700;
    /// How long notices take, with the time in which they are collected, in milliseconds.
    const NOTICE: u64 = 4;
    let engine = |number: usize| key(&format!("e{number}"));
    let domain = |host: usize| ["north", "south", "east"][host % 3];
    let mut hosts: Vec<Health> = (0..HOSTS).map(|_| Health::default()).collect();
    let mut busy_until = vec![Vec::new(); ENGINES];
    let mut notices: Vec<(u64, usize)> = Vec::new();
    let mut sends = 0;
    for number in 0..6 * RATE {
        let at = number * 1_000 / RATE;
        let now = Time::from_millis(at);
        let due = notices.iter().filter(|(sent, _)| sent + NOTICE <= at);
        for (_, from) in due.copied().collect::<Vec<_>>() {
            let list = hosts[from].unanswered_to_report(now);
            let name = format!("h{from}").into();
            for host in hosts.iter_mut().filter(|_| told) {
                host.apply_unanswered(&name, &domain(from).into(), &list, now);
            }
        }
        notices.retain(|(sent, _)| sent + NOTICE > at);
        // Heartbeats, which tell the same again.
        if number % 40 == 0 {
            notices.extend((0..HOSTS).map(|host| (at, host)));
        }
        let host = (number as usize * 31) % HOSTS;
        let load = |number: &usize| {
            let doubted = hosts[host].is_suspect(engine(*number), domain(host), now);
            let running: &Vec<u64> = &busy_until[*number];
            (doubted, running.iter().filter(|until| **until > at).count())
        };
        let chosen = (0..ENGINES).min_by_key(load).expect("an engine");
        if chosen < SICK {
            sends += 1;
            hosts[host].record(engine(chosen), Outcome::Broken, now);
            notices.push((at, host));
        } else {
            hosts[host].record(engine(chosen), Outcome::Sound, now);
            busy_until[chosen].push(at + RUNS);
        }
    }
    sends
}

/// Engines that reset all they get draw the work, since they look empty. That hosts tell each other keeps it from them.
#[test]
fn engines_that_reset_all_they_get_draw_little_work() {
    let (alone, together) = (sends_to_sick(false), sends_to_sick(true));
    assert!(alone > 300, "{alone}");
    assert!(together < 60, "{together}");
}
