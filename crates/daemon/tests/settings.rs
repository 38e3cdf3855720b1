//! Checks each settings file in `tests/settings` against its expected outcome, and the example files
//! with the daemon itself.
//!
//! The first line of a fixture is `// expect: ok` or `// expect: LINE:COLUMN: start of the message`.
//! Guards against invalid settings that are accepted, and against errors with a wrong position.

use std::path::Path;
use std::process::Command;

use daemon::settings::Settings;

fn check(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let expected = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("// expect: "))
        .ok_or("a fixture starts with '// expect: '")?;
    let outcome = match Settings::parse("settings", &text) {
        Ok(_) => "ok".to_owned(),
        Err(error) => error.to_string(),
    };
    let expected_start = match expected {
        "ok" => "ok".to_owned(),
        expected => format!("settings:{expected}"),
    };
    match outcome.starts_with(&expected_start) {
        true => Ok(()),
        false => Err(format!("expected {expected_start:?}, got {outcome:?}").into()),
    }
}

/// Guards against an example that became invalid through a new key or check.
fn example(path: &Path) -> datatest_stable::Result<()> {
    let output = Command::new(env!("CARGO_BIN_EXE_boragereeld"))
        .arg("--settings")
        .arg(path)
        .arg("--check")
        .output()?;
    match output.status.code() {
        Some(0) => Ok(()),
        code => Err(format!("{code:?}: {}", String::from_utf8_lossy(&output.stderr)).into()),
    }
}

datatest_stable::harness! {
    { test = check, root = "tests/settings", pattern = r"\.json$" },
    { test = example, root = "../../examples/settings", pattern = r"\.json$" },
}
