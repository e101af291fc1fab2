//! Answers of the product's own: each kind has its status, its word on having run, and when to come back.

use alderglade_core::error::TABLE;
use alderglade_core::request::Refusal;
use alderglade_serve::answer;
use std::time::Duration;

#[test]
fn each_kind_is_answered_as_its_row_says() {
    for row in &TABLE {
        let refusal = Refusal::new(row.kind, Duration::from_millis(250));
        let answer = answer::refusal(&refusal);
        assert_eq!(answer.status().as_u16(), row.status, "{}", row.label);
        let retry = answer.headers().get("retry-after");
        let retry = retry.map(|value| value.to_str().expect("text"));
        let expected = row.retry_after.then_some("0.25");
        assert_eq!(retry, expected, "{}", row.label);
    }
}
