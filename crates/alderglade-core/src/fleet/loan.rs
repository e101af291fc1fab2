//! What a host asks of others' budgets of repeated sends.
//!
//! An answer counts once, and only while what it lends may be used: one that is doubled, late, or meant for a former
//! lifetime of this host gives nothing, and what it lent is lost.

use super::budget::LOAN_LIFETIME;
use crate::Name;
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a host that was lent nothing asks nobody again: where nobody has anything left, asking costs all of them.
const IN_VAIN: Duration = Duration::from_millis(200);

/// Asks for a part of the other's budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The question's number; comes back in the answer.
    pub number: u64,
    /// The service that repeats are sent to.
    pub service: Name,
    /// What is missing, in thousandths of a repeat.
    pub missing: u32,
}

/// The answer to that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loan {
    /// The question's number.
    pub number: u64,
    /// What is lent, in thousandths of a repeat; `0` where nothing is left.
    pub part: u32,
}

/// What was lent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deposit {
    /// The service.
    pub service: Name,
    /// How much, in thousandths of a repeat.
    pub part: u32,
    /// Until when it may be used.
    pub until: Time,
}

/// A question that has no answer yet.
#[derive(Debug)]
struct Question {
    service: Name,
    until: Time,
}

/// The questions of one host.
#[derive(Debug)]
pub struct LoanRequests {
    /// The number of the last one.
    last: u64,
    open: BTreeMap<u64, Question>,
    /// Until when nobody is asked, by service.
    in_vain: BTreeMap<Name, Time>,
}

impl LoanRequests {
    /// Starts with no question. Numbers go on from `first`, which is drawn by chance, so that no answer to a former
    /// lifetime is taken for one to this.
    pub fn new(first: u64) -> LoanRequests {
        LoanRequests {
            last: first,
            open: BTreeMap::new(),
            in_vain: BTreeMap::new(),
        }
    }

    /// Says whether it is worth asking for a service.
    pub fn may_ask(&self, service: &str, now: Time) -> bool {
        self.in_vain.get(service).is_none_or(|until| *until <= now)
    }

    /// Notes that nobody asked has lent enough.
    pub fn record_refusal(&mut self, service: &Name, now: Time) {
        self.in_vain.insert(service.clone(), now + IN_VAIN);
    }

    /// Makes a question.
    pub fn ask(&mut self, service: &Name, missing: u32, now: Time) -> Request {
        self.open.retain(|_, question| question.until >= now);
        self.last = self.last.wrapping_add(1);
        let question = Question {
            service: service.clone(),
            until: now + LOAN_LIFETIME,
        };
        self.open.insert(self.last, question);
        Request {
            number: self.last,
            service: service.clone(),
            missing,
        }
    }

    /// Says whether a question has no answer yet.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Takes an answer; gives what was lent, if anything was and it may still be used.
    pub fn answer(&mut self, loan: Loan, now: Time) -> Option<Deposit> {
        let question = self.open.remove(&loan.number)?;
        let counts = question.until >= now && loan.part > 0;
        counts.then_some(Deposit {
            service: question.service,
            part: loan.part,
            until: question.until,
        })
    }
}
