//! Removals of servers' entries beside outages of the store: those that are known to be final, and those that may be lapses.

use super::rng::SeededRng;
use super::{active_ids, id_set, key, server};
use alderglade_core::Name;
use alderglade_core::fleet::contact::REACH_TIME;
use alderglade_core::fleet::directory::{Change, Directory, Listing, STORE_RETURN_GRACE};
use alderglade_core::fleet::position::Position;
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns a directory with servers that the store has listed.
fn known(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    let listing = Listing {
        servers: ids.iter().map(|id| server(id, false)).collect(),
        unreadable: Vec::new(),
    };
    directory.apply_listing(listing, Position::new(1, 1), at(0));
    directory
}

/// Returns a directory with two servers after outages of this length, in milliseconds, that began at these times.
fn after_outages(starts: &[u64], length: u64) -> Directory {
    let mut directory = known(&["a", "b"]);
    for start in starts {
        directory.store_lost(at(*start));
        directory.store_returned(at(start + length));
    }
    directory
}

/// Removes an entry, as the change after position 1.
fn remove(directory: &mut Directory, id: &str, now: Time) {
    remove_told(directory, id, Duration::ZERO, now);
}

/// Removes an entry in the same way, while other hosts report that entries may be missing for a while.
fn remove_told(directory: &mut Directory, id: &str, told: Duration, now: Time) {
    let (after, position) = (Position::new(1, 1), Position::new(1, 2));
    let changes = [Change::Gone(id.into())];
    assert!(directory.apply_told_changes(after, &changes, position, told, now));
}

/// Guards against a server that is kept for good because a peer told of its removal during a short outage, and the
/// position is past that change afterwards.
#[test]
fn a_server_that_is_removed_during_a_short_outage_is_dropped_at_its_end() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost(at(1_000));
    remove(&mut directory, "a", at(1_200));
    assert!(!directory.expire(at(1_400)));
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
    directory.store_returned(at(1_500));
    assert!(directory.expire(at(1_500)));
    assert_eq!(active_ids(&directory), id_set(&["b"]));
}

/// Guards against a sound server that is dropped although a peer has told, during a short outage, that entries may be
/// missing for longer than that.
#[test]
fn a_grace_period_that_a_peer_tells_during_an_outage_outlasts_it() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost(at(1_000));
    remove_told(&mut directory, "a", Duration::from_millis(1_600), at(1_200));
    directory.store_returned(at(1_500));
    assert!(!directory.expire(at(2_799)));
    assert!(directory.expire(at(2_800)));
}

/// Guards against a departed server that is kept for as long as one host reports, although another one has been in contact
/// with the store throughout.
#[test]
fn a_reported_grace_period_ends_when_a_host_in_contact_reports_none() {
    let mut directory = known(&["a", "b"]);
    remove_told(&mut directory, "a", STORE_RETURN_GRACE, at(1_000));
    assert!(!directory.expire(at(1_500)));
    directory.revoke_told_grace();
    assert!(directory.expire(at(1_500)));
    assert_eq!(active_ids(&directory), id_set(&["b"]));
}

/// Guards against a host that was cut off by itself and keeps a departed server beyond the time for which it is excused: its
/// last call that failed was made long before the next one.
#[test]
fn a_grace_period_ends_before_the_host_is_bound_by_removals_again() {
    let mut directory = known(&["a", "b"]);
    directory.store_failed(at(4_000));
    directory.store_lost(at(1_000));
    directory.store_returned(at(6_000));
    remove(&mut directory, "a", at(6_000));
    assert!(!directory.expire(at(4_000) + REACH_TIME - Duration::from_millis(1)));
    assert!(directory.expire(at(4_000) + REACH_TIME));
}

/// Guards against a request to a departed server between the end of its grace period and the next heartbeat.
#[test]
fn a_server_is_not_usable_from_the_end_of_its_grace_period() {
    let mut directory = known(&["a", "b"]);
    remove_told(&mut directory, "a", STORE_RETURN_GRACE, at(1_000));
    assert!(directory.is_usable(key("a"), at(2_999)));
    assert!(!directory.is_usable(key("a"), at(3_000)));
    assert!(directory.is_usable(key("b"), at(3_000)));
}

/// Guards against a sound server that is dropped during a second outage, in which its entry can't be written either: it is
/// with the first heartbeat after it.
#[test]
fn a_grace_period_that_an_outage_interrupts_lasts_for_a_heartbeat_after_it() {
    let mut directory = known(&["a", "b"]);
    directory.store_lost(at(1_000));
    directory.store_returned(at(4_000));
    remove(&mut directory, "a", at(4_000));
    directory.store_lost(at(5_000));
    assert!(!directory.expire(at(6_500)));
    directory.store_returned(at(6_500));
    assert!(!directory.expire(at(6_500 + HEARTBEAT)));
    assert!(directory.expire(at(6_500) + STORE_RETURN_GRACE));
}

/// Guards against a sound server that is dropped because each of several outages was too short for its entry to lapse:
/// its heartbeats failed one in each.
#[test]
fn entries_may_lapse_over_several_short_outages() {
    let mut directory = after_outages(&[1_000, 2_200, 3_400], 500);
    remove(&mut directory, "a", at(3_900));
    directory.expire(at(5_899));
    assert_eq!(active_ids(&directory), id_set(&["a", "b"]));
    // Two of them are too few.
    let mut directory = after_outages(&[1_000, 2_200], 500);
    remove(&mut directory, "a", at(2_700));
    assert_eq!(active_ids(&directory), id_set(&["b"]));
}

/// Guards against outages in series that keep a departed server for longer than each of them justifies.
#[test]
fn outages_long_apart_do_not_add_up() {
    let mut directory = after_outages(&[1_000, 5_000, 9_000], 1_500);
    remove(&mut directory, "a", at(10_500));
    assert_eq!(active_ids(&directory), id_set(&["b"]));
}

/// Heartbeats of servers, in milliseconds.
const HEARTBEAT: u64 = 1_200;
/// How long an entry lasts without one.
const ENTRY_LIFETIME: u64 = 3 * HEARTBEAT;
/// How long a host must be undisturbed for departed servers to be dropped.
const CONTACT: u64 = 3_000;

/// Times in which something is out of order, in milliseconds.
struct Outages(Vec<(u64, u64)>);

impl Outages {
    /// Draws outages of half a second to three seconds before 30 s, short ones more often.
    fn draw(rng: &mut SeededRng, max_pause: u64) -> Outages {
        let mut outages = Vec::new();
        let mut start = 1_000 + rng.next_below(max_pause);
        while start < 30_000 {
            let max = if rng.next_below(3) == 0 { 3_000 } else { 1_200 };
            let end = start + 500 + rng.next_below(max);
            outages.push((start, end));
            start = end + 200 + rng.next_below(max_pause);
        }
        Outages(outages)
    }

    fn contains(&self, now: u64) -> bool {
        self.0
            .iter()
            .any(|(start, end)| (*start..*end).contains(&now))
    }

    fn is_quiet(&self, now: u64) -> bool {
        let since = now.saturating_sub(CONTACT);
        !self
            .0
            .iter()
            .any(|(start, end)| *start <= now && *end >= since)
    }
}

/// The store's entries and history.
struct Store {
    /// When each entry was last written.
    written: BTreeMap<Name, u64>,
    history: Vec<Change>,
}

impl Store {
    fn position(&self) -> Position {
        Position::new(1, 1 + self.history.len() as u64)
    }

    fn write(&mut self, id: &Name, now: u64) {
        if self.written.insert(id.clone(), now).is_none() {
            self.history.push(Change::Known(server(id, false)));
        }
    }

    fn remove(&mut self, id: &Name) {
        if self.written.remove(id).is_some() {
            self.history.push(Change::Gone(id.clone()));
        }
    }

    /// Removes the entries that were not written in time, also while nobody reaches the store.
    fn expire(&mut self, now: u64) {
        let is_over = |written: &u64| now - written >= ENTRY_LIFETIME;
        let written = self.written.iter().filter(|(_, at)| is_over(at));
        let lapsed: Vec<Name> = written.map(|(id, _)| id.clone()).collect();
        lapsed.iter().for_each(|id| self.remove(id));
    }

    /// Returns the changes after a position.
    fn after(&self, position: Position) -> &[Change] {
        &self.history[(position.revision - 1) as usize..]
    }
}

/// A host and its contact with the store.
struct Host {
    directory: Directory,
    answered: u64,
    is_lost: bool,
}

impl Host {
    /// Lets the host call the store, and returns the changes that it received.
    fn poll(&mut self, store: &Store, reachable: bool, now: u64) -> Vec<Change> {
        if !reachable {
            if !std::mem::replace(&mut self.is_lost, true) {
                self.directory.store_lost(at(self.answered));
            }
            return Vec::new();
        }
        if std::mem::take(&mut self.is_lost) {
            self.directory.store_returned(at(now));
        }
        self.answered = now;
        let position = self.directory.position();
        let changes = store.after(position).to_vec();
        self.directory
            .apply_changes(position, &changes, store.position(), at(now));
        changes
    }
}

/// Plays outages of the store, which fail heartbeats too, and cuts of one of two hosts from the store while the other one
/// tells it of changes. Returns how many servers left while a host was cut off.
fn play(seed: u64) -> usize {
    let mut rng = SeededRng(seed);
    let down = Outages::draw(&mut rng, 12_000);
    let cut = Outages::draw(&mut rng, 4_000);
    let ids: Vec<Name> = (0..6).map(|number| format!("s{number}").into()).collect();
    let phases: Vec<u64> = ids
        .iter()
        .map(|_| rng.next_below(HEARTBEAT / 100))
        .collect();
    // Half of the servers leave for good.
    let leaves: Vec<u64> = (0..3).map(|_| 1_000 + rng.next_below(28_000)).collect();
    let mut store = Store {
        written: ids.iter().map(|id| (id.clone(), 0)).collect(),
        history: Vec::new(),
    };
    let start = |ids: &[Name]| Host {
        directory: known(&ids.iter().map(|id| &**id).collect::<Vec<_>>()),
        answered: 0,
        is_lost: false,
    };
    let [mut peer, mut host] = [start(&ids), start(&ids)];
    let mut told_in_cut = 0;
    for now in (0..40_000).step_by(100) {
        let is_down = down.contains(now);
        store.expire(now);
        for (number, id) in ids.iter().enumerate() {
            let left = leaves.get(number).is_some_and(|left| *left <= now);
            if left {
                store.remove(id);
            } else if !is_down && now / 100 % (HEARTBEAT / 100) == phases[number] {
                store.write(id, now);
            }
        }
        let after = peer.directory.position();
        let changes = peer.poll(&store, !is_down, now);
        host.poll(&store, !is_down && !cut.contains(now), now);
        if !changes.is_empty() && host.directory.needs_changes(after, store.position()) {
            let grace = peer.directory.grace_left(at(now));
            host.directory
                .apply_told_changes(after, &changes, store.position(), grace, at(now));
            told_in_cut += usize::from(host.is_lost);
        }
        for (name, directory) in [("peer", &mut peer.directory), ("host", &mut host.directory)] {
            directory.expire(at(now));
            for (number, id) in ids.iter().enumerate() {
                let is_used = active_ids(directory).contains(&**id);
                match leaves.get(number) {
                    Some(left) if *left + CONTACT < now => {
                        let is_quiet = down.is_quiet(now) && cut.is_quiet(now);
                        assert!(
                            !is_used || !is_quiet,
                            "{name} keeps {id}: seed {seed}, {now}"
                        );
                    }
                    Some(_) => {}
                    None => assert!(is_used, "{name} dropped {id}: seed {seed}, {now}"),
                }
            }
        }
    }
    told_in_cut
}

/// Guards against departed servers that are kept, and sound ones that are dropped, whatever the order of outages, cuts,
/// lapses and removals.
#[test]
fn departed_servers_are_dropped_and_sound_ones_kept_in_any_order_of_outages() {
    let told_in_cut: usize = (0..500).map(play).sum();
    assert!(told_in_cut > 500, "{told_in_cut}");
}
