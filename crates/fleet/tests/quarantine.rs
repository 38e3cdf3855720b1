//! Quarantine of prompt segments that crash targets.

use std::sync::Arc;
use std::time::Duration;

use fleet::quarantine::{Crash, Decision, Quarantine, Segment};
use proptest::prelude::*;
use types::Time;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn segments(names: &[&str]) -> Vec<Segment> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn crash(target: u64, sent: u64, lost: u64) -> Crash {
    Crash {
        target,
        lost: at(lost),
        in_flight: at(lost).since(at(sent)),
    }
}

fn on_crash(quarantine: &mut Quarantine, names: &[&str], target: u64, sent: u64, lost: u64) {
    quarantine.on_crash(&segments(names), crash(target, sent, lost));
}

fn on_begun(quarantine: &mut Quarantine, names: &[&str], ms: u64) {
    quarantine.on_begun(&segments(names), at(ms));
}

fn is_refused(quarantine: &mut Quarantine, names: &[&str], ms: u64) -> bool {
    let decision = quarantine.decide(&segments(names), |_| usize::MAX, at(ms));
    matches!(decision, Decision::Refuse(..))
}

/// Guards against a prompt that crashes one engine after the other, and against refusing the sound
/// prompts that share all its other segments.
#[test]
fn a_segment_that_crashes_two_targets_in_succession_is_refused_and_its_neighbours_are_not() {
    let mut quarantine = Quarantine::default();
    on_begun(&mut quarantine, &["system", "session"], 0);
    on_crash(
        &mut quarantine,
        &["system", "session", "deadly"],
        1,
        100,
        400,
    );
    assert!(!is_refused(
        &mut quarantine,
        &["system", "session", "deadly"],
        401
    ));
    on_begun(&mut quarantine, &["system", "other"], 450);
    on_crash(
        &mut quarantine,
        &["system", "session", "deadly"],
        2,
        402,
        600,
    );
    assert!(is_refused(
        &mut quarantine,
        &["system", "session", "deadly"],
        601
    ));
    assert!(!is_refused(&mut quarantine, &["system", "session"], 601));
    assert!(!is_refused(&mut quarantine, &["system", "other"], 601));
    // Once the session's other prompts have been answered, the segment alone is the cause.
    on_begun(&mut quarantine, &["system", "session"], 700);
    assert!(is_refused(
        &mut quarantine,
        &["system", "new", "deadly"],
        701
    ));
}

/// Guards against a quarantine of segments that only happened to be in the queues of several
/// targets when all of them lost power.
#[test]
fn targets_that_crash_together_convict_no_segment() {
    let mut quarantine = Quarantine::default();
    for target in 0..6 {
        on_crash(
            &mut quarantine,
            &["system", "session"],
            target,
            100 + target,
            400 + target,
        );
    }
    assert!(!is_refused(&mut quarantine, &["system", "session"], 500));
}

/// Guards against a quarantine of common segments while targets crash one after the other for
/// another reason.
#[test]
fn crashes_between_which_responses_begin_convict_no_segment() {
    let mut quarantine = Quarantine::default();
    for round in 0..20 {
        let start = round * 500;
        on_crash(
            &mut quarantine,
            &["system", "session"],
            round,
            start,
            start + 300,
        );
        on_begun(&mut quarantine, &["system", "session"], start + 400);
        assert!(!is_refused(
            &mut quarantine,
            &["system", "session"],
            start + 450
        ));
    }
}

/// Guards against a quarantine of a prompt that was sent to the same two targets as a deadly one,
/// and against one of the deadly segment that needs the bystander's segments to be present.
#[test]
fn a_bystander_of_two_crashes_is_told_apart_by_the_third() {
    let mut quarantine = Quarantine::default();
    for target in [1, 2] {
        on_crash(
            &mut quarantine,
            &["bystander"],
            target,
            target * 1000,
            target * 1000 + 300,
        );
        on_crash(
            &mut quarantine,
            &["deadly"],
            target,
            target * 1000,
            target * 1000 + 300,
        );
    }
    assert!(!is_refused(&mut quarantine, &["bystander"], 2400));
    on_crash(&mut quarantine, &["deadly"], 3, 2500, 2800);
    assert!(is_refused(&mut quarantine, &["deadly"], 2900));
    assert!(!is_refused(&mut quarantine, &["bystander"], 2900));
}

/// Guards against a segment that stays refused although its prompts are answered again.
#[test]
fn a_response_ends_the_quarantine() {
    let mut quarantine = Quarantine::default();
    on_crash(&mut quarantine, &["segment"], 1, 0, 100);
    on_crash(&mut quarantine, &["segment"], 2, 200, 300);
    assert!(is_refused(&mut quarantine, &["segment"], 400));
    assert_eq!(
        quarantine.on_begun(&segments(&["segment"]), at(500)),
        segments(&["segment"])
    );
    assert!(!is_refused(&mut quarantine, &["segment"], 600));
}

/// Guards against all entries testing a quarantined segment at the same time, each with a crash.
#[test]
fn one_entry_tests_a_segment_after_its_quarantine_with_one_request() {
    let mut quarantine = Quarantine::default();
    on_crash(&mut quarantine, &["deadly"], 1, 0, 100);
    on_crash(&mut quarantine, &["deadly"], 2, 200, 300);
    let request = segments(&["deadly"]);
    let mut wait = |ms: u64, is_elected: bool| match quarantine.decide(
        &request,
        |_| if is_elected { 0 } else { usize::MAX },
        at(ms),
    ) {
        Decision::Refuse(_, wait) => wait,
        Decision::Trial(_) => Duration::ZERO,
        Decision::Send => panic!("sent without a trial"),
    };
    let term = wait(300, true);
    let over = 300 + u64::try_from(term.as_millis()).expect("a short term");
    assert!(wait(over - 1, true) > Duration::ZERO);
    assert!(wait(over, false) > Duration::ZERO);
    assert_eq!(wait(over, true), Duration::ZERO);
    assert!(wait(over + 1, true) > Duration::ZERO);
    on_crash(&mut quarantine, &["deadly"], 3, over, over + 200);
    let Decision::Refuse(_, next) = quarantine.decide(&request, |_| 0, at(over + 200)) else {
        panic!("not refused");
    };
    assert_eq!(next, term * 4);
}

/// Guards against unbounded memory when many targets with long queues crash.
#[test]
fn the_number_of_records_is_bounded_and_keeps_the_strongest() {
    let mut quarantine = Quarantine::default();
    on_crash(&mut quarantine, &["deadly"], 1, 0, 100);
    on_crash(&mut quarantine, &["deadly"], 2, 200, 300);
    for index in 0..5000 {
        let name = format!("s{index}");
        on_crash(&mut quarantine, &[&name], 3, 350, 400);
    }
    assert!(quarantine.suspects().count() <= 4096);
    assert!(is_refused(&mut quarantine, &["deadly"], 500));
    quarantine.expire(at(600_000));
    assert_eq!(quarantine.suspects().count(), 0);
}

/// A pool of engines, of which each crashes when it begins a response to a prompt with the deadly
/// segment, and the entries in front of it.
struct Simulation {
    entries: Vec<Quarantine>,
    /// When each engine is up again.
    up: Vec<u64>,
    /// The engine, the time of sending and that of the first event, the entry, the prompt, and the
    /// number of earlier attempts.
    running: Vec<(usize, u64, u64, usize, Vec<Segment>, u32)>,
    crashes: Vec<u64>,
    /// When deadly prompts were sent.
    sent: Vec<u64>,
    sound: u32,
    sound_refused: u32,
    random: u64,
}

const DEADLY: &str = "deadly";
/// How long an engine is down after a crash, in ms.
const DOWN: u64 = 3300;
/// Maximum attempts of a prompt.
const ATTEMPTS: u32 = 2;

impl Simulation {
    fn new(entries: usize, engines: usize, seed: u64) -> Self {
        Self {
            entries: (0..entries).map(|_| Quarantine::default()).collect(),
            up: vec![0; engines],
            running: Vec::new(),
            crashes: Vec::new(),
            sent: Vec::new(),
            sound: 0,
            sound_refused: 0,
            random: seed,
        }
    }

    /// Returns a number below `limit` (a linear congruential generator).
    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit
    }

    fn send(&mut self, now: u64, entry: usize, prompt: Vec<Segment>, attempt: u32) {
        let is_deadly = prompt.iter().any(|segment| &**segment == DEADLY);
        if !is_deadly && attempt == 0 {
            self.sound += 1;
        }
        let decision = self.entries[entry].decide(&prompt, |_| entry, at(now));
        if matches!(decision, Decision::Refuse(..)) {
            self.sound_refused += u32::from(!is_deadly);
            return;
        }
        let up: Vec<usize> = (0..self.up.len())
            .filter(|&engine| self.up[engine] <= now)
            .collect();
        if up.is_empty() {
            return;
        }
        if is_deadly {
            self.sent.push(now);
        }
        let engine = up[self.draw(up.len() as u64) as usize];
        let first_event = now + 60 + self.draw(250);
        self.running
            .push((engine, now, first_event, entry, prompt, attempt));
    }

    /// Advances to a time: responses begin, engines crash, and lost prompts are sent again.
    fn advance(&mut self, now: u64) {
        self.running.sort_by_key(|running| running.2);
        while let Some(position) = self.running.iter().position(|running| running.2 <= now) {
            let (engine, _, time, entry, prompt, _) = self.running[position].clone();
            if !prompt.iter().any(|segment| &**segment == DEADLY) {
                self.running.remove(position);
                self.entries[entry].on_begun(&prompt, at(time));
                continue;
            }
            self.crashes.push(time);
            let number = self.crashes.len() as u64;
            self.up[engine] = time + DOWN;
            let (lost, running) = self
                .running
                .drain(..)
                .partition(|running| running.0 == engine);
            self.running = running;
            for (_, sent, _, entry, prompt, attempt) in lost {
                let lost = crash(number, sent, time);
                self.entries[entry].on_crash(&prompt, lost);
                if attempt + 1 < ATTEMPTS {
                    self.send(time + 1, entry, prompt, attempt + 1);
                }
            }
            self.running.sort_by_key(|running| running.2);
        }
    }

    /// Returns how many deadly prompts were sent later than 3 s after the fifth crash.
    fn sent_late(&self) -> usize {
        let sent = self.sent.iter();
        self.crashes
            .get(4)
            .map_or(0, |fifth| sent.filter(|&&sent| sent > fifth + 3000).count())
    }

    /// Exchanges evidence between all entries.
    fn gossip(&mut self, now: u64) {
        let told: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.evidence(at(now)))
            .collect();
        for evidence in told.iter().flatten() {
            for entry in &mut self.entries {
                entry.on_evidence(evidence, at(now));
            }
        }
    }

    /// Plays prompts for `length` ms: `sound` and `deadly` of them a second at random entries, with
    /// gossip every `gossip` ms.
    fn play(&mut self, length: u64, sound: u64, deadly: u64, gossip: u64) {
        for now in 0..length {
            self.advance(now);
            if now % gossip == 0 {
                self.gossip(now);
            }
            let entries = self.entries.len() as u64;
            if self.draw(1000) < sound {
                let (entry, session) = (self.draw(entries) as usize, self.draw(400));
                let first = format!("first{}", self.draw(4));
                let prompt = segments(&[&first, &format!("session{session}")]);
                self.send(now, entry, prompt, 0);
            }
            if now >= 4000 && self.draw(1000) < deadly {
                let entry = self.draw(entries) as usize;
                self.send(now, entry, segments(&["first0", "session7", DEADLY]), 0);
            }
        }
    }
}

/// Guards against the loss of most engines: a prompt in twenty carries a segment that crashes them,
/// and the prompts arrive at all entries. All entries together may send three more such prompts
/// once five engines have crashed and 3 s have passed; callers of sound prompts notice nothing.
#[test]
fn entries_together_stop_sending_a_deadly_segment() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(5, 9, seed);
        simulation.play(30_000, 36, 2, 700);
        let late = simulation.sent_late();
        assert!(late <= 3, "seed {seed}: {late} sent late");
        let refused = f64::from(simulation.sound_refused) / f64::from(simulation.sound);
        assert!(
            refused < 0.01,
            "seed {seed}: {refused} of the sound prompts were refused"
        );
        assert!(simulation.sound > 900, "seed {seed}");
    }
}

/// The same with so many entries and prompts that several deadly ones are on their way before the
/// first crash.
#[test]
fn many_entries_together_stop_sending_a_deadly_segment() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(33, 60, seed);
        simulation.play(20_000, 250, 13, 700);
        let late = simulation.sent_late();
        assert!(late <= 3, "seed {seed}: {late} sent late");
        let refused = f64::from(simulation.sound_refused) / f64::from(simulation.sound);
        assert!(
            refused < 0.01,
            "seed {seed}: {refused} of the sound prompts were refused"
        );
    }
}

proptest! {
    /// Guards against entries that decide differently because gossip reached them in another order,
    /// or more than once.
    #[test]
    fn the_order_of_gossip_does_not_matter(
        crashes in prop::collection::vec((0..3usize, 1..14u64, 0..2000u64, 1..500u64), 1..40),
        order in prop::collection::vec((0..3usize, 0..3usize), 30),
    ) {
        let names = ["a", "b", "c"];
        let mut entries = [Quarantine::default(), Quarantine::default(), Quarantine::default()];
        for (index, (name, target, sent, took)) in crashes.iter().enumerate() {
            let lost = crash(*target, *sent, sent + took);
            entries[index % 3].on_crash(&segments(&[names[*name]]), lost);
        }
        for (from, to) in order {
            for evidence in entries[from].evidence(at(3000)) {
                entries[to].on_evidence(&evidence, at(3000));
            }
        }
        // Everything reaches everyone in the end.
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
                for evidence in entries[from].evidence(at(3000)) {
                    entries[to].on_evidence(&evidence, at(3000));
                }
            }
        }
        for name in names {
            let decisions = entries.each_mut().map(|entry| entry.decide(&segments(&[name]), |_| usize::MAX, at(3000)));
            prop_assert_eq!(&decisions[0], &decisions[1]);
            prop_assert_eq!(&decisions[1], &decisions[2]);
        }
    }
}

/// Guards against evidence that entries pass on to each other for ever.
#[test]
fn expired_evidence_is_not_passed_on() {
    let mut entries = [Quarantine::default(), Quarantine::default()];
    on_crash(&mut entries[0], &["segment"], 1, 0, 100);
    on_crash(&mut entries[0], &["segment"], 2, 200, 300);
    for ms in (300..300_000).step_by(100) {
        let [one, two] = &mut entries;
        for evidence in one.evidence(at(ms)) {
            two.on_evidence(&evidence, at(ms));
        }
        for evidence in two.evidence(at(ms)) {
            one.on_evidence(&evidence, at(ms));
        }
        // Each entry drops expired records at moments of its own.
        one.expire(at(ms + ms % 300));
        two.expire(at(ms));
    }
    assert!(entries.iter().all(|entry| entry.suspects().count() == 0));
}

/// Guards against trials without a pause, and against a bystander of a late crash that is convicted,
/// once a segment has crashed more targets than its record holds.
#[test]
fn a_full_record_keeps_the_newest_crashes() {
    let mut quarantine = Quarantine::default();
    for target in 0..20 {
        let start = target * 1000;
        on_crash(&mut quarantine, &["deadly"], target, start, start + 300);
    }
    on_crash(&mut quarantine, &["bystander"], 19, 19_000, 19_300);
    on_crash(&mut quarantine, &["bystander"], 20, 20_000, 20_300);
    on_crash(&mut quarantine, &["deadly"], 20, 20_000, 20_300);
    assert!(!is_refused(&mut quarantine, &["bystander"], 20_400));
    let decision = quarantine.decide(&segments(&["deadly"]), |_| 0, at(60_000));
    assert!(matches!(decision, Decision::Refuse(..)), "{decision:?}");
}

/// Guards against a sound segment that stays refused because no prompt with it reaches the entry
/// that is to test it, or because the request that should test it was not sent.
#[test]
fn entries_take_turns_to_test_a_segment() {
    let mut quarantine = Quarantine::default();
    on_crash(&mut quarantine, &["segment"], 1, 0, 100);
    on_crash(&mut quarantine, &["segment"], 2, 200, 300);
    let request = segments(&["segment"]);
    let over = 300 + 10_000;
    let mut decide = |rank: usize, ms: u64| quarantine.decide(&request, |_| rank, at(ms));
    assert!(matches!(decide(1, over), Decision::Refuse(..)));
    assert!(matches!(decide(1, over + 31_000), Decision::Trial(_)));
    quarantine.on_trial_unsent(&request);
    let decision = quarantine.decide(&request, |_| 1, at(over + 31_001));
    assert!(matches!(decision, Decision::Trial(_)));
}

/// Guards against a trial of one segment in a prompt with another one that is still quarantined.
#[test]
fn a_prompt_is_refused_as_long_as_any_of_its_segments() {
    let mut quarantine = Quarantine::default();
    for target in 1..5 {
        on_crash(
            &mut quarantine,
            &["often"],
            target,
            target * 1000,
            target * 1000 + 300,
        );
    }
    on_crash(&mut quarantine, &["twice"], 11, 5000, 5300);
    on_crash(&mut quarantine, &["twice"], 12, 5400, 5700);
    let decision = quarantine.decide(&segments(&["twice", "often"]), |_| 0, at(20_000));
    assert!(matches!(decision, Decision::Refuse(..)), "{decision:?}");
}
