use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rules::{Digest, Snapshot};
use types::{Host, Time, Version};

use crate::config::Config;
use crate::freshness::Freshness;
use crate::member::{Directory, Member, Record};
use crate::message::{Gossip, Message, Stamp};
use crate::pace::{self, Schedule};
use crate::roster::Roster;
use crate::suspicion::Suspicion;

/// The control part of one process: it spreads the configuration and the membership.
///
/// It does no I/O. [`Node::handle`] takes what happened and returns what to do next; see
/// `docs/control.md`.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) roster: Roster,
    pub(crate) fresh: Freshness,
    pub(crate) schedule: Schedule,
    pub(crate) suspicion: Suspicion,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) leaving: (Stamp, Vec<Host>),
    /// Peers that hold something greater, the latest last.
    pub(crate) offers: Vec<(Version, Stamp, SocketAddr)>,
    /// Whether an answer to [`Message::Fetch`] is awaited.
    pub(crate) fetching: bool,
    /// Whether a text from the object store is awaited.
    pub(crate) reading: bool,
    /// Whether the last delta could not be used.
    pub(crate) whole: bool,
    /// Comparisons in a row in which the member digests differed.
    pub(crate) unequal: u32,
    address: SocketAddr,
    /// Questions whose answer is awaited, with the time at which each was asked.
    pending: BTreeMap<u64, (Purpose, Time)>,
    next_id: u64,
    expired: Time,
    /// The greatest number of members that a peer knew.
    pub(crate) heard_size: usize,
}

/// Why a request to a peer was sent.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    Gossip(SocketAddr),
    Fetch(SocketAddr),
    Compare(SocketAddr),
    /// Another process asked, and waits for the answer under this token.
    Relay(u64),
    /// This process asked a peer to probe the named member; the flag says whether the peer is in
    /// the member's region.
    Probe(String, bool),
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// [`Node::next_tick`] has come.
    Tick,
    /// A peer asked something; the answer is [`Action::Reply`] with the same token.
    Request(u64, Message),
    /// A peer answered an [`Action::Send`].
    Reply(u64, Message),
    /// An [`Action::Send`] found no peer or no answer in time.
    Failed(u64),
    /// The accepted configuration by the platform, or `None` when the platform did not answer; the
    /// time is that of the [`Action::ReadHead`].
    Head(Time, Option<(Version, Digest)>),
    /// The text of an accepted configuration, or `None` when it could not be read.
    Text(Version, Digest, Option<Arc<str>>),
    /// The registered members, or `None` when the platform did not answer.
    Members(Option<Vec<Member>>),
    /// Whether the process was registered.
    Registered(bool),
    /// The leaving hosts by the platform, or `None` when the platform did not answer.
    Hosts(Option<Vec<Host>>),
    /// A peer showed on the request path that it has another version.
    Hint(Version),
    /// The request path found no way to the named member.
    Unreachable(String),
}

/// What to do next.
#[derive(Debug, Clone)]
pub enum Action {
    /// Ask the process at an address; [`Event::Reply`] or [`Event::Failed`] follows within
    /// [`Message::timeout`].
    Send(u64, SocketAddr, Message),
    /// Answer the request with this token.
    Reply(u64, Message),
    /// Read which configuration is accepted; the time goes into [`Event::Head`].
    ReadHead(Time),
    /// Read the text of an accepted configuration.
    ReadText(Version, Digest),
    /// Read the registered members.
    ReadMembers,
    /// Write the row of this process.
    Register(Member),
    /// Read the platform's host list.
    ReadHosts,
    /// Put these rules in force.
    Adopt(Arc<Snapshot>),
    /// Show the request path the members and the leaving hosts anew.
    Publish,
}

/// Peers that a newly learned configuration is pushed to. With 4, about 2% of the processes are
/// missed by all pushes; the comparisons reach those within the next second.
const FANOUT: usize = 4;
/// Seeds that a process asks in one round while it starts.
const SEEDS_PER_ROUND: usize = 5;

impl Node {
    /// Makes a node that has just started.
    #[must_use]
    pub fn new<Random>(
        member: Member,
        mut seeds: Vec<SocketAddr>,
        now: Time,
        random: &mut Random,
    ) -> Self
    where
        Random: Rng,
    {
        let address = member.address;
        seeds.retain(|seed| *seed != address);
        let record: Arc<Record> = member.into();
        let mut roster = Roster::new(Arc::clone(&record));
        roster.spread(record);
        Self {
            config: Config::default(),
            roster,
            fresh: Freshness::default(),
            schedule: Schedule::new(!seeds.is_empty(), now, random),
            suspicion: Suspicion::default(),
            seeds,
            leaving: (Stamp::default(), Vec::new()),
            offers: Vec::new(),
            fetching: false,
            reading: false,
            whole: false,
            unequal: 0,
            address,
            pending: BTreeMap::new(),
            next_id: 0,
            expired: now,
            heard_size: 0,
        }
    }

    /// Takes what happened and returns what to do next.
    pub fn handle<Random>(&mut self, event: Event, now: Time, random: &mut Random) -> Vec<Action>
    where
        Random: Rng,
    {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, random, &mut out),
            Event::Request(token, message) => self.serve(token, message, now, random, &mut out),
            Event::Reply(id, message) => {
                if let Some((purpose, sent)) = self.pending.remove(&id) {
                    self.fresh.hear(sent);
                    self.reply(purpose, message, now, random, &mut out);
                }
            }
            Event::Failed(id) => {
                if let Some((purpose, _)) = self.pending.remove(&id) {
                    self.fail(purpose, now, random, &mut out);
                }
            }
            Event::Head(asked, head) => {
                if head.is_some() {
                    self.fresh.hear(asked);
                }
                self.head(head, &mut out);
            }
            Event::Text(version, digest, text) => {
                self.reading = false;
                if let Some(text) = text {
                    let offer = self.config.offer(version, &digest, &text);
                    if self.adopt(offer, &mut out) {
                        self.push(now, random, &mut out);
                    }
                }
            }
            Event::Members(members) => {
                for member in members.into_iter().flatten() {
                    self.learn(member.into(), false, now, &mut out);
                }
            }
            Event::Registered(done) => self.schedule.registered(done, now, random),
            Event::Hosts(hosts) => {
                if let Some(hosts) = hosts {
                    self.list_hosts(hosts, now, random, &mut out);
                }
            }
            Event::Hint(version) => self.hint(version, now, random, &mut out),
            Event::Unreachable(name) => self.doubt(&name, true, now, random, &mut out),
        }
        if self.fresh.settle(self.config.version(), self.seeds.len()) {
            // Others that start wait for a ready peer, and need not ask the platform then.
            self.push(now, random, &mut out);
            let interval = pace::head(self.expected_size(now), random);
            self.schedule.head_at = self.schedule.head_at.max(now + interval);
        }
        let published = out.iter().any(|action| matches!(action, Action::Publish));
        out.retain(|action| !matches!(action, Action::Publish));
        out.extend(published.then_some(Action::Publish));
        out
    }

    /// Makes the state that a node reaches after a long time without changes.
    pub(crate) fn settle<Random>(&mut self, roster: Roster, now: Time, random: &mut Random)
    where
        Random: Rng,
    {
        self.roster = roster;
        self.schedule = Schedule::settled(self.roster.len(), now, random);
        self.fresh.hear(now);
        self.fresh.hear_platform();
        self.fresh.settle(Version::default(), 0);
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        self.schedule.next()
    }

    /// Returns the rules in force.
    #[must_use]
    pub fn rules(&self) -> &Arc<Snapshot> {
        self.config.current()
    }

    /// Says whether the process has learned the configuration since its start.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.fresh.is_ready()
    }

    /// Says whether the process has heard from nobody for too long and must refuse new work.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        self.fresh.is_isolated(now)
    }

    /// Returns when the process last heard from the platform or a peer.
    #[must_use]
    pub fn last_contact(&self) -> Option<Time> {
        self.fresh.heard()
    }

    /// Returns the known members, and which of them work is kept from.
    #[must_use]
    pub fn directory(&self, now: Time) -> Directory {
        let mut directory = Directory::default();
        for record in self.roster.iter() {
            if self.suspicion.is_avoided(&record.member.name, now) {
                directory.avoid(&record.member.name);
            }
            directory.insert(Arc::clone(record));
        }
        directory
    }

    /// Returns the hosts that the platform is about to take away.
    #[must_use]
    pub fn leaving(&self) -> &[Host] {
        &self.leaving.1
    }

    /// Returns the number of known processes, this one among them.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.roster.len()
    }

    /// Says whether the named member is suspected by several processes.
    #[must_use]
    pub fn is_suspected(&self, name: &str) -> bool {
        self.roster.get(name).is_some_and(|record| record.suspect)
    }

    /// Returns the number of processes that share the reads of the platform. A process that has just
    /// started knows few members itself, but its seeds have heard from all others.
    fn expected_size(&self, now: Time) -> usize {
        match self.schedule.is_starting(now) {
            true => self.roster.len().max(self.heard_size),
            false => self.roster.len(),
        }
    }

    fn tick<Random>(&mut self, now: Time, random: &mut Random, out: &mut Vec<Action>)
    where
        Random: Rng,
    {
        let size = self.expected_size(now);
        let interval = pace::head(size, random);
        if Schedule::due(&mut self.schedule.head_at, now, interval) {
            out.push(Action::ReadHead(now));
        }
        if Schedule::due(&mut self.schedule.hosts_at, now, pace::hosts(size, random)) {
            out.push(Action::ReadHosts);
        }
        if Schedule::due(&mut self.schedule.register_at, now, pace::REGISTER_TIMEOUT)
            && let Some(me) = self.roster.me()
        {
            out.push(Action::Register(me.member.clone()));
        }
        let alone = self.roster.is_alone();
        let interval = pace::members(size, alone, random);
        if Schedule::due(&mut self.schedule.members_at, now, interval) {
            out.push(Action::ReadMembers);
        }
        // A process that learned the configuration from the platform first still needs its seeds.
        let urgent = !self.fresh.is_ready() || self.fresh.is_fading(now) || alone;
        let interval = pace::gossip(urgent, random);
        if Schedule::due(&mut self.schedule.gossip_at, now, interval) {
            self.round(urgent, now, random, out);
            if self.fresh.is_fading(now) {
                self.schedule.hurry(now, random);
            }
            if self.suspicion.expire(self.expired, now) | self.roster.forget(now) {
                out.push(Action::Publish);
            }
            self.expired = now;
        }
    }

    /// Compares versions with a random peer; an unready or fading process asks its seeds as well.
    fn round<Random>(&mut self, urgent: bool, now: Time, random: &mut Random, out: &mut Vec<Action>)
    where
        Random: Rng,
    {
        /// Every how many rounds a suspected member is asked instead, so that parts that were cut
        /// off from each other find together again.
        const SUSPECT_ROUNDS: u32 = 16;
        let suspect = match random.random_range(0..SUSPECT_ROUNDS) {
            0 => self.roster.draw_suspect(random),
            _ => None,
        };
        let peer = suspect.or_else(|| self.roster.draw(random, |record| !record.suspect));
        let mut peers: Vec<SocketAddr> = peer
            .map(|record| record.member.address)
            .into_iter()
            .collect();
        if urgent && !self.seeds.is_empty() {
            let start = random.random_range(0..self.seeds.len());
            let seeds = self.seeds.iter().cycle().skip(start);
            peers.extend(seeds.take(SEEDS_PER_ROUND.min(self.seeds.len())));
        }
        for peer in peers {
            self.gossip(peer, now, out);
        }
    }

    pub(crate) fn gossip(&mut self, peer: SocketAddr, now: Time, out: &mut Vec<Action>) {
        let gossip = self.summary(Some(peer));
        self.send(
            peer,
            Message::Gossip(gossip),
            Purpose::Gossip(peer),
            now,
            out,
        );
    }

    /// Tells random peers of something new, at once.
    pub(crate) fn push<Random>(&mut self, now: Time, random: &mut Random, out: &mut Vec<Action>)
    where
        Random: Rng,
    {
        for _ in 0..FANOUT {
            let peer = self.roster.draw(random, |record| !record.suspect);
            if let Some(address) = peer.map(|record| record.member.address) {
                self.gossip(address, now, out);
            }
        }
    }

    pub(crate) fn summary(&mut self, peer: Option<SocketAddr>) -> Gossip {
        let mut records = self.roster.rumours();
        let suspect = peer.filter(|_| self.roster.has_suspects());
        let suspect = suspect.and_then(|peer| self.roster.at(peer));
        // A suspected peer has to see the suspicion to be able to refute it.
        records.extend(suspect.filter(|record| record.suspect).cloned());
        Gossip {
            from: self.address,
            ready: self.fresh.is_ready(),
            version: self.config.version(),
            hosts: self.leaving.0,
            size: self.roster.len() as u32,
            members: self.roster.digest(),
            records,
        }
    }

    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        why: Purpose,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, (why, now));
        out.push(Action::Send(id, to, message));
    }
}
