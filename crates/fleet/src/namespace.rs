//! Names of cache namespaces. A target finds cached segments only in the namespace that a request
//! names, so whatever must not be shared is part of the name. See `docs/platform.md`.

use std::fmt::{Display, Formatter};

use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use types::{Model, Team};

/// Which requests share the segments of a namespace.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
pub enum Scope {
    /// Those of all teams, as none is isolated.
    #[default]
    All,
    /// Those of all teams but the isolated ones, which this number stands for.
    ///
    /// A team that becomes isolated leaves segments behind, in the memory of targets as well, where
    /// nothing can evict them. The others therefore share a namespace that they have used only
    /// while the same teams were isolated.
    Except(u64),
    /// Those of an isolated team.
    Team(Team),
}

/// A cache namespace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Namespace {
    /// The model.
    pub model: Model,
    /// The version of its weights; 0 if it is not known.
    pub version: u64,
    /// Which requests share it.
    pub scope: Scope,
}

/// Separates the fields; names are encoded, so that it does not occur in them.
const SEPARATOR: char = '.';
/// Begins the number of [`Scope::Except`]; it does not occur in encoded names either.
const EXCEPT_MARK: char = '-';

impl Scope {
    /// Returns the scope of the teams that are not isolated; the order of `isolated` does not
    /// matter.
    #[must_use]
    pub fn of_others<'team>(isolated: impl Iterator<Item = &'team Team>) -> Self {
        let mut isolated: Vec<&Team> = isolated.collect();
        if isolated.is_empty() {
            return Self::All;
        }
        isolated.sort();
        isolated.dedup();
        let mut hasher = blake3::Hasher::new();
        for team in isolated {
            hasher.update(&(team.len() as u64).to_le_bytes());
            hasher.update(team.as_bytes());
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self::Except(u64::from_le_bytes(bytes))
    }
}

impl Namespace {
    /// Parses the name of a namespace; `None` if it is not one of boragereel.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let decode = |text: &str| Some(percent_decode_str(text).decode_utf8().ok()?.into_owned());
        let mut fields = name.splitn(3, SEPARATOR);
        let model = decode(fields.next()?)?;
        let version = fields.next()?.parse().ok()?;
        let scope = match fields.next() {
            None => Scope::All,
            Some(field) => match field.strip_prefix(EXCEPT_MARK) {
                Some(number) => Scope::Except(u64::from_str_radix(number, 16).ok()?),
                None => Scope::Team(decode(field)?.as_str().into()),
            },
        };
        Some(Self {
            model: model.as_str().into(),
            version,
            scope,
        })
    }
}

impl Display for Namespace {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let encode = |name| utf8_percent_encode(name, NON_ALPHANUMERIC);
        let (model, version) = (encode(&self.model), self.version);
        write!(formatter, "{model}{SEPARATOR}{version}")?;
        match &self.scope {
            Scope::All => Ok(()),
            Scope::Except(number) => write!(formatter, "{SEPARATOR}{EXCEPT_MARK}{number:016x}"),
            Scope::Team(team) => write!(formatter, "{SEPARATOR}{}", encode(team)),
        }
    }
}
