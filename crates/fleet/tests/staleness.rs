//! The target list after outages and late reports, and the age of the configuration.

use std::time::Duration;

use fleet::freshness::{Evidence, shows_late};
use fleet::roster::{Member, OUTAGE_GRACE, Roster};
use proptest::prelude::*;
use types::Time;

const REVOKE: Duration = Duration::from_secs(5);

fn member(id: &str, version: u64, started_ms: u64) -> Member {
    Member {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "pier".into(),
        slots: 4,
        draining: false,
        cold_remaining: Duration::ZERO,
        started_ms: Some(started_ms),
        build: "1".into(),
        weights: vec![("m".into(), version)],
        revision: 1,
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against an outage of the table store that empties the list of live targets.
#[test]
fn a_target_that_vanishes_during_an_outage_is_kept_for_the_grace_period() {
    let mut roster = Roster::default();
    roster.upsert(member("a", 1, 1), at(0));
    roster.on_store_outage(at(1000));
    roster.remove(&"a".into(), 1, at(1100));
    roster.expire(at(1200));
    assert!(roster.get(&"a".into()).is_some());
    let later = at(1100) + OUTAGE_GRACE;
    roster.expire(later);
    assert!(roster.get(&"a".into()).is_none());
}

/// Guards against a target that left without an outage and still gets requests.
#[test]
fn a_target_that_leaves_without_an_outage_is_removed_at_once() {
    let mut roster = Roster::default();
    roster.upsert(member("a", 1, 1), at(0));
    roster.remove(&"a".into(), 1, at(10_000));
    assert!(roster.get(&"a".into()).is_none());
}

/// Guards against a late report that reverts a weight version. In candlewalk trouble-2, targets
/// that had already been updated were sent orders again.
#[test]
fn a_late_report_does_not_revert_weights_unless_the_target_restarted() {
    let mut roster = Roster::default();
    roster.upsert(member("a", 1, 1), at(0));
    roster.on_weights(&"a".into(), &[("m".into(), 2)]);
    roster.upsert(member("a", 1, 1), at(10));
    let version = |roster: &Roster| {
        roster
            .get(&"a".into())
            .and_then(|record| record.member.version("m"))
    };
    assert_eq!(version(&roster), Some(2));
    roster.upsert(member("a", 1, 9), at(20));
    assert_eq!(version(&roster), Some(1));
}

/// Guards against an entry that was suspended and treats old answers as fresh evidence.
#[test]
fn evidence_ages_over_a_suspension() {
    let mut evidence = Evidence::default();
    assert!(!evidence.is_fresh(at(0), REVOKE));
    evidence.on_answer(at(1000), at(1004), 500);
    assert!(evidence.is_fresh(at(1100), REVOKE));
    // The answer to a request sent before the suspension is read after it.
    evidence.on_answer(at(1100), at(9000), 620);
    assert!(!evidence.is_fresh(at(9000), REVOKE));
}

proptest! {
    /// Guards against evidence that counts as younger than the table store's answer. Whatever the
    /// delays, the age is below the true one by at most the delay of the fastest answer.
    #[test]
    fn evidence_is_never_younger_than_the_answer(
        exchanges in prop::collection::vec((0u64..3000, 0u64..2000, 0u64..2000), 1..20),
        skew in 0u64..1_000_000,
    ) {
        let mut evidence = Evidence::default();
        let mut clock = 10_000;
        let mut newest = 0;
        let mut fastest = u64::MAX;
        for (gap, to, back) in exchanges {
            clock += gap;
            let (sent, responded) = (clock, clock + to);
            clock = responded + back;
            fastest = fastest.min(back);
            newest = newest.max(responded);
            evidence.on_answer(at(sent), at(clock), responded + skew);
        }
        let age = evidence.age(at(clock)).expect("there was an answer");
        let true_age = Duration::from_millis(clock - newest);
        prop_assert!(age + Duration::from_millis(fastest) >= true_age);
    }
}

/// Guards against an entry that refuses all requests because the table store rejects it, although
/// peers confirm that its configuration is the newest one.
#[test]
fn peers_confirm_a_configuration() {
    let mut own = Evidence::default();
    // Without an answer of its own, the entry cannot relate its clock to that of the table store.
    own.on_peer_evidence(100_000, at(50));
    assert_eq!(own.age(at(60)), None);
    own.on_answer(at(1000), at(1004), 90_000);
    let mut other = Evidence::default();
    other.on_answer(at(500_000), at(500_003), 95_000);
    let given = other.confirmed_at().expect("evidence");
    own.on_peer_evidence(given, at(6100));
    let age = own.age(at(6100)).expect("evidence");
    assert!(
        age >= Duration::from_millis(100) && age < Duration::from_millis(150),
        "{age:?}"
    );
    assert!(own.is_fresh(at(6100), REVOKE));
    // Old evidence of a peer changes nothing, and none is dated in the future.
    own.on_peer_evidence(80_000, at(6200));
    own.on_peer_evidence(u64::MAX, at(6200));
    assert!(own.age(at(6200)).expect("evidence") < Duration::from_millis(250));
}

proptest! {
    /// Guards against evidence that counts as younger than the answer on which it is based,
    /// whatever the delays and clocks of the two entries.
    #[test]
    fn peer_evidence_is_no_younger_than_its_answer(
        delays in prop::collection::vec((0..40u64, 0..400u64), 2..20),
        skews in (0..1_000_000u64, 0..1_000_000u64),
        transit in 0..800u64,
    ) {
        let (mut one, mut two) = (Evidence::default(), Evidence::default());
        let mut store = 10_000;
        for (index, (ask, back)) in delays.iter().enumerate() {
            store += 500;
            let evidence = if index % 2 == 0 { &mut one } else { &mut two };
            let skew = if index % 2 == 0 { skews.0 } else { skews.1 };
            evidence.on_answer(at(skew + store - ask), at(skew + store + back), store);
        }
        // The last answer to the first entry bounds what it can confirm to the second one.
        let given = one.confirmed_at().expect("evidence");
        prop_assert!(given <= store);
        let heard = at(skews.1 + store + transit);
        let before = two.age(heard);
        two.on_peer_evidence(given, heard);
        let after = two.age(heard).expect("evidence");
        let true_age = Duration::from_millis(store + transit - given);
        // The clock offset comes from the fastest answer, which may have taken 400 ms here.
        prop_assert!(after + Duration::from_millis(400) >= true_age.min(before.unwrap_or(true_age)));
    }
}

/// Guards against an entry that is suspended during the first call after its start, or after a
/// restoration of the table store, and takes the late answer for fresh evidence.
#[test]
fn the_first_answer_on_a_clock_is_as_old_as_its_request() {
    let mut evidence = Evidence::default();
    evidence.on_answer(at(1100), at(9000), 620);
    assert!(!evidence.is_fresh(at(9000), REVOKE));
    evidence.on_answer(at(9000), at(9004), 8522);
    assert!(evidence.is_fresh(at(9004), REVOKE));
    evidence.on_restored();
    evidence.on_answer(at(9100), at(19_000), 300);
    assert!(!evidence.is_fresh(at(19_000), REVOKE));
}

/// Guards against evidence that is converted by the clock of the era before, after the table store
/// came back with an earlier or a later time.
#[test]
fn the_clock_of_a_restored_store_is_related_again() {
    for restored_ms in [0, 70_000, 100_000, 5_000_000] {
        let mut evidence = Evidence::default();
        evidence.on_answer(at(1000), at(1004), 90_000);
        evidence.on_restored();
        // What was known before the restoration keeps its age on the own clock.
        let age = evidence.age(at(1500)).expect("evidence");
        assert_eq!(age, Duration::from_millis(500));
        assert_eq!(evidence.store_time(at(1500)), None);
        assert_eq!(evidence.confirmed_at(), None);
        evidence.on_peer_evidence(restored_ms, at(1500));
        assert_eq!(evidence.age(at(1500)), Some(age));
        // An answer that is no evidence relates the clocks.
        evidence.on_store_clock(at(1600), restored_ms + 100);
        assert_eq!(evidence.age(at(1600)), Some(Duration::from_millis(600)));
        assert_eq!(evidence.store_time(at(1600)), Some(restored_ms + 100));
        evidence.on_peer_evidence(restored_ms + 50, at(1600));
        let age = evidence.age(at(1600)).expect("evidence");
        assert_eq!(age, Duration::from_millis(60));
    }
}

proptest! {
    /// Guards against evidence that counts as younger than the table store's answer when the
    /// store's clock steps back or forward in restorations.
    #[test]
    fn a_step_of_the_clock_never_makes_evidence_younger(
        eras in prop::collection::vec(
            (0u64..60_000, prop::collection::vec((0u64..3000, 0u64..500, 0u64..200), 1..6)),
            1..5,
        ),
    ) {
        let mut evidence = Evidence::default();
        let mut clock = 10_000;
        for (store_at_start, exchanges) in eras {
            evidence.on_restored();
            let started = clock;
            for (gap, to, back) in exchanges {
                clock += gap;
                let (sent, responded) = (clock, clock + to);
                clock = responded + back;
                evidence.on_answer(at(sent), at(clock), store_at_start + responded - started);
                let age = evidence.age(at(clock)).expect("there was an answer");
                let true_age = Duration::from_millis(clock - responded);
                // The fastest answer of the era bounds the error.
                prop_assert!(age + Duration::from_millis(200) >= true_age);
            }
        }
    }
}

/// Guards against changes that are taken to be as new as the reply that shows them, although the
/// entry could not reach the store or was suspended before it.
#[test]
fn changes_that_an_entry_has_missed_are_recognized_as_late() {
    // Answered at once, four seconds after the previous reply.
    assert!(shows_late(Some(at(1000)), at(5000), at(5010)));
    assert!(shows_late(None, at(5000), at(5010)));
    // Answered after a wait, or shortly after the previous reply.
    assert!(!shows_late(Some(at(1000)), at(1001), at(5010)));
    assert!(!shows_late(Some(at(4950)), at(5000), at(5010)));
}

/// Guards against changes that seem to be as new as the arrival of a reply that was delayed.
#[test]
fn a_delayed_reply_was_given_earlier() {
    let mut evidence = Evidence::default();
    assert_eq!(evidence.given_at(at(2000), 700), at(2000));
    evidence.on_store_clock(at(1000), 700);
    let given = evidence.given_at(at(3000), 1700);
    assert!(given <= at(2000) && given >= at(1980), "{given:?}");
}
