//! Cells: groups of targets whose requests are placed by one entry.
//!
//! With many entries, the loads that they report to each other are several hundred milliseconds
//! old, which is as long as an engine takes to prefill a prompt. The targets are therefore
//! partitioned into cells, and one entry, the dispatcher, places all requests of a cell, so it
//! knows what it has placed. See `docs/platform.md`.

use std::collections::{BTreeMap, HashMap};

use types::{Domain, Model, Service, Target};

use crate::roster::Roster;

/// A group of targets of one service, limited to one failure domain if the service has many
/// targets.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Cell {
    /// The service.
    pub service: Service,
    /// The failure domain; `None` for a service with few targets, which form a single cell.
    pub domain: Option<Domain>,
    /// Index of the shard of the domain's targets.
    pub shard: u32,
    /// The number of shards, a power of two.
    pub shards: u32,
}

/// The cells of all services, computed from the target list.
#[derive(Debug, Clone, Default)]
pub struct Map {
    /// The number of shards of each domain's targets, by service.
    domains: HashMap<Service, BTreeMap<Option<Domain>, u32>>,
    /// The newest weights that any target serves.
    newest: HashMap<Model, u64>,
}

/// An entry that may become a dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// The name of the entry.
    pub name: String,
    /// The failure domain of the entry.
    pub domain: Domain,
    /// The CPU share of the entry. Entries with a larger share get more cells.
    pub weight: f64,
}

/// Number of targets above which a service gets a cell per domain, and a domain more than one cell.
/// A dispatcher examines every target of a cell for every request, which limits the size. With
/// fewer targets in a cell, a request waits longer until the next one becomes free.
const MAX_TARGETS: usize = 24;
/// The weight of an entry that reports none.
const MIN_WEIGHT: f64 = 0.01;

impl Cell {
    /// Returns whether a target belongs to the cell.
    #[must_use]
    pub fn contains(&self, service: &Service, domain: &Domain, target: &Target) -> bool {
        *service == self.service
            && self.domain.as_ref().is_none_or(|own| own == domain)
            && shard_of(target, self.shards) == self.shard
    }

    /// Returns whether the cell is limited to a failure domain for which `domains` returns true.
    #[must_use]
    pub fn is_inside(&self, domains: impl Fn(&Domain) -> bool) -> bool {
        self.domain.as_ref().is_some_and(domains)
    }

    /// Returns the entries in the order in which they become its dispatcher. Entries of the cell's
    /// own failure domain come first because they fail only together with the cell.
    #[must_use]
    pub fn dispatchers(&self, nodes: &[Node]) -> Vec<String> {
        let shard = self.shard.to_le_bytes();
        let shards = self.shards.to_le_bytes();
        let domain = self.domain.as_deref().unwrap_or_default();
        let key = [self.service.as_bytes(), domain.as_bytes(), &shard, &shards];
        rendezvous(&key, self.domain.as_ref(), nodes)
    }
}

/// Orders entries by weighted rendezvous hashing: those of the failure domain first, and within
/// each group the probability to come first is proportional to the weight.
#[must_use]
pub fn rendezvous(key: &[&[u8]], domain: Option<&Domain>, nodes: &[Node]) -> Vec<String> {
    let mut scored: Vec<(bool, f64, &str)> = nodes
        .iter()
        .map(|node| {
            let weight = node.weight.max(MIN_WEIGHT);
            // The minimum of exponential variables is each one with a probability proportional to
            // its rate.
            let draw = (hash(key, &node.name) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
            let remote = domain.is_some_and(|domain| node.domain != *domain);
            (remote, -draw.ln() / weight, &*node.name)
        })
        .collect();
    scored.sort_by(|one, other| {
        let scores = one.1.total_cmp(&other.1);
        one.0.cmp(&other.0).then(scores).then(one.2.cmp(other.2))
    });
    let names = scored.into_iter();
    names.map(|(_, _, name)| name.to_owned()).collect()
}

fn hash(key: &[&[u8]], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in key.iter().copied().chain([name.as_bytes()]) {
        // The length distinguishes ("ab", "c") from ("a", "bc").
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hash_prefix(&hasher.finalize())
}

impl Map {
    /// Partitions the targets of the list into cells.
    #[must_use]
    pub fn new(roster: &Roster) -> Self {
        let mut counts: HashMap<Service, BTreeMap<Domain, usize>> = HashMap::new();
        let mut newest: HashMap<Model, u64> = HashMap::new();
        for record in roster.iter() {
            let member = &record.member;
            let domains = counts.entry(member.service.clone()).or_default();
            *domains.entry(member.domain.clone()).or_default() += 1;
            for (model, version) in &member.weights {
                let known = newest.entry(model.clone()).or_default();
                *known = (*known).max(*version);
            }
        }
        let domains = counts.into_iter().map(|(service, domains)| {
            let total: usize = domains.values().sum();
            if total <= MAX_TARGETS {
                return (service, BTreeMap::from([(None, 1)]));
            }
            let shards = domains.into_iter().map(|(domain, count)| {
                let shards = count.div_ceil(MAX_TARGETS).next_power_of_two();
                (Some(domain), u32::try_from(shards).unwrap_or(1))
            });
            (service, shards.collect())
        });
        Self {
            domains: domains.collect(),
            newest,
        }
    }

    /// Returns the cell of a target.
    #[must_use]
    pub fn of(&self, service: &Service, domain: &Domain, target: &Target) -> Option<Cell> {
        let (domain, shards) = self.group(service, domain)?;
        Some(Cell {
            service: service.clone(),
            domain,
            shard: shard_of(target, shards),
            shards,
        })
    }

    /// Returns the cell, for callers in a failure domain, to which all requests with a key go.
    #[must_use]
    pub fn for_key(&self, service: &Service, domain: &Domain, key: &[u8]) -> Option<Cell> {
        let (domain, shards) = self.group(service, domain)?;
        Some(Cell {
            service: service.clone(),
            domain,
            shard: (hash_prefix(&blake3::hash(key)) % u64::from(shards)) as u32,
            shards,
        })
    }

    fn group(&self, service: &Service, domain: &Domain) -> Option<(Option<Domain>, u32)> {
        let domains = self.domains.get(service)?;
        let one = domains.get(&None).map(|shards| (None, *shards));
        let own = Some(domain.clone());
        one.or_else(|| domains.get(&own).map(|shards| (own.clone(), *shards)))
    }

    /// Returns the newest weights of a model that any target serves; 0 if there are none.
    #[must_use]
    pub fn newest(&self, model: &Model) -> u64 {
        self.newest.get(model).copied().unwrap_or(0)
    }

    /// Returns all cells of a service.
    #[must_use]
    pub fn cells(&self, service: &Service) -> Vec<Cell> {
        let domains = self.domains.get(service).into_iter().flatten();
        let cells = domains.flat_map(|(domain, shards)| {
            (0..*shards).map(|shard| Cell {
                service: service.clone(),
                domain: domain.clone(),
                shard,
                shards: *shards,
            })
        });
        cells.collect()
    }
}

fn shard_of(target: &Target, shards: u32) -> u32 {
    (hash_prefix(&blake3::hash(target.as_bytes())) % u64::from(shards.max(1))) as u32
}

fn hash_prefix(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
