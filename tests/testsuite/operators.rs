//! The command line and the pages, as operators meet them.

use crate::fleet::{Fleet, Plan, command, get, wait};
use alderglade_standin::fleet::DESK;
use std::process::Output;
use std::thread;

fn text(output: &Output) -> (Option<i32>, String, String) {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (
        output.status.code(),
        text(&output.stdout),
        text(&output.stderr),
    )
}

#[test]
fn help_and_usage() {
    let (code, help, _) = text(&command(&["--help"]));
    assert_eq!(code, Some(0));
    for name in [
        "check", "plan", "apply", "show", "status", "drain", "explain", "report",
    ] {
        assert!(help.contains(name), "{name}");
        let (code, own, _) = text(&command(&[name, "--help"]));
        assert_eq!(code, Some(0));
        assert!(own.contains(&format!("alderglade {name}")), "{own}");
    }
    let (code, _, error) = text(&command(&["fly"]));
    assert_eq!(code, Some(2));
    assert!(
        error.contains("no command `fly`") && error.contains("hint:"),
        "{error}"
    );
    let (code, _, error) = text(&command(&["status"]));
    assert_eq!(code, Some(2));
    assert!(error.contains("--platform"), "{error}");
    let (code, _, error) = text(&command(&["status", "--platform", "127.0.0.1:1"]));
    assert_eq!(code, Some(1));
    assert!(error.contains("cause:"), "{error}");
}

#[test]
fn bad_settings_name_the_file_the_path_and_what_was_expected() {
    let fleet = Fleet::start(&Plan {
        hosts_each: 1,
        engines_each: 1,
        ..Plan::default()
    });
    let folder = fleet.folder.path().to_string_lossy().into_owned();
    let good =
        std::fs::read_to_string(fleet.folder.path().join("fleet.json")).expect("the fleet's file");
    let cases = [
        (
            good.replace("\"kv_tokens\": 400000", "\"kv_tokens\": 0"),
            "fleet.engines.muc-a-e0.kv_tokens",
        ),
        (
            good.replace("\"kv_tokens\"", "\"kv_token\""),
            "unknown field `kv_token`",
        ),
        (
            good.replace("\"urgent\"", "\"pressing\""),
            "classes.desk.priority",
        ),
        (
            good.replace("\"time_allowed_ms\": 60000", "\"time_allowed_ms\": \"1m\""),
            "policy.time_allowed_ms",
        ),
        (
            good.replace("\"model\": \"assist-llm\"", "\"model\": \"assist\""),
            "fleet.engines.muc-a-e0.model",
        ),
        (
            good.replace("\"address\": \"127.0.0.1", "\"address\": \"localhost"),
            "IP number and port",
        ),
    ];
    for (bad, expected) in cases {
        assert_ne!(bad, good, "{expected}");
        fleet.folder.write("fleet.json", &bad);
        for arguments in [vec!["check", &folder], vec!["apply", &folder]] {
            let (code, _, error) = text(&fleet.command(&arguments));
            assert_eq!(code, Some(3), "{expected}: {error}");
            assert!(error.contains(expected), "{expected}: {error}");
            assert!(
                error.contains(&folder) && error.contains("hint:"),
                "{error}"
            );
        }
    }
    fleet.folder.write("fleet.json", &good);
    let (code, out, _) = text(&command(&["check", &folder]));
    assert_eq!(code, Some(0), "{out}");
}

#[test]
fn operators_who_race_get_one_winner_and_one_conflict() {
    let fleet = Fleet::start(&Plan {
        hosts_each: 1,
        engines_each: 1,
        ..Plan::default()
    });
    let folder = fleet.folder.path().to_string_lossy().into_owned();
    let change = |weight: u32| {
        let path = fleet.folder.path().join("fleet.json");
        let text = std::fs::read_to_string(path).expect("the fleet's file");
        let mut value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        value["policy"]["weight"] = weight.into();
        fleet.folder.write("fleet.json", &value.to_string());
    };
    change(2);
    let (code, plan, _) = text(&fleet.command(&["plan", &folder]));
    assert_eq!(code, Some(0));
    assert!(
        plan.contains("revision 1") && plan.contains("fleet.policy.weight"),
        "{plan}"
    );
    let (code, ..) = text(&fleet.command(&["apply", &folder, "--base", "1"]));
    assert_eq!(code, Some(0));
    change(3);
    let (code, _, error) = text(&fleet.command(&["apply", &folder, "--base", "1"]));
    assert_eq!(code, Some(3));
    assert!(
        error.contains("revision 2 came first") && error.contains("fleet.policy.weight"),
        "{error}"
    );
    let results: Vec<Output> = thread::scope(|scope| {
        let racers: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| fleet.command(&["apply", &folder, "--base", "2"])))
            .collect();
        racers
            .into_iter()
            .map(|racer| racer.join().expect("a racer"))
            .collect()
    });
    let won = results
        .iter()
        .filter(|result| result.status.code() == Some(0))
        .count();
    assert_eq!(won, 1, "{results:?}");
    let (code, out, _) = text(&fleet.command(&["status", "--wait", "3"]));
    assert_eq!(code, Some(0), "{out}");
}

#[test]
fn an_apply_whose_answer_was_lost_is_settled_by_reading_back() {
    let fleet = Fleet::start(&Plan {
        hosts_each: 1,
        engines_each: 1,
        ..Plan::default()
    });
    let path = fleet.folder.path().join("fleet.json");
    let text_of = std::fs::read_to_string(&path).expect("the fleet's file");
    fleet.folder.write(
        "fleet.json",
        &text_of.replace("\"max_output_tokens\": 64", "\"max_output_tokens\": 65"),
    );
    // The write of the changed part and the write of the root both lose their answers.
    fleet.platform.set_faults(|faults| faults.lose_writes = 1);
    let folder = fleet.folder.path().to_string_lossy().into_owned();
    let (code, _, error) = text(&fleet.command(&["apply", &folder, "--token", "t1"]));
    let parts_lost = code == Some(1);
    assert!(parts_lost || code == Some(0), "{error}");
    fleet.platform.set_faults(|faults| faults.lose_writes = 0);
    let (code, ..) = text(&fleet.command(&["apply", &folder, "--token", "t1"]));
    assert_eq!(code, Some(0));
    let (code, out, _) = text(&fleet.command(&["apply", &folder, "--token", "t1", "--json"]));
    assert_eq!(code, Some(0));
    assert!(
        out.contains("\"revision\":2") && out.contains("\"changed\":false"),
        "{out}"
    );
}

#[test]
fn show_explains_which_branch_a_value_came_from() {
    let fleet = Fleet::start(&Plan {
        hosts_each: 1,
        engines_each: 1,
        ..Plan::default()
    });
    let (code, out, _) = text(&fleet.command(&["show", "--explain", "augsburg/desk/assist-llm"]));
    assert_eq!(code, Some(0));
    assert!(
        out.contains("time_allowed_ms") && out.contains("fleet.classes.desk"),
        "{out}"
    );
    assert!(out.contains("fleet.policy"), "{out}");
}

#[test]
fn the_report_counts_what_was_served() {
    let fleet = Fleet::start(&Plan::default());
    for number in 0..5 {
        let answer = fleet.generate(number % 2, DESK, "count me", 1_000, 5);
        assert!(answer.is_finished());
    }
    wait("the hosts have published", || {
        let (_, out, _) = text(&fleet.command(&["report", "--json"]));
        let burns: serde_json::Value = serde_json::from_str(&out).unwrap_or_default();
        burns[0]["slow"]["total"] == 5
    });
    let plot = fleet.folder.path().join("burn.svg");
    let (code, out, _) = text(&fleet.command(&["report", "--plot", &plot.to_string_lossy()]));
    assert_eq!(code, Some(0));
    assert!(out.contains("augsburg"), "{out}");
    assert!(
        std::fs::read_to_string(plot)
            .expect("a picture")
            .contains("<svg")
    );
    let metrics = get(&format!(
        "http://{}/metrics",
        fleet.hosts[0].addresses.operators
    ))
    .expect("metrics");
    assert!(
        metrics.contains("alderglade_answers_total{kind=\"finished\"}"),
        "{metrics}"
    );
}
