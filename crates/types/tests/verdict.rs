//! Guards against a conversion that turns a doubt into "not run" and against ids that change on
//! their way through JSON.

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
    fn not_run_needs_every_observation(all in proptest::collection::vec(verdict(), 1..6)) {
        let combined = all.iter().copied().reduce(Verdict::combine).unwrap();
        let expected = all.iter().all(|&verdict| verdict == Verdict::NotRun);
        prop_assert_eq!(combined == Verdict::NotRun, expected);
    }

    #[test]
    fn ids_survive_json(id in any::<u128>()) {
        let text = serde_json::to_value(Attempt(id)).unwrap();
        prop_assert_eq!(serde_json::from_value::<Attempt>(text).unwrap(), Attempt(id));
    }
}
