use std::path::PathBuf;

use platform::config::{self, Record};
use platform::{Client, Table};
use rules::{Change, Snapshot};
use serde_json::{Value, json};
use types::Version;

use crate::{Failure, Output, change, connection, finish};

/// Validates a rules file.
pub(crate) async fn check(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open_if_given(&mut arguments)?;
    let path: PathBuf = arguments.free_from_str()?;
    finish(arguments)?;
    let (text, _) = change::read_rules(&path)?;
    let warnings = match &platform {
        Some(platform) => change::warnings(platform, &text).await,
        None => Vec::new(),
    };
    let mut lines = vec![format!("{}: the rules are valid", path.display())];
    lines.extend(warnings.iter().map(|warning| format!("warning: {warning}")));
    let json = json!({ "valid": true, "warnings": warnings });
    Ok(Output::new(lines.join("\n"), json))
}

/// Compares a rules file with the accepted rules.
pub(crate) async fn diff(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let path: PathBuf = arguments.free_from_str()?;
    finish(arguments)?;
    let (text, _) = change::read_rules(&path)?;
    let (head, _) = config::head(&platform).await?;
    let accepted = load_accepted(&platform, head.version, &head.digest).await?;
    let changes = rules::diff(&accepted, &text);
    let mut lines = vec![format!("# against version {}", head.version)];
    lines.extend(changes.iter().map(format_change));
    let json = json!({ "version": head.version, "changes": changes_json(&changes) });
    Ok(Output {
        differs: !changes.is_empty(),
        ..Output::new(lines.join("\n"), json)
    })
}

/// Prints the accepted rules of the current or a given version.
pub(crate) async fn show(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let version: Option<u64> = arguments.opt_value_from_str("--version")?;
    finish(arguments)?;
    let (mut head, _) = config::head(&platform).await?;
    if let Some(version) = version {
        let last = head.version;
        let record = config::record(&platform, Version(version)).await?;
        let record = record.ok_or_else(|| {
            Failure::Invalid(format!(
                "version {version} was not accepted; accepted are 1 to {last}"
            ))
        })?;
        (head.version, head.digest) = (record.version, record.digest);
    }
    if head.version.0 == 0 {
        let json = json!({ "version": 0, "text": "" });
        return Ok(Output::new(
            "# no configuration has been accepted yet",
            json,
        ));
    }
    let Snapshot { version, text, .. } = config::load(&platform, &head).await?;
    let json = json!({ "version": version, "text": text });
    Ok(Output::new(
        format!("# version {version}\n{}", text.trim_end()),
        json,
    ))
}

/// Lists the accepted changes.
pub(crate) async fn history(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let last: Option<usize> = arguments.opt_value_from_str("--last")?;
    finish(arguments)?;
    let records = records(&platform, last).await?;
    let lines: Vec<String> = records.iter().map(format_record).collect();
    Ok(Output::new(lines.join("\n"), json!(records)))
}

/// Lists the accepted changes with the lines that each added and removed.
pub(crate) async fn audit(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open(&mut arguments)?;
    let last: Option<usize> = arguments.opt_value_from_str("--last")?;
    finish(arguments)?;
    let records = records(&platform, last).await?;
    let mut before = match records.first().map(|record| record.version.0) {
        Some(version @ 2..) => match config::record(&platform, Version(version - 1)).await? {
            Some(record) => config::load_text(&platform, &record.digest).await?,
            None => String::new(),
        },
        _ => String::new(),
    };
    let (mut lines, mut entries) = (Vec::new(), Vec::new());
    for record in records {
        let text = config::load_text(&platform, &record.digest).await?;
        let changes = rules::diff(&before, &text);
        lines.push(format_record(&record));
        lines.extend(
            changes
                .iter()
                .map(|change| format!("        {}", format_change(change))),
        );
        entries.push(json!({ "record": record, "changes": changes_json(&changes) }));
        before = text;
    }
    Ok(Output::new(lines.join("\n"), json!(entries)))
}

async fn load_accepted(
    platform: &Client,
    version: Version,
    digest: &str,
) -> Result<String, Failure> {
    match version.0 {
        0 => Ok(String::new()),
        _ => Ok(config::load_text(platform, digest).await?),
    }
}

async fn records(platform: &Client, last: Option<usize>) -> Result<Vec<Record>, Failure> {
    let rows = platform.scan("config/change/").await?;
    let skipped = last.map_or(0, |last| rows.len().saturating_sub(last));
    rows.into_iter()
        .skip(skipped)
        .map(|row| {
            serde_json::from_value(row.value)
                .map_err(|error| Failure::Failed(format!("row {}: {error}", row.key)))
        })
        .collect()
}

fn format_record(record: &Record) -> String {
    let when = std::time::UNIX_EPOCH + std::time::Duration::from_secs(record.when);
    let when = humantime::format_rfc3339_seconds(when);
    let Record {
        version,
        change,
        who,
        why,
        ..
    } = record;
    format!("{version:>6}  {when}  {change}  {who}: {why}")
}

fn format_change(change: &Change) -> String {
    match change {
        Change::Added(line) => format!("+ {line}"),
        Change::Removed(line) => format!("- {line}"),
    }
}

fn changes_json(changes: &[Change]) -> Value {
    let changes = changes.iter().map(|change| match change {
        Change::Added(line) => json!({ "added": line }),
        Change::Removed(line) => json!({ "removed": line }),
    });
    changes.collect()
}
