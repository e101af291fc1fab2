//! What a peer's answer confirms.

use alderglade_core::fleet::message::Confirmation;
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::time::Duration;

#[test]
fn a_delayed_answer_confirms_nothing_later_than_its_request() {
    let answer = Confirmation {
        sent_us: 10_000_000,
        age: Some(Duration::from_millis(400)),
        config: 7,
        servers: 70,
        position: Position::new(1, 100),
    };
    // The time of arrival makes no difference: the answer may have waited in a socket for seconds.
    assert_eq!(answer.confirmed_until(), Some(Time::from_millis(9_600)));
}
