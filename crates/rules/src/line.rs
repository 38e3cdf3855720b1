use std::collections::BTreeMap;
use std::fmt;

use displaydoc::Display;
use thiserror::Error as ThisError;

/// One rule of the file, split into its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// The line number in the file, counted from 1.
    pub number: usize,
    /// The first word, which names the kind of rule, such as `team` or `drain`.
    pub keyword: String,
    /// The words after the keyword that are not `key=value`.
    pub args: Vec<String>,
    /// The `key=value` options.
    pub options: BTreeMap<String, String>,
    /// Who requested the rule and why: the text after `#`.
    pub comment: String,
}

/// An error in a rules file, with its line and the accepted input.
#[derive(Debug, Display, ThisError, PartialEq, Eq)]
#[displaydoc("{file}:{line}: {problem}")]
pub struct Error {
    /// The name of the file as the user gave it.
    pub file: String,
    /// The line number, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub problem: Problem,
}

/// Why a rule is invalid.
#[derive(Debug, Display, ThisError, PartialEq, Eq)]
pub enum Problem {
    /// the rule has no comment that names who asked for it; write for example: {0} # ana: contract 12
    NoComment(String),
    /// unknown rule {0:?}; accepted are: team, model, service, target, drain, retain
    UnknownKeyword(String),
    /// unknown option {0:?}; accepted are: {1}
    UnknownOption(String, &'static str),
    /// option {0:?} is given twice
    DuplicateOption(String),
    /// option {0:?} is missing; write for example: {1}
    MissingOption(&'static str, &'static str),
    /// {0}={1:?} is not accepted; accepted is {2}
    BadValue(String, String, &'static str),
    /// the rule has the wrong number of names; write for example: {0}
    WrongArgCount(&'static str),
    /// name {0:?} is not accepted; a name has 1 to 64 letters, digits, '-', '_' or '.'
    BadName(String),
    /// {0} {1:?} has a rule already, at line {2}
    Duplicate(&'static str, String, usize),
    /// the key of team {0:?} is the key of team {1:?} too; each team needs its own
    SharedKey(String, String),
    /// there is no team {0:?} whose context could be retained; add a team rule or remove this one
    UnknownTeam(String),
    /// the line is longer than 4096 bytes
    TooLong,
    /// {0} {1:?} is not accepted; accepted is one line of text without '#' that is not empty
    BadComment(&'static str, String),
    /// there is no {0}; accepted are: {1}
    NotFound(String, String),
    /// {0} is drained already, at line {1}
    AlreadyDrained(String, usize),
}

/// The longest line that is parsed; a longer one is an error or an attack.
const MAX_LINE_BYTES: usize = 4096;

impl fmt::Display for Line {
    /// Writes the formatted rule; [`Line::parse`] reads the same rule from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.keyword)?;
        for arg in &self.args {
            write!(f, " {arg}")?;
        }
        for (key, value) in &self.options {
            write!(f, " {key}={value}")?;
        }
        write!(f, " # {}", self.comment)
    }
}

impl Line {
    /// Parses one line of the file; returns `None` for blank lines and lines with only a comment.
    ///
    /// # Errors
    /// Fails on a rule without a comment, a duplicate option, an invalid name or an overlong line.
    pub fn parse(number: usize, text: &str) -> Result<Option<Self>, Problem> {
        if text.len() > MAX_LINE_BYTES {
            return Err(Problem::TooLong);
        }
        let (rule, comment) = match text.split_once('#') {
            Some((rule, comment)) => (rule.trim(), comment.trim()),
            None => (text.trim(), ""),
        };
        if rule.is_empty() {
            return Ok(None);
        }
        if comment.is_empty() {
            return Err(Problem::NoComment(rule.to_owned()));
        }
        let mut parts = rule.split_whitespace();
        let keyword = check_name(parts.next().unwrap_or_default())?;
        let mut args = Vec::new();
        let mut options = BTreeMap::new();
        for part in parts {
            match part.split_once('=') {
                None => args.push(check_name(part)?),
                Some((key, value)) => {
                    if key.is_empty() {
                        return Err(Problem::BadName(part.to_owned()));
                    }
                    if options.insert(key.to_owned(), value.to_owned()).is_some() {
                        return Err(Problem::DuplicateOption(key.to_owned()));
                    }
                }
            }
        }
        Ok(Some(Self {
            number,
            keyword,
            args,
            options,
            comment: comment.to_owned(),
        }))
    }

    /// Fails if the rule has an option that is not in the space-separated list `accepted`.
    pub(crate) fn check_options(&self, accepted: &'static str) -> Result<(), Problem> {
        for key in self.options.keys() {
            if !accepted.split(' ').any(|name| name == key) {
                return Err(Problem::UnknownOption(key.clone(), accepted));
            }
        }
        Ok(())
    }

    /// Returns the argument of a rule that must have exactly one.
    pub(crate) fn single_arg(&self, example: &'static str) -> Result<&str, Problem> {
        match self.args.as_slice() {
            [arg] => Ok(arg),
            _ => Err(Problem::WrongArgCount(example)),
        }
    }

    /// Parses an option as a whole number from `min` to `max`; returns `default` if it is absent.
    pub(crate) fn number(
        &self,
        key: &str,
        default: u64,
        (min, max): (u64, u64),
        accepted: &'static str,
    ) -> Result<u64, Problem> {
        let Some(text) = self.options.get(key) else {
            return Ok(default);
        };
        match text.parse() {
            Ok(number) if (min..=max).contains(&number) => Ok(number),
            _ => Err(Problem::BadValue(key.to_owned(), text.clone(), accepted)),
        }
    }
}

pub(crate) fn check_name(name: &str) -> Result<String, Problem> {
    let is_valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_valid) {
        return Err(Problem::BadName(name.to_owned()));
    }
    Ok(name.to_owned())
}
