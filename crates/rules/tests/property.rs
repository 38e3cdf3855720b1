//! Property tests of parsing, formatting and editing rules.

use proptest::prelude::*;
use rules::{Drain, Line, Snapshot, drain, format, set_weights, undrain};
use types::{Model, Version, Weights};

fn word() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._-]{1,12}"
}

/// Texts close to the grammar; arbitrary text would hardly ever get past the keyword.
fn line() -> impl Strategy<Value = String> {
    let keyword = prop::sample::select(vec![
        "team", "model", "service", "target", "drain", "retain", "x",
    ]);
    let option =
        ("[a-z]{0,6}", "[a-z0-9,=#]{0,66}").prop_map(|(key, value)| format!("{key}={value}"));
    (
        keyword,
        prop::collection::vec(word(), 0..3),
        prop::collection::vec(option, 0..3),
        ".{0,8}",
    )
        .prop_map(|(keyword, args, options, comment)| {
            format!(
                "{keyword}  {}\t{} # {comment}",
                args.join(" "),
                options.join(" ")
            )
        })
}

proptest! {
    /// Guards against a rules file that makes every process that reads it panic.
    #[test]
    fn parsing_never_panics(text in ".{0,300}", lines in prop::collection::vec(line(), 0..6)) {
        for text in [text, lines.join("\n")] {
            let _ = Snapshot::parse("rules", &text, Version(1));
            let _ = format(&text);
        }
    }

    /// Guards against formatting that changes the meaning of a rule.
    #[test]
    fn formatting_preserves_the_rule(text in line()) {
        if let Ok(Some(parsed)) = Line::parse(1, &text) {
            let reparsed = Line::parse(1, &parsed.to_string()).unwrap().unwrap();
            prop_assert_eq!(&reparsed, &parsed);
            prop_assert_eq!(reparsed.to_string(), parsed.to_string());
        }
    }

    /// Guards against an edit that changes other lines or loses the comment, and against a name or
    /// reason that injects a second rule.
    #[test]
    fn edits_change_one_line(names in prop::collection::btree_set(word(), 1..5), who in "(?s).{0,9}", why in "(?s).{0,9}") {
        let names: Vec<String> = names.into_iter().collect();
        let text: String = names.iter().map(|name| format!("model {name}  weights=v1 # ben: first\n")).collect();
        let rule = Drain::from_parts("host", &names[0]).unwrap();
        let edited = [
            drain(&text, &rule, &who, &why),
            set_weights(&text, &Model::from(names[0].as_str()), &Weights::from("v2"), &who, &why),
        ];
        for edited in edited.into_iter().flatten() {
            let snapshot = Snapshot::parse("rules", &edited, Version(1)).unwrap();
            prop_assert_eq!(snapshot.models.len(), names.len());
            let changed = rules::diff(&text, &edited);
            prop_assert!(changed.len() <= 2, "{:?}", changed);
            let comment = format!("# {}: {}", who.trim(), why.trim());
            prop_assert!(edited.contains(&comment), "{}", edited);
            if snapshot.drains.contains(&rule) {
                prop_assert_eq!(undrain(&edited, &rule).unwrap(), text.clone());
            }
        }
    }
}

/// Guards against errors that do not tell the operator which input is accepted.
#[test]
fn edit_errors_name_the_accepted_input() {
    let text = "model m weights=v1 # ben: x\ndrain domain pier # ana: y\n";
    let pier = Drain::from_parts("domain", "pier").unwrap();
    let bluff = Drain::from_parts("domain", "bluff").unwrap();
    let messages = [
        drain(text, &pier, "ana", "z").unwrap_err().to_string(),
        drain(text, &bluff, "ana", "a # b").unwrap_err().to_string(),
        undrain(text, &bluff).unwrap_err().to_string(),
        set_weights(text, &Model::from("n"), &Weights::from("v2"), "ana", "z")
            .unwrap_err()
            .to_string(),
    ];
    let expected = [
        "domain pier is drained already, at line 2",
        "one line of text without '#'",
        "accepted are: domain pier",
        "accepted are: m",
    ];
    for (message, expected) in messages.iter().zip(expected) {
        assert!(message.contains(expected), "{message}");
    }
}
