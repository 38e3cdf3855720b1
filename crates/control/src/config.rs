use std::collections::VecDeque;
use std::sync::Arc;

use rules::{Digest, Snapshot};
use types::Version;

use crate::delta;
use crate::message::{Body, Change};

/// The configuration in force and recent earlier texts, from which deltas are computed.
#[derive(Debug, Clone, Default)]
pub struct Config {
    current: Arc<Snapshot>,
    digest: Digest,
    texts: VecDeque<(Version, Arc<str>)>,
}

/// The result of offering a configuration.
#[derive(Debug, Clone)]
pub enum Adoption {
    /// The offered configuration is now in force.
    Adopted(Arc<Snapshot>),
    /// The configuration in force is at least as new as the offered one.
    Stale,
    /// The text does not match the accepted digest, does not parse, or could not be built from the
    /// delta.
    Invalid,
}

/// Number of texts retained for deltas. At 2,300 changes a day this covers about five minutes on
/// average, longer than any process lags unless it is restarted or partitioned.
const MAX_TEXTS: usize = 8;

impl Config {
    /// Returns the snapshot of the rules in force.
    #[must_use]
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// Returns the version in force, or 0 before the first one is adopted.
    #[must_use]
    pub fn version(&self) -> Version {
        self.current.version
    }

    /// Puts a newer version in force atomically, after verifying its digest and parsing it.
    pub fn offer(&mut self, version: Version, digest: &Digest, text: &str) -> Adoption {
        if version <= self.version() {
            return Adoption::Stale;
        }
        if blake3::hash(text.as_bytes()).as_bytes() != digest {
            return Adoption::Invalid;
        }
        let Ok(snapshot) = Snapshot::parse("config", text, version) else {
            return Adoption::Invalid;
        };
        self.current = Arc::new(snapshot);
        self.digest = *digest;
        self.texts.push_back((version, text.into()));
        if self.texts.len() > MAX_TEXTS {
            self.texts.pop_front();
        }
        Adoption::Adopted(Arc::clone(&self.current))
    }

    /// Applies a configuration update received from a peer.
    pub fn apply(&mut self, change: &Change) -> Adoption {
        match &change.body {
            Body::Full(text) => self.offer(change.version, &change.digest, text),
            Body::Delta(edits) => match delta::apply(&self.current.text, edits) {
                Some(text) => self.offer(change.version, &change.digest, &text),
                None => Adoption::Invalid,
            },
        }
    }

    /// Returns the update from `version` to the version in force: a delta if the older text is
    /// retained and `full` is not set, otherwise the full text.
    #[must_use]
    pub fn change_from(&self, version: Version, full: bool) -> Option<Change> {
        if version >= self.version() {
            return None;
        }
        let (_, newest) = self.texts.back()?;
        let base = self.texts.iter().find(|(retained, _)| *retained == version);
        let body = match base {
            Some((_, base)) if !full => Body::Delta(delta::diff(base, newest)),
            _ => Body::Full(Arc::clone(newest)),
        };
        Some(Change {
            version: self.version(),
            digest: self.digest,
            body,
        })
    }
}
