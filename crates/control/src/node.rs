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

/// The control state machine of one process: disseminates configuration and membership.
///
/// It performs no I/O. [`Node::handle`] takes an event and returns the actions to perform; see
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
    /// Peers that reported newer state, most recent last.
    pub(crate) offers: Vec<(Version, Stamp, SocketAddr)>,
    /// Whether a [`Message::Fetch`] is outstanding.
    pub(crate) fetching: bool,
    /// Whether a read of a configuration text from the object store is outstanding.
    pub(crate) reading: bool,
    /// Whether the last delta failed to apply, so that the full text must be requested.
    pub(crate) whole: bool,
    /// Consecutive gossip exchanges in which the membership digests differed.
    pub(crate) unequal: u32,
    address: SocketAddr,
    /// Outstanding requests by id, with the time at which each was sent.
    pending: BTreeMap<u64, (Purpose, Time)>,
    next_id: u64,
    expired: Time,
    /// The largest membership size that any peer has reported.
    pub(crate) heard_size: usize,
}

/// The reason for an outstanding request to a peer.
#[derive(Debug, Clone)]
pub(crate) enum Purpose {
    Gossip(SocketAddr),
    Fetch(SocketAddr),
    Compare(SocketAddr),
    /// A probe on behalf of another process, which waits for the reply under this token.
    Relay(u64),
    /// A peer was asked to probe the named member; the flag says whether the peer is in the
    /// member's region.
    Probe(String, bool),
}

/// An input to [`Node::handle`].
#[derive(Debug, Clone)]
pub enum Event {
    /// The time returned by [`Node::next_tick`] has been reached.
    Tick,
    /// A peer sent a request; the response is an [`Action::Reply`] with the same token.
    Request(u64, Message),
    /// A peer replied to an [`Action::Send`].
    Reply(u64, Message),
    /// An [`Action::Send`] failed: the peer was unreachable or did not reply in time.
    Failed(u64),
    /// The accepted configuration as reported by the platform, or `None` if the platform did not
    /// respond; the time is that of the [`Action::ReadHead`].
    Head(Time, Option<(Version, Digest)>),
    /// The text of an accepted configuration, or `None` if it could not be read.
    Text(Version, Digest, Option<Arc<str>>),
    /// The registered members, or `None` if the platform did not respond.
    Members(Option<Vec<Member>>),
    /// Whether registering this process succeeded.
    Registered(bool),
    /// The leaving hosts as reported by the platform, or `None` if the platform did not respond.
    Hosts(Option<Vec<Host>>),
    /// A message on the request path carried a different configuration version.
    Hint(Version),
    /// The request path could not reach the named member.
    Unreachable(String),
}

/// An output of [`Node::handle`], to be performed by the caller.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a request to the process at this address; [`Event::Reply`] or [`Event::Failed`] follows
    /// within [`Message::timeout`].
    Send(u64, SocketAddr, Message),
    /// Reply to the request with this token.
    Reply(u64, Message),
    /// Read the accepted version and digest; the time is passed back in [`Event::Head`].
    ReadHead(Time),
    /// Read the text of an accepted configuration.
    ReadText(Version, Digest),
    /// Read the registered members.
    ReadMembers,
    /// Write the membership row of this process.
    Register(Member),
    /// Read the host list from the platform.
    ReadHosts,
    /// Put this snapshot of the rules in force.
    Adopt(Arc<Snapshot>),
    /// Publish the updated membership and leaving hosts to the request path.
    Publish,
}

/// Number of peers to which a new configuration is pushed immediately. With 4, about 2% of the
/// processes are missed by all pushes; periodic gossip reaches those within the next second.
const FANOUT: usize = 4;
/// Number of seeds contacted per gossip round during startup.
const SEEDS_PER_ROUND: usize = 5;

impl Node {
    /// Creates the state machine of a process that has just started.
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

    /// Processes an event and returns the resulting actions.
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
            // Announcing readiness lets other starting processes become ready from this one instead
            // of reading from the platform.
            self.push(now, random, &mut out);
            let interval = pace::head(self.expected_size(now), random);
            self.schedule.head_at = self.schedule.head_at.max(now + interval);
        }
        let published = out.iter().any(|action| matches!(action, Action::Publish));
        out.retain(|action| !matches!(action, Action::Publish));
        out.extend(published.then_some(Action::Publish));
        out
    }

    /// Sets the state that a node reaches after a long time without changes.
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

    /// Returns the time at which the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self) -> Time {
        self.schedule.next()
    }

    /// Returns the snapshot of the rules in force.
    #[must_use]
    pub fn rules(&self) -> &Arc<Snapshot> {
        self.config.current()
    }

    /// Returns whether the process has received a current configuration since it started.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.fresh.is_ready()
    }

    /// Returns whether the process has had no contact with the platform or any peer for too long
    /// and must refuse new work.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        self.fresh.is_isolated(now)
    }

    /// Returns the time of the last successful contact with the platform or a peer.
    #[must_use]
    pub fn last_contact(&self) -> Option<Time> {
        self.fresh.heard()
    }

    /// Returns the known members, with those currently excluded from routing marked as avoided.
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

    /// Returns the hosts that the platform is about to remove.
    #[must_use]
    pub fn leaving(&self) -> &[Host] {
        &self.leaving.1
    }

    /// Returns the number of known members, including this process.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.roster.len()
    }

    /// Returns whether the named member is suspected by several processes.
    #[must_use]
    pub fn is_suspected(&self, name: &str) -> bool {
        self.roster.get(name).is_some_and(|record| record.suspect)
    }

    /// Returns the number of processes that share the read load on the platform. A process that has
    /// just started knows few members itself, so it uses the membership size reported by its seeds.
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
        // A process that became ready through the platform while it knows no live peer still has to
        // contact its seeds.
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

    /// Starts gossip exchanges with a random peer and, if `urgent`, with some of the seeds.
    fn round<Random>(&mut self, urgent: bool, now: Time, random: &mut Random, out: &mut Vec<Action>)
    where
        Random: Rng,
    {
        /// On average one round in this many contacts a suspected member instead, so that the sides
        /// of a healed partition merge again.
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

    /// Sends gossip to [`FANOUT`] random peers immediately after a local change.
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
        // The peer can only refute a suspicion that it receives.
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
