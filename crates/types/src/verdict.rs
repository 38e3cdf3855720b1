use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Says whether a request may have run, so that a caller knows whether sending it again is safe.
///
/// A verdict is made where the fact is known and only [`Verdict::combine`] converts it afterwards;
/// see `docs/design.md`, section 5.1.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// not run
    NotRun,
    /// may have run
    MayHaveRun,
    /// ran
    Ran,
}

impl Verdict {
    /// Combines this verdict with a later observation about the same request.
    ///
    /// `NotRun` survives only when both observations say so, and `Ran` wins over a doubt, so a
    /// refusal that says "not run" stays true whatever is combined with it.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }

    /// Returns the value of the `ran` field in a refusal to a caller.
    #[must_use]
    pub fn as_ran(self) -> &'static str {
        match self {
            Self::NotRun => "no",
            Self::MayHaveRun => "maybe",
            Self::Ran => "yes",
        }
    }
}
