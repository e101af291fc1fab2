//! The platform's fake: the ledger's objects and the settings, with outages and lost answers.

use super::{Guard, Happening, World};
use alderglade_core::Name;
use alderglade_core::ledger::{Action, Segment, VersionedSegment, Written, ring_slot};
use alderglade_core::node::Event;
use alderglade_core::settings::Tree;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A call takes this long each way.
const WAY: Duration = Duration::from_millis(2);
/// A call without an answer is given up after this long.
const LIMIT: Duration = Duration::from_millis(2_500);

/// The platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformAt {
    pub(crate) down: bool,
    pub(crate) slow: Duration,
    pub(crate) lose_writes: u32,
    /// A watch that shows settings of long ago.
    pub(crate) stale: Option<Arc<Tree>>,
    pub(crate) tree: Arc<Tree>,
    segments: BTreeMap<(u32, u64), VersionedSegment>,
    version: u64,
    pub(crate) writes: u64,
    pub(crate) reads: u64,
}

impl PlatformAt {
    /// Accepts settings as the next revision.
    pub(crate) fn accept(&mut self, tree: Tree) {
        self.tree = Arc::new(tree);
    }

    /// Gives the settings that a look shows.
    pub(crate) fn served_tree(&mut self) -> Arc<Tree> {
        self.reads += 1;
        self.stale.clone().unwrap_or_else(|| self.tree.clone())
    }

    fn read(&mut self, shard: u32) -> Vec<VersionedSegment> {
        self.reads += 1;
        let of_shard = self.segments.iter().filter(|((of, _), _)| *of == shard);
        of_shard.map(|(_, versioned)| versioned.clone()).collect()
    }

    fn write(&mut self, shard: u32, version: u64, segment: Segment, conditional: bool) -> Written {
        self.writes += 1;
        let key = (shard, ring_slot(segment.number));
        let found = self
            .segments
            .get(&key)
            .map_or(0, |versioned| versioned.version);
        if conditional && found != version {
            return Written::Conflict;
        }
        self.version += 1;
        let version = self.version;
        self.segments
            .insert(key, VersionedSegment { segment, version });
        Written::Done(version)
    }
}

impl World {
    /// Sends a call of the ledger on its way.
    pub(crate) fn call_platform(&mut self, host: &Name, incarnation: u64, call: Action) {
        let host = host.clone();
        let pause = WAY + self.platform.slow;
        self.after(
            pause,
            Happening::Platform {
                host,
                incarnation,
                call,
            },
        );
    }

    /// The platform carries a call out; its answer may be lost.
    pub(crate) fn platform_call(&mut self, host: Name, incarnation: u64, call: Action) {
        let platform: Name = super::network::PLATFORM.into();
        let reached = self.way(&host, &platform).is_some() && !self.platform.down;
        let conditional = !self.is_off(Guard::ConditionalWrite);
        let (pause, event) = match call {
            Action::Read { shard } => {
                let segments = reached.then(|| self.platform.read(shard));
                let pause = if reached { WAY } else { LIMIT };
                (pause, Event::Segments { shard, segments })
            }
            Action::Write {
                shard,
                version,
                segment,
            } => {
                let mut written = Written::Unknown;
                let mut pause = LIMIT;
                if reached {
                    let done = self.platform.write(shard, version, segment, conditional);
                    if self.platform.lose_writes > 0 {
                        self.platform.lose_writes -= 1;
                    } else {
                        (pause, written) = (WAY, done);
                    }
                }
                (pause, Event::SegmentWritten { shard, written })
            }
            Action::Clear {
                shard,
                version,
                segment,
            } => {
                let number = segment.number;
                if !reached {
                    return;
                }
                let Written::Done(version) =
                    self.platform.write(shard, version, segment, conditional)
                else {
                    return;
                };
                let event = Event::SegmentCleared {
                    shard,
                    number,
                    version,
                };
                (WAY, event)
            }
            Action::Answer { .. } | Action::Inquire { .. } | Action::Confirm { .. } => return,
        };
        let event = Box::new(event);
        self.after(
            pause,
            Happening::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    /// Gives the platform's calls so far: reads and writes.
    pub fn platform_calls(&self) -> (u64, u64) {
        (self.platform.reads, self.platform.writes)
    }
}
