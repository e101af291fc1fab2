//! The state of a shard at its home: known records, waiting operations and the write in progress.

use super::decide::{self, Step};
use super::{
    Action, COMMIT_INTERVAL, Claim, Record, SEAL_THRESHOLD_BYTES, Segment, Settled, Verdict,
    VersionedSegment, Written, ring_slot,
};
use crate::Name;
use crate::error::Kind;
use crate::request::Id;
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A read or write of the platform without an answer is given up after this time.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// An operation is dropped after this time. Its sender retries it if it is still needed.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(3);
/// The known records are current for this long after the last read or write of the shard.
///
/// After that, the segments are read again before a claim is refused because its key is in flight.
const SYNC_MAX_AGE: Duration = Duration::from_secs(1);

/// A request of an entry host to the shard.
#[derive(Debug, Clone)]
pub(super) enum Operation {
    Claim(Claim),
    Settle(Settled),
}

impl Operation {
    fn claimant(&self) -> Id {
        match self {
            Operation::Claim(claim) => claim.claimant,
            Operation::Settle(settled) => settled.claim.claimant,
        }
    }
}

/// An operation that waits or is being written.
#[derive(Debug, Clone)]
struct Pending {
    /// The entry host that sent the operation.
    from: Name,
    operation: Operation,
    since: Time,
}

/// The state of the communication with the platform.
#[derive(Debug, Clone, PartialEq)]
enum Phase {
    Unread,
    Reading { since: Time },
    Ready,
    Writing { since: Time },
}

/// The state of one shard at its home.
#[derive(Debug)]
pub struct Shard {
    number: u32,
    phase: Phase,
    /// The latest record of each key.
    records: HashMap<Name, Record>,
    sealed: Vec<Sealed>,
    /// The version of each object of the ring, by slot.
    versions: HashMap<u64, u64>,
    open: VersionedSegment,
    waiting: VecDeque<Pending>,
    /// The operations whose records are in the write in progress.
    writing: Vec<Pending>,
    /// The content of the write in progress.
    written: Option<Segment>,
    last_write: Option<Time>,
    /// When the shard was last read or written successfully.
    synced: Time,
    actions: Vec<Action>,
    writes: u64,
}

/// What is kept of a sealed segment; its records are in [`Shard::records`].
#[derive(Debug, Clone)]
struct Sealed {
    number: u64,
    version: u64,
    /// The latest issue time of its keys, in milliseconds since the Unix epoch.
    newest_ms: u64,
    empty: bool,
}

impl Shard {
    /// Creates a shard whose segments have not been read yet.
    pub fn new(number: u32) -> Shard {
        Shard {
            number,
            phase: Phase::Unread,
            records: HashMap::new(),
            sealed: Vec::new(),
            versions: HashMap::new(),
            open: VersionedSegment::default(),
            waiting: VecDeque::new(),
            writing: Vec::new(),
            written: None,
            last_write: None,
            synced: Time(0),
            actions: Vec::new(),
            writes: 0,
        }
    }

    /// Returns the actions since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of writes requested so far.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Returns whether no operation waits or is being written.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.writing.is_empty()
    }

    /// Handles a claim. A claim that already waits is not added again.
    pub fn claim(&mut self, from: &Name, claim: Claim, now: Time, wall_ms: u64) {
        if let Some(kind) = decide::check_age(&claim, wall_ms) {
            self.answer(from, claim.claimant, Verdict::Refused(kind));
            return;
        }
        self.enqueue(from, Operation::Claim(claim), now);
        self.advance(now, wall_ms);
    }

    /// Handles the outcome of a claimed request.
    pub fn settle(&mut self, from: &Name, settled: Settled, now: Time, wall_ms: u64) {
        self.enqueue(from, Operation::Settle(settled), now);
        self.advance(now, wall_ms);
    }

    fn enqueue(&mut self, from: &Name, operation: Operation, now: Time) {
        let same = |pending: &Pending| {
            pending.operation.claimant() == operation.claimant()
                && std::mem::discriminant(&pending.operation) == std::mem::discriminant(&operation)
        };
        if self.waiting.iter().chain(&self.writing).any(same) {
            return;
        }
        self.waiting.push_back(Pending {
            from: from.clone(),
            operation,
            since: now,
        });
    }

    /// Handles the end of a read: the segments in the platform, or `None` if the read failed.
    pub fn handle_read(
        &mut self,
        segments: Option<Vec<VersionedSegment>>,
        now: Time,
        wall_ms: u64,
    ) {
        if !matches!(self.phase, Phase::Reading { .. }) {
            return;
        }
        let Some(segments) = segments else {
            self.phase = Phase::Unread;
            self.refuse_claims();
            return;
        };
        self.load(segments);
        self.synced = now;
        self.phase = Phase::Ready;
        self.advance(now, wall_ms);
    }

    fn load(&mut self, mut segments: Vec<VersionedSegment>) {
        segments.sort_by_key(|versioned| versioned.segment.number);
        self.records.clear();
        self.sealed.clear();
        self.versions.clear();
        self.open = VersionedSegment::default();
        for versioned in segments {
            self.apply_segment(versioned);
        }
    }

    /// Adds the records of a segment. Segments have to be added in the order of their numbers.
    fn apply_segment(&mut self, versioned: VersionedSegment) {
        for record in &versioned.segment.records {
            self.records
                .insert(record.claim.key.clone(), record.clone());
        }
        let number = versioned.segment.number;
        self.versions.insert(ring_slot(number), versioned.version);
        if versioned.segment.sealed {
            self.sealed.push(Sealed::of(&versioned));
            self.open = self.next_segment(number + 1);
        } else {
            self.open = versioned;
        }
    }

    /// Returns an empty segment with the version that its object now has.
    fn next_segment(&self, number: u64) -> VersionedSegment {
        let version = self.versions.get(&ring_slot(number)).copied();
        VersionedSegment {
            segment: Segment {
                number,
                ..Segment::default()
            },
            version: version.unwrap_or(0),
        }
    }

    /// Returns whether the object of the open segment still stores an older segment that isn't empty.
    fn is_full(&self) -> bool {
        let slot = ring_slot(self.open.segment.number);
        let mut occupied = self.sealed.iter().filter(|sealed| !sealed.empty);
        occupied.any(|sealed| {
            ring_slot(sealed.number) == slot && sealed.number != self.open.segment.number
        })
    }

    /// Handles the end of a write.
    pub fn handle_write_result(&mut self, written: Written, now: Time, wall_ms: u64) {
        if !matches!(self.phase, Phase::Writing { .. }) {
            return;
        }
        match written {
            Written::Done(version) => {
                self.synced = now;
                self.commit(version);
            }
            Written::Conflict | Written::Unknown => self.requeue_and_read(now),
        }
        self.advance(now, wall_ms);
    }

    fn commit(&mut self, version: u64) {
        self.phase = Phase::Ready;
        let Some(segment) = self.written.take() else {
            return;
        };
        self.apply_segment(VersionedSegment { segment, version });
        for pending in std::mem::take(&mut self.writing) {
            match pending.operation {
                Operation::Claim(claim) => {
                    self.answer(&pending.from, claim.claimant, Verdict::Granted)
                }
                Operation::Settle(settled) => self.confirm(&pending.from, settled.claim.claimant),
            }
        }
    }

    /// Handles a write that failed or whose result is unknown.
    ///
    /// Its operations wait again, and the segments are read again.
    fn requeue_and_read(&mut self, now: Time) {
        self.written = None;
        for pending in std::mem::take(&mut self.writing).into_iter().rev() {
            self.waiting.push_front(pending);
        }
        self.start_read(now);
    }

    fn start_read(&mut self, now: Time) {
        self.phase = Phase::Reading { since: now };
        let shard = self.number;
        self.actions.push(Action::Read { shard });
    }

    /// Refuses the waiting claims because they can't be recorded now.
    ///
    /// Waiting outcomes are dropped: their senders repeat them until they are confirmed.
    fn refuse_claims(&mut self) {
        for pending in std::mem::take(&mut self.waiting) {
            if let Operation::Claim(claim) = pending.operation {
                let verdict = Verdict::Refused(Kind::PlatformUnavailable);
                self.answer(&pending.from, claim.claimant, verdict);
            }
        }
    }

    /// Handles timeouts, starts writes that are due and empties expired segments.
    pub fn tick(&mut self, now: Time, wall_ms: u64) {
        match self.phase {
            Phase::Reading { since } if now.since(since) > PLATFORM_TIMEOUT => {
                self.phase = Phase::Unread;
                self.refuse_claims();
            }
            Phase::Writing { since } if now.since(since) > PLATFORM_TIMEOUT => {
                self.requeue_and_read(now)
            }
            _ => {}
        }
        self.waiting
            .retain(|pending| now.since(pending.since) < OPERATION_TIMEOUT);
        self.advance(now, wall_ms);
        self.clear_old(wall_ms);
    }

    /// Starts a read or a write if operations wait and neither is in progress.
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
        since.is_none_or(|since| since >= COMMIT_INTERVAL)
    }

    /// Answers the waiting operations that the known records decide, and writes the others together.
    fn write(&mut self, now: Time, wall_ms: u64) {
        if self.is_full() {
            self.refuse_claims();
            return;
        }
        let mut segment = self.open.segment.clone();
        let mut batch: HashMap<Name, Record> = HashMap::new();
        let mut bytes = decide::size(&segment);
        let mut stale = Vec::new();
        for pending in std::mem::take(&mut self.waiting) {
            let known = |key: &Name| batch.get(key).or(self.records.get(key)).cloned();
            match decide::decide(&pending.operation, known) {
                Step::Write(record) => {
                    bytes += decide::record_size(&record);
                    batch.insert(record.claim.key.clone(), record.clone());
                    segment.records.push(record);
                    self.writing.push(pending);
                }
                Step::Answer(verdict) => {
                    self.answer(&pending.from, pending.operation.claimant(), verdict);
                }
                // Another home of the shard may have recorded the outcome in the meantime.
                Step::InFlight(_) if now.since(self.synced) > SYNC_MAX_AGE => stale.push(pending),
                Step::InFlight(claim) => {
                    let verdict = Verdict::Refused(Kind::KeyInFlight);
                    self.answer(&pending.from, pending.operation.claimant(), verdict);
                    self.actions.push(Action::Inquire { claim });
                }
                Step::Confirm => self.confirm(&pending.from, pending.operation.claimant()),
            }
        }
        self.waiting.extend(stale);
        if self.writing.is_empty() {
            if !self.waiting.is_empty() {
                self.start_read(now);
            }
            return;
        }
        decide::drop_superseded(&mut segment, wall_ms);
        segment.sealed = bytes > SEAL_THRESHOLD_BYTES;
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

    /// Empties sealed segments whose keys have all expired.
    ///
    /// If clearing fails or its answer is lost, the known version of the object may be outdated. The
    /// next write to it then ends in a conflict, and the segments are read again.
    fn clear_old(&mut self, wall_ms: u64) {
        if self.phase != Phase::Ready {
            return;
        }
        let shard = self.number;
        let before = self.actions.len();
        for sealed in &mut self.sealed {
            if sealed.empty || !decide::is_expired(sealed.newest_ms, wall_ms) {
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
                .retain(|_, record| !decide::is_expired(record.claim.issued_ms, wall_ms));
        }
    }

    /// Handles the end of a write that emptied a segment: records the new version of its object.
    pub fn handle_cleared(&mut self, number: u64, version: u64) {
        if ring_slot(self.open.segment.number) != ring_slot(number) {
            self.versions.insert(ring_slot(number), version);
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
    fn of(versioned: &VersionedSegment) -> Sealed {
        let issued = versioned.segment.records.iter().map(|r| r.claim.issued_ms);
        Sealed {
            number: versioned.segment.number,
            version: versioned.version,
            newest_ms: issued.max().unwrap_or(0),
            empty: versioned.segment.records.is_empty(),
        }
    }
}
