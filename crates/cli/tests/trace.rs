//! `trace`: finds the cause of a failed request in the logs of several processes.

use std::io::Write;
use std::process::{Command, Stdio};

use serde_json::Value;

/// Log lines of two entries around a failed stream, with the prefixes of a log collector.
const LOG: &str = r#"
entry-1 | {"time":"2026-01-08T03:52:48.000Z","level":"INFO","process":"entry-1","event":"target","target":"t9","draining":true}
entry-2 | {"time":"2026-01-08T03:52:48.900Z","level":"WARN","process":"entry-2","event":"store_lost","list":"Targets","why":"no answer"}
entry-1 | {"time":"2026-01-08T03:52:49.100Z","level":"WARN","process":"entry-1","event":"store_lost","list":"Targets","why":"no answer"}
entry-1 | {"time":"2026-01-08T03:52:50.200Z","level":"INFO","process":"entry-1","event":"ended","request":"abc","outcome":"cut","after_ms":700}
entry-1 | {"time":"2026-01-08T03:52:49.500Z","level":"INFO","process":"entry-1","event":"attempt","request":"abc","target":"t1","outcome":"failed","why":"the target has fallen silent"}
entry-2 | {"time":"2026-01-08T03:52:49.600Z","level":"INFO","process":"entry-2","event":"target_gone","target":"t1"}
entry-2 | {"time":"2026-01-08T03:52:49.700Z","level":"INFO","process":"entry-2","event":"attempt","request":"other","target":"t1","outcome":"failed"}
not a log line
entry-1 | {"time":"2026-01-08T03:52:59.000Z","level":"INFO","process":"entry-1","event":"store_heard","list":"Targets"}
"#;

fn run(arguments: &[&str], input: &str) -> (i32, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_boragereel"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut stdin = child.stdin.take().expect("an input");
    // The write fails if the tool exits on invalid arguments without reading its input.
    let _ = stdin.write_all(input.as_bytes());
    drop(stdin);
    let output = child.wait_with_output().expect("the tool ends");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("a code");
    (code, text(output.stdout), text(output.stderr))
}

/// Guards against omitting the cause of a failure that only another process logged: here another
/// entry saw that the target is gone.
#[test]
fn trace_includes_related_events_of_all_processes() {
    let (code, out, _) = run(&["trace", "abc"], LOG);
    assert_eq!(code, 0);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 4, "{out}");
    assert!(lines[0].contains("-0.400 s   entry-1 store_lost"), "{out}");
    assert!(lines[1].contains("+0.000 s * entry-1 attempt"), "{out}");
    assert!(lines[1].contains("why=\"the target has fallen silent\""));
    assert!(lines[2].contains("+0.100 s   entry-2 target_gone target=t1"));
    assert!(lines[3].contains("+0.700 s * entry-1 ended"), "{out}");
}

#[test]
fn the_time_window_is_configurable() {
    let (_, out, _) = run(&["trace", "abc", "--around", "0"], LOG);
    assert_eq!(out.lines().count(), 3, "{out}");
    let (_, out, _) = run(&["trace", "abc", "--around", "60"], LOG);
    assert_eq!(out.lines().count(), 5, "{out}");
}

#[test]
fn json_output_contains_the_original_lines() {
    let (code, out, _) = run(&["trace", "abc", "--json"], LOG);
    assert_eq!(code, 0);
    let json: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(json["request"], "abc");
    assert_eq!(json["unread"], 2);
    assert_eq!(json["lines"][1]["event"], "attempt");
}

/// Guards against omitting the reason for a refusal that only the dispatcher logged, and against
/// showing the denials of other placement requests.
#[test]
fn trace_includes_the_denied_placement_of_a_refusal() {
    let log = r#"
{"time":"2026-01-08T03:52:49.500Z","level":"WARN","process":"entry-2","event":"no_place","entry":"entry-1","number":7,"full":4}
{"time":"2026-01-08T03:52:49.500Z","level":"WARN","process":"entry-2","event":"no_place","entry":"entry-3","number":7,"full":4}
{"time":"2026-01-08T03:52:49.500Z","level":"WARN","process":"entry-1","event":"no_place","entry":"entry-3","number":8,"full":4}
{"time":"2026-01-08T03:52:49.502Z","level":"WARN","process":"entry-1","event":"refused","request":"abc","reason":"busy","dispatcher":"entry-2","number":7}
"#;
    let (code, out, _) = run(&["trace", "abc"], log);
    assert_eq!(code, 0);
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 2, "{out}");
    assert!(lines[0].contains("entry-2 no_place entry=entry-1"), "{out}");
    assert!(lines[1].contains("* entry-1 refused"), "{out}");
}

/// Guards against empty output instead of an error for an unknown request or an unreadable file.
#[test]
fn unknown_requests_and_unreadable_files_are_errors() {
    let (code, _, err) = run(&["trace", "nobody"], LOG);
    assert_eq!(code, 1);
    assert!(err.contains("names request \"nobody\""), "{err}");
    let (code, _, err) = run(&["trace", "abc", "/nonexistent/log"], "");
    assert_eq!(code, 2);
    assert!(err.contains("/nonexistent/log"), "{err}");
    let (code, _, err) = run(&["trace", "abc", "--around", "-1"], "");
    assert_eq!(
        (code, err.contains("accepted are 0 to")),
        (2, true),
        "{err}"
    );
    let (code, _, err) = run(&["trace", "abc", "--arround", "1"], "");
    assert_eq!(
        (code, err.contains("unknown arguments")),
        (2, true),
        "{err}"
    );
}
