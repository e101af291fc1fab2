//! Sends prompts at a steady rate and prints the times to the first token per length.

use super::{Failure, Options};
use crate::client::{self, Answer, Ask};
use crate::fleet;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Prompts longer than this go as reviews, others as desk work.
const DESK_TOKENS: u64 = 16_000;

/// What to send.
#[derive(Debug, Clone)]
pub(super) struct Load {
    pub(super) hosts: Vec<String>,
    pub(super) requests: usize,
    pub(super) rate: f64,
    pub(super) lengths: Vec<u64>,
    pub(super) workspace: String,
    pub(super) output: u64,
    pub(super) seed: u64,
}

/// Times of one length.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Row {
    tokens: u64,
    sent: usize,
    finished: usize,
    first_token_p50_ms: u64,
    first_token_p95_ms: u64,
    first_token_p99_ms: u64,
    failures: BTreeMap<String, usize>,
}

impl Row {
    /// Gives the length that the row is about.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }
}

pub(super) fn run(options: &Options) -> Result<(), Failure> {
    let hosts = options.text("hosts", "");
    if hosts.is_empty() {
        return Err("`load` needs --hosts ADDRESS,ADDRESS".into());
    }
    let lengths = options.text("lengths", "1000,8000,32000");
    let lengths: Result<Vec<u64>, _> = lengths.split(',').map(str::parse).collect();
    let load = Load {
        hosts: hosts.split(',').map(str::to_string).collect(),
        requests: options.number("requests", 100.0)? as usize,
        rate: options.number("rate", 10.0)?,
        lengths: lengths.map_err(|_| "--lengths: expected whole numbers with commas")?,
        workspace: options.text("workspace", "augsburg"),
        output: options.number("output", 16.0)? as u64,
        seed: options.number("seed", 1.0)? as u64,
    };
    let rows = send(&load);
    if options.json {
        println!("{}", serde_json::to_string(&rows).unwrap_or_default());
    } else {
        print(&rows);
    }
    Ok(())
}

/// Sends the load and sums the answers up.
pub(super) fn send(load: &Load) -> Vec<Row> {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    let mut threads = Vec::new();
    for number in 0..load.requests {
        let due = began + Duration::from_secs_f64(number as f64 / load.rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let tokens = load.lengths[random.random_range(0..load.lengths.len())];
        let host = load.hosts[number % load.hosts.len()].clone();
        let (load, answers) = (load.clone(), answers.clone());
        threads.push(thread::spawn(move || {
            let answer = one(&load, &host, tokens, number);
            let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
            answers.push((tokens, answer));
        }));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    load.lengths
        .iter()
        .map(|tokens| row(*tokens, &answers))
        .collect()
}

fn one(load: &Load, host: &str, tokens: u64, number: usize) -> Answer {
    let class = if tokens > DESK_TOKENS {
        fleet::REVIEW
    } else {
        fleet::DESK
    };
    client::generate(
        &client::agent(),
        &Ask {
            host,
            token: &fleet::token(&load.workspace),
            model: fleet::MODEL,
            class,
            prompt: &format!("prompt {number}"),
            tokens,
            output: load.output,
        },
    )
}

fn row(tokens: u64, answers: &[(u64, Answer)]) -> Row {
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    let mut failures = BTreeMap::new();
    let mut row_count = 0;
    let mut finished = 0;
    for (_, answer) in answers.iter().filter(|(length, _)| *length == tokens) {
        row_count += 1;
        if answer.is_finished() {
            finished += 1;
        } else {
            let kind = if answer.kind().is_empty() {
                "no_answer"
            } else {
                answer.kind()
            };
            *failures.entry(kind.to_string()).or_default() += 1;
        }
        if let Some(time) = answer.first_token {
            let _ = times.record(time.as_millis() as u64);
        }
    }
    Row {
        tokens,
        sent: row_count,
        finished,
        first_token_p50_ms: times.value_at_quantile(0.5),
        first_token_p95_ms: times.value_at_quantile(0.95),
        first_token_p99_ms: times.value_at_quantile(0.99),
        failures,
    }
}

pub(super) fn print(rows: &[Row]) {
    println!("time to first token, ms");
    println!(
        "{:>9} {:>6} {:>9} {:>7} {:>7} {:>7}  failures",
        "TOKENS", "SENT", "FINISHED", "P50", "P95", "P99"
    );
    for row in rows {
        println!(
            "{:>9} {:>6} {:>9} {:>7} {:>7} {:>7}  {:?}",
            row.tokens,
            row.sent,
            row.finished,
            row.first_token_p50_ms,
            row.first_token_p95_ms,
            row.first_token_p99_ms,
            row.failures
        );
    }
}
