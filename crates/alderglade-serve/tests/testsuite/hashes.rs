//! Results that depend on hashes of names. Hosts of two versions run side by side. If they computed different groups,
//! owners or digests, they would send notices to the wrong hosts, query the wrong owner, or treat equal lists of
//! servers as different.

use crate::wire_bytes::hex;
use alderglade_core::Name;
use alderglade_core::fleet::directory::{Change, Directory, Server};
use alderglade_core::fleet::fingerprint::Content;
use alderglade_core::fleet::group::{Division, Group, Groups};
use alderglade_core::fleet::incarnation::Incarnation;
use alderglade_core::fleet::rate_limit;
use alderglade_core::time::Time;
use std::net::SocketAddr;

const HOSTS: [&str; 6] = ["h1", "h2", "north-1", "south-1", "south-2", ""];
const SERVERS: [&str; 7] = [
    "w1", "w2", "w3", "engine-a", "engine-b", "engine-c", "engine-d",
];

fn server(id: &str, born: Option<u64>) -> Server {
    Server {
        incarnation: Incarnation::new(id, born),
        service: "calls".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 9_000)),
        domain: "north".into(),
        slots: 6,
        leaving: false,
        cold_ms: 0,
    }
}

fn servers() -> Vec<Server> {
    let born = [None, Some(1_796_000_000_000)].into_iter().cycle();
    let servers = SERVERS.iter().zip(born);
    servers.map(|(id, born)| server(id, born)).collect()
}

/// Returns a group's number, which only its debug text shows.
fn number(group: Group) -> u32 {
    let text = format!("{group:?}");
    let digits = text.trim_matches(|c: char| !c.is_ascii_digit());
    digits.parse().expect("a number")
}

#[test]
fn keys_of_servers_are_stable() {
    let keys: Vec<String> = servers().iter().map(|server| hex(&server.key())).collect();
    let expected = "9a60a2362947 500c667dca38 e9900ae0b48e f855be78e2cc f98447f22782 f8fd27966851 9a04622027bc";
    assert_eq!(keys.join(" "), expected);
}

#[test]
fn groups_and_precedence_of_hosts_are_stable() {
    let division = Division::of_hosts(64 * 16);
    assert_eq!(division.groups(), 16);
    let groups = HOSTS.map(|host| number(division.of_host(host)));
    assert_eq!(groups, [0, 3, 5, 11, 4, 2]);
    let precedence = HOSTS.map(|host| division.precedence("north", host));
    assert_eq!(precedence, [10, 13, 15, 5, 14, 12]);
}

#[test]
fn groups_of_servers_are_stable() {
    let servers = servers();
    let mut groups = Groups::default();
    groups.set_division(Division::of_hosts(64 * 4));
    groups.assign(servers.iter());
    let assigned = servers
        .iter()
        .map(|server| number(groups.of_server(server.key())));
    assert_eq!(assigned.collect::<Vec<_>>(), [1, 3, 2, 1, 2, 0, 0]);
}

#[test]
fn the_digest_of_a_directory_is_stable() {
    let mut directory = Directory::default();
    assert_eq!(directory.digest(), 0);
    for server in servers() {
        directory.apply(Change::Known(server), Time(0));
    }
    assert_eq!(directory.digest(), 1_505_062_366_364_264);
}

#[test]
fn fingerprints_of_requests_are_stable() {
    let private = Content {
        workspace: Some("clinic"),
        method: "POST",
        host: "one.example",
        target: "/stream/x?a=1",
        body: b"a prompt",
    };
    assert_eq!(
        private.fingerprint().to_string(),
        "555817ee2dac8cd2fc61c52e"
    );
    let public = Content {
        workspace: None,
        ..private
    };
    assert_eq!(public.fingerprint().to_string(), "2d0680052dac8cd2fc61c52e");
}

#[test]
fn owners_of_limits_are_stable() {
    let hosts = HOSTS.map(Name::from);
    let servers = servers();
    let owners = servers
        .iter()
        .map(|server| rate_limit::owner(server.key(), hosts.iter()));
    let owners: Vec<&str> = owners.map(|owner| &**owner.expect("an owner")).collect();
    let expected = "h2 south-1 h1  south-2  south-1";
    assert_eq!(owners.join(" "), expected);
}
