//! Messages with arbitrary contents from peers: none of them ends the process, and one valid notice corrects the
//! effect of absurd ones.

use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::confirmation::ConfirmationRequests;
use alderglade_core::fleet::directory::Directory;
use alderglade_core::fleet::evacuation::{self, Evacuations};
use alderglade_core::fleet::fingerprint::Content;
use alderglade_core::fleet::health::{Ejection, Health};
use alderglade_core::fleet::incarnation::Incarnation;
use alderglade_core::fleet::load_table::{Demand, Holding, Load, LoadTable, Notice, Reservation};
use alderglade_core::fleet::loan::LoanRequests;
use alderglade_core::fleet::message::{Confirmation, Message, StoreUpdate};
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::quarantine::{Fact, Finding, Quarantine};
use alderglade_core::fleet::rate_limit::{self, Limits, OwnerView, cold};
use alderglade_core::fleet::relay::StoreStatus;
use alderglade_core::fleet::request_number::RequestNumbers;
use alderglade_core::fleet::share::Shares;
use alderglade_core::time::Time;
use arbtest::arbitrary::{Result, Unstructured};
use std::time::Duration;

const PROFILE: EngineProfile = EngineProfile {
    slots: 10,
    memory_tokens: 232_000,
    step: 1.02,
    step_per_request: 0.00226,
    step_per_thousand: 0.00431,
    read_per_ms: 206.0,
    pairs_per_million: 0.138,
    chunk: 2_048,
    stride: 68,
};

/// The state of a host that messages change.
struct Host {
    loads: LoadTable,
    directory: Directory,
    health: Health,
    loan_requests: LoanRequests,
    confirmation_requests: ConfirmationRequests,
    quarantine: Quarantine,
    limits: Limits,
    evacuations: Evacuations,
    shares: Shares,
}

impl Host {
    fn new() -> Host {
        let mut loads = LoadTable::default();
        let engines = (0..3).map(|number| (engine(number).key(), PROFILE));
        loads.set_engines(engines.collect());
        Host {
            loads,
            directory: Directory::default(),
            health: Health::default(),
            loan_requests: LoanRequests::new(RequestNumbers::new(0)),
            confirmation_requests: ConfirmationRequests::new(RequestNumbers::new(0)),
            quarantine: Quarantine::default(),
            limits: Limits::default(),
            evacuations: Evacuations::default(),
            shares: Shares::default(),
        }
    }

    /// Applies a message as the process does.
    fn apply(&mut self, message: Message, now: Time) {
        match message {
            Message::Notice(notice) | Message::NoticeToForward(notice) => {
                self.apply_notice(&notice, now)
            }
            Message::ForwardedNotice(forwarded) => self.apply_notice(&forwarded.notice, now),
            Message::Confirmation(confirmation) => {
                let request = self.confirmation_requests.create(now);
                let answer = Confirmation {
                    number: request.number,
                    ..confirmation
                };
                let confirmed = self.confirmation_requests.confirmed_until(&answer);
                assert!(confirmed.is_ok_and(|at| at <= Some(now)));
            }
            Message::StoreUpdate(update) | Message::StoreUpdateToForward(update) => {
                self.apply_store_update(update, now)
            }
            Message::Loan(loan) => drop(self.loan_requests.answer(loan, now)),
            Message::GrantRequest(request) => {
                let view = OwnerView {
                    own: "own",
                    owner: "own",
                    hears_majority: true,
                };
                self.limits.grant(&request, &view, now);
            }
            Message::Usage(report) | Message::UsageToForward(report) => {
                self.shares.apply(report, now);
                self.shares.expire(now);
                self.shares.refresh(now);
                self.shares.order_delay(Some("workspace"), now);
            }
            Message::ConfirmationRequest(_) | Message::LoanRequest(_) | Message::Grant(_) => {}
        }
    }

    fn apply_store_update(&mut self, update: StoreUpdate, now: Time) {
        match update {
            StoreUpdate::Servers(servers) => {
                for change in servers.changes {
                    self.directory.apply(change, now);
                }
            }
            StoreUpdate::Config(patch) => drop(Config::default().apply_patch(&patch)),
            StoreUpdate::Hosts(_) | StoreUpdate::ProxyKeys(_) => {}
        }
    }

    fn apply_notice(&mut self, notice: &Notice, now: Time) {
        for server in &notice.leaving {
            self.directory.mark_leaving(*server, now);
        }
        for ejection in &notice.ejections {
            self.health.apply_ejection(ejection, now);
        }
        for finding in &notice.quarantine {
            self.quarantine.apply_finding(finding, now);
        }
        for report in &notice.cold {
            self.limits.apply_cold_report(report, now);
        }
        self.evacuations.apply_snapshot(&notice.evacuations, now);
        for report in &notice.limits {
            self.limits.apply_report(report, now);
        }
        self.quarantine.evaluate(now);
        self.quarantine.expire(now);
        self.loads.apply_notice(notice, now);
        self.loads.expire(now);
        for number in 0..3 {
            self.loads.backlog(engine(number).key(), now);
        }
        self.loads.multi_engine_prompts();
    }
}

fn engine(number: u8) -> Incarnation {
    Incarnation::new(format!("e{number}"), None)
}

fn load(u: &mut Unstructured<'_>) -> Result<Load> {
    Ok(Load {
        placed_micros: u.arbitrary()?,
        memory: u.arbitrary()?,
        running: u.arbitrary()?,
        value_at_risk: u.arbitrary()?,
    })
}

fn finding(u: &mut Unstructured<'_>) -> Result<Finding> {
    let content = Content {
        workspace: None,
        method: "GET",
        host: "one.example",
        target: "/",
        body: &[u.arbitrary()?],
    };
    let fact = match u.int_in_range(0..=2)? {
        0 => Fact::Crash {
            server: engine(u.int_in_range(0..=9)?).key(),
            begun: u.arbitrary()?,
            age_ms: u.arbitrary()?,
        },
        1 => Fact::Sound {
            age_ms: u.arbitrary()?,
        },
        _ => Fact::Barred {
            left_s: u.arbitrary()?,
        },
    };
    let fingerprint = content.fingerprint();
    Ok(Finding { fingerprint, fact })
}

fn limit(u: &mut Unstructured<'_>) -> Result<rate_limit::LimitReport> {
    Ok(rate_limit::LimitReport {
        server: engine(3).key(),
        per_thousand_s: u.arbitrary()?,
        age_ms: u.arbitrary()?,
    })
}

fn cold(u: &mut Unstructured<'_>) -> Result<cold::ColdReport> {
    Ok(cold::ColdReport {
        server: engine(3).key(),
        per_thousand_s: u.arbitrary()?,
        left_ms: u.arbitrary()?,
    })
}

fn evacuation(u: &mut Unstructured<'_>) -> Result<evacuation::Snapshot> {
    Ok(evacuation::Snapshot {
        at: Some(Position::new(u.arbitrary()?, u.arbitrary()?)),
        domains: vec![u.arbitrary::<String>()?.into()],
        missing: vec![evacuation::MissingEvacuation {
            domain: u.arbitrary::<String>()?.into(),
            left_ms: u.arbitrary()?,
        }],
    })
}

fn notice(u: &mut Unstructured<'_>, sequence: u64) -> Result<Notice> {
    let mut holdings = Vec::new();
    for _ in 0..u.int_in_range(0..=4)? {
        holdings.push(Holding {
            server: engine(u.int_in_range(0..=3)?).key(),
            load: load(u)?,
            added: u.arbitrary()?,
        });
    }
    let waiting = Demand {
        due_ms: u.arbitrary()?,
        reading_ms: u.arbitrary()?,
    };
    let ejection = Ejection {
        server: engine(0).key(),
        left_ms: u.arbitrary()?,
    };
    Ok(Notice {
        host: "peer".into(),
        domain: "north".into(),
        incarnation: Position::new(1, 1),
        sequence,
        interval_ms: u.arbitrary()?,
        full: u.arbitrary()?,
        multi_engine_prompts: u.arbitrary()?,
        queued: vec![waiting],
        store: StoreStatus::default(),
        leaving: vec![engine(1).key()],
        ejections: vec![ejection],
        unanswered: vec![engine(2).key()],
        quarantine: vec![finding(u)?],
        limits: vec![limit(u)?],
        cold: vec![cold(u)?],
        evacuations: evacuation(u)?,
        holdings,
    })
}

#[test]
fn arbitrary_bytes_are_rejected_or_applied_without_a_panic() {
    for number in 0..2_000_u64 {
        arbtest::arbtest(|u| {
            let mut host = Host::new();
            let mut now = Time(0);
            while !u.is_empty() {
                let length = u.int_in_range(1..=200)?;
                let bytes = u.bytes(length.min(u.len()))?;
                if let Ok(message) = postcard::from_bytes::<Message>(bytes) {
                    host.apply(message, now);
                }
                now = now + Duration::from_millis(40);
            }
            Ok(())
        })
        .seed((number << 32) | 2_048)
        .run();
    }
}

/// After notices with arbitrary figures, the next full notice of a peer leaves exactly the load that it states, in
/// addition to the reservations of this host.
#[test]
fn a_valid_full_notice_corrects_absurd_ones() {
    for number in 0..500_u64 {
        arbtest::arbtest(|u| {
            let mut host = Host::new();
            let own = Load {
                placed_micros: 1_000,
                memory: 100,
                running: 1,
                value_at_risk: [1_300, 0, 0],
            };
            host.loads.reserve(
                Reservation {
                    primary: engine(0).key(),
                    load: own,
                    helpers: Vec::new(),
                    multi_engine: false,
                },
                Time(0),
            );
            let mut now = Time(0);
            for sequence in 1..=u.int_in_range(1..=8)? {
                host.apply_notice(&notice(u, sequence)?, now);
                now = now + Duration::from_millis(u.int_in_range(0..=300)?);
            }
            let valid = Notice {
                full: true,
                holdings: Vec::new(),
                multi_engine_prompts: 0,
                ..notice(u, 1_000)?
            };
            host.apply_notice(&valid, now);
            let total = host.loads.total(engine(0).key());
            assert_eq!(
                (total.running, total.memory, total.value_at_risk),
                (1, 100, own.value_at_risk)
            );
            assert!(host.loads.total(engine(1).key()).holds_nothing());
            // One notice adds a minute of reading at most.
            let backlog = host.loads.backlog(engine(0).key(), now).total();
            assert!(backlog < 9.0 * 60_000.0 + 1_000.0, "{backlog}");
            Ok(())
        })
        .seed((number << 32) | 4_096)
        .run();
    }
}
