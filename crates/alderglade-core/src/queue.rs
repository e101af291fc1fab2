//! The wait queue of one cell: three lanes, fair between workspaces, earliest deadline first within
//! a workspace.
//!
//! Each lane uses start-time fair queueing over prompt tokens. Each workspace has a tag that grows
//! by cost divided by weight, and the workspace with the lowest tag is served next. A workspace
//! that was idle restarts at the lane's virtual time, so that it neither accumulates credit nor is
//! penalized for its absence. Every operation is logarithmic in the number of waiting workspaces
//! and requests.

use crate::Name;
use crate::lane::{COUNT, Lane};
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A waiting request and the entry host that sent it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request.
    pub ticket: Ticket,
    /// The entry host that holds the caller's connection.
    pub from: Name,
    /// When the request entered this queue.
    pub since: Time,
    /// The time by which the request has to be answered.
    pub deadline: Time,
}

/// Position of a request within its workspace: earliest deadline first.
type Position = (Time, Id);

/// The waiting requests of one workspace in one lane.
#[derive(Debug, Default)]
struct Backlog {
    tag: u64,
    tokens: u64,
    weight: u32,
    waiting: BTreeMap<Position, Entry>,
}

/// The workspaces that wait in one lane, ordered by their tags.
#[derive(Debug, Default)]
struct LaneQueue {
    order: BTreeSet<(u64, Name)>,
    backlogs: HashMap<Name, Backlog>,
    virtual_time: u64,
    tokens: u64,
    weights: u64,
    count: usize,
}

/// Where a waiting request is found.
#[derive(Debug, Clone)]
struct Location {
    lane: Lane,
    workspace: Name,
    position: Position,
}

/// The wait queue of one cell.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: [LaneQueue; COUNT],
    locations: HashMap<Id, Location>,
    deadlines: BTreeSet<Position>,
}

/// Tag units per token. Tags are integers; this scale keeps weights up to 1,000 distinct.
const TAG_SCALE: u64 = 1_024;

impl LaneQueue {
    fn insert(&mut self, entry: Entry, position: Position) {
        let workspace = entry.ticket.workspace.clone();
        let virtual_time = self.virtual_time;
        let backlog = self.backlogs.entry(workspace.clone()).or_default();
        if backlog.waiting.is_empty() {
            backlog.tag = backlog.tag.max(virtual_time);
            backlog.weight = entry.ticket.weight.max(1);
            self.weights += u64::from(backlog.weight);
            self.order.insert((backlog.tag, workspace));
        }
        backlog.tokens += entry.ticket.prompt;
        self.tokens += entry.ticket.prompt;
        self.count += 1;
        backlog.waiting.insert(position, entry);
    }

    fn remove(&mut self, workspace: &Name, position: Position, served: bool) -> Option<Entry> {
        let backlog = self.backlogs.get_mut(workspace)?;
        let entry = backlog.waiting.remove(&position)?;
        self.order.remove(&(backlog.tag, workspace.clone()));
        backlog.tokens -= entry.ticket.prompt;
        self.tokens -= entry.ticket.prompt;
        self.count -= 1;
        if served {
            self.virtual_time = self.virtual_time.max(backlog.tag);
            backlog.tag += entry.ticket.prompt * TAG_SCALE / u64::from(backlog.weight);
        }
        if backlog.waiting.is_empty() {
            self.weights -= u64::from(backlog.weight);
        } else {
            self.order.insert((backlog.tag, workspace.clone()));
        }
        Some(entry)
    }

    /// Drops idle workspaces whose tag is not ahead of the lane's virtual time.
    fn remove_idle(&mut self) {
        let virtual_time = self.virtual_time;
        self.backlogs
            .retain(|_, backlog| !backlog.waiting.is_empty() || backlog.tag > virtual_time);
    }
}

impl Queue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of waiting requests in a lane.
    pub fn count(&self, lane: Lane) -> usize {
        self.lanes[lane.index()].count
    }

    /// Returns the prompt tokens waiting in a lane.
    pub fn tokens(&self, lane: Lane) -> u64 {
        self.lanes[lane.index()].tokens
    }

    /// Returns whether the request waits in this queue.
    pub fn contains(&self, id: Id) -> bool {
        self.locations.contains_key(&id)
    }

    /// Adds a request. A request that is already waiting stays unchanged.
    pub fn push(&mut self, entry: Entry) {
        let id = entry.ticket.id;
        if self.locations.contains_key(&id) {
            return;
        }
        let position = (entry.deadline, id);
        let location = Location {
            lane: entry.ticket.lane,
            workspace: entry.ticket.workspace.clone(),
            position,
        };
        self.lanes[location.lane.index()].insert(entry, position);
        self.deadlines.insert(position);
        self.locations.insert(id, location);
    }

    /// Returns the next request of a lane without removing it.
    pub fn peek(&self, lane: Lane) -> Option<&Entry> {
        let lane_queue = &self.lanes[lane.index()];
        let (_, workspace) = lane_queue.order.first()?;
        let backlog = lane_queue.backlogs.get(workspace)?;
        backlog.waiting.values().next()
    }

    /// Returns the next request of each of the first `limit` workspaces of a lane, in order.
    pub fn heads(&self, lane: Lane, limit: usize) -> impl Iterator<Item = &Entry> {
        let lane_queue = &self.lanes[lane.index()];
        lane_queue
            .order
            .iter()
            .take(limit)
            .filter_map(|(_, workspace)| {
                lane_queue.backlogs.get(workspace)?.waiting.values().next()
            })
    }

    /// Removes a request that is served now and charges it to its workspace.
    pub fn serve(&mut self, id: Id) -> Option<Entry> {
        self.take_out(id, true)
    }

    /// Removes a request without charging its workspace.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        self.take_out(id, false)
    }

    fn take_out(&mut self, id: Id, served: bool) -> Option<Entry> {
        let location = self.locations.remove(&id)?;
        self.deadlines.remove(&location.position);
        self.lanes[location.lane.index()].remove(&location.workspace, location.position, served)
    }

    /// Returns the earliest deadline of all waiting requests.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes and returns one request whose deadline has passed.
    pub fn pop_expired(&mut self, now: Time) -> Option<Entry> {
        let (deadline, id) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(id)
    }

    /// Estimates the prompt tokens served before a new request of `workspace` in the same lane.
    ///
    /// A workspace within its share waits for its own backlog multiplied by the weights of the
    /// others, never for the whole backlog of a busy workspace.
    pub fn tokens_ahead(&self, lane: Lane, workspace: &Name, weight: u32) -> u64 {
        let lane_queue = &self.lanes[lane.index()];
        let own = lane_queue.backlogs.get(workspace);
        let tokens = own.map_or(0, |backlog| backlog.tokens);
        let is_waiting = own.is_some_and(|backlog| !backlog.waiting.is_empty());
        let weight = u64::from(weight.max(1));
        let weights = if is_waiting {
            lane_queue.weights
        } else {
            lane_queue.weights + weight
        };
        let head = lane_queue.order.len() as u64 * self.mean_prompt(lane);
        let share = tokens.saturating_mul(weights) / weight;
        (share + head).min(lane_queue.tokens)
    }

    fn mean_prompt(&self, lane: Lane) -> u64 {
        let lane_queue = &self.lanes[lane.index()];
        lane_queue.tokens / (lane_queue.count.max(1) as u64)
    }

    /// Removes and returns all waiting requests, in no particular order.
    pub fn drain(&mut self) -> Vec<Entry> {
        let ids: Vec<Id> = self.locations.keys().copied().collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Frees the state of idle workspaces that no longer affects fairness.
    pub fn remove_idle_workspaces(&mut self) {
        self.lanes.iter_mut().for_each(LaneQueue::remove_idle);
    }
}
