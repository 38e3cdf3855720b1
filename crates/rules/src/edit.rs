use types::{Model, Weights};

use crate::line::{Line, Problem, check_name};
use crate::snapshot::{Drain, MODEL_EXAMPLE};

/// Adds a `drain` rule; `who` and `why` become its comment.
///
/// The edit changes no other line, so it can be reapplied on top of any other change.
///
/// # Errors
/// Fails if the file already has this rule or if a name or the comment is invalid.
pub fn drain(text: &str, drain: &Drain, who: &str, why: &str) -> Result<String, Problem> {
    let comment = comment(who, why)?;
    let (kind, name) = drain.parts();
    check_name(name)?;
    if let Some(number) = find(text, "drain", &[kind, name]) {
        return Err(Problem::AlreadyDrained(drain.to_string(), number + 1));
    }
    let mut lines: Vec<&str> = text.lines().collect();
    let line = format!("drain {drain} # {comment}");
    lines.push(&line);
    Ok(join_lines(&lines))
}

/// Removes a `drain` rule.
///
/// # Errors
/// Fails if there is no such rule; the error lists the existing ones.
pub fn undrain(text: &str, drain: &Drain) -> Result<String, Problem> {
    let (kind, name) = drain.parts();
    let Some(index) = find(text, "drain", &[kind, name]) else {
        return Err(Problem::NotFound(
            format!("rule 'drain {drain}'"),
            list_args(text, "drain"),
        ));
    };
    let mut lines: Vec<&str> = text.lines().collect();
    lines.remove(index);
    Ok(join_lines(&lines))
}

/// Sets the weight version of a model; `who` and `why` become the comment of its rule.
///
/// # Errors
/// Fails if there is no such model or if a name or the comment is invalid.
pub fn set_weights(
    text: &str,
    model: &Model,
    weights: &Weights,
    who: &str,
    why: &str,
) -> Result<String, Problem> {
    check_name(weights)?;
    let comment = comment(who, why)?;
    let Some(index) = find(text, "model", &[model]) else {
        return Err(Problem::NotFound(
            format!("model {model:?}"),
            list_args(text, "model"),
        ));
    };
    let lines: Vec<&str> = text.lines().collect();
    let mut line =
        Line::parse(index + 1, lines[index])?.ok_or(Problem::WrongArgCount(MODEL_EXAMPLE))?;
    line.options
        .insert("weights".to_owned(), weights.to_string());
    line.comment = comment;
    let line = line.to_string();
    let mut lines = lines;
    lines[index] = &line;
    Ok(join_lines(&lines))
}

/// Formats a rules file: one space between words, and options in alphabetical order.
///
/// Blank lines and lines with only a comment are kept.
///
/// # Errors
/// Fails on the first line that cannot be parsed.
pub fn format(text: &str) -> Result<String, Problem> {
    let mut formatted = String::with_capacity(text.len());
    for (index, text) in text.lines().enumerate() {
        match Line::parse(index + 1, text)? {
            Some(line) => formatted.push_str(&line.to_string()),
            None => formatted.push_str(text.trim()),
        }
        formatted.push('\n');
    }
    Ok(formatted)
}

fn comment(who: &str, why: &str) -> Result<String, Problem> {
    for (field, text) in [("who", who), ("why", why)] {
        let is_forbidden = |c: char| c == '#' || c.is_control();
        if text.trim().is_empty() || text.len() > 1024 || text.contains(is_forbidden) {
            return Err(Problem::BadComment(field, text.to_owned()));
        }
    }
    Ok(format!("{}: {}", who.trim(), why.trim()))
}

/// Returns the line index of the rule with this keyword and these arguments.
fn find(text: &str, keyword: &str, args: &[&str]) -> Option<usize> {
    text.lines().enumerate().position(|(index, text)| {
        matches!(Line::parse(index + 1, text), Ok(Some(line)) if line.keyword == keyword && line.args == args)
    })
}

fn list_args(text: &str, keyword: &str) -> String {
    let lines = text.lines().enumerate();
    let names: Vec<String> = lines
        .filter_map(|(index, text)| Line::parse(index + 1, text).ok().flatten())
        .filter(|line| line.keyword == keyword)
        .map(|line| line.args.join(" "))
        .collect();
    match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    }
}

fn join_lines(lines: &[&str]) -> String {
    let mut text = lines.join("\n");
    text.push('\n');
    text
}
