//! Parses each rules file under `tests/fixtures` and compares the result with its first line, which
//! is `# expect: ok` or `# expect: LINE: part of the message`.
//!
//! Guards against rules that are silently misinterpreted and errors that name the wrong line.

use std::path::Path;

use rules::Snapshot;
use types::Version;

fn check(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("# expect: "))
        .ok_or("a fixture starts with '# expect: '")?;
    let outcome = Snapshot::parse("rules", &text, Version(1));
    match (expected, outcome) {
        ("ok", Ok(_)) => Ok(()),
        ("ok", Err(error)) => Err(format!("expected no error, got: {error}").into()),
        (expected, Ok(_)) => Err(format!("expected an error: {expected}").into()),
        (expected, Err(error)) => {
            let (line, message) = expected.split_once(": ").ok_or("LINE: message")?;
            let actual = error.to_string();
            if line.parse() == Ok(error.line) && actual.contains(message) {
                return Ok(());
            }
            Err(format!("expected {expected:?}, got {actual:?}").into())
        }
    }
}

/// Guards against examples that a new check makes invalid.
fn example(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    Snapshot::parse("rules", &text, Version(1))?;
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/fixtures", pattern = r"\.rules$" },
    { test = example, root = "../../examples/rules", pattern = r"\.rules$" },
}
