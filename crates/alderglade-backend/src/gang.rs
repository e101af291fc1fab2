//! Takes a prompt bigger than one engine through the members of a gang.
//!
//! Each member prefills its part on top of the KV cache that the member before has exported; the
//! last one imports it all and generates. Memory is reserved at all members already; whoever runs
//! the request renews it.

use crate::engine::Client;
use crate::stream::{self, End};
use crate::wire::Prefill;
use alderglade_core::Name;
use alderglade_core::request::Id;
use std::time::Duration;

/// A prompt on its way through a gang.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The request.
    pub request: Id,
    /// The entry host that runs it.
    pub holder: Name,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Prefills all parts but the last; gives the last member's import.
///
/// `left` gives the time that remains; each call is bounded by it.
///
/// # Errors
///
/// How the try ended with the first member that didn't serve.
pub fn prefill(
    members: &[Client],
    prompt: &Prompt,
    left: impl Fn() -> Duration,
) -> Result<Option<String>, End> {
    let part = part_of(prompt.tokens, members.len());
    let mut import = None;
    let before_last = members.len().saturating_sub(1);
    for (position, member) in members.iter().take(before_last).enumerate() {
        let body = Prefill {
            request: prompt.request,
            holder: prompt.holder.clone(),
            tokens: part,
            import: import.take(),
        };
        let begun = position > 0;
        let export = member.prefill(&body, left());
        let export = export.map_err(|error| end_of(stream::refused(&error), begun))?;
        import = Some(export.handle);
    }
    Ok(import)
}

/// Says how a try ended at one member of a gang.
///
/// Once an earlier member has begun, a later one's word that it didn't start doesn't mean that
/// the request didn't run.
pub fn end_of(end: End, begun: bool) -> End {
    match end {
        End::NoRoom | End::Leaving | End::Unreached if begun => End::Broke,
        end => end,
    }
}

/// Gives the tokens that each member but the last prefills.
pub fn part_of(tokens: u64, members: usize) -> u64 {
    tokens / (members.max(1) as u64)
}

/// Gives the tokens that are left for the last member.
pub fn last_part(tokens: u64, members: usize) -> u64 {
    let before = members.saturating_sub(1) as u64;
    tokens - part_of(tokens, members) * before
}
