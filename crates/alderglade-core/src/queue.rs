//! The queue of one cell: lanes, fair between workspaces, earliest deadline within a workspace.
//!
//! Fairness is start-time fair queueing over prompt tokens: each workspace has a tag that grows by
//! cost divided by weight, the lowest tag goes next, and a workspace that comes back from idling
//! starts at the lane's present tag, so that it neither saves up nor pays for its absence.
//! Every operation costs the logarithm of the workspaces and requests waiting.

use crate::Name;
use crate::lane::{COUNT, Lane};
use crate::request::{Id, Ticket};
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A request that waits, with the entry host that sent it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The request.
    pub ticket: Ticket,
    /// The entry host that waits for it.
    pub from: Name,
    /// When the request came to this queue.
    pub since: Time,
    /// When it has to be answered.
    pub deadline: Time,
}

/// A request's position within its workspace.
type Slot = (Time, Id);

#[derive(Debug, Default)]
struct Backlog {
    tag: u64,
    tokens: u64,
    weight: u32,
    waiting: BTreeMap<Slot, Entry>,
}

#[derive(Debug, Default)]
struct Row {
    order: BTreeSet<(u64, Name)>,
    backlogs: HashMap<Name, Backlog>,
    tag: u64,
    tokens: u64,
    weights: u64,
    count: usize,
}

#[derive(Debug, Clone)]
struct Place {
    lane: Lane,
    workspace: Name,
    slot: Slot,
}

/// The queue of one cell.
#[derive(Debug, Default)]
pub struct Queue {
    rows: [Row; COUNT],
    places: HashMap<Id, Place>,
    deadlines: BTreeSet<Slot>,
}

/// Tags count in this fraction of a token, so that weights up to a thousand keep apart.
const TAG_SCALE: u64 = 1_024;

impl Row {
    fn insert(&mut self, entry: Entry, slot: Slot) {
        let workspace = entry.ticket.workspace.clone();
        let now_tag = self.tag;
        let backlog = self.backlogs.entry(workspace.clone()).or_default();
        if backlog.waiting.is_empty() {
            backlog.tag = backlog.tag.max(now_tag);
            backlog.weight = entry.ticket.weight.max(1);
            self.weights += u64::from(backlog.weight);
            self.order.insert((backlog.tag, workspace));
        }
        backlog.tokens += entry.ticket.prompt;
        self.tokens += entry.ticket.prompt;
        self.count += 1;
        backlog.waiting.insert(slot, entry);
    }

    fn remove(&mut self, workspace: &Name, slot: Slot, served: bool) -> Option<Entry> {
        let backlog = self.backlogs.get_mut(workspace)?;
        let entry = backlog.waiting.remove(&slot)?;
        self.order.remove(&(backlog.tag, workspace.clone()));
        backlog.tokens -= entry.ticket.prompt;
        self.tokens -= entry.ticket.prompt;
        self.count -= 1;
        if served {
            self.tag = self.tag.max(backlog.tag);
            backlog.tag += entry.ticket.prompt * TAG_SCALE / u64::from(backlog.weight);
        }
        if backlog.waiting.is_empty() {
            self.weights -= u64::from(backlog.weight);
        } else {
            self.order.insert((backlog.tag, workspace.clone()));
        }
        Some(entry)
    }

    /// Drops the tags of idle workspaces that the lane has caught up with.
    fn forget_idle(&mut self) {
        let tag = self.tag;
        self.backlogs
            .retain(|_, backlog| !backlog.waiting.is_empty() || backlog.tag > tag);
    }
}

impl Queue {
    /// Gives how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Says whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Gives how many requests wait in a lane.
    pub fn count(&self, lane: Lane) -> usize {
        self.rows[lane.index()].count
    }

    /// Gives the prompt tokens that wait in a lane.
    pub fn tokens(&self, lane: Lane) -> u64 {
        self.rows[lane.index()].tokens
    }

    /// Says whether the request waits here.
    pub fn contains(&self, id: Id) -> bool {
        self.places.contains_key(&id)
    }

    /// Puts a request in; a request that waits already is left as it is.
    pub fn push(&mut self, entry: Entry) {
        let id = entry.ticket.id;
        if self.places.contains_key(&id) {
            return;
        }
        let slot = (entry.deadline, id);
        let place = Place {
            lane: entry.ticket.lane,
            workspace: entry.ticket.workspace.clone(),
            slot,
        };
        self.rows[place.lane.index()].insert(entry, slot);
        self.deadlines.insert(slot);
        self.places.insert(id, place);
    }

    /// Looks at the request that goes next in a lane.
    pub fn peek(&self, lane: Lane) -> Option<&Entry> {
        let row = &self.rows[lane.index()];
        let (_, workspace) = row.order.first()?;
        let backlog = row.backlogs.get(workspace)?;
        backlog.waiting.values().next()
    }

    /// Looks at the next request of up to `most` workspaces of a lane, in their order.
    pub fn heads(&self, lane: Lane, most: usize) -> impl Iterator<Item = &Entry> {
        let row = &self.rows[lane.index()];
        row.order
            .iter()
            .take(most)
            .filter_map(|(_, workspace)| row.backlogs.get(workspace)?.waiting.values().next())
    }

    /// Takes a request out because it is served now; its workspace pays for it.
    pub fn serve(&mut self, id: Id) -> Option<Entry> {
        self.take(id, true)
    }

    /// Takes a request out unserved.
    pub fn remove(&mut self, id: Id) -> Option<Entry> {
        self.take(id, false)
    }

    fn take(&mut self, id: Id, served: bool) -> Option<Entry> {
        let place = self.places.remove(&id)?;
        self.deadlines.remove(&place.slot);
        self.rows[place.lane.index()].remove(&place.workspace, place.slot, served)
    }

    /// Gives the earliest deadline of all that wait.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes out one request whose deadline has passed.
    pub fn expired(&mut self, now: Time) -> Option<Entry> {
        let (deadline, id) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.remove(id)
    }

    /// Gives the tokens that go before a new request of `workspace` in its own lane.
    ///
    /// A workspace within its share waits for its own backlog times the others' weights, never
    /// for the whole backlog of a loud one.
    pub fn ahead(&self, lane: Lane, workspace: &Name, weight: u32) -> u64 {
        let row = &self.rows[lane.index()];
        let own = row.backlogs.get(workspace);
        let tokens = own.map_or(0, |backlog| backlog.tokens);
        let waits = own.is_some_and(|backlog| !backlog.waiting.is_empty());
        let weight = u64::from(weight.max(1));
        let weights = if waits {
            row.weights
        } else {
            row.weights + weight
        };
        let head = row.order.len() as u64 * self.mean_prompt(lane);
        let share = tokens.saturating_mul(weights) / weight;
        (share + head).min(row.tokens)
    }

    fn mean_prompt(&self, lane: Lane) -> u64 {
        let row = &self.rows[lane.index()];
        row.tokens / (row.count.max(1) as u64)
    }

    /// Empties the queue, for handing it over.
    pub fn drain(&mut self) -> Vec<Entry> {
        let ids: Vec<Id> = self.places.keys().copied().collect();
        ids.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Frees what is kept for workspaces that have long been idle.
    pub fn tidy(&mut self) {
        self.rows.iter_mut().for_each(Row::forget_idle);
    }
}
