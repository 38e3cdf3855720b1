/// A position in the history of a table store that may be restored from an older copy.
///
/// A restoration sets the store's counter of versions back, so that it gives out versions again. It
/// also begins a new era, whose revisions are greater than all of the eras before. A revision is
/// one integer, so that it is stored, compared and sent like the version of a store that is never
/// restored, whose era is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(u64);

/// The number of low bits that hold the version; 400 transactions a second take 87 years to use
/// them up. The era has the 24 bits above.
const VERSION_BITS: u32 = 40;

impl Revision {
    /// The greatest era.
    pub const MAX_ERA: u64 = (1 << (u64::BITS - VERSION_BITS)) - 1;
    /// The greatest version within an era.
    pub const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;

    /// Combines an era and a version; greater ones than the maximum count as the maximum.
    #[must_use]
    pub fn new(era: u64, version: u64) -> Self {
        let era = era.min(Self::MAX_ERA);
        Self(era << VERSION_BITS | version.min(Self::MAX_VERSION))
    }

    /// Returns how often the store had been restored.
    #[must_use]
    pub fn era(self) -> u64 {
        self.0 >> VERSION_BITS
    }

    /// Returns the version within the era.
    #[must_use]
    pub fn version(self) -> u64 {
        self.0 & Self::MAX_VERSION
    }
}

impl From<u64> for Revision {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> Self {
        revision.0
    }
}
