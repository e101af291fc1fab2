//! Serves long prompts that may no longer be deferred, so that prompts of any length are served.
//!
//! A long prompt is deferred while others would lose more by it than it gains. Reading grows with the square of the length
//! and value with the length, so the longest prompts are deferred first, and under load until they are given up. That does
//! no harm at a caller's first attempt, because the caller retries. A retry that has waited for a part of its time is due:
//!
//! - No long prompt that isn't due starts before it, except for those that hardly delay it; see
//!   [`crate::fleet::load_table`]. The engines read what they have, and the next prompt that they get is this one.
//! - Neither the number of long prompts being read nor the value of engine time holds it any longer, only what other
//!   answers would lose at once: more than it is worth at first, and twice that at the end of its hold time.

use super::hold_policy;
use super::parts::CostedPlan;
use super::timing::{self, to_millis};
use super::{Plan, Work};

/// The share of its hold time for which a retry may be deferred. The rest is for the prompts that are due before it.
const DEFERRAL_SHARE: f64 = 0.4;

/// Returns the time until a long prompt is due, in milliseconds; negative if it is. A first attempt never is.
pub(super) fn time_left(work: &Work) -> f64 {
    if !work.is_retry {
        return f64::INFINITY;
    }
    let waited = to_millis(work.waited);
    DEFERRAL_SHARE * hold_policy::max_hold(work) - waited + to_millis(work.order_delay)
}

/// Returns the plan of a prompt that is due and that no other one precedes, or `None` if it would cost others too much or
/// could not begin in its time.
pub(super) fn plan(work: &Work, cheapest: CostedPlan) -> Option<Plan> {
    let latest = timing::from_millis(hold_policy::first_event_time_left(work).max(0.0));
    let hold = hold_policy::max_hold(work);
    let passed = -time_left(work) / (hold * (1.0 - DEFERRAL_SHARE));
    let is_acceptable = cheapest.harm <= hold_policy::acceptable_harm(work, passed.clamp(0.0, 1.0))
        && cheapest.plan.time_to_first_event <= latest;
    is_acceptable.then_some(cheapest.plan)
}
