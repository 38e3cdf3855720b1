//! Leases under pauses, message loss, late writes, clock drift and crashes.
//!
//! Guards against two processes that hold one lease at the same time, and against a fencing token
//! that is issued twice.

use std::collections::HashSet;
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Write, Written};
use proptest::prelude::*;
use types::{Incarnation, Time};

const TIMING: Timing = Timing {
    duration: Duration::from_millis(1000),
    poll_interval: Duration::from_millis(250),
};

/// A request in flight between a process and the platform.
#[derive(Debug, Clone)]
enum InFlight {
    Read,
    ReadDone(Option<(u64, Grant)>),
    Write(Write),
    WriteDone(Written),
}

#[derive(Debug, Clone)]
struct Process {
    lease: Lease,
    incarnation: u64,
    in_flight: Option<InFlight>,
    /// The speed of the process's clock in percent.
    clock_rate: u64,
}

#[derive(Debug, Clone)]
struct Simulation {
    /// The lease row, with its version.
    row: Option<(u64, Grant)>,
    /// The version of the last write.
    version: u64,
    /// Writes whose sender gave up and that may still arrive.
    late_writes: Vec<Write>,
    processes: Vec<Process>,
    /// The true time; the clock of each process differs by its rate.
    real_ms: u64,
    /// The greatest fencing token issued so far.
    fence: u64,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// The process performs its next step, the platform executes its request, or it receives the
    /// response.
    Advance(usize),
    /// The message in flight is lost; a write may still arrive later.
    Lose(usize),
    /// A late write arrives.
    DeliverLate,
    /// The process crashes and starts again with the next incarnation.
    Crash(usize),
    /// The process requests the lease, or releases it.
    Request(usize, bool),
    /// This number of milliseconds passes.
    Elapse(u64),
}

impl Simulation {
    fn new(clock_rates: &[u64]) -> Self {
        let processes = clock_rates.iter().enumerate().map(|(index, &clock_rate)| {
            let mut lease = Lease::new(format!("p{index}"), Incarnation(1), TIMING, 0);
            lease.acquire();
            Process {
                lease,
                incarnation: 1,
                in_flight: None,
                clock_rate,
            }
        });
        Self {
            row: None,
            version: 0,
            late_writes: Vec::new(),
            processes: processes.collect(),
            real_ms: 1000,
            fence: 0,
        }
    }

    fn now(&self, process: usize) -> Time {
        Time(self.real_ms * 10 * self.processes[process].clock_rate)
    }

    fn execute(&mut self, write: &Write) -> Written {
        let version = self.row.as_ref().map_or(0, |(version, _)| *version);
        if version != write.expect {
            return Written::Conflict;
        }
        self.version += 1;
        let before = self.row.replace((self.version, write.grant.clone()));
        let owner = |grant: &Grant| (grant.holder.clone(), grant.incarnation, grant.fence);
        let renewed = before.is_some_and(|(_, grant)| owner(&grant) == owner(&write.grant));
        let fence = write.grant.fence.0;
        assert!(
            renewed || fence > self.fence,
            "fencing token {fence} was issued before"
        );
        self.fence = fence;
        Written::Applied(self.version)
    }

    fn apply(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Advance(index) => {
                let now = self.now(index);
                let process = &mut self.processes[index];
                let next = match process.in_flight.take() {
                    None => match process.lease.poll(now) {
                        Step::Read => Some(InFlight::Read),
                        Step::Write(write) => Some(InFlight::Write(write)),
                        Step::Wait(_) | Step::Idle => None,
                    },
                    Some(InFlight::Read) => Some(InFlight::ReadDone(self.row.clone())),
                    Some(InFlight::Write(write)) => Some(InFlight::WriteDone(self.execute(&write))),
                    Some(InFlight::ReadDone(row)) => {
                        process.lease.on_read(now, row);
                        None
                    }
                    Some(InFlight::WriteDone(written)) => {
                        process.lease.on_write(written);
                        None
                    }
                };
                self.processes[index].in_flight = next;
            }
            Event::Lose(index) => match self.processes[index].in_flight.take() {
                Some(InFlight::Write(write)) => {
                    self.late_writes.push(write);
                    self.processes[index].lease.on_write(Written::Lost);
                }
                Some(InFlight::WriteDone(_)) => self.processes[index].lease.on_write(Written::Lost),
                _ => {}
            },
            Event::DeliverLate => {
                if let Some(write) = self.late_writes.pop() {
                    self.execute(&write);
                }
            }
            Event::Crash(index) => {
                let process = &mut self.processes[index];
                process.incarnation += 1;
                let incarnation = Incarnation(process.incarnation);
                process.lease = Lease::new(format!("p{index}"), incarnation, TIMING, 0);
                process.lease.acquire();
                if let Some(InFlight::Write(write)) = process.in_flight.take() {
                    self.late_writes.push(write);
                }
            }
            Event::Request(index, true) => self.processes[index].lease.acquire(),
            Event::Request(index, false) => self.processes[index].lease.release(),
            Event::Elapse(millis) => self.real_ms += millis,
        }
        let holders: Vec<_> = (0..self.processes.len())
            .filter_map(|index| self.processes[index].lease.fence(self.now(index)))
            .collect();
        match holders.len() {
            0 | 1 => Ok(()),
            _ => Err(format!("two holders: {holders:?}")),
        }
    }

    /// Returns a text that identifies the state.
    fn key(&self) -> String {
        format!(
            "{:?}",
            (&self.row, &self.late_writes, &self.processes, self.real_ms)
        )
    }

    fn fence_of(&self, index: usize) -> Option<u64> {
        let fence = self.processes[index].lease.fence(self.now(index));
        fence.map(|fence| fence.0)
    }
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0..3_usize;
    prop_oneof![
        20 => process.clone().prop_map(Event::Advance),
        1 => process.clone().prop_map(Event::Lose),
        1 => Just(Event::DeliverLate),
        1 => process.clone().prop_map(Event::Crash),
        2 => (process, any::<bool>()).prop_map(|(index, requested)| Event::Request(index, requested)),
        2 => prop::sample::select(vec![1, 50, 210, 400, 700, 950]).prop_map(Event::Elapse),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4000))]

    /// Three processes, one with a slow and one with a fast clock. A process that performs no step
    /// while time passes is paused; the invariant is checked after every event.
    #[test]
    fn at_most_one_process_believes_it_holds_the_lease(
        events in prop::collection::vec(event(), 0..400),
    ) {
        let mut simulation = Simulation::new(&[91, 109, 100]);
        for event in events {
            if let Err(problem) = simulation.apply(event) {
                return Err(TestCaseError::fail(problem));
            }
        }
    }
}

/// Covers all schedules of two contenders with up to 24 events and one fault, and with up to 18
/// events and two faults.
#[test]
fn two_contenders_exclude_each_other_in_every_schedule() {
    explore(24, 1);
    explore(18, 2);
}

/// Explores all schedules of two contenders, one with a slow and one with a fast clock, over up to
/// six time steps. A state that was reached before is not explored again.
fn explore(depth: usize, max_faults: u32) {
    // Multiples of this step separate the times at which a lease expires for the holder and for the
    // contender, both with correct and with wrong safety margins.
    const STEP_MS: u64 = 210;
    let mut seen = HashSet::new();
    let mut frontier = vec![(Simulation::new(&[91, 109]), 0_u32)];
    let (mut states, mut fence) = (0, 0);
    for _ in 0..depth {
        let mut next = Vec::new();
        for (simulation, faults) in frontier {
            let mut events = vec![Event::Advance(0), Event::Advance(1), Event::Elapse(STEP_MS)];
            if faults < max_faults {
                events.extend([Event::Lose(0), Event::Lose(1), Event::Crash(0)]);
                events.extend([Event::Request(0, false), Event::Request(0, true)]);
            }
            if !simulation.late_writes.is_empty() {
                events.push(Event::DeliverLate);
            }
            for event in events {
                let mut after = simulation.clone();
                if let Err(problem) = after.apply(event) {
                    panic!("{problem} after {event:?} in {simulation:#?}");
                }
                let is_fault =
                    matches!(event, Event::Lose(_) | Event::Crash(_) | Event::Request(..));
                let faults = faults + u32::from(is_fault);
                let is_over = after.real_ms > 1000 + 6 * STEP_MS;
                if !is_over && seen.insert((after.key(), faults)) {
                    fence = fence.max(after.fence);
                    next.push((after, faults));
                }
            }
        }
        states += next.len();
        frontier = next;
    }
    println!(
        "{states} states, {} at the last depth, greatest fence {fence}",
        frontier.len()
    );
    assert!(
        fence >= 2,
        "no schedule reached a second holder, so exclusion was not tested"
    );
}

/// Guards against a lease that cannot be acquired again after a release, and against one that is
/// lost when a single response is lost.
#[test]
fn a_lost_response_keeps_the_lease_and_a_release_frees_it() {
    let mut simulation = Simulation::new(&[100, 100]);
    let step = |simulation: &mut Simulation, events: &[Event]| {
        for &event in events {
            simulation.apply(event).unwrap();
        }
    };
    let read = [Event::Advance(0); 3];
    step(&mut simulation, &read);
    // The write takes effect and its response is lost; reading the row resolves this.
    step(
        &mut simulation,
        &[Event::Advance(0), Event::Advance(0), Event::Lose(0)],
    );
    assert_eq!(simulation.fence_of(0), None);
    step(&mut simulation, &read);
    assert_eq!(simulation.fence_of(0), Some(1));
    step(&mut simulation, &[Event::Advance(1); 6]);
    assert_eq!(simulation.fence_of(1), None);
    step(&mut simulation, &[Event::Request(0, false)]);
    step(&mut simulation, &read);
    step(&mut simulation, &[Event::Elapse(300)]);
    step(&mut simulation, &[Event::Advance(1); 6]);
    assert_eq!(simulation.fence_of(1), Some(2));
}

/// Guards against a row with the greatest fencing token, after which the token would overflow.
#[test]
fn the_greatest_fencing_token_does_not_overflow() {
    let mut lease = Lease::new("one".into(), Incarnation(1), TIMING, 0);
    lease.acquire();
    assert_eq!(lease.poll(Time(0)), Step::Read);
    let grant = Grant {
        holder: "other".into(),
        incarnation: Incarnation(1),
        write: 1,
        fence: types::Fence(u64::MAX),
        duration_ms: u64::MAX,
        released: true,
    };
    lease.on_read(Time(0), Some((1, grant)));
    let Step::Write(write) = lease.poll(Time(0)) else {
        panic!("the released lease is taken");
    };
    assert_eq!(write.grant.fence.0, u64::MAX);
}
