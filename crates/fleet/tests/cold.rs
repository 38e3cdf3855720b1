//! The budget of cold targets that dispatchers divide among themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::cell::{Cell, Node};
use fleet::cold::{GRANT_TTL, LIST_TTL, Ledger, Timing, WINDOW};
use fleet::dispatcher::Id;
use fleet::quota::Ramp;
use proptest::prelude::*;
use types::{Domain, Service, Target, Time};

/// Requests per second that the target tolerates: with up to 5 entries each has a fixed share.
const LIMIT: f64 = 5.5;
const SCAN_INTERVAL_MS: u64 = 5000;
const JOIN_DELAY_MS: u64 = 6000;
/// How often entries send as much as they may.
const TICK_MS: u64 = 50;
/// The delay of a request after the check of its grant.
const MAX_SEND_DELAY_MS: u64 = 90;

fn node(index: usize) -> Node {
    moved_node(index, false)
}

/// Returns an entry that may have been started again on another host.
fn moved_node(index: usize, moved: bool) -> Node {
    let index_of_host = index + usize::from(moved);
    Node {
        name: format!("e{index}"),
        domain: if index_of_host.is_multiple_of(2) {
            "a"
        } else {
            "b"
        }
        .into(),
        weight: [0.5, 0.09][index_of_host % 2],
    }
}

fn id(sequence: u64) -> Id {
    Id {
        sender: "e".into(),
        incarnation: 1,
        sequence,
    }
}

fn target() -> (Target, Service, Domain) {
    ("t".into(), "s".into(), "a".into())
}

/// A process with what the gateway keeps besides the ledger.
struct Entry {
    ledger: Ledger,
    ramp: Ramp<Target>,
    known: BTreeMap<String, Node>,
    quota_from: Option<u64>,
    cut: bool,
    frozen_until: u64,
    incarnation: u64,
}

impl Entry {
    fn start(index: usize, now: u64, incarnation: u64) -> Self {
        Self {
            ledger: Ledger::new(&node(index).name, Time::from_millis(now)),
            ramp: Ramp::default(),
            known: BTreeMap::new(),
            quota_from: None,
            cut: false,
            frozen_until: 0,
            incarnation,
        }
    }
}

#[derive(Debug, Clone)]
enum Event {
    /// An incarnation of an entry reads the registered entries.
    Scan(usize, u64),
    /// The rows that were read, the era, and when they were requested.
    Read(usize, u64, BTreeMap<String, Node>, u64, u64),
    /// A request is sent that an entry granted within its share.
    Sent(usize, usize),
}

/// A fault or a change of the installation, for an entry.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Start,
    /// Starts the entry again on another host.
    Move,
    /// Suspends the entry, in milliseconds.
    Freeze(u64),
    /// Cuts the entry off from the table store, or ends that.
    Cut,
    /// Copies the table store.
    Copy,
    /// Restores the table store from the copy.
    Restore,
    Nothing,
}

struct World {
    now: u64,
    rows: BTreeMap<String, Node>,
    copy: BTreeMap<String, Node>,
    era: u64,
    restored_at: u64,
    entries: Vec<Option<Entry>>,
    queue: BTreeMap<(u64, u64), Event>,
    number: u64,
    /// The requests with the entry that permitted them; the share is 0 if it was a fixed one.
    sent: Vec<Sent>,
    moved: [bool; 10],
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    at: u64,
    entry: usize,
    share: usize,
}

impl World {
    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.queue.insert((at, self.number), event);
    }

    /// Lets all entries send as much as they may.
    fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += TICK_MS;
            while let Some(entry) = self.queue.first_entry()
                && entry.key().0 <= self.now
            {
                let ((at, _), event) = entry.remove_entry();
                self.handle(at, event);
            }
            for index in 0..self.entries.len() {
                self.send(index);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let incarnation = self.entries[index]
            .as_ref()
            .map_or(0, |entry| entry.incarnation + 1);
        self.entries[index] = Some(Entry::start(index, self.now, incarnation));
        self.schedule(self.now + 30, Event::Scan(index, incarnation));
    }

    /// Returns a number below `limit` that depends on the step.
    fn draw(&mut self, limit: u64) -> u64 {
        self.number += 1;
        self.number.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1009 * limit / 1009
    }

    fn handle(&mut self, now: u64, event: Event) {
        let time = Time::from_millis(now);
        let (index, incarnation) = match event {
            Event::Scan(index, incarnation) | Event::Read(index, incarnation, ..) => {
                (index, incarnation)
            }
            Event::Sent(entry, share) => {
                let at = now;
                self.sent.push(Sent { at, entry, share });
                return;
            }
        };
        let delay = 1 + self.draw(900);
        let entry = self.entries[index].as_mut().expect("it has started");
        if entry.incarnation != incarnation {
            return;
        }
        if entry.frozen_until > now {
            let thaw = entry.frozen_until;
            self.schedule(thaw, event);
            return;
        }
        match event {
            Event::Scan(..) if entry.cut => {
                self.schedule(now + 300, Event::Scan(index, incarnation));
            }
            Event::Scan(..) => {
                let read = Event::Read(index, incarnation, self.rows.clone(), self.era, now);
                self.schedule(now + delay, read);
            }
            Event::Read(_, _, rows, era, requested) => {
                let own = moved_node(index, self.moved[index]);
                let known = rows.get(&own.name) == Some(&own);
                let count = rows.len();
                entry.known.extend(rows);
                let mut nodes = entry.known.clone();
                nodes.insert(own.name.clone(), own.clone());
                let nodes = known.then(|| nodes.into_values().collect());
                let requested = Time::from_millis(requested);
                entry.ledger.on_list(nodes, count, era, requested, time);
                if known && entry.quota_from.is_none() {
                    entry.quota_from = Some(now);
                }
                let next = if known { SCAN_INTERVAL_MS } else { 600 };
                if !known && !entry.cut {
                    self.rows.insert(own.name.clone(), own);
                    if entry.quota_from.is_none_or(|from| now < from) {
                        entry.quota_from = Some(now + JOIN_DELAY_MS);
                    }
                }
                self.schedule(now + next, Event::Scan(index, incarnation));
            }
            Event::Sent(..) => {}
        }
    }

    fn send(&mut self, index: usize) {
        let (now, time) = (self.now, Time::from_millis(self.now));
        let (target, service, domain) = target();
        let Some(entry) = self.entries[index].as_mut() else {
            return;
        };
        if entry.frozen_until > now {
            return;
        }
        let entries = entry.known.len().max(1);
        let mut granted = 0;
        while entry.quota_from.is_some_and(|from| now >= from)
            && entry.ledger.trusts_count(LIMIT, entries, time)
            && entry.ramp.allows(&target, LIMIT, entries, time)
        {
            entry.ramp.on_sent(&target, time);
            self.sent.push(Sent {
                at: now,
                entry: index,
                share: 0,
            });
        }
        let share = entry.ledger.share(&service, &domain, LIMIT, time);
        entry.ledger.begin_placement();
        let number = self.number << 8;
        while share > 0
            && entry
                .ledger
                .offer(&target, &id(number + granted), share, time)
        {
            entry.ledger.begin_placement();
            let ledger = &mut entry.ledger;
            ledger.on_granted(&target, &id(number + granted), true, time);
            granted += 1;
        }
        let lifetime = u64::try_from(GRANT_TTL.as_millis()).expect("it is short");
        for _ in 0..granted {
            let delay = self.draw(lifetime + MAX_SEND_DELAY_MS);
            self.schedule(now + delay, Event::Sent(index, share));
        }
    }

    fn fail(&mut self, fault: Fault, index: usize) {
        let index = index % self.entries.len();
        let Some(entry) = &mut self.entries[index] else {
            if matches!(fault, Fault::Start) {
                self.start(index);
            }
            return;
        };
        match fault {
            Fault::Start => self.start(index),
            Fault::Move => {
                self.moved[index] ^= true;
                self.start(index);
            }
            Fault::Freeze(for_ms) => entry.frozen_until = self.now + for_ms,
            Fault::Cut => entry.cut = !entry.cut,
            Fault::Copy => self.copy = self.rows.clone(),
            Fault::Restore if self.now > self.restored_at + 20_000 => {
                self.rows = self.copy.clone();
                self.era += 1;
                self.restored_at = self.now;
            }
            Fault::Restore | Fault::Nothing => {}
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::Start),
        1 => Just(Fault::Move),
        1 => (100u64..12_000).prop_map(Fault::Freeze),
        4 => Just(Fault::Cut),
        1 => Just(Fault::Copy),
        1 => Just(Fault::Restore),
        2 => Just(Fault::Nothing),
    ]
}

/// Checks the requests of a second: the shares that entries used are those of the division, and no
/// fixed share is used beside them.
fn check(window: &[Sent]) -> Result<(), TestCaseError> {
    prop_assert!(window.len() as f64 <= LIMIT, "{window:?}");
    let mut shares: BTreeMap<usize, usize> = BTreeMap::new();
    for sent in window {
        let share = shares.entry(sent.entry).or_default();
        *share = sent.share.max(*share);
    }
    let is_fixed = |sent: &Sent| sent.share == 0;
    if window.iter().all(is_fixed) {
        return Ok(());
    }
    prop_assert!(!window.iter().any(is_fixed), "{window:?}");
    prop_assert!(shares.values().sum::<usize>() <= 4, "{window:?}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]

    /// Guards against a cold target that gets more requests than it tolerates while entries start,
    /// restart, freeze, are cut off from the table store, and the store is restored from a copy.
    #[test]
    fn all_entries_together_stay_within_the_limit(
        initial in 3usize..8,
        faults in prop::collection::vec((fault(), 0usize..10, 50u64..6000), 1..40),
    ) {
        let mut world = World {
            now: 0,
            rows: BTreeMap::new(),
            copy: (0..initial.min(5)).map(|index| (node(index).name, node(index))).collect(),
            era: 0,
            restored_at: 0,
            entries: (0..10).map(|_| None).collect(),
            queue: BTreeMap::new(),
            number: 0,
            sent: Vec::new(),
            moved: [false; 10],
        };
        (0..initial).for_each(|index| world.start(index));
        world.run(15_000);
        for (fault, index, gap_ms) in faults {
            world.run(world.now + gap_ms);
            world.fail(fault, index);
        }
        world.run(world.now + 15_000);
        world.sent.sort_unstable_by_key(|sent| sent.at);
        for (index, first) in world.sent.iter().enumerate() {
            let rest = world.sent[index..].iter();
            let window: Vec<Sent> = rest.take_while(|sent| sent.at < first.at + 1000).copied().collect();
            check(&window)?;
        }
    }

    /// Guards against a grant that is used later than its dispatcher assumes, when messages and
    /// replies are late or lost, or the request is queued first.
    #[test]
    fn a_grant_expires_at_most_its_lifetime_after_it_was_made(
        messages in prop::collection::vec((0u64..400, 0u64..600, 0u64..600, any::<bool>()), 1..12),
        granted_after_ms in 0u64..2000,
    ) {
        // When the request is sent again, and when replies arrive that it is queued.
        let mut events = Vec::new();
        let mut sent_ms = 0;
        for (index, (gap_ms, request_ms, reply_ms, lost)) in messages.into_iter().enumerate() {
            // The first message begins the exchange.
            if index > 0 {
                sent_ms += gap_ms;
                events.push((sent_ms, true));
            }
            if !lost && sent_ms + request_ms < granted_after_ms {
                events.push((sent_ms + request_ms + reply_ms, false));
            }
        }
        events.sort_unstable();
        let granted_at = Time::from_millis(granted_after_ms);
        let mut exchange = Timing::new(Time(0));
        for (at, is_sent) in events {
            match is_sent {
                true => exchange.on_sent(Time::from_millis(at)),
                false => exchange.on_queued(),
            }
            let deadline = exchange.deadline().expect("it has begun");
            prop_assert!(deadline <= granted_at + GRANT_TTL);
        }
    }
}

/// A ledger of an entry that has known the first `count` entries for long.
fn settled(own: &str, count: usize) -> (Ledger, u64) {
    let mut now = 0;
    let mut ledger = Ledger::new(own, Time(0));
    for _ in 0..4 {
        now += SCAN_INTERVAL_MS;
        let time = Time::from_millis(now);
        ledger.on_list(Some((0..count).map(node).collect()), count, 0, time, time);
    }
    (ledger, now)
}

fn order(count: usize) -> Vec<String> {
    let (_, service, domain) = target();
    let cell = Cell {
        service,
        domain: Some(domain),
        shard: 0,
        shards: 1,
    };
    let nodes: Vec<Node> = (0..count).map(node).collect();
    cell.dispatchers(&nodes)
}

fn share(ledger: &mut Ledger, now: u64) -> usize {
    let (_, service, domain) = target();
    ledger.share(&service, &domain, 21.5, Time::from_millis(now))
}

/// Guards against recovered targets that get no request from many entries.
#[test]
fn two_entries_divide_the_budget() {
    let order = order(29);
    let shares = order.iter().map(|name| {
        let (mut ledger, now) = settled(name, 29);
        share(&mut ledger, now)
    });
    let shares: Vec<usize> = shares.collect();
    assert_eq!(shares[..3], [12, 4, 0]);
    assert_eq!(shares.iter().sum::<usize>(), 16);
}

/// Guards against a division that is used beside the fixed shares of a few entries.
#[test]
fn few_entries_keep_their_fixed_shares() {
    let (mut ledger, now) = settled(&order(21)[0], 21);
    assert_eq!(share(&mut ledger, now), 0);
}

/// Guards against an entry that grants what it had granted before its restart, and against one that
/// goes on with an outdated list.
#[test]
fn a_share_needs_a_list_that_is_known_for_long_and_recent() {
    let own = &order(29)[0];
    let mut now = 0;
    let mut ledger = Ledger::new(own, Time(0));
    let nodes: Vec<Node> = (0..29).map(node).collect();
    let hold = LIST_TTL + WINDOW;
    while now < u64::try_from(hold.as_millis()).expect("it is short") {
        let time = Time::from_millis(now);
        ledger.on_list(Some(nodes.clone()), 29, 0, time, time);
        assert_eq!(share(&mut ledger, now), 0);
        now += 500;
    }
    let time = Time::from_millis(now);
    ledger.on_list(Some(nodes), 29, 0, time, time);
    assert_eq!(share(&mut ledger, now), 12);
    let ttl = u64::try_from(LIST_TTL.as_millis()).expect("it is short");
    assert_eq!(share(&mut ledger, now + ttl), 0);
}

/// Guards against several requests that are placed on a cold target at once, beyond its budget.
#[test]
fn requests_of_one_placement_share_the_budget() {
    let (target, ..) = target();
    let mut ledger = Ledger::new("e0", Time(0));
    let offered = (0..9).filter(|number| ledger.offer(&target, &id(*number), 4, Time(0)));
    assert_eq!(offered.count(), 4);
    assert!(ledger.offer(&target, &id(0), 4, Time(0)));
    // Only one of them was granted it.
    ledger.begin_placement();
    ledger.on_granted(&target, &id(0), true, Time(0));
    ledger.begin_placement();
    let offered = (10..19).filter(|number| ledger.offer(&target, &id(*number), 4, Time(0)));
    assert_eq!(offered.count(), 3);
}

/// Guards against a target that is granted beyond its budget because it was warm at earlier grants
/// or was gone for a moment.
#[test]
fn earlier_grants_count_when_a_target_becomes_cold() {
    let (target, ..) = target();
    let mut ledger = Ledger::new("e0", Time(0));
    (0..4).for_each(|number| ledger.on_granted(&target, &id(number), false, Time(0)));
    ledger.retain(|_| false, Time::from_millis(500));
    let late = Time::from_millis(500);
    assert!(!ledger.offer(&target, &id(9), 4, late));
    assert!(!ledger.is_within_budget(&target, &id(0)));
    let expired = Time(0) + WINDOW + Duration::from_millis(1);
    assert!(ledger.offer(&target, &id(9), 4, expired));
}

/// Guards against an entry that goes on after other entries may have taken its place: while it read
/// no list, or in a store that was restored between two of its reads.
#[test]
fn a_gap_or_a_restoration_restarts_the_wait() {
    let own = &order(29)[0];
    let nodes: Vec<Node> = (0..29).map(node).collect();
    let ttl = u64::try_from(LIST_TTL.as_millis()).expect("it is short");
    for (gap_ms, era) in [(ttl, 0), (1, 1)] {
        let (mut ledger, mut now) = settled(own, 29);
        let again = now + gap_ms;
        now = again;
        while now < again + ttl {
            let time = Time::from_millis(now);
            ledger.on_list(Some(nodes.clone()), 29, era, time, time);
            assert_eq!(share(&mut ledger, now), 0);
            now += 1000;
        }
        now += 2000;
        let time = Time::from_millis(now);
        ledger.on_list(Some(nodes.clone()), 29, era, time, time);
        assert_eq!(share(&mut ledger, now), 12);
    }
}

/// Guards against a division by entries of which some still know rows that a restoration has lost,
/// beside others that use fixed shares because they do not know them.
#[test]
fn lost_rows_do_not_count_for_a_division() {
    let (mut ledger, mut now) = settled(&order(29)[0], 29);
    now += 1000;
    let time = Time::from_millis(now);
    let nodes: Vec<Node> = (0..29).map(node).collect();
    ledger.on_list(Some(nodes), 21, 0, time, time);
    assert_eq!(share(&mut ledger, now), 0);
}

/// Guards against a displaced entry that keeps its larger part, and against one whose registration
/// is lost and that goes on.
#[test]
fn a_worse_position_counts_at_once() {
    let count = (22..29).find(|count| order(*count)[0] != order(count + 1)[0]);
    let count = count.expect("an entry comes first when it joins");
    let (mut ledger, mut now) = settled(&order(count)[0], count);
    assert_eq!(share(&mut ledger, now), 12);
    now += 1000;
    let time = Time::from_millis(now);
    let nodes: Vec<Node> = (0..=count).map(node).collect();
    ledger.on_list(Some(nodes), count + 1, 0, time, time);
    assert_eq!(share(&mut ledger, now), 4);
    ledger.on_list(None, count, 0, time, time);
    assert_eq!(share(&mut ledger, now), 0);
}

/// Guards against fixed shares of entries that do not know how many others there are by now.
#[test]
fn a_fixed_share_that_may_have_vanished_needs_a_recent_list() {
    let ttl = u64::try_from(LIST_TTL.as_millis()).expect("it is short");
    let (mut ledger, now) = settled("e0", 5);
    let (recent, late) = (Time::from_millis(now), Time::from_millis(now + ttl));
    assert!(ledger.trusts_count(LIMIT, 5, recent));
    assert!(!ledger.trusts_count(LIMIT, 5, late));
    assert!(ledger.trusts_count(LIMIT, 2, late));
    // A process that starts after a restoration may find few rows at first.
    let mut ledger = Ledger::new("e0", Time(0));
    let time = Time::from_millis(3000);
    ledger.on_list(Some(vec![node(0), node(1)]), 2, 1, time, time);
    assert!(!ledger.trusts_count(LIMIT, 2, time));
}
