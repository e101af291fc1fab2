//! What a peer's answer confirms.

use alderglade_core::fleet::message::Confirmation;
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::time::Duration;

#[test]
fn an_answer_that_was_held_up_confirms_nothing_later_than_its_question() {
    let answer = Confirmation {
        asked_us: 10_000_000,
        age: Some(Duration::from_millis(400)),
        config: 7,
        servers: 70,
        position: Position::new(1, 100),
    };
    // When it arrives makes no difference: it may have waited in a socket for seconds.
    assert_eq!(answer.at(), Some(Time::from_millis(9_600)));
}
