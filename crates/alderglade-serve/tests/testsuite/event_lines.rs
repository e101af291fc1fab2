//! The exact text of the log lines. Operators' tools and the soak test parse them by number, name and key. A key that
//! follows a renamed field, or a number that moves to another kind, would be misread without any error.

use alderglade_core::Name;
use alderglade_core::fleet::ending::Framing;
use alderglade_core::fleet::fingerprint::Fingerprint;
use alderglade_core::fleet::part::Part;
use alderglade_serve::daemon::Addresses;
use alderglade_serve::event::{
    self, ALL, PartBar, Record, Requester, ResponseEnd, ServerBreak, ServerDeparting,
    ServerDropped, ServerReturned, ServersKept, StoreReach,
};
use log::{LevelFilter, Log, Metadata};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

thread_local! {
    /// The lines that the thread has logged.
    static LOGGED_LINES: RefCell<Vec<String>> = const { RefCell::new(Vec::new()) };
}

/// Stores each line for the thread that logs it, because tests run in parallel.
struct LineRecorder;

impl Log for LineRecorder {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LOGGED_LINES.with_borrow_mut(|lines| lines.push(record.args().to_string()));
    }

    fn flush(&self) {}
}

/// Returns the line that is logged for a record, without its time.
fn line(record: &Record<'_>) -> String {
    event::write(record);
    let line = LOGGED_LINES.with_borrow_mut(Vec::pop).expect("a line");
    let rest = line.strip_prefix("{\"at_ms\":").expect("its time");
    let rest = rest.trim_start_matches(|digit: char| digit.is_ascii_digit());
    rest.strip_prefix(',').expect("more than a time").into()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 7], port))
}

/// Returns a fingerprint that begins with this byte.
pub fn fingerprint(first: u8) -> Fingerprint {
    format!("{first:02x}112233445566778899aabb")
        .parse()
        .expect("a digest")
}

/// The lines of [`records`] with all optional fields, followed by those lines that differ without them and by those of
/// [`attributed_records`] and [`routed_record`].
const LINES: &str = r#"
"n":3001,"level":"INFO","event":"started","host":"host-1","domain":"domain-1","callers":"10.0.0.7:8002","ready":"10.0.0.7:8003","peers":"10.0.0.7:8004","metrics":"10.0.0.7:8005"}
"n":3002,"level":"INFO","event":"stopping","in_flight":21}
"n":3003,"level":"INFO","event":"stopped","cut_off":31,"untold":32,"taken_stopping":33,"connections":34,"stopping_ms":35}
"n":3004,"level":"INFO","event":"reloaded","outcome":"outcome-4"}
"n":3006,"level":"WARN","event":"suspended","span_ms":51}
"n":3101,"level":"INFO","event":"config_in_force","version":61,"before":62}
"n":3102,"level":"WARN","event":"config_unreadable","problem":"problem-7"}
"n":3103,"level":"INFO","event":"servers_changed","known":81,"leaving":82}
"n":3104,"level":"INFO","event":"server_refusing","server":"server-9","by":"by-9"}
"n":3105,"level":"WARN","event":"server_slow","server":"server-10","slowdown":2.25}
"n":3106,"level":"INFO","event":"server_restarted","server":"server-11","born_ms":112,"former_born_ms":113}
"n":3109,"level":"INFO","event":"server_leaves","server":"server-12"}
"n":3110,"level":"INFO","event":"server_backoff","server":"server-13","for_ms":132}
"n":3111,"level":"INFO","event":"server_limit","server":"server-14","per_second":2.5}
"n":3112,"level":"INFO","event":"server_cold","server":"server-15","for_ms":152}
"n":3113,"level":"INFO","event":"evacuated","domains":["north","south"]}
"n":3114,"level":"INFO","event":"grouped","groups":171,"hosts":172,"servers":173}
"n":3115,"level":"WARN","event":"path_lost","blocked":551,"live_hosts":552}
"n":3116,"level":"INFO","event":"path_regained","after_ms":561}
"n":3117,"level":"INFO","event":"server_departing","server":"server-62","sign":"sign-62","told_by":"told-by-62","peer":"peer-62","era":625,"revision":626,"store_age_ms":627,"kept":"kept-62","kept_ms":629}
"n":3118,"level":"INFO","event":"server_dropped","server":"server-63","sign":"sign-63","after_ms":633,"last_send_ms":634}
"n":3119,"level":"INFO","event":"server_returned","server":"server-64","after_ms":642}
"n":3107,"level":"WARN","event":"entry_unreadable","of":"of-18","name":"name-18","problem":"problem-18"}
"n":3108,"level":"INFO","event":"entry_mended","of":"of-19","name":"name-19"}
"n":3201,"level":"WARN","event":"store_lost","problem":"problem-20"}
"n":3202,"level":"INFO","event":"store_back","age_ms":211}
"n":3203,"level":"INFO","event":"store_role","role":"role-22","heard":222,"watchers":223,"store_age_ms":224}
"n":3204,"level":"INFO","event":"store_reach","cut_off":true,"refused":true,"informed":false,"isolated":false,"store_age_ms":235}
"n":3205,"level":"WARN","event":"store_restored","era":241,"former_era":242}
"n":3206,"level":"INFO","event":"servers_restored","era":251,"revision":252,"former_revision":253,"missing":254,"held_back":255}
"n":3207,"level":"INFO","event":"entry_written_again","name":"name-26"}
"n":3208,"level":"INFO","event":"config_copied","version":271,"from":"10.0.0.7:8001"}
"n":3209,"level":"INFO","event":"servers_kept","servers":651,"for_ms":652}
"n":3301,"level":"INFO","event":"peer_joined","peers":["h2","h3"],"count":282}
"n":3302,"level":"WARN","event":"peer_lost","peers":["h2","h3"],"count":292}
"n":3401,"level":"INFO","event":"placed","id":"id-30","asked":"1e112233445566778899aabb","server":"server-30","attempt":304,"prompt":305,"helpers":306,"shares":307,"waited_ms":308,"expected_ms":309,"config":3010,"stopping_ms":3011}
"n":3402,"level":"WARN","event":"attempt_failed","id":"id-31","server":"server-31","attempt":313,"problem":"problem-31"}
"n":3403,"level":"INFO","event":"answered","id":"id-32","status":322,"took_ms":323,"first_ms":324,"longest_pause_ms":325,"aim_ms":326,"pause_aim_ms":327}
"n":3404,"level":"INFO","event":"refused","id":"id-33","kind":"kind-33","number":333,"ran":"ran-33","took_ms":335,"store_age_ms":336,"stopping_ms":337}
"n":3405,"level":"WARN","event":"broken_off","id":"id-34","problem":"problem-34","took_ms":343,"stopping_ms":344}
"n":3406,"level":"INFO","event":"caller_left","id":"id-35"}
"n":3407,"level":"INFO","event":"held","id":"id-36","reason":"reason-36","prompt":363,"waited_ms":364,"giants":365,"pressure":6.25}
"n":3408,"level":"WARN","event":"cut_off","id":"id-37","doing":"doing-37","server":"server-37","took_ms":374,"came_stopping_ms":375,"stopping_ms":376}
"n":3409,"level":"INFO","event":"repeat_refused","id":"id-38","service":"service-38","asked":383}
"n":3410,"level":"INFO","event":"server_broke_off","id":"id-39","asked":"27112233445566778899aabb","server":"server-39","ran_ms":394,"ended":true,"parts":["00000395","0000039c"]}
"n":3411,"level":"WARN","event":"quarantined","asked":"28112233445566778899aabb","servers":402,"first_hand":true,"part":"00000395","with":["0000039c"],"left_s":405}
"n":3412,"level":"INFO","event":"quarantine_released","asked":"29112233445566778899aabb","part":"0000039c"}
"n":3413,"level":"WARN","event":"quarantine_not_kept","asked":"2a112233445566778899aabb","problem":"problem-42"}
"n":3501,"level":"INFO","event":"memory_refused","id":"id-43","server":"server-43","problem":"problem-43"}
"n":3502,"level":"WARN","event":"memory_not_released","server":"server-44","problem":"problem-44"}
"n":3303,"level":"WARN","event":"peer_fault","problem":"problem-45"}
"n":3304,"level":"WARN","event":"listen_fault","problem":"problem-46"}
"n":3305,"level":"WARN","event":"proxy_refused","from":"10.0.0.7:8006"}
"n":3306,"level":"INFO","event":"confirmation_ignored","from":"10.0.0.7:8007","reason":"reason-60"}
"n":3414,"level":"INFO","event":"proxied","id":"id-58","server":"server-58","host":"host-58","outcome":"outcome-58"}
"n":3415,"level":"INFO","event":"response_ended","id":"id-59","server":"server-59","framing":"close","partial_bytes":594,"outcome":"outcome-59"}
"n":3005,"level":"WARN","event":"lines_dropped","count":471}
"n":3001,"level":"INFO","event":"started","host":"host-1","domain":"domain-1","callers":"10.0.0.7:8002","ready":"10.0.0.7:8003","peers":"10.0.0.7:8004","metrics":null}
"n":3003,"level":"INFO","event":"stopped","cut_off":31,"untold":32,"taken_stopping":33,"connections":34}
"n":3101,"level":"INFO","event":"config_in_force","version":61,"before":null}
"n":3106,"level":"INFO","event":"server_restarted","server":"server-11","born_ms":null,"former_born_ms":null}
"n":3111,"level":"INFO","event":"server_limit","server":"server-14","per_second":null}
"n":3117,"level":"INFO","event":"server_departing","server":"server-62","sign":"sign-62","told_by":"told-by-62","era":625,"revision":626,"store_age_ms":null}
"n":3118,"level":"INFO","event":"server_dropped","server":"server-63","sign":"sign-63","after_ms":633,"last_send_ms":null}
"n":3203,"level":"INFO","event":"store_role","role":"role-22","heard":222,"watchers":223,"store_age_ms":null}
"n":3204,"level":"INFO","event":"store_reach","cut_off":true,"refused":false,"informed":true,"isolated":false,"store_age_ms":null}
"n":3401,"level":"INFO","event":"placed","id":"id-30","asked":"1e112233445566778899aabb","server":"server-30","attempt":304,"prompt":305,"helpers":306,"shares":307,"waited_ms":308,"expected_ms":309,"config":3010}
"n":3403,"level":"INFO","event":"answered","id":"id-32","status":322,"took_ms":323,"first_ms":324,"longest_pause_ms":325,"aim_ms":326,"pause_aim_ms":null}
"n":3404,"level":"INFO","event":"refused","id":"id-33","kind":"kind-33","number":333,"ran":"ran-33","took_ms":335,"store_age_ms":null}
"n":3405,"level":"WARN","event":"broken_off","id":"id-34","problem":"problem-34","took_ms":343}
"n":3408,"level":"WARN","event":"cut_off","id":"id-37","doing":"doing-37","took_ms":374}
"n":3410,"level":"INFO","event":"server_broke_off","id":"id-39","asked":"27112233445566778899aabb","server":"server-39","ran_ms":null,"ended":false}
"n":3411,"level":"WARN","event":"quarantined","asked":"28112233445566778899aabb","servers":402,"first_hand":false}
"n":3412,"level":"INFO","event":"quarantine_released","asked":"29112233445566778899aabb"}
"n":3401,"level":"INFO","event":"placed","id":"id-50","asked":"32112233445566778899aabb","server":"server-50","attempt":504,"prompt":505,"helpers":506,"shares":507,"waited_ms":508,"expected_ms":509,"config":5010,"workspace":"workspace-50","rank":50,"slot_wait_ms":5011,"resumed":true,"since_event_ms":5012}
"n":3403,"level":"INFO","event":"answered","id":"id-51","status":512,"took_ms":513,"first_ms":514,"longest_pause_ms":515,"aim_ms":516,"pause_aim_ms":517,"workspace":"workspace-51","rank":51}
"n":3404,"level":"INFO","event":"refused","id":"id-52","kind":"kind-52","number":523,"ran":"ran-52","took_ms":525,"store_age_ms":526,"workspace":"workspace-52","rank":52,"reason":"reason-52"}
"n":3407,"level":"INFO","event":"held","id":"id-53","reason":"reason-53","prompt":533,"waited_ms":534,"giants":535,"pressure":6.5,"workspace":"workspace-53","rank":53}
"n":3404,"level":"INFO","event":"refused","id":"id-54","kind":"kind-54","number":543,"ran":"ran-54","took_ms":545,"store_age_ms":546,"workspace":"workspace-54"}
"n":3404,"level":"INFO","event":"refused","id":"id-61","kind":"kind-61","number":613,"ran":"ran-61","took_ms":615,"store_age_ms":null,"rank":61,"route":"route-61","asked":"3d112233445566778899aabb","prompt":617}
"#;

#[test]
fn each_record_is_logged_as_recorded() {
    log::set_logger(&LineRecorder).expect("no other logger");
    log::set_max_level(LevelFilter::Info);
    let peers: Vec<Name> = vec!["h2".into(), "h3".into()];
    let domains: BTreeSet<Name> = ["north".into(), "south".into()].into();
    let unknown = Requester::default();
    let parts = ["395", "39C"].map(Part::from_id);
    let records = |full| records(&peers, &domains, &unknown, &parts, full);
    let mut written: Vec<String> = records(true).iter().map(line).collect();
    let mut reduced: Vec<String> = records(false).iter().map(line).collect();
    reduced.retain(|line| !written.contains(line));
    written.append(&mut reduced);
    let requesters: Vec<Requester> = (50..55).map(requester).collect();
    written.extend(attributed_records(&requesters).iter().map(line));
    let routed = Requester {
        workspace: None,
        rank: 61,
        route: Some("route-61".into()),
    };
    written.push(line(&routed_record(&routed)));
    let expected: Vec<&str> = LINES.trim().lines().collect();
    for (written, expected) in written.iter().zip(&expected) {
        assert_eq!(written, expected);
    }
    assert_eq!(written.len(), expected.len());
    let kinds: BTreeSet<u16> = records(true)
        .iter()
        .map(|record| record.kind().number)
        .collect();
    let all_kinds: BTreeSet<u16> = ALL.iter().map(|kind| kind.number).collect();
    assert_eq!(kinds, all_kinds, "a kind has no record in this test");
}

/// Returns a record of each kind, with or without optional fields. No two fields of a record have the same value;
/// flags differ in one of the two cases.
#[rustfmt::skip] // One record a line.
fn records<'a>(
    peers: &'a [Name],
    domains: &'a BTreeSet<Name>,
    unknown: &'a Requester,
    parts: &'a [Part],
    full: bool,
) -> Vec<Record<'a>> {
    let addresses = Addresses {
        callers: address(8_002),
        ready: address(8_003),
        peers: address(8_004),
        metrics: full.then(|| address(8_005)),
    };
    vec![
        Record::Started { host: "host-1", domain: "domain-1", addresses },
        Record::Stopping { in_flight: 21 },
        Record::Stopped { cut_off: 31, untold: 32, taken_stopping: 33, connections: 34, stopping_ms:
            full.then_some(35) },
        Record::Reloaded { outcome: "outcome-4" },
        Record::Suspended { span_ms: 51 },
        Record::ConfigInForce { version: 61, before: full.then_some(62) },
        Record::ConfigUnreadable { problem: "problem-7" },
        Record::ServersChanged { known: 81, leaving: 82 },
        Record::ServerRefusing { server: "server-9", by: "by-9" },
        Record::ServerSlow { server: "server-10", slowdown: 2.25 },
        Record::ServerRestarted { server: "server-11", born_ms: full.then_some(112), former_born_ms:
            full.then_some(113) },
        Record::ServerLeaves { server: "server-12" },
        Record::ServerBackoff { server: "server-13", for_ms: 132 },
        Record::ServerLimit { server: "server-14", per_second: full.then_some(2.5) },
        Record::ServerCold { server: "server-15", for_ms: 152 },
        Record::Evacuated { domains },
        Record::Grouped { groups: 171, hosts: 172, servers: 173 },
        Record::PathLost { blocked: 551, live_hosts: 552 },
        Record::PathRegained { after_ms: 561 },
        Record::ServerDeparting(ServerDeparting { server: "server-62", sign: "sign-62", told_by: "told-by-62", peer:
            full.then_some("peer-62"), era: 625, revision: 626, store_age_ms: full.then_some(627), kept:
            full.then_some("kept-62"), kept_ms: full.then_some(629) }),
        Record::ServerDropped(ServerDropped { server: "server-63", sign: "sign-63", after_ms: 633, last_send_ms:
            full.then_some(634) }),
        Record::ServerReturned(ServerReturned { server: "server-64", after_ms: 642 }),
        Record::EntryUnreadable { of: "of-18", name: "name-18", problem: "problem-18" },
        Record::EntryMended { of: "of-19", name: "name-19" },
        Record::StoreLost { problem: "problem-20" },
        Record::StoreBack { age_ms: 211 },
        Record::StoreRole { role: "role-22", heard: 222, watchers: 223, store_age_ms: full.then_some(224)
            },
        Record::StoreReach(StoreReach { cut_off: true, refused: full, informed: !full, isolated: false, store_age_ms:
            full.then_some(235) }),
        Record::StoreRestored { era: 241, former_era: 242 },
        Record::ServersRestored { era: 251, revision: 252, former_revision: 253, missing: 254, held_back:
            255 },
        Record::WrittenAgain { name: "name-26" },
        Record::ConfigCopied { version: 271, from: address(8_001) },
        Record::ServersKept(ServersKept { servers: 651, for_ms: 652 }),
        Record::PeerJoined { peers, count: 282 },
        Record::PeerLost { peers, count: 292 },
        Record::Placed { id: "id-30", asked: fingerprint(30), server: "server-30", attempt: 304, prompt: 305,
            helpers: 306, shares: 307, waited_ms: 308, expected_ms: 309, config: 3010, stopping_ms:
            full.then_some(3011), requester: unknown, slot_wait_ms: 0, resumed: false, since_event_ms: None },
        Record::AttemptFailed { id: "id-31", server: "server-31", attempt: 313, problem: "problem-31" },
        Record::Answered { id: "id-32", status: 322, took_ms: 323, first_ms: 324, longest_pause_ms: 325,
            aim_ms: 326, pause_aim_ms: full.then_some(327), requester: unknown },
        Record::Refused { id: "id-33", kind: "kind-33", number: 333, ran: "ran-33", took_ms: 335,
            store_age_ms: full.then_some(336), stopping_ms: full.then_some(337), requester: unknown, reason: None, asked: None, prompt: None },
        Record::BrokenOff { id: "id-34", problem: "problem-34", took_ms: 343, stopping_ms:
            full.then_some(344) },
        Record::CallerLeft { id: "id-35" },
        Record::Held { id: "id-36", reason: "reason-36", prompt: 363, waited_ms: 364, giants: 365, pressure:
            6.25, requester: unknown },
        Record::CutOff { id: "id-37", doing: "doing-37", server: full.then_some("server-37"), took_ms: 374,
            came_stopping_ms: full.then_some(375), stopping_ms: full.then_some(376) },
        Record::RepeatRefused { id: "id-38", service: "service-38", asked: 383 },
        Record::ServerBrokeOff(ServerBreak { id: "id-39", asked: fingerprint(39), server: "server-39", ran_ms:
            full.then_some(394), ended: full, parts: if full { parts } else { &[] } }),
        Record::Quarantined { asked: fingerprint(40), servers: 402, first_hand: full, part: full.then(|| PartBar {
            part: parts[0], with: parts[1..].to_vec(), left_s: 405 }) },
        Record::QuarantineReleased { asked: fingerprint(41), part: full.then(|| parts[1]) },
        Record::QuarantineNotKept { asked: fingerprint(42), problem: "problem-42" },
        Record::MemoryRefused { id: "id-43", server: "server-43", problem: "problem-43" },
        Record::MemoryNotReleased { server: "server-44", problem: "problem-44" },
        Record::PeerFault { problem: "problem-45" },
        Record::ListenFault { problem: "problem-46" },
        Record::ProxyRefused { from: address(8_006) },
        Record::ConfirmationIgnored { from: address(8_007), reason: "reason-60" },
        Record::Proxied { id: "id-58", server: "server-58", host: "host-58", outcome: "outcome-58" },
        Record::ResponseEnded(ResponseEnd { id: "id-59", server: "server-59", framing: Framing::Close, partial_bytes:
            594, outcome: "outcome-59" }),
        Record::LinesDropped { count: 471 },
    ]
}

fn requester(number: u8) -> Requester {
    Requester {
        workspace: Some(format!("workspace-{number}").into()),
        rank: if number == 54 { 0 } else { number },
        route: None,
    }
}

/// Returns a record that states the route and the prompt of its request.
fn routed_record(requester: &Requester) -> Record<'_> {
    Record::Refused {
        id: "id-61",
        kind: "kind-61",
        number: 613,
        ran: "ran-61",
        took_ms: 615,
        store_age_ms: None,
        stopping_ms: None,
        requester,
        reason: None,
        asked: Some(fingerprint(61).to_string()),
        prompt: Some(617),
    }
}

/// Returns a record of each kind that states who its request is for. The last one is of the highest rank.
#[rustfmt::skip] // One record a line.
fn attributed_records(requesters: &[Requester]) -> Vec<Record<'_>> {
    let [placed, answered, refused, held, highest] = requesters else {
        panic!("five requesters");
    };
    vec![
        Record::Placed { id: "id-50", asked: fingerprint(50), server: "server-50", attempt: 504, prompt: 505,
            helpers: 506, shares: 507, waited_ms: 508, expected_ms: 509, config: 5010, stopping_ms: None,
            requester: placed, slot_wait_ms: 5011, resumed: true, since_event_ms: Some(5012) },
        Record::Answered { id: "id-51", status: 512, took_ms: 513, first_ms: 514, longest_pause_ms: 515,
            aim_ms: 516, pause_aim_ms: Some(517), requester: answered },
        Record::Refused { id: "id-52", kind: "kind-52", number: 523, ran: "ran-52", took_ms: 525,
            store_age_ms: Some(526), stopping_ms: None, requester: refused, reason: Some("reason-52"), asked: None, prompt: None },
        Record::Held { id: "id-53", reason: "reason-53", prompt: 533, waited_ms: 534, giants: 535, pressure:
            6.5, requester: held },
        Record::Refused { id: "id-54", kind: "kind-54", number: 543, ran: "ran-54", took_ms: 545,
            store_age_ms: Some(546), stopping_ms: None, requester: highest, reason: None, asked: None, prompt: None },
    ]
}
