//! Runs a prompt that is too long for one engine on a gang of engines.
//!
//! Each member prefills its part on top of the KV cache that the previous member exported; the last
//! one imports the whole cache and generates. Memory must have been reserved at all members; the
//! caller renews the reservations while the request runs.

use crate::engine::Client;
use crate::stream::{self, End};
use crate::wire::Prefill;
use alderglade_core::Name;
use alderglade_core::request::Id;
use std::time::Duration;

/// A prompt that runs on a gang.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Id of the request.
    pub request: Id,
    /// The entry host that runs it.
    pub holder: Name,
    /// Length of the prompt in tokens.
    pub tokens: u64,
}

/// Prefills all parts but the last and returns the handle of the KV cache that the last member imports
/// (`None` if the gang has only one member).
///
/// `time_left` returns the remaining time of the request, which is the timeout of each call.
///
/// # Errors
///
/// Returns how the attempt ended if a member refuses or fails; later members aren't called.
pub fn prefill(
    members: &[Client],
    prompt: &Prompt,
    time_left: impl Fn() -> Duration,
) -> Result<Option<String>, End> {
    let part = part_of(prompt.tokens, members.len());
    let mut import = None;
    let prefill_members = members.len().saturating_sub(1);
    for (position, member) in members.iter().take(prefill_members).enumerate() {
        let body = Prefill {
            request: prompt.request,
            holder: prompt.holder.clone(),
            tokens: part,
            import: import.take(),
        };
        let begun = position > 0;
        let export = member.prefill(&body, time_left());
        let export = export.map_err(|error| end_of(stream::refused(&error), begun))?;
        import = Some(export.handle);
    }
    Ok(import)
}

/// Returns how an attempt on a gang ended, given how the call to one member ended.
///
/// `begun` is whether an earlier member has started. In that case the request has run in part, even
/// if this member reports that it didn't start.
pub fn end_of(end: End, begun: bool) -> End {
    match end {
        End::NoRoom | End::Leaving | End::Unreached if begun => End::Broke,
        end => end,
    }
}

/// Returns the number of tokens that each member but the last prefills.
pub fn part_of(tokens: u64, members: usize) -> u64 {
    tokens / (members.max(1) as u64)
}

/// Returns the number of tokens that remain for the last member.
pub fn last_part(tokens: u64, members: usize) -> u64 {
    let earlier_members = members.saturating_sub(1) as u64;
    tokens - part_of(tokens, members) * earlier_members
}
