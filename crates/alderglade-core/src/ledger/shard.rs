//! One shard, as its home has it: what waits, what is being written, what is known.

use super::judge::{self, Step};
use super::{
    Action, COMMIT_EVERY, Claim, Record, SEGMENT_BYTES, Segment, Settled, Verdict, Versioned,
    Written, slot_of,
};
use crate::Name;
use crate::error::Kind;
use crate::request::Id;
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// An answer from the platform is waited for this long.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);
/// A wish waits this long; whoever sent it repeats it if it still stands.
const WAIT_LIMIT: Duration = Duration::from_secs(3);
/// What was read or written no longer ago than this is taken as it stands; only a key that seems
/// to be in flight is read again after that.
const FRESH: Duration = Duration::from_secs(1);

/// What somebody wants of the shard.
#[derive(Debug, Clone)]
pub(super) enum Wish {
    Claim(Claim),
    Settle(Settled),
}

impl Wish {
    fn claimant(&self) -> Id {
        match self {
            Wish::Claim(claim) => claim.claimant,
            Wish::Settle(settled) => settled.claim.claimant,
        }
    }
}

#[derive(Debug, Clone)]
struct Waiter {
    from: Name,
    wish: Wish,
    since: Time,
}

#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Unread,
    Reading { since: Time },
    Ready,
    Writing { since: Time },
}

/// One shard, as its home has it.
#[derive(Debug)]
pub struct Shard {
    number: u32,
    phase: Phase,
    records: HashMap<Name, Record>,
    sealed: Vec<Sealed>,
    versions: HashMap<u64, u64>,
    open: Versioned,
    waiting: VecDeque<Waiter>,
    writing: Vec<Waiter>,
    written: Option<Segment>,
    last_write: Option<Time>,
    synced: Time,
    actions: Vec<Action>,
    writes: u64,
}

#[derive(Debug, Clone)]
struct Sealed {
    number: u64,
    version: u64,
    newest_ms: u64,
    empty: bool,
}

impl Shard {
    /// Starts a shard that has read nothing yet.
    pub fn new(number: u32) -> Shard {
        Shard {
            number,
            phase: Phase::Unread,
            records: HashMap::new(),
            sealed: Vec::new(),
            versions: HashMap::new(),
            open: Versioned::default(),
            waiting: VecDeque::new(),
            writing: Vec::new(),
            written: None,
            last_write: None,
            synced: Time(0),
            actions: Vec::new(),
            writes: 0,
        }
    }

    /// Gives what the shard wants done since it was last asked.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Gives how many writes were asked for.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Says whether nobody waits for the shard.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_empty()
    }

    /// Takes a claim. A claim that waits already is left as it is.
    pub fn claim(&mut self, from: &Name, claim: Claim, now: Time, wall_ms: u64) {
        if let Some(kind) = judge::check_age(&claim, wall_ms) {
            self.answer(from, claim.claimant, Verdict::Refused(kind));
            return;
        }
        self.wait(from, Wish::Claim(claim), now);
        self.advance(now, wall_ms);
    }

    /// Takes the outcome of a claimed request.
    pub fn settle(&mut self, from: &Name, settled: Settled, now: Time, wall_ms: u64) {
        self.wait(from, Wish::Settle(settled), now);
        self.advance(now, wall_ms);
    }

    fn wait(&mut self, from: &Name, wish: Wish, now: Time) {
        let same = |waiter: &Waiter| {
            waiter.wish.claimant() == wish.claimant()
                && std::mem::discriminant(&waiter.wish) == std::mem::discriminant(&wish)
        };
        if self.waiting.iter().chain(&self.writing).any(same) {
            return;
        }
        self.waiting.push_back(Waiter {
            from: from.clone(),
            wish,
            since: now,
        });
    }

    /// Takes the shard's segments as the platform has them; `None` if it gave no answer.
    pub fn read(&mut self, segments: Option<Vec<Versioned>>, now: Time, wall_ms: u64) {
        if !matches!(self.phase, Phase::Reading { .. }) {
            return;
        }
        let Some(segments) = segments else {
            self.phase = Phase::Unread;
            self.give_up();
            return;
        };
        self.load(segments);
        self.synced = now;
        self.phase = Phase::Ready;
        self.advance(now, wall_ms);
    }

    fn load(&mut self, mut segments: Vec<Versioned>) {
        segments.sort_by_key(|versioned| versioned.segment.number);
        self.records.clear();
        self.sealed.clear();
        self.versions.clear();
        self.open = Versioned::default();
        for versioned in segments {
            self.learn(versioned);
        }
    }

    /// Takes in one segment; they come in the order of their numbers.
    fn learn(&mut self, versioned: Versioned) {
        for record in &versioned.segment.records {
            self.records
                .insert(record.claim.key.clone(), record.clone());
        }
        let number = versioned.segment.number;
        self.versions.insert(slot_of(number), versioned.version);
        if versioned.segment.sealed {
            self.sealed.push(Sealed::of(&versioned));
            self.open = self.next_segment(number + 1);
        } else {
            self.open = versioned;
        }
    }

    fn next_segment(&self, number: u64) -> Versioned {
        let version = self.versions.get(&slot_of(number)).copied();
        Versioned {
            segment: Segment {
                number,
                ..Segment::default()
            },
            version: version.unwrap_or(0),
        }
    }

    /// Says whether the ring has come round to a segment whose keys still live.
    fn is_full(&self) -> bool {
        let slot = slot_of(self.open.segment.number);
        let mut live = self.sealed.iter().filter(|sealed| !sealed.empty);
        live.any(|sealed| {
            slot_of(sealed.number) == slot && sealed.number != self.open.segment.number
        })
    }

    /// Takes the end of a write.
    pub fn wrote(&mut self, written: Written, now: Time, wall_ms: u64) {
        if !matches!(self.phase, Phase::Writing { .. }) {
            return;
        }
        match written {
            Written::Done(version) => {
                self.synced = now;
                self.commit(version);
            }
            Written::Conflict | Written::Unknown => self.take_back(now),
        }
        self.advance(now, wall_ms);
    }

    fn commit(&mut self, version: u64) {
        self.phase = Phase::Ready;
        let Some(segment) = self.written.take() else {
            return;
        };
        self.learn(Versioned { segment, version });
        for waiter in std::mem::take(&mut self.writing) {
            match waiter.wish {
                Wish::Claim(claim) => self.answer(&waiter.from, claim.claimant, Verdict::Granted),
                Wish::Settle(settled) => self.confirm(&waiter.from, settled.claim.claimant),
            }
        }
    }

    /// The write's fate is open or it lost: whoever waited waits on, and all is read again.
    fn take_back(&mut self, now: Time) {
        self.written = None;
        for waiter in std::mem::take(&mut self.writing).into_iter().rev() {
            self.waiting.push_front(waiter);
        }
        self.start_read(now);
    }

    fn start_read(&mut self, now: Time) {
        self.phase = Phase::Reading { since: now };
        let shard = self.number;
        self.actions.push(Action::Read { shard });
    }

    /// Tells everyone who waits for a claim that it can't be recorded now.
    ///
    /// Outcomes wait on: whoever sent them repeats them until they are confirmed.
    fn give_up(&mut self) {
        for waiter in std::mem::take(&mut self.waiting) {
            if let Wish::Claim(claim) = waiter.wish {
                let verdict = Verdict::Refused(Kind::PlatformUnavailable);
                self.answer(&waiter.from, claim.claimant, verdict);
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time, wall_ms: u64) {
        match self.phase {
            Phase::Reading { since } if now.since(since) > ANSWER_LIMIT => {
                self.phase = Phase::Unread;
                self.give_up();
            }
            Phase::Writing { since } if now.since(since) > ANSWER_LIMIT => self.take_back(now),
            _ => {}
        }
        self.waiting
            .retain(|waiter| now.since(waiter.since) < WAIT_LIMIT);
        self.advance(now, wall_ms);
        self.clear_old(wall_ms);
    }

    fn advance(&mut self, now: Time, wall_ms: u64) {
        if self.waiting.is_empty() {
            return;
        }
        match self.phase {
            Phase::Unread => self.start_read(now),
            Phase::Ready if self.may_write(now) => self.write(now, wall_ms),
            _ => {}
        }
    }

    fn may_write(&self, now: Time) -> bool {
        let since = self.last_write.map(|last| now.since(last));
        since.is_none_or(|since| since >= COMMIT_EVERY)
    }

    /// Answers what the records answer and writes the rest together.
    fn write(&mut self, now: Time, wall_ms: u64) {
        if self.is_full() {
            self.give_up();
            return;
        }
        let mut segment = self.open.segment.clone();
        let mut fresh: HashMap<Name, Record> = HashMap::new();
        let mut bytes = judge::size(&segment);
        let mut stale = Vec::new();
        for waiter in std::mem::take(&mut self.waiting) {
            let known = |key: &Name| fresh.get(key).or(self.records.get(key)).cloned();
            match judge::judge(&waiter.wish, known) {
                Step::Write(record) => {
                    bytes += judge::record_size(&record);
                    fresh.insert(record.claim.key.clone(), record.clone());
                    segment.records.push(record);
                    self.writing.push(waiter);
                }
                Step::Answer(verdict) => {
                    self.answer(&waiter.from, waiter.wish.claimant(), verdict);
                }
                // Another home of the shard may have recorded the outcome since.
                Step::InFlight(_) if now.since(self.synced) > FRESH => stale.push(waiter),
                Step::InFlight(claim) => {
                    let verdict = Verdict::Refused(Kind::KeyInFlight);
                    self.answer(&waiter.from, waiter.wish.claimant(), verdict);
                    self.actions.push(Action::Inquire { claim });
                }
                Step::Confirm => self.confirm(&waiter.from, waiter.wish.claimant()),
            }
        }
        self.waiting.extend(stale);
        if self.writing.is_empty() {
            if !self.waiting.is_empty() {
                self.start_read(now);
            }
            return;
        }
        judge::drop_superseded(&mut segment, wall_ms);
        segment.sealed = bytes > SEGMENT_BYTES;
        self.writes += 1;
        self.last_write = Some(now);
        self.phase = Phase::Writing { since: now };
        self.written = Some(segment.clone());
        self.actions.push(Action::Write {
            shard: self.number,
            version: self.open.version,
            segment,
        });
    }

    /// Empties segments whose keys are all past their life.
    ///
    /// A clear that fails or whose answer is lost only makes a later version stale; the next
    /// write then meets a conflict and reads again.
    fn clear_old(&mut self, wall_ms: u64) {
        if self.phase != Phase::Ready {
            return;
        }
        let shard = self.number;
        let before = self.actions.len();
        for sealed in &mut self.sealed {
            if sealed.empty || !judge::is_past(sealed.newest_ms, wall_ms) {
                continue;
            }
            sealed.empty = true;
            self.actions.push(Action::Clear {
                shard,
                version: sealed.version,
                segment: Segment {
                    number: sealed.number,
                    sealed: true,
                    records: Vec::new(),
                },
            });
        }
        if self.actions.len() > before {
            self.records
                .retain(|_, record| !judge::is_past(record.claim.issued_ms, wall_ms));
        }
    }

    /// Takes the new version of a segment that was emptied.
    pub fn cleared(&mut self, number: u64, version: u64) {
        if slot_of(self.open.segment.number) != slot_of(number) {
            self.versions.insert(slot_of(number), version);
        }
    }

    fn answer(&mut self, to: &Name, request: Id, verdict: Verdict) {
        let to = to.clone();
        self.actions.push(Action::Answer {
            to,
            request,
            verdict,
        });
    }

    fn confirm(&mut self, to: &Name, request: Id) {
        let to = to.clone();
        self.actions.push(Action::Confirm { to, request });
    }
}

impl Sealed {
    fn of(versioned: &Versioned) -> Sealed {
        let issued = versioned.segment.records.iter().map(|r| r.claim.issued_ms);
        Sealed {
            number: versioned.segment.number,
            version: versioned.version,
            newest_ms: issued.max().unwrap_or(0),
            empty: versioned.segment.records.is_empty(),
        }
    }
}
