use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rules::Digest;
use types::{Host, Time, Version};

use crate::config::Offer;
use crate::member::Record;
use crate::message::{Body, Fetch, Gossip, Message, Stamp, Update};
use crate::node::{Action, Node, Purpose};
use crate::suspicion::Conclusion;

/// Consecutive digest mismatches before records are compared; a shorter run usually means that
/// records are still in transit.
const UNEQUAL_LIMIT: u32 = 3;
/// Number of new records in one response from which on the comparison is repeated, because the peer
/// probably has many more.
const BULK: usize = 64;
/// Peers with newer state that are remembered in case the first one queried does not respond.
const MAX_OFFERS: usize = 4;

/// Number of peers asked to probe a member that could not be reached.
const PROBERS: usize = 3;

impl Node {
    /// Processes a request from a peer.
    pub(crate) fn serve<Random>(
        &mut self,
        token: u64,
        message: Message,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let answer = match message {
            Message::Gossip(gossip) => {
                let from = gossip.from;
                self.note(gossip, now, out);
                if self.roster.at(from).is_none() {
                    // The sender is unknown: it was partitioned while its record was being
                    // disseminated.
                    self.compare(from, now, out);
                }
                Message::Gossip(self.summary(Some(from)))
            }
            Message::Fetch(fetch) => Message::Update(self.update(&fetch, now)),
            Message::Compare(groups) => Message::Records(match self.schedule.may_answer(now) {
                true => self.roster.differing(&groups, random),
                false => Vec::new(),
            }),
            Message::Probe(address) => {
                let gossip = Message::Gossip(self.summary(None));
                return self.send(address, gossip, Purpose::Relay(token), now, out);
            }
            Message::Update(_) | Message::Records(_) | Message::Probed(_) => return,
        };
        out.push(Action::Reply(token, answer));
    }

    /// Processes the response of a peer.
    pub(crate) fn reply<Random>(
        &mut self,
        purpose: Purpose,
        message: Message,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        match (purpose, message) {
            (Purpose::Gossip(peer), Message::Gossip(gossip)) => {
                if self.seeds.contains(&peer) {
                    self.fresh.hear_seed(peer, gossip.ready);
                }
                self.suspicion.reached(peer);
                let members = gossip.members;
                self.note(gossip, now, out);
                match members == self.roster.digest() {
                    true => self.unequal = 0,
                    false => self.unequal += 1,
                }
                // During startup a mismatch rarely comes from records in transit, so the first one
                // suffices.
                let joining = self.unequal > 0 && self.schedule.is_starting(now);
                if joining || self.unequal >= UNEQUAL_LIMIT {
                    self.unequal = 0;
                    self.compare(peer, now, out);
                }
            }
            (Purpose::Fetch(peer), Message::Update(update)) => {
                self.fetching = false;
                self.updated(update, peer, now, random, out);
            }
            (Purpose::Compare(peer), Message::Records(records)) => {
                let mut new = 0;
                for record in records {
                    new += usize::from(self.learn(record, false, now, out));
                }
                if new >= BULK {
                    self.compare(peer, now, out);
                }
            }
            (Purpose::Relay(token), Message::Gossip(gossip)) => {
                self.note(gossip, now, out);
                out.push(Action::Reply(token, Message::Probed(true)));
            }
            (Purpose::Probe(name, nearby), Message::Probed(reached)) => {
                let conclusion = self.suspicion.probed(&name, Some(reached), nearby);
                self.conclude(&name, conclusion, now, out);
            }
            (purpose, _) => self.fail(purpose, now, random, out),
        }
    }

    /// Handles a request to a peer that failed or timed out.
    pub(crate) fn fail<Random>(
        &mut self,
        purpose: Purpose,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        match purpose {
            Purpose::Gossip(peer) => {
                let record = self.roster.at(peer).filter(|record| !record.suspect);
                if let Some(name) = record.map(|record| record.member.name.clone()) {
                    self.doubt(&name, false, now, random, out);
                }
            }
            Purpose::Fetch(_) => {
                self.fetching = false;
                self.fetch_next(now, out);
            }
            Purpose::Compare(_) => {}
            Purpose::Relay(token) => out.push(Action::Reply(token, Message::Probed(false))),
            Purpose::Probe(name, nearby) => {
                let conclusion = self.suspicion.probed(&name, None, nearby);
                self.conclude(&name, conclusion, now, out);
            }
        }
    }

    /// Processes the accepted version reported by the platform.
    pub(crate) fn head(&mut self, head: Option<(Version, Digest)>, out: &mut Vec<Action>) {
        let Some((version, digest)) = head else {
            return;
        };
        self.fresh.hear_platform();
        self.fresh.note(version);
        // While a text is being fetched from a peer, it is not read from the object store, so that
        // a restart of all processes does not cause thousands of reads.
        if version > self.config.version() && !self.reading && !self.fetching {
            self.reading = true;
            out.push(Action::ReadText(version, digest));
        }
    }

    /// Processes the list of leaving hosts reported by the platform.
    pub(crate) fn list_hosts<Random>(
        &mut self,
        mut hosts: Vec<Host>,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
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
        out.push(Action::Publish);
        self.push(now, random, out);
    }

    /// Reacts to a newer version seen on the request path by reading the accepted version soon and
    /// by gossiping with peers. The rate is limited.
    pub(crate) fn hint<Random>(
        &mut self,
        version: Version,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        if version > self.config.version() && self.schedule.may_hint(now) {
            self.schedule.hurry(now, random);
            self.push(now, random, out);
        }
    }

    /// Emits [`Action::Adopt`] if the offer was adopted; returns whether it was.
    pub(crate) fn adopt(&mut self, offer: Offer, out: &mut Vec<Action>) -> bool {
        let Offer::Adopted(snapshot) = offer else {
            return false;
        };
        self.whole = false;
        out.push(Action::Adopt(snapshot));
        true
    }

    /// Merges a record and returns whether it was newer than the known one. If `disseminate` is
    /// set, the record is passed on in gossip messages.
    pub(crate) fn learn(
        &mut self,
        record: Arc<Record>,
        spread: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.roster.is_me(&record.member) {
            self.refute(&record, now);
            return false;
        }
        if !self.roster.merge(Arc::clone(&record), now) {
            return false;
        }
        if spread {
            self.roster.spread(record);
        }
        out.push(Action::Publish);
        true
    }

    /// Asks peers to probe a member that this process could not reach. `avoid` also excludes the
    /// member from routing for a back-off period.
    pub(crate) fn doubt<Random>(
        &mut self,
        name: &str,
        avoid: bool,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let (Some(me), Some(record)) = (self.roster.me().cloned(), self.roster.get(name).cloned())
        else {
            return;
        };
        let target = &record.member;
        let nearby = me.member.region == target.region;
        if avoid {
            out.push(Action::Publish);
        }
        let ask = self
            .suspicion
            .doubt(name, target.address, avoid, nearby, now);
        if !ask || record.suspect {
            return;
        }
        let mut probers: Vec<Arc<Record>> = Vec::new();
        for index in 0..PROBERS {
            let fits = |peer: &Record| {
                !peer.suspect
                    && peer.member.name != target.name
                    && probers.iter().all(|p| p.member.name != peer.member.name)
            };
            let near = |peer: &Record| peer.member.region == target.region;
            let apart = |peer: &Record| {
                peer.member.domain != me.member.domain && peer.member.domain != target.domain
            };
            // The first prober is in the member's region. Probers in failure domains other than
            // those of this process and the member are preferred.
            let drawn = self
                .roster
                .draw(random, |peer| {
                    fits(peer) && apart(peer) && (index > 0 || near(peer))
                })
                .or_else(|| {
                    self.roster
                        .draw(random, |peer| fits(peer) && (index > 0 || near(peer)))
                });
            probers.extend(drawn.cloned());
        }
        self.suspicion.asked(name, probers.len());
        for prober in probers {
            let nearby = prober.member.region == target.region;
            let purpose = Purpose::Probe(name.to_owned(), nearby);
            let message = Message::Probe(target.address);
            self.send(prober.member.address, message, purpose, now, out);
        }
    }

    fn conclude(&mut self, name: &str, conclusion: Conclusion, now: Time, out: &mut Vec<Action>) {
        let known = self.roster.get(name).filter(|record| !record.suspect);
        let (Conclusion::Suspect, Some(known)) = (conclusion, known) else {
            return;
        };
        let mut record = Record::clone(known);
        record.suspect = true;
        self.learn(Arc::new(record), true, now, out);
    }

    /// Outranks a suspicion of this process, or a record of this process with a later incarnation
    /// (after a clock step), with a newer record.
    fn refute(&mut self, record: &Record, now: Time) {
        let Some(me) = self.roster.me().cloned() else {
            return;
        };
        if record.order() <= me.order() {
            if record.suspect {
                // The peer has not received the refutation yet; its messages may have been lost, so
                // it is disseminated again.
                self.roster.spread(me);
            }
            return;
        }
        let mut next = Record::clone(&me);
        if record.member.incarnation > next.member.incarnation {
            next.member.incarnation.0 = record.member.incarnation.0 + 1;
        } else {
            next.refutations = record.refutations + 1;
        }
        let next = Arc::new(next);
        self.roster.merge(Arc::clone(&next), now);
        self.roster.spread(next);
    }

    /// Merges the state summary of a peer, and fetches from the peer if it has newer state.
    fn note(&mut self, gossip: Gossip, now: Time, out: &mut Vec<Action>) {
        for record in gossip.records {
            self.learn(record, true, now, out);
        }
        self.fresh.note(gossip.version);
        self.heard_size = self.heard_size.max(gossip.size as usize);
        if gossip.version > self.config.version() || gossip.hosts > self.leaving.0 {
            self.offers.retain(|(.., peer)| *peer != gossip.from);
            if self.offers.len() >= MAX_OFFERS {
                self.offers.remove(0);
            }
            self.offers
                .push((gossip.version, gossip.hosts, gossip.from));
            self.fetch_next(now, out);
        }
    }

    fn fetch_next(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.fetching {
            return;
        }
        let (version, hosts) = (self.config.version(), self.leaving.0);
        self.offers
            .retain(|offer| offer.0 > version || offer.1 > hosts);
        let Some((.., peer)) = self.offers.pop() else {
            return;
        };
        self.fetching = true;
        let fetch = Message::Fetch(Fetch {
            version: self.config.version(),
            whole: self.whole,
            hosts: self.leaving.0,
        });
        self.send(peer, fetch, Purpose::Fetch(peer), now, out);
    }

    fn compare(&mut self, peer: SocketAddr, now: Time, out: &mut Vec<Action>) {
        let groups = Message::Compare(self.roster.groups());
        self.send(peer, groups, Purpose::Compare(peer), now, out);
    }

    fn update(&mut self, fetch: &Fetch, now: Time) -> Update {
        let change = self.config.change_from(fetch.version, fetch.whole);
        let config = change.filter(|change| match change.body {
            Body::Edits(_) => true,
            Body::Whole(_) => self.schedule.may_send_text(now),
        });
        let hosts = (self.leaving.0 > fetch.hosts).then(|| self.leaving.clone());
        Update { config, hosts }
    }

    fn updated<Random>(
        &mut self,
        update: Update,
        peer: SocketAddr,
        now: Time,
        random: &mut Random,
        out: &mut Vec<Action>,
    ) where
        Random: Rng,
    {
        let mut news = false;
        if let Some(change) = update.config {
            let offer = self.config.apply(&change);
            if matches!(offer, Offer::Invalid) && !self.whole {
                // The delta did not apply; the full text is requested from the same peer.
                self.whole = true;
                self.offers.push((change.version, Stamp::default(), peer));
            }
            news |= self.adopt(offer, out);
        }
        if let Some((stamp, hosts)) = update.hosts
            && stamp > self.leaving.0
        {
            self.leaving = (stamp, hosts);
            out.push(Action::Publish);
            news = true;
        }
        if news {
            self.push(now, random, out);
        }
        self.fetch_next(now, out);
    }
}
