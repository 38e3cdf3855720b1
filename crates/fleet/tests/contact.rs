//! The exchange of state messages between entries.

use std::time::Duration;

use fleet::contact::Contacts;
use fleet::gossip::{Receipt, State};
use types::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// The incarnation of the entry under test.
const OWN: u64 = 70;

/// A message that acknowledges the own message with this sequence number.
fn acknowledging(from: &str, sequence: u64, own_sequence: Option<u64>) -> State {
    State {
        received: own_sequence.map(|sequence| Receipt {
            incarnation: OWN,
            sequence,
        }),
        from: from.to_owned(),
        incarnation: 7,
        sequence,
        ..State::default()
    }
}

/// Guards against evicting a segment that an entry which has just started is fetching (MIXED check):
/// the other entries read the registrations each five seconds, and announced nothing to it until
/// then.
#[test]
fn an_eviction_waits_until_a_new_entry_has_received_the_announcement() {
    let mut contacts = Contacts::default();
    contacts.on_sent(10, 2, at(0));
    contacts.on_state(&acknowledging("a", 1, Some(10)), OWN, at(50));
    contacts.on_sent(11, 2, at(100));
    // The announcement is in message 12. Another entry is heard for the first time.
    assert!(!contacts.have_received(12, 2, at(150)));
    contacts.on_state(&acknowledging("new", 1, None), OWN, at(160));
    assert_eq!(contacts.take_newcomers(), ["a", "new"]);
    contacts.on_sent(12, 2, at(200));
    contacts.on_state(&acknowledging("a", 2, Some(12)), OWN, at(250));
    assert!(!contacts.have_received(12, 2, at(250)));
    // An acknowledgement of an earlier process of this name counts nothing.
    let mut foreign = acknowledging("new", 2, Some(12));
    foreign.received = Some(Receipt {
        incarnation: OWN - 1,
        sequence: 12,
    });
    contacts.on_state(&foreign, OWN, at(260));
    assert!(!contacts.have_received(12, 2, at(260)));
    contacts.on_state(&acknowledging("new", 3, Some(12)), OWN, at(300));
    assert!(contacts.have_received(12, 2, at(300)));
    // Neither does one of an earlier process of the other entry.
    let mut restarted = acknowledging("new", 1, None);
    restarted.incarnation = 8;
    contacts.on_state(&restarted, OWN, at(400));
    assert!(!contacts.have_received(12, 2, at(400)));
    // One that is shutting down fetches nothing any more.
    let leaving = State {
        leaving: true,
        ..restarted
    };
    contacts.on_state(&leaving, OWN, at(500));
    assert!(contacts.have_received(12, 2, at(500)));
}

/// Guards against evicting a segment that an entry behind a network partition still fetches, however
/// long the partition lasts and in whichever direction: whenever the evicting entry stops waiting,
/// the other one has stopped fetching.
#[test]
fn an_entry_fetches_only_while_the_evicting_one_waits_for_it() {
    for (to_evictor, to_reader) in [(true, false), (false, true), (false, false)] {
        let count = 8;
        let (mut evictor, mut reader) = (Contacts::default(), Contacts::default());
        let mut evicted_at = None;
        for tick in 0..200 {
            let now = at(tick * 100);
            let is_cut = tick >= 50;
            evictor.on_sent(tick, count, now);
            reader.on_sent(tick, count, now);
            let mut from_evictor = acknowledging("evictor", tick, None);
            from_evictor.received = evictor.receipt("reader");
            let mut from_reader = acknowledging("reader", tick, None);
            from_reader.received = reader.receipt("evictor");
            if !is_cut || to_reader {
                reader.on_state(&from_evictor, 7, now);
            }
            if !is_cut || to_evictor {
                evictor.on_state(&from_reader, 7, now);
            }
            evictor.expire(count, now);
            reader.expire(count, now);
            let may_fetch = reader.is_informed_by("evictor", at(0), count, now);
            assert!(tick < 3 || is_cut || may_fetch, "tick {tick}");
            // A segment is retired when the cut begins.
            if evicted_at.is_none() && is_cut && evictor.have_received(51, count, now) {
                evicted_at = Some(now);
            }
            if let Some(evicted_at) = evicted_at {
                assert!(!may_fetch || now < evicted_at, "tick {tick}");
            }
        }
        // An entry that still sends is waited for; one that is silent is not.
        assert_eq!(evicted_at.is_none(), to_evictor);
        assert!(!reader.is_informed_by("evictor", at(0), count, at(20_000)));
    }
}

/// Guards against a process that starts under the name of another one and evicts what entries still
/// fetch by the assurance of the former process.
#[test]
fn a_restarted_entry_meets_the_others_before_it_evicts() {
    let names = ["a".to_owned(), "b".to_owned()];
    let mut contacts = Contacts::default();
    contacts.on_sent(1, 2, at(0));
    contacts.on_state(&acknowledging("a", 1, Some(1)), OWN, at(100));
    assert!(!contacts.have_met(&names, Duration::from_millis(200)));
    assert!(contacts.have_met(&names, Duration::from_millis(3500)));
    contacts.on_state(&acknowledging("b", 1, Some(1)), OWN, at(300));
    assert!(contacts.have_met(&names, Duration::from_millis(400)));
}
