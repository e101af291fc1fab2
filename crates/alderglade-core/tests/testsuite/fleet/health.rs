//! What is learnt of servers from calls, and how it is forgotten.

use alderglade_core::Name;
use alderglade_core::fleet::health::{Health, Outcome};
use alderglade_core::time::Time;

#[test]
fn a_silent_server_is_passed_over_for_a_while_that_grows() {
    let mut health = Health::default();
    let id: Name = "a".into();
    health.note(&id, Outcome::Silent, Time(0));
    assert!(health.doubted("a", Time::from_millis(499)));
    assert!(!health.doubted("a", Time::from_millis(500)));
    health.note(&id, Outcome::Silent, Time::from_millis(500));
    assert!(health.doubted("a", Time::from_millis(1_499)));
    for _ in 0..20 {
        health.note(&id, Outcome::Silent, Time(0));
    }
    assert!(!health.doubted("a", Time::from_millis(2_000)));
}

#[test]
fn a_few_failures_do_not_take_a_server_out() {
    let mut health = Health::default();
    let id: Name = "a".into();
    health.note(&id, Outcome::Failed, Time(0));
    health.note(&id, Outcome::Failed, Time(0));
    assert!(!health.doubted("a", Time(0)));
    health.note(&id, Outcome::Failed, Time(0));
    assert!(health.doubted("a", Time(0)));
}

#[test]
fn good_answers_are_forgiving() {
    let mut health = Health::default();
    let id: Name = "a".into();
    for _ in 0..6 {
        health.note(&id, Outcome::Failed, Time(0));
    }
    let worst = health.failing("a");
    for _ in 0..20 {
        health.note(&id, Outcome::Sound, Time(0));
    }
    assert!(health.failing("a") < worst / 10.0);
    assert_eq!(health.failing("unknown"), 0.0);
    health.retain(|_| false);
    assert_eq!(health.failing("a"), 0.0);
}
