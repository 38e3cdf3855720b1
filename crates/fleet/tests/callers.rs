//! Crowds of callers in virtual time: who is admitted, who may hold memory, and who is closed.

use std::time::Duration;

use fleet::callers::{
    Activity, Admission, BODY_STALL_TIMEOUT, CONNECTION_BYTES, Callers, Capacity, Cause, Check,
    Growth, Id, Machine, UNREAD_TIMEOUT, max_fields, request_bytes,
};
use proptest::prelude::*;
use types::Time;

/// The limits of a small test machine.
const CAPACITY: Capacity = Capacity {
    connections: 400,
    bytes: 400 * CONNECTION_BYTES,
};
/// The size of a body of the crowd.
const BODY_BYTES: usize = 64 << 10;

fn admit(callers: &mut Callers<u32>, name: u32, now: Time) -> Option<Id> {
    match callers.admit(name, now) {
        Admission::Admitted(id) => Some(id),
        Admission::Full(_) => None,
    }
}

/// A process whose connections close a moment after they must.
struct Process {
    callers: Callers<u32>,
    open: Vec<(u32, Id)>,
    next: u32,
}

impl Process {
    fn new(capacity: Capacity) -> Self {
        Self {
            callers: Callers::new(capacity),
            open: Vec::new(),
            next: 0,
        }
    }

    fn connect(&mut self, now: Time) -> Option<(u32, Id)> {
        self.next += 1;
        let id = admit(&mut self.callers, self.next, now)?;
        self.open.push((self.next, id));
        Some((self.next, id))
    }

    /// Closes what must be closed; returns the names.
    fn settle(&mut self) -> Vec<u32> {
        let evicted = self.callers.take_evicted();
        let names: Vec<u32> = evicted.into_iter().map(|(name, _)| name).collect();
        for name in &names {
            let at = self.open.iter().position(|(open, _)| open == name);
            let (_, id) = self.open.swap_remove(at.expect("an open connection"));
            self.callers.leave(id);
        }
        names
    }

    /// Connects and sends a body that stops short of its end.
    fn send_truncated(&mut self, now: Time) {
        if let Some((_, id)) = self.connect(now) {
            self.callers.begin(id, Activity::Body, now);
            let _ = self.callers.grow(id, BODY_BYTES, now);
        }
        self.settle();
    }
}

/// Guards against a process that is killed because many callers stop just short of the end of a
/// body, and against ordinary callers that get no room beside them.
#[test]
fn bodies_that_stop_short_lose_before_those_that_arrive() {
    let mut process = Process::new(CAPACITY);
    let mut served = 0;
    for milli in 0..5000 {
        let now = Time::from_millis(milli);
        process.send_truncated(now);
        assert!(process.callers.usage().bytes <= CAPACITY.bytes * 9 / 8);
        if milli % 10 != 0 {
            continue;
        }
        if let Some((name, id)) = process.connect(now) {
            process.callers.begin(id, Activity::Body, now);
            let growth = process.callers.grow(id, 4 << 10, now);
            assert!(!process.settle().contains(&name));
            served += u32::from(growth == Growth::Granted);
            process.callers.leave(id);
            process.open.retain(|(open, _)| *open != name);
        }
    }
    assert!(served > 450, "{served} of 500");
}

/// Guards against callers that connect and send nothing, and take the connections of those that were
/// served before.
#[test]
fn connections_without_a_request_lose_before_those_that_were_served() {
    let mut process = Process::new(CAPACITY);
    let mut kept = Vec::new();
    for _ in 0..100 {
        let (name, id) = process.connect(Time::default()).expect("room");
        process
            .callers
            .begin(id, Activity::Serving, Time::default());
        process.callers.on_served(id);
        process.callers.begin(id, Activity::Idle, Time::default());
        kept.push(name);
    }
    for micro in 0..10_000 {
        let _ = process.connect(Time(1_000_000 + micro * 50));
        for name in process.settle() {
            assert!(!kept.contains(&name), "{name} after {micro}");
        }
    }
    assert!(process.callers.usage().connections <= CAPACITY.connections);
}

/// Guards against a caller that is locked out because all connections are old: each newcomer is
/// admitted beside idle ones, and the one that was idle for longest makes room.
#[test]
fn a_newcomer_is_admitted_beside_idle_connections() {
    let mut process = Process::new(CAPACITY);
    for milli in 0..1000 {
        let now = Time::from_millis(milli * 500);
        let (name, id) = process.connect(now).expect("room");
        process.callers.begin(id, Activity::Serving, now);
        process.callers.on_served(id);
        process.callers.begin(id, Activity::Idle, now);
        for evicted in process.settle() {
            assert!(evicted + 400 <= name, "{evicted} at {name}");
        }
    }
}

/// Guards against requests in progress that end for want of room, although a target may run them.
#[test]
fn requests_in_progress_are_never_closed() {
    let mut process = Process::new(CAPACITY);
    for _ in 0..400 {
        let (_, id) = process.connect(Time::default()).expect("room");
        process
            .callers
            .begin(id, Activity::Serving, Time::default());
    }
    let late = Time::from_millis(60_000);
    assert_eq!(
        process.callers.admit(0, late),
        Admission::Full(Cause::Connections)
    );
    assert!(process.settle().is_empty());
}

/// Guards against trickling bytes that count as progress, and against a slow link that does not.
#[test]
fn progress_is_measured_at_the_minimum_rate() {
    let lasts = |bytes: usize, interval: Duration| {
        let mut callers = Callers::new(CAPACITY);
        let id = admit(&mut callers, 0, Time::default()).expect("room");
        callers.begin(id, Activity::Body, Time::default());
        let mut now = Time::default();
        while now < Time::from_millis(120_000) {
            now = now + interval;
            if matches!(callers.check(id, now), Check::Close(Cause::SlowBody)) {
                return false;
            }
            let _ = callers.on_read(id, bytes, now);
        }
        true
    };
    // A link of 10 Mbit/s that 3,000 callers share, with a segment at a time.
    assert!(lasts(1460, Duration::from_millis(3500)));
    assert!(lasts(1, Duration::from_millis(3)));
    assert!(!lasts(1, Duration::from_secs(1)));
    assert!(!lasts(0, Duration::from_secs(1)));
}

/// Guards against a slow reader of a stream that is cut, and against one that never reads.
#[test]
fn a_response_is_cut_only_if_nothing_of_it_is_read() {
    let mut callers = Callers::new(CAPACITY);
    let id = admit(&mut callers, 0, Time::default()).expect("room");
    let mut now = Time::default();
    for _ in 0..20 {
        callers.begin(id, Activity::Sending, now);
        now = now + UNREAD_TIMEOUT.mul_f64(0.9);
        assert!(matches!(callers.check(id, now), Check::After(_)));
        callers.on_written(id, 1, now);
    }
    now = now + UNREAD_TIMEOUT;
    assert_eq!(callers.check(id, now), Check::Close(Cause::Unread));
    callers.begin(id, Activity::Serving, now);
    now = now + BODY_STALL_TIMEOUT * 10;
    assert!(matches!(callers.check(id, now), Check::After(_)));
}

/// Guards against unread responses that keep the memory which other messages need.
#[test]
fn unread_responses_make_room_for_messages() {
    let mut process = Process::new(CAPACITY);
    let (reader, unread) = process.connect(Time::default()).expect("room");
    assert_eq!(
        process.callers.grow(unread, 1 << 20, Time::default()),
        Growth::Granted
    );
    process
        .callers
        .begin(unread, Activity::Sending, Time::default());
    let (_, id) = process.connect(Time::default()).expect("room");
    process.callers.reclaim(id, 1 << 20, Time::from_millis(100));
    assert!(process.settle().is_empty());
    process
        .callers
        .reclaim(id, 1 << 20, Time::from_millis(2000));
    assert_eq!(process.settle(), [reader]);
}

/// Guards against a head whose fields take more memory than there is, and against a limit on fields
/// that a head within its limit exceeds.
#[test]
fn fields_are_bounded_by_memory_and_not_by_number() {
    assert!(max_fields(8 << 10) > 1000);
    assert!(max_fields(usize::MAX) < 24_576);
    assert_eq!(request_bytes(20), request_bytes(0));
    let mut process = Process::new(CAPACITY);
    let mut granted = 0;
    for _ in 0..20 {
        let (_, id) = process.connect(Time::default()).expect("room");
        process
            .callers
            .begin(id, Activity::Serving, Time::default());
        let growth = process
            .callers
            .grow(id, request_bytes(4000), Time::default());
        granted += usize::from(growth == Growth::Granted);
    }
    assert!((2..6).contains(&granted), "{granted}");
    assert!(process.callers.usage().bytes <= CAPACITY.bytes);
}

/// Guards against callers that take the descriptors of targets, other entries and the store.
#[test]
fn descriptors_are_kept_for_others_than_callers() {
    for descriptors in [100, 200, 1024, 4096, 8192, 1 << 20, usize::MAX] {
        let machine = Machine {
            memory_bytes: 160_000_000,
            descriptors,
            connections: None,
        };
        let sockets = descriptors - 200.min(descriptors / 4);
        let used = machine.callers().connections + 2 * machine.administration().connections;
        assert!(used <= sockets / 6 * 5 + 20, "{used} of {descriptors}");
        assert!(machine.callers().bytes <= machine.memory_bytes / 2);
    }
}

proptest! {
    /// Guards against memory or connections that are counted twice or never released.
    #[test]
    fn all_that_is_counted_is_released(steps in prop::collection::vec((0..7u8, 0..40usize, 0..200_000usize), 0..400)) {
        let mut process = Process::new(CAPACITY);
        for (index, (step, at, bytes)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(index as u64 * 70);
            let Some((name, id)) = process.open.get(at).copied() else {
                process.connect(now);
                continue;
            };
            match step {
                0 => process.callers.begin(id, Activity::Head, now),
                1 => process.callers.begin(id, Activity::Body, now),
                2 => drop(process.callers.on_read(id, bytes % 9000, now)),
                3 => drop(process.callers.grow(id, bytes, now)),
                4 => process.callers.shrink(id, bytes),
                5 => process.callers.on_served(id),
                _ => {
                    process.callers.leave(id);
                    process.open.retain(|(open, _)| *open != name);
                }
            }
            process.settle();
            prop_assert_eq!(process.callers.usage().connections, process.open.len());
            prop_assert!(process.callers.usage().bytes <= CAPACITY.bytes * 9 / 8);
        }
        for (_, id) in process.open {
            process.callers.leave(id);
        }
        prop_assert_eq!(process.callers.usage(), fleet::callers::Usage::default());
    }
}
