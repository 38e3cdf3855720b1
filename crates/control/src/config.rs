use std::collections::VecDeque;
use std::sync::Arc;

use rules::{Digest, Snapshot};
use types::Version;

use crate::delta;
use crate::message::{Body, Change};

/// The configuration in force and the texts before it, from which deltas are made.
#[derive(Debug, Clone, Default)]
pub struct Config {
    current: Arc<Snapshot>,
    digest: Digest,
    texts: VecDeque<(Version, Arc<str>)>,
}

/// What came of a configuration that was offered.
#[derive(Debug, Clone)]
pub enum Offer {
    /// It is in force now.
    Adopted(Arc<Snapshot>),
    /// The configuration in force is at least as new.
    Old,
    /// The text is not the one that was accepted, or the rules in it are not valid.
    Invalid,
}

/// Texts kept for deltas. At 2,300 changes a day this covers about five minutes on average, which
/// is longer than any process lags that is not restarted or cut off.
const KEPT_TEXTS: usize = 8;

impl Config {
    /// Returns the rules in force.
    #[must_use]
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// Returns the version in force; 0 before any was adopted.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// Puts a greater version in force, whole and only after it was checked.
    pub fn offer(&mut self, version: Version, digest: &Digest, text: &str) -> Offer {
        if version <= self.version() {
            return Offer::Old;
        }
        if blake3::hash(text.as_bytes()).as_bytes() != digest {
            return Offer::Invalid;
        }
        let Ok(snapshot) = Snapshot::parse("config", text, version) else {
            return Offer::Invalid;
        };
        self.current = Arc::new(snapshot);
        self.digest = *digest;
        self.texts.push_back((version, text.into()));
        if self.texts.len() > KEPT_TEXTS {
            self.texts.pop_front();
        }
        Offer::Adopted(Arc::clone(&self.current))
    }

    /// Puts a change from a peer in force.
    pub fn apply(&mut self, change: &Change) -> Offer {
        match &change.body {
            Body::Whole(text) => self.offer(change.version, &change.digest, text),
            Body::Edits(edits) => match delta::apply(&self.current.text, edits) {
                Some(text) => self.offer(change.version, &change.digest, &text),
                None => Offer::Invalid,
            },
        }
    }

    /// Returns the way from `version` to the one in force: a delta when the older text is kept and
    /// the asker could use one, else the whole text.
    #[must_use]
    pub fn change_from(&self, version: Version, whole: bool) -> Option<Change> {
        if version >= self.version() {
            return None;
        }
        let (_, newest) = self.texts.back()?;
        let base = self.texts.iter().find(|(kept, _)| *kept == version);
        let body = match base {
            Some((_, base)) if !whole => Body::Edits(delta::diff(base, newest)),
            _ => Body::Whole(Arc::clone(newest)),
        };
        Some(Change {
            version: self.version(),
            digest: self.digest,
            body,
        })
    }
}
