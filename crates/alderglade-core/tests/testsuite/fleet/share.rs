//! Shares of workspaces: the order delay, the reports, and what they yield on full engines.

mod pool;

use alderglade_core::Name;
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::share::{Report, Shares};
use alderglade_core::time::Time;
use pool::{Pool, Served};
use std::time::Duration;

const NOW: Time = Time(20_000_000);
const INTERVAL: Duration = Duration::from_millis(250);
/// When the heavy workspaces of a pool begin to send more, and when the run ends.
const BURST: Time = Time(11_000_000);
const END: Time = Time(21_000_000);
const WORKSPACES: usize = 24;

/// Records `used_ms` of reading for each workspace.
fn record(shares: &mut Shares, used: &[(&str, u64)], now: Time) {
    for (name, used_ms) in used {
        let name: Name = (*name).into();
        let charge = shares.record_placed(&name, 12, Duration::from_millis(*used_ms), now);
        shares.settle(&name, charge, Duration::ZERO, now);
    }
}

/// Returns a host where these workspaces have used engines and capacity is short.
fn short_host(used: &[(&str, u64)]) -> Shares {
    let mut shares = Shares::default();
    record(&mut shares, used, NOW);
    shares.record_shortage(NOW);
    shares
}

fn delay(shares: &mut Shares, workspace: &str, now: Time) -> Duration {
    shares.refresh(now);
    shares.order_delay(Some(workspace), now)
}

fn report(shares: &mut Shares, host: &str, now: Time) -> Option<Report> {
    shares.take_report(&host.into(), Position::new(1, 1), INTERVAL, now)
}

/// The failure: an installation with one customer delays its own prompts.
#[test]
fn a_single_workspace_is_not_delayed() {
    let mut shares = short_host(&[("one", 9_000)]);
    assert_eq!(delay(&mut shares, "one", NOW), Duration::ZERO);
    assert_eq!(shares.order_delay(None, NOW), Duration::ZERO);
}

/// The failure: prompts are reordered although there is capacity for all of them.
#[test]
fn nothing_is_delayed_without_a_shortage() {
    let used = [("heavy", 9_000), ("light", 100)];
    let mut shares = Shares::default();
    record(&mut shares, &used, NOW);
    assert_eq!(delay(&mut shares, "heavy", NOW), Duration::ZERO);
    assert_eq!(report(&mut shares, "h1", NOW), None);
    shares.record_shortage(NOW);
    let later = NOW + INTERVAL;
    assert!(delay(&mut shares, "heavy", later) > Duration::ZERO);
    let over = NOW + Duration::from_secs(6);
    assert_eq!(delay(&mut shares, "heavy", over), Duration::ZERO);
}

/// The failure: a workspace at its share is delayed, or one far above it for longer than its prompts can wait.
#[test]
fn the_delay_grows_from_a_quarter_over_the_level_up_to_two_seconds() {
    // Four workspaces at 1,000 ms and one at a multiple: the level is the mean while none claims less.
    let delay_at = |used_ms| {
        let others = ["a", "b", "c", "d"].map(|name| (name, 1_000));
        let mut shares = short_host(&[&others[..], &[("w", used_ms)]].concat());
        assert_eq!(delay(&mut shares, "a", NOW), Duration::ZERO);
        delay(&mut shares, "w", NOW)
    };
    // 1.23, 1.26, 1.67 and over 4 times the mean.
    assert_eq!(delay_at(1_300), Duration::ZERO);
    assert!((1..50).contains(&delay_at(1_350).as_millis()));
    assert!((250..350).contains(&delay_at(2_000).as_millis()));
    assert_eq!(delay_at(20_000), Duration::from_secs(2));
}

/// The failure: thousands of workspaces that send next to nothing lower the mean, so that all others are equally far
/// above it and the heaviest is no longer told apart.
#[test]
fn idle_workspaces_do_not_lower_the_level() {
    let idle: Vec<String> = (0..3_600).map(|number| format!("idle{number}")).collect();
    let busy: Vec<String> = (0..20).map(|number| format!("busy{number}")).collect();
    let idle = idle.iter().map(|name| (name.as_str(), 1));
    let busy = busy.iter().map(|name| (name.as_str(), 4_000));
    let mut used: Vec<(&str, u64)> = idle.chain(busy).collect();
    used.push(("heavy", 20_000));
    let mut shares = short_host(&used);
    assert!(delay(&mut shares, "heavy", NOW) > Duration::from_secs(1));
    assert_eq!(delay(&mut shares, "busy0", NOW), Duration::ZERO);
    assert_eq!(delay(&mut shares, "idle0", NOW), Duration::ZERO);
}

/// The failure: one workspace takes nearly everything, so the others seem to ask for nearly nothing and the level is as
/// high as what it takes.
#[test]
fn a_workspace_that_takes_nearly_everything_is_over_its_share() {
    for lights in [1, 3, 9] {
        let names: Vec<String> = (0..lights).map(|number| format!("light{number}")).collect();
        let mut used: Vec<(&str, u64)> = names.iter().map(|name| (name.as_str(), 10)).collect();
        used.push(("heavy", 10_000));
        let mut shares = short_host(&used);
        // Longer than a short prompt waits.
        assert!(delay(&mut shares, "heavy", NOW) > Duration::from_millis(500));
        assert_eq!(delay(&mut shares, "light0", NOW), Duration::ZERO);
    }
}

/// The failure: a workspace that sends a little through each of many hosts is over its share at none of them.
#[test]
fn use_adds_up_over_hosts() {
    let mut here = short_host(&[("spread", 500), ("local", 500)]);
    assert_eq!(delay(&mut here, "spread", NOW), Duration::ZERO);
    for number in 0..10 {
        let local = format!("local{number}");
        let mut there = short_host(&[("spread", 500), (&local, 500)]);
        let report = report(&mut there, &format!("h{number}"), NOW).expect("a report");
        here.apply(report, NOW);
    }
    let later = NOW + INTERVAL;
    assert_eq!(delay(&mut here, "spread", later), Duration::from_secs(2));
    assert_eq!(delay(&mut here, "local", later), Duration::ZERO);
}

/// The failure: a workspace counts only at the hosts that name it, so that one named by all of them seems to use a
/// multiple of what others do that are named by a few.
#[test]
fn the_rest_of_a_report_counts_for_workspaces_that_others_name() {
    let names: Vec<String> = (0..12).map(|number| format!("w{number:02}")).collect();
    let mut here = short_host(&[]);
    for host in 0..12 {
        // Each host names four workspaces that use a little more there than the other eight.
        let used = names.iter().enumerate().map(|(number, name)| {
            let is_named = (number + host) % 12 < 4;
            (name.as_str(), if is_named { 110 } else { 100 })
        });
        let used: Vec<(&str, u64)> = used.collect();
        let mut there = short_host(&used);
        let report = report(&mut there, &format!("h{host}"), NOW).expect("a report");
        assert_eq!((report.rest_ms, report.rest_count), (800, 8));
        here.apply(report, NOW);
    }
    for name in &names {
        assert_eq!(delay(&mut here, name, NOW), Duration::ZERO, "{name}");
    }
}

/// The failure: a report grows with the number of workspaces.
#[test]
fn the_length_of_a_report_is_bounded() {
    let names: Vec<String> = (0..3_700)
        .map(|number| format!("workspace-{number:04}"))
        .collect();
    let used: Vec<(&str, u64)> = names
        .iter()
        .map(|name| (name.as_str(), 1_000_000))
        .collect();
    let report = report(&mut short_host(&used), "host-0001", NOW).expect("a report");
    assert_eq!(report.heaviest.len(), 4);
    assert_eq!(report.rest_count, 3_696);
}

/// The failure: a late report, or one of a host's previous process, replaces a newer one.
#[test]
fn late_reports_are_ignored_and_those_of_silent_hosts_dropped() {
    let mut there = short_host(&[("heavy", 9_000)]);
    let old = report(&mut there, "h2", NOW).expect("a report");
    let mut here = short_host(&[("light", 100), ("other", 100)]);
    let new = Report {
        incarnation: Position::new(1, 2),
        heaviest: Vec::new(),
        ..old.clone()
    };
    here.apply(new.clone(), NOW);
    here.apply(old.clone(), NOW);
    assert_eq!(delay(&mut here, "heavy", NOW), Duration::ZERO);
    let newer = Report {
        sequence: 2,
        heaviest: old.heaviest.clone(),
        ..new.clone()
    };
    here.apply(newer, NOW);
    here.apply(new, NOW);
    let later = NOW + INTERVAL;
    assert!(delay(&mut here, "heavy", later) > Duration::ZERO);
    here.forget_before("h2", Position::new(1, 2));
    assert!(delay(&mut here, "heavy", later + INTERVAL) > Duration::ZERO);
    here.forget("h2");
    assert_eq!(
        delay(&mut here, "heavy", later + INTERVAL * 2),
        Duration::ZERO
    );
}

/// The failure: two hosts that hear of each other's reports go on to report for ever.
#[test]
fn the_exchange_of_reports_ends_after_the_shortage() {
    let mut hosts = [short_host(&[("a", 9_000)]), short_host(&[("b", 9_000)])];
    let mut last = NOW;
    for step in 0..200 {
        let now = NOW + INTERVAL * step;
        let [one, two] = &mut hosts;
        let reports = [report(one, "h1", now), report(two, "h2", now)];
        let [of_one, of_two] = reports;
        for (report, receiver) in [(of_one, two), (of_two, one)] {
            if let Some(report) = report {
                last = now;
                receiver.apply(report, now);
            }
        }
    }
    let lasted = last.since(NOW);
    assert!((4..=11).contains(&lasted.as_secs()), "{lasted:?}");
}

/// The failure: what an answer was expected to use stays recorded although it ended early or never began.
#[test]
fn an_answer_counts_for_the_time_that_it_held_its_slot() {
    let name: Name = "w".into();
    let mut shares = Shares::default();
    let first = shares.record_placed(&name, 10, Duration::ZERO, NOW);
    shares.settle(&name, first, Duration::from_secs(2), NOW);
    let lost = shares.record_placed(&name, 10, Duration::from_millis(30), NOW);
    shares.record_shortage(NOW);
    let used = |shares: &mut Shares, now| {
        let report = report(shares, "h1", now).expect("a report");
        report.heaviest[0].used_ms
    };
    // Both answers with 2 s at one of 10 slots, and the reading.
    assert_eq!(used(&mut shares, NOW), 430);
    shares.settle(&name, lost, Duration::ZERO, NOW);
    let next = NOW + INTERVAL;
    // What is left of 230 ms after a sixteenth of the time constant.
    assert_eq!(used(&mut shares, next), 216);
}

/// Returns what a pool serves over several seeds, at 0.95 of its capacity if every workspace asks for the same. From
/// [`BURST`] on, the first `heavy` workspaces ask for `factor` times as much.
fn serve(hosts: usize, engines: u32, shares: bool, heavy: usize, factor: f64) -> Served {
    let mut sum = Served::default();
    for seed in 0..8 {
        let pool = Pool {
            hosts,
            engines,
            shares,
        };
        let rate = 0.95 * pool.rate() / WORKSPACES as f64;
        let served = pool.run(seed, BURST, END, |now| {
            let mut rates = vec![rate; WORKSPACES];
            if now >= BURST {
                rates[..heavy].fill(rate * factor);
            }
            rates
        });
        sum.add(&served);
    }
    sum
}

/// Checks that a workspace that asks for five times its share costs the others at most 2% of what was in time, and that
/// the same model shows the failure without shares.
fn check_one_heavy(hosts: usize, engines: u32) {
    let others = |served: &Served| served.in_time[1..].iter().sum::<u64>();
    let calm = others(&serve(hosts, engines, true, 1, 1.0));
    let shared = others(&serve(hosts, engines, true, 1, 5.0));
    let unshared = others(&serve(hosts, engines, false, 1, 5.0));
    assert!(shared * 100 >= calm * 98, "{shared} of {calm}");
    assert!(unshared * 100 < calm * 90, "{unshared} of {calm}");
}

/// The failure: one customer asks for five times its share for 10 s and takes the others' slots.
#[test]
fn one_heavy_workspace_costs_the_others_little() {
    check_one_heavy(64, 54);
}

/// The failure: hosts in one half of a partition see only half of a workspace's use, and it takes the others' slots.
/// Each half has half of the hosts and the engines.
#[test]
fn one_heavy_workspace_costs_the_others_little_in_each_half_of_a_partition() {
    check_one_heavy(32, 27);
}

/// The failure: a few customers that ask for twenty times as much as the others leave them less than a quarter of the
/// mean.
#[test]
fn no_workspace_gets_less_than_a_quarter_of_the_mean() {
    let lowest = |served: &Served| {
        let mean = served.in_time.iter().sum::<u64>() / WORKSPACES as u64;
        let least = *served.in_time.iter().min().expect("workspaces");
        (least, mean)
    };
    let shared = serve(20, 16, true, 4, 20.0);
    let unshared = serve(20, 16, false, 4, 20.0);
    let (least, mean) = lowest(&shared);
    assert!(least * 4 >= mean, "{least} of {mean}");
    let (least, mean) = lowest(&unshared);
    assert!(least * 4 < mean, "{least} of {mean}");
    // No capacity is left unused for it.
    let total = |served: &Served| served.in_time.iter().sum::<u64>();
    assert!(total(&shared) >= total(&unshared));
}
