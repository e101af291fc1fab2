//! Tests of the decision logic. Many compare it with a simple reference implementation.

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

/// Random bytes per case.
const SIZE: u64 = 8_192;

/// Checks a property with `count` fixed seeds, the same in every run.
fn each_seed(count: u64, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for number in 0..count {
        arbtest::arbtest(|u| {
            // A case ends when its random bytes are used up. Its checks up to that point count.
            let _ = property(u);
            Ok(())
        })
        .seed((number << 32) | SIZE)
        .run();
    }
}
