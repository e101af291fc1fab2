//! The bytes of messages between hosts. Fields and variants are distinguished by position only. Hosts of two versions
//! run side by side, and one would misread the other without any error if two fields or variants changed places.

use crate::event_lines::fingerprint;
use alderglade_core::fleet::config::{
    Config, Kind, Limits, Patch, Route, Service, Target, Workspace,
};
use alderglade_core::fleet::directory::{Change, Server};
use alderglade_core::fleet::evacuation;
use alderglade_core::fleet::faults::Fault;
use alderglade_core::fleet::health::Ejection;
use alderglade_core::fleet::incarnation::{Incarnation, Key};
use alderglade_core::fleet::load_table::{Demand, Holding, Load, Notice};
use alderglade_core::fleet::loan::{self, Loan};
use alderglade_core::fleet::message::{
    Confirmation, ConfirmationRequest, ForwardedNotice, Fragment, Host, Message, ProxyKey, Servers,
    StoreUpdate,
};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::quarantine::{Fact, Finding};
use alderglade_core::fleet::rate_limit::{self, Grant, cold};
use alderglade_core::fleet::relay::StoreStatus;
use alderglade_core::fleet::share;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Returns the encoded bytes of a value as hex digits.
pub fn hex(value: &impl Serialize) -> String {
    let bytes = postcard::to_stdvec(value).expect("bytes");
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string takes all");
        text
    })
}

/// Checks that a value is encoded as the expected bytes, and decoded from them.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &str) {
    assert_eq!(hex(value), expected, "{value:?}");
    let digits = expected
        .as_bytes()
        .chunks(2)
        .map(|pair| str::from_utf8(pair).expect("digits"));
    let bytes: Vec<u8> = digits
        .map(|pair| u8::from_str_radix(pair, 16).expect("hex"))
        .collect();
    let decoded: T = postcard::from_bytes(&bytes).expect("a value");
    assert_eq!(decoded, *value);
}

/// Returns a server's key; the hash that a key usually consists of is pinned in `hashes`.
fn key(first: u8) -> Key {
    postcard::from_bytes(&[first, 0xa1, 0xa2, 0xa3, 0xa4, 0xa5]).expect("a key")
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 9_000 + u16::from(last)))
}

fn finding(first: u8, fact: Fact) -> Finding {
    Finding {
        fingerprint: fingerprint(first),
        fact,
    }
}

fn limit_report() -> rate_limit::LimitReport {
    rate_limit::LimitReport {
        server: key(0x31),
        per_thousand_s: 32,
        age_ms: 33,
    }
}

fn cold_report() -> cold::ColdReport {
    cold::ColdReport {
        server: key(0x34),
        per_thousand_s: 35,
        left_ms: 36,
    }
}

fn notice() -> Notice {
    Notice {
        host: "host".into(),
        domain: "domain".into(),
        incarnation: Position::new(1, 2),
        sequence: 3,
        interval_ms: 4,
        full: true,
        multi_engine_prompts: 5,
        queued: vec![Demand {
            due_ms: -6,
            reading_ms: 7,
        }],
        store: StoreStatus {
            in_contact: true,
            config: 8,
            servers: 9,
            era: 10,
            grace_ms: 11,
            hosts: 12,
        },
        leaving: vec![key(0x13)],
        ejections: vec![Ejection {
            server: key(0x14),
            left_ms: 15,
        }],
        unanswered: vec![key(0x16)],
        quarantine: vec![
            finding(
                0x17,
                Fact::Crash {
                    server: key(0x18),
                    begun: true,
                    age_ms: 19,
                },
            ),
            finding(0x20, Fact::Sound { age_ms: 21 }),
            finding(0x22, Fact::Barred { left_s: 23 }),
        ],
        limits: vec![limit_report()],
        cold: vec![cold_report()],
        evacuations: evacuation::Snapshot {
            at: Some(Position::new(37, 38)),
            domains: vec!["evacuated".into()],
            missing: vec![evacuation::MissingEvacuation {
                domain: "lost".into(),
                left_ms: 39,
            }],
        },
        holdings: vec![Holding {
            server: key(0x40),
            load: Load {
                placed_micros: 41,
                memory: 42,
                running: -43,
                value_at_risk: [44, 45, 46],
            },
            added: 47,
        }],
    }
}

fn servers() -> StoreUpdate {
    let known = Server {
        incarnation: Incarnation::new("id", Some(1_796_000_000_000)),
        service: "service".into(),
        address: address(1),
        domain: "domain".into(),
        slots: 2,
        leaving: true,
        cold_ms: 3,
    };
    let fault = Fault {
        name: "name".into(),
        problem: "problem".into(),
    };
    StoreUpdate::Servers(Servers {
        base: Position::new(4, 5),
        position: Position::new(6, 7),
        grace_ms: 8,
        fragment: Fragment {
            index: 9,
            count: 10,
        },
        changes: vec![
            Change::Known(known),
            Change::Unreadable(fault),
            Change::Gone("gone".into()),
        ],
    })
}

fn route(name: &str, kind: Kind, first: u32) -> Route {
    Route {
        name: name.into(),
        host: "one.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind,
        time_limit: Duration::new(u64::from(first), 1),
        objective: Duration::new(u64::from(first), 2),
        priority: first + 1,
        max_attempts: first + 2,
        public: true,
        targets: vec![Target {
            service: "target".into(),
            weight: 0.25,
        }],
        regions: ["region".into()].into(),
    }
}

fn service(name: &str) -> Service {
    Service {
        name: name.into(),
        engine: Some(EngineProfile {
            slots: 1,
            memory_tokens: 2,
            step: 3.5,
            step_per_request: 4.5,
            step_per_thousand: 5.5,
            read_per_ms: 6.5,
            pairs_per_million: 7.5,
            chunk: 8,
            stride: 9,
        }),
        max_connections: 10,
        cold_start: Duration::new(11, 12),
        cold_per_second: 13.5,
    }
}

/// Returns a configuration. Its maps have one entry each, because their order is random.
fn config(version: u64, kinds: &[(&str, Kind)]) -> Config {
    let limits = Limits {
        max_header_bytes: 21,
        max_body_bytes: 22,
        idle_timeout: Duration::new(23, 24),
    };
    let workspace = Workspace {
        name: format!("workspace-{version}").into(),
        keys: vec![format!("key-{version}").into()],
        priority: 25,
        regions: ["home".into()].into(),
    };
    let routes = kinds
        .iter()
        .zip(30..)
        .map(|((name, kind), first)| route(name, *kind, first));
    let services = vec![service(&format!("service-{version}"))];
    Config::new(
        version,
        limits,
        routes.collect(),
        services,
        Some(vec![workspace]),
    )
}

const STREAM: Kind = Kind::Stream {
    resumable: true,
    longest_pause: Duration::new(14, 15),
};

/// The bytes of [`notice`].
const NOTICE: &str = "\
    04686f737406646f6d61696e010203040105010b070108090a0b0c0113a1a2a3a4a50114a1a2a3a4a50f\
    0116a1a2a3a4a50317112233445566778899aabb0018a1a2a3a4a5011320112233445566778899aabb01\
    1522112233445566778899aabb02170131a1a2a3a4a520210134a1a2a3a4a52324012526010965766163\
    756174656401046c6f7374270140a1a2a3a4a5295455585a5c2f";
/// The bytes of [`servers`], without the variant.
const SERVERS: &str = "\
    0405060708090a03000269640180d0c4cfa2340773657276696365000a000001a94606646f6d61696e02\
    010301046e616d650770726f626c656d0204676f6e65";

#[test]
fn notices() {
    check(&Message::Notice(notice()), &format!("00{NOTICE}"));
    check(&Message::NoticeToForward(notice()), &format!("01{NOTICE}"));
    let forwarded = ForwardedNotice {
        origin: address(48),
        notice: notice(),
    };
    check(
        &Message::ForwardedNotice(forwarded),
        &format!("02000a000030d846{NOTICE}"),
    );
}

#[test]
fn store_confirmations() {
    check(
        &Message::ConfirmationRequest(ConfirmationRequest { number: 1_001 }),
        "03e907",
    );
    let confirmation = Confirmation {
        number: 1,
        age: Some(Duration::new(2, 3)),
        config: 4,
        servers: 5,
        position: Position::new(6, 7),
    };
    check(&Message::Confirmation(confirmation), "040101020304050607");
    let unknown = Confirmation {
        age: None,
        ..confirmation
    };
    check(&Message::Confirmation(unknown), "04010004050607");
}

#[test]
fn changes_of_servers() {
    check(&Message::StoreUpdate(servers()), &format!("0500{SERVERS}"));
    check(
        &Message::StoreUpdateToForward(servers()),
        &format!("0600{SERVERS}"),
    );
}

#[test]
fn a_configuration_patch() {
    let old = config(51, &[("old", Kind::Idempotent)]);
    let new = config(52, &[("new", STREAM)]);
    let patch = Patch::between(&old, &new).expect("a patch");
    assert_eq!(old.apply_patch(&patch).as_ref(), Some(&new));
    check(
        &Message::StoreUpdate(StoreUpdate::Config(patch)),
        "\
        0501333415161718010b6f6e652e6578616d706c65052f6f6c642f036f6c6401036e65770b6f6e652e65\
        78616d706c65052f6e65772f02010e0f1e011e021f20010106746172676574000000000000d03f010672\
        6567696f6e010a736572766963652d3531010a736572766963652d35320101020000000000000c400000\
        00000000124000000000000016400000000000001a400000000000001e4008090a0b0c0000000000002b\
        4001066b65792d353101066b65792d35320c776f726b73706163652d3532010c776f726b73706163652d\
        35320104686f6d6500",
    );
}

#[test]
fn hosts() {
    let known = Host {
        name: "name".into(),
        address: address(1),
        domain: Some("domain".into()),
        // It is not sent with the host.
        proxy_key: None,
    };
    let address = "[fd00::2]:9002".parse().expect("an address");
    let unknown = Host {
        name: "other".into(),
        address,
        domain: None,
        proxy_key: None,
    };
    check(
        &Message::StoreUpdate(StoreUpdate::Hosts(vec![known, unknown])),
        "\
        050202046e616d65000a000001a9460106646f6d61696e056f7468657201fd0000000000000000000000\
        00000002aa4600",
    );
}

#[test]
fn proxy_keys() {
    let proxy_key = ProxyKey {
        host: "name".into(),
        key: "key".into(),
    };
    check(
        &Message::StoreUpdate(StoreUpdate::ProxyKeys(vec![proxy_key])),
        "050301046e616d65036b6579",
    );
}

#[test]
fn loans() {
    let request = loan::LoanRequest {
        number: 1,
        service: "service".into(),
        missing: 2,
    };
    check(&Message::LoanRequest(request), "0701077365727669636502");
    check(&Message::Loan(Loan { number: 3, part: 4 }), "080304");
}

#[test]
fn grants() {
    let request = rate_limit::GrantRequest {
        number: 1,
        host: "host".into(),
        server: key(0x02),
        report: Some(limit_report()),
        cold: Some(cold_report()),
    };
    check(
        &Message::GrantRequest(request.clone()),
        "\
        090104686f737402a1a2a3a4a50131a1a2a3a4a520210134a1a2a3a4a52324",
    );
    let only_cold = rate_limit::GrantRequest {
        report: None,
        ..request
    };
    check(
        &Message::GrantRequest(only_cold),
        "090104686f737402a1a2a3a4a5000134a1a2a3a4a52324",
    );
    check(
        &Message::Grant(Grant {
            number: 3,
            wait_ms: 4,
        }),
        "0a0304",
    );
}

fn usage() -> share::Report {
    share::Report {
        host: "host".into(),
        incarnation: Position::new(1, 2),
        sequence: 3,
        short: true,
        heaviest: vec![share::Named {
            workspace: "workspace".into(),
            used_ms: 4,
        }],
        rest_ms: 5,
        rest_count: 6,
    }
}

#[test]
fn usage_reports() {
    const USAGE: &str = "04686f7374010203010109776f726b7370616365040506";
    check(&Message::Usage(usage()), &format!("0b{USAGE}"));
    check(&Message::UsageToForward(usage()), &format!("0c{USAGE}"));
}

/// The failure: a report costs more than `docs/design/shares.md` states. The figures are as large as they get there:
/// names of 14 bytes, engines used for some 100 s within the time constant, and a sequence of a day.
#[test]
fn a_usage_report_is_short() {
    let report = share::Report {
        host: "host-0001.north".into(),
        incarnation: Position::new(2, 4_000_000),
        sequence: 345_600,
        heaviest: (0..share::MAX_NAMED)
            .map(|number| share::Named {
                workspace: format!("workspace-{number:04}").into(),
                used_ms: 100_000,
            })
            .collect(),
        rest_ms: 100_000,
        rest_count: 3_696,
        ..usage()
    };
    let bytes = postcard::to_stdvec(&Message::Usage(report)).expect("bytes");
    assert_eq!(bytes.len(), 104);
}

/// The failure: a host of the previous version takes the new variants for others. It fails to decode them, and goes on
/// with the next message, as `peer/receive.rs` does with any message that it can't decode.
#[test]
fn previous_versions_reject_usage_reports() {
    #[derive(Debug, serde::Deserialize)]
    enum Previous {
        Notice,
        NoticeToForward,
        ForwardedNotice,
        ConfirmationRequest,
        Confirmation,
        StoreUpdate,
        StoreUpdateToForward,
        LoanRequest,
        Loan,
        GrantRequest,
        Grant,
    }
    let known = postcard::to_stdvec(&Message::Loan(Loan { number: 3, part: 4 })).expect("bytes");
    assert!(matches!(postcard::from_bytes(&known), Ok(Previous::Loan)));
    for message in [Message::Usage(usage()), Message::UsageToForward(usage())] {
        let bytes = postcard::to_stdvec(&message).expect("bytes");
        assert!(postcard::from_bytes::<Previous>(&bytes).is_err());
    }
}

/// As one host transfers it to another over HTTP.
#[test]
fn a_whole_configuration() {
    let kinds = [
        ("again", Kind::Idempotent),
        ("once", Kind::NonIdempotent),
        ("stream", STREAM),
    ];
    check(
        &config(53, &kinds),
        "\
        3515161718010b6f6e652e6578616d706c65030673747265616d0b6f6e652e6578616d706c65082f7374\
        7265616d2f02010e0f200120022122010106746172676574000000000000d03f0106726567696f6e0561\
        6761696e0b6f6e652e6578616d706c65072f616761696e2f001e011e021f200101067461726765740000\
        00000000d03f0106726567696f6e046f6e63650b6f6e652e6578616d706c65062f6f6e63652f011f011f\
        022021010106746172676574000000000000d03f0106726567696f6e010a736572766963652d35330a73\
        6572766963652d35330101020000000000000c4000000000000012400000000000001640000000000000\
        1a400000000000001e4008090a0b0c0000000000002b400101066b65792d35330c776f726b7370616365\
        2d3533010c776f726b73706163652d35330104686f6d6500",
    );
    let open = Config::new(54, Limits::default(), Vec::new(), Vec::new(), None);
    check(&open, "36808001808080020f000000000000");
}

/// Returns a configuration with priorities of workspaces; `first` is that of the first one.
fn config_with_priorities(version: u64, first: u32) -> Config {
    let workspaces = [("one", first), ("two", 2)].map(|(name, priority)| Workspace {
        name: name.into(),
        keys: Vec::new(),
        priority,
        regions: Vec::new().into(),
    });
    let workspaces = Some(workspaces.into());
    Config::new(
        version,
        Limits::default(),
        Vec::new(),
        Vec::new(),
        workspaces,
    )
}

#[test]
fn changed_priorities_of_workspaces() {
    let (old, new) = (config_with_priorities(51, 1), config_with_priorities(52, 3));
    let patch = Patch::between(&old, &new).expect("a patch");
    assert_eq!(old.apply_patch(&patch), Some(new));
    check(
        &Message::StoreUpdate(StoreUpdate::Config(patch)),
        "05013334808001808080020f0000000000000000010001036f6e650302",
    );
}

/// Hosts of the version before priorities send configurations without them, and ignore the bytes after the fields that
/// they know. If either were an error, a host that starts in an outage of the store could get no configuration from a
/// host of the other version.
#[test]
fn configurations_of_the_former_version_are_read_without_priorities() {
    let complete = config_with_priorities(51, 1);
    let former = postcard::to_stdvec(&config_with_priorities(51, 2)).expect("bytes");
    let read: Config = postcard::from_bytes(&former[..former.len() - 1]).expect("a configuration");
    assert!(read.workspace_priorities().is_empty());
    let later = [postcard::to_stdvec(&complete).expect("bytes"), vec![7]].concat();
    assert_eq!(postcard::from_bytes(&later), Ok(complete.clone()));
    let patch = Patch::between(&complete, &config_with_priorities(52, 1)).expect("a patch");
    let bytes = postcard::to_stdvec(&patch).expect("bytes");
    // Its last field: present, nothing dropped, nothing set, two priorities.
    let (before, last) = bytes.split_at(bytes.len() - 4);
    assert_eq!(last, [1, 0, 0, 2]);
    let read: Patch = postcard::from_bytes(before).expect("a patch");
    let next = complete.apply_patch(&read).expect("the next configuration");
    assert_eq!(next.workspace_priorities(), complete.workspace_priorities());
}
