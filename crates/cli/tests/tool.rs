//! Runs the tool as a process: its output, its exit codes and the data that it writes to the
//! platform.

mod support;

use serde_json::{Value, json};
use support::Platform;

const RULES: &str = "model m weights=v1 # ben: release 1\nservice s # ben: API\n";

/// Guards against overwriting another operator's change that is accepted between the tool's read
/// and its write.
#[tokio::test]
async fn a_drain_is_retried_after_a_conflicting_change() {
    let platform = Platform::start("race").await;
    platform.state().accept(RULES);
    let conflicting = format!("{RULES}drain host h9 # ben: disk\n");
    platform.state().conflicting_rules = vec![format!("{conflicting}# a remark\n"), conflicting];
    let run = platform
        .run(&["drain", "domain", "pier", "--why", "fire exercise"])
        .await;
    assert_eq!(run.code, 0, "{run:?}");
    assert_eq!(run.out.trim(), "accepted as version 4");
    let text = platform.state().text();
    assert!(
        text.ends_with(
            "drain host h9 # ben: disk\n# a remark\ndrain domain pier # ana: fire exercise\n"
        ),
        "{text}"
    );
    let again = platform
        .run(&["drain", "domain", "pier", "--why", "again"])
        .await;
    assert!(
        again.code == 0 && again.out.contains("drained already, at line 5"),
        "{again:?}"
    );
    let back = platform
        .run(&["undrain", "domain", "pier", "--why", "over"])
        .await;
    assert_eq!((back.code, platform.state().version()), (0, 5), "{back:?}");
    let absent = platform
        .run(&["undrain", "domain", "pier", "--why", "over"])
        .await;
    assert!(
        absent.code == 2 && absent.err.contains("accepted are: host h9"),
        "{absent:?}"
    );
}

/// Guards against overwriting a newer version with a file that is based on an older one.
#[tokio::test]
async fn apply_on_an_outdated_version_fails_and_names_the_current_one() {
    let platform = Platform::start("old").await;
    platform.state().accept(RULES);
    let shown = platform.run(&["show"]).await.out;
    platform.state().accept("model m weights=v7 # ben: x\n");
    let file = platform.file("rules", &shown);
    let run = platform.run(&["apply", &file, "--why", "x"]).await;
    assert!(run.code == 3 && run.err.contains("--base 2"), "{run:?}");
    assert_eq!(platform.state().version(), 2);
    let run = platform
        .run(&["apply", &file, "--why", "x", "--base", "2", "--json"])
        .await;
    let printed: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!((run.code, &printed["accepted"]), (0, &json!(3)));
    assert_eq!(platform.state().text().trim_end(), RULES.trim_end());
}

/// Guards against reporting a change as failed or applying it twice when the response is lost, and
/// against reporting 'nothing changed' when that is unknown.
#[tokio::test]
async fn lost_responses_and_outages_are_reported_correctly() {
    let platform = Platform::start("lost").await;
    platform.state().accept(RULES);
    platform.state().lost_responses = 1;
    let run = platform
        .run(&["rollout", "m", "--weights", "v2", "--why", "release 2"])
        .await;
    assert_eq!(
        (run.code, run.out.trim()),
        (0, "accepted as version 2"),
        "{run:?}"
    );
    assert!(
        platform
            .state()
            .text()
            .starts_with("model m weights=v2 # ana: release 2\n")
    );
    platform.state().down = true;
    let run = platform
        .run(&["drain", "domain", "pier", "--why", "x", "--json"])
        .await;
    let printed: Value = serde_json::from_str(&run.err).unwrap();
    assert_eq!((run.code, &printed["code"]), (1, &json!(1)), "{run:?}");
    platform.state().down = false;
    assert_eq!(platform.state().version(), 2);
}

/// Guards against an audit trail that lacks the changed lines, the author or the reason.
#[tokio::test]
async fn audit_lists_lines_authors_and_reasons() {
    let platform = Platform::start("audit").await;
    let file = platform.file("rules", RULES);
    assert_eq!(
        platform
            .run(&["apply", &file, "--who", "ben", "--why", "start"])
            .await
            .code,
        0
    );
    assert_eq!(
        platform
            .run(&["drain", "target", "t1", "--why", "fan"])
            .await
            .code,
        0
    );
    let run = platform.run(&["audit", "--last", "1", "--json"]).await;
    let trail: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(trail[0]["record"]["who"], "ana");
    assert_eq!(trail[0]["record"]["why"], "fan");
    assert_eq!(
        trail[0]["changes"],
        json!([{ "added": "drain target t1 # ana: fan" }])
    );
    let text = platform.run(&["audit"]).await.out;
    assert!(
        text.contains("ben: start") && text.contains("+ service s # ben: API"),
        "{text}"
    );
    let differs = platform.run(&["diff", &file]).await;
    assert!(
        differs.code == 5 && differs.out.contains("- drain target t1"),
        "{differs:?}"
    );
    let old = platform.run(&["show", "--version", "1"]).await;
    assert!(old.code == 0 && !old.out.contains("drain"), "{old:?}");
}

/// Guards against accepting invalid rules and arguments, and against errors that lack the location
/// or a hint.
#[tokio::test]
async fn invalid_input_is_rejected_with_location_and_hint() {
    let platform = Platform::start("mistakes").await;
    for (text, expected) in [
        (
            "model m weights=v1\n",
            "rules:1: the rule has no comment that names who asked for it; write for example",
        ),
        (
            "# x\nmodel m waits=v1 # ana: x\n",
            "rules:2: unknown option \"waits\"; accepted are: weights",
        ),
        (
            "retain t days=3 # ana: x\n",
            "rules:1: there is no team \"t\"",
        ),
    ] {
        let file = platform.file("rules", text);
        for command in [vec!["check", &file], vec!["apply", &file, "--why", "x"]] {
            let run = platform.run(&command).await;
            assert!(run.code == 2 && run.err.contains(expected), "{run:?}");
        }
    }
    for (arguments, expected) in [
        (
            vec!["drain", "rack", "r1", "--why", "x"],
            "accepted is target, host or domain",
        ),
        (vec!["drain", "host", "h1"], "--why is missing"),
        (
            vec!["drain", "host", "h1", "--why", "a\nteam b"],
            "accepted is one line of text",
        ),
        (vec!["explode"], "accepted are: check, diff"),
        (vec!["check", "/nonexistent", "--fast"], "--fast"),
        (vec!["show", "--table", "10.0.0.1"], "accepted is a URL"),
    ] {
        let run = platform.run(&arguments).await;
        assert!(run.code == 2 && run.err.contains(expected), "{run:?}");
    }
    assert_eq!(platform.state().version(), 0);
}

/// Guards against draining the last target of a model without a warning, and against a status
/// summary that omits processes that lag or do not answer.
#[tokio::test]
async fn drains_warn_and_status_lists_lagging_processes() {
    let platform = Platform::start("status").await;
    platform.state().accept(RULES);
    platform.add_engine("a", "pier");
    platform.state().status = json!({ "version": 1, "state": "ready", "weights": "v1" });
    let run = platform.run(&["status", "--json"]).await;
    let printed: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(
        (run.code, &printed["states"]["ready"], &printed["behind"]),
        (0, &json!(1), &json!([]))
    );
    let run = platform
        .run(&["drain", "domain", "pier", "--why", "x"])
        .await;
    assert!(
        run.out
            .contains("warning: the drains leave no target for model m in region main"),
        "{run:?}"
    );
    let file = platform.file("rules", &platform.state().text());
    assert!(
        platform
            .run(&["check", &file])
            .await
            .out
            .contains("warning: the drains leave no target")
    );
    let entry = json!({ "name": "b", "incarnation": 1, "address": "127.0.0.1:1", "host": "hb",
        "domain": "pier", "region": "main", "role": "entry" });
    platform.state().put("member/b", entry);
    let run = platform.run(&["status"]).await;
    assert_eq!(run.code, 5);
    assert!(
        run.out.contains("behind: a") && run.out.contains("no answer: b"),
        "{run:?}"
    );
}

/// Guards against reporting a rollout as finished while an engine still serves other weights.
#[tokio::test]
async fn rollout_wait_ends_when_all_engines_serve_the_weights() {
    let platform = Platform::start("rollout").await;
    platform.state().accept(RULES);
    platform.add_engine("a", "pier");
    platform.state().status = json!({ "version": 2, "state": "ready", "weights": "v1" });
    let follow = [
        "rollout",
        "m",
        "--weights",
        "v2",
        "--why",
        "x",
        "--wait",
        "--timeout",
        "1",
    ];
    let run = platform.run(&follow).await;
    assert!(
        run.code == 5 && run.out.contains("0 of 1 engines of m serve v2"),
        "{run:?}"
    );
    platform.state().status = json!({ "version": 2, "state": "ready", "weights": "v2" });
    let run = platform.run(&follow).await;
    assert!(run.code == 0 && run.out.contains("1 of 1"), "{run:?}");
}

/// Guards against listing a drained target as a candidate.
#[tokio::test]
async fn explain_names_the_rule_that_excludes_a_target() {
    let platform = Platform::start("explain").await;
    let key = "a".repeat(64);
    let rules = format!("{RULES}team t key={key} # ana: x\ndrain domain pier # ana: x\n");
    platform.state().accept(&rules);
    platform.add_engine("a", "pier");
    platform.add_engine("b", "bluff");
    let run = platform
        .run(&["explain", "--team", "t", "--model", "m"])
        .await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(
        run.out
            .contains("a-target (host-a, pier): not a candidate: rule 'drain domain pier'")
    );
    assert!(
        run.out.contains("b-target (host-b, bluff): candidate"),
        "{run:?}"
    );
    let run = platform
        .run(&["explain", "--team", "u", "--model", "m"])
        .await;
    assert!(
        run.code == 2 && run.err.contains("accepted are: t"),
        "{run:?}"
    );
}
