use std::time::Duration;

use rand::Rng;
use types::Time;

/// The schedule of a process's periodic work, and the rate limits on responses to others.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The next gossip round.
    pub gossip_at: Time,
    /// The next read of the accepted version.
    pub head_at: Time,
    /// The next read of the host list.
    pub hosts_at: Time,
    /// The next read of the registered members.
    pub members_at: Time,
    /// The next attempt to register.
    pub register_at: Time,
    has_seeds: bool,
    starting_until: Time,
    expedite_at: Time,
    hint_at: Time,
    texts: Bucket,
    records: Bucket,
}

/// A rate limiter with fixed windows of one second.
#[derive(Debug, Clone, Default)]
struct Bucket {
    window_start: Time,
    used: u32,
}

/// Reads of the accepted version per second by all processes together. The platform sustains 2,000
/// reads/s; at 60 a change is noticed after 17 ms on average.
const HEADS_PER_SECOND: f64 = 60.0;
/// Reads of the host list per second by all processes together; the complete list is about 100 KB
/// at full size.
const HOSTS_PER_SECOND: f64 = 2.0;
/// Minimum mean interval of both reads, in seconds; it applies in small deployments. With jitter a
/// lone process reads at least every 1.5 s, half of the isolation timeout.
const MIN_MEAN_INTERVAL_S: f64 = 1.0;
/// Window in which a process without seeds starts to read and to register, in seconds.
const STARTUP_WINDOW_S: f64 = 0.1;
/// Window in which a process with seeds first reads the accepted version, in seconds: 3,330
/// processes that start together cause at most 555 reads/s.
const SEEDED_HEAD_WINDOW_S: f64 = 6.0;
/// Window in which a process with seeds registers, in seconds: 167 writes/s at full size, of the
/// several hundred that the platform sustains.
const SEEDED_REGISTER_WINDOW_S: f64 = 20.0;
/// Time after which a registration without a result is retried.
pub const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum interval of the additional reads by a process that is close to isolation or received a
/// version hint.
const EXPEDITE_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between version hints that trigger gossip.
const HINT_INTERVAL: Duration = Duration::from_millis(500);
/// Full configuration texts sent per second; a text is about 630 KB at full size.
const TEXTS_PER_SECOND: u32 = 4;
/// Responses with member records sent per second, each up to 16 KB.
const RECORD_RESPONSES_PER_SECOND: u32 = 4;
/// Time after its start for which a process uses the membership size reported by its peers.
const STARTUP_PHASE: Duration = Duration::from_secs(60);
/// A time that is never reached: nothing is scheduled.
const NEVER: Time = Time(u64::MAX);

/// Returns the time until the next read of the accepted version.
pub fn head_interval<Random>(size: usize, random: &mut Random) -> Duration
where
    Random: Rng,
{
    jittered(
        (size as f64 / HEADS_PER_SECOND).max(MIN_MEAN_INTERVAL_S),
        random,
    )
}

/// Returns the time until the next read of the host list.
pub fn hosts_interval<Random>(size: usize, random: &mut Random) -> Duration
where
    Random: Rng,
{
    jittered(
        (size as f64 / HOSTS_PER_SECOND).max(MIN_MEAN_INTERVAL_S),
        random,
    )
}

/// Returns the time until the next read of the registered members. These reads are rare because
/// they only guard against groups of processes that do not know each other; a process that knows
/// nobody reads more often.
pub fn members_interval<Random>(size: usize, alone: bool, random: &mut Random) -> Duration
where
    Random: Rng,
{
    if alone {
        return jittered(2.0, random);
    }
    jittered((size as f64 * 5.0).max(30.0), random)
}

/// Returns the time until the next gossip round.
pub fn gossip_interval<Random>(urgent: bool, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let mean = if urgent { 0.4 } else { 1.0 };
    Duration::from_secs_f64(mean * random.random_range(0.75..1.25))
}

/// Adds jitter to a mean interval, so that processes that started together do not stay
/// synchronized.
fn jittered<Random>(mean: f64, random: &mut Random) -> Duration
where
    Random: Rng,
{
    Duration::from_secs_f64(mean * random.random_range(0.5..1.5))
}

fn uniform<Random>(seconds: f64, random: &mut Random) -> Duration
where
    Random: Rng,
{
    Duration::from_secs_f64(seconds * random.random_range(0.0..1.0))
}

impl Schedule {
    /// Schedules the start of a process; one with seeds delays its platform requests.
    pub fn new<Random>(has_seeds: bool, now: Time, random: &mut Random) -> Self
    where
        Random: Rng,
    {
        let (head, register) = match has_seeds {
            true => (SEEDED_HEAD_WINDOW_S, SEEDED_REGISTER_WINDOW_S),
            false => (STARTUP_WINDOW_S, STARTUP_WINDOW_S),
        };
        Self {
            gossip_at: now + uniform(STARTUP_WINDOW_S, random),
            head_at: now + uniform(head, random),
            hosts_at: now + uniform(register, random),
            members_at: if has_seeds {
                now + jittered(SEEDED_REGISTER_WINDOW_S, random)
            } else {
                NEVER
            },
            register_at: now + uniform(register, random),
            has_seeds,
            starting_until: now + STARTUP_PHASE,
            expedite_at: now + EXPEDITE_INTERVAL,
            hint_at: now,
            texts: Bucket::default(),
            records: Bucket::default(),
        }
    }

    /// Schedules the work of a process that has been running for a long time in a deployment of
    /// `size` processes.
    pub fn steady<Random>(size: usize, now: Time, random: &mut Random) -> Self
    where
        Random: Rng,
    {
        let mut schedule = Self::new(true, now, random);
        // At a random point in time a process is anywhere within its current interval.
        let interval = head_interval(size, random).as_secs_f64();
        schedule.head_at = now + uniform(interval, random);
        let interval = hosts_interval(size, random).as_secs_f64();
        schedule.hosts_at = now + uniform(interval, random);
        let interval = members_interval(size, false, random).as_secs_f64();
        schedule.members_at = now + uniform(interval, random);
        schedule.gossip_at = now + uniform(1.0, random);
        schedule.register_at = NEVER;
        schedule.starting_until = now;
        schedule
    }

    /// Returns whether the process started recently and may not know all members yet.
    #[must_use]
    pub fn is_starting(&self, now: Time) -> bool {
        now < self.starting_until
    }

    /// Returns whether `at` has been reached, and if so advances it by `interval` from now.
    pub fn advance_if_due(at: &mut Time, now: Time, interval: Duration) -> bool {
        let is_due = *at <= now;
        if is_due {
            *at = now + interval;
        }
        is_due
    }

    /// Returns the earliest scheduled time.
    #[must_use]
    pub fn next(&self) -> Time {
        [
            self.gossip_at,
            self.head_at,
            self.hosts_at,
            self.members_at,
            self.register_at,
        ]
        .into_iter()
        .min()
        .unwrap_or(NEVER)
    }

    /// Schedules what follows a registration attempt. Of two processes without seeds, the one that
    /// registers later finds the other when it reads the members afterwards, so neither stays
    /// alone.
    pub fn on_registered<Random>(&mut self, succeeded: bool, now: Time, random: &mut Random)
    where
        Random: Rng,
    {
        if !succeeded {
            self.register_at = now + jittered(if self.has_seeds { 5.0 } else { 1.0 }, random);
            return;
        }
        self.register_at = NEVER;
        if !self.has_seeds {
            self.members_at = now;
        }
    }

    /// Moves the next read of the accepted version to within 0.5 s, at most once every 2 s.
    pub fn expedite_head<Random>(&mut self, now: Time, random: &mut Random)
    where
        Random: Rng,
    {
        if now >= self.expedite_at {
            self.expedite_at = now + EXPEDITE_INTERVAL;
            self.head_at = self.head_at.min(now + uniform(0.5, random));
        }
    }

    /// Returns whether a version hint may trigger gossip now.
    pub fn allow_hint(&mut self, now: Time) -> bool {
        Self::advance_if_due(&mut self.hint_at, now, HINT_INTERVAL)
    }

    /// Consumes one full configuration text from the budget; returns whether one was left.
    pub fn allow_text(&mut self, now: Time) -> bool {
        self.texts.take(TEXTS_PER_SECOND, now)
    }

    /// Consumes one response with member records from the budget; returns whether one was left.
    pub fn allow_records(&mut self, now: Time) -> bool {
        self.records.take(RECORD_RESPONSES_PER_SECOND, now)
    }
}

impl Bucket {
    fn take(&mut self, budget: u32, now: Time) -> bool {
        if now.since(self.window_start) >= Duration::from_secs(1) {
            (self.window_start, self.used) = (now, 0);
        }
        self.used += 1;
        self.used <= budget
    }
}
