//! Combining verdicts, and the JSON encoding of identifiers.
//!
//! Guards against a combination that turns an unknown outcome into "not run", and against ids that
//! JSON does not preserve.

use proptest::prelude::*;
use types::{Attempt, Verdict};

fn verdict() -> impl Strategy<Value = Verdict> {
    prop_oneof![
        Just(Verdict::NotRun),
        Just(Verdict::MayHaveRun),
        Just(Verdict::Ran)
    ]
}

proptest! {
    #[test]
    fn not_run_requires_all_observations_to_agree(verdicts in proptest::collection::vec(verdict(), 1..6)) {
        let combined = verdicts.iter().copied().reduce(Verdict::combine).unwrap();
        let expected = verdicts.iter().all(|&verdict| verdict == Verdict::NotRun);
        prop_assert_eq!(combined == Verdict::NotRun, expected);
    }

    #[test]
    fn ids_round_trip_through_json(id in any::<u128>()) {
        let text = serde_json::to_value(Attempt(id)).unwrap();
        prop_assert_eq!(serde_json::from_value::<Attempt>(text).unwrap(), Attempt(id));
    }
}
