//! Responses with the product's error kinds: status and `Retry-After` header follow the table of kinds.

use alderglade_core::error::TABLE;
use alderglade_core::request::Refusal;
use alderglade_serve::answer;
use std::time::Duration;

#[test]
fn each_kind_has_the_status_and_retry_delay_of_its_row() {
    for row in &TABLE {
        let refusal = Refusal::new(row.kind, Duration::from_millis(250));
        let response = answer::refusal(&refusal);
        assert_eq!(response.status().as_u16(), row.status, "{}", row.label);
        let retry = response.headers().get("retry-after");
        let retry = retry.map(|value| value.to_str().expect("text"));
        let expected = row.retry_after.then_some("0.25");
        assert_eq!(retry, expected, "{}", row.label);
    }
}
