use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rules::Digest;
use types::{Host, Time, Version};

use crate::config::Adoption;
use crate::member::Record;
use crate::message::{Body, Fetch, Gossip, Message, Stamp, Update};
use crate::node::{Action, Node, Purpose};
use crate::suspicion::Conclusion;

/// Consecutive digest mismatches before records are compared; a shorter run usually means that
/// records are still in transit.
const MAX_DIGEST_MISMATCHES: u32 = 3;
/// Number of new records in one response from which on the comparison is repeated, because the peer
/// probably has many more.
const RECOMPARE_THRESHOLD: usize = 64;
/// Peers with newer state that are remembered in case the first one queried does not respond.
const MAX_SOURCES: usize = 4;

/// Number of peers asked to probe a member that could not be reached.
const MAX_PROBERS: usize = 3;

impl Node {
    /// Processes a request from a peer.
    pub(crate) fn respond<Random>(
        &mut self,
        token: u64,
        message: Message,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let answer = match message {
            Message::Gossip(gossip) => {
                let from = gossip.from;
                self.merge_summary(gossip, now, actions);
                if self.membership.by_address(from).is_none() {
                    // The sender is unknown: it was partitioned while its record was being
                    // disseminated.
                    self.send_compare(from, now, actions);
                }
                Message::Gossip(self.summary(Some(from)))
            }
            Message::Fetch(fetch) => Message::Update(self.build_update(&fetch, now)),
            Message::Compare(groups) => Message::Records(match self.schedule.allow_records(now) {
                true => self.membership.differing_records(&groups, random),
                false => Vec::new(),
            }),
            Message::Probe(address) => {
                let gossip = Message::Gossip(self.summary(None));
                return self.send(address, gossip, Purpose::Relay(token), now, actions);
            }
            Message::Update(_) | Message::Records(_) | Message::Probed(_) => return,
        };
        actions.push(Action::Reply(token, answer));
    }

    /// Processes the response of a peer.
    pub(crate) fn on_reply<Random>(
        &mut self,
        purpose: Purpose,
        message: Message,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        match (purpose, message) {
            (Purpose::Gossip(peer), Message::Gossip(gossip)) => {
                if self.seeds.contains(&peer) {
                    self.readiness.on_seed_response(peer, gossip.ready);
                }
                self.suspicion.on_response(peer);
                let members = gossip.members;
                self.merge_summary(gossip, now, actions);
                match members == self.membership.digest() {
                    true => self.digest_mismatches = 0,
                    false => self.digest_mismatches += 1,
                }
                // During startup a mismatch rarely comes from records in transit, so the first one
                // suffices.
                let joining = self.digest_mismatches > 0 && self.schedule.is_starting(now);
                if joining || self.digest_mismatches >= MAX_DIGEST_MISMATCHES {
                    self.digest_mismatches = 0;
                    self.send_compare(peer, now, actions);
                }
            }
            (Purpose::Fetch(peer), Message::Update(update)) => {
                self.fetching = false;
                self.on_update(update, peer, now, random, actions);
            }
            (Purpose::Compare(peer), Message::Records(records)) => {
                let mut new = 0;
                for record in records {
                    new += usize::from(self.merge_record(record, false, now, actions));
                }
                if new >= RECOMPARE_THRESHOLD {
                    self.send_compare(peer, now, actions);
                }
            }
            (Purpose::Relay(token), Message::Gossip(gossip)) => {
                self.merge_summary(gossip, now, actions);
                actions.push(Action::Reply(token, Message::Probed(true)));
            }
            (Purpose::Probe(name, nearby), Message::Probed(reached)) => {
                let conclusion = self.suspicion.on_probe_result(&name, Some(reached), nearby);
                self.apply_conclusion(&name, conclusion, now, actions);
            }
            (purpose, _) => self.on_failure(purpose, now, random, actions),
        }
    }

    /// Handles a request to a peer that failed or timed out.
    pub(crate) fn on_failure<Random>(
        &mut self,
        purpose: Purpose,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        match purpose {
            Purpose::Gossip(peer) => {
                let record = self
                    .membership
                    .by_address(peer)
                    .filter(|record| !record.suspect);
                if let Some(name) = record.map(|record| record.member.name.clone()) {
                    self.on_unreachable(&name, false, now, random, actions);
                }
            }
            Purpose::Fetch(_) => {
                self.fetching = false;
                self.fetch_next(now, actions);
            }
            Purpose::Compare(_) => {}
            Purpose::Relay(token) => actions.push(Action::Reply(token, Message::Probed(false))),
            Purpose::Probe(name, nearby) => {
                let conclusion = self.suspicion.on_probe_result(&name, None, nearby);
                self.apply_conclusion(&name, conclusion, now, actions);
            }
        }
    }

    /// Processes the accepted version reported by the platform.
    pub(crate) fn on_head(&mut self, head: Option<(Version, Digest)>, actions: &mut Vec<Action>) {
        let Some((version, digest)) = head else {
            return;
        };
        self.readiness.on_platform_response();
        self.readiness.on_version(version);
        // While a text is being fetched from a peer, it is not read from the object store, so that
        // a restart of all processes does not cause thousands of reads.
        if version > self.config.version() && !self.reading_text && !self.fetching {
            self.reading_text = true;
            actions.push(Action::ReadText(version, digest));
        }
    }

    /// Processes the list of leaving hosts reported by the platform.
    pub(crate) fn on_hosts<Random>(
        &mut self,
        mut hosts: Vec<Host>,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        hosts.sort();
        hosts.dedup();
        if hosts == self.leaving.1 {
            return;
        }
        let stamp = Stamp {
            count: self.leaving.0.count + 1,
            reader: random.random(),
        };
        self.leaving = (stamp, hosts);
        actions.push(Action::Publish);
        self.push_gossip(now, random, actions);
    }

    /// Reacts to a newer version seen on the request path by reading the accepted version soon and
    /// by gossiping with peers. The rate is limited.
    pub(crate) fn on_version_hint<Random>(
        &mut self,
        version: Version,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        if version > self.config.version() && self.schedule.allow_hint(now) {
            self.schedule.expedite_head(now, random);
            self.push_gossip(now, random, actions);
        }
    }

    /// Emits [`Action::Adopt`] if an offered configuration was adopted; returns whether it was.
    pub(crate) fn on_adoption(&mut self, adoption: Adoption, actions: &mut Vec<Action>) -> bool {
        let Adoption::Adopted(snapshot) = adoption else {
            return false;
        };
        self.needs_full_text = false;
        actions.push(Action::Adopt(snapshot));
        true
    }

    /// Merges a record and returns whether it was newer than the known one. If `disseminate` is
    /// set, the record is passed on in gossip messages.
    pub(crate) fn merge_record(
        &mut self,
        record: Arc<Record>,
        disseminate: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.membership.is_local(&record.member) {
            self.refute(&record, now);
            return false;
        }
        if !self.membership.merge(Arc::clone(&record), now) {
            return false;
        }
        if disseminate {
            self.membership.disseminate(record);
        }
        actions.push(Action::Publish);
        true
    }

    /// Asks peers to probe a member that this process could not reach. `avoid` also excludes the
    /// member from routing for a back-off period.
    pub(crate) fn on_unreachable<Random>(
        &mut self,
        name: &str,
        avoid: bool,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let (Some(local), Some(record)) = (
            self.membership.local().cloned(),
            self.membership.get(name).cloned(),
        ) else {
            return;
        };
        let target = &record.member;
        let nearby = local.member.region == target.region;
        if avoid {
            actions.push(Action::Publish);
        }
        let should_probe = self
            .suspicion
            .record_failure(name, target.address, avoid, nearby, now);
        if !should_probe || record.suspect {
            return;
        }
        let mut probers: Vec<Arc<Record>> = Vec::new();
        for index in 0..MAX_PROBERS {
            let fits = |peer: &Record| {
                !peer.suspect
                    && peer.member.name != target.name
                    && probers.iter().all(|p| p.member.name != peer.member.name)
            };
            let near = |peer: &Record| peer.member.region == target.region;
            let apart = |peer: &Record| {
                peer.member.domain != local.member.domain && peer.member.domain != target.domain
            };
            // The first prober is in the member's region. Probers in failure domains other than
            // those of this process and the member are preferred.
            let prober = self
                .membership
                .sample(random, |peer| {
                    fits(peer) && apart(peer) && (index > 0 || near(peer))
                })
                .or_else(|| {
                    self.membership
                        .sample(random, |peer| fits(peer) && (index > 0 || near(peer)))
                });
            probers.extend(prober.cloned());
        }
        self.suspicion.on_probes_sent(name, probers.len());
        for prober in probers {
            let nearby = prober.member.region == target.region;
            let purpose = Purpose::Probe(name.to_owned(), nearby);
            let message = Message::Probe(target.address);
            self.send(prober.member.address, message, purpose, now, actions);
        }
    }

    fn apply_conclusion(
        &mut self,
        name: &str,
        conclusion: Conclusion,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let current = self.membership.get(name).filter(|record| !record.suspect);
        let (Conclusion::Suspect, Some(current)) = (conclusion, current) else {
            return;
        };
        let mut record = Record::clone(current);
        record.suspect = true;
        self.merge_record(Arc::new(record), true, now, actions);
    }

    /// Outranks a suspicion of this process, or a record of this process with a later incarnation
    /// (after a clock step), with a newer record.
    fn refute(&mut self, record: &Record, now: Time) {
        let Some(local) = self.membership.local().cloned() else {
            return;
        };
        if record.order() <= local.order() {
            if record.suspect {
                // The peer has not received the refutation yet; its messages may have been lost, so
                // it is disseminated again.
                self.membership.disseminate(local);
            }
            return;
        }
        let mut next = Record::clone(&local);
        if record.member.incarnation > next.member.incarnation {
            next.member.incarnation.0 = record.member.incarnation.0 + 1;
        } else {
            next.refutations = record.refutations + 1;
        }
        let next = Arc::new(next);
        self.membership.merge(Arc::clone(&next), now);
        self.membership.disseminate(next);
    }

    /// Merges the state summary of a peer, and fetches from the peer if it has newer state.
    fn merge_summary(&mut self, gossip: Gossip, now: Time, actions: &mut Vec<Action>) {
        for record in gossip.records {
            self.merge_record(record, true, now, actions);
        }
        self.readiness.on_version(gossip.version);
        self.reported_size = self.reported_size.max(gossip.size as usize);
        if gossip.version > self.config.version() || gossip.hosts > self.leaving.0 {
            self.sources.retain(|(.., peer)| *peer != gossip.from);
            if self.sources.len() >= MAX_SOURCES {
                self.sources.remove(0);
            }
            self.sources
                .push((gossip.version, gossip.hosts, gossip.from));
            self.fetch_next(now, actions);
        }
    }

    fn fetch_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.fetching {
            return;
        }
        let (version, hosts) = (self.config.version(), self.leaving.0);
        self.sources
            .retain(|source| source.0 > version || source.1 > hosts);
        let Some((.., peer)) = self.sources.pop() else {
            return;
        };
        self.fetching = true;
        let fetch = Message::Fetch(Fetch {
            version: self.config.version(),
            full: self.needs_full_text,
            hosts: self.leaving.0,
        });
        self.send(peer, fetch, Purpose::Fetch(peer), now, actions);
    }

    fn send_compare(&mut self, peer: SocketAddr, now: Time, actions: &mut Vec<Action>) {
        let groups = Message::Compare(self.membership.group_digests());
        self.send(peer, groups, Purpose::Compare(peer), now, actions);
    }

    fn build_update(&mut self, fetch: &Fetch, now: Time) -> Update {
        let change = self.config.change_from(fetch.version, fetch.full);
        let config = change.filter(|change| match change.body {
            Body::Delta(_) => true,
            Body::Full(_) => self.schedule.allow_text(now),
        });
        let hosts = (self.leaving.0 > fetch.hosts).then(|| self.leaving.clone());
        Update { config, hosts }
    }

    fn on_update<Random>(
        &mut self,
        update: Update,
        peer: SocketAddr,
        now: Time,
        random: &mut Random,
        actions: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let mut changed = false;
        if let Some(change) = update.config {
            let adoption = self.config.apply(&change);
            if matches!(adoption, Adoption::Invalid) && !self.needs_full_text {
                // The delta did not apply; the full text is requested from the same peer.
                self.needs_full_text = true;
                self.sources.push((change.version, Stamp::default(), peer));
            }
            changed |= self.on_adoption(adoption, actions);
        }
        if let Some((stamp, hosts)) = update.hosts
            && stamp > self.leaving.0
        {
            self.leaving = (stamp, hosts);
            actions.push(Action::Publish);
            changed = true;
        }
        if changed {
            self.push_gossip(now, random, actions);
        }
        self.fetch_next(now, actions);
    }
}
