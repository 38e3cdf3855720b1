use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value, json};

use crate::{Failure, Output};

/// How long before and after a request related events are shown by default, in seconds.
const DEFAULT_WINDOW_S: f64 = 2.0;

/// Fields that are not listed with the others: they are printed in front of them or omitted.
const HEADER_FIELDS: [&str; 5] = ["time", "level", "process", "event", "request"];

/// A structured log line.
#[derive(Debug, Clone)]
struct Line {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// The processes, targets and placement requests that the log lines of a request mention.
#[derive(Debug)]
struct Related<'lines> {
    processes: BTreeSet<&'lines str>,
    targets: BTreeSet<&'lines str>,
    /// The denied placement requests, as requesting process and request number.
    placements: BTreeSet<(&'lines str, u64)>,
}

/// Prints the log lines of a request from all processes, with related events around it.
pub(crate) fn trace(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let around: Option<f64> = arguments.opt_value_from_str("--around")?;
    let around = around.unwrap_or(DEFAULT_WINDOW_S);
    if !(0.0..=86_400.0).contains(&around) {
        return Err(Failure::Invalid(format!(
            "--around is {around}; accepted are 0 to 86400 seconds"
        )));
    }
    let request: String = arguments.free_from_str()?;
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if let Some(option) = files
        .iter()
        .find(|file| file.to_string_lossy().starts_with("--"))
    {
        return Err(Failure::Invalid(format!(
            "unknown arguments [{option:?}]; see --help"
        )));
    }
    let (lines, unparsed) = read_logs(&files)?;
    let own_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("request") == Some(&request))
        .collect();
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        return Err(Failure::Failed(format!(
            "no line of {} names request {request:?}; {unparsed} lines are not log lines",
            lines.len()
        )));
    };
    let around = Duration::from_secs_f64(around);
    let from = first.at.checked_sub(around).unwrap_or(first.at);
    let until = last.at.checked_add(around).unwrap_or(last.at);
    let related = Related {
        processes: own_lines
            .iter()
            .filter_map(|line| line.text("process"))
            .collect(),
        targets: own_lines
            .iter()
            .filter_map(|line| line.text("target"))
            .collect(),
        placements: own_lines
            .iter()
            .filter_map(|line| line.placement_request("process"))
            .collect(),
    };
    let shown: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            line.text("request") == Some(&request) || {
                let in_window = line.at >= from && line.at <= until;
                in_window && line.is_related_to(&related)
            }
        })
        .collect();
    let text: Vec<String> = shown
        .iter()
        .map(|line| line.format(first.at, &request))
        .collect();
    let objects: Vec<&Map<String, Value>> = shown.iter().map(|line| &line.fields).collect();
    let json = json!({ "request": request, "lines": objects, "unread": unparsed });
    Ok(Output::new(text.join("\n"), json))
}

/// Reads the files, or standard input if there are none; returns the log lines ordered by time, and
/// the number of lines that are not log lines.
fn read_logs(files: &[PathBuf]) -> Result<(Vec<Line>, usize), Failure> {
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| Failure::Invalid(format!("{}: {error}", file.display())))?;
        texts.push(text);
    }
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| Failure::Invalid(format!("standard input: {error}")))?;
        texts.push(text);
    }
    let mut lines = Vec::new();
    let mut unparsed = 0;
    for text in texts.iter().flat_map(|text| text.lines()) {
        match Line::parse(text) {
            Some(line) => lines.push(line),
            None => unparsed += 1,
        }
    }
    // The sort is stable: lines with equal timestamps keep the order of the files.
    lines.sort_by_key(|line| line.at);
    Ok((lines, unparsed))
}

impl Line {
    /// Parses a line, skipping any prefix that a log collector puts before the JSON object.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
        Some(Self { at, fields })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the placement request that the line refers to; `field` holds the requesting process.
    fn placement_request(&self, field: &str) -> Option<(&str, u64)> {
        Some((self.text(field)?, self.fields.get("number")?.as_u64()?))
    }

    /// Returns whether the line is an event of one of the processes, an event of any process about
    /// one of the targets, or the reason for a denied placement. Lines of other requests are
    /// excluded.
    fn is_related_to(&self, related: &Related<'_>) -> bool {
        if self.fields.contains_key("request") {
            return false;
        }
        if let Some(placement) = self.placement_request("entry") {
            return related.placements.contains(&placement);
        }
        match self.text("target") {
            Some(target) => related.targets.contains(target),
            None => self
                .text("process")
                .is_some_and(|process| related.processes.contains(process)),
        }
    }

    /// Formats the line with its offset from the first line of the request.
    fn format(&self, first: SystemTime, request: &str) -> String {
        let offset = match self.at.duration_since(first) {
            Ok(after) => after.as_secs_f64(),
            Err(before) => -before.duration().as_secs_f64(),
        };
        let mark = match self.text("request") == Some(request) {
            true => '*',
            false => ' ',
        };
        let rest = self.fields.iter();
        let rest = rest
            .filter(|(name, value)| !HEADER_FIELDS.contains(&name.as_str()) && !value.is_null());
        let rest: Vec<String> = rest
            .map(|(name, value)| match value.as_str() {
                Some(text) if !text.contains(' ') => format!("{name}={text}"),
                _ => format!("{name}={value}"),
            })
            .collect();
        let process = self.text("process").unwrap_or("?");
        let event = self.text("event").unwrap_or("?");
        format!(
            "{offset:+9.3} s {mark} {process} {event} {}",
            rest.join(" ")
        )
    }
}
