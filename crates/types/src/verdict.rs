use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Whether a request may have run, so that a caller knows whether a retry is safe.
///
/// A verdict is created where the fact is known and afterwards changes only by
/// [`Verdict::combine`]; see `docs/design.md`, section 5.1.
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
    /// The result is `NotRun` only if both observations say so, and `Ran` takes precedence over
    /// `MayHaveRun`. A refusal therefore never reports "not run" for a request that may have run.
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
