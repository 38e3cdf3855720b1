use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use types::Time;

use crate::member::{Member, Record};

/// The membership table of a process, and the records that it still disseminates.
#[derive(Debug, Clone)]
pub struct Membership {
    local: u64,
    records: Vec<(u64, Arc<Record>)>,
    digest: u64,
    suspects: BTreeMap<u64, Time>,
    rumours: Vec<Rumour>,
}

/// A record that is still being disseminated.
#[derive(Debug, Clone)]
struct Rumour {
    id: u64,
    record: Arc<Record>,
    /// The number of gossip messages that will still carry the record.
    remaining: u32,
}

/// Number of groups in which records are compared by digest. With 3,330 records a group has 13
/// records, so a single difference costs about 2.4 KB.
const GROUPS: usize = 256;
/// Maximum number of disseminated records per gossip message.
const RECORDS_PER_GOSSIP: usize = 8;
/// Number of records from which on a response to a comparison is complete, about 16 KB.
const RECORDS_PER_RESPONSE: usize = 192;
/// Maximum number of records disseminated concurrently; anti-entropy comparisons deliver the ones
/// that are dropped.
const MAX_RUMOURS: usize = 256;
/// Time for which a suspected member is retained; a replacement host does not reuse its name.
const SUSPECT_RETENTION: Duration = Duration::from_secs(3600);

impl Membership {
    /// Creates a table that contains only the local process.
    #[must_use]
    pub fn new(local: Arc<Record>) -> Self {
        let id = id(&local.member.name);
        let mut membership = Self {
            local: id,
            records: Vec::new(),
            digest: 0,
            suspects: BTreeMap::new(),
            rumours: Vec::new(),
        };
        membership.merge(local, Time::default());
        membership
    }

    /// Returns a copy of the table as the member with this name would hold it.
    #[must_use]
    pub fn view_of(&self, name: &str) -> Self {
        Self {
            local: id(name),
            ..self.clone()
        }
    }

    /// Merges a record if it is newer than the known one; returns whether it was.
    ///
    /// The record of an unknown member is ignored if it is suspected, so that expired members are
    /// not added again.
    pub fn merge(&mut self, record: Arc<Record>, now: Time) -> bool {
        let id = id(&record.member.name);
        match self.records.binary_search_by_key(&id, |(id, _)| *id) {
            Ok(index) => {
                let known = &mut self.records[index].1;
                if known.order() >= record.order() {
                    return false;
                }
                self.digest ^= hash(id, known) ^ hash(id, &record);
                match record.suspect {
                    true => drop(self.suspects.insert(id, now)),
                    false => drop(self.suspects.remove(&id)),
                }
                *known = record;
            }
            Err(_) if record.suspect => return false,
            Err(index) => {
                self.digest ^= hash(id, &record);
                self.records.insert(index, (id, record));
            }
        }
        true
    }

    /// Queues the record for the next gossip messages. The number of repetitions grows with the
    /// logarithm of the membership size.
    pub fn disseminate(&mut self, record: Arc<Record>) {
        let id = id(&record.member.name);
        self.rumours.retain(|rumour| rumour.id != id);
        if self.rumours.len() >= MAX_RUMOURS {
            self.rumours.pop();
        }
        let remaining = 2 * (usize::BITS - self.records.len().leading_zeros());
        self.rumours.insert(
            0,
            Rumour {
                id,
                record,
                remaining,
            },
        );
    }

    /// Returns the records for the next gossip message.
    pub fn next_rumours(&mut self) -> Vec<Arc<Record>> {
        self.rumours
            .sort_by_key(|rumour| std::cmp::Reverse(rumour.remaining));
        let selected = self.rumours.iter_mut().take(RECORDS_PER_GOSSIP);
        let records = selected
            .map(|rumour| {
                rumour.remaining -= 1;
                Arc::clone(&rumour.record)
            })
            .collect();
        self.rumours.retain(|rumour| rumour.remaining > 0);
        records
    }

    /// Returns the number of records, including that of the local process.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether every other known member is suspected.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.records.len() <= 1 + self.suspects.len()
    }

    /// Returns the digest of the records of all members that are not suspected.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a digest for each group of records.
    #[must_use]
    pub fn group_digests(&self) -> Vec<u32> {
        let mut groups = vec![0; GROUPS];
        for (id, record) in &self.records {
            let hash = hash(*id, record);
            groups[group(*id)] ^= (hash ^ (hash >> 32)) as u32;
        }
        groups
    }

    /// Returns records of the groups whose digests differ, up to the size limit of one message. The
    /// groups are visited from a random one on, so that repeated requests eventually cover all of
    /// them.
    pub fn differing_records<Random>(&self, remote: &[u32], random: &mut Random) -> Vec<Arc<Record>>
    where
        Random: Rng,
    {
        let own = self.group_digests();
        let first = random.random_range(0..GROUPS);
        let mut records = Vec::new();
        for offset in 0..GROUPS {
            let index = (first + offset) % GROUPS;
            if remote.get(index) == Some(&own[index]) {
                continue;
            }
            let start = self.records.partition_point(|(id, _)| group(*id) < index);
            let members = self.records[start..]
                .iter()
                .take_while(|(id, _)| group(*id) == index);
            records.extend(members.map(|(_, record)| Arc::clone(record)));
            if records.len() >= RECORDS_PER_RESPONSE {
                break;
            }
        }
        records
    }

    /// Samples a random other member that satisfies the predicate, or returns `None` if there is
    /// none.
    pub fn sample<Random, Predicate>(
        &self,
        random: &mut Random,
        predicate: Predicate,
    ) -> Option<&Arc<Record>>
    where
        Random: Rng,
        Predicate: Fn(&Record) -> bool,
    {
        /// Random draws before the fallback, a scan from the last drawn position on.
        const MAX_DRAWS: usize = 8;
        if self.records.len() < 2 {
            return None;
        }
        let mut start = 0;
        for _ in 0..MAX_DRAWS {
            start = random.random_range(0..self.records.len());
            let (id, record) = &self.records[start];
            if *id != self.local && predicate(record) {
                return Some(record);
            }
        }
        let (before, after) = self.records.split_at(start);
        after
            .iter()
            .chain(before)
            .find(|(id, record)| *id != self.local && predicate(record))
            .map(|(_, record)| record)
    }

    /// Samples a random suspected member, so that one that is reachable again receives the
    /// suspicion and can refute it.
    pub fn sample_suspect<Random>(&self, random: &mut Random) -> Option<&Arc<Record>>
    where
        Random: Rng,
    {
        if self.suspects.is_empty() {
            return None;
        }
        let index = random.random_range(0..self.suspects.len());
        let id = self.suspects.keys().nth(index)?;
        self.by_id(*id)
    }

    /// Returns the record of the member with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Record>> {
        self.by_id(id(name))
    }

    /// Returns the record of the member at this address.
    #[must_use]
    pub fn by_address(&self, address: SocketAddr) -> Option<&Arc<Record>> {
        self.iter().find(|record| record.member.address == address)
    }

    /// Returns the record of the local process.
    #[must_use]
    pub fn local(&self) -> Option<&Arc<Record>> {
        self.by_id(self.local)
    }

    /// Returns whether any member is suspected.
    #[must_use]
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Record>> {
        self.records.iter().map(|(_, record)| record)
    }

    /// Removes members that have been suspected for more than an hour; returns whether there were
    /// any.
    pub fn expire_suspects(&mut self, now: Time) -> bool {
        let expired: Vec<u64> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.since(**since) > SUSPECT_RETENTION)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.suspects.remove(id);
            // A suspected record contributes 0 to the digest, so removing it leaves the digest
            // unchanged.
            self.records.retain(|(record, _)| record != id);
        }
        !expired.is_empty()
    }

    /// Returns whether this is the local process.
    #[must_use]
    pub fn is_local(&self, member: &Member) -> bool {
        id(&member.name) == self.local
    }

    fn by_id(&self, id: u64) -> Option<&Arc<Record>> {
        let index = self.records.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(&self.records[index].1)
    }
}

fn id(name: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

fn group(id: u64) -> usize {
    (id >> 56) as usize
}

/// Returns the contribution of a record to a digest. Suspected members contribute nothing, so that
/// processes agree even if they expire them at different times.
fn hash(id: u64, record: &Record) -> u64 {
    if record.suspect {
        return 0;
    }
    let state = record.member.incarnation.0 ^ (u64::from(record.refutations) << 48);
    // The finalizer of SplitMix64: every bit of the input changes half of the bits of the output.
    let mut mixed = id ^ state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
