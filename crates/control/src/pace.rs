use std::time::Duration;

use rand::Rng;
use types::Time;

/// When a process does the things that it does by itself, and how much it does for others.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// The next comparison with a peer.
    pub gossip_at: Time,
    /// The next read of the accepted version.
    pub head_at: Time,
    /// The next read of the host list.
    pub hosts_at: Time,
    /// The next read of the registered members.
    pub members_at: Time,
    /// The next attempt to register.
    pub register_at: Time,
    seeded: bool,
    started_until: Time,
    hurry_at: Time,
    hint_at: Time,
    texts: Bucket,
    answers: Bucket,
}

/// A budget that refills every second.
#[derive(Debug, Clone, Default)]
struct Bucket {
    since: Time,
    used: u32,
}

/// Reads of the accepted version by all processes together, in a second. The platform takes 2,000
/// reads/s; at 60 a change is noticed after 17 ms on average.
const HEADS_PER_SECOND: f64 = 60.0;
/// Reads of the host list by all processes together, in a second; the whole list is about 100 KB
/// at full size.
const HOSTS_PER_SECOND: f64 = 2.0;
/// The longest mean interval of both reads in a small deployment, in seconds. With jitter a lone
/// process reads at least every 1.5 s, half of what isolates it.
const SMALL_INTERVAL: f64 = 1.0;
/// The time within which a process without seeds starts to read and to register, in seconds.
const START: f64 = 0.1;
/// The time within which a process with seeds first reads the accepted version by itself, in
/// seconds: 3,330 processes that start together cause at most 555 reads/s.
const HEAD_START: f64 = 6.0;
/// The time within which a process with seeds registers, in seconds: 167 writes/s at full size of
/// the several hundred that the platform takes.
const REGISTER_START: f64 = 20.0;
/// After this time a registration without a result is tried again.
pub const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a process that may become isolated asks the platform.
const HURRY: Duration = Duration::from_secs(2);
/// How often a version seen on the request path may cause questions to peers.
const HINT: Duration = Duration::from_millis(500);
/// Whole configurations that a process sends in a second; a text is about 630 KB at full size.
const TEXTS_PER_SECOND: u32 = 4;
/// Answers with member records that a process sends in a second, each up to 16 KB.
const ANSWERS_PER_SECOND: u32 = 4;
/// How long a process that has started relies on its peers for the number of members.
const STARTING: Duration = Duration::from_secs(60);
/// No event is planned; a date that is never reached.
const NEVER: Time = Time(u64::MAX);

/// Returns the time until the next read of the accepted version.
pub fn head<Random>(size: usize, random: &mut Random) -> Duration
where
    Random: Rng,
{
    spread((size as f64 / HEADS_PER_SECOND).max(SMALL_INTERVAL), random)
}

/// Returns the time until the next read of the host list.
pub fn hosts<Random>(size: usize, random: &mut Random) -> Duration
where
    Random: Rng,
{
    spread((size as f64 / HOSTS_PER_SECOND).max(SMALL_INTERVAL), random)
}

/// Returns the time until the next read of the registered members. It is a safety net against
/// groups that do not know of each other, unless the process knows nobody.
pub fn members<Random>(size: usize, alone: bool, random: &mut Random) -> Duration
where
    Random: Rng,
{
    if alone {
        return spread(2.0, random);
    }
    spread((size as f64 * 5.0).max(30.0), random)
}

/// Returns the time until the next comparison with a peer.
pub fn gossip<Random>(urgent: bool, random: &mut Random) -> Duration
where
    Random: Rng,
{
    let mean = if urgent { 0.4 } else { 1.0 };
    Duration::from_secs_f64(mean * random.random_range(0.75..1.25))
}

/// Spreads a mean interval, so that processes that started together do not stay together.
fn spread<Random>(mean: f64, random: &mut Random) -> Duration
where
    Random: Rng,
{
    Duration::from_secs_f64(mean * random.random_range(0.5..1.5))
}

fn within<Random>(seconds: f64, random: &mut Random) -> Duration
where
    Random: Rng,
{
    Duration::from_secs_f64(seconds * random.random_range(0.0..1.0))
}

impl Schedule {
    /// Plans the start of a process; one with seeds leaves the platform to others at first.
    pub fn new<Random>(seeded: bool, now: Time, random: &mut Random) -> Self
    where
        Random: Rng,
    {
        let (head, register) = match seeded {
            true => (HEAD_START, REGISTER_START),
            false => (START, START),
        };
        Self {
            gossip_at: now + within(START, random),
            head_at: now + within(head, random),
            hosts_at: now + within(register, random),
            members_at: if seeded {
                now + spread(REGISTER_START, random)
            } else {
                NEVER
            },
            register_at: now + within(register, random),
            seeded,
            started_until: now + STARTING,
            hurry_at: now + HURRY,
            hint_at: now,
            texts: Bucket::default(),
            answers: Bucket::default(),
        }
    }

    /// Plans the work of a process that has been running for long among `size` others.
    pub fn settled<Random>(size: usize, now: Time, random: &mut Random) -> Self
    where
        Random: Rng,
    {
        let mut schedule = Self::new(true, now, random);
        // A process that is met at a random time is anywhere in its current interval.
        let interval = head(size, random).as_secs_f64();
        schedule.head_at = now + within(interval, random);
        let interval = hosts(size, random).as_secs_f64();
        schedule.hosts_at = now + within(interval, random);
        let interval = members(size, false, random).as_secs_f64();
        schedule.members_at = now + within(interval, random);
        schedule.gossip_at = now + within(1.0, random);
        schedule.register_at = NEVER;
        schedule.started_until = now;
        schedule
    }

    /// Says whether the process started lately, so that it may not know all members yet.
    #[must_use]
    pub fn is_starting(&self, now: Time) -> bool {
        now < self.started_until
    }

    /// Says whether `at` has come, and plans the next time then.
    pub fn due(at: &mut Time, now: Time, interval: Duration) -> bool {
        let due = *at <= now;
        if due {
            *at = now + interval;
        }
        due
    }

    /// Returns the first planned time.
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

    /// Plans what follows a registration. Of two processes without seeds the one that registers
    /// later finds the other when it reads the members afterwards, so neither stays alone.
    pub fn registered<Random>(&mut self, done: bool, now: Time, random: &mut Random)
    where
        Random: Rng,
    {
        if !done {
            self.register_at = now + spread(if self.seeded { 5.0 } else { 1.0 }, random);
            return;
        }
        self.register_at = NEVER;
        if !self.seeded {
            self.members_at = now;
        }
    }

    /// Plans a read of the accepted version soon, at most every 2 s.
    pub fn hurry<Random>(&mut self, now: Time, random: &mut Random)
    where
        Random: Rng,
    {
        if now >= self.hurry_at {
            self.hurry_at = now + HURRY;
            self.head_at = self.head_at.min(now + within(0.5, random));
        }
    }

    /// Says whether a version seen on the request path may cause questions now.
    pub fn may_hint(&mut self, now: Time) -> bool {
        Self::due(&mut self.hint_at, now, HINT)
    }

    /// Takes a whole configuration from the budget.
    pub fn may_send_text(&mut self, now: Time) -> bool {
        self.texts.take(TEXTS_PER_SECOND, now)
    }

    /// Takes an answer with member records from the budget.
    pub fn may_answer(&mut self, now: Time) -> bool {
        self.answers.take(ANSWERS_PER_SECOND, now)
    }
}

impl Bucket {
    fn take(&mut self, budget: u32, now: Time) -> bool {
        if now.since(self.since) >= Duration::from_secs(1) {
            (self.since, self.used) = (now, 0);
        }
        self.used += 1;
        self.used <= budget
    }
}
