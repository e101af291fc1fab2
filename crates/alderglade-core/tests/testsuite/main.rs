//! Tests of the decision core, most of them against naive versions that are plainly right.

mod cell;
mod fleet;
mod lease;
mod ledger;
mod limit;
mod membership;
mod node;
mod queue;
mod request;
mod settings;
mod slo;
mod stream;

use arbtest::arbitrary::{Result, Unstructured};

/// Bytes of randomness for one case.
const SIZE: u64 = 8_192;

/// Tries a property on the same `count` seeds every time.
fn each_seed(count: u64, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for number in 0..count {
        arbtest::arbtest(|u| {
            // A case ends where its randomness does; what it checked by then counts.
            let _ = property(u);
            Ok(())
        })
        .seed((number << 32) | SIZE)
        .run();
    }
}
