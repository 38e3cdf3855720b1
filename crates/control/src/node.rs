use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rules::{Digest, Snapshot};
use types::{Host, Time, Version};

use crate::config::Config;
use crate::member::{Directory, Member, Record};
use crate::membership::Membership;
use crate::message::{Gossip, Message, Stamp};
use crate::readiness::Readiness;
use crate::schedule::{self, Schedule};
use crate::suspicion::Suspicion;

/// The control state machine of one process: disseminates configuration and membership.
///
/// It performs no I/O. [`Node::handle`] takes an event and returns the actions to perform; see
/// `docs/control.md`.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) config: Config,
    pub(crate) membership: Membership,
    pub(crate) readiness: Readiness,
    pub(crate) schedule: Schedule,
    pub(crate) suspicion: Suspicion,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) leaving: (Stamp, Vec<Host>),
    /// Peers that reported newer state, most recent last.
    pub(crate) sources: Vec<(Version, Stamp, SocketAddr)>,
    /// Whether a [`Message::Fetch`] is outstanding.
    pub(crate) fetching: bool,
    /// Whether a read of a configuration text from the object store is outstanding.
    pub(crate) reading_text: bool,
    /// Whether the last delta failed to apply, so that the full text must be requested.
    pub(crate) needs_full_text: bool,
    /// Consecutive gossip exchanges in which the membership digests differed.
    pub(crate) digest_mismatches: u32,
    address: SocketAddr,
    /// Outstanding requests by id, with the time at which each was sent.
    pending: BTreeMap<u64, (Purpose, Time)>,
    next_id: u64,
    last_expiry: Time,
    /// The largest membership size that any peer has reported.
    pub(crate) reported_size: usize,
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
        let mut membership = Membership::new(Arc::clone(&record));
        membership.disseminate(record);
        Self {
            config: Config::default(),
            membership,
            readiness: Readiness::default(),
            schedule: Schedule::new(!seeds.is_empty(), now, random),
            suspicion: Suspicion::default(),
            seeds,
            leaving: (Stamp::default(), Vec::new()),
            sources: Vec::new(),
            fetching: false,
            reading_text: false,
            needs_full_text: false,
            digest_mismatches: 0,
            address,
            pending: BTreeMap::new(),
            next_id: 0,
            last_expiry: now,
            reported_size: 0,
        }
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle<Random>(&mut self, event: Event, now: Time, random: &mut Random) -> Vec<Action>
    where
        Random: Rng,
    {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.on_tick(now, random, &mut out),
            Event::Request(token, message) => self.respond(token, message, now, random, &mut out),
            Event::Reply(id, message) => {
                if let Some((purpose, sent)) = self.pending.remove(&id) {
                    self.readiness.on_response(sent);
                    self.on_reply(purpose, message, now, random, &mut out);
                }
            }
            Event::Failed(id) => {
                if let Some((purpose, _)) = self.pending.remove(&id) {
                    self.on_failure(purpose, now, random, &mut out);
                }
            }
            Event::Head(sent_at, head) => {
                if head.is_some() {
                    self.readiness.on_response(sent_at);
                }
                self.on_head(head, &mut out);
            }
            Event::Text(version, digest, text) => {
                self.reading_text = false;
                if let Some(text) = text {
                    let adoption = self.config.offer(version, &digest, &text);
                    if self.on_adoption(adoption, &mut out) {
                        self.push_gossip(now, random, &mut out);
                    }
                }
            }
            Event::Members(members) => {
                for member in members.into_iter().flatten() {
                    self.merge_record(member.into(), false, now, &mut out);
                }
            }
            Event::Registered(done) => self.schedule.on_registered(done, now, random),
            Event::Hosts(hosts) => {
                if let Some(hosts) = hosts {
                    self.on_hosts(hosts, now, random, &mut out);
                }
            }
            Event::Hint(version) => self.on_version_hint(version, now, random, &mut out),
            Event::Unreachable(name) => self.on_unreachable(&name, true, now, random, &mut out),
        }
        if self
            .readiness
            .update(self.config.version(), self.seeds.len())
        {
            // Announcing readiness lets other starting processes become ready from this one instead
            // of reading from the platform.
            self.push_gossip(now, random, &mut out);
            let interval = schedule::head_interval(self.expected_size(now), random);
            self.schedule.head_at = self.schedule.head_at.max(now + interval);
        }
        let published = out.iter().any(|action| matches!(action, Action::Publish));
        out.retain(|action| !matches!(action, Action::Publish));
        out.extend(published.then_some(Action::Publish));
        out
    }

    /// Sets the state that a node reaches after a long time without changes.
    pub(crate) fn converge<Random>(
        &mut self,
        membership: Membership,
        now: Time,
        random: &mut Random,
    ) where
        Random: Rng,
    {
        self.membership = membership;
        self.schedule = Schedule::steady(self.membership.len(), now, random);
        self.readiness.on_response(now);
        self.readiness.on_platform_response();
        self.readiness.update(Version::default(), 0);
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
        self.readiness.is_ready()
    }

    /// Returns whether the process has had no contact with the platform or any peer for too long
    /// and must refuse new work.
    #[must_use]
    pub fn is_isolated(&self, now: Time) -> bool {
        self.readiness.is_isolated(now)
    }

    /// Returns the time of the last successful contact with the platform or a peer.
    #[must_use]
    pub fn last_contact(&self) -> Option<Time> {
        self.readiness.last_contact()
    }

    /// Returns the known members, with those currently excluded from routing marked as avoided.
    #[must_use]
    pub fn directory(&self, now: Time) -> Directory {
        let mut directory = Directory::default();
        for record in self.membership.iter() {
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
        self.membership.len()
    }

    /// Returns whether the named member is suspected by several processes.
    #[must_use]
    pub fn is_suspected(&self, name: &str) -> bool {
        self.membership
            .get(name)
            .is_some_and(|record| record.suspect)
    }

    /// Returns the number of processes that share the read load on the platform. A process that has
    /// just started knows few members itself, so it uses the membership size reported by its seeds.
    fn expected_size(&self, now: Time) -> usize {
        match self.schedule.is_starting(now) {
            true => self.membership.len().max(self.reported_size),
            false => self.membership.len(),
        }
    }

    fn on_tick<Random>(&mut self, now: Time, random: &mut Random, actions: &mut Vec<Action>)
    where
        Random: Rng,
    {
        let size = self.expected_size(now);
        let interval = schedule::head_interval(size, random);
        if Schedule::advance_if_due(&mut self.schedule.head_at, now, interval) {
            actions.push(Action::ReadHead(now));
        }
        if Schedule::advance_if_due(
            &mut self.schedule.hosts_at,
            now,
            schedule::hosts_interval(size, random),
        ) {
            actions.push(Action::ReadHosts);
        }
        if Schedule::advance_if_due(
            &mut self.schedule.register_at,
            now,
            schedule::REGISTER_TIMEOUT,
        ) && let Some(local) = self.membership.local()
        {
            actions.push(Action::Register(local.member.clone()));
        }
        let alone = self.membership.is_alone();
        let interval = schedule::members_interval(size, alone, random);
        if Schedule::advance_if_due(&mut self.schedule.members_at, now, interval) {
            actions.push(Action::ReadMembers);
        }
        // A process that became ready through the platform while it knows no live peer still has to
        // contact its seeds.
        let urgent = !self.readiness.is_ready() || self.readiness.is_nearly_isolated(now) || alone;
        let interval = schedule::gossip_interval(urgent, random);
        if Schedule::advance_if_due(&mut self.schedule.gossip_at, now, interval) {
            self.gossip_round(urgent, now, random, actions);
            if self.readiness.is_nearly_isolated(now) {
                self.schedule.expedite_head(now, random);
            }
            if self.suspicion.expire(self.last_expiry, now) | self.membership.expire_suspects(now) {
                actions.push(Action::Publish);
            }
            self.last_expiry = now;
        }
    }

    /// Starts gossip exchanges with a random peer and, if `urgent`, with some of the seeds.
    fn gossip_round<Random>(
        &mut self,
        urgent: bool,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        /// On average one round in this many contacts a suspected member instead, so that the sides
        /// of a healed partition merge again.
        const SUSPECT_ROUNDS: u32 = 16;
        let suspect = match random.random_range(0..SUSPECT_ROUNDS) {
            0 => self.membership.sample_suspect(random),
            _ => None,
        };
        let peer = suspect.or_else(|| self.membership.sample(random, |record| !record.suspect));
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
            self.send_gossip(peer, now, actions);
        }
    }

    pub(crate) fn send_gossip(&mut self, peer: SocketAddr, now: Time, actions: &mut Vec<Action>) {
        let gossip = self.summary(Some(peer));
        self.send(
            peer,
            Message::Gossip(gossip),
            Purpose::Gossip(peer),
            now,
            actions,
        );
    }

    /// Sends gossip to [`FANOUT`] random peers immediately after a local change.
    pub(crate) fn push_gossip<Random>(
        &mut self,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        for _ in 0..FANOUT {
            let peer = self.membership.sample(random, |record| !record.suspect);
            if let Some(address) = peer.map(|record| record.member.address) {
                self.send_gossip(address, now, actions);
            }
        }
    }

    pub(crate) fn summary(&mut self, peer: Option<SocketAddr>) -> Gossip {
        let mut records = self.membership.next_rumours();
        let suspect = peer.filter(|_| self.membership.has_suspects());
        let suspect = suspect.and_then(|peer| self.membership.by_address(peer));
        // The peer can only refute a suspicion that it receives.
        records.extend(suspect.filter(|record| record.suspect).cloned());
        Gossip {
            from: self.address,
            ready: self.readiness.is_ready(),
            version: self.config.version(),
            hosts: self.leaving.0,
            size: self.membership.len() as u32,
            members: self.membership.digest(),
            records,
        }
    }

    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        message: Message,
        purpose: Purpose,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        self.pending.insert(id, (purpose, now));
        actions.push(Action::Send(id, to, message));
    }
}
