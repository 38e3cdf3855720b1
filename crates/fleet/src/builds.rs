//! Software builds of the targets of a service, and the build that began each stream.
//!
//! A stream may be resumed only at the build that began it, and targets do not check this. See
//! `docs/design/builds.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use types::{Build, Service, Time};

/// Identifies a stream by the team of its caller and the request that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Stream(pub [u8; 16]);

/// The builds by service, as entries record them in the table store.
pub type Recorded = BTreeMap<Service, BTreeSet<Build>>;

/// The builds that have served each service lately.
#[derive(Debug, Default)]
pub struct History {
    /// For each build, when it was last known to serve; `None` if it serves.
    services: HashMap<Service, HashMap<Build, Option<Time>>>,
    /// From when on the history is complete.
    complete_from: Option<Time>,
}

/// What is known of the build that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This build began it.
    Known(Build),
    /// One of several builds began it.
    Unknown,
}

/// What an entry does about the row of the recorded builds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing.
    Keep,
    /// Replaces the row by these builds.
    Write(Recorded),
}

/// The builds that began recent streams.
#[derive(Debug, Default)]
pub struct Log {
    builds: HashMap<Stream, Began>,
    /// The streams in the order in which they were added.
    order: VecDeque<Stream>,
}

/// How a stream began.
#[derive(Debug)]
struct Began {
    build: Build,
    at: Time,
    /// Whether it began at this entry.
    is_own: bool,
}

/// What an entry knows of builds.
#[derive(Debug, Default)]
pub struct Register {
    /// The builds that have served each service lately.
    pub history: History,
    /// The builds that began recent streams.
    pub log: Log,
    /// The generation of the roster that the history was last compared with.
    pub generation: Option<u64>,
}

/// How long after the table store last confirmed the list no other build is presumed. A call for
/// changes is held for two seconds if there are none.
const MAX_LIST_AGE: Duration = Duration::from_millis(2500);
/// The maximum number of streams in a log. The oldest one is dropped for a new one.
pub const MAX_STREAMS: usize = 20_000;
/// The maximum number of recorded builds of a service.
const MAX_BUILDS: usize = 64;

impl History {
    /// Records which builds the targets in the list have, by service. Returns whether one of them
    /// was not known to have served lately.
    pub fn on_listed<'list>(
        &mut self,
        listed: impl IntoIterator<Item = (&'list Service, &'list Build)>,
        now: Time,
    ) -> bool {
        let mut serving: HashMap<&Service, BTreeSet<&Build>> = HashMap::new();
        for (service, build) in listed {
            serving.entry(service).or_default().insert(build);
        }
        let mut is_new = false;
        for (service, builds) in &mut self.services {
            let serving = serving.get(service);
            for (build, gone_since) in builds {
                let serves = serving.is_some_and(|serving| serving.contains(build));
                if gone_since.is_none() && !serves {
                    *gone_since = Some(now);
                }
            }
        }
        for (service, serving) in serving {
            let builds = self.services.entry(service.clone()).or_default();
            for build in serving {
                is_new |= builds.insert(build.clone(), None).is_none();
            }
        }
        is_new
    }

    /// Records that a target has begun or resumed a stream, which may have left the list before.
    pub fn on_begun(&mut self, service: &Service, build: &Build, now: Time) {
        let builds = self.services.entry(service.clone()).or_default();
        let gone_since = builds.entry(build.clone()).or_insert(Some(now));
        if let Some(gone_since) = gone_since {
            *gone_since = now;
        }
    }

    /// Takes over the builds that entries have recorded. Those that are not listed may have left
    /// just before. Without a row nothing is known of builds that have left, so the history is
    /// complete after the window, or at once if there can have been none.
    pub fn on_recorded(
        &mut self,
        recorded: Option<&Recorded>,
        is_first_start: bool,
        window: Duration,
        now: Time,
    ) {
        for (service, builds) in recorded.into_iter().flatten() {
            let known = self.services.entry(service.clone()).or_default();
            for build in builds {
                known.entry(build.clone()).or_insert(Some(now));
            }
        }
        let complete_from = match recorded.is_some() || is_first_start {
            true => now,
            false => now + window,
        };
        self.complete_from.get_or_insert(complete_from);
    }

    /// Forgets builds that have not served within the window.
    pub fn expire(&mut self, window: Duration, now: Time) {
        for builds in self.services.values_mut() {
            builds.retain(|_, gone_since| gone_since.is_none_or(|at| now.since(at) < window));
        }
        self.services.retain(|_, builds| !builds.is_empty());
    }

    /// Returns whether a stream of a service that is taken up may have begun at several builds.
    #[must_use]
    pub fn is_mixed(&self, service: &Service, now: Time) -> bool {
        let is_complete = self.complete_from.is_some_and(|from| now >= from);
        let builds = self.services.get(service).map_or(0, HashMap::len);
        builds > 1 || !is_complete
    }

    /// Returns the build of a stream of which nothing is remembered. `confirmed_at` is when the
    /// table store last confirmed the list; another build may have appeared since.
    #[must_use]
    pub fn origin(&self, service: &Service, confirmed_at: Option<Time>, now: Time) -> Origin {
        let is_current = confirmed_at.is_some_and(|at| now.since(at) < MAX_LIST_AGE);
        if !is_current || self.is_mixed(service, now) {
            return Origin::Unknown;
        }
        let builds = self.services.get(service);
        let only = builds.and_then(|builds| builds.keys().next());
        only.map_or(Origin::Unknown, |only| Origin::Known(only.clone()))
    }

    /// Returns what an entry does that has read this row. Builds that have left stay recorded until
    /// the window is over, since an entry that starts then must know of them. Only an entry whose
    /// history covers the window `removes` others.
    #[must_use]
    pub fn record(&self, recorded: Option<&Recorded>, removes: bool) -> Step {
        let known = self.services.iter().map(|(service, builds)| {
            let builds = builds.keys().take(MAX_BUILDS).cloned();
            (service.clone(), builds.collect::<BTreeSet<_>>())
        });
        let mut wanted: Recorded = known.collect();
        if !removes {
            for (service, builds) in recorded.into_iter().flatten() {
                wanted
                    .entry(service.clone())
                    .or_default()
                    .extend(builds.iter().cloned());
            }
        }
        match recorded.is_some_and(|recorded| *recorded == wanted) {
            true => Step::Keep,
            false => Step::Write(wanted),
        }
    }
}

impl Log {
    /// Records the build of a stream that began at another entry; the first record counts.
    pub fn add(&mut self, stream: Stream, build: &Build, now: Time) {
        self.insert(stream, build, now, false);
    }

    /// Records the build of a stream that began at this entry; the first record counts. Returns
    /// whether others are to be told.
    pub fn add_own(&mut self, stream: Stream, build: &Build, now: Time) -> bool {
        self.insert(stream, build, now, true)
    }

    /// Returns whether the stream was not recorded before.
    fn insert(&mut self, stream: Stream, build: &Build, at: Time, is_own: bool) -> bool {
        if self.builds.contains_key(&stream) {
            return false;
        }
        while self.order.len() >= MAX_STREAMS {
            if let Some(oldest) = self.order.pop_front() {
                self.builds.remove(&oldest);
            }
        }
        let build = build.clone();
        self.builds.insert(stream, Began { build, at, is_own });
        self.order.push_back(stream);
        true
    }

    /// Returns the build that began a stream.
    #[must_use]
    pub fn get(&self, stream: &Stream) -> Option<&Build> {
        self.builds.get(stream).map(|began| &began.build)
    }

    /// Forgets streams that began before the window.
    pub fn expire(&mut self, window: Duration, now: Time) {
        while let Some(oldest) = self.order.front() {
            let is_recent = |began: &Began| now.since(began.at) < window;
            if self.builds.get(oldest).is_some_and(is_recent) {
                return;
            }
            self.builds.remove(oldest);
            self.order.pop_front();
        }
    }

    /// Returns all streams of this entry with their builds, the oldest first.
    pub fn own(&self) -> impl Iterator<Item = (Stream, &Build)> {
        let streams = self.order.iter();
        streams.filter_map(|stream| {
            let began = self.builds.get(stream)?;
            began.is_own.then_some((*stream, &began.build))
        })
    }
}
