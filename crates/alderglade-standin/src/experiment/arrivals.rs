//! When requests come: at random from one seed, the same with and without other groups.

use super::{Arrival, Group};
use crate::batch;
use crate::world::requests::Caller;
use alderglade_core::Name;
use alderglade_core::limit::Rate;
use alderglade_core::request::Prefix;
use alderglade_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Where requests come to, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Site<'a> {
    /// The failure domains.
    pub domains: &'a [Name],
    /// Entry hosts in each.
    pub hosts_each: usize,
    /// Engines in each.
    pub engines_each: usize,
    /// Requests come for this long.
    pub seconds: u64,
}

/// Gives the arrivals of several groups in the order of their times.
pub fn of_groups(groups: &[Group], site: Site<'_>, seed: u64) -> Vec<(Time, Caller)> {
    let mut arrivals = Vec::new();
    for (number, group) in groups.iter().enumerate() {
        // Each group has random numbers of its own, so that it is the same alone.
        let seed = seed.wrapping_mul(1_000_003) + number as u64;
        arrivals.extend(of_group(site, group, seed));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    arrivals
}

fn of_group(site: Site<'_>, group: &Group, seed: u64) -> Vec<(Time, Caller)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let times = times(site, group, &mut random);
    let mut arrivals = Vec::new();
    for (number, at) in times.into_iter().enumerate() {
        let tokens = group.tokens[random.random_range(0..group.tokens.len())];
        let domain = &site.domains[number % site.domains.len()];
        let host = random.random_range(0..site.hosts_each);
        let workspace = number as u64 % group.workspaces.max(1);
        let caller = Caller {
            group: group.name.clone(),
            host: format!("{domain}-h{host}").into(),
            workspace: format!("{}-{workspace}", group.name).into(),
            weight: 1,
            priority: group.priority,
            tokens,
            output: group.output,
            output_cap: group.output_cap,
            time_allowed: Duration::from_millis(group.time_allowed_ms),
            prefix: (group.prefixes > 0).then(|| Prefix {
                key: random.random_range(0..group.prefixes),
                tokens: group.prefix_tokens,
            }),
            rate: Rate::new(None, None),
            booking: None,
        };
        arrivals.push((at, caller));
    }
    arrivals
}

fn times(site: Site<'_>, group: &Group, random: &mut ChaCha8Rng) -> Vec<Time> {
    let end = Time(0) + Duration::from_secs(site.seconds);
    let per_second = match &group.arrival {
        Arrival::Steady { per_second } => *per_second,
        Arrival::Load { share } => share * capacity(site, group),
        Arrival::Burst {
            at_ms,
            count,
            over_ms,
        } => {
            let mut times: Vec<Time> = (0..*count)
                .map(|_| Time::from_millis(at_ms + random.random_range(0..(*over_ms).max(1))))
                .collect();
            times.sort_unstable();
            return times;
        }
    };
    let mut times = Vec::new();
    let mut at = Time(0);
    loop {
        let uniform: f64 = random.random_range(1e-9..1.0);
        at = at + Duration::from_secs_f64(-uniform.ln() / per_second);
        if at >= end {
            return times;
        }
        times.push(at);
    }
}

/// Gives how many of a group's requests all engines together can serve in a second, back to back.
///
/// While one request decodes, the next one's prefill goes on in the smaller chunks of mixed
/// steps; what is left of it is prefilled at the full rate.
fn capacity(site: Site<'_>, group: &Group) -> f64 {
    let config = batch::Config::default();
    let engines = site.domains.len() * site.engines_each;
    let mean = group.tokens.iter().sum::<u64>() as f64 / group.tokens.len() as f64;
    let context = config.per_1k_context.as_secs_f64() * mean / 1_000.0;
    let mixed_step =
        config.step.as_secs_f64() + context + config.mixed_chunk as f64 / config.rate as f64;
    let beside = (group.output * config.mixed_chunk) as f64;
    let rest = (mean - beside).max(0.0) / config.rate as f64;
    engines as f64 / (group.output as f64 * mixed_step + rest)
}
