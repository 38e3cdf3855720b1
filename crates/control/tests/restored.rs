//! Leases on a platform that may be restored from an older copy at any moment.
//!
//! Guards against a fencing token that is issued twice because the lease row came back older, and
//! against two holders in two eras.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Write, Written};
use proptest::prelude::*;
use types::{Fence, Incarnation, Revision, Time};

const TIMING: Timing = Timing {
    duration: Duration::from_millis(1000),
    poll_interval: Duration::from_millis(250),
};
/// How long a process requests no lease after it has learned of a new era. A holder relies on its
/// lease for 900 ms by its clock, and clocks deviate by up to 10%.
const WAIT: Duration = Duration::from_millis(1250);
/// The number of past states of the store from which it can be restored.
const MAX_COPIES: usize = 64;

/// The rows of the store: the leases, by the era that their key names.
#[derive(Debug, Clone, Default)]
struct Rows {
    version: u64,
    leases: HashMap<u64, (u64, Grant)>,
}

#[derive(Debug, Default)]
struct Store {
    era: u64,
    rows: Rows,
    copies: VecDeque<Rows>,
}

/// A call in flight, for the lease of an era.
#[derive(Debug, Clone)]
enum Call {
    Read,
    Write(Write),
}

/// A response in flight, with the era of the store that has sent it.
#[derive(Debug, Clone)]
enum Response {
    Read(Option<(u64, Grant)>),
    Write(Written),
}

#[derive(Debug)]
enum InFlight {
    Call(Call),
    Response(u64, Response),
}

#[derive(Debug)]
struct Process {
    name: String,
    incarnation: u64,
    /// The era of the newest response; `None` before the first one.
    era: Option<u64>,
    lease: Lease,
    /// Until when it requests no lease.
    waits_until: Time,
    in_flight: Option<InFlight>,
    /// The speed of the process's clock in percent.
    clock_rate: u64,
}

#[derive(Debug)]
struct Simulation {
    store: Store,
    /// Writes whose sender gave up and that may still arrive, with the era that their key names.
    late_writes: Vec<(u64, Write)>,
    processes: Vec<Process>,
    real_ms: u64,
    /// The holder, with its incarnation, that has used each fencing token.
    used: HashMap<u64, (String, u64)>,
    /// The greatest fencing token used so far.
    newest: u64,
    wait: Duration,
    floor: fn(u64) -> Fence,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The process performs its next step, the store executes its call, or it receives the
    /// response.
    Advance(usize),
    /// The message in flight is lost; a write may still arrive later.
    Lose(usize),
    /// A late write arrives.
    DeliverLate,
    /// The process crashes and starts again with the next incarnation.
    Crash(usize),
    /// The process learns of the era by the response to another call.
    Hear(usize),
    /// The store is restored from the state before this number of writes.
    Restore(usize),
    /// This number of milliseconds passes.
    Elapse(u64),
}

impl Store {
    fn execute(&mut self, key: u64, write: &Write) -> Written {
        let version = self
            .rows
            .leases
            .get(&key)
            .map_or(0, |(version, _)| *version);
        if version != Revision::from(write.expect).version() {
            return Written::Conflict;
        }
        self.copies.push_back(self.rows.clone());
        if self.copies.len() > MAX_COPIES {
            self.copies.pop_front();
        }
        self.rows.version += 1;
        let row = (self.rows.version, write.grant.clone());
        self.rows.leases.insert(key, row);
        Written::Applied(Revision::new(self.era, self.rows.version).into())
    }

    fn read(&self, key: u64) -> Option<(u64, Grant)> {
        let (version, grant) = self.rows.leases.get(&key)?;
        Some((Revision::new(self.era, *version).into(), grant.clone()))
    }

    fn restore(&mut self, writes: usize) {
        for _ in 0..writes {
            match self.copies.pop_back() {
                Some(rows) => self.rows = rows,
                None => break,
            }
        }
        self.era += 1;
    }
}

/// Gives each era a range of fencing tokens of its own.
fn era_floor(era: u64) -> Fence {
    Fence(Revision::new(era, 0).into())
}

impl Simulation {
    fn new(clock_rates: &[u64], wait: Duration, floor: fn(u64) -> Fence) -> Self {
        let processes = clock_rates.iter().enumerate().map(|(index, &clock_rate)| {
            let name = format!("p{index}");
            Process {
                lease: Lease::new(name.clone(), Incarnation(1), TIMING, 0),
                name,
                incarnation: 1,
                era: None,
                waits_until: Time(0),
                in_flight: None,
                clock_rate,
            }
        });
        Self {
            store: Store::default(),
            late_writes: Vec::new(),
            processes: processes.collect(),
            real_ms: 10_000,
            used: HashMap::new(),
            newest: 0,
            wait,
            floor,
        }
    }

    fn now(&self, process: usize) -> Time {
        Time(self.real_ms * 10 * self.processes[process].clock_rate)
    }

    /// Drops the message in flight; returns whether the result of a write is unknown.
    fn drop_message(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let key = process.era.unwrap_or(0);
        match process.in_flight.take() {
            Some(InFlight::Call(Call::Write(write))) => {
                self.late_writes.push((key, write));
                true
            }
            Some(InFlight::Response(_, Response::Write(_))) => true,
            _ => false,
        }
    }

    /// Takes notice of the era of a response. Returns whether the response counts.
    fn hear(&mut self, index: usize, era: u64) -> bool {
        let known = self.processes[index].era;
        if known == Some(era) {
            return true;
        }
        if known > Some(era) {
            return false;
        }
        self.drop_message(index);
        let now = self.now(index);
        let process = &mut self.processes[index];
        process.era = Some(era);
        let incarnation = Incarnation(process.incarnation);
        // The era is part of the number, so that late writes of an earlier view are not mistaken
        // for writes of this one.
        let nonce = era << 32;
        process.lease = Lease::new(process.name.clone(), incarnation, TIMING, nonce)
            .with_fence_floor((self.floor)(era));
        process.lease.acquire();
        if era > 0 {
            process.waits_until = now + self.wait;
        }
        false
    }

    fn advance(&mut self, index: usize) {
        let now = self.now(index);
        let process = &mut self.processes[index];
        let Some(key) = process.era else {
            self.hear(index, self.store.era);
            return;
        };
        match process.in_flight.take() {
            None if now < process.waits_until => {}
            None => {
                let call = match process.lease.poll(now) {
                    Step::Read => Some(Call::Read),
                    Step::Write(write) => Some(Call::Write(write)),
                    Step::Wait(_) | Step::Idle => None,
                };
                process.in_flight = call.map(InFlight::Call);
            }
            Some(InFlight::Call(call)) => {
                let response = match call {
                    Call::Read => Response::Read(self.store.read(key)),
                    Call::Write(write) => Response::Write(self.store.execute(key, &write)),
                };
                process.in_flight = Some(InFlight::Response(self.store.era, response));
            }
            Some(InFlight::Response(era, response)) => {
                if !self.hear(index, era) {
                    return;
                }
                let lease = &mut self.processes[index].lease;
                match response {
                    Response::Read(row) => lease.on_read(now, row),
                    Response::Write(written) => lease.on_write(written),
                }
            }
        }
    }

    fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Advance(index) => self.advance(index),
            Event::Lose(index) => {
                if self.drop_message(index) {
                    self.processes[index].lease.on_write(Written::Lost);
                }
            }
            Event::DeliverLate => {
                if let Some((key, write)) = self.late_writes.pop() {
                    self.store.execute(key, &write);
                }
            }
            Event::Crash(index) => {
                self.drop_message(index);
                let process = &mut self.processes[index];
                process.incarnation += 1;
                process.era = None;
                let incarnation = Incarnation(process.incarnation);
                process.lease = Lease::new(process.name.clone(), incarnation, TIMING, 0);
            }
            Event::Hear(index) => {
                self.hear(index, self.store.era);
            }
            Event::Restore(writes) => self.store.restore(writes),
            Event::Elapse(millis) => self.real_ms += millis,
        }
        self.check()
    }

    /// Checks that at most one process holds the lease, and that its fencing token is its own.
    fn check(&mut self) -> Result<(), String> {
        let held = |index: usize| {
            let fence = self.processes[index].lease.fence(self.now(index))?;
            Some((index, fence.0))
        };
        let holders: Vec<(usize, u64)> = (0..self.processes.len()).filter_map(held).collect();
        if holders.len() > 1 {
            return Err(format!("two holders: {holders:?}"));
        }
        let Some(&(index, fence)) = holders.first() else {
            return Ok(());
        };
        let process = &self.processes[index];
        let holder = (process.name.clone(), process.incarnation);
        let first = self.used.entry(fence).or_insert_with(|| holder.clone());
        if *first != holder {
            return Err(format!(
                "{holder:?} uses the fencing token {fence} of {first:?}"
            ));
        }
        if fence < self.newest {
            return Err(format!("fencing token {fence} after {}", self.newest));
        }
        self.newest = fence;
        Ok(())
    }
}

fn event(processes: usize) -> impl Strategy<Value = Event> {
    let process = 0..processes;
    prop_oneof![
        30 => process.clone().prop_map(Event::Advance),
        1 => process.clone().prop_map(Event::Lose),
        1 => Just(Event::DeliverLate),
        1 => process.clone().prop_map(Event::Crash),
        1 => process.prop_map(Event::Hear),
        1 => (0..8usize).prop_map(Event::Restore),
        4 => prop::sample::select(vec![1, 50, 210, 400, 700, 950]).prop_map(Event::Elapse),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Two processes, one with a slow and one with a fast clock.
    #[test]
    fn a_restored_row_gives_no_fencing_token_twice(
        events in prop::collection::vec(event(2), 0..400),
    ) {
        let mut simulation = Simulation::new(&[91, 109], WAIT, era_floor);
        for event in events {
            simulation.apply(event).map_err(TestCaseError::fail)?;
        }
    }
}

/// Makes a process advance until it holds the lease.
fn acquire(simulation: &mut Simulation, index: usize) -> Result<u64, String> {
    for _ in 0..100 {
        simulation.apply(Event::Advance(index))?;
        let fence = simulation.processes[index]
            .lease
            .fence(simulation.now(index));
        if let Some(fence) = fence {
            return Ok(fence.0);
        }
        simulation.apply(Event::Elapse(50))?;
    }
    Err(format!("p{index} does not get the lease"))
}

/// The first holder is in its lease when the store is restored from before it; the second process
/// learns of the restoration first.
fn restore_below_a_holder(simulation: &mut Simulation) -> Result<(u64, u64), String> {
    let first = acquire(simulation, 0)?;
    simulation.apply(Event::Restore(1))?;
    simulation.apply(Event::Hear(1))?;
    let second = acquire(simulation, 1)?;
    Ok((first, second))
}

/// Guards against an era in which nobody gets the lease, and against a schedule that shows nothing:
/// without the wait there are two holders, and without tokens of its own the era repeats them.
#[test]
fn the_wait_and_the_range_of_tokens_are_both_needed() {
    let run = |wait, floor: fn(u64) -> Fence| {
        restore_below_a_holder(&mut Simulation::new(&[91, 109], wait, floor))
    };
    let (first, second) = run(WAIT, era_floor).expect("one holder at a time");
    assert_eq!((first, second), (1, era_floor(1).0 + 1));
    let problem = run(Duration::ZERO, era_floor).expect_err("two holders");
    assert!(problem.contains("two holders"), "{problem}");
    let problem = run(WAIT, |_| Fence(0)).expect_err("a repeated token");
    assert!(problem.contains("uses the fencing token 1"), "{problem}");
}
