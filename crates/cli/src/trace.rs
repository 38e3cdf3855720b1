use std::collections::BTreeSet;
use std::io::Read;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

use serde_json::{Map, Value, json};

use crate::{Failure, Output};

/// How long before and after a request events about its processes and targets are shown, in seconds.
const AROUND_S: f64 = 2.0;

/// Fields that are printed in front of the others, or not at all.
const HEAD: [&str; 5] = ["time", "level", "process", "event", "request"];

/// One line of a log.
#[derive(Debug, Clone)]
struct Line {
    at: SystemTime,
    fields: Map<String, Value>,
}

/// What the lines of a request name.
#[derive(Debug)]
struct Known<'lines> {
    processes: BTreeSet<&'lines str>,
    targets: BTreeSet<&'lines str>,
    /// The requests for a place that were refused, by the process that asked and its number.
    asked: BTreeSet<(&'lines str, u64)>,
}

/// Prints what all processes decided on one request, with what they learned around it.
pub(crate) fn trace(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let around: Option<f64> = arguments.opt_value_from_str("--around")?;
    let around = around.unwrap_or(AROUND_S);
    if !(0.0..=86_400.0).contains(&around) {
        return Err(Failure::Wrong(format!(
            "--around is {around}; accepted are 0 to 86400 seconds"
        )));
    }
    let request: String = arguments.free_from_str()?;
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if let Some(option) = files
        .iter()
        .find(|file| file.to_string_lossy().starts_with("--"))
    {
        return Err(Failure::Wrong(format!(
            "unknown arguments [{option:?}]; see --help"
        )));
    }
    let (lines, unread) = read_all(&files)?;
    let own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.text("request") == Some(&request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Failure::Failed(format!(
            "no line of {} names request {request:?}; {unread} lines are no log lines",
            lines.len()
        )));
    };
    let around = Duration::from_secs_f64(around);
    let from = first.at.checked_sub(around).unwrap_or(first.at);
    let until = last.at.checked_add(around).unwrap_or(last.at);
    let known = Known {
        processes: own.iter().filter_map(|line| line.text("process")).collect(),
        targets: own.iter().filter_map(|line| line.text("target")).collect(),
        asked: own
            .iter()
            .filter_map(|line| line.asked("process"))
            .collect(),
    };
    let shown: Vec<&Line> = lines
        .iter()
        .filter(|line| {
            line.text("request") == Some(&request) || {
                let near = line.at >= from && line.at <= until;
                near && line.concerns(&known)
            }
        })
        .collect();
    let text: Vec<String> = shown
        .iter()
        .map(|line| line.print(first.at, &request))
        .collect();
    let objects: Vec<&Map<String, Value>> = shown.iter().map(|line| &line.fields).collect();
    let json = json!({ "request": request, "lines": objects, "unread": unread });
    Ok(Output::new(text.join("\n"), json))
}

/// Reads files, or standard input where none is named; returns the lines by time, and how many could
/// not be read.
fn read_all(files: &[PathBuf]) -> Result<(Vec<Line>, usize), Failure> {
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| Failure::Wrong(format!("{}: {error}", file.display())))?;
        texts.push(text);
    }
    if files.is_empty() {
        let mut text = String::new();
        std::io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| Failure::Wrong(format!("standard input: {error}")))?;
        texts.push(text);
    }
    let mut lines = Vec::new();
    let mut unread = 0;
    for text in texts.iter().flat_map(|text| text.lines()) {
        match Line::parse(text) {
            Some(line) => lines.push(line),
            None => unread += 1,
        }
    }
    // Lines of one moment stay in the order of their files.
    lines.sort_by_key(|line| line.at);
    Ok((lines, unread))
}

impl Line {
    /// Reads a line; what a log collector puts before the object is passed over.
    fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let at = humantime::parse_rfc3339(fields.get("time")?.as_str()?).ok()?;
        Some(Self { at, fields })
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the request for a place that the line is about; `field` names who asked.
    fn asked(&self, field: &str) -> Option<(&str, u64)> {
        Some((self.text(field)?, self.fields.get("number")?.as_u64()?))
    }

    /// Says whether the line tells what one of the processes learned, what any process learned of
    /// one of the targets, or why there was no place; lines about other requests do not.
    fn concerns(&self, known: &Known<'_>) -> bool {
        if self.fields.contains_key("request") {
            return false;
        }
        if let Some(asked) = self.asked("entry") {
            return known.asked.contains(&asked);
        }
        match self.text("target") {
            Some(target) => known.targets.contains(target),
            None => self
                .text("process")
                .is_some_and(|process| known.processes.contains(process)),
        }
    }

    /// Prints the line with its time since the request's first one.
    fn print(&self, first: SystemTime, request: &str) -> String {
        let offset = match self.at.duration_since(first) {
            Ok(after) => after.as_secs_f64(),
            Err(before) => -before.duration().as_secs_f64(),
        };
        let mark = match self.text("request") == Some(request) {
            true => '*',
            false => ' ',
        };
        let rest = self.fields.iter();
        let rest = rest.filter(|(name, value)| !HEAD.contains(&name.as_str()) && !value.is_null());
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
