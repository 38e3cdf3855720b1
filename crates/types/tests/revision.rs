//! The order of revisions.

use proptest::prelude::*;
use types::Revision;

/// Eras or versions up to a maximum, often close to a limit.
fn number(max: u64) -> impl Strategy<Value = u64> {
    prop_oneof![0..=max, 0..4u64, max - 3..=max]
}

proptest! {
    /// Guards against a version of a restored store that counts as older than one of the era
    /// before.
    #[test]
    fn the_era_goes_before_the_version(
        one in (number(Revision::MAX_ERA), number(Revision::MAX_VERSION)),
        other in (number(Revision::MAX_ERA), number(Revision::MAX_VERSION)),
    ) {
        let (first, second) = (Revision::new(one.0, one.1), Revision::new(other.0, other.1));
        prop_assert_eq!(first.cmp(&second), one.cmp(&other));
        prop_assert_eq!(u64::from(first).cmp(&u64::from(second)), one.cmp(&other));
    }

    /// Guards against a cursor that changes on its way through a message or a row.
    #[test]
    fn a_revision_survives_as_an_integer(
        era in number(Revision::MAX_ERA),
        version in number(Revision::MAX_VERSION),
    ) {
        let revision = Revision::from(u64::from(Revision::new(era, version)));
        prop_assert_eq!((revision.era(), revision.version()), (era, version));
    }

    /// Guards against rows and messages of a store without eras that get another meaning.
    #[test]
    fn a_store_that_was_never_restored_keeps_its_versions(
        version in number(Revision::MAX_VERSION),
    ) {
        prop_assert_eq!(u64::from(Revision::new(0, version)), version);
    }

    /// Guards against a version that overflows into the era, so that it counts as newer than all
    /// that follow.
    #[test]
    fn a_number_above_the_limit_counts_as_the_limit(
        era in any::<u64>(),
        version in any::<u64>(),
    ) {
        let revision = Revision::new(era, version);
        prop_assert_eq!(revision.era(), era.min(Revision::MAX_ERA));
        prop_assert_eq!(revision.version(), version.min(Revision::MAX_VERSION));
    }
}

/// Guards against limits that overlap: the last revision of an era and the first of the next one
/// are neighbours.
#[test]
fn eras_adjoin_without_overlap() {
    for era in [0, 1, Revision::MAX_ERA - 1] {
        let last = u64::from(Revision::new(era, Revision::MAX_VERSION));
        assert_eq!(last + 1, u64::from(Revision::new(era + 1, 0)));
    }
    let greatest = Revision::new(Revision::MAX_ERA, Revision::MAX_VERSION);
    assert_eq!(u64::from(greatest), u64::MAX);
}
