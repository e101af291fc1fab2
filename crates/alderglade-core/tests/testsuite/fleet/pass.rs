//! The timing of engines, compared with the calculations on the users' sheet.

use super::profile;

fn close(value: f64, expected: f64) {
    assert!((value - expected).abs() < 0.5, "{value} for {expected}");
}

#[test]
fn reading_time_has_a_quadratic_part() {
    close(profile().read_ms(4_960), 24.08 + 1.70);
    close(profile().read_ms(45_000), 218.4 + 139.7);
    close(profile().read_ms(600_000), 2_912.6 + 24_840.0);
}

#[test]
fn a_pass_takes_longer_with_more_requests_and_context() {
    close(profile().idle_pass(0, 0), 43.0 * 1.02);
    close(
        profile().idle_pass(10, 100_000),
        43.0 * (1.02 + 0.0226 + 0.431),
    );
}
