//! A discrete-event simulation of many control nodes in virtual time, for tests, measurements and
//! embedders.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rules::Digest;
use types::{Host, Time, Version};

use crate::member::{Member, Record};
use crate::membership::Membership;
use crate::message::Message;
use crate::node::{Action, Event, Node};

/// Simulated processes, the network between them and a simulated platform.
#[derive(Debug)]
pub struct Network {
    /// The current network conditions; may be changed at any time.
    pub conditions: Conditions,
    /// The simulated platform.
    pub platform: Platform,
    now: Time,
    random: StdRng,
    message_size: fn(&Message) -> usize,
    processes: Vec<Process>,
    addresses: HashMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    scheduled: HashMap<u64, Scheduled>,
    sequence: u64,
    /// Outstanding requests: process index, start counter and request id.
    outstanding: HashSet<(usize, u64, u64)>,
    /// The requester that waits for the response under each token, in the same form.
    tokens: HashMap<u64, (usize, u64, u64)>,
}

/// Network conditions.
#[derive(Debug, Clone)]
pub struct Conditions {
    /// The one-way delay of messages between processes.
    pub delay: Duration,
    /// The response time of the platform.
    pub platform_delay: Duration,
    /// The maximum additional delay, drawn for each message and each platform response, so that
    /// they can be reordered.
    pub jitter: Duration,
    /// The fraction of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// The fraction of messages that are delivered twice, from 0 to 1.
    pub duplicates: f64,
}

/// The simulated platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// Whether the platform is unavailable.
    pub down: bool,
    /// The hosts that the platform lists as leaving.
    pub leaving: Vec<Host>,
    configs: BTreeMap<Version, (Digest, Arc<str>)>,
    members: BTreeMap<String, Member>,
}

/// Counters of the messages and platform requests of one process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Bytes of the messages sent, as measured by the function passed to [`Network::new`].
    pub sent: u64,
    /// Bytes of the messages received.
    pub received: u64,
    /// Reads of the accepted version.
    pub head_reads: u64,
    /// Reads of configuration texts from the object store.
    pub text_reads: u64,
    /// Reads of all registered members.
    pub member_reads: u64,
    /// Reads of the host list.
    pub host_reads: u64,
    /// Registrations.
    pub registrations: u64,
}

#[derive(Debug)]
struct Process {
    member: Member,
    seeds: Vec<SocketAddr>,
    node: Option<Node>,
    starts: u64,
    paused_until: Time,
    partition: u32,
    traffic: Traffic,
    /// The time of the scheduled tick, which keeps at most one useful tick per process in the
    /// queue.
    tick: Time,
}

#[derive(Debug, Clone)]
enum Scheduled {
    Tick(usize, u64),
    Event(usize, u64, Event),
    Reply(usize, u64, u64, Message),
    Timeout(usize, u64, u64),
}

/// Time after which a request to an unavailable platform fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

impl Default for Conditions {
    fn default() -> Self {
        Self {
            delay: Duration::from_micros(500),
            platform_delay: Duration::from_millis(5),
            jitter: Duration::ZERO,
            loss: 0.0,
            duplicates: 0.0,
        }
    }
}

impl Platform {
    /// Accepts rules as the next version and returns it.
    pub fn accept(&mut self, text: &str) -> Version {
        let version = Version(self.version().0 + 1);
        let digest = *blake3::hash(text.as_bytes()).as_bytes();
        self.configs.insert(version, (digest, text.into()));
        version
    }

    /// Returns the accepted version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.configs.keys().next_back().copied().unwrap_or_default()
    }

    /// Returns the text that was accepted as the given version.
    #[must_use]
    pub fn text(&self, version: Version) -> Option<&str> {
        self.configs.get(&version).map(|(_, text)| &**text)
    }

    fn answer(&mut self, action: &Action) -> Option<Event> {
        let up = !self.down;
        Some(match action {
            Action::ReadHead(sent_at) => {
                let head = self.configs.last_key_value();
                let head = head.map(|(version, (digest, _))| (*version, *digest));
                Event::Head(*sent_at, up.then(|| head.unwrap_or_default()))
            }
            Action::ReadText(version, digest) => {
                let text = self.configs.get(version).filter(|_| up);
                Event::Text(*version, *digest, text.map(|(_, text)| Arc::clone(text)))
            }
            Action::ReadMembers => {
                Event::Members(up.then(|| self.members.values().cloned().collect()))
            }
            Action::Register(member) => {
                if up {
                    self.members.insert(member.name.clone(), member.clone());
                }
                Event::Registered(up)
            }
            Action::ReadHosts => Event::Hosts(up.then(|| self.leaving.clone())),
            _ => return None,
        })
    }
}

impl Network {
    /// Creates a network without processes. `measure` returns the encoded size of a message, and
    /// `seed` determines all random choices.
    #[must_use]
    pub fn new(message_size: fn(&Message) -> usize, seed: u64) -> Self {
        Self {
            conditions: Conditions::default(),
            platform: Platform::default(),
            now: Time::default(),
            random: StdRng::seed_from_u64(seed),
            message_size,
            processes: Vec::new(),
            addresses: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            sequence: 0,
            outstanding: HashSet::new(),
            tokens: HashMap::new(),
        }
    }

    /// Starts a process that knows only its seeds; returns its index.
    pub fn add(&mut self, member: Member, seeds: Vec<SocketAddr>) -> usize {
        let index = self.processes.len();
        self.addresses.insert(member.address, index);
        self.processes.push(Process {
            member,
            seeds,
            node: None,
            starts: 0,
            paused_until: Time::default(),
            partition: 0,
            traffic: Traffic::default(),
            tick: Time::default(),
        });
        self.start(index);
        index
    }

    /// Puts all processes into the state that they reach after a long time without changes, in
    /// which they know each other and the accepted configuration. Measurements thus need no
    /// warm-up.
    pub fn converge(&mut self) {
        let records: Vec<Arc<Record>> = self
            .processes
            .iter()
            .map(|process| process.member.clone().into())
            .collect();
        let Some(first) = records.first() else {
            return;
        };
        let mut membership = Membership::new(Arc::clone(first));
        for record in &records {
            membership.merge(Arc::clone(record), self.now);
        }
        let configs = &self.platform.configs;
        let head = configs.last_key_value();
        for process in &mut self.processes {
            self.platform
                .members
                .insert(process.member.name.clone(), process.member.clone());
            let Some(node) = &mut process.node else {
                continue;
            };
            node.converge(
                membership.view_of(&process.member.name),
                self.now,
                &mut self.random,
            );
            if let Some((version, (digest, text))) = head {
                node.config.offer(*version, digest, text);
            }
        }
        for index in 0..self.processes.len() {
            self.processes[index].tick = Time::default();
            self.schedule_tick(index);
        }
    }

    /// Stops a process immediately; its state is lost.
    pub fn crash(&mut self, index: usize) {
        self.processes[index].node = None;
        self.processes[index].starts += 1;
    }

    /// Restarts a process with the next incarnation.
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        self.processes[index].member.incarnation.0 += 1;
        self.start(index);
    }

    /// Pauses a process for the given time; events for it are delayed until it resumes.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.processes[index].paused_until = self.now + duration;
    }

    /// Moves a process into a network partition. Partitions cannot reach each other, and only
    /// partition 0 reaches the platform.
    pub fn set_partition(&mut self, index: usize, partition: u32) {
        self.processes[index].partition = partition;
    }

    /// Passes an event observed on the request path to a process.
    pub fn inject(&mut self, index: usize, event: Event) {
        self.handle(index, event);
    }

    /// Runs all events that are due within `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Runs the next event that is due by `end`; returns whether there was one.
    pub fn step(&mut self, end: Time) -> bool {
        let Some(Reverse((at, sequence))) = self.queue.peek().copied() else {
            return false;
        };
        if at > end {
            return false;
        }
        self.queue.pop();
        self.now = at;
        let Some(scheduled) = self.scheduled.remove(&sequence) else {
            return true;
        };
        let (index, start) = match &scheduled {
            Scheduled::Tick(index, start)
            | Scheduled::Event(index, start, _)
            | Scheduled::Reply(index, start, ..)
            | Scheduled::Timeout(index, start, _) => (*index, *start),
        };
        let process = &self.processes[index];
        if process.starts != start || process.node.is_none() {
            return true;
        }
        if process.paused_until > self.now {
            self.schedule(process.paused_until, scheduled);
            return true;
        }
        self.dispatch(scheduled);
        true
    }

    /// Returns the current virtual time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.now
    }

    /// Returns the number of processes, including those that are not running.
    #[must_use]
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether the simulation has no processes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns the control node of a process, or `None` if the process is not running.
    #[must_use]
    pub fn node(&self, index: usize) -> Option<&Node> {
        self.processes[index].node.as_ref()
    }

    /// Returns the traffic counters of a process.
    #[must_use]
    pub fn traffic(&self, index: usize) -> Traffic {
        self.processes[index].traffic
    }

    /// Returns the set of versions in force at the running processes.
    #[must_use]
    pub fn versions(&self) -> BTreeSet<Version> {
        let nodes = self
            .processes
            .iter()
            .filter_map(|process| process.node.as_ref());
        nodes.map(|node| node.rules().version).collect()
    }

    fn start(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let node = Node::new(
            process.member.clone(),
            process.seeds.clone(),
            self.now,
            &mut self.random,
        );
        process.node = Some(node);
        process.tick = Time::default();
        self.schedule_tick(index);
    }

    fn schedule(&mut self, at: Time, scheduled: Scheduled) {
        self.sequence += 1;
        self.scheduled.insert(self.sequence, scheduled);
        self.queue.push(Reverse((at, self.sequence)));
    }

    fn schedule_tick(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let Some(next) = process.node.as_ref().map(Node::next_tick) else {
            return;
        };
        let scheduled = process.tick > self.now && process.tick <= next;
        if !scheduled {
            process.tick = next.max(self.now);
            let (at, start) = (process.tick, process.starts);
            self.schedule(at, Scheduled::Tick(index, start));
        }
    }

    fn dispatch(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Tick(index, _) => {
                // An earlier tick may have been scheduled since; a superfluous tick has no effect.
                self.handle(index, Event::Tick);
            }
            Scheduled::Event(index, _, event) => {
                if let Event::Request(_, message) = &event {
                    self.processes[index].traffic.received += (self.message_size)(message) as u64;
                }
                self.handle(index, event);
            }
            Scheduled::Reply(index, start, id, message) => {
                self.processes[index].traffic.received += (self.message_size)(&message) as u64;
                if self.outstanding.remove(&(index, start, id)) {
                    self.handle(index, Event::Reply(id, message));
                }
            }
            Scheduled::Timeout(index, start, id) => {
                if self.outstanding.remove(&(index, start, id)) {
                    self.handle(index, Event::Failed(id));
                }
            }
        }
    }

    fn handle(&mut self, index: usize, event: Event) {
        let Some(node) = &mut self.processes[index].node else {
            return;
        };
        let actions = node.handle(event, self.now, &mut self.random);
        for action in actions {
            self.perform(index, &action);
        }
        self.schedule_tick(index);
    }

    fn perform(&mut self, index: usize, action: &Action) {
        let process = &mut self.processes[index];
        let (start, partition) = (process.starts, process.partition);
        let traffic = &mut process.traffic;
        match action {
            Action::Send(id, address, message) => {
                let size = (self.message_size)(message) as u64;
                traffic.messages += 1;
                traffic.sent += size;
                self.outstanding.insert((index, start, *id));
                let timeout = Scheduled::Timeout(index, start, *id);
                self.schedule(self.now + message.timeout(), timeout);
                let Some(&to) = self.addresses.get(address) else {
                    return;
                };
                let message = message.clone();
                for _ in 0..self.copies(partition, to) {
                    self.sequence += 1;
                    let token = self.sequence;
                    self.tokens.insert(token, (index, start, *id));
                    let event = Event::Request(token, message.clone());
                    let at = self.now + self.conditions.delay + self.jitter();
                    self.schedule(at, Scheduled::Event(to, self.processes[to].starts, event));
                }
                return;
            }
            Action::Reply(token, message) => {
                let size = (self.message_size)(message) as u64;
                traffic.messages += 1;
                traffic.sent += size;
                if let Some((to, start, id)) = self.tokens.remove(token) {
                    for _ in 0..self.copies(partition, to) {
                        let reply = Scheduled::Reply(to, start, id, message.clone());
                        let at = self.now + self.conditions.delay + self.jitter();
                        self.schedule(at, reply);
                    }
                }
                return;
            }
            Action::ReadHead(_) => traffic.head_reads += 1,
            Action::ReadText(..) => traffic.text_reads += 1,
            Action::ReadMembers => traffic.member_reads += 1,
            Action::ReadHosts => traffic.host_reads += 1,
            Action::Register(_) => traffic.registrations += 1,
            Action::Adopt(_) | Action::Publish => return,
        }
        let down = self.platform.down;
        self.platform.down |= partition != 0;
        let delay = match self.platform.down {
            true => PLATFORM_TIMEOUT,
            false => self.conditions.platform_delay + self.jitter(),
        };
        if let Some(event) = self.platform.answer(action) {
            self.schedule(self.now + delay, Scheduled::Event(index, start, event));
        }
        self.platform.down = down;
    }

    fn jitter(&mut self) -> Duration {
        self.conditions.jitter.mul_f64(self.random.random())
    }

    /// Returns how many copies of a message are delivered.
    fn copies(&mut self, partition: u32, to: usize) -> usize {
        if self.processes[to].partition != partition
            || self.random.random_bool(self.conditions.loss)
        {
            return 0;
        }
        1 + usize::from(self.random.random_bool(self.conditions.duplicates))
    }
}
