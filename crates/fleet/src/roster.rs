//! The targets according to the platform's target list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use types::{Build, Domain, Model, Revision, Service, Target, Time};

use crate::restoration::LIST_SETTLE_TIME;

/// One incarnation of a target, that is, one run of its process.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Identifies this incarnation; a target that gets a request for another one answers that it is
    /// not the addressee.
    pub id: Target,
    /// The service that it provides.
    pub service: Service,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// The failure domain of the target.
    pub domain: Domain,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold, counted from the report.
    pub cold_remaining: Duration,
    /// When it started, in Unix milliseconds; a restart may keep the name.
    pub started_ms: Option<u64>,
    /// The version of its software; empty if its row has none.
    pub build: Build,
    /// The weight versions of its models.
    pub weights: Vec<(Model, u64)>,
    /// The [`types::Revision`] of its row in the platform's table store; of two reports, the one
    /// with the greater revision is newer.
    pub revision: u64,
}

/// A member with its observed state.
#[derive(Debug, Clone)]
pub struct Record {
    /// The newest report.
    pub member: Arc<Member>,
    /// Until when it is cold.
    pub cold_until: Time,
    /// When it turned cold without a restart. Entries that have not learned it yet may still send
    /// requests to it.
    pub turned_cold: Option<Time>,
    /// Set if it vanished from the list around an outage of the table store, when it may be missing
    /// by mistake.
    pub suspected_since: Option<Time>,
    /// Fingerprint of the target's data in the list, to detect changes.
    fingerprint: u64,
}

/// The targets by name.
#[derive(Debug, Default)]
pub struct Roster {
    records: HashMap<Target, Record>,
    /// Tombstones: the revision at which a target was removed, and when that was learned.
    tombstones: HashMap<Target, (u64, Time)>,
    /// When the table store was last unavailable.
    store_outage: Option<Time>,
    /// When a call of this entry last failed, as opposed to that of a neighbour.
    own_outage: Option<Time>,
    /// The era of the newest report.
    era: u64,
    /// When the first report of that era arrived, unless there was none of an earlier era.
    restored_at: Option<Time>,
    /// Changes with the set of targets, their services, domains and weights.
    generation: u64,
}

/// How long a target that vanished around an outage of the table store is still used. Live targets
/// are listed again within about two seconds of its return.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2200);
/// How long neighbours are told of an outage after the last failed call; two notices may be lost.
const OUTAGE_NOTICE_TIME: Duration = Duration::from_millis(1200);
/// How long the tombstone of a removed target is kept. Reports arrive by several paths, and none of
/// them is delayed for longer.
const TOMBSTONE_TTL: Duration = Duration::from_secs(30);

impl Member {
    /// Returns the weight version of a model.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        let found = self.weights.iter().find(|(name, _)| &**name == model);
        found.map(|(_, version)| *version)
    }

    /// Returns a fingerprint of the listed data. The remaining cold time is not part of it.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        let mut add = |bytes: &[u8]| {
            hasher.update(&(bytes.len() as u64).to_le_bytes());
            hasher.update(bytes);
        };
        add(self.id.as_bytes());
        add(self.service.as_bytes());
        add(self.address.to_string().as_bytes());
        add(self.domain.as_bytes());
        add(&self.slots.to_le_bytes());
        add(&[u8::from(self.draining)]);
        add(&self.started_ms.unwrap_or(0).to_le_bytes());
        add(self.build.as_bytes());
        for (model, version) in &self.weights {
            add(model.as_bytes());
            add(&version.to_le_bytes());
        }
        let mut fingerprint = [0; 8];
        fingerprint.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        u64::from_le_bytes(fingerprint)
    }
}

impl Roster {
    /// Takes notice of the era of a report or a list.
    fn on_revision(&mut self, revision: u64, now: Time) {
        let era = Revision::from(revision).era();
        if era <= self.era {
            return;
        }
        self.era = era;
        let has_reports = !self.records.is_empty() || !self.tombstones.is_empty();
        self.restored_at = has_reports.then_some(now);
    }

    /// Records an outage of the table store; targets that vanish soon after may still be live.
    pub fn on_store_outage(&mut self, now: Time) {
        self.store_outage = Some(now);
        self.own_outage = Some(now);
    }

    /// Records that a neighbour has noticed an outage.
    pub fn on_neighbour_outage(&mut self, now: Time) {
        self.store_outage = Some(now);
    }

    /// Returns whether neighbours are to be told of an outage. What a neighbour has told is not
    /// told on: two neighbours would take each other's notices for a new outage.
    #[must_use]
    pub fn tells_outage(&self, now: Time) -> bool {
        let is_recent = |at| now.since(at) < OUTAGE_NOTICE_TIME;
        self.own_outage.is_some_and(is_recent)
    }

    /// Returns whether the table store had an outage `within` this time.
    #[must_use]
    pub fn had_store_outage(&self, now: Time, within: Duration) -> bool {
        self.store_outage
            .is_some_and(|store_outage| now.since(store_outage) < within)
    }

    /// Records a report of the list. Returns whether it contains anything new. A report older than
    /// the known state is ignored, and weight versions never decrease within an incarnation.
    pub fn upsert(&mut self, mut member: Member, now: Time) -> bool {
        self.on_revision(member.revision, now);
        let known = self.records.get(&member.id);
        let removed_at = self
            .tombstones
            .get(&member.id)
            .map_or(0, |(revision, _)| *revision);
        let newest = known.map_or(removed_at, |known| known.member.revision.max(removed_at));
        if member.revision < newest {
            return false;
        }
        self.tombstones.remove(&member.id);
        let fingerprint = member.fingerprint();
        let changed = !member.cold_remaining.is_zero()
            || known.is_none_or(|known| {
                known.fingerprint != fingerprint || known.suspected_since.is_some()
            });
        let cold_until = now + member.cold_remaining;
        let turned_cold = known
            .filter(|known| known.member.started_ms == member.started_ms)
            .and_then(|known| match known.cold_until <= now && cold_until > now {
                true => Some(now),
                false => known.turned_cold,
            });
        if let Some(known) = self.records.get(&member.id)
            && known.member.started_ms == member.started_ms
        {
            for (model, version) in &mut member.weights {
                let known_version = known.member.version(model).unwrap_or(0);
                *version = known_version.max(*version);
            }
        }
        let known = self.records.get(&member.id);
        let same = known.is_some_and(|known| {
            known.member.service == member.service
                && known.member.domain == member.domain
                && known.member.weights == member.weights
                && known.member.build == member.build
        });
        self.generation += u64::from(!same);
        let record = Record {
            cold_until,
            turned_cold,
            suspected_since: None,
            fingerprint,
            member: Arc::new(member),
        };
        self.records.insert(record.member.id.clone(), record);
        changed
    }

    /// Returns a digest of the list; two entries with the same list have the same digest.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let listed = self.records.values();
        let listed = listed.filter(|record| record.suspected_since.is_none());
        listed.fold(0, |digest, record| digest.wrapping_add(record.fingerprint))
    }

    /// Records the weight versions that a target itself reports, which are newer than its row in
    /// the list. Returns whether any of them is newer than the known one.
    pub fn on_weights(&mut self, id: &Target, weights: &[(Model, u64)]) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let mut member = Member::clone(&record.member);
        let mut newer = false;
        for (model, known) in &mut member.weights {
            let reported = weights.iter().find(|(name, _)| name == model);
            if let Some((_, version)) = reported
                && version > known
            {
                *known = *version;
                newer = true;
            }
        }
        if newer {
            record.member = Arc::new(member);
            self.generation += 1;
        }
        newer
    }

    /// Records that a target was removed from the list at a revision. Returns whether that is new.
    pub fn remove(&mut self, id: &Target, revision: u64, now: Time) -> bool {
        self.on_revision(revision, now);
        let known = self.records.get(id);
        if known.is_some_and(|known| known.member.revision > revision) {
            return false;
        }
        let (known_revision, _) = self.tombstones.get(id).copied().unwrap_or_default();
        self.tombstones
            .insert(id.clone(), (known_revision.max(revision), now));
        if !self.had_store_outage(now, OUTAGE_GRACE) {
            let removed = self.records.remove(id).is_some();
            self.generation += u64::from(removed);
            return removed;
        }
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let suspected = record.suspected_since.is_some();
        record.suspected_since.get_or_insert(now);
        !suspected
    }

    /// Replaces the whole list by that of a revision.
    pub fn replace(&mut self, members: Vec<Member>, revision: u64, now: Time) {
        self.on_revision(revision, now);
        self.remove_missing(&members, revision, now);
        for member in members {
            self.upsert(member, now);
        }
    }

    /// Replaces the whole list by that of a neighbour, which may have read it from a table store
    /// that was just restored from an older copy.
    pub fn adopt(&mut self, members: Vec<Member>, revision: u64, now: Time) {
        // The cursor is that of the oldest page.
        let rows = members.iter().map(|member| member.revision);
        self.on_revision(rows.fold(revision, u64::max), now);
        let is_restored = self
            .restored_at
            .is_some_and(|restored_at| now.since(restored_at) < LIST_SETTLE_TIME);
        match is_restored {
            true => self.merge_restored(members, revision, now),
            false => self.replace(members, revision, now),
        }
    }

    /// Removes the targets that a list of a revision lacks.
    fn remove_missing(&mut self, members: &[Member], revision: u64, now: Time) {
        let missing: Vec<Target> = self
            .records
            .keys()
            .filter(|id| !members.iter().any(|member| member.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, revision, now);
        }
    }

    /// Merges the list of a table store that was restored from an older copy.
    ///
    /// Until the targets have written their rows again, the copy may list a target that has left,
    /// or that drains, and lack one that has started.
    pub fn merge_restored(&mut self, members: Vec<Member>, revision: u64, now: Time) {
        self.on_revision(revision, now);
        self.on_store_outage(now);
        self.remove_missing(&members, revision, now);
        for member in members {
            if let Some(member) = self.correct_copied(member) {
                self.upsert(member, now);
            }
        }
    }

    /// Corrects a row that may be that of a copy by what was known before the restoration; `None` if
    /// the target had been removed.
    fn correct_copied(&self, mut member: Member) -> Option<Member> {
        let era = Revision::from(member.revision).era();
        let tombstone = self.tombstones.get(&member.id);
        if tombstone.is_some_and(|(removed_at, _)| Revision::from(*removed_at).era() < era) {
            return None;
        }
        let Some(known) = self.records.get(&member.id) else {
            return Some(member);
        };
        if member.started_ms < known.member.started_ms {
            let revision = member.revision;
            member = Member::clone(&known.member);
            member.revision = revision;
        }
        if member.started_ms == known.member.started_ms {
            member.draining |= known.member.draining;
        }
        Some(member)
    }

    /// Drops targets that have been missing for longer than the grace period, and expired
    /// tombstones.
    pub fn expire(&mut self, now: Time) {
        self.tombstones
            .retain(|_, (_, at)| now.since(*at) < TOMBSTONE_TTL);
        let before = self.records.len();
        self.records.retain(|_, record| {
            record
                .suspected_since
                .is_none_or(|since| now.since(since) < OUTAGE_GRACE)
        });
        self.generation += u64::from(self.records.len() != before);
    }

    /// Returns a number that changes with the set of targets, their services, domains and weights.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all targets, including those that are draining.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns one target.
    #[must_use]
    pub fn get(&self, id: &Target) -> Option<&Record> {
        self.records.get(id)
    }
}
